"""The pure machines of the iSCSI front: negotiation, CHAP, numbers, transfers, reservations, logins."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lemonridge.iscsi import chap, keys
from lemonridge.iscsi.keys import (
    NegotiationError,
    NegotiationPreferences,
    Responder,
    apply_answers,
    parse_text,
    proposal,
)
from lemonridge.iscsi.login import FailedLoginLimiter, LoginPolicy, TargetLogin, TargetRule
from lemonridge.iscsi.numbers import SERIAL_MODULUS, ArrivalResult, CommandWindow, StatusLog, serial_distance
from lemonridge.iscsi.pdu import CONTINUE, FINAL, Pdu, pack_text
from lemonridge.iscsi.reservations import Action, Effect, Refusal, Reservations, ReservationType
from lemonridge.iscsi.transfer import Inbound, Outbound, TransferError

many = settings(max_examples=150, derandomize=True, deadline=None)
NEGOTIATED = [
    key
    for key in keys.TABLE.values()
    if key.kind is not keys.NegotiationType.DECLARED and key.name != "AuthMethod"
]

# Negotiation

wishes_of = st.builds(
    NegotiationPreferences,
    digests=st.sampled_from([("CRC32C", "None"), ("None", "CRC32C"), ("None",)]),
    max_connections=st.integers(1, 9),
    initial_r2t=st.booleans(),
    immediate_data=st.booleans(),
    recv_segment=st.integers(512, 1 << 18),
    max_burst=st.integers(512, 1 << 20),
    first_burst=st.integers(512, 1 << 20),
    time2wait=st.integers(0, 3600),
    time2retain=st.integers(0, 3600),
    max_r2t=st.integers(1, 9),
    recovery_level=st.integers(0, 2),
)


@many
@given(ours=wishes_of, theirs=wishes_of, data=st.data())
def test_both_sides_agree_whatever_the_order_and_the_split(
    ours: NegotiationPreferences, theirs: NegotiationPreferences, data: st.DataObject
) -> None:
    """What the target takes for agreed is what the initiator does, and the RFC's function of both wishes."""
    offers = proposal(theirs, [key.name for key in NEGOTIATED])
    offers.append(("MaxRecvDataSegmentLength", str(theirs.recv_segment)))
    mixed = data.draw(st.permutations(offers))
    cut = data.draw(st.integers(0, len(mixed)))
    target = Responder(ours)
    answers = target.answer(mixed[:cut]) + target.answer(mixed[cut:], declare=True)
    agreed, _ = apply_answers(offers, answers, theirs.recv_segment)
    back = target.parameters.with_valid_first_burst()
    assert (agreed.send_segment, agreed.recv_segment) == (ours.recv_segment, theirs.recv_segment)
    assert (back.send_segment, back.recv_segment) == (theirs.recv_segment, ours.recv_segment)
    same = (
        "max_connections",
        "initial_r2t",
        "immediate_data",
        "max_burst",
        "first_burst",
        "time2wait",
        "time2retain",
        "max_r2t",
        "recovery_level",
        "header_digest",
        "data_digest",
    )
    assert [getattr(agreed, name) for name in same] == [getattr(back, name) for name in same]
    assert agreed.max_burst == min(ours.max_burst, theirs.max_burst)
    assert agreed.initial_r2t == (ours.initial_r2t or theirs.initial_r2t)
    assert agreed.immediate_data == (ours.immediate_data and theirs.immediate_data)
    assert agreed.time2wait == max(ours.time2wait, theirs.time2wait)
    assert agreed.first_burst <= agreed.max_burst


@many
@given(text=st.binary(max_size=300))
def test_any_text_is_read_or_refused(text: bytes) -> None:
    try:
        pairs = parse_text(text)
        assert len({name for name, _ in pairs}) == len(pairs)
        Responder(NegotiationPreferences()).answer(pairs)
    except NegotiationError as error:
        assert str(error)


@pytest.mark.parametrize(
    ("name", "value"),
    [
        ("MaxBurstLength", "262145"),
        ("InitialR2T", "Maybe"),
        ("HeaderDigest", "X"),
        ("ErrorRecoveryLevel", "1"),
        ("MaxRecvDataSegmentLength", "1"),
    ],
)
def test_an_answer_that_the_offer_does_not_allow_is_refused(name: str, value: str) -> None:
    offers = proposal(NegotiationPreferences(), [key.name for key in NEGOTIATED])
    with pytest.raises(NegotiationError, match=name):
        apply_answers(offers, [(name, value)], 8192)


# CHAP

ACCOUNT = chap.Account("us", b"a secret of ours", "them", b"a secret of theirs")


def _random(start: int):
    count = iter(range(start, 10_000))
    return lambda size: bytes((next(count) % 256,)) * size


@pytest.mark.parametrize("algorithm", chap.ALGORITHMS)
def test_both_halves_of_chap_prove_themselves(algorithm: int) -> None:
    target, initiator = chap.Target({"us": ACCOUNT}, _random(1)), chap.Initiator(ACCOUNT, _random(100))
    challenge = target.answer({"CHAP_A": f"99,{algorithm}"})
    answer = target.answer(dict(initiator.respond(dict(challenge))))
    initiator.check(dict(answer))
    assert target.name == "us" and target.step is chap.Step.DONE
    with pytest.raises(chap.ChapError, match="prove"):
        initiator.check({"CHAP_N": "them", "CHAP_R": "0x00"})
    with pytest.raises(chap.ChapError, match="after the end"):
        target.answer({})


def test_what_chap_refuses() -> None:
    for told in ({}, {"CHAP_A": "1"}, {"CHAP_A": "md5"}):
        with pytest.raises(chap.ChapError):
            chap.Target({"us": ACCOUNT}, _random(1)).answer(told)
    for change in (
        {"CHAP_N": "x"},
        {"CHAP_R": "0x" + "00" * 16},
        {"CHAP_R": "zz"},
        {"CHAP_R": "0bq"},
        {"CHAP_I": "256"},
        {"CHAP_C": "0x00"},
        {"CHAP_R": "0x" + "0" * 5000},
    ):
        target = chap.Target({"us": ACCOUNT}, _random(1))
        initiator = chap.Initiator(ACCOUNT, _random(100))
        told = dict(initiator.respond(dict(target.answer({"CHAP_A": "5"}))))
        with pytest.raises(chap.ChapError):
            target.answer({**told, **change})
    reflected = chap.Target({"us": ACCOUNT}, _random(1))
    challenge = dict(reflected.answer({"CHAP_A": "5"}))
    proof = chap.response(5, int(challenge["CHAP_I"]), ACCOUNT.secret, chap.decode(challenge["CHAP_C"]))
    with pytest.raises(chap.ChapError, match="reflected"):
        reflected.answer(
            {"CHAP_N": "us", "CHAP_R": chap.encode(proof), "CHAP_I": "1", "CHAP_C": challenge["CHAP_C"]}
        )


# Numbers


@many
@given(
    start=st.sampled_from([0, 1, SERIAL_MODULUS - 3, SERIAL_MODULUS // 2 - 2]),
    size=st.integers(1, 8),
    order=st.lists(st.integers(-3, 12), max_size=60),
)
def test_commands_are_handed_on_once_and_in_order(start: int, size: int, order: list[int]) -> None:
    """Over the end of the 32 bits too; the model is a set of what came and a count of what was handed on."""
    window: CommandWindow[int] = CommandWindow(start, size)
    came: set[int] = set()
    handed = 0
    for step in order:
        number = (start + step) % SERIAL_MODULUS
        window.advertise_max_cmd_sn(0)
        place, ready = window.receive(number, step)
        if step < handed or step in came:
            assert place is ArrivalResult.REPEATED
        elif step >= handed + size:
            assert place is ArrivalResult.OUTSIDE and not ready
        else:
            assert place is ArrivalResult.NEXT
            came.add(step)
        for one in ready:
            assert one == handed
            handed += 1
        assert window.exp_cmd_sn == (start + handed) % SERIAL_MODULUS and len(window.pending) <= size


def test_the_window_never_shrinks_and_closes_when_all_is_busy() -> None:
    window: CommandWindow[None] = CommandWindow(5, 4)
    assert window.advertise_max_cmd_sn(0) == 8
    assert window.advertise_max_cmd_sn(3) == 8  # it was told already
    for number in range(5, 9):
        window.receive(number, None)
    assert serial_distance(window.advertise_max_cmd_sn(4), window.exp_cmd_sn) == -1


@many
@given(start=st.sampled_from([1, SERIAL_MODULUS - 2]), steps=st.lists(st.integers(0, 6), max_size=40))
def test_statuses_are_kept_until_they_are_acknowledged(start: int, steps: list[int]) -> None:
    log: StatusLog[int] = StatusLog(start, 5)
    sent, known = 0, 0
    for step in steps:
        if step < 3:
            assert log.assign_stat_sn(sent) == (start + sent) % SERIAL_MODULUS
            sent += 1
        else:
            known = min(sent, known + step - 3)
            log.acknowledge((start + known) % SERIAL_MODULUS)
        kept = list(range(max(known, sent - 5), sent))
        assert list(log.retained.values()) == kept
        asked = log.find_retained((start + known) % SERIAL_MODULUS, 0)
        want = kept if kept and kept[0] == known else None
        assert ([item for _, item in asked] if asked else None) == want
    assert log.acknowledge((start + sent + 1) % SERIAL_MODULUS) == []  # nothing past what was sent


# Transfers


@many
@given(
    length=st.integers(1, 6000),
    first=st.integers(512, 3000),
    burst=st.integers(512, 2000),
    r2ts=st.integers(1, 3),
    unsolicited=st.booleans(),
    level=st.integers(0, 1),
    data=st.data(),
)
def test_a_write_comes_whole_however_it_is_asked_for_and_lost(
    length: int, first: int, burst: int, r2ts: int, unsolicited: bool, level: int, data: st.DataObject
) -> None:
    """With recovery, PDUs are lost at random; what comes again fills exactly the holes."""
    whole = bytes(place % 251 for place in range(length))
    agreed = keys.NegotiatedParameters(
        max_burst=burst, first_burst=first, max_r2t=r2ts, recovery_level=level
    ).with_valid_first_burst()
    along = data.draw(st.integers(0, min(length, agreed.first_burst)))
    inbound = Inbound(length, whole[:along], agreed, unsolicited, 0)
    bursts = []
    if unsolicited and along < min(agreed.first_burst, length):
        bursts.append((0xFFFFFFFF, along, min(agreed.first_burst, length)))
    drawn = 0
    while not inbound.complete:
        bursts += [(ask.transfer_tag, ask.offset, ask.offset + ask.length) for ask in inbound.next_r2ts()]
        assert bursts, "nothing is asked for, and not all is there"
        tag, start, end = bursts.pop(data.draw(st.integers(0, len(bursts) - 1)) if not unsolicited else 0)
        for number, at in enumerate(range(start, end, 512)):
            until = min(at + 512, end)
            drawn += 1
            if level and drawn < 30 and until < end and data.draw(st.booleans()):
                continue  # lost
            inbound.receive(tag, number, at, whole[at:until], until == end)
        bursts += [(ask.transfer_tag, ask.offset, ask.offset + ask.length) for ask in inbound.recovery_r2ts()]
    assert bytes(inbound.data) == whole and not inbound.next_r2ts()


def test_data_that_break_the_protocol() -> None:
    for tag, number, offset, size in ((99, 0, 0, 10), (1, 1, 0, 10), (1, 0, 5, 10), (1, 0, 0, 2000)):
        inbound = Inbound(1000, b"", keys.NegotiatedParameters(), False, 0)
        assert [ask.transfer_tag for ask in inbound.next_r2ts()] == [1]
        with pytest.raises(TransferError):
            inbound.receive(tag, number, offset, bytes(size), False)


@many
@given(length=st.integers(0, 5000), segment=st.integers(512, 3000), burst=st.integers(512, 3000))
def test_a_reads_data_are_cut_within_segments_and_bursts(length: int, segment: int, burst: int) -> None:
    out = Outbound(bytes(length), segment, burst)
    parts = list(out.data_in_pdus())
    assert sum(part.length for part in parts) == length and out.pdu_count == len(parts)
    for part in parts:
        assert 0 < part.length <= segment and part.offset // burst == (part.offset + part.length - 1) // burst
        assert part.final == ((part.offset + part.length) % burst == 0 or part.offset + part.length == length)
    if parts:
        assert out.find_for_snack(len(parts) - 1, 1) == parts[-1:] and out.find_for_snack(0, 0) == parts
    assert out.find_for_snack(0, len(parts) + 1) is None


# Reservations


class Model:
    """The table of SPC-4 in a plain form: sets, and no events."""

    def __init__(self) -> None:
        self.keys: dict[str, int] = {}
        self.kind, self.holder = 0, ""

    def holds(self, who: str) -> bool:
        return bool(self.kind) and (who in self.keys if self.kind >= 7 else who == self.holder)

    def step(self, who: str, action: int, kind: int, key: int, new: int) -> bool:
        if action in (0, 6):
            if action == 0 and key != self.keys.get(who, 0):
                return False
            if new:
                self.keys[who] = new
            elif who in self.keys:
                del self.keys[who]
                if self.kind and (not self.keys if self.kind >= 7 else self.holder == who):
                    self.kind = 0
            return True
        if self.keys.get(who) != key:
            return False
        if action == 3:
            self.keys, self.kind = {}, 0
        elif action == 1:
            if self.kind and not (self.holds(who) and self.kind == kind):
                return False
            if not self.kind:
                self.kind, self.holder = kind, who
        elif action == 2:
            if self.holds(who):
                if self.kind != kind:
                    return False
                self.kind = 0
        else:
            everyone = self.kind >= 7 and not new
            if not new and not everyone:
                return False
            gone = [one for one, held in self.keys.items() if one != who and (everyone or held == new)]
            holder = 0 < self.kind < 7 and self.keys.get(self.holder) == new
            if not gone and not holder:
                return False
            for one in gone:
                del self.keys[one]
            if holder or everyone:
                self.kind, self.holder = kind, who
        return True


@many
@given(
    st.lists(
        st.tuples(
            st.sampled_from("abc"),
            st.integers(0, 6),
            st.sampled_from(list(ReservationType)),
            st.integers(0, 3),
            st.integers(0, 3),
        ),
        max_size=40,
    )
)
def test_reservations_are_as_in_a_plain_model(
    steps: list[tuple[str, int, ReservationType, int, int]],
) -> None:
    held, model = Reservations(), Model()
    for who, action, kind, key, new in steps:
        done = held.persistent_reserve_out(who, action, 0, kind, key, new)
        assert (done.refusal is None) == model.step(who, action, kind, key, new), (who, Action(action))
        assert held.keys == model.keys and (held.type or 0) == model.kind
        assert all(one in held.keys for one, _ in done.attentions) or action in (3, 4, 5)
        for one in "abcd":
            inside = model.holds(one) or (model.kind >= 5 and one in model.keys)
            assert held.conflicts(one, Effect.WRITES) == (bool(model.kind) and not inside)
            reads = bool(model.kind) and not inside and model.kind in (3, 6, 8)
            assert held.conflicts(one, Effect.READS) == reads
            assert not held.conflicts(one, Effect.NONE)


def test_registrations_are_bounded() -> None:
    held = Reservations()
    for number in range(64):
        assert held.persistent_reserve_out(f"n{number}", 6, 0, 0, 0, 5).refusal is None
    assert held.persistent_reserve_out("one more", 6, 0, 0, 0, 5).refusal is Refusal.RESOURCES


# Logins


def rules(**accounts: chap.Account) -> LoginPolicy:
    return LoginPolicy(
        {"t": TargetRule("t", accounts=accounts)},
        NegotiationPreferences(),
        lambda tsih: None,
        lambda: True,
        lambda: False,
        _random(1),
    )


@many
@given(st.lists(st.tuples(st.integers(0, 255), st.binary(max_size=60), st.booleans()), max_size=8))
def test_any_login_requests_are_answered_or_refused(steps: list[tuple[int, bytes, bool]]) -> None:
    login = TargetLogin(rules(us=ACCOUNT))
    for flags, data, named in steps:
        text = pack_text([("InitiatorName", "i"), ("TargetName", "t")]) if named else b""
        reply = login.answer(Pdu(3, flags, data=text + data))
        if reply.login_ended:
            assert reply.status, "nobody gets in without a proof"
            break


def test_a_long_answer_goes_out_in_parts_and_the_stage_is_left_with_the_last() -> None:
    login = TargetLogin(rules())
    odd = [(f"X-{number:04}", "1") for number in range(900)]
    text = pack_text([("InitiatorName", "i"), ("TargetName", "t"), *odd])
    first = login.answer(Pdu(3, CONTINUE | 1 << 2, data=text[:8000]))
    assert (first.flags, first.data) == (1 << 2, b"")
    answer, told = login.answer(Pdu(3, FINAL | 1 << 2 | 3, data=text[8000:])), b""
    while answer.flags & CONTINUE:
        told += answer.data
        answer = login.answer(Pdu(3, FINAL | 1 << 2 | 3))
    assert answer.login_ended and not answer.status and (told + answer.data).count(b"=NotUnderstood\0") == 900


def test_failed_logins_are_bounded_a_peer() -> None:
    held = FailedLoginLimiter(3, 1000, 2)
    for at in (0, 10, 20):
        assert held.allows("a", at)
        held.record_failure("a", at)
    assert not held.allows("a", 30) and held.allows("b", 30) and held.allows("a", 1015)
    held.record_failure("b", 30)
    held.record_failure("c", 30)
    assert held.allows("a", 31)  # the table is bounded: the oldest makes room

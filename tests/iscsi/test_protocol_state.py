"""Tests of the pure state machines of the iSCSI front.

Covers negotiation, CHAP, sequence numbers, data transfers, reservations and logins.
"""

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

property_test = settings(max_examples=150, derandomize=True, deadline=None)
NEGOTIATED_KEYS = [
    key
    for key in keys.TABLE.values()
    if key.kind is not keys.NegotiationType.DECLARED and key.name != "AuthMethod"
]

# Negotiation

preferences_strategy = st.builds(
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


@property_test
@given(target_preferences=preferences_strategy, initiator_preferences=preferences_strategy, data=st.data())
def test_both_sides_negotiate_the_same_parameters_for_any_key_order_and_split(
    target_preferences: NegotiationPreferences,
    initiator_preferences: NegotiationPreferences,
    data: st.DataObject,
) -> None:
    """Both sides get the same parameters, which are the result functions of RFC 7143 of both preferences."""
    offers = proposal(initiator_preferences, [key.name for key in NEGOTIATED_KEYS])
    offers.append(("MaxRecvDataSegmentLength", str(initiator_preferences.recv_segment)))
    shuffled = data.draw(st.permutations(offers))
    cut = data.draw(st.integers(0, len(shuffled)))
    target = Responder(target_preferences)
    answers = target.answer(shuffled[:cut]) + target.answer(shuffled[cut:], declare=True)
    initiator_parameters, _ = apply_answers(offers, answers, initiator_preferences.recv_segment)
    target_parameters = target.parameters.with_valid_first_burst()
    assert (initiator_parameters.send_segment, initiator_parameters.recv_segment) == (
        target_preferences.recv_segment,
        initiator_preferences.recv_segment,
    )
    assert (target_parameters.send_segment, target_parameters.recv_segment) == (
        initiator_preferences.recv_segment,
        target_preferences.recv_segment,
    )
    compared = (
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
    assert [getattr(initiator_parameters, name) for name in compared] == [
        getattr(target_parameters, name) for name in compared
    ]
    assert initiator_parameters.max_burst == min(
        target_preferences.max_burst, initiator_preferences.max_burst
    )
    assert initiator_parameters.initial_r2t == (
        target_preferences.initial_r2t or initiator_preferences.initial_r2t
    )
    assert initiator_parameters.immediate_data == (
        target_preferences.immediate_data and initiator_preferences.immediate_data
    )
    assert initiator_parameters.time2wait == max(
        target_preferences.time2wait, initiator_preferences.time2wait
    )
    assert initiator_parameters.first_burst <= initiator_parameters.max_burst


@property_test
@given(text=st.binary(max_size=300))
def test_arbitrary_text_is_answered_or_raises_a_negotiation_error(text: bytes) -> None:
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
def test_answer_that_the_offer_does_not_permit_is_refused(name: str, value: str) -> None:
    offers = proposal(NegotiationPreferences(), [key.name for key in NEGOTIATED_KEYS])
    with pytest.raises(NegotiationError, match=name):
        apply_answers(offers, [(name, value)], 8192)


# CHAP

ACCOUNT = chap.Account("us", b"a secret of ours", "them", b"a secret of theirs")


def _random_bytes(start: int):
    counter = iter(range(start, 10_000))
    return lambda size: bytes((next(counter) % 256,)) * size


@pytest.mark.parametrize("algorithm", chap.ALGORITHMS)
def test_mutual_chap_authenticates_both_sides(algorithm: int) -> None:
    target, initiator = (
        chap.Target({"us": ACCOUNT}, _random_bytes(1)),
        chap.Initiator(ACCOUNT, _random_bytes(100)),
    )
    challenge = target.answer({"CHAP_A": f"99,{algorithm}"})
    answer = target.answer(dict(initiator.respond(dict(challenge))))
    initiator.check(dict(answer))
    assert target.name == "us" and target.step is chap.Step.DONE
    with pytest.raises(chap.ChapError, match="prove"):
        initiator.check({"CHAP_N": "them", "CHAP_R": "0x00"})
    with pytest.raises(chap.ChapError, match="after the end"):
        target.answer({})


def test_chap_refuses_missing_malformed_and_reflected_values() -> None:
    for offer in ({}, {"CHAP_A": "1"}, {"CHAP_A": "md5"}):
        with pytest.raises(chap.ChapError):
            chap.Target({"us": ACCOUNT}, _random_bytes(1)).answer(offer)
    for change in (
        {"CHAP_N": "x"},
        {"CHAP_R": "0x" + "00" * 16},
        {"CHAP_R": "zz"},
        {"CHAP_R": "0bq"},
        {"CHAP_I": "256"},
        {"CHAP_C": "0x00"},
        {"CHAP_R": "0x" + "0" * 5000},
    ):
        target = chap.Target({"us": ACCOUNT}, _random_bytes(1))
        initiator = chap.Initiator(ACCOUNT, _random_bytes(100))
        keys_sent = dict(initiator.respond(dict(target.answer({"CHAP_A": "5"}))))
        with pytest.raises(chap.ChapError):
            target.answer({**keys_sent, **change})
    reflected = chap.Target({"us": ACCOUNT}, _random_bytes(1))
    challenge = dict(reflected.answer({"CHAP_A": "5"}))
    proof = chap.response(5, int(challenge["CHAP_I"]), ACCOUNT.secret, chap.decode(challenge["CHAP_C"]))
    with pytest.raises(chap.ChapError, match="reflected"):
        reflected.answer(
            {"CHAP_N": "us", "CHAP_R": chap.encode(proof), "CHAP_I": "1", "CHAP_C": challenge["CHAP_C"]}
        )


# Sequence numbers


@property_test
@given(
    start=st.sampled_from([0, 1, SERIAL_MODULUS - 3, SERIAL_MODULUS // 2 - 2]),
    size=st.integers(1, 8),
    offsets=st.lists(st.integers(-3, 12), max_size=60),
)
def test_commands_are_delivered_once_and_in_order(start: int, size: int, offsets: list[int]) -> None:
    """Compares the window with a set of received and a count of delivered commands.

    The numbers include a wrap at 32 bits.
    """
    window: CommandWindow[int] = CommandWindow(start, size)
    received: set[int] = set()
    delivered = 0
    for offset in offsets:
        number = (start + offset) % SERIAL_MODULUS
        window.advertise_max_cmd_sn(0)
        result = window.receive(number, offset)
        ready = list(iter(window.take_next, None))
        if offset < delivered or offset in received:
            assert result is ArrivalResult.REPEATED
        elif offset >= delivered + size:
            assert result is ArrivalResult.OUTSIDE and not ready
        else:
            assert result is ArrivalResult.NEXT
            received.add(offset)
        for item in ready:
            assert item == delivered
            delivered += 1
        assert window.exp_cmd_sn == (start + delivered) % SERIAL_MODULUS and len(window.pending) <= size


def test_max_cmd_sn_never_decreases_and_window_closes_when_all_slots_are_busy() -> None:
    window: CommandWindow[int] = CommandWindow(5, 4)
    assert window.advertise_max_cmd_sn(0) == 8
    assert window.advertise_max_cmd_sn(3) == 8  # already advertised
    for number in range(5, 9):
        window.receive(number, number)
        assert window.take_next() == number
    assert serial_distance(window.advertise_max_cmd_sn(4), window.exp_cmd_sn) == -1


@property_test
@given(start=st.sampled_from([1, SERIAL_MODULUS - 2]), steps=st.lists(st.integers(0, 6), max_size=40))
def test_statuses_are_retained_until_acknowledged(start: int, steps: list[int]) -> None:
    status_log: StatusLog[int] = StatusLog(start, 5)
    sent, acknowledged = 0, 0
    for step in steps:
        if step < 3:
            assert status_log.assign_stat_sn(sent) == (start + sent) % SERIAL_MODULUS
            sent += 1
        else:
            acknowledged = min(sent, acknowledged + step - 3)
            status_log.acknowledge((start + acknowledged) % SERIAL_MODULUS)
        retained = list(range(max(acknowledged, sent - 5), sent))
        assert list(status_log.retained.values()) == retained
        found = status_log.find_retained((start + acknowledged) % SERIAL_MODULUS, 0)
        expected = retained if retained and retained[0] == acknowledged else None
        assert ([item for _, item in found] if found else None) == expected
    # A number beyond the last one sent acknowledges nothing.
    assert status_log.acknowledge((start + sent + 1) % SERIAL_MODULUS) == []


# Data transfers


@property_test
@given(
    length=st.integers(1, 6000),
    first_burst=st.integers(512, 3000),
    max_burst=st.integers(512, 2000),
    max_r2t=st.integers(1, 3),
    unsolicited=st.booleans(),
    recovery_level=st.integers(0, 1),
    data=st.data(),
)
def test_write_data_is_complete_for_any_burst_order_and_pdu_loss(
    length: int,
    first_burst: int,
    max_burst: int,
    max_r2t: int,
    unsolicited: bool,
    recovery_level: int,
    data: st.DataObject,
) -> None:
    """With recovery, PDUs are lost at random, and recovery R2Ts request exactly the missing ranges."""
    written = bytes(index % 251 for index in range(length))
    parameters = keys.NegotiatedParameters(
        max_burst=max_burst, first_burst=first_burst, max_r2t=max_r2t, recovery_level=recovery_level
    ).with_valid_first_burst()
    immediate_length = data.draw(st.integers(0, min(length, parameters.first_burst)))
    inbound = Inbound(length, written[:immediate_length], parameters, unsolicited, 0)
    bursts = []
    if unsolicited and immediate_length < min(parameters.first_burst, length):
        bursts.append((0xFFFFFFFF, immediate_length, min(parameters.first_burst, length)))
    pdu_count = 0
    while not inbound.complete:
        bursts += [(r2t.transfer_tag, r2t.offset, r2t.offset + r2t.length) for r2t in inbound.next_r2ts()]
        assert bursts, "data is missing, but no R2T is outstanding"
        transfer_tag, start, end = bursts.pop(
            data.draw(st.integers(0, len(bursts) - 1)) if not unsolicited else 0
        )
        for data_sn, offset in enumerate(range(start, end, 512)):
            pdu_end = min(offset + 512, end)
            pdu_count += 1
            if recovery_level and pdu_count < 30 and pdu_end < end and data.draw(st.booleans()):
                continue  # lost
            inbound.receive(transfer_tag, data_sn, offset, written[offset:pdu_end], pdu_end == end)
        bursts += [(r2t.transfer_tag, r2t.offset, r2t.offset + r2t.length) for r2t in inbound.recovery_r2ts()]
    assert bytes(inbound.data) == written and not inbound.next_r2ts()


def test_data_out_that_violates_the_protocol_is_refused() -> None:
    for transfer_tag, data_sn, offset, size in (
        (99, 0, 0, 10),
        (1, 1, 0, 10),
        (1, 0, 5, 10),
        (1, 0, 0, 2000),
    ):
        inbound = Inbound(1000, b"", keys.NegotiatedParameters(), False, 0)
        assert [r2t.transfer_tag for r2t in inbound.next_r2ts()] == [1]
        with pytest.raises(TransferError):
            inbound.receive(transfer_tag, data_sn, offset, bytes(size), False)


@property_test
@given(length=st.integers(0, 5000), max_segment=st.integers(512, 3000), max_burst=st.integers(512, 3000))
def test_data_in_pdus_stay_within_segments_and_bursts(length: int, max_segment: int, max_burst: int) -> None:
    outbound = Outbound(bytes(length), max_segment, max_burst)
    pdus = list(outbound.data_in_pdus())
    assert sum(pdu.length for pdu in pdus) == length and outbound.pdu_count == len(pdus)
    for pdu in pdus:
        assert (
            0 < pdu.length <= max_segment
            and pdu.offset // max_burst == (pdu.offset + pdu.length - 1) // max_burst
        )
        assert pdu.final == ((pdu.offset + pdu.length) % max_burst == 0 or pdu.offset + pdu.length == length)
    if pdus:
        assert (
            outbound.find_for_snack(len(pdus) - 1, 1) == pdus[-1:] and outbound.find_for_snack(0, 0) == pdus
        )
    assert outbound.find_for_snack(0, len(pdus) + 1) is None


# Reservations


class ReservationModel:
    """Reference model of the reservation rules of SPC-4, without unit attentions."""

    def __init__(self) -> None:
        self.keys: dict[str, int] = {}
        self.kind, self.holder = 0, ""

    def is_holder(self, nexus: str) -> bool:
        return bool(self.kind) and (nexus in self.keys if self.kind >= 7 else nexus == self.holder)

    def execute(self, nexus: str, action: int, kind: int, key: int, action_key: int) -> bool:
        if action in (0, 6):
            if action == 0 and key != self.keys.get(nexus, 0):
                return False
            if action_key:
                self.keys[nexus] = action_key
            elif nexus in self.keys:
                del self.keys[nexus]
                if self.kind and (not self.keys if self.kind >= 7 else self.holder == nexus):
                    self.kind = 0
            return True
        if self.keys.get(nexus) != key:
            return False
        if action == 3:
            self.keys, self.kind = {}, 0
        elif action == 1:
            if self.kind and not (self.is_holder(nexus) and self.kind == kind):
                return False
            if not self.kind:
                self.kind, self.holder = kind, nexus
        elif action == 2:
            if self.is_holder(nexus):
                if self.kind != kind:
                    return False
                self.kind = 0
        else:
            preempts_all = self.kind >= 7 and not action_key
            if not action_key and not preempts_all:
                return False
            removed = [
                other
                for other, registered_key in self.keys.items()
                if other != nexus and (preempts_all or registered_key == action_key)
            ]
            takes_reservation = 0 < self.kind < 7 and self.keys.get(self.holder) == action_key
            if not removed and not takes_reservation:
                return False
            for other in removed:
                del self.keys[other]
            if takes_reservation or preempts_all:
                self.kind, self.holder = kind, nexus
        return True


@property_test
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
def test_reservations_match_the_reference_model(
    steps: list[tuple[str, int, ReservationType, int, int]],
) -> None:
    reservations, model = Reservations(), ReservationModel()
    for nexus, action, kind, key, action_key in steps:
        result = reservations.persistent_reserve_out(nexus, action, 0, kind, key, action_key)
        assert (result.refusal is None) == model.execute(nexus, action, kind, key, action_key), (
            nexus,
            Action(action),
        )
        assert reservations.keys == model.keys and (reservations.type or 0) == model.kind
        assert all(name in reservations.keys for name, _ in result.attentions) or action in (3, 4, 5)
        for name in "abcd":
            has_access = model.is_holder(name) or (model.kind >= 5 and name in model.keys)
            assert reservations.conflicts(name, Effect.WRITES) == (bool(model.kind) and not has_access)
            conflicts_with_reads = bool(model.kind) and not has_access and model.kind in (3, 6, 8)
            assert reservations.conflicts(name, Effect.READS) == conflicts_with_reads
            assert not reservations.conflicts(name, Effect.NONE)


def test_number_of_registrations_is_bounded() -> None:
    reservations = Reservations()
    for number in range(64):
        assert reservations.persistent_reserve_out(f"n{number}", 6, 0, 0, 0, 5).refusal is None
    assert reservations.persistent_reserve_out("one more", 6, 0, 0, 0, 5).refusal is Refusal.RESOURCES


# Logins


def login_policy(**accounts: chap.Account) -> LoginPolicy:
    return LoginPolicy(
        {"t": TargetRule("t", accounts=accounts)},
        NegotiationPreferences(),
        lambda tsih: None,
        lambda: True,
        lambda: False,
        _random_bytes(1),
    )


@property_test
@given(st.lists(st.tuples(st.integers(0, 255), st.binary(max_size=60), st.booleans()), max_size=8))
def test_arbitrary_login_requests_never_authenticate(requests: list[tuple[int, bytes, bool]]) -> None:
    login = TargetLogin(login_policy(us=ACCOUNT))
    for flags, data, with_names in requests:
        text = pack_text([("InitiatorName", "i"), ("TargetName", "t")]) if with_names else b""
        reply = login.answer(Pdu(3, flags, data=text + data))
        if reply.login_ended:
            assert reply.status, "login succeeded without authentication"
            break


def test_long_login_response_is_split_and_its_last_part_changes_the_stage() -> None:
    login = TargetLogin(login_policy())
    unknown_keys = [(f"X-{number:04}", "1") for number in range(900)]
    text = pack_text([("InitiatorName", "i"), ("TargetName", "t"), *unknown_keys])
    first = login.answer(Pdu(3, CONTINUE | 1 << 2, data=text[:8000]))
    assert (first.flags, first.data) == (1 << 2, b"")
    response, received_text = login.answer(Pdu(3, FINAL | 1 << 2 | 3, data=text[8000:])), b""
    while response.flags & CONTINUE:
        received_text += response.data
        response = login.answer(Pdu(3, FINAL | 1 << 2 | 3))
    assert (
        response.login_ended
        and not response.status
        and (received_text + response.data).count(b"=NotUnderstood\0") == 900
    )


def test_peer_with_too_many_failed_logins_is_refused() -> None:
    limiter = FailedLoginLimiter(3, 1000, 2)
    for now_us in (0, 10, 20):
        assert limiter.allows("a", now_us)
        limiter.record_failure("a", now_us)
    assert not limiter.allows("a", 30) and limiter.allows("b", 30) and limiter.allows("a", 1015)
    limiter.record_failure("b", 30)
    limiter.record_failure("c", 30)
    assert limiter.allows("a", 31)  # the number of peers is bounded: the oldest was removed

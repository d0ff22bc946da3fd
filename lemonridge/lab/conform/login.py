"""Login, negotiation, authentication, discovery and text (RFC 7143, chapters 6, 12 and 13)."""

from __future__ import annotations

from lemonridge.iscsi import chap, keys
from lemonridge.iscsi.pdu import CONTINUE, FINAL, RESERVED_TAG, Op, Pdu, pack_text, unpack_text
from lemonridge.lab.conform.cases import (
    CHAP_ACCOUNT,
    CHAP_SECRET,
    CHAP_TARGET,
    MUTUAL_CHAP_TARGET,
    RESTRICTED_TARGET,
    TARGET_CHAP_ACCOUNT,
    TARGET_CHAP_SECRET,
    CaseContext,
    case,
)
from lemonridge.lab.conform.peer import Peer, expect, expect_equal

OPERATIONAL = FINAL | 1 << 2 | 3  # straight to the full feature phase
SECURITY = 0


def _legal(name: str, offer: str, answer: str) -> bool:
    """Whether an answer is one that the rule of the key allows, whatever the target's own wish."""
    key = keys.TABLE[name]
    if key.kind is keys.NegotiationType.LIST:
        return answer in offer.split(",") or answer == keys.REJECT
    if key.kind in (keys.NegotiationType.LEAST, keys.NegotiationType.MOST):
        told, asked = keys.parse_number(answer), keys.parse_number(offer)
        if told is None or asked is None or not key.low <= told <= key.high:
            return False
        return told <= asked if key.kind is keys.NegotiationType.LEAST else told >= asked
    if key.kind is keys.NegotiationType.AND and offer == "No":
        return answer == "No"
    if key.kind is keys.NegotiationType.OR and offer == "Yes":
        return answer == "Yes"
    return answer in ("Yes", "No")


LEGAL = {
    "HeaderDigest": ("None", "CRC32C", "CRC32C,None", "None,CRC32C", "X-odd,None"),
    "DataDigest": ("None", "CRC32C", "None,CRC32C"),
    "MaxConnections": ("1", "2", "65535", "0x2"),
    "InitialR2T": ("Yes", "No"),
    "ImmediateData": ("Yes", "No"),
    "MaxBurstLength": ("512", "8192", "16777215", "0x4000"),
    "FirstBurstLength": ("512", "65536", "0x200"),
    "DefaultTime2Wait": ("0", "7", "3600"),
    "DefaultTime2Retain": ("0", "20", "3600"),
    "MaxOutstandingR2T": ("1", "8", "65535"),
    "DataPDUInOrder": ("Yes", "No"),
    "DataSequenceInOrder": ("Yes", "No"),
    "ErrorRecoveryLevel": ("0", "1", "2"),
    "TaskReporting": ("RFC3720", "FastAbort,RFC3720"),
    "iSCSIProtocolLevel": ("1", "31"),
}
ILLEGAL = {
    "HeaderDigest": ("CRC16", ""),
    "MaxConnections": ("0", "65536", "two", "-1", ""),
    "InitialR2T": ("yes", "1"),
    "ImmediateData": ("Maybe",),
    "MaxBurstLength": ("511", "16777216", "1e4"),
    "FirstBurstLength": ("1", "x"),
    "DefaultTime2Wait": ("3601",),
    "DefaultTime2Retain": ("99999",),
    "MaxOutstandingR2T": ("0", "65536"),
    "DataPDUInOrder": ("",),
    "ErrorRecoveryLevel": ("3", "0x"),
}
UNKNOWN = ("X-org.example.Odd", "Z-what", "NoSuchKey", "X#Odd")
OLD = ("IFMarker", "OFMarker", "IFMarkInt", "OFMarkInt")


async def _answered(context: CaseContext, name: str, offer: str) -> str:
    peer = await context.connect()
    answer = await peer.login_step(OPERATIONAL, peer.login_keys(**{name: offer}))
    expect_equal(answer.words[4] >> 16, 0, "login status")
    told = unpack_text(answer.data)
    expect(name in told, f"{name} was not answered")
    return told[name]


def _negotiation() -> None:
    for name, offers in LEGAL.items():
        for number, offer in enumerate(offers):

            @case(f"negotiate.{name}.legal-{number}", keys.TABLE[name].section)
            async def _(context: CaseContext, name: str = name, offer: str = offer) -> None:
                answer = await _answered(context, name, offer)
                expect(_legal(name, offer, answer), f"{name}={offer} was answered {answer}")

    for name, offers in ILLEGAL.items():
        for number, offer in enumerate(offers):

            @case(f"negotiate.{name}.illegal-{number}", "6.2")
            async def _(context: CaseContext, name: str = name, offer: str = offer) -> None:
                expect_equal(await _answered(context, name, offer), keys.REJECT)

    for name in UNKNOWN:

        @case(f"negotiate.unknown.{name}", "6.2")
        async def _(context: CaseContext, name: str = name) -> None:
            expect_equal(await _answered(context, name, "1"), keys.NOT_UNDERSTOOD)

    for name in OLD:

        @case(f"negotiate.obsolete.{name}", "13.25")
        async def _(context: CaseContext, name: str = name) -> None:
            expect(await _answered(context, name, "No") in (keys.REJECT, "No"), "neither Reject nor No")


_negotiation()


@case("negotiate.segment.declared", "13.12")
async def _segment(context: CaseContext) -> None:
    peer = await context.open_session(MaxRecvDataSegmentLength="512")
    expect(int(peer.negotiated["MaxRecvDataSegmentLength"]) >= 512, "the target's own is not declared")
    tag = peer.send_command(b"\x12\x01\x00\x00\xff", read=255)
    pdu = await peer.receive(Op.DATA_IN)
    expect(pdu.tag == tag and len(pdu.data) <= 512, "a segment past what was declared")


@case("negotiate.twice", "6.3")
async def _twice(context: CaseContext) -> None:
    peer = await context.connect()
    answer = await peer.login_step(
        OPERATIONAL,
        pack_text(
            [
                *peer.login_keys().items(),  # type: ignore[list-item]
                ("InitialR2T", "Yes"),
                ("InitialR2T", "No"),
            ]
        ),
    )
    expect_equal(answer.words[4] >> 24, 2, "status class")
    await peer.expect_close()


@case("negotiate.again", "6.3")
async def _again(context: CaseContext) -> None:
    peer = await context.connect()
    first = await peer.login_step(1 << 2, peer.login_keys(InitialR2T="Yes"))
    expect_equal((first.words[4] >> 16, first.flags & FINAL), (0, 0), "status and transit")
    answer = await peer.login_step(OPERATIONAL, {"InitialR2T": "No"})
    expect_equal(answer.words[4] >> 24, 2, "status class")


@case("negotiate.order", "6.2")
async def _order(context: CaseContext) -> None:
    """The order of the keys and their split over PDUs change nothing."""
    offers = {
        "MaxBurstLength": "8192",
        "FirstBurstLength": "4096",
        "ImmediateData": "No",
        "InitialR2T": "Yes",
        "ErrorRecoveryLevel": "1",
        "HeaderDigest": "None",
    }
    told = []
    for round_ in range(3):
        peer = await context.connect()
        pairs = list(offers.items())
        context.random.shuffle(pairs)
        text = pack_text([(name, str(value)) for name, value in [*peer.login_keys().items(), *pairs]])
        if round_:
            cut = context.random.randrange(1, len(text))
            empty = await peer.login_step(CONTINUE | 1 << 2, text[:cut])
            expect_equal((empty.data, empty.flags & FINAL), (b"", 0), "the answer to a first part")
            text = text[cut:]
        answer = unpack_text((await peer.login_step(OPERATIONAL, text)).data)
        told.append({name: answer[name] for name in offers})
    expect(told[0] == told[1] == told[2], f"the answers differ: {told}")


@case("negotiate.steps", "6.2")
async def _steps(context: CaseContext) -> None:
    """Key by key, each in a request of its own."""
    peer = await context.connect()
    pairs: list[dict[str, str | None]] = [
        peer.login_keys(),
        {"InitialR2T": "Yes"},
        {"ImmediateData": "No"},
        {},
    ]
    for number, part in enumerate(pairs):
        answer = await peer.login_step(OPERATIONAL if number == 3 else 1 << 2, part)
        expect_equal(answer.words[4] >> 16, 0, "status")
    expect_equal(answer.flags & 0x83, FINAL | 3, "transit")


@case("negotiate.much", "6.1")
async def _much(context: CaseContext) -> None:
    peer = await context.connect()
    await peer.login_step(CONTINUE | 1 << 2, pack_text([("InitiatorName", peer.initiator)]))
    for _ in range(8):
        answer = await peer.login_step(CONTINUE | 1 << 2, b"X-a=" + bytes([65]) * 4000)
        if answer.words[4]:
            break
    expect_equal(answer.words[4] >> 24, 2, "status class")


REFUSED: tuple[tuple[str, str, int, dict[str, str | None], int], ...] = (
    ("no-initiator", "13.5", OPERATIONAL, {"InitiatorName": None}, 0x0207),
    ("no-target", "13.4", OPERATIONAL, {"TargetName": None}, 0x0207),
    ("unknown-target", "13.4", OPERATIONAL, {"TargetName": "iqn.2026-12.org.lemonridge:none"}, 0x0203),
    ("odd-type", "13.21", OPERATIONAL, {"SessionType": "Odd"}, 0x0209),
    ("stage-2", "11.12.3", FINAL | 2 << 2 | 3, {}, 0x020B),
    ("stage-back", "11.12.3", FINAL | 1 << 2 | 0, {}, 0x020B),
    ("stage-same", "11.12.3", FINAL | 1 << 2 | 1, {}, 0x020B),
    ("transit-and-continue", "11.12.2", OPERATIONAL | CONTINUE, {}, 0x020B),
    ("full-feature-stage", "11.12.3", FINAL | 3 << 2 | 3, {}, 0x020B),
)


def _refusals() -> None:
    for name, section, flags, changes, status in REFUSED:

        @case(f"login.refused.{name}", section)
        async def _(
            context: CaseContext,
            flags: int = flags,
            changes: dict[str, str | None] = changes,
            status: int = status,
        ) -> None:
            peer = await context.connect()
            answer = await peer.login_step(flags, peer.login_keys(**changes))
            expect_equal(answer.words[4] >> 16, status, "status")
            expect_equal(answer.flags & FINAL, 0, "transit")
            await peer.expect_close()


_refusals()


@case("login.refused.version", "11.12.5")
async def _version(context: CaseContext) -> None:
    peer = await context.connect()
    expect_equal(
        (await peer.login_step(OPERATIONAL, peer.login_keys(), byte3=1, byte2=2)).words[4] >> 16, 0x0205
    )


@case("login.refused.not-a-login", "6.3")
async def _not_a_login(context: CaseContext) -> None:
    peer = await context.connect()
    peer.send(Pdu(Op.SCSI_COMMAND, FINAL, tag=1))
    await peer.expect_close()


@case("login.refused.no-session", "11.12.7")
async def _no_session(context: CaseContext) -> None:
    peer = await context.connect()
    expect_equal((await peer.login_step(OPERATIONAL, peer.login_keys(), tsih=0xFFFE)).words[4] >> 16, 0x020A)


@case("login.refused.forbidden", "11.13.5")
async def _forbidden(context: CaseContext) -> None:
    context.own_node()
    peer = await context.connect(RESTRICTED_TARGET)
    expect_equal((await peer.login_step(OPERATIONAL, peer.login_keys())).words[4] >> 16, 0x0202)


@case("login.refused.not-text", "6.1")
async def _not_text(context: CaseContext) -> None:
    peer = await context.connect()
    expect_equal((await peer.login_step(OPERATIONAL, b"\xff\xfe=1\0")).words[4] >> 24, 2, "status class")


@case("login.refused.no-equals", "6.1")
async def _no_equals(context: CaseContext) -> None:
    peer = await context.connect()
    expect_equal((await peer.login_step(OPERATIONAL, b"InitiatorName\0")).words[4] >> 24, 2, "status class")


@case("login.response", "11.13")
async def _response(context: CaseContext) -> None:
    peer = await context.connect()
    answer = await peer.login_step(OPERATIONAL, peer.login_keys())
    expect_equal(answer.lun[:6], peer.isid, "ISID")
    expect(int.from_bytes(answer.lun[6:], "big") > 0, "no TSIH with the last response")
    expect_equal((answer.tag, answer.flags & 0x8F), (7, OPERATIONAL & 0x8F), "tag, and stages")
    expect_equal(unpack_text(answer.data).get("TargetPortalGroupTag"), "1")
    expect_equal(answer.words[2], 1, "ExpCmdSN")


@case("login.security-first", "6.3")
async def _security_first(context: CaseContext) -> None:
    peer = await context.connect()
    first = await peer.login_step(FINAL | 1, peer.login_keys(AuthMethod="CHAP,None"))
    expect_equal((first.words[4], unpack_text(first.data)["AuthMethod"]), (0, "None"))
    expect_equal(first.flags & 3, 1, "next stage")
    last = await peer.login_step(OPERATIONAL, {})
    expect_equal((last.words[4], last.flags & 0x83), (0, FINAL | 3))


@case("login.security-to-full", "6.3")
async def _security_to_full(context: CaseContext) -> None:
    peer = await context.connect()
    answer = await peer.login_step(FINAL | 3, peer.login_keys(AuthMethod="None"))
    expect_equal((answer.words[4], answer.flags & 0x83), (0, FINAL | 3))


# CHAP


async def _challenged(
    context: CaseContext, target: str, algorithms: str = "5"
) -> tuple[Peer, dict[str, str]]:
    context.own_node()
    peer = await context.connect(target)
    answer = await peer.login_step(SECURITY, peer.login_keys(AuthMethod="CHAP"))
    expect_equal((answer.words[4], unpack_text(answer.data)["AuthMethod"]), (0, "CHAP"))
    answer = await peer.login_step(SECURITY, {"CHAP_A": algorithms})
    expect_equal(answer.words[4], 0, "status")
    return peer, unpack_text(answer.data)


def _proof(
    told: dict[str, str], secret: str = CHAP_SECRET, name: str = CHAP_ACCOUNT
) -> dict[str, str | None]:
    proof = chap.response(
        int(told["CHAP_A"]), int(told["CHAP_I"]), secret.encode(), chap.decode(told["CHAP_C"])
    )
    return {"CHAP_N": name, "CHAP_R": chap.encode(proof)}


def _chap() -> None:
    for number in chap.ALGORITHMS:

        @case(f"chap.algorithm-{number}", "12.1.3")
        async def _(context: CaseContext, number: int = number) -> None:
            peer, told = await _challenged(context, CHAP_TARGET, f"4,{number}")
            expect_equal(told["CHAP_A"], str(number))
            answer = await peer.login_step(FINAL | 1, _proof(told))
            expect_equal((answer.words[4], answer.flags & 0x83), (0, FINAL | 1))
            expect_equal((await peer.login_step(OPERATIONAL, {})).words[4], 0)

    wrong: dict[str, dict[str, str | None]] = {
        "secret": {"CHAP_R": chap.encode(bytes(16))},
        "name": {"CHAP_N": "nobody"},
        "no-name": {"CHAP_N": None},
        "no-response": {"CHAP_R": None},
        "malformed": {"CHAP_R": "0xzz"},
        "not-binary": {"CHAP_R": "12"},
        "short": {"CHAP_R": "0x00"},
    }
    for name, changes in wrong.items():

        @case(f"chap.refused.{name}", "12.1.3")
        async def _(context: CaseContext, changes: dict[str, str | None] = changes) -> None:
            peer, told = await _challenged(context, CHAP_TARGET)
            answer = await peer.login_step(FINAL | 1, {**_proof(told), **changes})
            expect_equal((answer.words[4] >> 16, answer.data), (0x0201, b""), "status, without a hint")
            await peer.expect_close()


_chap()


@case("chap.refused.algorithm", "12.1.3")
async def _no_algorithm(context: CaseContext) -> None:
    context.own_node()
    peer = await context.connect(CHAP_TARGET)
    await peer.login_step(SECURITY, peer.login_keys(AuthMethod="CHAP"))
    expect_equal((await peer.login_step(SECURITY, {"CHAP_A": "1,2"})).words[4] >> 16, 0x0201)


@case("chap.refused.skipped", "12")
async def _skipped(context: CaseContext) -> None:
    context.own_node()
    peer = await context.connect(CHAP_TARGET)
    expect_equal((await peer.login_step(OPERATIONAL, peer.login_keys())).words[4] >> 16, 0x0201)


@case("chap.refused.none", "12")
async def _none(context: CaseContext) -> None:
    context.own_node()
    peer = await context.connect(CHAP_TARGET)
    expect_equal(
        (await peer.login_step(FINAL | 1, peer.login_keys(AuthMethod="None"))).words[4] >> 16, 0x0201
    )


@case("chap.refused.transit-too-soon", "6.3")
async def _too_soon(context: CaseContext) -> None:
    context.own_node()
    peer = await context.connect(CHAP_TARGET)
    answer = await peer.login_step(FINAL | 1, peer.login_keys(AuthMethod="CHAP"))
    expect_equal((answer.words[4], answer.flags & FINAL), (0, 0), "status and transit")


@case("chap.refused.keys-unasked", "12.1.3")
async def _unasked(context: CaseContext) -> None:
    peer = await context.connect()
    answer = await peer.login_step(SECURITY, peer.login_keys(AuthMethod="None", CHAP_N="x", CHAP_R="0x00"))
    expect_equal(answer.words[4] >> 24, 2, "status class")


@case("chap.base64", "6.1")
async def _base64(context: CaseContext) -> None:
    import base64

    peer, told = await _challenged(context, CHAP_TARGET)
    proof = _proof(told)
    raw = chap.decode(str(proof["CHAP_R"]))
    answer = await peer.login_step(FINAL | 1, {**proof, "CHAP_R": "0b" + base64.b64encode(raw).decode()})
    expect_equal(answer.words[4], 0, "status")


@case("chap.mutual", "12.1.3")
async def _mutual(context: CaseContext) -> None:
    peer, told = await _challenged(context, MUTUAL_CHAP_TARGET)
    mine = bytes(range(32))
    answer = await peer.login_step(
        FINAL | 1, {**_proof(told, name="mutual"), "CHAP_I": "9", "CHAP_C": chap.encode(mine)}
    )
    expect_equal(answer.words[4], 0, "status")
    given = unpack_text(answer.data)
    expect_equal(given["CHAP_N"], TARGET_CHAP_ACCOUNT)
    expect_equal(
        chap.decode(given["CHAP_R"]),
        chap.response(5, 9, TARGET_CHAP_SECRET.encode(), mine),
        "the target's proof",
    )


@case("chap.mutual.reflected", "9.2.1")
async def _reflected(context: CaseContext) -> None:
    peer, told = await _challenged(context, MUTUAL_CHAP_TARGET)
    answer = await peer.login_step(
        FINAL | 1, {**_proof(told, name="mutual"), "CHAP_I": told["CHAP_I"], "CHAP_C": told["CHAP_C"]}
    )
    expect_equal((answer.words[4] >> 16, answer.data), (0x0201, b""))


@case("chap.mutual.not-had", "12.1.3")
async def _not_had(context: CaseContext) -> None:
    peer, told = await _challenged(context, CHAP_TARGET)
    answer = await peer.login_step(
        FINAL | 1, {**_proof(told), "CHAP_I": "1", "CHAP_C": chap.encode(bytes(16))}
    )
    expect_equal(answer.words[4] >> 16, 0x0201)


@case("chap.challenges-differ", "9.2.1")
async def _differ(context: CaseContext) -> None:
    seen = {(await _challenged(context, CHAP_TARGET))[1]["CHAP_C"] for _ in range(4)}
    expect_equal(len(seen), 4, "different challenges")


# Discovery and text


async def _discovery(context: CaseContext) -> Peer:
    peer = await context.connect()
    answer = await peer.login_step(OPERATIONAL, peer.login_keys(SessionType="Discovery", TargetName=None))
    expect_equal(answer.words[4], 0, "status")
    return peer


async def _text(peer: Peer, pairs: dict[str, str], **changes: int) -> Pdu:
    words = [RESERVED_TAG, 0, 0, 0, 0, 0, 0]
    peer.send(
        Pdu(
            Op.TEXT,
            changes.get("flags", FINAL),
            tag=changes.get("tag", 40),
            words=words,
            data=pack_text(pairs.items()),
        )
    )
    return await peer.receive(Op.TEXT_RESPONSE)


@case("text.send-targets-all", "Appendix C")
async def _all(context: CaseContext) -> None:
    peer = await _discovery(context)
    answer = await _text(peer, {"SendTargets": "All"})
    items = [item.decode().partition("=") for item in answer.data.split(b"\0")]
    names = [value for key, _, value in items if key == "TargetName"]
    expect(context.target in names and RESTRICTED_TARGET not in names, f"{names}")
    expect(b"TargetAddress=" in answer.data, "no address")
    expect_equal((answer.tag, answer.words[0], answer.flags & FINAL), (40, RESERVED_TAG, FINAL))


@case("text.send-targets-one", "Appendix C")
async def _one(context: CaseContext) -> None:
    peer = await _discovery(context)
    told = unpack_text((await _text(peer, {"SendTargets": context.target})).data)
    expect_equal(told["TargetName"], context.target)


@case("text.send-targets-unknown", "Appendix C")
async def _unknown(context: CaseContext) -> None:
    peer = await _discovery(context)
    expect_equal((await _text(peer, {"SendTargets": "iqn.2026-12.org.lemonridge:none"})).data, b"")


@case("text.send-targets-empty", "Appendix C")
async def _empty(context: CaseContext) -> None:
    peer = await context.open_session()
    told = unpack_text((await _text(peer, {"SendTargets": ""})).data)
    expect_equal(told["TargetName"], context.target)


@case("text.unknown-key", "6.2")
async def _unknown_key(context: CaseContext) -> None:
    peer = await context.open_session()
    expect_equal(unpack_text((await _text(peer, {"X-odd": "1"})).data), {"X-odd": "NotUnderstood"})


@case("text.leading-only-key", "13.2")
async def _leading(context: CaseContext) -> None:
    peer = await context.open_session()
    expect_equal(unpack_text((await _text(peer, {"MaxConnections": "2"})).data), {"MaxConnections": "Reject"})


@case("text.segment", "13.12")
async def _resegment(context: CaseContext) -> None:
    """A new MaxRecvDataSegmentLength holds from then on."""
    peer = await context.open_session(MaxRecvDataSegmentLength="8192")
    await _text(peer, {"MaxRecvDataSegmentLength": "512"})
    data = await peer.expect_good(b"\x28" + bytes(6) + b"\0\x08\0", read=4096)
    expect_equal(len(data), 4096)
    peer.send_command(b"\x28" + bytes(6) + b"\0\x08\0", read=4096)
    expect(len((await peer.receive(Op.DATA_IN)).data) <= 512, "a segment past what was declared")


@case("text.split", "11.10")
async def _split(context: CaseContext) -> None:
    peer = await _discovery(context)
    text = pack_text([("SendTargets", context.target)])
    peer.send(Pdu(Op.TEXT, CONTINUE, tag=41, words=[RESERVED_TAG, 0, 0, 0, 0, 0, 0], data=text[:9]))
    first = await peer.receive(Op.TEXT_RESPONSE)
    expect_equal((first.data, first.flags & FINAL, first.tag), (b"", 0, 41))
    expect(first.words[0] != RESERVED_TAG, "no transfer tag for the rest")
    peer.send(Pdu(Op.TEXT, FINAL, tag=41, words=[RESERVED_TAG, 0, 0, 0, 0, 0, 0], data=text[9:]))
    expect_equal(unpack_text((await peer.receive(Op.TEXT_RESPONSE)).data)["TargetName"], context.target)


@case("text.no-such-exchange", "11.10.4")
async def _no_exchange(context: CaseContext) -> None:
    peer = await context.open_session()
    peer.send(Pdu(Op.TEXT, FINAL, tag=41, words=[77, 0, 0, 0, 0, 0, 0]))
    await peer.expect_reject(0x04)


@case("text.malformed", "6.1")
async def _malformed(context: CaseContext) -> None:
    peer = await context.open_session()
    peer.send(Pdu(Op.TEXT, FINAL, tag=41, words=[RESERVED_TAG, 0, 0, 0, 0, 0, 0], data=b"no value\0"))
    await peer.expect_reject(0x04)
    await peer.expect_close()


@case("discovery.no-commands", "4.3")
async def _no_commands(context: CaseContext) -> None:
    peer = await _discovery(context)
    peer.send_command(b"\x00" * 6)
    await peer.expect_reject(0x04)


@case("discovery.logout", "11.14")
async def _discovery_logout(context: CaseContext) -> None:
    peer = await _discovery(context)
    peer.send(Pdu(Op.LOGOUT, FINAL, tag=3))
    expect_equal((await peer.receive(Op.LOGOUT_RESPONSE)).byte2, 0)
    await peer.expect_close()

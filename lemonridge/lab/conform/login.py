"""Login, negotiation, authentication, discovery and text (RFC 7143, chapters 6, 12 and 13)."""

from __future__ import annotations

from lemonridge.iscsi import chap, keys
from lemonridge.iscsi.pdu import CONTINUE, FINAL, RESERVED_TAG, Op, Pdu, pack_text, unpack_text
from lemonridge.lab.conform.cases import (
    ACCOUNT,
    GUARDED,
    MUTUAL,
    OWN_ACCOUNT,
    OWN_SECRET,
    PRIVATE,
    SECRET,
    CaseContext,
    case,
)
from lemonridge.lab.conform.peer import Peer, expect, same

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
    peer = await context.peer()
    answer = await peer.step(OPERATIONAL, peer.names(**{name: offer}))
    same(answer.words[4] >> 16, 0, "login status")
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
                same(await _answered(context, name, offer), keys.REJECT)

    for name in UNKNOWN:

        @case(f"negotiate.unknown.{name}", "6.2")
        async def _(context: CaseContext, name: str = name) -> None:
            same(await _answered(context, name, "1"), keys.NOT_UNDERSTOOD)

    for name in OLD:

        @case(f"negotiate.obsolete.{name}", "13.25")
        async def _(context: CaseContext, name: str = name) -> None:
            expect(await _answered(context, name, "No") in (keys.REJECT, "No"), "neither Reject nor No")


_negotiation()


@case("negotiate.segment.declared", "13.12")
async def _segment(context: CaseContext) -> None:
    peer = await context.session(MaxRecvDataSegmentLength="512")
    expect(int(peer.told["MaxRecvDataSegmentLength"]) >= 512, "the target's own is not declared")
    tag = peer.command(b"\x12\x01\x00\x00\xff", read=255)
    pdu = await peer.get(Op.DATA_IN)
    expect(pdu.tag == tag and len(pdu.data) <= 512, "a segment past what was declared")


@case("negotiate.twice", "6.3")
async def _twice(context: CaseContext) -> None:
    peer = await context.peer()
    answer = await peer.step(
        OPERATIONAL,
        pack_text(
            [
                *peer.names().items(),  # type: ignore[list-item]
                ("InitialR2T", "Yes"),
                ("InitialR2T", "No"),
            ]
        ),
    )
    same(answer.words[4] >> 24, 2, "status class")
    await peer.ended()


@case("negotiate.again", "6.3")
async def _again(context: CaseContext) -> None:
    peer = await context.peer()
    first = await peer.step(1 << 2, peer.names(InitialR2T="Yes"))
    same((first.words[4] >> 16, first.flags & FINAL), (0, 0), "status and transit")
    answer = await peer.step(OPERATIONAL, {"InitialR2T": "No"})
    same(answer.words[4] >> 24, 2, "status class")


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
        peer = await context.peer()
        pairs = list(offers.items())
        context.random.shuffle(pairs)
        text = pack_text([(name, str(value)) for name, value in [*peer.names().items(), *pairs]])
        if round_:
            cut = context.random.randrange(1, len(text))
            empty = await peer.step(CONTINUE | 1 << 2, text[:cut])
            same((empty.data, empty.flags & FINAL), (b"", 0), "the answer to a first part")
            text = text[cut:]
        answer = unpack_text((await peer.step(OPERATIONAL, text)).data)
        told.append({name: answer[name] for name in offers})
    expect(told[0] == told[1] == told[2], f"the answers differ: {told}")


@case("negotiate.steps", "6.2")
async def _steps(context: CaseContext) -> None:
    """Key by key, each in a request of its own."""
    peer = await context.peer()
    pairs: list[dict[str, str | None]] = [peer.names(), {"InitialR2T": "Yes"}, {"ImmediateData": "No"}, {}]
    for number, part in enumerate(pairs):
        answer = await peer.step(OPERATIONAL if number == 3 else 1 << 2, part)
        same(answer.words[4] >> 16, 0, "status")
    same(answer.flags & 0x83, FINAL | 3, "transit")


@case("negotiate.much", "6.1")
async def _much(context: CaseContext) -> None:
    peer = await context.peer()
    await peer.step(CONTINUE | 1 << 2, pack_text([("InitiatorName", peer.initiator)]))
    for _ in range(8):
        answer = await peer.step(CONTINUE | 1 << 2, b"X-a=" + bytes([65]) * 4000)
        if answer.words[4]:
            break
    same(answer.words[4] >> 24, 2, "status class")


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
            peer = await context.peer()
            answer = await peer.step(flags, peer.names(**changes))
            same(answer.words[4] >> 16, status, "status")
            same(answer.flags & FINAL, 0, "transit")
            await peer.ended()


_refusals()


@case("login.refused.version", "11.12.5")
async def _version(context: CaseContext) -> None:
    peer = await context.peer()
    same((await peer.step(OPERATIONAL, peer.names(), byte3=1, byte2=2)).words[4] >> 16, 0x0205)


@case("login.refused.not-a-login", "6.3")
async def _not_a_login(context: CaseContext) -> None:
    peer = await context.peer()
    peer.put(Pdu(Op.SCSI_COMMAND, FINAL, tag=1))
    await peer.ended()


@case("login.refused.no-session", "11.12.7")
async def _no_session(context: CaseContext) -> None:
    peer = await context.peer()
    same((await peer.step(OPERATIONAL, peer.names(), tsih=0xFFFE)).words[4] >> 16, 0x020A)


@case("login.refused.forbidden", "11.13.5")
async def _forbidden(context: CaseContext) -> None:
    context.ours()
    peer = await context.peer(PRIVATE)
    same((await peer.step(OPERATIONAL, peer.names())).words[4] >> 16, 0x0202)


@case("login.refused.not-text", "6.1")
async def _not_text(context: CaseContext) -> None:
    peer = await context.peer()
    same((await peer.step(OPERATIONAL, b"\xff\xfe=1\0")).words[4] >> 24, 2, "status class")


@case("login.refused.no-equals", "6.1")
async def _no_equals(context: CaseContext) -> None:
    peer = await context.peer()
    same((await peer.step(OPERATIONAL, b"InitiatorName\0")).words[4] >> 24, 2, "status class")


@case("login.response", "11.13")
async def _response(context: CaseContext) -> None:
    peer = await context.peer()
    answer = await peer.step(OPERATIONAL, peer.names())
    same(answer.lun[:6], peer.isid, "ISID")
    expect(int.from_bytes(answer.lun[6:], "big") > 0, "no TSIH with the last response")
    same((answer.tag, answer.flags & 0x8F), (7, OPERATIONAL & 0x8F), "tag, and stages")
    same(unpack_text(answer.data).get("TargetPortalGroupTag"), "1")
    same(answer.words[2], 1, "ExpCmdSN")


@case("login.security-first", "6.3")
async def _security_first(context: CaseContext) -> None:
    peer = await context.peer()
    first = await peer.step(FINAL | 1, peer.names(AuthMethod="CHAP,None"))
    same((first.words[4], unpack_text(first.data)["AuthMethod"]), (0, "None"))
    same(first.flags & 3, 1, "next stage")
    last = await peer.step(OPERATIONAL, {})
    same((last.words[4], last.flags & 0x83), (0, FINAL | 3))


@case("login.security-to-full", "6.3")
async def _security_to_full(context: CaseContext) -> None:
    peer = await context.peer()
    answer = await peer.step(FINAL | 3, peer.names(AuthMethod="None"))
    same((answer.words[4], answer.flags & 0x83), (0, FINAL | 3))


# CHAP


async def _challenged(
    context: CaseContext, target: str, algorithms: str = "5"
) -> tuple[Peer, dict[str, str]]:
    context.ours()
    peer = await context.peer(target)
    answer = await peer.step(SECURITY, peer.names(AuthMethod="CHAP"))
    same((answer.words[4], unpack_text(answer.data)["AuthMethod"]), (0, "CHAP"))
    answer = await peer.step(SECURITY, {"CHAP_A": algorithms})
    same(answer.words[4], 0, "status")
    return peer, unpack_text(answer.data)


def _proof(told: dict[str, str], secret: str = SECRET, name: str = ACCOUNT) -> dict[str, str | None]:
    proof = chap.response(
        int(told["CHAP_A"]), int(told["CHAP_I"]), secret.encode(), chap.decode(told["CHAP_C"])
    )
    return {"CHAP_N": name, "CHAP_R": chap.encode(proof)}


def _chap() -> None:
    for number in chap.ALGORITHMS:

        @case(f"chap.algorithm-{number}", "12.1.3")
        async def _(context: CaseContext, number: int = number) -> None:
            peer, told = await _challenged(context, GUARDED, f"4,{number}")
            same(told["CHAP_A"], str(number))
            answer = await peer.step(FINAL | 1, _proof(told))
            same((answer.words[4], answer.flags & 0x83), (0, FINAL | 1))
            same((await peer.step(OPERATIONAL, {})).words[4], 0)

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
            peer, told = await _challenged(context, GUARDED)
            answer = await peer.step(FINAL | 1, {**_proof(told), **changes})
            same((answer.words[4] >> 16, answer.data), (0x0201, b""), "status, without a hint")
            await peer.ended()


_chap()


@case("chap.refused.algorithm", "12.1.3")
async def _no_algorithm(context: CaseContext) -> None:
    context.ours()
    peer = await context.peer(GUARDED)
    await peer.step(SECURITY, peer.names(AuthMethod="CHAP"))
    same((await peer.step(SECURITY, {"CHAP_A": "1,2"})).words[4] >> 16, 0x0201)


@case("chap.refused.skipped", "12")
async def _skipped(context: CaseContext) -> None:
    context.ours()
    peer = await context.peer(GUARDED)
    same((await peer.step(OPERATIONAL, peer.names())).words[4] >> 16, 0x0201)


@case("chap.refused.none", "12")
async def _none(context: CaseContext) -> None:
    context.ours()
    peer = await context.peer(GUARDED)
    same((await peer.step(FINAL | 1, peer.names(AuthMethod="None"))).words[4] >> 16, 0x0201)


@case("chap.refused.transit-too-soon", "6.3")
async def _too_soon(context: CaseContext) -> None:
    context.ours()
    peer = await context.peer(GUARDED)
    answer = await peer.step(FINAL | 1, peer.names(AuthMethod="CHAP"))
    same((answer.words[4], answer.flags & FINAL), (0, 0), "status and transit")


@case("chap.refused.keys-unasked", "12.1.3")
async def _unasked(context: CaseContext) -> None:
    peer = await context.peer()
    answer = await peer.step(SECURITY, peer.names(AuthMethod="None", CHAP_N="x", CHAP_R="0x00"))
    same(answer.words[4] >> 24, 2, "status class")


@case("chap.base64", "6.1")
async def _base64(context: CaseContext) -> None:
    import base64

    peer, told = await _challenged(context, GUARDED)
    proof = _proof(told)
    raw = chap.decode(str(proof["CHAP_R"]))
    answer = await peer.step(FINAL | 1, {**proof, "CHAP_R": "0b" + base64.b64encode(raw).decode()})
    same(answer.words[4], 0, "status")


@case("chap.mutual", "12.1.3")
async def _mutual(context: CaseContext) -> None:
    peer, told = await _challenged(context, MUTUAL)
    mine = bytes(range(32))
    answer = await peer.step(
        FINAL | 1, {**_proof(told, name="mutual"), "CHAP_I": "9", "CHAP_C": chap.encode(mine)}
    )
    same(answer.words[4], 0, "status")
    given = unpack_text(answer.data)
    same(given["CHAP_N"], OWN_ACCOUNT)
    same(chap.decode(given["CHAP_R"]), chap.response(5, 9, OWN_SECRET.encode(), mine), "the target's proof")


@case("chap.mutual.reflected", "9.2.1")
async def _reflected(context: CaseContext) -> None:
    peer, told = await _challenged(context, MUTUAL)
    answer = await peer.step(
        FINAL | 1, {**_proof(told, name="mutual"), "CHAP_I": told["CHAP_I"], "CHAP_C": told["CHAP_C"]}
    )
    same((answer.words[4] >> 16, answer.data), (0x0201, b""))


@case("chap.mutual.not-had", "12.1.3")
async def _not_had(context: CaseContext) -> None:
    peer, told = await _challenged(context, GUARDED)
    answer = await peer.step(FINAL | 1, {**_proof(told), "CHAP_I": "1", "CHAP_C": chap.encode(bytes(16))})
    same(answer.words[4] >> 16, 0x0201)


@case("chap.challenges-differ", "9.2.1")
async def _differ(context: CaseContext) -> None:
    seen = {(await _challenged(context, GUARDED))[1]["CHAP_C"] for _ in range(4)}
    same(len(seen), 4, "different challenges")


# Discovery and text


async def _discovery(context: CaseContext) -> Peer:
    peer = await context.peer()
    answer = await peer.step(OPERATIONAL, peer.names(SessionType="Discovery", TargetName=None))
    same(answer.words[4], 0, "status")
    return peer


async def _text(peer: Peer, pairs: dict[str, str], **changes: int) -> Pdu:
    words = [RESERVED_TAG, 0, 0, 0, 0, 0, 0]
    peer.put(
        Pdu(
            Op.TEXT,
            changes.get("flags", FINAL),
            tag=changes.get("tag", 40),
            words=words,
            data=pack_text(pairs.items()),
        )
    )
    return await peer.get(Op.TEXT_RESPONSE)


@case("text.send-targets-all", "Appendix C")
async def _all(context: CaseContext) -> None:
    peer = await _discovery(context)
    answer = await _text(peer, {"SendTargets": "All"})
    items = [item.decode().partition("=") for item in answer.data.split(b"\0")]
    names = [value for key, _, value in items if key == "TargetName"]
    expect(context.target in names and PRIVATE not in names, f"{names}")
    expect(b"TargetAddress=" in answer.data, "no address")
    same((answer.tag, answer.words[0], answer.flags & FINAL), (40, RESERVED_TAG, FINAL))


@case("text.send-targets-one", "Appendix C")
async def _one(context: CaseContext) -> None:
    peer = await _discovery(context)
    told = unpack_text((await _text(peer, {"SendTargets": context.target})).data)
    same(told["TargetName"], context.target)


@case("text.send-targets-unknown", "Appendix C")
async def _unknown(context: CaseContext) -> None:
    peer = await _discovery(context)
    same((await _text(peer, {"SendTargets": "iqn.2026-12.org.lemonridge:none"})).data, b"")


@case("text.send-targets-empty", "Appendix C")
async def _empty(context: CaseContext) -> None:
    peer = await context.session()
    told = unpack_text((await _text(peer, {"SendTargets": ""})).data)
    same(told["TargetName"], context.target)


@case("text.unknown-key", "6.2")
async def _unknown_key(context: CaseContext) -> None:
    peer = await context.session()
    same(unpack_text((await _text(peer, {"X-odd": "1"})).data), {"X-odd": "NotUnderstood"})


@case("text.leading-only-key", "13.2")
async def _leading(context: CaseContext) -> None:
    peer = await context.session()
    same(unpack_text((await _text(peer, {"MaxConnections": "2"})).data), {"MaxConnections": "Reject"})


@case("text.segment", "13.12")
async def _resegment(context: CaseContext) -> None:
    """A new MaxRecvDataSegmentLength holds from then on."""
    peer = await context.session(MaxRecvDataSegmentLength="8192")
    await _text(peer, {"MaxRecvDataSegmentLength": "512"})
    data = await peer.good(b"\x28" + bytes(6) + b"\0\x08\0", read=4096)
    same(len(data), 4096)
    peer.command(b"\x28" + bytes(6) + b"\0\x08\0", read=4096)
    expect(len((await peer.get(Op.DATA_IN)).data) <= 512, "a segment past what was declared")


@case("text.split", "11.10")
async def _split(context: CaseContext) -> None:
    peer = await _discovery(context)
    text = pack_text([("SendTargets", context.target)])
    peer.put(Pdu(Op.TEXT, CONTINUE, tag=41, words=[RESERVED_TAG, 0, 0, 0, 0, 0, 0], data=text[:9]))
    first = await peer.get(Op.TEXT_RESPONSE)
    same((first.data, first.flags & FINAL, first.tag), (b"", 0, 41))
    expect(first.words[0] != RESERVED_TAG, "no transfer tag for the rest")
    peer.put(Pdu(Op.TEXT, FINAL, tag=41, words=[RESERVED_TAG, 0, 0, 0, 0, 0, 0], data=text[9:]))
    same(unpack_text((await peer.get(Op.TEXT_RESPONSE)).data)["TargetName"], context.target)


@case("text.no-such-exchange", "11.10.4")
async def _no_exchange(context: CaseContext) -> None:
    peer = await context.session()
    peer.put(Pdu(Op.TEXT, FINAL, tag=41, words=[77, 0, 0, 0, 0, 0, 0]))
    await peer.rejected(0x04)


@case("text.malformed", "6.1")
async def _malformed(context: CaseContext) -> None:
    peer = await context.session()
    peer.put(Pdu(Op.TEXT, FINAL, tag=41, words=[RESERVED_TAG, 0, 0, 0, 0, 0, 0], data=b"no value\0"))
    await peer.rejected(0x04)
    await peer.ended()


@case("discovery.no-commands", "4.3")
async def _no_commands(context: CaseContext) -> None:
    peer = await _discovery(context)
    peer.command(b"\x00" * 6)
    await peer.rejected(0x04)


@case("discovery.logout", "11.14")
async def _discovery_logout(context: CaseContext) -> None:
    peer = await _discovery(context)
    peer.put(Pdu(Op.LOGOUT, FINAL, tag=3))
    same((await peer.get(Op.LOGOUT_RESPONSE)).byte2, 0)
    await peer.ended()

"""Cases of login, negotiation, CHAP, discovery and text requests (RFC 7143, chapters 6, 12 and 13)."""

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

OPERATIONAL_TO_FULL_FEATURE = FINAL | 1 << 2 | 3  # stage transition
SECURITY_STAGE = 0  # without a transition


def _is_permitted_answer(name: str, offer: str, answer: str) -> bool:
    """Returns whether the key's rule permits an answer to an offer, whatever the target supports."""
    key = keys.TABLE[name]
    if key.kind is keys.NegotiationType.LIST:
        return answer in offer.split(",") or answer == keys.REJECT
    if key.kind in (keys.NegotiationType.LEAST, keys.NegotiationType.MOST):
        answered, offered = keys.parse_number(answer), keys.parse_number(offer)
        if answered is None or offered is None or not key.low <= answered <= key.high:
            return False
        return answered <= offered if key.kind is keys.NegotiationType.LEAST else answered >= offered
    if key.kind is keys.NegotiationType.AND and offer == "No":
        return answer == "No"
    if key.kind is keys.NegotiationType.OR and offer == "Yes":
        return answer == "Yes"
    return answer in ("Yes", "No")


LEGAL_OFFERS = {
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
ILLEGAL_OFFERS = {
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
UNKNOWN_KEYS = ("X-org.example.Odd", "Z-what", "NoSuchKey", "X#Odd")
OBSOLETE_KEYS = ("IFMarker", "OFMarker", "IFMarkInt", "OFMarkInt")


async def _negotiate_key(context: CaseContext, name: str, offer: str) -> str:
    """Logs in with one additional key and returns the target's answer to it."""
    peer = await context.connect()
    answer = await peer.login_step(OPERATIONAL_TO_FULL_FEATURE, peer.login_keys(**{name: offer}))
    expect_equal(answer.words[4] >> 16, 0, "login status")
    answers = unpack_text(answer.data)
    expect(name in answers, f"{name} was not answered")
    return answers[name]


def _register_negotiation_cases() -> None:
    for name, offers in LEGAL_OFFERS.items():
        for number, offer in enumerate(offers):

            @case(f"negotiate.{name}.legal-{number}", keys.TABLE[name].section)
            async def _(context: CaseContext, name: str = name, offer: str = offer) -> None:
                """The answer to a legal offer is one that the key's rule permits."""
                answer = await _negotiate_key(context, name, offer)
                expect(_is_permitted_answer(name, offer, answer), f"{name}={offer} was answered {answer}")

    for name, offers in ILLEGAL_OFFERS.items():
        for number, offer in enumerate(offers):

            @case(f"negotiate.{name}.illegal-{number}", "6.2")
            async def _(context: CaseContext, name: str = name, offer: str = offer) -> None:
                """The answer to an illegal value is Reject."""
                expect_equal(await _negotiate_key(context, name, offer), keys.REJECT)

    for name in UNKNOWN_KEYS:

        @case(f"negotiate.unknown.{name}", "6.2")
        async def _(context: CaseContext, name: str = name) -> None:
            """The answer to an unknown key is NotUnderstood."""
            expect_equal(await _negotiate_key(context, name, "1"), keys.NOT_UNDERSTOOD)

    for name in OBSOLETE_KEYS:

        @case(f"negotiate.obsolete.{name}", "13.25")
        async def _(context: CaseContext, name: str = name) -> None:
            """The answer to an obsolete marker key is Reject or No."""
            expect(await _negotiate_key(context, name, "No") in (keys.REJECT, "No"), "neither Reject nor No")


_register_negotiation_cases()


@case("negotiate.segment.declared", "13.12")
async def _declared_segment_length_is_respected(context: CaseContext) -> None:
    """The target declares its own MaxRecvDataSegmentLength and respects the initiator's."""
    peer = await context.open_session(MaxRecvDataSegmentLength="512")
    expect(int(peer.negotiated["MaxRecvDataSegmentLength"]) >= 512, "the target's own is not declared")
    tag = peer.send_command(b"\x12\x01\x00\x00\xff", read=255)  # INQUIRY
    pdu = await peer.receive(Op.DATA_IN)
    expect(pdu.tag == tag and len(pdu.data) <= 512, "a segment past what was declared")


@case("negotiate.twice", "6.3")
async def _key_twice_in_one_request_fails_login(context: CaseContext) -> None:
    """A key that occurs twice in one request fails the login."""
    peer = await context.connect()
    answer = await peer.login_step(
        OPERATIONAL_TO_FULL_FEATURE,
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
async def _key_in_two_requests_fails_login(context: CaseContext) -> None:
    """A key that was negotiated in an earlier request cannot be offered again."""
    peer = await context.connect()
    first = await peer.login_step(1 << 2, peer.login_keys(InitialR2T="Yes"))
    expect_equal((first.words[4] >> 16, first.flags & FINAL), (0, 0), "status and transit")
    answer = await peer.login_step(OPERATIONAL_TO_FULL_FEATURE, {"InitialR2T": "No"})
    expect_equal(answer.words[4] >> 24, 2, "status class")


@case("negotiate.order", "6.2")
async def _key_order_and_split_do_not_matter(context: CaseContext) -> None:
    """The order of the keys and their split over PDUs do not change the answers."""
    offers = {
        "MaxBurstLength": "8192",
        "FirstBurstLength": "4096",
        "ImmediateData": "No",
        "InitialR2T": "Yes",
        "ErrorRecoveryLevel": "1",
        "HeaderDigest": "None",
    }
    answers = []
    for round_ in range(3):
        peer = await context.connect()
        pairs = list(offers.items())
        context.random.shuffle(pairs)
        text = pack_text([(name, str(value)) for name, value in [*peer.login_keys().items(), *pairs]])
        if round_:
            split_position = context.random.randrange(1, len(text))
            partial_answer = await peer.login_step(CONTINUE | 1 << 2, text[:split_position])
            expect_equal(
                (partial_answer.data, partial_answer.flags & FINAL), (b"", 0), "the answer to a first part"
            )
            text = text[split_position:]
        answer = unpack_text((await peer.login_step(OPERATIONAL_TO_FULL_FEATURE, text)).data)
        answers.append({name: answer[name] for name in offers})
    expect(answers[0] == answers[1] == answers[2], f"the answers differ: {answers}")


@case("negotiate.steps", "6.2")
async def _keys_in_separate_requests_are_accepted(context: CaseContext) -> None:
    """The keys may be spread over several requests."""
    peer = await context.connect()
    requests: list[dict[str, str | None]] = [
        peer.login_keys(),
        {"InitialR2T": "Yes"},
        {"ImmediateData": "No"},
        {},
    ]
    for number, request in enumerate(requests):
        answer = await peer.login_step(OPERATIONAL_TO_FULL_FEATURE if number == 3 else 1 << 2, request)
        expect_equal(answer.words[4] >> 16, 0, "status")
    expect_equal(answer.flags & 0x83, FINAL | 3, "transit")


@case("negotiate.much", "6.1")
async def _oversized_login_text_fails_login(context: CaseContext) -> None:
    """A login text that is continued over many requests is refused at the target's limit."""
    peer = await context.connect()
    await peer.login_step(CONTINUE | 1 << 2, pack_text([("InitiatorName", peer.initiator)]))
    for _ in range(8):
        answer = await peer.login_step(CONTINUE | 1 << 2, b"X-a=" + bytes([65]) * 4000)
        if answer.words[4]:
            break
    expect_equal(answer.words[4] >> 24, 2, "status class")


# Name, section, flags and stages, changed keys, expected status.
REFUSED_LOGINS: tuple[tuple[str, str, int, dict[str, str | None], int], ...] = (
    ("no-initiator", "13.5", OPERATIONAL_TO_FULL_FEATURE, {"InitiatorName": None}, 0x0207),
    ("no-target", "13.4", OPERATIONAL_TO_FULL_FEATURE, {"TargetName": None}, 0x0207),
    (
        "unknown-target",
        "13.4",
        OPERATIONAL_TO_FULL_FEATURE,
        {"TargetName": "iqn.2026-12.org.lemonridge:none"},
        0x0203,
    ),
    ("odd-type", "13.21", OPERATIONAL_TO_FULL_FEATURE, {"SessionType": "Odd"}, 0x0209),
    ("stage-2", "11.12.3", FINAL | 2 << 2 | 3, {}, 0x020B),
    ("stage-back", "11.12.3", FINAL | 1 << 2 | 0, {}, 0x020B),
    ("stage-same", "11.12.3", FINAL | 1 << 2 | 1, {}, 0x020B),
    ("transit-and-continue", "11.12.2", OPERATIONAL_TO_FULL_FEATURE | CONTINUE, {}, 0x020B),
    ("full-feature-stage", "11.12.3", FINAL | 3 << 2 | 3, {}, 0x020B),
)


def _register_refusal_cases() -> None:
    for name, section, flags, changes, status in REFUSED_LOGINS:

        @case(f"login.refused.{name}", section)
        async def _(
            context: CaseContext,
            flags: int = flags,
            changes: dict[str, str | None] = changes,
            status: int = status,
        ) -> None:
            """The target refuses the login with the expected status and closes the connection."""
            peer = await context.connect()
            answer = await peer.login_step(flags, peer.login_keys(**changes))
            expect_equal(answer.words[4] >> 16, status, "status")
            expect_equal(answer.flags & FINAL, 0, "transit")
            await peer.expect_close()


_register_refusal_cases()


@case("login.refused.version", "11.12.5")
async def _unsupported_version_is_refused(context: CaseContext) -> None:
    """A login with an unsupported protocol version is refused with status 0x0205."""
    peer = await context.connect()
    expect_equal(
        (await peer.login_step(OPERATIONAL_TO_FULL_FEATURE, peer.login_keys(), byte3=1, byte2=2)).words[4]
        >> 16,
        0x0205,
    )


@case("login.refused.not-a-login", "6.3")
async def _first_pdu_other_than_login_closes_connection(context: CaseContext) -> None:
    """A first PDU that is not a login request closes the connection."""
    peer = await context.connect()
    peer.send(Pdu(Op.SCSI_COMMAND, FINAL, tag=1))
    await peer.expect_close()


@case("login.refused.no-session", "11.12.7")
async def _unknown_tsih_is_refused(context: CaseContext) -> None:
    """A login with an unknown TSIH is refused with status 0x020A."""
    peer = await context.connect()
    expect_equal(
        (await peer.login_step(OPERATIONAL_TO_FULL_FEATURE, peer.login_keys(), tsih=0xFFFE)).words[4] >> 16,
        0x020A,
    )


@case("login.refused.forbidden", "11.13.5")
async def _initiator_without_permission_is_refused(context: CaseContext) -> None:
    """A target that does not permit the initiator refuses it with status 0x0202."""
    context.own_node()
    peer = await context.connect(RESTRICTED_TARGET)
    expect_equal(
        (await peer.login_step(OPERATIONAL_TO_FULL_FEATURE, peer.login_keys())).words[4] >> 16, 0x0202
    )


@case("login.refused.not-text", "6.1")
async def _invalid_utf8_is_refused(context: CaseContext) -> None:
    """A login text that is not valid UTF-8 is refused."""
    peer = await context.connect()
    expect_equal(
        (await peer.login_step(OPERATIONAL_TO_FULL_FEATURE, b"\xff\xfe=1\0")).words[4] >> 24,
        2,
        "status class",
    )


@case("login.refused.no-equals", "6.1")
async def _key_without_equals_sign_is_refused(context: CaseContext) -> None:
    """A login text with a key but no equals sign is refused."""
    peer = await context.connect()
    expect_equal(
        (await peer.login_step(OPERATIONAL_TO_FULL_FEATURE, b"InitiatorName\0")).words[4] >> 24,
        2,
        "status class",
    )


@case("login.response", "11.13")
async def _final_login_response_fields(context: CaseContext) -> None:
    """The final login response has the right ISID, TSIH, task tag, stages, portal group tag and ExpCmdSN."""
    peer = await context.connect()
    answer = await peer.login_step(OPERATIONAL_TO_FULL_FEATURE, peer.login_keys())
    expect_equal(answer.lun[:6], peer.isid, "ISID")
    expect(int.from_bytes(answer.lun[6:], "big") > 0, "no TSIH with the last response")
    expect_equal(
        (answer.tag, answer.flags & 0x8F), (7, OPERATIONAL_TO_FULL_FEATURE & 0x8F), "tag, and stages"
    )
    expect_equal(unpack_text(answer.data).get("TargetPortalGroupTag"), "1")
    expect_equal(answer.words[2], 1, "ExpCmdSN")


@case("login.security-first", "6.3")
async def _security_stage_before_operational_stage(context: CaseContext) -> None:
    """A login may go through the security stage with AuthMethod None to the operational stage."""
    peer = await context.connect()
    first = await peer.login_step(FINAL | 1, peer.login_keys(AuthMethod="CHAP,None"))
    expect_equal((first.words[4], unpack_text(first.data)["AuthMethod"]), (0, "None"))
    expect_equal(first.flags & 3, 1, "next stage")
    last = await peer.login_step(OPERATIONAL_TO_FULL_FEATURE, {})
    expect_equal((last.words[4], last.flags & 0x83), (0, FINAL | 3))


@case("login.security-to-full", "6.3")
async def _security_stage_to_full_feature_phase(context: CaseContext) -> None:
    """A login may go from the security stage straight to the full feature phase."""
    peer = await context.connect()
    answer = await peer.login_step(FINAL | 3, peer.login_keys(AuthMethod="None"))
    expect_equal((answer.words[4], answer.flags & 0x83), (0, FINAL | 3))


# CHAP


async def _request_challenge(
    context: CaseContext, target: str, algorithms: str = "5"
) -> tuple[Peer, dict[str, str]]:
    """Negotiates CHAP with a target and returns the connection and the keys of the target's challenge."""
    context.own_node()
    peer = await context.connect(target)
    answer = await peer.login_step(SECURITY_STAGE, peer.login_keys(AuthMethod="CHAP"))
    expect_equal((answer.words[4], unpack_text(answer.data)["AuthMethod"]), (0, "CHAP"))
    answer = await peer.login_step(SECURITY_STAGE, {"CHAP_A": algorithms})
    expect_equal(answer.words[4], 0, "status")
    return peer, unpack_text(answer.data)


def _chap_response(
    challenge: dict[str, str], secret: str = CHAP_SECRET, name: str = CHAP_ACCOUNT
) -> dict[str, str | None]:
    """Returns the keys that answer a challenge."""
    response = chap.response(
        int(challenge["CHAP_A"]), int(challenge["CHAP_I"]), secret.encode(), chap.decode(challenge["CHAP_C"])
    )
    return {"CHAP_N": name, "CHAP_R": chap.encode(response)}


def _register_chap_cases() -> None:
    for number in chap.ALGORITHMS:

        @case(f"chap.algorithm-{number}", "12.1.3")
        async def _(context: CaseContext, number: int = number) -> None:
            """CHAP succeeds with each supported algorithm."""
            peer, challenge = await _request_challenge(context, CHAP_TARGET, f"4,{number}")
            expect_equal(challenge["CHAP_A"], str(number))
            answer = await peer.login_step(FINAL | 1, _chap_response(challenge))
            expect_equal((answer.words[4], answer.flags & 0x83), (0, FINAL | 1))
            expect_equal((await peer.login_step(OPERATIONAL_TO_FULL_FEATURE, {})).words[4], 0)

    wrong_responses: dict[str, dict[str, str | None]] = {
        "secret": {"CHAP_R": chap.encode(bytes(16))},
        "name": {"CHAP_N": "nobody"},
        "no-name": {"CHAP_N": None},
        "no-response": {"CHAP_R": None},
        "malformed": {"CHAP_R": "0xzz"},
        "not-binary": {"CHAP_R": "12"},
        "short": {"CHAP_R": "0x00"},
    }
    for name, changes in wrong_responses.items():

        @case(f"chap.refused.{name}", "12.1.3")
        async def _(context: CaseContext, changes: dict[str, str | None] = changes) -> None:
            """A wrong CHAP response is refused, and the refusal does not reveal the reason."""
            peer, challenge = await _request_challenge(context, CHAP_TARGET)
            answer = await peer.login_step(FINAL | 1, {**_chap_response(challenge), **changes})
            expect_equal((answer.words[4] >> 16, answer.data), (0x0201, b""), "status, without a hint")
            await peer.expect_close()


_register_chap_cases()


@case("chap.refused.algorithm", "12.1.3")
async def _unsupported_chap_algorithms_are_refused(context: CaseContext) -> None:
    """An offer of only unsupported CHAP algorithms is refused."""
    context.own_node()
    peer = await context.connect(CHAP_TARGET)
    await peer.login_step(SECURITY_STAGE, peer.login_keys(AuthMethod="CHAP"))
    expect_equal((await peer.login_step(SECURITY_STAGE, {"CHAP_A": "1,2"})).words[4] >> 16, 0x0201)


@case("chap.refused.skipped", "12")
async def _login_without_security_stage_is_refused(context: CaseContext) -> None:
    """A login that skips the security stage is refused if the target requires CHAP."""
    context.own_node()
    peer = await context.connect(CHAP_TARGET)
    expect_equal(
        (await peer.login_step(OPERATIONAL_TO_FULL_FEATURE, peer.login_keys())).words[4] >> 16, 0x0201
    )


@case("chap.refused.none", "12")
async def _auth_method_none_is_refused(context: CaseContext) -> None:
    """AuthMethod None is refused if the target requires CHAP."""
    context.own_node()
    peer = await context.connect(CHAP_TARGET)
    expect_equal(
        (await peer.login_step(FINAL | 1, peer.login_keys(AuthMethod="None"))).words[4] >> 16, 0x0201
    )


@case("chap.refused.transit-too-soon", "6.3")
async def _transit_before_authentication_is_not_granted(context: CaseContext) -> None:
    """The target does not leave the security stage before CHAP is complete."""
    context.own_node()
    peer = await context.connect(CHAP_TARGET)
    answer = await peer.login_step(FINAL | 1, peer.login_keys(AuthMethod="CHAP"))
    expect_equal((answer.words[4], answer.flags & FINAL), (0, 0), "status and transit")


@case("chap.refused.keys-unasked", "12.1.3")
async def _chap_keys_without_chap_are_refused(context: CaseContext) -> None:
    """CHAP keys are refused if CHAP was not negotiated."""
    peer = await context.connect()
    answer = await peer.login_step(
        SECURITY_STAGE, peer.login_keys(AuthMethod="None", CHAP_N="x", CHAP_R="0x00")
    )
    expect_equal(answer.words[4] >> 24, 2, "status class")


@case("chap.base64", "6.1")
async def _base64_chap_response_is_accepted(context: CaseContext) -> None:
    """A CHAP response in base64 is accepted."""
    import base64

    peer, challenge = await _request_challenge(context, CHAP_TARGET)
    response = _chap_response(challenge)
    raw = chap.decode(str(response["CHAP_R"]))
    answer = await peer.login_step(FINAL | 1, {**response, "CHAP_R": "0b" + base64.b64encode(raw).decode()})
    expect_equal(answer.words[4], 0, "status")


@case("chap.mutual", "12.1.3")
async def _target_authenticates_itself(context: CaseContext) -> None:
    """In mutual CHAP, the target answers the initiator's challenge correctly."""
    peer, challenge = await _request_challenge(context, MUTUAL_CHAP_TARGET)
    own_challenge = bytes(range(32))
    answer = await peer.login_step(
        FINAL | 1,
        {**_chap_response(challenge, name="mutual"), "CHAP_I": "9", "CHAP_C": chap.encode(own_challenge)},
    )
    expect_equal(answer.words[4], 0, "status")
    answers = unpack_text(answer.data)
    expect_equal(answers["CHAP_N"], TARGET_CHAP_ACCOUNT)
    expect_equal(
        chap.decode(answers["CHAP_R"]),
        chap.response(5, 9, TARGET_CHAP_SECRET.encode(), own_challenge),
        "the target's proof",
    )


@case("chap.mutual.reflected", "9.2.1")
async def _reflected_challenge_is_refused(context: CaseContext) -> None:
    """The target refuses its own challenge as the initiator's challenge."""
    peer, challenge = await _request_challenge(context, MUTUAL_CHAP_TARGET)
    answer = await peer.login_step(
        FINAL | 1,
        {
            **_chap_response(challenge, name="mutual"),
            "CHAP_I": challenge["CHAP_I"],
            "CHAP_C": challenge["CHAP_C"],
        },
    )
    expect_equal((answer.words[4] >> 16, answer.data), (0x0201, b""))


@case("chap.mutual.not-had", "12.1.3")
async def _mutual_chap_without_target_secret_is_refused(context: CaseContext) -> None:
    """A challenge of the initiator is refused if the account has no secret for the target."""
    peer, challenge = await _request_challenge(context, CHAP_TARGET)
    answer = await peer.login_step(
        FINAL | 1, {**_chap_response(challenge), "CHAP_I": "1", "CHAP_C": chap.encode(bytes(16))}
    )
    expect_equal(answer.words[4] >> 16, 0x0201)


@case("chap.challenges-differ", "9.2.1")
async def _challenges_differ(context: CaseContext) -> None:
    """The target sends a new challenge in each login."""
    challenges = {(await _request_challenge(context, CHAP_TARGET))[1]["CHAP_C"] for _ in range(4)}
    expect_equal(len(challenges), 4, "different challenges")


# Discovery and text


async def _open_discovery_session(context: CaseContext) -> Peer:
    """Opens a connection and logs in to a discovery session."""
    peer = await context.connect()
    answer = await peer.login_step(
        OPERATIONAL_TO_FULL_FEATURE, peer.login_keys(SessionType="Discovery", TargetName=None)
    )
    expect_equal(answer.words[4], 0, "status")
    return peer


async def _exchange_text(peer: Peer, pairs: dict[str, str], **overrides: int) -> Pdu:
    """Sends a text request and returns the response; `overrides` may set the flags and the task tag."""
    words = [RESERVED_TAG, 0, 0, 0, 0, 0, 0]
    peer.send(
        Pdu(
            Op.TEXT,
            overrides.get("flags", FINAL),
            tag=overrides.get("tag", 40),
            words=words,
            data=pack_text(pairs.items()),
        )
    )
    return await peer.receive(Op.TEXT_RESPONSE)


@case("text.send-targets-all", "Appendix C")
async def _send_targets_all_lists_permitted_targets(context: CaseContext) -> None:
    """SendTargets=All lists the targets that the initiator may use, with their addresses."""
    peer = await _open_discovery_session(context)
    answer = await _exchange_text(peer, {"SendTargets": "All"})
    pairs = [item.decode().partition("=") for item in answer.data.split(b"\0")]
    names = [value for key, _, value in pairs if key == "TargetName"]
    expect(context.target in names and RESTRICTED_TARGET not in names, f"{names}")
    expect(b"TargetAddress=" in answer.data, "no address")
    expect_equal((answer.tag, answer.words[0], answer.flags & FINAL), (40, RESERVED_TAG, FINAL))


@case("text.send-targets-one", "Appendix C")
async def _send_targets_with_name_returns_target(context: CaseContext) -> None:
    """SendTargets with a target's name returns that target."""
    peer = await _open_discovery_session(context)
    answers = unpack_text((await _exchange_text(peer, {"SendTargets": context.target})).data)
    expect_equal(answers["TargetName"], context.target)


@case("text.send-targets-unknown", "Appendix C")
async def _send_targets_with_unknown_name_returns_nothing(context: CaseContext) -> None:
    """SendTargets with an unknown name returns an empty list."""
    peer = await _open_discovery_session(context)
    expect_equal((await _exchange_text(peer, {"SendTargets": "iqn.2026-12.org.lemonridge:none"})).data, b"")


@case("text.send-targets-empty", "Appendix C")
async def _send_targets_without_value_returns_session_target(context: CaseContext) -> None:
    """SendTargets without a value returns the target of a normal session."""
    peer = await context.open_session()
    answers = unpack_text((await _exchange_text(peer, {"SendTargets": ""})).data)
    expect_equal(answers["TargetName"], context.target)


@case("text.unknown-key", "6.2")
async def _unknown_text_key_is_not_understood(context: CaseContext) -> None:
    """The answer to an unknown key in a text request is NotUnderstood."""
    peer = await context.open_session()
    expect_equal(unpack_text((await _exchange_text(peer, {"X-odd": "1"})).data), {"X-odd": "NotUnderstood"})


@case("text.leading-only-key", "13.2")
async def _leading_only_key_is_rejected(context: CaseContext) -> None:
    """The answer to a leading-only key in the full feature phase is Reject."""
    peer = await context.open_session()
    expect_equal(
        unpack_text((await _exchange_text(peer, {"MaxConnections": "2"})).data), {"MaxConnections": "Reject"}
    )


@case("text.segment", "13.12")
async def _new_segment_length_applies(context: CaseContext) -> None:
    """A new MaxRecvDataSegmentLength applies to all later PDUs."""
    peer = await context.open_session(MaxRecvDataSegmentLength="8192")
    await _exchange_text(peer, {"MaxRecvDataSegmentLength": "512"})
    data = await peer.expect_good(b"\x28" + bytes(6) + b"\0\x08\0", read=4096)  # READ (10)
    expect_equal(len(data), 4096)
    peer.send_command(b"\x28" + bytes(6) + b"\0\x08\0", read=4096)
    expect(len((await peer.receive(Op.DATA_IN)).data) <= 512, "a segment past what was declared")


@case("text.split", "11.10")
async def _text_request_in_two_parts(context: CaseContext) -> None:
    """Each part of a text request but the last gets an empty response with a transfer tag."""
    peer = await _open_discovery_session(context)
    text = pack_text([("SendTargets", context.target)])
    peer.send(Pdu(Op.TEXT, CONTINUE, tag=41, words=[RESERVED_TAG, 0, 0, 0, 0, 0, 0], data=text[:9]))
    first = await peer.receive(Op.TEXT_RESPONSE)
    expect_equal((first.data, first.flags & FINAL, first.tag), (b"", 0, 41))
    expect(first.words[0] != RESERVED_TAG, "no transfer tag for the rest")
    peer.send(Pdu(Op.TEXT, FINAL, tag=41, words=[RESERVED_TAG, 0, 0, 0, 0, 0, 0], data=text[9:]))
    expect_equal(unpack_text((await peer.receive(Op.TEXT_RESPONSE)).data)["TargetName"], context.target)


@case("text.no-such-exchange", "11.10.4")
async def _unknown_text_transfer_tag_is_rejected(context: CaseContext) -> None:
    """A text request that continues an unknown exchange is rejected."""
    peer = await context.open_session()
    peer.send(Pdu(Op.TEXT, FINAL, tag=41, words=[77, 0, 0, 0, 0, 0, 0]))
    await peer.expect_reject(0x04)


@case("text.malformed", "6.1")
async def _malformed_text_is_rejected(context: CaseContext) -> None:
    """A malformed text request is rejected and the connection closed."""
    peer = await context.open_session()
    peer.send(Pdu(Op.TEXT, FINAL, tag=41, words=[RESERVED_TAG, 0, 0, 0, 0, 0, 0], data=b"no value\0"))
    await peer.expect_reject(0x04)
    await peer.expect_close()


@case("discovery.no-commands", "4.3")
async def _command_in_discovery_session_is_rejected(context: CaseContext) -> None:
    """A SCSI command in a discovery session is rejected."""
    peer = await _open_discovery_session(context)
    peer.send_command(b"\x00" * 6)  # TEST UNIT READY
    await peer.expect_reject(0x04)


@case("discovery.logout", "11.14")
async def _logout_of_discovery_session(context: CaseContext) -> None:
    """A discovery session can log out."""
    peer = await _open_discovery_session(context)
    peer.send(Pdu(Op.LOGOUT, FINAL, tag=3))
    expect_equal((await peer.receive(Op.LOGOUT_RESPONSE)).byte2, 0)
    await peer.expect_close()

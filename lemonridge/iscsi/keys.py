"""Text keys and their negotiation (RFC 7143, chapters 6 and 13). No I/O.

`TABLE` defines for each key its type, the phase in which it may be sent, its default and its bounds.
`Responder` answers the keys that a peer offers, and `apply_answers` evaluates a peer's answers to a proposal.
Neither depends on the order of the keys, nor on how the text was split into PDUs.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field, replace
from enum import Enum

TextPairs = list[tuple[str, str]]

NOT_UNDERSTOOD, REJECT, IRRELEVANT, NONE = "NotUnderstood", "Reject", "Irrelevant", "None"
RESERVED_VALUES = frozenset((NOT_UNDERSTOOD, REJECT, IRRELEVANT))
KEY_NAME_MAX, VALUE_MAX_BYTES = 63, 255  # length of a key name and of a simple value (RFC 7143, 6.1)
SEGMENT_LENGTH_MAX = 2**24 - 1  # bytes
TEXT_MAX_BYTES = 16 * 1024  # keys of one text, which may be split over several PDUs


class NegotiationType(Enum):
    """How the value of a key is determined (RFC 7143, 6.2)."""

    LIST = "list"  # the first offered value that the responder supports
    LEAST = "least"  # the minimum of both numbers
    MOST = "most"  # the maximum of both numbers
    AND = "and"  # Yes if both sides have Yes
    OR = "or"  # Yes if either side has Yes
    DECLARED = "declared"  # declared by one side, without an answer


class Phase(Enum):
    """The phase in which a key may be sent."""

    LEADING = "leading"  # only the login of a session's first connection
    LOGIN = "login"  # the login of any connection
    ANY = "any"  # the login and the full feature phase
    FULL = "full"  # only the full feature phase


@dataclass(frozen=True, slots=True)
class Key:
    """Definition of one text key.

    Attributes:
        name: Name of the key.
        kind: How its value is determined.
        phase: Phase in which it may be sent.
        default: Value that applies if the key is not negotiated; empty if there is none.
        low: Lowest permitted number.
        high: Highest permitted number.
        values: Permitted values of a list or a declaration; empty if any value is permitted.
        section: Section of RFC 7143 that defines the key.
    """

    name: str
    kind: NegotiationType
    phase: Phase
    default: str = ""
    low: int = 0
    high: int = 0
    values: tuple[str, ...] = ()
    section: str = ""


TABLE = {
    key.name: key
    for key in (
        Key("HeaderDigest", NegotiationType.LIST, Phase.LOGIN, NONE, values=("CRC32C", NONE), section="13.1"),
        Key("DataDigest", NegotiationType.LIST, Phase.LOGIN, NONE, values=("CRC32C", NONE), section="13.1"),
        Key("MaxConnections", NegotiationType.LEAST, Phase.LEADING, "1", 1, 65535, section="13.2"),
        Key("SendTargets", NegotiationType.DECLARED, Phase.FULL, section="13.3"),
        Key("TargetName", NegotiationType.DECLARED, Phase.LOGIN, section="13.4"),
        Key("InitiatorName", NegotiationType.DECLARED, Phase.LOGIN, section="13.5"),
        Key("TargetAlias", NegotiationType.DECLARED, Phase.ANY, section="13.6"),
        Key("InitiatorAlias", NegotiationType.DECLARED, Phase.ANY, section="13.7"),
        Key("TargetAddress", NegotiationType.DECLARED, Phase.ANY, section="13.8"),
        Key("TargetPortalGroupTag", NegotiationType.DECLARED, Phase.LOGIN, section="13.9"),
        Key("InitialR2T", NegotiationType.OR, Phase.LEADING, "Yes", section="13.10"),
        Key("ImmediateData", NegotiationType.AND, Phase.LEADING, "Yes", section="13.11"),
        Key(
            "MaxRecvDataSegmentLength",
            NegotiationType.DECLARED,
            Phase.ANY,
            "8192",
            512,
            SEGMENT_LENGTH_MAX,
            section="13.12",
        ),
        Key(
            "MaxBurstLength",
            NegotiationType.LEAST,
            Phase.LEADING,
            "262144",
            512,
            SEGMENT_LENGTH_MAX,
            section="13.13",
        ),
        Key(
            "FirstBurstLength",
            NegotiationType.LEAST,
            Phase.LEADING,
            "65536",
            512,
            SEGMENT_LENGTH_MAX,
            section="13.14",
        ),
        Key("DefaultTime2Wait", NegotiationType.MOST, Phase.LEADING, "2", 0, 3600, section="13.15"),
        Key("DefaultTime2Retain", NegotiationType.LEAST, Phase.LEADING, "20", 0, 3600, section="13.16"),
        Key("MaxOutstandingR2T", NegotiationType.LEAST, Phase.LEADING, "1", 1, 65535, section="13.17"),
        Key("DataPDUInOrder", NegotiationType.OR, Phase.LEADING, "Yes", section="13.18"),
        Key("DataSequenceInOrder", NegotiationType.OR, Phase.LEADING, "Yes", section="13.19"),
        Key("ErrorRecoveryLevel", NegotiationType.LEAST, Phase.LEADING, "0", 0, 2, section="13.20"),
        Key(
            "SessionType",
            NegotiationType.DECLARED,
            Phase.LOGIN,
            "Normal",
            values=("Normal", "Discovery"),
            section="13.21",
        ),
        Key(
            "TaskReporting",
            NegotiationType.LIST,
            Phase.LEADING,
            "RFC3720",
            values=("RFC3720",),
            section="13.23",
        ),
        Key("iSCSIProtocolLevel", NegotiationType.LEAST, Phase.LEADING, "1", 0, 31, section="13.24"),
        Key("AuthMethod", NegotiationType.LIST, Phase.LOGIN, NONE, values=("CHAP", NONE), section="12"),
    )
}

# Keys of RFC 3720 that are obsolete and answered with Reject (RFC 7143, 13.25)
OBSOLETE_KEYS = frozenset(("IFMarker", "OFMarker", "IFMarkInt", "OFMarkInt"))
_DIGITS = frozenset("0123456789")


class NegotiationError(Exception):
    """A violation of the negotiation rules, which ends the login; the message describes it."""


@dataclass(frozen=True, slots=True)
class NegotiatedParameters:
    """Negotiated parameters of a connection and its session.

    Attributes:
        header_digest: Whether headers carry a CRC32C digest.
        data_digest: Whether data segments carry a CRC32C digest.
        max_connections: MaxConnections.
        initial_r2t: InitialR2T.
        immediate_data: ImmediateData.
        send_segment: Largest data segment that the peer accepts, in bytes.
        recv_segment: Largest data segment that this side accepts, in bytes.
        max_burst: MaxBurstLength in bytes.
        first_burst: FirstBurstLength in bytes.
        time2wait: DefaultTime2Wait in seconds.
        time2retain: DefaultTime2Retain in seconds.
        max_r2t: MaxOutstandingR2T.
        data_pdu_in_order: DataPDUInOrder.
        data_sequence_in_order: DataSequenceInOrder.
        recovery_level: ErrorRecoveryLevel.
    """

    header_digest: bool = False
    data_digest: bool = False
    max_connections: int = 1
    initial_r2t: bool = True
    immediate_data: bool = True
    send_segment: int = 8192
    recv_segment: int = 8192
    max_burst: int = 262144
    first_burst: int = 65536
    time2wait: int = 2
    time2retain: int = 20
    max_r2t: int = 1
    data_pdu_in_order: bool = True
    data_sequence_in_order: bool = True
    recovery_level: int = 0

    def with_valid_first_burst(self) -> NegotiatedParameters:
        """Returns a copy whose FirstBurstLength does not exceed MaxBurstLength (RFC 7143, 13.14)."""
        return replace(self, first_burst=min(self.first_burst, self.max_burst))


@dataclass(frozen=True, slots=True)
class NegotiationPreferences:
    """The values that this side offers, or accepts as limits, in a negotiation.

    Attributes:
        digests: Digests for headers and data in the order of preference.
        max_connections: MaxConnections.
        initial_r2t: InitialR2T.
        immediate_data: ImmediateData.
        recv_segment: MaxRecvDataSegmentLength that this side declares, in bytes.
        max_burst: MaxBurstLength in bytes.
        first_burst: FirstBurstLength in bytes.
        time2wait: DefaultTime2Wait in seconds.
        time2retain: DefaultTime2Retain in seconds.
        max_r2t: MaxOutstandingR2T.
        recovery_level: ErrorRecoveryLevel.
        private_keys: Private (X-) keys that this side supports, with the answer to each.
    """

    digests: tuple[str, ...] = ("CRC32C", NONE)
    max_connections: int = 1
    initial_r2t: bool = False
    immediate_data: bool = True
    recv_segment: int = 65536
    max_burst: int = 262144
    first_burst: int = 65536
    time2wait: int = 2
    time2retain: int = 20
    max_r2t: int = 1
    recovery_level: int = 0
    private_keys: dict[str, str] = field(default_factory=dict)

    def value_of(self, name: str) -> str:
        """Returns the value that this side proposes for a key.

        Raises:
            KeyError: The key is not negotiated by this class.
        """
        booleans = {True: "Yes", False: "No"}
        return {
            "HeaderDigest": ",".join(self.digests),
            "DataDigest": ",".join(self.digests),
            "MaxConnections": str(self.max_connections),
            "InitialR2T": booleans[self.initial_r2t],
            "ImmediateData": booleans[self.immediate_data],
            "MaxBurstLength": str(self.max_burst),
            "FirstBurstLength": str(self.first_burst),
            "DefaultTime2Wait": str(self.time2wait),
            "DefaultTime2Retain": str(self.time2retain),
            "MaxOutstandingR2T": str(self.max_r2t),
            "DataPDUInOrder": "Yes",
            "DataSequenceInOrder": "Yes",
            "ErrorRecoveryLevel": str(self.recovery_level),
            "TaskReporting": "RFC3720",
            "iSCSIProtocolLevel": "1",
        }[name]


def parse_number(text: str) -> int | None:
    """Returns a numerical value in decimal or hexadecimal (RFC 7143, 6.1), or None if it is malformed."""
    if text[:2] in ("0x", "0X"):
        digits = text[2:]
        return (
            int(digits, 16) if digits and all(digit in "0123456789abcdefABCDEF" for digit in digits) else None
        )
    if not text or not _DIGITS.issuperset(text) or len(text) > 10:
        return None
    return int(text)


def parse_text(data: bytes) -> TextPairs:
    """Parses the text keys of a request or response.

    Args:
        data: Complete text, with a NUL byte after each key=value pair.

    Returns:
        Names and values in the order of the text.

    Raises:
        NegotiationError: An item is no key=value pair or not UTF-8, a name or a value is too long, or a key
            is present more than once (RFC 7143, 6.1 and 6.3).
    """
    pairs: TextPairs = []
    seen: set[str] = set()
    for item in data.split(b"\0"):
        if not item:
            continue
        try:
            name, equals, value = item.decode("utf-8").partition("=")
        except UnicodeDecodeError:
            raise NegotiationError("text is not UTF-8") from None
        if not equals or not name or len(name) > KEY_NAME_MAX:
            raise NegotiationError(f"malformed text key {name[:KEY_NAME_MAX]!r}")
        if name in seen:
            raise NegotiationError(f"{name} is present twice")
        if len(value.encode()) > VALUE_MAX_BYTES and not name.startswith("CHAP_"):
            raise NegotiationError(f"the value of {name} is too long")
        seen.add(name)
        pairs.append((name, value))
    return pairs


def negotiate(key: Key, offer: str, preference: str) -> str | None:
    """Determines the result of a negotiated key.

    A list result follows the order of the offer (RFC 7143, 6.2.1); the results of numbers and booleans do not
    depend on which side offers (6.2.2).

    Args:
        key: Definition of the key.
        offer: Value that one side offers.
        preference: Value that the other side prefers.

    Returns:
        The negotiated value, or None if the offer is not permitted.
    """
    if key.kind is NegotiationType.LIST:
        accepted = preference.split(",")
        return next((value for value in offer.split(",") if value in accepted and value in key.values), None)
    if key.kind in (NegotiationType.LEAST, NegotiationType.MOST):
        offered, preferred = parse_number(offer), parse_number(preference)
        if offered is None or preferred is None or not key.low <= offered <= key.high:
            return None
        return str(min(offered, preferred) if key.kind is NegotiationType.LEAST else max(offered, preferred))
    if offer not in ("Yes", "No"):
        return None
    both = (offer == "Yes", preference == "Yes")
    return "Yes" if (all(both) if key.kind is NegotiationType.AND else any(both)) else "No"


def _apply_result(parameters: NegotiatedParameters, name: str, result: str) -> NegotiatedParameters:
    """Returns a copy of `parameters` with the negotiated result of one key."""
    is_yes = result == "Yes"
    if name in ("HeaderDigest", "DataDigest"):
        enabled = result == "CRC32C"
        if name == "HeaderDigest":
            return replace(parameters, header_digest=enabled)
        return replace(parameters, data_digest=enabled)
    if name == "InitialR2T":
        return replace(parameters, initial_r2t=is_yes)
    if name == "ImmediateData":
        return replace(parameters, immediate_data=is_yes)
    if name == "DataPDUInOrder":
        return replace(parameters, data_pdu_in_order=is_yes)
    if name == "DataSequenceInOrder":
        return replace(parameters, data_sequence_in_order=is_yes)
    fields = {
        "MaxConnections": "max_connections",
        "MaxBurstLength": "max_burst",
        "FirstBurstLength": "first_burst",
        "DefaultTime2Wait": "time2wait",
        "DefaultTime2Retain": "time2retain",
        "MaxOutstandingR2T": "max_r2t",
        "ErrorRecoveryLevel": "recovery_level",
    }
    return replace(parameters, **{fields[name]: int(result)}) if name in fields else parameters  # type: ignore[arg-type]


class Responder:
    """Answers the keys that a peer offers, request by request.

    Attributes:
        preferences: Values that this side accepts.
        parameters: Parameters that were negotiated so far.
        private_keys: Supported private keys that the peer offered, with the offered values.
    """

    def __init__(self, preferences: NegotiationPreferences, leading: bool = True) -> None:
        """Creates a responder.

        Args:
            preferences: Values that this side accepts.
            leading: Whether the connection is the first of its session, which may negotiate all keys.
        """
        self.preferences, self._leading = preferences, leading
        self.parameters = NegotiatedParameters(recv_segment=8192)
        self.private_keys: dict[str, str] = {}
        self._received_keys: set[str] = set()
        self._segment_declared = False

    def answer(
        self, pairs: Iterable[tuple[str, str]], skip: frozenset[str] = frozenset(), declare: bool = False
    ) -> TextPairs:
        """Answers operational keys.

        Args:
            pairs: Keys that the peer offers.
            skip: Names of keys that are handled elsewhere and not answered here.
            declare: Whether to declare this side's MaxRecvDataSegmentLength, which happens once. It is also
                declared after the peer has declared its own.

        Returns:
            The answers, and the declaration if it is due.

        Raises:
            NegotiationError: A key was already sent in this login (RFC 7143, 6.3).
        """
        answers: TextPairs = []
        for name, value in pairs:
            if name in self._received_keys:
                raise NegotiationError(f"{name} is negotiated twice")
            self._received_keys.add(name)
            if name in skip:
                continue
            answer = self._answer_key(name, value)
            if answer is not None:
                answers.append((name, answer))
        if not self._segment_declared and (declare or "MaxRecvDataSegmentLength" in self._received_keys):
            self._segment_declared = True
            answers.append(("MaxRecvDataSegmentLength", str(self.preferences.recv_segment)))
            self.parameters = replace(self.parameters, recv_segment=self.preferences.recv_segment)
        return answers

    def _answer_key(self, name: str, value: str) -> str | None:
        """Returns the answer to one key; None if it has none."""
        if name in OBSOLETE_KEYS:
            return REJECT
        key = TABLE.get(name)
        if key is None:
            if name in self.preferences.private_keys:
                self.private_keys[name] = value
                return self.preferences.private_keys[name]
            return NOT_UNDERSTOOD
        if key.kind is NegotiationType.DECLARED:
            return self._receive_declaration(key, value)
        if (
            value in RESERVED_VALUES
            or key.phase is Phase.FULL
            or (key.phase is Phase.LEADING and not self._leading)
        ):
            return REJECT if value not in RESERVED_VALUES else None
        result = negotiate(key, value, self.preferences.value_of(name))
        if result is None:
            return REJECT
        self.parameters = _apply_result(self.parameters, name, result)
        return result

    def _receive_declaration(self, key: Key, value: str) -> str | None:
        """Applies a declared key; returns Reject if it is not permitted, otherwise None."""
        if key.name == "MaxRecvDataSegmentLength":
            length = parse_number(value)
            if length is None or not key.low <= length <= key.high:
                return REJECT
            self.parameters = replace(self.parameters, send_segment=length)
        elif key.phase is Phase.FULL or (key.values and value not in key.values):
            return REJECT
        return None


def apply_answers(
    proposed: Sequence[tuple[str, str]], answers: Iterable[tuple[str, str]], recv_segment: int
) -> tuple[NegotiatedParameters, dict[str, str]]:
    """Evaluates a peer's answers to a proposal.

    A key that was proposed but not answered, or not understood, keeps its default.

    Args:
        proposed: Proposed keys and values.
        answers: The peer's answers.
        recv_segment: MaxRecvDataSegmentLength that this side has declared, in bytes.

    Returns:
        The negotiated parameters, and the values of keys that `TABLE` does not define and of AuthMethod.

    Raises:
        NegotiationError: The proposal does not permit an answer (RFC 7143, 6.2): both sides would use
            different values.
    """
    offers, parameters, private_keys = (
        dict(proposed),
        NegotiatedParameters(recv_segment=recv_segment),
        dict[str, str](),
    )
    for name, value in answers:
        key = TABLE.get(name)
        if key is None or name == "AuthMethod":
            private_keys[name] = value
        elif name == "MaxRecvDataSegmentLength":
            length = parse_number(value)
            if length is None or not key.low <= length <= key.high:
                raise NegotiationError(f"{name}={value}")
            parameters = replace(parameters, send_segment=length)
        elif key.kind is not NegotiationType.DECLARED and value not in RESERVED_VALUES:
            # An answer is permitted if negotiating it as an offer against the proposal yields the answer.
            if name in offers and negotiate(key, value, offers[name]) != value:
                raise NegotiationError(f"{name}={value} answers {offers[name]}")
            parameters = _apply_result(parameters, name, value)
    return parameters.with_valid_first_burst(), private_keys


def proposal(preferences: NegotiationPreferences, names: Iterable[str]) -> TextPairs:
    """Returns the offers of an initiator for the named keys."""
    return [(name, preferences.value_of(name)) for name in names]

"""Text keys and their negotiation (RFC 7143, chapters 6 and 13). Pure.

A table says of each key its type, who may send it, in which phase, its default and its bounds; two functions
go by it: `Responder` answers what a peer offers, and `apply_answers` takes a peer's answers to what was
proposed. Neither depends on the order of the keys, nor on how they were split over PDUs.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field, replace
from enum import Enum

TextPairs = list[tuple[str, str]]

NOT_UNDERSTOOD, REJECT, IRRELEVANT, NONE = "NotUnderstood", "Reject", "Irrelevant", "None"
RESERVED = frozenset((NOT_UNDERSTOOD, REJECT, IRRELEVANT))
KEY_MAX, VALUE_MAX = 63, 255  # bytes of a key's name and of a plain value (6.1)
SEGMENT_TOP = 2**24 - 1


class NegotiationType(Enum):
    """How a key is settled."""

    LIST = "list"  # the first of the offers that the answerer takes
    LEAST = "least"  # the lesser of two numbers
    MOST = "most"  # the greater
    AND = "and"  # Yes if both say so
    OR = "or"  # Yes if one says so
    DECLARED = "declared"  # said, not answered


class Phase(Enum):
    """Where a key may be sent."""

    LEADING = "leading"  # the login of a session's first connection only
    LOGIN = "login"
    ANY = "any"  # in the login and in the full feature phase
    FULL = "full"  # in the full feature phase only


@dataclass(frozen=True, slots=True)
class Key:
    """One line of the table; bounds are of numbers, `values` of lists and declarations."""

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
            SEGMENT_TOP,
            section="13.12",
        ),
        Key(
            "MaxBurstLength",
            NegotiationType.LEAST,
            Phase.LEADING,
            "262144",
            512,
            SEGMENT_TOP,
            section="13.13",
        ),
        Key(
            "FirstBurstLength",
            NegotiationType.LEAST,
            Phase.LEADING,
            "65536",
            512,
            SEGMENT_TOP,
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

# Of RFC 3720, obsolete; whoever still offers them is answered so (13.25).
OBSOLETE = frozenset(("IFMarker", "OFMarker", "IFMarkInt", "OFMarkInt"))
_DIGITS = frozenset("0123456789")


class NegotiationError(Exception):
    """A breach of the rules of negotiation, after which the login is over; the text says which."""


@dataclass(frozen=True, slots=True)
class NegotiatedParameters:
    """What holds for a connection and its session, from this side's view; sizes are in bytes, times in s."""

    header_digest: bool = False
    data_digest: bool = False
    max_connections: int = 1
    initial_r2t: bool = True
    immediate_data: bool = True
    send_segment: int = 8192  # the largest data segment that the peer takes
    recv_segment: int = 8192  # and this side
    max_burst: int = 262144
    first_burst: int = 65536
    time2wait: int = 2
    time2retain: int = 20
    max_r2t: int = 1
    data_pdu_in_order: bool = True
    data_sequence_in_order: bool = True
    recovery_level: int = 0

    def with_valid_first_burst(self) -> NegotiatedParameters:
        """The first burst is part of a burst (13.14)."""
        return replace(self, first_burst=min(self.first_burst, self.max_burst))


@dataclass(frozen=True, slots=True)
class NegotiationPreferences:
    """What this side would have; each is a limit for its kind of key."""

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
    private_keys: dict[str, str] = field(default_factory=dict)  # X- keys that are understood, and the answers

    def value_of(self, name: str) -> str:
        """The value that this side would propose for a key."""
        yes = {True: "Yes", False: "No"}
        return {
            "HeaderDigest": ",".join(self.digests),
            "DataDigest": ",".join(self.digests),
            "MaxConnections": str(self.max_connections),
            "InitialR2T": yes[self.initial_r2t],
            "ImmediateData": yes[self.immediate_data],
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
    """A numerical value in decimal or hexadecimal (6.1); None if it is neither."""
    if text[:2] in ("0x", "0X"):
        digits = text[2:]
        return int(digits, 16) if digits and all(one in "0123456789abcdefABCDEF" for one in digits) else None
    if not text or not _DIGITS.issuperset(text) or len(text) > 10:
        return None
    return int(text)


def parse_text(data: bytes) -> TextPairs:
    """Text keys in their order; NegotiationError on what is no key=value, on a name or a value past its
    bound, and on a key that stands twice (6.1, 6.3).
    """
    pairs: TextPairs = []
    seen: set[str] = set()
    for item in data.split(b"\0"):
        if not item:
            continue
        try:
            name, equals, value = item.decode("utf-8").partition("=")
        except UnicodeDecodeError:
            raise NegotiationError("text that is not UTF-8") from None
        if not equals or not name or len(name) > KEY_MAX:
            raise NegotiationError(f"malformed text key {name[:KEY_MAX]!r}")
        if name in seen:
            raise NegotiationError(f"{name} stands twice")
        if len(value.encode()) > VALUE_MAX and not name.startswith("CHAP_"):
            raise NegotiationError(f"the value of {name} is too long")
        seen.add(name)
        pairs.append((name, value))
    return pairs


def settle(key: Key, offer: str, wish: str) -> str | None:
    """The result of a negotiated key from one side's offer and the other's wish; None if the offer is not
    legal. Lists keep the offerer's order (6.2.1); numbers and booleans come out alike whoever offers
    (6.2.2).
    """
    if key.kind is NegotiationType.LIST:
        takes = wish.split(",")
        return next((one for one in offer.split(",") if one in takes and one in key.values), None)
    if key.kind in (NegotiationType.LEAST, NegotiationType.MOST):
        told, own = parse_number(offer), parse_number(wish)
        if told is None or own is None or not key.low <= told <= key.high:
            return None
        return str(min(told, own) if key.kind is NegotiationType.LEAST else max(told, own))
    if offer not in ("Yes", "No"):
        return None
    both = (offer == "Yes", wish == "Yes")
    return "Yes" if (all(both) if key.kind is NegotiationType.AND else any(both)) else "No"


def _take(agreed: NegotiatedParameters, name: str, result: str) -> NegotiatedParameters:
    """A settled key as what now holds."""
    yes = result == "Yes"
    if name in ("HeaderDigest", "DataDigest"):
        on = result == "CRC32C"
        if name == "HeaderDigest":
            return replace(agreed, header_digest=on)
        return replace(agreed, data_digest=on)
    if name == "InitialR2T":
        return replace(agreed, initial_r2t=yes)
    if name == "ImmediateData":
        return replace(agreed, immediate_data=yes)
    if name == "DataPDUInOrder":
        return replace(agreed, data_pdu_in_order=yes)
    if name == "DataSequenceInOrder":
        return replace(agreed, data_sequence_in_order=yes)
    fields = {
        "MaxConnections": "max_connections",
        "MaxBurstLength": "max_burst",
        "FirstBurstLength": "first_burst",
        "DefaultTime2Wait": "time2wait",
        "DefaultTime2Retain": "time2retain",
        "MaxOutstandingR2T": "max_r2t",
        "ErrorRecoveryLevel": "recovery_level",
    }
    return replace(agreed, **{fields[name]: int(result)}) if name in fields else agreed  # type: ignore[arg-type]


class Responder:
    """Answers a peer's keys in the login, PDU by PDU, and keeps what was agreed."""

    def __init__(self, wishes: NegotiationPreferences, leading: bool = True) -> None:
        self.preferences, self._leading = wishes, leading
        self.parameters = NegotiatedParameters(recv_segment=8192)
        self.private_keys: dict[str, str] = {}
        self._seen: set[str] = set()
        self._declared = False

    def answer(
        self, pairs: Iterable[tuple[str, str]], skip: frozenset[str] = frozenset(), declare: bool = False
    ) -> TextPairs:
        """The answers to operational keys; keys of `skip` are settled elsewhere. With `declare` this side's
        own length of data segments is told, once.

        NegotiationError on a key that is sent again in the login (6.3).
        """
        answers: TextPairs = []
        for name, value in pairs:
            if name in self._seen:
                raise NegotiationError(f"{name} is negotiated twice")
            self._seen.add(name)
            if name in skip:
                continue
            told = self._one(name, value)
            if told is not None:
                answers.append((name, told))
        if not self._declared and (declare or "MaxRecvDataSegmentLength" in self._seen):
            self._declared = True
            answers.append(("MaxRecvDataSegmentLength", str(self.preferences.recv_segment)))
            self.parameters = replace(self.parameters, recv_segment=self.preferences.recv_segment)
        return answers

    def _one(self, name: str, value: str) -> str | None:
        if name in OBSOLETE:
            return REJECT
        key = TABLE.get(name)
        if key is None:
            if name in self.preferences.private_keys:
                self.private_keys[name] = value
                return self.preferences.private_keys[name]
            return NOT_UNDERSTOOD
        if key.kind is NegotiationType.DECLARED:
            return self._declaration(key, value)
        if value in RESERVED or key.phase is Phase.FULL or (key.phase is Phase.LEADING and not self._leading):
            return REJECT if value not in RESERVED else None
        result = settle(key, value, self.preferences.value_of(name))
        if result is None:
            return REJECT
        self.parameters = _take(self.parameters, name, result)
        return result

    def _declaration(self, key: Key, value: str) -> str | None:
        if key.name == "MaxRecvDataSegmentLength":
            told = parse_number(value)
            if told is None or not key.low <= told <= key.high:
                return REJECT
            self.parameters = replace(self.parameters, send_segment=told)
        elif key.phase is Phase.FULL or (key.values and value not in key.values):
            return REJECT
        return None


def apply_answers(
    proposed: Sequence[tuple[str, str]], answers: Iterable[tuple[str, str]], recv_segment: int
) -> tuple[NegotiatedParameters, dict[str, str]]:
    """What holds after a peer's answers to what was proposed, and its private keys.

    NegotiationError if an answer is none that the proposal allows (6.2): the peer and this side would go by
    different figures. What was proposed and not answered, or not understood, keeps its default.
    """
    offers, agreed, private = (
        dict(proposed),
        NegotiatedParameters(recv_segment=recv_segment),
        dict[str, str](),
    )
    for name, value in answers:
        key = TABLE.get(name)
        if key is None or name == "AuthMethod":
            private[name] = value
        elif name == "MaxRecvDataSegmentLength":
            told = parse_number(value)
            if told is None or not key.low <= told <= key.high:
                raise NegotiationError(f"{name}={value}")
            agreed = replace(agreed, send_segment=told)
        elif key.kind is not NegotiationType.DECLARED and value not in RESERVED:
            # An answer is legal if, as an offer, it comes out as itself against what was proposed.
            if name in offers and settle(key, value, offers[name]) != value:
                raise NegotiationError(f"{name}={value} answers {offers[name]}")
            agreed = _take(agreed, name, value)
    return agreed.with_valid_first_burst(), private


def proposal(wishes: NegotiationPreferences, names: Iterable[str]) -> TextPairs:
    """What an initiator offers for the named keys."""
    return [(name, wishes.value_of(name)) for name in names]

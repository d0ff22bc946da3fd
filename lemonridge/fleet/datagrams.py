"""The datagram between brokers: at most 256 bytes, each standing alone, checked whole before it counts.

A head names the version, the roster, the sender with its incarnation, a number and the sender's time; items
follow, of a fixed length each by their type. CRC32C (RFC 3720, B.4) covers all of it; where the operators
gave a secret, a keyed tag (BLAKE2s, RFC 7693) goes behind, and without it nothing is believed. What cannot be
read to its last byte is worth nothing.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum, IntEnum
from struct import Struct
from struct import error as StructError  # noqa: N812 - it is the module's name for it
from typing import ClassVar, Protocol

import crc32c

DATAGRAM_MAX_BYTES = 256  # bytes: PROTOCOL, "Between brokers"
VERSION = 0xB2  # of the layout below; another one is not read
TAG_BYTES = 8  # bytes of the keyed tag
_HEADER = Struct("<BBHHQBII")  # version, state, roster, sender, life, round, number, sent
_CHECK = Struct("<I")
HEADER_BYTES = _HEADER.size + _CHECK.size
WRAP_MODULUS = 1 << 32  # of numbers and of times in milliseconds


class MemberState(IntEnum):
    """What a member is held to be. Of one incarnation and round, the higher one overrules."""

    ABSENT = 0  # never heard of
    JOINING = 1  # up, and not yet in possession of all that is its own
    UP = 2
    LEAVING = 3
    SUSPECT = 4
    DEAD = 5
    LEFT = 6


class DatagramFault(Enum):
    """Why a datagram was not taken."""

    SHORT = "short"
    VERSION = "version"
    CHECKSUM = "checksum"
    FORGED = "forged"  # no tag, or a wrong one
    ROSTER = "roster"
    ADDRESS = "address"  # it does not come from where its sender is
    MALFORMED = "malformed"
    OLD = "old"  # of an incarnation that is over, or sent too long ago
    REPLAYED = "replayed"
    OVERRUN = "overrun"  # more than are read in a second


@dataclass(frozen=True, slots=True)
class Ping:
    """Are you there, `who`? `nonce` comes back. Filled up, so that an answer with a word on how its sender is
    held is no longer than the question.
    """

    LAYOUT: ClassVar[Struct] = Struct("<HH13x")
    nonce: int
    who: int


@dataclass(frozen=True, slots=True)
class Ack:
    """Member `who` is there."""

    LAYOUT: ClassVar[Struct] = Struct("<HH")
    nonce: int
    who: int


@dataclass(frozen=True, slots=True)
class PingRequest:
    """Ask member `who` for me, and pass its answer on (SWIM, section 3.1: ping-req)."""

    LAYOUT: ClassVar[Struct] = Struct("<HH")
    nonce: int
    who: int


@dataclass(frozen=True, slots=True)
class MembershipUpdate:
    """What the sender holds member `who` to be, of one incarnation."""

    LAYOUT: ClassVar[Struct] = Struct("<HQBB")
    who: int
    incarnation: int
    round: int
    state: int


@dataclass(frozen=True, slots=True)
class LoanRequest:
    """Lend me `parts` of budget `kind`/`key` for `span_ms` from when I sent this; `hosts` is how many share
    it, `ask` this question's number, which is never used again by this incarnation. `born_ms` is when the
    node's cold spell began by the sender's knowledge, in wrapping milliseconds; 0 for other budgets.
    """

    LAYOUT: ClassVar[Struct] = Struct("<BQBIIHI")
    kind: int
    key: int
    hosts: int
    ask: int
    parts: int
    span_ms: int
    born_ms: int = 0


@dataclass(frozen=True, slots=True)
class LoanGrant:
    """Lent for question `ask`: `parts`, perhaps 0. `holds` says whether the giver uses the budget itself, and
    `hint`, less 1, is another that told it so; 0 is none.
    """

    LAYOUT: ClassVar[Struct] = Struct("<BQIIBH")
    kind: int
    key: int
    ask: int
    parts: int
    holds: int
    hint: int = 0


@dataclass(frozen=True, slots=True)
class LoanRelease:
    """Nothing that was lent for questions up to `ask` is used any more, nor will be."""

    LAYOUT: ClassVar[Struct] = Struct("<BQI")
    kind: int
    key: int
    ask: int


@dataclass(frozen=True, slots=True)
class LoanRecall:
    """This incarnation of mine has just begun: use nothing any more that one before lent you, and say so.
    Filled up to the length of its answer.
    """

    LAYOUT: ClassVar[Struct] = Struct("<8x")


@dataclass(frozen=True, slots=True)
class LoanRecallAck:
    """Nothing is used that an incarnation before `incarnation` lent, nor will be."""

    LAYOUT: ClassVar[Struct] = Struct("<Q")
    incarnation: int


@dataclass(frozen=True, slots=True)
class UsageTotal:
    """All that the sender's incarnation has counted of `kind`/`key` so far, in thousandths."""

    LAYOUT: ClassVar[Struct] = Struct("<BQQ")
    kind: int
    key: int
    total: int


@dataclass(frozen=True, slots=True)
class HealthReport:
    """What the sender has seen itself of a node, `age_ms` ago, on `weight` observations."""

    LAYOUT: ClassVar[Struct] = Struct("<QBBH")
    endpoint_id: int
    what: int
    weight: int
    age_ms: int


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Nothing but the head: the sender is there, and there was no more to tell."""

    LAYOUT: ClassVar[Struct] = Struct("")


# A change of policy (lemonridge/rollout). Each question is filled up to the length of its answer.


@dataclass(frozen=True, slots=True)
class LeaseAsk:
    """I decide by epochs `low` to `high` (above `high`: by none), and would go by `want`, whose state is
    `name`, alone.
    """

    LAYOUT: ClassVar[Struct] = Struct("<IIII8s16x")
    ask: int
    low: int
    high: int
    want: int
    name: bytes


@dataclass(frozen=True, slots=True)
class Lease:
    """For question `ask`: go by `low` to `high` (above `high`: nothing is granted). The newest that I know to
    be decided is `epoch`, state `name`; my store is `ident`.
    """

    LAYOUT: ClassVar[Struct] = Struct("<IIII8sQ")
    ask: int
    low: int
    high: int
    epoch: int
    name: bytes
    ident: int


@dataclass(frozen=True, slots=True)
class Prepare:
    """Phase 1a of the slot's agreement."""

    LAYOUT: ClassVar[Struct] = Struct("<II20x")
    slot: int
    ballot: int


@dataclass(frozen=True, slots=True)
class Promise:
    """Phase 1b: accepted so far at `took` (0: nothing), state `name`."""

    LAYOUT: ClassVar[Struct] = Struct("<III8sQ")
    slot: int
    ballot: int
    took: int
    name: bytes
    ident: int


@dataclass(frozen=True, slots=True)
class Accept:
    """Phase 2a."""

    LAYOUT: ClassVar[Struct] = Struct("<II8s")
    slot: int
    ballot: int
    name: bytes


@dataclass(frozen=True, slots=True)
class AcceptReply:
    """Phase 2b: accepted, by the store `ident`."""

    LAYOUT: ClassVar[Struct] = Struct("<IIQ")
    slot: int
    ballot: int
    ident: int


@dataclass(frozen=True, slots=True)
class BallotRejected:
    """Not promised or accepted: `ballot` was promised before."""

    LAYOUT: ClassVar[Struct] = Struct("<II")
    slot: int
    ballot: int


@dataclass(frozen=True, slots=True)
class Check:
    """Could you decide by state `name`, which I would put to the vote in `slot`?"""

    LAYOUT: ClassVar[Struct] = Struct("<I8s101x")
    slot: int
    name: bytes


@dataclass(frozen=True, slots=True)
class CheckResult:
    """Whether this broker could, and in `why`, UTF-8 filled up with zeros, why not."""

    LAYOUT: ClassVar[Struct] = Struct("<I8sB100s")
    slot: int
    name: bytes
    good: int
    why: bytes


@dataclass(frozen=True, slots=True)
class ChunkRequest:
    """Tell me piece `piece` of state `name`."""

    LAYOUT: ClassVar[Struct] = Struct("<8sH179x")
    name: bytes
    piece: int


@dataclass(frozen=True, slots=True)
class Piece:
    """A part of a state: piece `piece` of `count`, `size` bytes of `data`."""

    LAYOUT: ClassVar[Struct] = Struct("<8sHHB176s")
    name: bytes
    piece: int
    count: int
    size: int
    data: bytes


@dataclass(frozen=True, slots=True)
class Chosen:
    """Slot `slot` came to state `name`."""

    LAYOUT: ClassVar[Struct] = Struct("<I8s")
    slot: int
    name: bytes


Item = (
    Ping
    | Ack
    | PingRequest
    | MembershipUpdate
    | LoanRequest
    | LoanGrant
    | LoanRelease
    | LoanRecall
    | LoanRecallAck
    | UsageTotal
    | HealthReport
    | Heartbeat
    | LeaseAsk
    | Lease
    | Prepare
    | Promise
    | Accept
    | AcceptReply
    | BallotRejected
    | Check
    | CheckResult
    | ChunkRequest
    | Piece
    | Chosen
)
ITEM_TYPES: tuple[type[Item], ...] = (
    Ping,
    Ack,
    PingRequest,
    MembershipUpdate,
    LoanRequest,
    LoanGrant,
    LoanRelease,
    LoanRecall,
    LoanRecallAck,
    UsageTotal,
    HealthReport,
    Heartbeat,
    LeaseAsk,
    Lease,
    Prepare,
    Promise,
    Accept,
    AcceptReply,
    BallotRejected,
    Check,
    CheckResult,
    ChunkRequest,
    Piece,
    Chosen,
)
ROLLOUT_ITEM_TYPES: tuple[type[Item], ...] = ITEM_TYPES[12:]  # passed on to the machine that changes policies
_CODES = {kind: code for code, kind in enumerate(ITEM_TYPES, 1)}
_FIELDS = {kind: tuple(kind.__slots__) for kind in ITEM_TYPES}


def item_bytes(item: Item) -> int:
    """Its bytes in a datagram."""
    return 1 + item.LAYOUT.size


@dataclass(frozen=True, slots=True)
class DatagramHeader:
    """Who says it, and when, in milliseconds of its own clock."""

    sender: int
    state: MemberState
    incarnation: int
    round: int
    number: int
    sent_ms: int


@dataclass(frozen=True, slots=True)
class Datagram:
    """One that was read whole."""

    head: DatagramHeader
    items: tuple[Item, ...]


class DatagramError(Exception):
    """A datagram that is not taken."""

    def __init__(self, fault: DatagramFault) -> None:
        super().__init__(fault.value)
        self.fault = fault


class DatagramSigner(Protocol):
    """The keyed tag of some bytes, and whether a tag is that; both need a library that only an operator's
    file loads.
    """

    def tag(self, data: bytes) -> bytes: ...

    def holds(self, data: bytes, tag: bytes) -> bool: ...


def encode(
    head: DatagramHeader, items: Iterable[Item], fingerprint: int, signer: DatagramSigner | None = None
) -> bytes:
    """The bytes; ValueError past DATAGRAM_MAX."""
    parts = [
        _HEADER.pack(
            VERSION,
            head.state,
            fingerprint,
            head.sender,
            head.incarnation,
            head.round,
            head.number % WRAP_MODULUS,
            head.sent_ms % WRAP_MODULUS,
        )
    ]
    for item in items:
        kind = type(item)
        parts.append(bytes((_CODES[kind],)))
        parts.append(item.LAYOUT.pack(*(getattr(item, name) for name in _FIELDS[kind])))
    body = b"".join(parts)
    data = _CHECK.pack(crc32c.crc32c(body)) + body
    if signer is not None:
        data += signer.tag(data)
    if len(data) > DATAGRAM_MAX_BYTES:
        raise ValueError(f"a datagram of {len(data)} bytes")
    return data


def decode(data: bytes, fingerprint: int, signer: DatagramSigner | None = None) -> Datagram:
    """The datagram of some bytes; FlawError says what is wrong with them. The checksum comes first: of bytes
    that were spoilt on the way nothing else can be said.
    """
    tag = TAG_BYTES if signer is not None else 0
    if not HEADER_BYTES + tag <= len(data) <= DATAGRAM_MAX_BYTES:
        raise DatagramError(DatagramFault.SHORT)
    if data[_CHECK.size] != VERSION:
        raise DatagramError(DatagramFault.VERSION)
    body = data[_CHECK.size : len(data) - tag]
    if crc32c.crc32c(body) != _CHECK.unpack_from(data)[0]:
        raise DatagramError(DatagramFault.CHECKSUM)
    if signer is not None and not signer.holds(data[:-tag], data[-tag:]):
        raise DatagramError(DatagramFault.FORGED)
    _, state, told, sender, incarnation, turn, number, sent = _HEADER.unpack_from(body)
    if told != fingerprint:
        raise DatagramError(DatagramFault.ROSTER)
    items: list[Item] = []
    at = _HEADER.size
    try:
        while at < len(body):
            kind = ITEM_TYPES[body[at] - 1] if body[at] else None
            if kind is None:
                raise DatagramError(DatagramFault.MALFORMED)
            items.append(kind(*kind.LAYOUT.unpack_from(body, at + 1)))
            at += 1 + kind.LAYOUT.size
        head = DatagramHeader(sender, MemberState(state), incarnation, turn, number, sent)
    except (IndexError, ValueError, StructError):
        raise DatagramError(DatagramFault.MALFORMED) from None
    return Datagram(head, tuple(items))


def pack(items: Iterable[Item], room: int = DATAGRAM_MAX_BYTES - HEADER_BYTES) -> list[list[Item]]:
    """Items in their order in as few datagrams as hold them, `room` bytes of items in each."""
    made: list[list[Item]] = []
    left = 0
    for item in items:
        if item_bytes(item) > left:
            made.append([])
            left = room
        made[-1].append(item)
        left -= item_bytes(item)
    return made

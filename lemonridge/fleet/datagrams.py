"""The datagram between brokers: at most 256 bytes, read whole or rejected, each by itself.

A header names the version, the member list, the sender with its incarnation, a sequence number and the
sender's time; items follow, each of a fixed length by its type. CRC32C (RFC 3720, B.4) covers all of it.
Where the operators gave a secret, a keyed tag (BLAKE2s, RFC 7693) follows, and a datagram without it is
rejected.

An item's code on the wire is its place in `ITEM_TYPES`, and its fields are packed in the order in which its
class declares them: neither order may change.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from enum import IntEnum
from struct import Struct
from struct import error as StructError  # noqa: N812 - it is the module's name for it
from typing import ClassVar, Protocol

import crc32c

from lemonridge.fleet.errors import (
    DatagramFault,
    DatagramTooLongError,
    MalformedDatagramError,
    UntrustedDatagramError,
)

DATAGRAM_MAX_BYTES = 256  # PROTOCOL, "Between brokers"
VERSION = 0xB2  # of the layout below; another one is rejected
TAG_BYTES = 8  # of the keyed tag
_HEADER = Struct(
    "<BBHHQBII"
)  # version, state, fingerprint, sender, incarnation, state version, sequence, sent
_CHECKSUM = Struct("<I")
HEADER_BYTES = _HEADER.size + _CHECKSUM.size
WRAP_MODULUS = 1 << 32  # of sequence numbers and of times in milliseconds


class MemberState(IntEnum):
    """A member's state as another member knows it (SWIM, section 4.2, with joining and draining added).

    Of one incarnation and state version the higher value overrides the lower one. The words of operators'
    views (`fleet status`) are a table of `status_report.py`.
    """

    ABSENT = 0  # no datagram and no update about it received yet
    JOINING = 1  # up, and restricted to its floors until loans of its previous incarnation have ended
    UP = 2
    DRAINING = 3  # it has begun its graceful shutdown
    SUSPECT = 4
    DEAD = 5
    LEFT = 6


@dataclass(frozen=True, slots=True)
class Ping:
    """A probe of member `member_id`; the answer carries `nonce` (SWIM, section 3.1).

    Padded, so that an answer with an update about its sender is no longer than the probe.
    """

    LAYOUT: ClassVar[Struct] = Struct("<HH13x")
    nonce: int
    member_id: int


@dataclass(frozen=True, slots=True)
class Ack:
    """Member `member_id` is up."""

    LAYOUT: ClassVar[Struct] = Struct("<HH")
    nonce: int
    member_id: int


@dataclass(frozen=True, slots=True)
class PingRequest:
    """Probe member `member_id` for the sender, and forward its answer (SWIM, section 3.1: ping-req)."""

    LAYOUT: ClassVar[Struct] = Struct("<HH")
    nonce: int
    member_id: int


@dataclass(frozen=True, slots=True)
class MembershipUpdate:
    """The state of member `member_id` as the sender knows it, of one incarnation."""

    LAYOUT: ClassVar[Struct] = Struct("<HQBB")
    member_id: int
    incarnation: int
    state_version: int
    state: int


@dataclass(frozen=True, slots=True)
class LoanRequest:
    """Asks for a loan of `parts` of budget `kind`/`key` for `duration_ms`, counted from when this is sent.

    `hosts` is the number of brokers that share the budget. `request_id` is never used again by this
    incarnation. `slow_start_began_ms` is when the endpoint's slow start began by the sender's knowledge, in
    wrapping milliseconds; 0 for other budgets.
    """

    LAYOUT: ClassVar[Struct] = Struct("<BQBIIHI")
    kind: int
    key: int
    hosts: int
    request_id: int
    parts: int
    duration_ms: int
    slow_start_began_ms: int = 0


@dataclass(frozen=True, slots=True)
class LoanGrant:
    """Grants a loan of `parts`, perhaps 0, for request `request_id`.

    `lender_uses_budget` says whether the lender uses the budget itself; `user_hint`, less 1, is another
    member that said that it does (0: none known).
    """

    LAYOUT: ClassVar[Struct] = Struct("<BQIIBH")
    kind: int
    key: int
    request_id: int
    parts: int
    lender_uses_budget: int
    user_hint: int = 0


@dataclass(frozen=True, slots=True)
class LoanRelease:
    """The sender uses nothing any more that was granted for its requests up to `request_id`."""

    LAYOUT: ClassVar[Struct] = Struct("<BQI")
    kind: int
    key: int
    request_id: int


@dataclass(frozen=True, slots=True)
class LoanRecall:
    """The sender's incarnation has just begun: stop using loans of its previous ones, and say so.

    Padded to the length of its answer.
    """

    LAYOUT: ClassVar[Struct] = Struct("<8x")


@dataclass(frozen=True, slots=True)
class LoanRecallAck:
    """The sender uses no loan that the receiver granted before `incarnation`, and never will."""

    LAYOUT: ClassVar[Struct] = Struct("<Q")
    incarnation: int


@dataclass(frozen=True, slots=True)
class UsageTotal:
    """The total that the sender's incarnation has counted of `kind`/`key`, in thousandths of a unit."""

    LAYOUT: ClassVar[Struct] = Struct("<BQQ")
    kind: int
    key: int
    total: int


@dataclass(frozen=True, slots=True)
class HealthReport:
    """An endpoint's condition as the sender observed it itself, `age_ms` ago, by `weight` observations."""

    LAYOUT: ClassVar[Struct] = Struct("<QBBH")
    endpoint_id: int
    condition: int
    weight: int
    age_ms: int


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Nothing but the header: the sender is up and has nothing to report."""

    LAYOUT: ClassVar[Struct] = Struct("")


# Items of the policy rollout (lemonridge/rollout). Each request is padded to the length of its answer. A
# state is identified by its digest; an epoch range is empty where `low` is above `high`.


@dataclass(frozen=True, slots=True)
class LeaseRequest:
    """Asks for a lease: the sender decides by epochs `low` to `high`, and would by `target_epoch` alone.

    `digest` is that of the target epoch's state.
    """

    LAYOUT: ClassVar[Struct] = Struct("<IIII8s16x")
    request_id: int
    low: int
    high: int
    target_epoch: int
    digest: bytes


@dataclass(frozen=True, slots=True)
class LeaseReply:
    """Answers a lease request: the receiver may decide by epochs `low` to `high`; empty: no lease.

    `epoch`, whose state has `digest`, is the newest that the sender knows to be decided.
    """

    LAYOUT: ClassVar[Struct] = Struct("<IIII8sQ")
    request_id: int
    low: int
    high: int
    epoch: int
    digest: bytes
    store_id: int


@dataclass(frozen=True, slots=True)
class Prepare:
    """Phase 1a of the slot's agreement (Paxos)."""

    LAYOUT: ClassVar[Struct] = Struct("<II20x")
    slot: int
    ballot: int


@dataclass(frozen=True, slots=True)
class Promise:
    """Phase 1b: `digest` was accepted before, at `accepted_ballot` (0: nothing was), by the store."""

    LAYOUT: ClassVar[Struct] = Struct("<III8sQ")
    slot: int
    ballot: int
    accepted_ballot: int
    digest: bytes
    store_id: int


@dataclass(frozen=True, slots=True)
class Accept:
    """Phase 2a."""

    LAYOUT: ClassVar[Struct] = Struct("<II8s")
    slot: int
    ballot: int
    digest: bytes


@dataclass(frozen=True, slots=True)
class AcceptReply:
    """Phase 2b: accepted, by the store."""

    LAYOUT: ClassVar[Struct] = Struct("<IIQ")
    slot: int
    ballot: int
    store_id: int


@dataclass(frozen=True, slots=True)
class BallotRejected:
    """Neither promised nor accepted: the higher `ballot` was promised before."""

    LAYOUT: ClassVar[Struct] = Struct("<II")
    slot: int
    ballot: int


@dataclass(frozen=True, slots=True)
class CheckRequest:
    """Asks whether the receiver could decide by a state, which is to be proposed in `slot`."""

    LAYOUT: ClassVar[Struct] = Struct("<I8s101x")
    slot: int
    digest: bytes


@dataclass(frozen=True, slots=True)
class CheckReply:
    """Whether the sender could decide by a state; the `reason` why not is UTF-8, padded with zeros."""

    LAYOUT: ClassVar[Struct] = Struct("<I8sB100s")
    slot: int
    digest: bytes
    is_accepted: int
    reason: bytes


@dataclass(frozen=True, slots=True)
class ChunkRequest:
    """Asks for a chunk of a state, by its number from 0."""

    LAYOUT: ClassVar[Struct] = Struct("<8sH179x")
    digest: bytes
    number: int


@dataclass(frozen=True, slots=True)
class Chunk:
    """A chunk of a state, the first `size` bytes of `data`; the state has `count` chunks."""

    LAYOUT: ClassVar[Struct] = Struct("<8sHHB176s")
    digest: bytes
    number: int
    count: int
    size: int
    data: bytes


@dataclass(frozen=True, slots=True)
class Chosen:
    """Slot `slot` is decided."""

    LAYOUT: ClassVar[Struct] = Struct("<I8s")
    slot: int
    digest: bytes


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
    | LeaseRequest
    | LeaseReply
    | Prepare
    | Promise
    | Accept
    | AcceptReply
    | BallotRejected
    | CheckRequest
    | CheckReply
    | ChunkRequest
    | Chunk
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
    LeaseRequest,
    LeaseReply,
    Prepare,
    Promise,
    Accept,
    AcceptReply,
    BallotRejected,
    CheckRequest,
    CheckReply,
    ChunkRequest,
    Chunk,
    Chosen,
)
ROLLOUT_ITEM_TYPES: tuple[type[Item], ...] = ITEM_TYPES[12:]  # delivered to lemonridge/rollout
_CODES = {kind: code for code, kind in enumerate(ITEM_TYPES, 1)}
_FIELDS = {kind: tuple(kind.__slots__) for kind in ITEM_TYPES}


def item_bytes(item: Item) -> int:
    """The item's length in a datagram, in bytes."""
    return 1 + item.LAYOUT.size


@dataclass(frozen=True, slots=True)
class DatagramHeader:
    """The sender, its state, and when it sent the datagram, in milliseconds of its own clock."""

    sender: int
    state: MemberState
    incarnation: int
    state_version: int
    sequence: int
    sent_ms: int


@dataclass(frozen=True, slots=True)
class Datagram:
    """A datagram that was read whole."""

    header: DatagramHeader
    items: tuple[Item, ...]


class DatagramSigner(Protocol):
    """Makes and checks the keyed tag; its library is loaded only where an operator's file sets a secret."""

    def sign(self, data: bytes) -> bytes:
        """The tag of some bytes, `TAG_BYTES` long."""

    def verify(self, data: bytes, tag: bytes) -> bool:
        """Whether `tag` is the tag of `data`, compared in constant time."""


def encode(
    header: DatagramHeader, items: Iterable[Item], fingerprint: int, signer: DatagramSigner | None = None
) -> bytes:
    """The bytes of a datagram.

    Args:
        header: written first.
        items: written in their order.
        fingerprint: `MemberList.fingerprint`.
        signer: appends the keyed tag, where there is one.

    Raises:
        DatagramTooLongError: the result is longer than `DATAGRAM_MAX_BYTES`.
    """
    parts = [
        _HEADER.pack(
            VERSION,
            header.state,
            fingerprint,
            header.sender,
            header.incarnation,
            header.state_version,
            header.sequence % WRAP_MODULUS,
            header.sent_ms % WRAP_MODULUS,
        )
    ]
    for item in items:
        item_type = type(item)
        parts.append(bytes((_CODES[item_type],)))
        parts.append(item.LAYOUT.pack(*(getattr(item, name) for name in _FIELDS[item_type])))
    body = b"".join(parts)
    data = _CHECKSUM.pack(crc32c.crc32c(body)) + body
    if signer is not None:
        data += signer.sign(data)
    if len(data) > DATAGRAM_MAX_BYTES:
        raise DatagramTooLongError(len(data))
    return data


def decode(data: bytes, fingerprint: int, signer: DatagramSigner | None = None) -> Datagram:
    """Read a datagram. The checksum is checked before anything that it covers is believed.

    Raises:
        MalformedDatagramError: length, version, checksum or an item is wrong.
        UntrustedDatagramError: the tag is missing or wrong, or the member list is another one.
    """
    tag_bytes = TAG_BYTES if signer is not None else 0
    if not HEADER_BYTES + tag_bytes <= len(data) <= DATAGRAM_MAX_BYTES:
        raise MalformedDatagramError(DatagramFault.SHORT)
    if data[_CHECKSUM.size] != VERSION:
        raise MalformedDatagramError(DatagramFault.VERSION)
    body = data[_CHECKSUM.size : len(data) - tag_bytes]
    if crc32c.crc32c(body) != _CHECKSUM.unpack_from(data)[0]:
        raise MalformedDatagramError(DatagramFault.CHECKSUM)
    if signer is not None and not signer.verify(data[:-tag_bytes], data[-tag_bytes:]):
        raise UntrustedDatagramError(DatagramFault.FORGED)
    _, state, sender_fingerprint, sender, incarnation, state_version, sequence, sent_ms = _HEADER.unpack_from(
        body
    )
    if sender_fingerprint != fingerprint:
        raise UntrustedDatagramError(DatagramFault.ROSTER)
    try:
        items = tuple(_read_items(body))
        header = DatagramHeader(sender, MemberState(state), incarnation, state_version, sequence, sent_ms)
    except (IndexError, ValueError, StructError):
        raise MalformedDatagramError(DatagramFault.MALFORMED) from None
    return Datagram(header, items)


def _read_items(body: bytes) -> Iterable[Item]:
    """The items behind the header; IndexError, ValueError or StructError where they cannot be read."""
    offset = _HEADER.size
    while offset < len(body):
        code = body[offset]
        if not code:
            raise ValueError(code)
        item_type = ITEM_TYPES[code - 1]
        yield item_type(*item_type.LAYOUT.unpack_from(body, offset + 1))
        offset += 1 + item_type.LAYOUT.size

"""The datagram format between brokers: at most 256 bytes, each decoded independently and completely.

A datagram has a header and items. The header holds the version, the fingerprint of the member list, the
sender with its incarnation, a sequence number and the sender's time. The length of an item depends only on
its type. A CRC32C (RFC 3720, B.4) covers header and items. If the operators configured a secret, a keyed tag
(BLAKE2s, RFC 7693) follows, and datagrams without a valid tag are rejected.

An item's code on the wire is its index in `ITEM_TYPES`, counted from 1, and its fields are packed in the
order in which its class declares them. Neither order may change.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from enum import IntEnum
from struct import Struct
from struct import error as StructError  # noqa: N812 - the struct module calls it `error`
from typing import ClassVar, Protocol

import crc32c

from lemonridge.fleet.errors import (
    DatagramFault,
    DatagramTooLongError,
    MalformedDatagramError,
    UntrustedDatagramError,
)

DATAGRAM_MAX_BYTES = 256  # PROTOCOL, "Between brokers"
VERSION = 0xB2  # of the datagram layout; datagrams with another version are rejected
TAG_BYTES = 8  # length of the keyed tag
# Version, state, fingerprint, sender, incarnation, state version, sequence number, time sent.
_HEADER = Struct("<BBHHQBII")
_CHECKSUM = Struct("<I")
HEADER_BYTES = _HEADER.size + _CHECKSUM.size
WRAP_MODULUS = 1 << 32  # sequence numbers and times in milliseconds wrap at this value


class MemberState(IntEnum):
    """A member's state as known to another member (SWIM, section 4.2, extended by joining and draining).

    Within one incarnation and state version a higher value overrides a lower one. `status_report.py` maps the
    states to the labels that operators see in `fleet status`.
    """

    ABSENT = 0  # neither a datagram from it nor an update about it has been received
    JOINING = 1  # up, but restricted to its floors until its previous incarnation's loans have ended
    UP = 2
    DRAINING = 3  # its graceful shutdown has begun
    SUSPECT = 4
    DEAD = 5
    LEFT = 6


@dataclass(frozen=True, slots=True)
class Ping:
    """Probes member `member_id`; the answer carries `nonce` (SWIM, section 3.1).

    The padding makes the probe at least as long as an answer that includes an update about its sender.
    """

    LAYOUT: ClassVar[Struct] = Struct("<HH13x")
    nonce: int
    member_id: int


@dataclass(frozen=True, slots=True)
class Ack:
    """Answers a probe: member `member_id` is up."""

    LAYOUT: ClassVar[Struct] = Struct("<HH")
    nonce: int
    member_id: int


@dataclass(frozen=True, slots=True)
class PingRequest:
    """Asks the receiver to probe `member_id` and forward the answer (SWIM, section 3.1: ping-req)."""

    LAYOUT: ClassVar[Struct] = Struct("<HH")
    nonce: int
    member_id: int


@dataclass(frozen=True, slots=True)
class MembershipUpdate:
    """Reports the state of one incarnation of member `member_id` as known to the sender."""

    LAYOUT: ClassVar[Struct] = Struct("<HQBB")
    member_id: int
    incarnation: int
    state_version: int
    state: int


@dataclass(frozen=True, slots=True)
class LoanRequest:
    """Requests a loan of a part of a budget; its duration counts from the time of sending.

    Attributes:
        kind: The budget's kind (`BudgetKind`).
        key: The budget's key within its kind.
        hosts: The number of brokers that share the budget.
        request_id: Identifies the request; unique within the sender's incarnation.
        parts: The requested parts; 0 only registers the sender as a user of the budget.
        duration_ms: The duration of the loan.
        slow_start_began_ms: When the endpoint's slow start began as known to the sender, in milliseconds that
            wrap at WRAP_MODULUS; 0 for other budgets.
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
    """Answers the loan request `request_id`.

    Attributes:
        kind: The budget's kind (`BudgetKind`).
        key: The budget's key within its kind.
        request_id: The request that this grant answers.
        parts: The parts lent; 0 refuses the request.
        lender_uses_budget: 1 if the lender uses the budget itself, else 0.
        user_hint: 1 + the id of another member that reported that it uses the budget; 0 if none is known.
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
    """Ends the sender's loans for its requests up to and including `request_id`."""

    LAYOUT: ClassVar[Struct] = Struct("<BQI")
    kind: int
    key: int
    request_id: int


@dataclass(frozen=True, slots=True)
class LoanRecall:
    """Asks the receiver to stop using loans of the sender's previous incarnations and to acknowledge this.

    Sent after a start. Padded to the length of the answer.
    """

    LAYOUT: ClassVar[Struct] = Struct("<8x")


@dataclass(frozen=True, slots=True)
class LoanRecallAck:
    """Acknowledges a recall: the sender uses no loan that the receiver granted before `incarnation`."""

    LAYOUT: ClassVar[Struct] = Struct("<Q")
    incarnation: int


@dataclass(frozen=True, slots=True)
class UsageTotal:
    """Reports what the sender's incarnation has counted for `kind`/`key` in all, in thousandths of a unit."""

    LAYOUT: ClassVar[Struct] = Struct("<BQQ")
    kind: int
    key: int
    total: int


@dataclass(frozen=True, slots=True)
class HealthReport:
    """Reports an endpoint's condition that the sender itself observed `weight` times, last `age_ms` ago."""

    LAYOUT: ClassVar[Struct] = Struct("<QBBH")
    endpoint_id: int
    condition: int
    weight: int
    age_ms: int


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Carries no data beyond the header: the sender is up and has nothing to report."""

    LAYOUT: ClassVar[Struct] = Struct("")


# Items of the policy rollout (lemonridge/rollout). Each request is padded to the length of its answer. A
# digest identifies a policy state; an epoch range is empty if `low` exceeds `high`.


@dataclass(frozen=True, slots=True)
class LeaseRequest:
    """Requests a lease for `low` to `high`, the epochs in use by the sender, or for `target_epoch` alone.

    `digest` identifies the state of the target epoch.
    """

    LAYOUT: ClassVar[Struct] = Struct("<IIII8s16x")
    request_id: int
    low: int
    high: int
    target_epoch: int
    digest: bytes


@dataclass(frozen=True, slots=True)
class LeaseReply:
    """Answers a lease request: the receiver may use epochs `low` to `high`; an empty range refuses the lease.

    `epoch` is the newest decided epoch known to the sender, and `digest` identifies its state. `store_id`
    identifies the sender's vote store.
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
    """Phase 1a of the Paxos instance of a slot."""

    LAYOUT: ClassVar[Struct] = Struct("<II20x")
    slot: int
    ballot: int


@dataclass(frozen=True, slots=True)
class Promise:
    """Phase 1b: the store `store_id` last accepted `digest` at `accepted_ballot` (0: nothing accepted)."""

    LAYOUT: ClassVar[Struct] = Struct("<III8sQ")
    slot: int
    ballot: int
    accepted_ballot: int
    digest: bytes
    store_id: int


@dataclass(frozen=True, slots=True)
class Accept:
    """Phase 2a: proposes `digest` at `ballot`."""

    LAYOUT: ClassVar[Struct] = Struct("<II8s")
    slot: int
    ballot: int
    digest: bytes


@dataclass(frozen=True, slots=True)
class AcceptReply:
    """Phase 2b: the store `store_id` accepted the proposal at `ballot`."""

    LAYOUT: ClassVar[Struct] = Struct("<IIQ")
    slot: int
    ballot: int
    store_id: int


@dataclass(frozen=True, slots=True)
class BallotRejected:
    """Rejects a prepare or accept request: the higher `ballot` has already been promised."""

    LAYOUT: ClassVar[Struct] = Struct("<II")
    slot: int
    ballot: int


@dataclass(frozen=True, slots=True)
class CheckRequest:
    """Asks whether the receiver can apply the state `digest`, which is to be proposed in `slot`."""

    LAYOUT: ClassVar[Struct] = Struct("<I8s101x")
    slot: int
    digest: bytes


@dataclass(frozen=True, slots=True)
class CheckReply:
    """Reports whether the sender can apply a state; if not, `reason` is zero-padded UTF-8 text."""

    LAYOUT: ClassVar[Struct] = Struct("<I8sB100s")
    slot: int
    digest: bytes
    is_accepted: int
    reason: bytes


@dataclass(frozen=True, slots=True)
class ChunkRequest:
    """Requests a chunk of a state by its number, counted from 0."""

    LAYOUT: ClassVar[Struct] = Struct("<8sH179x")
    digest: bytes
    number: int


@dataclass(frozen=True, slots=True)
class Chunk:
    """A chunk of a state: the first `size` bytes of `data`. The state has `count` chunks."""

    LAYOUT: ClassVar[Struct] = Struct("<8sHHB176s")
    digest: bytes
    number: int
    count: int
    size: int
    data: bytes


@dataclass(frozen=True, slots=True)
class Chosen:
    """Announces that `slot` is decided for the state `digest`."""

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
_CODES = {item_type: code for code, item_type in enumerate(ITEM_TYPES, 1)}
_FIELDS = {item_type: tuple(item_type.__slots__) for item_type in ITEM_TYPES}


def item_bytes(item: Item) -> int:
    """Returns the length of an item in a datagram, in bytes."""
    return 1 + item.LAYOUT.size


@dataclass(frozen=True, slots=True)
class DatagramHeader:
    """The sender, its state and the time of sending in milliseconds of the sender's clock."""

    sender: int
    state: MemberState
    incarnation: int
    state_version: int
    sequence: int
    sent_ms: int


@dataclass(frozen=True, slots=True)
class Datagram:
    """A decoded datagram."""

    header: DatagramHeader
    items: tuple[Item, ...]


class DatagramSigner(Protocol):
    """Computes and verifies the keyed tag; its library is loaded only if the operators configure a secret."""

    def sign(self, data: bytes) -> bytes:
        """Returns the tag of `data`, TAG_BYTES long."""

    def verify(self, data: bytes, tag: bytes) -> bool:
        """Returns whether `tag` is the tag of `data`, compared in constant time."""


def encode(
    header: DatagramHeader, items: Iterable[Item], fingerprint: int, signer: DatagramSigner | None = None
) -> bytes:
    """Returns the bytes of a datagram.

    Args:
        header: The header.
        items: The items, in the order in which they are encoded.
        fingerprint: The fingerprint of the member list (`MemberList.fingerprint`).
        signer: Computes the keyed tag; None if no secret is configured.

    Raises:
        DatagramTooLongError: The datagram is longer than DATAGRAM_MAX_BYTES.
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
    """Decodes a datagram; the checksum is verified before the fields that it covers are used.

    Args:
        data: The received bytes.
        fingerprint: The fingerprint of this broker's member list (`MemberList.fingerprint`).
        signer: Verifies the keyed tag; None if no secret is configured.

    Raises:
        MalformedDatagramError: The length, the version, the checksum or an item is invalid.
        UntrustedDatagramError: The tag is missing or wrong, or the sender has another member list.
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
        items = tuple(_decode_items(body))
        header = DatagramHeader(sender, MemberState(state), incarnation, state_version, sequence, sent_ms)
    except (IndexError, ValueError, StructError):
        raise MalformedDatagramError(DatagramFault.MALFORMED) from None
    return Datagram(header, items)


def _decode_items(body: bytes) -> Iterable[Item]:
    """Yields the items after the header; raises IndexError, ValueError or StructError if one is invalid."""
    offset = _HEADER.size
    while offset < len(body):
        code = body[offset]
        if not code:
            raise ValueError(code)
        item_type = ITEM_TYPES[code - 1]
        yield item_type(*item_type.LAYOUT.unpack_from(body, offset + 1))
        offset += 1 + item_type.LAYOUT.size

"""Packs queued items into datagrams by priority, within a byte budget. Performs no I/O."""

from __future__ import annotations

from collections.abc import Iterable

from lemonridge.fleet import counters, datagrams
from lemonridge.fleet.actions import SendDatagram
from lemonridge.fleet.counters import Counters
from lemonridge.fleet.datagrams import (
    DATAGRAM_MAX_BYTES,
    HEADER_BYTES,
    TAG_BYTES,
    WRAP_MODULUS,
    DatagramHeader,
    DatagramSigner,
    Item,
    MembershipUpdate,
    encode,
    item_bytes,
)
from lemonridge.fleet.member_list import MemberList
from lemonridge.fleet.membership import Membership

SEND_BURST_S = 1.0  # seconds of the byte budget that may be sent in one burst
ROLLOUT_DATAGRAMS_PER_S = 400.0  # not counted against the byte budget
# The highest priority first: items on which a probe or a loan depends.
_PRIORITIES: tuple[tuple[type[Item], ...], ...] = (
    (datagrams.Ack,),
    (datagrams.Ping, datagrams.PingRequest),
    (datagrams.LoanRelease, datagrams.LoanRecall, datagrams.LoanRecallAck, datagrams.LoanGrant),
    (datagrams.LoanRequest,),
    (datagrams.MembershipUpdate,),
    (datagrams.HealthReport,),
    (datagrams.UsageTotal,),
    (datagrams.Heartbeat,),
)
_PRIORITY = {item_type: priority for priority, types in enumerate(_PRIORITIES) for item_type in types}
_UPDATE_BYTES = item_bytes(MembershipUpdate(0, 0, 0, 0))

Queue = dict[int, list[Item]]  # by receiver


class DatagramSender:
    """The sending side of one member.

    Args:
        member_list: The configured members of the fleet.
        membership: Provides the state in the header and the membership updates that fill datagrams.
        signer: Computes the keyed tag; None if no secret is configured.
        budget_bytes_s: The byte budget in bytes a second.
        counts: The counters in which sent datagrams and dropped items are counted.
        now_us: The time of the start.
    """

    def __init__(
        self,
        member_list: MemberList,
        membership: Membership,
        signer: DatagramSigner | None,
        budget_bytes_s: float,
        counts: Counters,
        now_us: int,
    ) -> None:
        self._own_id, self._fingerprint = member_list.own_id, member_list.fingerprint
        self._membership, self._signer = membership, signer
        self._budget_bytes_s, self._counts = budget_bytes_s, counts
        self._overhead_bytes = HEADER_BYTES + (TAG_BYTES if signer is not None else 0)
        self._queue: Queue = {}
        self._sequences = [0] * member_list.size  # by receiver, which detects lost datagrams by their gaps
        self._available_bytes, self._bytes_refilled_us = budget_bytes_s * SEND_BURST_S, now_us
        self._available_rollout_datagrams, self._rollout_refilled_us = ROLLOUT_DATAGRAMS_PER_S, now_us

    def queue(self, items: Iterable[tuple[int, Item]]) -> None:
        """Queues items, by receiver, for the next datagrams."""
        for receiver, item in items:
            self._queue.setdefault(receiver, []).append(item)

    def swap_queue(self, queue: Queue) -> Queue:
        """Replaces the queue and returns the previous one."""
        previous_queue, self._queue = self._queue, queue
        return previous_queue

    def flush(self, now_us: int) -> list[SendDatagram]:
        """Returns the datagrams of all queued items; items that exceed the byte budget are dropped."""
        outgoing: list[SendDatagram] = []
        for receiver, items in self.swap_queue({}).items():
            while items:
                datagram_items = self._take_datagram_items(items, DATAGRAM_MAX_BYTES)
                self._add_updates(receiver, datagram_items, DATAGRAM_MAX_BYTES)
                if not self._spend_budget(datagram_items, now_us):
                    self._counts[counters.ITEMS_DROPPED] += len(datagram_items) + len(items)
                    break
                outgoing.append(self._build_datagram(receiver, datagram_items, now_us))
        return outgoing

    def answer(
        self, receiver: int, items: list[Item], now_us: int, received_bytes: int
    ) -> list[SendDatagram]:
        """Returns one datagram no longer than the received one that it answers; other items are dropped.

        The limit ensures that answers never send more bytes than this broker receives, so that it cannot be
        used to amplify traffic.
        """
        length_max = min(received_bytes, DATAGRAM_MAX_BYTES)
        datagram_items = self._take_datagram_items(items, length_max)
        if not datagram_items:
            self._counts[counters.ITEMS_DROPPED] += len(items)
            return []
        if self._free_bytes(datagram_items, length_max) >= _UPDATE_BYTES:
            self._add_updates(receiver, datagram_items, length_max)
        if not self._spend_budget(datagram_items, now_us):
            self._counts[counters.ITEMS_DROPPED] += len(datagram_items) + len(items)
            return []
        datagram = self._build_datagram(receiver, datagram_items, now_us)
        if items:
            self._counts[counters.ITEMS_DROPPED] += len(items)
        return [datagram]

    def send_rollout_item(self, receiver: int, item: Item, now_us: int) -> list[SendDatagram]:
        """Returns one datagram with one item of the policy rollout, which has a budget of its own.

        Policy changes are rare and must not wait for loans and reports. Datagrams that exceed the budget are
        dropped; like lost ones, the rollout sends them again.
        """
        refill = ROLLOUT_DATAGRAMS_PER_S * (now_us - self._rollout_refilled_us) / 1e6
        self._available_rollout_datagrams = min(
            ROLLOUT_DATAGRAMS_PER_S, self._available_rollout_datagrams + refill
        )
        self._rollout_refilled_us = now_us
        if self._available_rollout_datagrams < 1:
            self._counts[counters.ROLLOUT_DATAGRAMS_DROPPED] += 1
            return []
        self._available_rollout_datagrams -= 1
        return [self._build_datagram(receiver, [item], now_us)]

    def _take_datagram_items(self, items: list[Item], length_max: int) -> list[Item]:
        """Removes the items that fit into one datagram from the list, by priority, and returns them."""
        items.sort(key=lambda item: _PRIORITY[type(item)])
        datagram_items: list[Item] = []
        free_bytes = length_max - self._overhead_bytes
        while items and item_bytes(items[0]) <= free_bytes:
            free_bytes -= item_bytes(items[0])
            datagram_items.append(items.pop(0))
        return datagram_items

    def _free_bytes(self, datagram_items: list[Item], length_max: int) -> int:
        """Returns the bytes that remain free in a datagram with these items."""
        return length_max - self._overhead_bytes - sum(map(item_bytes, datagram_items))

    def _add_updates(self, receiver: int, datagram_items: list[Item], length_max: int) -> None:
        """Fills the free space of a datagram with membership updates."""
        datagram_items += self._membership.updates_for(
            receiver, self._free_bytes(datagram_items, length_max) // _UPDATE_BYTES
        )

    def _spend_budget(self, datagram_items: list[Item], now_us: int) -> bool:
        """Deducts a datagram's bytes from the budget; returns False, deducting none, if they exceed it."""
        refill = self._budget_bytes_s * (now_us - self._bytes_refilled_us) / 1e6
        self._available_bytes = min(self._budget_bytes_s * SEND_BURST_S, self._available_bytes + refill)
        self._bytes_refilled_us = now_us
        length = self._overhead_bytes + sum(map(item_bytes, datagram_items))
        if self._available_bytes < length:
            return False
        self._available_bytes -= length
        return True

    def _build_datagram(self, receiver: int, items: list[Item], now_us: int) -> SendDatagram:
        self._sequences[receiver] += 1
        header = DatagramHeader(
            self._own_id,
            self._membership.state,
            self._membership.incarnation,
            self._membership.state_version,
            self._sequences[receiver],
            now_us // 1000 % WRAP_MODULUS,
        )
        data = encode(header, items, self._fingerprint, self._signer)
        self._counts[counters.DATAGRAMS_SENT] += 1
        self._counts[counters.BYTES_SENT] += len(data)
        return SendDatagram(receiver, data)

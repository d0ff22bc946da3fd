"""Packs queued items into datagrams, the most useful first, within a budget of bytes. Pure."""

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

SEND_BURST_S = 1.0  # of the budget of bytes that may be sent at once
ROLLOUT_DATAGRAMS_PER_S = 400.0  # beside the budget of bytes
# The most useful first: what a probe or a loan waits for.
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
_PRIORITY = {item_type: place for place, types in enumerate(_PRIORITIES) for item_type in types}
_UPDATE_BYTES = item_bytes(MembershipUpdate(0, 0, 0, 0))

Queue = dict[int, list[Item]]  # by receiver


class DatagramSender:
    """The sending side of one member.

    Args:
        member_list: the fleet.
        membership: gives the header's state, and the updates that fill datagrams.
        signer: makes the keyed tag, where there is a secret.
        bytes_s: the budget, in bytes a second.
        counts: where what was sent and dropped is counted.
        now_us: the time of the start.
    """

    def __init__(
        self,
        member_list: MemberList,
        membership: Membership,
        signer: DatagramSigner | None,
        bytes_s: float,
        counts: Counters,
        now_us: int,
    ) -> None:
        self._me, self._fingerprint = member_list.own_id, member_list.fingerprint
        self._membership, self._signer = membership, signer
        self._bytes_s, self._counts = bytes_s, counts
        self._frame_bytes = HEADER_BYTES + (TAG_BYTES if signer is not None else 0)
        self._queue: Queue = {}
        self._sequences = [0] * member_list.size  # by receiver: gaps show it what was lost
        self._budget_bytes, self._budget_us = bytes_s * SEND_BURST_S, now_us
        self._rollout_budget, self._rollout_budget_us = ROLLOUT_DATAGRAMS_PER_S, now_us

    def queue(self, items: Iterable[tuple[int, Item]]) -> None:
        """Send these items, by receiver, with the next datagrams."""
        for receiver, item in items:
            self._queue.setdefault(receiver, []).append(item)

    def swap_queue(self, queue: Queue) -> Queue:
        """Put another queue in place of the present one, and return that."""
        before, self._queue = self._queue, queue
        return before

    def flush(self, now_us: int) -> list[SendDatagram]:
        """The datagrams of all queued items."""
        sent: list[SendDatagram] = []
        for receiver, items in self.swap_queue({}).items():
            while items:
                part = self._next_part(items, DATAGRAM_MAX_BYTES)
                self._add_updates(receiver, part, DATAGRAM_MAX_BYTES)
                if not self._afford(part, now_us):
                    self._counts[counters.ITEMS_DROPPED] += len(part) + len(items)
                    break
                sent.append(self._datagram(receiver, part, now_us))
        return sent

    def answer(
        self, receiver: int, items: list[Item], now_us: int, question_bytes: int
    ) -> list[SendDatagram]:
        """One datagram no longer than the one that it answers; items that do not fit are dropped.

        So nobody can make this broker send more than it receives.
        """
        length_max = min(question_bytes, DATAGRAM_MAX_BYTES)
        part = self._next_part(items, length_max)
        if not part:
            self._counts[counters.ITEMS_DROPPED] += len(items)
            return []
        if self._free_bytes(part, length_max) >= _UPDATE_BYTES:
            self._add_updates(receiver, part, length_max)
        if not self._afford(part, now_us):
            self._counts[counters.ITEMS_DROPPED] += len(part) + len(items)
            return []
        sent = self._datagram(receiver, part, now_us)
        if items:
            self._counts[counters.ITEMS_DROPPED] += len(items)
        return [sent]

    def send_rollout_item(self, receiver: int, item: Item, now_us: int) -> list[SendDatagram]:
        """One datagram for one item of the policy rollout, under a budget of its own.

        A change of policy is rare and must not wait for budgets and reports. What exceeds the budget is
        dropped, like what is lost on a link, and is sent again by the rollout.
        """
        refill = ROLLOUT_DATAGRAMS_PER_S * (now_us - self._rollout_budget_us) / 1e6
        self._rollout_budget = min(ROLLOUT_DATAGRAMS_PER_S, self._rollout_budget + refill)
        self._rollout_budget_us = now_us
        if self._rollout_budget < 1:
            self._counts[counters.ROLLOUT_DATAGRAMS_DROPPED] += 1
            return []
        self._rollout_budget -= 1
        return [self._datagram(receiver, [item], now_us)]

    def _next_part(self, items: list[Item], length_max: int) -> list[Item]:
        """Take the items of one datagram off the list, in the order of their priority."""
        items.sort(key=lambda item: _PRIORITY[type(item)])
        part: list[Item] = []
        free_bytes = length_max - self._frame_bytes
        while items and item_bytes(items[0]) <= free_bytes:
            free_bytes -= item_bytes(items[0])
            part.append(items.pop(0))
        return part

    def _free_bytes(self, part: list[Item], length_max: int) -> int:
        """Bytes that are left in a datagram."""
        return length_max - self._frame_bytes - sum(map(item_bytes, part))

    def _add_updates(self, receiver: int, part: list[Item], length_max: int) -> None:
        """Fill a datagram up with membership updates."""
        part += self._membership.updates_for(receiver, self._free_bytes(part, length_max) // _UPDATE_BYTES)

    def _afford(self, part: list[Item], now_us: int) -> bool:
        """Take the datagram's bytes from the budget; False where there are too few."""
        refill = self._bytes_s * (now_us - self._budget_us) / 1e6
        self._budget_bytes = min(self._bytes_s * SEND_BURST_S, self._budget_bytes + refill)
        self._budget_us = now_us
        length = self._frame_bytes + sum(map(item_bytes, part))
        if self._budget_bytes < length:
            return False
        self._budget_bytes -= length
        return True

    def _datagram(self, receiver: int, items: list[Item], now_us: int) -> SendDatagram:
        self._sequences[receiver] += 1
        header = DatagramHeader(
            self._me,
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

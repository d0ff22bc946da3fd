"""Lets the users of a limit find each other in a fleet in which not all members are asked. Pure.

Each user of a limit tells a few members, chosen by the limit's key alike at every broker, that it uses it,
and is answered with other users. The chosen members only know; they own nothing by it.
"""

from __future__ import annotations

import crc32c

from lemonridge.fleet.datagrams import Item
from lemonridge.fleet.member_list import MemberList
from lemonridge.fleet.quota_ledger import BudgetKey, QuotaLedger

FANOUT = 8  # members that one request is sent to at most
REGISTRATION_INTERVAL_US = 10_000_000
RENDEZVOUS_MEMBERS = 2  # for a limit, beside this broker
RENDEZVOUS_CACHE_MAX = 8192  # limits whose rendezvous members are remembered


class LimitRegistry:
    """Registers the limits that this broker uses, where a request does not reach all members anyway."""

    def __init__(self, member_list: MemberList, ledger: QuotaLedger) -> None:
        self._member_list, self._ledger = member_list, ledger
        self._new: list[BudgetKey] = []  # limits whose use is to be registered
        self._registered: dict[BudgetKey, int] = {}  # when to register again, the earliest first
        self._rendezvous: dict[BudgetKey, tuple[int, ...]] = {}

    def record_use(self, key: BudgetKey) -> None:
        """This broker uses a limit."""
        if self._member_list.size > FANOUT + 1 and key not in self._registered:
            self._new.append(key)

    def rendezvous_members(self, key: BudgetKey) -> tuple[int, ...]:
        """The members that the users of a limit tell that they use it.

        Those with the highest random weight of the key (Thaler and Ravishankar, "Using Name-Based Mappings to
        Increase Hit Rates", 1998).
        """
        found = self._rendezvous.get(key)
        if found is None:
            weights = sorted(
                (crc32c.crc32c(b"%d %d" % (key.key, n)), n) for n in range(self._member_list.size)
            )
            highest = weights[-RENDEZVOUS_MEMBERS - 1 :]
            found = tuple(n for _, n in highest if n != self._member_list.own_id)[-RENDEZVOUS_MEMBERS:]
            if len(self._rendezvous) >= RENDEZVOUS_CACHE_MAX:
                self._rendezvous.clear()
            self._rendezvous[key] = found
        return found

    def on_timer(self, now_us: int) -> list[tuple[int, Item]]:
        """The registrations that are due, as requests for 0 parts."""
        items: list[tuple[int, Item]] = []
        new, self._new = self._new, []
        for key in new:
            items += self._register(key, now_us)
        for key in list(self._registered):
            if self._registered[key] > now_us:
                break  # they stand in the order of their times
            del self._registered[key]
            items += self._register(key, now_us)
        return items

    def _register(self, key: BudgetKey, now_us: int) -> list[tuple[int, Item]]:
        budget = self._ledger.budgets.get(key)
        if budget is None or not budget.used_here or now_us - budget.used_us >= REGISTRATION_INTERVAL_US:
            return []
        self._registered[key] = now_us + REGISTRATION_INTERVAL_US
        if len(budget.users) >= budget.hosts - 1:
            return []
        request = self._ledger.make_request(key, now_us, 0)
        return [(member_id, request) for member_id in self.rendezvous_members(key)]

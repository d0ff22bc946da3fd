"""Lets the users of a limit find each other in a fleet too large to send requests to all members.

Each user of a limit registers with a few rendezvous members, which every broker derives from the limit's key,
and their answers name other users. Rendezvous members own no part of the limit. Performs no I/O.
"""

from __future__ import annotations

import crc32c

from lemonridge.fleet.datagrams import Item
from lemonridge.fleet.member_list import MemberList
from lemonridge.fleet.quota_ledger import BudgetKey, QuotaLedger

FANOUT = 8  # the largest number of members that one request is sent to
REGISTRATION_INTERVAL_US = 10_000_000
RENDEZVOUS_MEMBERS = 2  # for each limit, not counting this broker
RENDEZVOUS_CACHE_MAX = 8192  # limits


class LimitRegistry:
    """Registers the limits that this broker uses, if the fleet has more members than requests are sent to."""

    def __init__(self, member_list: MemberList, ledger: QuotaLedger) -> None:
        self._member_list, self._ledger = member_list, ledger
        self._pending: list[BudgetKey] = []  # limits to register for the first time
        self._renewals_us: dict[BudgetKey, int] = {}  # when to register again, in ascending order
        self._rendezvous: dict[BudgetKey, tuple[int, ...]] = {}

    def record_use(self, key: BudgetKey) -> None:
        """Records that this broker uses a limit."""
        if self._member_list.size > FANOUT + 1 and key not in self._renewals_us:
            self._pending.append(key)

    def rendezvous_members(self, key: BudgetKey) -> tuple[int, ...]:
        """Returns the members with which the users of a limit register, this broker excluded.

        They have the highest random weights for the key (rendezvous hashing: Thaler and Ravishankar, "Using
        Name-Based Mappings to Increase Hit Rates", 1998).
        """
        members = self._rendezvous.get(key)
        if members is None:
            weights = sorted(
                (crc32c.crc32c(b"%d %d" % (key.key, n)), n) for n in range(self._member_list.size)
            )
            highest = weights[-RENDEZVOUS_MEMBERS - 1 :]
            members = tuple(n for _, n in highest if n != self._member_list.own_id)[-RENDEZVOUS_MEMBERS:]
            if len(self._rendezvous) >= RENDEZVOUS_CACHE_MAX:
                self._rendezvous.clear()
            self._rendezvous[key] = members
        return members

    def on_timer(self, now_us: int) -> list[tuple[int, Item]]:
        """Returns the registrations that are due as loan requests for 0 parts, by receiver."""
        items: list[tuple[int, Item]] = []
        pending, self._pending = self._pending, []
        for key in pending:
            items += self._register(key, now_us)
        for key in list(self._renewals_us):
            if self._renewals_us[key] > now_us:
                break  # the entries are in ascending order
            del self._renewals_us[key]
            items += self._register(key, now_us)
        return items

    def _register(self, key: BudgetKey, now_us: int) -> list[tuple[int, Item]]:
        budget = self._ledger.budgets.get(key)
        if budget is None or not budget.used_here or now_us - budget.used_us >= REGISTRATION_INTERVAL_US:
            return []
        self._renewals_us[key] = now_us + REGISTRATION_INTERVAL_US
        if len(budget.users) >= budget.hosts - 1:
            return []
        request = self._ledger.make_request(key, now_us, 0)
        return [(member_id, request) for member_id in self.rendezvous_members(key)]

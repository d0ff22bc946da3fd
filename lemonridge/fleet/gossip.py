"""Exchanges observations of endpoints and totals of usage with the other members. Pure."""

from __future__ import annotations

from random import Random

from lemonridge.fleet import counters
from lemonridge.fleet.actions import PeerHealthChanged, PeerUsageReceived
from lemonridge.fleet.counters import Counters
from lemonridge.fleet.datagrams import DatagramHeader, HealthReport, Heartbeat, Item, UsageTotal
from lemonridge.fleet.health_gossip import LocalObservations, ObservedOutcome, PeerHealthReports
from lemonridge.fleet.limit_registry import FANOUT
from lemonridge.fleet.member_list import MemberList
from lemonridge.fleet.membership import ALIVE_STATES, Membership
from lemonridge.fleet.usage_totals import CounterKey, UsageKind, UsageTotals

REPORT_INTERVAL_US = 500_000
USAGE_TOTALS_PER_REPORT = 24
HEALTH_REPORTS_PER_REPORT = 8
AGE_MS_MAX = 65535  # as datagrams hold it


class Gossip:
    """One member's part in it.

    Args:
        member_list: the fleet.
        membership: says to whom to report, and who was heard of late.
        random: draws to whom in a large fleet.
        shares_usage: whether totals of usage are sent.
        counts: where received reports are counted.
        now_us: the time of the start.
    """

    def __init__(
        self,
        member_list: MemberList,
        membership: Membership,
        random: Random,
        shares_usage: bool,
        counts: Counters,
        now_us: int,
    ) -> None:
        self.observations, self.peer_reports = LocalObservations(), PeerHealthReports()
        self.reported_us = now_us
        self._usage = UsageTotals()
        self._member_list, self._membership, self._random = member_list, membership, random
        self._shares_usage, self._counts = shares_usage, counts
        self._others = member_list.others

    def record_outcome(self, endpoint_key: int, outcome: ObservedOutcome, now_us: int) -> bool:
        """An attempt at an endpoint ended; whether this is to be reported at once."""
        at_once = self.observations.record(endpoint_key, outcome, now_us)
        if at_once:
            self.reported_us = now_us - REPORT_INTERVAL_US
        return at_once

    def record_usage(self, kind: UsageKind, key: int, units: float) -> None:
        """This broker served a volume, or sent an endpoint, some units."""
        self._usage.add(kind, key, units)

    def on_timer(self, now_us: int) -> list[tuple[int, Item]]:
        """Report, when it is time, to all members of a small fleet, and to some of a large one."""
        if now_us - self.reported_us < REPORT_INTERVAL_US:
            return []
        self.reported_us = now_us
        receivers = list(self._membership.not_dead())
        if len(receivers) > FANOUT:
            receivers = self._random.sample(receivers, FANOUT)
        items: list[Item] = []
        for one in self.observations.reportable(now_us)[:HEALTH_REPORTS_PER_REPORT]:
            age_ms = min(AGE_MS_MAX, (now_us - one.at_us) // 1000)
            items.append(HealthReport(one.endpoint_id, int(one.condition), one.weight, age_ms))
        if self._shares_usage:
            items += [UsageTotal(*row) for row in self._usage.take_growth(USAGE_TOTALS_PER_REPORT)]
            if not items and self._member_list.size <= FANOUT + 1:
                items.append(Heartbeat())  # that a member counted nothing must be known too
        return [(receiver, item) for receiver in receivers for item in items]

    def on_health_report(
        self, header: DatagramHeader, report: HealthReport, now_us: int
    ) -> PeerHealthChanged | None:
        """A report on an endpoint arrived; None where it changes nothing."""
        observed_us = now_us - report.age_ms * 1000
        summary = self.peer_reports.record(
            header.sender, report.endpoint_id, report.condition, report.weight, observed_us, now_us
        )
        if summary is None:
            return None
        agreed = counters.HEALTH_REPORTS_AGREED if summary.agreed else counters.HEALTH_REPORTS_SINGLE
        self._counts[agreed] += 1
        return PeerHealthChanged(summary)

    def on_usage_total(
        self, header: DatagramHeader, total: UsageTotal, now_us: int
    ) -> PeerUsageReceived | None:
        """A total arrived; None where it says nothing of what a volume was served of late."""
        counter = CounterKey(total.kind, total.key)
        units = self._usage.on_total(header.sender, header.incarnation, counter, total.total, now_us)
        if units and total.kind == UsageKind.SERVED and self._no_member_is_silent(now_us):
            return PeerUsageReceived(total.key, units)
        return None

    def _no_member_is_silent(self, now_us: int) -> bool:
        """Whether no live member is silent: what a silent one served is not known."""
        if self._member_list.size > FANOUT + 1:
            return False
        members = (self._membership.members[n] for n in self._others)
        return all(
            one.state not in ALIVE_STATES or now_us - one.last_received_us <= 2 * REPORT_INTERVAL_US
            for one in members
        )

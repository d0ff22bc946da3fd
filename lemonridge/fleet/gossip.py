"""Exchanges endpoint health and usage totals with the other members. Performs no I/O."""

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
AGE_MS_MAX = 65535  # the largest age that a datagram holds


class Gossip:
    """Sends the reports of one member and applies those of others.

    Attributes:
        observations: What this broker observed of endpoints itself.
        peer_reports: What other members reported about endpoints.
        reported_us: The time of the last report, or an earlier time that makes a report due immediately.

    Args:
        member_list: The configured members of the fleet.
        membership: Selects the members to report to, and provides when each was last received from.
        random: Selects the recipients of a report when the fleet exceeds FANOUT members.
        shares_usage: Whether usage totals are sent.
        counts: The counters in which received health reports are counted.
        now_us: The time of the start.
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
        """Records the outcome of an attempt; returns whether it is to be reported immediately."""
        report_now = self.observations.record(endpoint_key, outcome, now_us)
        if report_now:
            self.reported_us = now_us - REPORT_INTERVAL_US
        return report_now

    def record_usage(self, kind: UsageKind, key: int, units: float) -> None:
        """Records units that this broker served to a volume or sent to an endpoint."""
        self._usage.add(kind, key, units)

    def on_timer(self, now_us: int) -> list[tuple[int, Item]]:
        """Returns the items of a due report: to all members, or to FANOUT random ones of a larger fleet."""
        if now_us - self.reported_us < REPORT_INTERVAL_US:
            return []
        self.reported_us = now_us
        receivers = list(self._membership.not_dead_members())
        if len(receivers) > FANOUT:
            receivers = self._random.sample(receivers, FANOUT)
        items: list[Item] = []
        for observation in self.observations.reportable(now_us)[:HEALTH_REPORTS_PER_REPORT]:
            age_ms = min(AGE_MS_MAX, (now_us - observation.at_us) // 1000)
            items.append(
                HealthReport(observation.endpoint_id, int(observation.condition), observation.weight, age_ms)
            )
        if self._shares_usage:
            items += [UsageTotal(*total) for total in self._usage.take_growth(USAGE_TOTALS_PER_REPORT)]
            if not items and self._member_list.size <= FANOUT + 1:
                # Other members must be able to distinguish a member without usage from a silent one.
                items.append(Heartbeat())
        return [(receiver, item) for receiver in receivers for item in items]

    def on_health_report(
        self, header: DatagramHeader, report: HealthReport, now_us: int
    ) -> PeerHealthChanged | None:
        """Applies a health report; returns None if it changes nothing."""
        observed_us = now_us - report.age_ms * 1000
        summary = self.peer_reports.record(
            header.sender, report.endpoint_id, report.condition, report.weight, observed_us, now_us
        )
        if summary is None:
            return None
        counter = counters.HEALTH_REPORTS_AGREED if summary.agreed else counters.HEALTH_REPORTS_SINGLE
        self._counts[counter] += 1
        return PeerHealthChanged(summary)

    def on_usage_total(
        self, header: DatagramHeader, total: UsageTotal, now_us: int
    ) -> PeerUsageReceived | None:
        """Applies a usage total.

        Returns:
            The units that the sender served to a volume since its last report. None if there are none, or if
            the usage of all members is not known because one of them is silent.
        """
        counter = CounterKey(total.kind, total.key)
        units = self._usage.on_total(header.sender, header.incarnation, counter, total.total, now_us)
        if units and total.kind == UsageKind.SERVED and self._no_member_is_silent(now_us):
            return PeerUsageReceived(total.key, units)
        return None

    def _no_member_is_silent(self, now_us: int) -> bool:
        """Returns whether no live member is silent; what a silent member served is not known.

        In a fleet in which a report does not go to all members, the result is always False.
        """
        if self._member_list.size > FANOUT + 1:
            return False
        members = (self._membership.members[n] for n in self._others)
        return all(
            member.state not in ALIVE_STATES or now_us - member.last_received_us <= 2 * REPORT_INTERVAL_US
            for member in members
        )

"""Fleet members on a simulated network, in one thread and in virtual time."""

from __future__ import annotations

from lemonridge.fleet.actions import (
    FleetAction,
    PeerHealthChanged,
    PeerUsageReceived,
    QuotaUpdated,
    SendDatagram,
    SetTimer,
)
from lemonridge.fleet.datagrams import LoanRequest, Ping, PingRequest, decode
from lemonridge.fleet.events import DatagramReceived, SlowStartBegan, TimerFired
from lemonridge.fleet.fleet_member import FleetMember
from lemonridge.fleet.member_list import MemberList
from lemonridge.fleet.quota_ledger import TOTAL_PARTS, BudgetKey, BudgetKind
from lemonridge.fleet.settings import MemberSettings

START_US = 1_800_000_000_000_000
LIMIT = 20.0  # units a second
REQUEST_UNITS = 4.0


def limit_key(volume: int) -> BudgetKey:
    return BudgetKey(int(BudgetKind.LIMIT), volume)


class VirtualFleet:
    """Members whose datagrams arrive immediately unless the link is cut or the receiver is down."""

    def __init__(self, count: int, settings: MemberSettings | None = None) -> None:
        self.now_us = START_US
        names = tuple(map(str, range(count)))
        self.members = [
            FleetMember(MemberList(names, n), START_US // 1000 + n, n, self.now_us, settings)
            for n in range(count)
        ]
        self.timers_us = [self.now_us] * count
        self.cut_links: set[tuple[int, int]] = set()  # sender, receiver
        self.down: set[int] = set()
        self.quotas: dict[
            tuple[int, BudgetKind, int], QuotaUpdated
        ] = {}  # the last one by member, kind and key
        self.health_changes: list[tuple[int, PeerHealthChanged]] = []
        self.usage: list[tuple[int, PeerUsageReceived]] = []
        self.answer_sizes: list[tuple[int, int]] = []  # bytes of the received datagram and of its answer

    def step(self, us: int = 10_000) -> None:
        """Advances the time and fires the timers that are due."""
        self.now_us += us
        for n in range(len(self.members)):
            if n not in self.down and self.timers_us[n] <= self.now_us:
                self.carry_out(n, self.members[n].handle(self.now_us, (TimerFired(),)))

    def run(self, seconds: float) -> None:
        """Advances the time in steps of 10 ms."""
        for _ in range(int(seconds * 100)):
            self.step()

    def carry_out(self, n: int, actions: list[FleetAction]) -> None:
        """Carries out a member's actions, including the reactions of other members."""
        for action in actions:
            if isinstance(action, SetTimer):
                self.timers_us[n] = action.at_us
            elif isinstance(action, QuotaUpdated):
                self.quotas[n, action.kind, action.key] = action
            elif isinstance(action, PeerHealthChanged):
                self.health_changes.append((n, action))
            elif isinstance(action, PeerUsageReceived):
                self.usage.append((n, action))
            elif isinstance(action, SendDatagram):
                self._deliver(n, action)

    def _deliver(self, sender: int, datagram: SendDatagram) -> None:
        if (sender, datagram.to) in self.cut_links or datagram.to in self.down:
            return
        received = DatagramReceived(sender, datagram.data)
        actions = self.members[datagram.to].handle(self.now_us, (received,))
        for answer in actions:
            if isinstance(answer, SendDatagram) and answer.to == sender:
                items = decode(answer.data, self.members[sender].member_list.fingerprint).items
                if not any(isinstance(item, (Ping, PingRequest, LoanRequest)) for item in items):
                    self.answer_sizes.append((len(datagram.data), len(answer.data)))
        self.carry_out(datagram.to, actions)

    def request(self, n: int, volume: int, hosts: int = 3) -> None:
        """Records a request for a volume with a limit at a member."""
        quota_update = self.members[n].record_limit_demand(volume, LIMIT, hosts, REQUEST_UNITS, self.now_us)
        if quota_update is not None:
            self.quotas[n, quota_update.kind, quota_update.key] = quota_update

    def quota_fraction(self, n: int, volume: int) -> float:
        """Returns the fraction of a volume's limit that a member may use now."""
        quota = self.quotas[n, BudgetKind.LIMIT, volume].quota
        current = self.now_us < quota.until_us or quota.parts == quota.parts_after
        return (quota.parts if current else quota.parts_after) / TOTAL_PARTS

    def slow_start_began(self, began_us: int, duration_s: float = 10.0) -> SlowStartBegan:
        """Returns the slow start of an endpoint at which each member owns 10 units a second."""
        return SlowStartBegan("s-1", 77, 4, 10.0, began_us, self.now_us + int(duration_s * 1e6))

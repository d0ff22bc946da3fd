"""Connects a fleet member with the scheduler beside it, whatever hosts both. Pure.

What the scheduler sees goes to the member, and what the member decides becomes events of the scheduler and
datagrams. The process on sockets, the simulator's adapter and the lab's model each feed a bridge and take
what it holds.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence

from lemonridge.fleet import events as fleet_events
from lemonridge.fleet.actions import (
    PeerHealthChanged,
    PeerUsageReceived,
    QuotaUpdated,
    RolloutItemReceived,
    SendDatagram,
    SetTimer,
)
from lemonridge.fleet.datagrams import DatagramSigner, Item
from lemonridge.fleet.fleet_member import FleetMember
from lemonridge.fleet.health_gossip import ObservedOutcome, PeerHealthSummary, ReportedCondition
from lemonridge.fleet.member_list import MemberList, hash_endpoint_id
from lemonridge.fleet.quota_ledger import TOTAL_PARTS, BudgetKind
from lemonridge.fleet.settings import CLOCK_ERROR_US, SEND_BUDGET_BYTES_S, MemberSettings
from lemonridge.scheduling.actions import Action, SlowStartBegan
from lemonridge.scheduling.events import (
    AttemptEnded,
    AttemptResult,
    Endpoint,
    EndpointsChanged,
    Event,
    PeerHealthReported,
    PeerUsageReported,
    QuotaChanged,
    RequestArrived,
    SharedBudget,
)
from lemonridge.scheduling.settings import Settings

ENDPOINTS_MAX = 65536  # names that are remembered for what arrives by key
PARTS_PER_UNIT_US = 1e12  # micro-units a second in a unit a microsecond
BUDGETS = {
    BudgetKind.LIMIT: SharedBudget.LIMIT,
    BudgetKind.SLOW_START: SharedBudget.SLOW_START,
    BudgetKind.RETRIES: SharedBudget.RETRIES,
}
OUTCOMES = {
    AttemptResult.OK: ObservedOutcome.GOOD,
    AttemptResult.QUEUE_FULL: ObservedOutcome.GOOD,
    AttemptResult.ERROR: ObservedOutcome.ERROR,
    AttemptResult.CONNECT_FAILED: ObservedOutcome.CONNECT_FAILED,
    AttemptResult.TIMEOUT: ObservedOutcome.SILENT,
}


HandleEvents = Callable[[int, Iterable[Event]], list[Action]]  # a scheduler's `handle`


class SchedulerBridge:
    """A fleet member beside one scheduler.

    `events` and `datagrams` grow with each call, in the order in which they must be delivered; the host takes
    them. The events go to the scheduler before anything else that it is told from then on.

    Args:
        member_list: the fleet.
        incarnation: this start's number; a later start has a higher one.
        seed: of the member's random draws.
        now_us: the time of the start.
        settings: the scheduler's, with the limits in force; the host replaces them when they change.
        send_budget_bytes_s: bytes that may be sent within a second.
        clock_error_us: by which two clocks may differ over the duration of a loan.
        signer: makes and checks the keyed tag, where there is a secret.
    """

    def __init__(
        self,
        member_list: MemberList,
        incarnation: int,
        seed: int,
        now_us: int,
        settings: Settings,
        send_budget_bytes_s: float = SEND_BUDGET_BYTES_S,
        clock_error_us: int = CLOCK_ERROR_US,
        signer: DatagramSigner | None = None,
    ) -> None:
        self.settings = settings
        shares_usage = not settings.reports_peer_usage
        of_member = MemberSettings(send_budget_bytes_s, clock_error_us, shares_usage, settings.retry_rate)
        self.member = FleetMember(member_list, incarnation, seed, now_us, of_member, signer)
        self.events: list[Event] = []
        self.datagrams: list[SendDatagram] = []
        self.rollout_items: list[RolloutItemReceived] = []
        self.next_timer_us = now_us
        self.endpoints: dict[int, str] = {}  # names by key
        self._handle(now_us)

    def _handle(self, now_us: int, *events: fleet_events.Event) -> None:
        for action in self.member.handle(now_us, events):
            if isinstance(action, QuotaUpdated):
                self._on_quota_updated(action, now_us)
            elif isinstance(action, SendDatagram):
                self.datagrams.append(action)
            elif isinstance(action, PeerHealthChanged):
                self._on_peer_health(action.summary)
            elif isinstance(action, RolloutItemReceived):
                self.rollout_items.append(action)
            elif isinstance(action, PeerUsageReceived):
                self.events.append(PeerUsageReported(action.volume, action.units))
            elif isinstance(action, SetTimer):
                self.next_timer_us = action.at_us

    # Time and datagrams

    def on_datagram(self, source: int | None, data: bytes, now_us: int) -> None:
        """A datagram arrived from member `source`'s address, or (None) from no member's."""
        self._handle(now_us, fleet_events.DatagramReceived(source, data))

    def on_timer(self, now_us: int) -> None:
        """`next_timer_us` has come."""
        self._handle(now_us, fleet_events.TimerFired())

    def send_rollout_items(self, items: Iterable[tuple[int, Item]], now_us: int) -> None:
        """Send items of the policy rollout, by receiver."""
        self._handle(now_us, fleet_events.RolloutItemsQueued(tuple(items)))

    def shut_down(self, now_us: int) -> None:
        """This broker is about to end: return what is borrowed."""
        self._handle(now_us, fleet_events.ShutdownBegan())

    # What the scheduler sees

    def on_request_arrived(self, event: RequestArrived, now_us: int) -> None:
        """A request arrived; called before the scheduler is told of it."""
        plan = self.settings.plans[event.plan]
        if plan.limit:
            updated = self.member.record_limit_demand(
                event.volume, plan.limit, event.hosts, event.units, now_us
            )
            if updated is not None:
                self._on_quota_updated(updated, now_us)
        self.member.record_shard_demand(event.shard, event.units, now_us)

    def on_endpoints_changed(self, endpoints: Iterable[Endpoint]) -> None:
        """The endpoint list, or a part of it: remembers the names."""
        for endpoint in endpoints:
            if len(self.endpoints) < ENDPOINTS_MAX:
                self.endpoints.setdefault(hash_endpoint_id(endpoint.endpoint_id), endpoint.endpoint_id)

    def on_attempt_ended(self, event: AttemptEnded, now_us: int, volume: int = 0, units: float = 0.0) -> None:
        """An attempt ended, of a request of that volume and size (0 units: not known)."""
        outcome, endpoint_key = OUTCOMES.get(event.result), hash_endpoint_id(event.endpoint_id)
        if outcome is not None and self.member.record_outcome(endpoint_key, outcome, now_us):
            self._handle(now_us, fleet_events.TimerFired())
        if event.result is AttemptResult.OK and units:
            self.member.record_served(volume, units)
        if not event.finished and event.result is not AttemptResult.NOT_SENT and self.settings.retry_rate:
            self.member.record_retry_demand(now_us)

    # What the scheduler decides

    def on_attempt_sent(self, endpoint_id: str, units: float) -> None:
        """An attempt is sent."""
        self.member.record_sent(hash_endpoint_id(endpoint_id), units)

    def on_slow_start_began(self, action: SlowStartBegan, now_us: int) -> None:
        """An endpoint's slow start began.

        Brokers may hold one start for two times (by the endpoint list, by their own attempts), so its budget
        goes by the endpoint's name, and each loan request tells the time.
        """
        began = fleet_events.SlowStartBegan(
            action.endpoint_id,
            hash_endpoint_id(action.endpoint_id),
            action.shard,
            action.rate,
            action.began_us,
            action.until_us,
        )
        self._handle(now_us, began)

    def on_scheduler_restarted(self, now_us: int) -> None:
        """A new scheduler begins with even quotas: tell it what is lent, or not this broker's own yet."""
        for updated in self.member.last_quotas():
            self._on_quota_updated(updated, now_us)

    # Events for the scheduler

    def _on_quota_updated(self, updated: QuotaUpdated, now_us: int) -> None:
        """Queues a `QuotaChanged`.

        Its part is a share of the whole for limits and retries, and a difference to this broker's own rate
        for an endpoint in slow start.
        """
        name: int | str = updated.key
        base, total = 0, float(TOTAL_PARTS)
        if updated.kind is BudgetKind.SLOW_START:
            if updated.key not in self.endpoints:
                return
            name, base, total = self.endpoints[updated.key], updated.owned, PARTS_PER_UNIT_US
        quota = updated.quota
        self.events.append(
            QuotaChanged(
                BUDGETS[updated.kind],
                name,
                (quota.parts - base) / total,
                quota.until_us,
                (quota.parts_after - base) / total,
                now_us,
            )
        )

    def _on_peer_health(self, summary: PeerHealthSummary) -> None:
        """Tell what others report of an endpoint, if this broker knows it.

        That it restarted is only shown to operators: an answer of its own or the endpoint list tells it.
        """
        endpoint = self.endpoints.get(summary.endpoint_id)
        if endpoint is not None and summary.condition is not ReportedCondition.RESTARTED:
            self.events.append(PeerHealthReported(endpoint, summary.sources, summary.agreed, summary.at_us))


def handle_batch(
    handle: HandleEvents,
    bridge: SchedulerBridge,
    now_us: int,
    events: Sequence[Event],
    received: Iterable[tuple[int, bytes]],
) -> tuple[list[Action], list[SendDatagram]]:
    """Run one moment of a scheduler and its bridge, for hosts whose events come in batches.

    The scheduler is told of a quota before anything that came with or after it.

    Args:
        handle: the scheduler's `handle`.
        bridge: the bridge beside it; its `next_timer_us` says when to call again at the latest.
        now_us: the time.
        events: the scheduler's events.
        received: datagrams, each with the number of its sender.

    Returns:
        The scheduler's actions, and the datagrams to send.
    """
    pending: list[Event] = []

    def take_events() -> list[Event]:
        """The events for the scheduler since the last call."""
        new_events, bridge.events = bridge.events, []
        return new_events

    for source, data in received:
        bridge.on_datagram(source, data, now_us)
    for event in events:
        _show(bridge, event, now_us)
        pending += [*take_events(), event]
    if now_us >= bridge.next_timer_us:
        bridge.on_timer(now_us)
    actions = handle(now_us, [*take_events(), *pending])
    for action in list(actions):
        if isinstance(action, SlowStartBegan):
            bridge.on_slow_start_began(action, now_us)
    if later := take_events():
        actions += handle(now_us, later)
    datagrams, bridge.datagrams = bridge.datagrams, []
    return actions, datagrams


def _show(bridge: SchedulerBridge, event: Event, now_us: int) -> None:
    """Show the bridge an event of the scheduler's."""
    if isinstance(event, RequestArrived):
        bridge.on_request_arrived(event, now_us)
    elif isinstance(event, EndpointsChanged):
        bridge.on_endpoints_changed(event.entries)
    elif isinstance(event, AttemptEnded):
        bridge.on_attempt_ended(event, now_us)

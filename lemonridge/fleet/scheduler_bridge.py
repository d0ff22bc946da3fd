"""Connects a fleet member to the scheduler of the same broker, independent of their host. Performs no I/O.

The bridge passes the scheduler's events and decisions to the member, and turns the member's actions into
events for the scheduler and datagrams. The transport on sockets, the simulator's adapter and the lab's model
each run a bridge: they call its methods and deliver the events and datagrams that it collects.
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

ENDPOINTS_MAX = 65536  # endpoint ids that are stored to look up received keys
PARTS_PER_UNIT_US = 1e12  # parts (micro-units a second) in a unit a microsecond
SHARED_BUDGETS = {
    BudgetKind.LIMIT: SharedBudget.LIMIT,
    BudgetKind.SLOW_START: SharedBudget.SLOW_START,
    BudgetKind.RETRIES: SharedBudget.RETRIES,
}
OBSERVED_OUTCOMES = {
    AttemptResult.OK: ObservedOutcome.GOOD,
    AttemptResult.QUEUE_FULL: ObservedOutcome.GOOD,
    AttemptResult.ERROR: ObservedOutcome.ERROR,
    AttemptResult.CONNECT_FAILED: ObservedOutcome.CONNECT_FAILED,
    AttemptResult.TIMEOUT: ObservedOutcome.SILENT,
}


HandleEvents = Callable[[int, Iterable[Event]], list[Action]]  # a scheduler's `handle`


class SchedulerBridge:
    """A fleet member and the queues between it and one scheduler.

    Calls append to `events`, `datagrams` and `rollout_items` in the order of delivery; the host removes and
    delivers their entries. The scheduler must receive `events` before any event that occurs after the call.

    Attributes:
        settings: The scheduler's settings in force.
        member: The fleet member.
        events: The events for the scheduler.
        datagrams: The datagrams to send.
        rollout_items: The received items for the policy rollout.
        next_timer_us: The time of the next call of `on_timer`.
        endpoints: The ids of known endpoints by key.

    Args:
        member_list: The configured members of the fleet.
        incarnation: This start's number; a later start has a higher one.
        seed: The seed of the member's random choices.
        now_us: The time of the start.
        settings: The scheduler's settings with the limits in force; the host replaces them when they change.
        send_budget_bytes_s: The bytes that may be sent in a second.
        clock_error_us: How far two clocks may diverge over the duration of a loan.
        signer: Computes and verifies the keyed tag of datagrams; None if no secret is configured.
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
        member_settings = MemberSettings(
            send_budget_bytes_s, clock_error_us, shares_usage, settings.retry_rate
        )
        self.member = FleetMember(member_list, incarnation, seed, now_us, member_settings, signer)
        self.events: list[Event] = []
        self.datagrams: list[SendDatagram] = []
        self.rollout_items: list[RolloutItemReceived] = []
        self.next_timer_us = now_us
        self.endpoints: dict[int, str] = {}
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

    # Timers and datagrams

    def on_datagram(self, source: int | None, data: bytes, now_us: int) -> None:
        """Handles a datagram from the address of member `source`, or from an unknown address (None)."""
        self._handle(now_us, fleet_events.DatagramReceived(source, data))

    def on_timer(self, now_us: int) -> None:
        """Performs the work that is due; called at `next_timer_us`."""
        self._handle(now_us, fleet_events.TimerFired())

    def send_rollout_items(self, items: Iterable[tuple[int, Item]], now_us: int) -> None:
        """Sends items of the policy rollout, by receiver."""
        self._handle(now_us, fleet_events.RolloutItemsQueued(tuple(items)))

    def shut_down(self, now_us: int) -> None:
        """Begins the graceful shutdown of this broker: returns its loans and announces that it drains."""
        self._handle(now_us, fleet_events.ShutdownBegan())

    def stop_lending(self, now_us: int) -> None:
        """Returns all loans and grants none, because another process of this broker uses its parts."""
        self.member.stop_lending()
        self._handle(now_us, fleet_events.TimerFired())

    def resume_lending(self, now_us: int) -> None:
        """Restricts this broker until all loans that its other process granted have ended; then it lends."""
        self.member.ledger.lends = True
        self.member.ledger.restrict_to_floors(now_us)
        self._handle(now_us, fleet_events.TimerFired())

    # Events of the scheduler

    def on_request_arrived(self, event: RequestArrived, now_us: int) -> None:
        """Records the demand of a request; called before the scheduler receives the event."""
        plan = self.settings.plans[event.plan]
        if plan.limit:
            quota_update = self.member.record_limit_demand(
                event.volume, plan.limit, event.hosts, event.units, now_us
            )
            if quota_update is not None:
                self._on_quota_updated(quota_update, now_us)
        self.member.record_shard_demand(event.shard, event.units, now_us)

    def on_endpoints_changed(self, endpoints: Iterable[Endpoint]) -> None:
        """Stores the ids of endpoints from the endpoint list or a part of it."""
        for endpoint in endpoints:
            if len(self.endpoints) < ENDPOINTS_MAX:
                self.endpoints.setdefault(hash_endpoint_id(endpoint.endpoint_id), endpoint.endpoint_id)

    def on_attempt_ended(self, event: AttemptEnded, now_us: int, volume: int = 0, units: float = 0.0) -> None:
        """Records the outcome of an attempt.

        Args:
            event: The event of the scheduler.
            now_us: The time of the event.
            volume: The volume of the request.
            units: The size of the request; 0 if not known.
        """
        outcome, endpoint_key = OBSERVED_OUTCOMES.get(event.result), hash_endpoint_id(event.endpoint_id)
        if outcome is not None and self.member.record_outcome(endpoint_key, outcome, now_us):
            self._handle(now_us, fleet_events.TimerFired())
        if event.result is AttemptResult.OK and units:
            self.member.record_served(volume, units)
        if not event.finished and event.result is not AttemptResult.NOT_SENT and self.settings.retry_rate:
            self.member.record_retry_demand(now_us)

    # Decisions of the scheduler

    def on_attempt_sent(self, endpoint_id: str, units: float) -> None:
        """Records the units of an attempt that is sent to an endpoint."""
        self.member.record_sent(hash_endpoint_id(endpoint_id), units)

    def on_slow_start_began(self, action: SlowStartBegan, now_us: int) -> None:
        """Shares the budget of an endpoint's slow start.

        Brokers may record different times for one start (from the endpoint list or from their own attempts).
        Its budget is therefore identified by the endpoint alone, and each loan request carries the time.
        """
        slow_start = fleet_events.SlowStartBegan(
            action.endpoint_id,
            hash_endpoint_id(action.endpoint_id),
            action.shard,
            action.rate,
            action.began_us,
            action.until_us,
        )
        self._handle(now_us, slow_start)

    def on_scheduler_restarted(self, now_us: int) -> None:
        """Queues all quotas for a new scheduler, which assumes equal quotas without loans and floors."""
        for quota_update in self.member.last_sent_quotas():
            self._on_quota_updated(quota_update, now_us)

    # Events for the scheduler

    def _on_quota_updated(self, quota_update: QuotaUpdated, now_us: int) -> None:
        """Queues a `QuotaChanged`.

        For limits and retries its amounts are fractions of the whole budget. For an endpoint in slow start
        they are differences from the rate that this broker owns, in units a microsecond.
        """
        key: int | str = quota_update.key
        base_parts, total_parts = 0, float(TOTAL_PARTS)
        if quota_update.kind is BudgetKind.SLOW_START:
            if quota_update.key not in self.endpoints:
                return
            key, base_parts, total_parts = (
                self.endpoints[quota_update.key],
                quota_update.owned,
                PARTS_PER_UNIT_US,
            )
        quota = quota_update.quota
        self.events.append(
            QuotaChanged(
                SHARED_BUDGETS[quota_update.kind],
                key,
                (quota.parts - base_parts) / total_parts,
                quota.until_us,
                (quota.parts_after - base_parts) / total_parts,
                now_us,
            )
        )

    def _on_peer_health(self, summary: PeerHealthSummary) -> None:
        """Queues a `PeerHealthReported` if this broker knows the endpoint.

        Restarts are only shown to operators: the scheduler learns of them from its own responses or from the
        endpoint list.
        """
        endpoint = self.endpoints.get(summary.endpoint_id)
        if endpoint is not None and summary.condition is not ReportedCondition.RESTARTED:
            self.events.append(PeerHealthReported(endpoint, summary.sources, summary.agreed, summary.at_us))


def handle_batch(
    handle: HandleEvents,
    bridge: SchedulerBridge,
    now_us: int,
    events: Sequence[Event],
    received_datagrams: Iterable[tuple[int, bytes]],
) -> tuple[list[Action], list[SendDatagram]]:
    """Handles the events of one moment with a scheduler and its bridge, for hosts that batch events.

    The scheduler receives a quota before the events of the same or a later moment.

    Args:
        handle: The scheduler's `handle`.
        bridge: The scheduler's bridge; the next call is due at its `next_timer_us` at the latest.
        now_us: The current time.
        events: The events for the scheduler.
        received_datagrams: The received datagrams, each with its sender's id.

    Returns:
        The scheduler's actions and the datagrams to send.
    """
    pending: list[Event] = []

    def take_events() -> list[Event]:
        """Removes and returns the events that the bridge has queued for the scheduler."""
        new_events, bridge.events = bridge.events, []
        return new_events

    for source, data in received_datagrams:
        bridge.on_datagram(source, data, now_us)
    for event in events:
        _forward_event(bridge, event, now_us)
        pending += [*take_events(), event]
    if now_us >= bridge.next_timer_us:
        bridge.on_timer(now_us)
    actions = handle(now_us, [*take_events(), *pending])
    for action in list(actions):
        if isinstance(action, SlowStartBegan):
            bridge.on_slow_start_began(action, now_us)
    if remaining := take_events():
        actions += handle(now_us, remaining)
    datagrams, bridge.datagrams = bridge.datagrams, []
    return actions, datagrams


def _forward_event(bridge: SchedulerBridge, event: Event, now_us: int) -> None:
    """Passes an event of the scheduler to the bridge."""
    if isinstance(event, RequestArrived):
        bridge.on_request_arrived(event, now_us)
    elif isinstance(event, EndpointsChanged):
        bridge.on_endpoints_changed(event.entries)
    elif isinstance(event, AttemptEnded):
        bridge.on_attempt_ended(event, now_us)

"""The fleet's machine beside one scheduler, whatever hosts both: what the decisions see goes in, what they
are to be told comes out. Pure.

The program on sockets, the simulator's adapter and the lab's model each feed it and take what it has.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence

from lemonridge.fleet import fleet_member
from lemonridge.fleet.datagrams import DatagramSigner, Item
from lemonridge.fleet.fleet_member import (
    CLOCK_ERROR_US,
    SEND_BUDGET_BYTES_S,
    DatagramReceived,
    FleetMember,
    MemberSettings,
    PeerHealthChanged,
    PeerUsageReceived,
    QuotaUpdated,
    RolloutItemReceived,
    RolloutItemsQueued,
    SendDatagram,
    SetTimer,
    ShutdownBegan,
    TimerFired,
)
from lemonridge.fleet.health_gossip import ObservedOutcome, PeerHealthSummary, ReportedCondition
from lemonridge.fleet.member_list import MemberList, key_of
from lemonridge.fleet.quota_lending import WHOLE_PARTS, BudgetKind
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

NODES_MAX = 65536  # names that are kept for what comes by key
MICRO = 1e12  # micro-units a second in a unit a microsecond
BUDGETS = {
    BudgetKind.LIMIT: SharedBudget.LIMIT,
    BudgetKind.COLD: SharedBudget.SLOW_START,
    BudgetKind.FURTHER: SharedBudget.RETRIES,
}
SEEN = {
    AttemptResult.OK: ObservedOutcome.GOOD,
    AttemptResult.QUEUE_FULL: ObservedOutcome.GOOD,
    AttemptResult.ERROR: ObservedOutcome.ERROR,
    AttemptResult.CONNECT_FAILED: ObservedOutcome.CONNECT_FAILED,
    AttemptResult.TIMEOUT: ObservedOutcome.SILENT,
}


Decide = Callable[[int, Iterable[Event]], list[Action]]  # a scheduler's `handle`


class SchedulerBridge:
    """`events` and `tells` grow with each call, in the order in which they must go; the host takes them. The
    events come before whatever else the decisions are told from then on.
    """

    def __init__(
        self,
        member_list: MemberList,
        incarnation: int,
        seed: int,
        now_us: int,
        settings: Settings,
        bytes_s: float = SEND_BUDGET_BYTES_S,
        error_us: int = CLOCK_ERROR_US,
        signer: DatagramSigner | None = None,
    ) -> None:
        self.settings = settings
        tuning = MemberSettings(bytes_s, error_us, not settings.reports_peer_usage, settings.retry_rate)
        self.fleet = FleetMember(member_list, incarnation, seed, now_us, tuning, signer)
        self.events: list[Event] = []
        self.tells: list[SendDatagram] = []
        self.passed: list[RolloutItemReceived] = []  # for the machine that changes policies
        self.next_timer_us = now_us
        self.endpoints: dict[int, str] = {}  # names by key
        self._handle(now_us)

    def _handle(self, now_us: int, *events: fleet_member.Event) -> None:
        for action in self.fleet.handle(now_us, events):
            if isinstance(action, QuotaUpdated):
                self._sliced(action, now_us)
            elif isinstance(action, SendDatagram):
                self.tells.append(action)
            elif isinstance(action, PeerHealthChanged):
                self._judged(action.verdict)
            elif isinstance(action, RolloutItemReceived):
                self.passed.append(action)
            elif isinstance(action, PeerUsageReceived):
                self.events.append(PeerUsageReported(action.volume, action.units))
            elif isinstance(action, SetTimer):
                self.next_timer_us = action.at_us

    # Time and datagrams

    def received(self, source: int | None, data: bytes, now_us: int) -> None:
        """A datagram came, from member `source`'s address or from no member's."""
        self._handle(now_us, DatagramReceived(source, data))

    def woke(self, now_us: int) -> None:
        self._handle(now_us, TimerFired())

    def post(self, items: Iterable[tuple[int, Item]], now_us: int) -> None:
        """Send what the machine that changes policies has to say."""
        self._handle(now_us, RolloutItemsQueued(tuple(items)))

    def leave(self, now_us: int) -> None:
        """This broker is about to end."""
        self._handle(now_us, ShutdownBegan())

    # What the decisions see

    def arrived(self, event: RequestArrived, now_us: int) -> None:
        """A request, before the decisions are told of it."""
        plan = self.settings.plans[event.plan]
        if plan.limit:
            sliced = self.fleet.taken(event.volume, plan.limit, event.hosts, event.units, now_us)
            if sliced is not None:
                self._sliced(sliced, now_us)
        self.fleet.asked(event.shard, event.units, now_us)

    def listed(self, entries: Iterable[Endpoint]) -> None:
        """The node list, or a part of it."""
        for entry in entries:
            if len(self.endpoints) < NODES_MAX:
                self.endpoints.setdefault(key_of(entry.endpoint_id), entry.endpoint_id)

    def ended(self, event: AttemptEnded, now_us: int, volume: int = 0, units: float = 0.0) -> None:
        """An attempt ended, of a request of that volume and size."""
        seen = SEEN.get(event.result)
        if seen is not None and self.fleet.ended(key_of(event.endpoint_id), seen, now_us):
            self._handle(now_us, TimerFired())
        if event.result is AttemptResult.OK and units:
            self.fleet.served(volume, units)
        if not event.finished and event.result is not AttemptResult.NOT_SENT and self.settings.retry_rate:
            self.fleet.tried(now_us)

    # What they decide

    def sent(self, endpoint: str, units: float) -> None:
        """An attempt was decided on."""
        self.fleet.sent(key_of(endpoint), units)

    def slow_start_began(self, action: SlowStartBegan, now_us: int) -> None:
        """A cold spell began. Brokers may hold one start for two times (by the list, by their own eyes), so
        its budget goes by the node's name, and the time goes with each question.
        """
        began = fleet_member.SlowStartBegan(
            action.endpoint_id,
            key_of(action.endpoint_id),
            action.shard,
            action.rate,
            action.began_us,
            action.until_us,
        )
        self._handle(now_us, began)

    def renewed(self, now_us: int) -> None:
        """The decisions began anew, with even slices: what is lent, or not this broker's own yet, is kept."""
        for sliced in self.fleet.told():
            self._sliced(sliced, now_us)

    # What they are told

    def _sliced(self, told: QuotaUpdated, now_us: int) -> None:
        name: int | str = told.key
        own, whole = 0, float(WHOLE_PARTS)
        if told.kind is BudgetKind.COLD:
            if told.key not in self.endpoints:
                return
            name, own, whole = self.endpoints[told.key], told.base, MICRO
        part = told.slice
        self.events.append(
            QuotaChanged(
                BUDGETS[told.kind],
                name,
                (part.parts - own) / whole,
                part.until_us,
                (part.after - own) / whole,
                now_us,
            )
        )

    def _judged(self, verdict: PeerHealthSummary) -> None:
        """What others say of a node, if this broker knows it. That one came back cold is shown alone: an
        answer, or the list, tells.
        """
        endpoint = self.endpoints.get(verdict.endpoint_id)
        if endpoint is not None and verdict.what is not ReportedCondition.COLD:
            self.events.append(PeerHealthReported(endpoint, verdict.sources, verdict.agreed, verdict.at_us))


def decide(
    handle: Decide,
    bridge: SchedulerBridge,
    now_us: int,
    events: Sequence[Event],
    heard: Iterable[tuple[int, bytes]],
) -> tuple[list[Action], list[SendDatagram]]:
    """One moment of a scheduler and its companion, for hosts whose events come in batches: the decisions, the
    datagrams to send, and in `bridge.next_timer_us` when to come again at the latest. The decisions are told
    of a slice before anything that came with or after it.
    """
    told: list[Event] = []

    def take() -> list[Event]:
        taken, bridge.events = bridge.events, []
        return taken

    for source, data in heard:
        bridge.received(source, data, now_us)
    for event in events:
        if isinstance(event, RequestArrived):
            bridge.arrived(event, now_us)
        elif isinstance(event, EndpointsChanged):
            bridge.listed(event.entries)
        elif isinstance(event, AttemptEnded):
            bridge.ended(event, now_us)
        told += [*take(), event]
    if now_us >= bridge.next_timer_us:
        bridge.woke(now_us)
    actions = handle(now_us, [*take(), *told])
    for action in list(actions):
        if isinstance(action, SlowStartBegan):
            bridge.slow_start_began(action, now_us)
    if later := take():
        actions += handle(now_us, later)
    tells, bridge.tells = bridge.tells, []
    return actions, tells

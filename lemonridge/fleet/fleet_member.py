"""The fleet member of one broker: the state machine that combines the modules of this package.

It performs no I/O. `FleetMember.handle` takes the current time and events, and returns actions in the order
in which the host must carry them out: a quota is lowered before the datagram that lends a part of it is sent.
Three hosts run a member: the transport on sockets (`net/peer_transport.py`), the simulator's adapter and the
lab's model.

The components are `membership.py` and `failure_detector.py` (which members are up), `quota_ledger.py` and
`quota_lending.py` (budgets), `limit_registry.py` (which members use a limit), `gossip.py` (endpoint health
and usage), `datagram_receiver.py` and `datagram_sender.py`.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from random import Random
from typing import Any

from lemonridge.fleet import counters, datagrams
from lemonridge.fleet.actions import FleetAction, QuotaUpdated, RolloutItemReceived, SetTimer
from lemonridge.fleet.counters import Counters
from lemonridge.fleet.datagram_receiver import DatagramReceiver
from lemonridge.fleet.datagram_sender import DatagramSender
from lemonridge.fleet.datagrams import ROLLOUT_ITEM_TYPES, DatagramHeader, DatagramSigner, Item, MemberState
from lemonridge.fleet.events import (
    DatagramReceived,
    Event,
    RolloutItemsQueued,
    ShutdownBegan,
    SlowStartBegan,
    TimerFired,
)
from lemonridge.fleet.failure_detector import FailureDetector
from lemonridge.fleet.gossip import REPORT_INTERVAL_US, Gossip
from lemonridge.fleet.health_gossip import ObservedOutcome
from lemonridge.fleet.limit_registry import FANOUT, LimitRegistry
from lemonridge.fleet.member_list import MemberList
from lemonridge.fleet.membership import Membership
from lemonridge.fleet.quota_ledger import QuotaLedger
from lemonridge.fleet.quota_lending import QuotaLending
from lemonridge.fleet.settings import MemberSettings
from lemonridge.fleet.usage_totals import UsageKind

TICK_INTERVAL_US = 50_000  # while the member is joining, lends or borrows, or shares usage
IDLE_TICK_INTERVAL_US = 1_000_000
TIMER_MIN_US = 1_000
STALL_THRESHOLD_US = 400_000  # a timer that fires later than this shows that the process was stalled
FIRST_REQUEST_ID_MAX = 1 << 30  # leaves room for an incarnation's requests in 32 bits


class FleetMember:
    """The member of one broker in the fleet.

    Attributes:
        member_list: The configured members of the fleet.
        counts: The counters that operators see, by the names in `counters.py`.
        membership: This broker's view of all members.
        ledger: The budgets that this broker shares with other members.
        registry: The registrations of the limits that this broker uses.
        lending: The rules by which quota is lent and borrowed.
        gossip: The exchange of endpoint health and usage with other members.
        receiver: The receiving side, with the counts of rejected datagrams.

    Args:
        member_list: The configured members of the fleet and this broker's own id.
        incarnation: The start time in Unix milliseconds; a later start of the same member has a higher one.
        seed: The seed of all random choices.
        now_us: The time of the start.
        settings: The member's settings; None selects the defaults.
        signer: Computes and verifies the keyed tag of datagrams; None if no secret is configured.
    """

    def __init__(
        self,
        member_list: MemberList,
        incarnation: int,
        seed: int,
        now_us: int,
        settings: MemberSettings | None = None,
        signer: DatagramSigner | None = None,
    ) -> None:
        settings = settings or MemberSettings()
        random = Random(f"{seed}/fleet")
        self.member_list, self._settings = member_list, settings
        self.counts = Counters(int)
        self.membership = Membership(member_list, incarnation, now_us)
        self._failure_detector = FailureDetector(member_list, self.membership, seed, now_us)
        self.ledger = QuotaLedger(
            member_list.own_id,
            incarnation,
            random.randrange(1, FIRST_REQUEST_ID_MAX),
            settings.clock_error_us,
            now_us,
            member_list.others,
        )
        self.registry = LimitRegistry(member_list, self.ledger)
        self.lending = QuotaLending(
            member_list, self.membership, self.ledger, self.registry, random, settings.retry_rate, now_us
        )
        self.gossip = Gossip(member_list, self.membership, random, settings.shares_usage, self.counts, now_us)
        self.receiver = DatagramReceiver(member_list, signer, now_us)
        self._sender = DatagramSender(
            member_list, self.membership, signer, settings.send_budget_bytes_s, self.counts, now_us
        )
        self._next_tick_us = now_us
        self._timer_us: int | None = None
        self._event_handlers, self._item_handlers = self._build_event_handlers(), self._build_item_handlers()

    def _build_event_handlers(self) -> dict[type[Event], Callable[[Any, int], Iterable[FleetAction]]]:
        return {
            DatagramReceived: self._handle_datagram,
            TimerFired: self._handle_timer,
            SlowStartBegan: self._handle_slow_start,
            ShutdownBegan: self._handle_shutdown,
            RolloutItemsQueued: self._handle_rollout_items,
        }

    def _build_item_handlers(
        self,
    ) -> dict[type[Item], Callable[[DatagramHeader, Any, int], Iterable[FleetAction]]]:
        handlers: dict[type[Item], Callable[[DatagramHeader, Any, int], Iterable[FleetAction]]] = {
            datagrams.Ping: self._handle_ping,
            datagrams.Ack: self._handle_ack,
            datagrams.PingRequest: self._handle_ping_request,
            datagrams.MembershipUpdate: self._handle_membership_update,
            datagrams.LoanRequest: self._handle_loan_request,
            datagrams.LoanGrant: self._handle_loan_grant,
            datagrams.LoanRelease: self._handle_loan_release,
            datagrams.LoanRecall: self._handle_loan_recall,
            datagrams.LoanRecallAck: self._handle_loan_recall_ack,
            datagrams.UsageTotal: self._handle_usage_total,
            datagrams.HealthReport: self._handle_health_report,
            datagrams.Heartbeat: self._handle_heartbeat,
        }
        return handlers | dict.fromkeys(ROLLOUT_ITEM_TYPES, self._handle_rollout_item)

    # Observations of this broker, recorded between events

    def record_limit_demand(
        self, volume: int, limit: float, hosts: int, units: float, now_us: int
    ) -> QuotaUpdated | None:
        """Records a request for a volume with a limit; see `QuotaLending.record_limit_demand`."""
        return self.lending.record_limit_demand(volume, limit, hosts, units, now_us)

    def record_shard_demand(self, shard: int, units: float, now_us: int) -> None:
        """Records a request of `units` for a shard."""
        self.lending.record_shard_demand(shard, units, now_us)

    def record_retry_demand(self, now_us: int) -> None:
        """Records the demand for one retry, whether or not the retry is made."""
        self.lending.record_retry_demand(now_us)

    def record_outcome(self, endpoint_key: int, outcome: ObservedOutcome, now_us: int) -> bool:
        """Records the outcome of an attempt at an endpoint.

        Returns:
            Whether the caller must call `handle` now, so that the outcome is reported immediately.
        """
        if not self.gossip.record_outcome(endpoint_key, outcome, now_us):
            return False
        self._next_tick_us = now_us - REPORT_INTERVAL_US
        return True

    def record_sent(self, endpoint_key: int, units: float) -> None:
        """Records units that this broker sent to an endpoint."""
        self.gossip.record_usage(UsageKind.SENT, endpoint_key, units)

    def record_served(self, volume: int, units: float) -> None:
        """Records units that this broker served to a volume."""
        self.gossip.record_usage(UsageKind.SERVED, volume, units)

    def last_sent_quotas(self) -> list[QuotaUpdated]:
        """Returns every quota as it was last sent to the scheduler."""
        return self.lending.last_sent_quotas()

    def stop_lending(self) -> None:
        """Returns all loans and grants none from now on."""
        self.ledger.lends = False
        self._sender.queue(self.lending.return_all())

    # Events

    def handle(self, now_us: int, events: Iterable[Event]) -> list[FleetAction]:
        """Applies the events of one moment and performs the work that is due.

        Returns:
            The actions to carry out, in this order; the last one sets the timer.
        """
        actions: list[FleetAction] = []
        if self._timer_us is not None and now_us - self._timer_us > STALL_THRESHOLD_US:
            self.counts[counters.STALLS] += 1
            self._failure_detector.on_stall(now_us)
        for event in events:
            actions += self._event_handlers[type(event)](event, now_us)
        self._sender.queue(self._failure_detector.on_timer(now_us))
        if now_us >= self._next_tick_us:
            self._next_tick_us = now_us + TICK_INTERVAL_US
            self._tick(now_us)
        # Quotas precede datagrams: parts that a datagram lends must no longer be used here.
        actions += self.lending.changed_quotas(now_us)
        actions += self._sender.flush(now_us)
        idle_tick_us = now_us + IDLE_TICK_INTERVAL_US
        tick_us = self._next_tick_us if self._is_busy() else idle_tick_us
        self._timer_us = max(now_us + TIMER_MIN_US, min(self._failure_detector.next_timer_us(), tick_us))
        actions.append(SetTimer(self._timer_us))
        return actions

    def _is_busy(self) -> bool:
        joining = self.membership.state is MemberState.JOINING
        return joining or self.lending.in_use or self._settings.shares_usage

    def _tick(self, now_us: int) -> None:
        """Performs the periodic work; the order of the calls matters."""
        self._sender.queue(self.lending.recalls(now_us))
        if now_us >= self.ledger.floors_until_us and self.membership.state is MemberState.JOINING:
            self.membership.announce(MemberState.UP)
        self._sender.queue(self.lending.follow_demand(now_us))
        self._sender.queue(self.registry.on_timer(now_us))
        self._sender.queue(self.gossip.on_timer(now_us))
        self._sender.queue(self.lending.end_slow_starts(now_us))
        self.lending.drop_idle(now_us)

    def _handle_timer(self, event: TimerFired, now_us: int) -> Iterable[FleetAction]:
        """Does nothing: `handle` performs the work that is due after every event."""
        return ()

    def _handle_slow_start(self, event: SlowStartBegan, now_us: int) -> Iterable[FleetAction]:
        self._sender.queue(self.lending.begin_slow_start(event, now_us))
        return ()

    def _handle_shutdown(self, event: ShutdownBegan, now_us: int) -> Iterable[FleetAction]:
        """Returns all loans and announces DRAINING to up to FANOUT members, which disseminate it."""
        self.membership.announce(MemberState.DRAINING)
        self._sender.queue(self.lending.return_all())
        heartbeat = datagrams.Heartbeat()
        self._sender.queue(
            (member_id, heartbeat) for member_id in self.membership.not_dead_members()[:FANOUT]
        )
        return ()

    def _handle_rollout_items(self, event: RolloutItemsQueued, now_us: int) -> Iterable[FleetAction]:
        actions: list[FleetAction] = []
        for receiver, item in event.items:
            actions += self._sender.send_rollout_item(receiver, item, now_us)
        return actions

    def _handle_datagram(self, event: DatagramReceived, now_us: int) -> Iterable[FleetAction]:
        """Applies a datagram's items and answers its sender; items for other members are queued."""
        datagram = self.receiver.read(event, now_us)
        if datagram is None:
            return []
        self.counts[counters.DATAGRAMS_RECEIVED] += 1
        header = datagram.header
        actions: list[FleetAction] = []
        previous_queue = self._sender.swap_queue({})
        self._sender.queue(self.membership.on_header(header, now_us))
        for item in datagram.items:
            actions += self._item_handlers[type(item)](header, item, now_us)
        new_queue = self._sender.swap_queue(previous_queue)
        answers = new_queue.pop(header.sender, [])
        for member_id, items in new_queue.items():
            self._sender.queue((member_id, item) for item in items)
        # Quotas precede datagrams here too.
        actions += self.lending.changed_quotas(now_us)
        if answers:
            actions += self._sender.answer(header.sender, answers, now_us, len(event.data))
        return actions

    # Items of datagrams

    def _handle_ping(
        self, header: DatagramHeader, item: datagrams.Ping, now_us: int
    ) -> Iterable[FleetAction]:
        self._sender.queue(self._failure_detector.on_ping(header.sender, item))
        return ()

    def _handle_ack(self, header: DatagramHeader, item: datagrams.Ack, now_us: int) -> Iterable[FleetAction]:
        self._sender.queue(self._failure_detector.on_ack(header.sender, item))
        return ()

    def _handle_ping_request(
        self, header: DatagramHeader, item: datagrams.PingRequest, now_us: int
    ) -> Iterable[FleetAction]:
        self._sender.queue(self._failure_detector.on_ping_request(header.sender, item, now_us))
        return ()

    def _handle_membership_update(
        self, header: DatagramHeader, item: datagrams.MembershipUpdate, now_us: int
    ) -> Iterable[FleetAction]:
        self._sender.queue(self.membership.on_update(header.sender, item, now_us))
        return ()

    def _handle_loan_request(
        self, header: DatagramHeader, item: datagrams.LoanRequest, now_us: int
    ) -> Iterable[FleetAction]:
        grant = self.lending.on_request(header.sender, header.incarnation, item, now_us)
        self.counts[counters.LOANS_GRANTED if grant.parts else counters.LOANS_REFUSED] += 1
        self._sender.queue([(header.sender, grant)])
        return ()

    def _handle_loan_grant(
        self, header: DatagramHeader, item: datagrams.LoanGrant, now_us: int
    ) -> Iterable[FleetAction]:
        if self.ledger.on_grant(header.sender, header.incarnation, item, now_us) and item.parts:
            self.counts[counters.LOANS_RECEIVED] += 1
        return ()

    def _handle_loan_release(
        self, header: DatagramHeader, item: datagrams.LoanRelease, now_us: int
    ) -> Iterable[FleetAction]:
        loan_ended = self.ledger.on_release(header.sender, header.incarnation, item)
        self.counts[counters.LOANS_RETURNED] += loan_ended
        return ()

    def _handle_loan_recall(
        self, header: DatagramHeader, item: datagrams.LoanRecall, now_us: int
    ) -> Iterable[FleetAction]:
        self._sender.queue([(header.sender, self.ledger.on_recall(header.sender, header.incarnation))])
        return ()

    def _handle_loan_recall_ack(
        self, header: DatagramHeader, item: datagrams.LoanRecallAck, now_us: int
    ) -> Iterable[FleetAction]:
        self.counts[counters.FLOORS_LIFTED] += self.ledger.on_recall_ack(header.sender, item, now_us)
        return ()

    def _handle_usage_total(
        self, header: DatagramHeader, item: datagrams.UsageTotal, now_us: int
    ) -> Iterable[FleetAction]:
        peer_usage = self.gossip.on_usage_total(header, item, now_us)
        return [peer_usage] if peer_usage is not None else []

    def _handle_health_report(
        self, header: DatagramHeader, item: datagrams.HealthReport, now_us: int
    ) -> Iterable[FleetAction]:
        health_change = self.gossip.on_health_report(header, item, now_us)
        return [health_change] if health_change is not None else []

    def _handle_heartbeat(
        self, header: DatagramHeader, item: datagrams.Heartbeat, now_us: int
    ) -> Iterable[FleetAction]:
        """Does nothing: a heartbeat carries only the header, which has already been applied."""
        return ()

    def _handle_rollout_item(self, header: DatagramHeader, item: Item, now_us: int) -> Iterable[FleetAction]:
        return [RolloutItemReceived(header.sender, header.incarnation, item)]

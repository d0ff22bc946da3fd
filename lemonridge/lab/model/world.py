"""The simulation: clients, brokers with delayed views, a register of nodes, a network, nodes, and faults.

Events are scheduled on SimPy's queue. Times are in microseconds of simulated time. The results of a run
depend only on its scenario and its seed, except the CPU time of the decisions, which is not part of the
digest.
"""

from __future__ import annotations

import time
from bisect import bisect_right
from collections.abc import Callable
from dataclasses import replace
from functools import partial
from math import exp

import simpy

from lemonridge.fleet.actions import SendDatagram
from lemonridge.fleet.member_list import MemberList
from lemonridge.fleet.scheduler_bridge import SchedulerBridge, handle_batch
from lemonridge.lab.model.baselines import make_scheduler
from lemonridge.lab.model.node import Node, Work
from lemonridge.lab.model.outcome import Outcome
from lemonridge.lab.model.request import Request, Volume
from lemonridge.lab.model.spec import ClassSpec, Fault, Scenario
from lemonridge.lab.model.streams import Stream, Streams
from lemonridge.scheduling.actions import Cancel, Fail, Reject, Send, SetTimer
from lemonridge.scheduling.events import (
    AttemptEnded,
    AttemptResult,
    Endpoint,
    EndpointListUpdate,
    EndpointsChanged,
    EndpointState,
    Event,
    RequestArrived,
    TimerFired,
)
from lemonridge.scheduling.settings import (
    DeduplicationScope,
    IdempotencyKind,
    RequestClass,
    Settings,
    VolumePlan,
)

SEMANTICS = {
    "safe": IdempotencyKind.IDEMPOTENT,
    "keyed": IdempotencyKind.WITH_IDEMPOTENCY_KEY,
    "once": IdempotencyKind.NOT_IDEMPOTENT,
}
CONNECT_US = 250_000.0  # timeout of a connect to a machine that is cut off
LARGEST_REQUEST_UNITS, MEAN_REQUEST_UNITS = 6, 3.5


def draw_relative_work(class_spec: ClassSpec, draw: Stream) -> float:
    """Draws a request's work as a multiple of its class's mean.

    Every distribution takes the same numbers from the stream, so that a change of distribution does not
    affect later draws.
    """
    normal, exponential = draw.normal(), draw.exponential()
    if class_spec.law == "exponential":
        return exponential
    return (
        exp(class_spec.spread * normal - class_spec.spread**2 / 2) if class_spec.law == "lognormal" else 1.0
    )


class Broker:
    """A broker with one scheduler.

    Events are collected for a tick and decided together, like those of one iteration of the real broker's
    event loop.

    Attributes:
        world: The simulation.
        number: Index of the broker.
        up: Whether the broker is running.
        scheduler: The scheduler.
        open: Open requests, by name.
        events: Events that wait for the next decision.
        cpu_s: CPU time of all decisions, in seconds.
        decided: Number of decided events.
        incarnation: Number of restarts.
        received_datagrams: Datagrams that wait for the next decision, each with the index of its sender.
        bridge: State of the exchange with other brokers; None without peers.
    """

    def __init__(self, world: World, number: int) -> None:
        self.world, self.number, self.up = world, number, True
        self.scheduler = make_scheduler(world.scenario.policy, world.settings, world.seed * 1009 + number)
        self.open: dict[str, Request] = {}
        self.events: list[Event] = []
        self.cpu_s, self.decided, self.incarnation = 0.0, 0, 0
        self._decision_scheduled = False
        self.received_datagrams: list[tuple[int, bytes]] = []
        self.bridge: SchedulerBridge | None = None

    def start_messages(self) -> None:
        """Starts the exchange of datagrams with the other brokers, if the scenario has it."""
        if not self.world.scenario.peers or self.world.scenario.brokers < 2:
            return
        now_us = self.world.clock_us()
        member_list = MemberList(tuple(map(str, range(self.world.scenario.brokers))), self.number)
        seed = self.world.seed * 31 + self.number
        self.bridge = SchedulerBridge(
            member_list, now_us // 1000 + self.incarnation, seed, now_us, self.world.settings
        )
        self._schedule_bridge_timer()

    def receive_datagram(self, source: int, data: bytes) -> None:
        """Queues a datagram of another broker for the next decision."""
        if self.up:
            self.received_datagrams.append((source, data))
            self.add_event(TimerFired())

    def _schedule_bridge_timer(self) -> None:
        """Schedules the bridge's next timer; timers that it has replaced are ignored when they fire."""
        assert self.bridge is not None
        wait = max(0.0, float(self.bridge.next_timer_us - self.world.clock_us()))
        self.world.after(wait, partial(self._on_bridge_timer, self.incarnation, self.bridge.next_timer_us))

    def _on_bridge_timer(self, incarnation: int, at_us: int) -> None:
        if (
            incarnation == self.incarnation
            and self.up
            and self.bridge is not None
            and self.bridge.next_timer_us == at_us
        ):
            self.add_event(TimerFired())

    def add_event(self, event: Event) -> None:
        """Queues an event and schedules a decision, unless one is already scheduled."""
        self.events.append(event)
        if not self._decision_scheduled:
            self._decision_scheduled = True
            incarnation = self.incarnation
            self.world.after(float(self.world.scenario.tick_us), lambda: self._decide(incarnation))

    def _decide(self, incarnation: int) -> None:
        if incarnation != self.incarnation:
            return
        self._decision_scheduled = False
        events, self.events = self.events, []
        started_at = time.perf_counter()
        now_us, outgoing = self.world.clock_us(), list[SendDatagram]()
        if self.bridge is None:
            actions = self.scheduler.handle(now_us, events)
        else:
            incoming, self.received_datagrams = self.received_datagrams, []
            actions, outgoing = handle_batch(self.scheduler.handle, self.bridge, now_us, events, incoming)
            self._schedule_bridge_timer()
        for datagram in outgoing:
            self.world.forward_datagram(self, datagram.to, datagram.data)
        self.cpu_s += time.perf_counter() - started_at
        self.decided += len(events)
        for action in actions:
            if isinstance(action, Send):
                self.world.send_attempt(self, self.open.get(action.request), action.endpoint_id)
            elif isinstance(action, Reject):
                self.world.answer(self.open.get(action.request), "refused", action.backoff_us)
            elif isinstance(action, Fail):
                self.world.answer(self.open.get(action.request), "failed", 0)
            elif isinstance(action, Cancel):
                request = self.open.get(action.request)
                if request is not None:
                    self.world.end_attempt(request, action.attempt, AttemptResult.CANCELLED, 0.0)
            elif isinstance(action, SetTimer):
                wait = max(0.0, float(action.at_us - self.world.clock_us()))
                self.world.after(wait, partial(self._on_timer, incarnation))

    def _on_timer(self, incarnation: int) -> None:
        if incarnation == self.incarnation:
            self.add_event(TimerFired())

    def restart(self) -> None:
        """Restarts the broker without its state; its open requests are lost and clients may retry them."""
        self.incarnation += 1
        self.events, self._decision_scheduled, self.received_datagrams = [], False, []
        for request in list(self.open.values()):
            self.world.answer(request, "lost", 0)
        self.open.clear()
        self.scheduler = make_scheduler(
            self.world.scenario.policy,
            self.world.settings,
            self.world.seed * 1009 + self.number + 7919 * self.incarnation,
        )
        self.up = True
        self.start_messages()
        self.add_event(EndpointsChanged(EndpointListUpdate.SNAPSHOT, self.world.endpoint_entries()))


class World:
    """One run of the simulation.

    Attributes:
        scenario: The scenario.
        seed: Seed of the run.
        streams: Random streams.
        env: SimPy's environment.
        outcome: Results of the run.
        settings: Settings of all schedulers.
        shards: Number of shards.
        nodes: Nodes by name.
        brokers: All brokers.
        volumes: All volumes.
        surge: Current factor on the load.
        heavy: Current fraction of heavy requests.
        heavy_times: Current factor on the work of heavy requests.
        loss: Current fraction of lost attempts.
        blackout: Whether brokers learn of no changes of the nodes.
        hall: Whether the two halls are separated.
    """

    def __init__(self, scenario: Scenario, seed: int) -> None:
        self.scenario, self.seed, self.streams = scenario, seed, Streams(seed)
        self.env = simpy.Environment()
        self.outcome = Outcome(scenario)
        self.settings = self._settings()
        self._last_request_number = 0
        spec, draw = scenario.nodes, self.streams["speeds"]
        self.shards = spec.count // spec.replicas
        self.nodes = {
            f"n{number}": Node(
                f"n{number}",
                number % self.shards,
                number % 2,
                spec,
                draw.between(spec.slowest, spec.fastest),
                self.after,
            )
            for number in range(spec.count)
        }
        for node in self.nodes.values():
            node.set_clock(self.now)
        self.brokers = [Broker(self, number) for number in range(scenario.brokers)]
        self.volumes = self._volumes()
        self._cumulative_weights: list[float] = []
        self.surge, self.heavy, self.loss, self.blackout, self.hall = 1.0, 0.0, scenario.loss, False, False
        self.heavy_times = 1.0
        self._update_weights()

    # Time

    def now(self) -> float:
        """Returns the simulated time in microseconds."""
        return float(self.env.now)

    def clock_us(self) -> int:
        """Returns the brokers' time: whole microseconds above 0, as the scheduler requires."""
        return int(self.env.now) + 1_000_000_000

    def after(self, delay_us: float, callback: Callable[[], None]) -> None:
        """Calls a function after a delay."""
        event = self.env.timeout(delay_us)
        assert event.callbacks is not None
        event.callbacks.append(lambda _: callback())

    def delay(self) -> float:
        """Draws a one-way network delay between a broker and a node, in microseconds."""
        low, high = self.scenario.delay_ms
        return self.streams["network"].between(low, high) * 1000

    # Settings, volumes and nodes

    def _settings(self) -> Settings:
        scenario = self.scenario
        classes = tuple(
            RequestClass(
                int(spec.aim_ms * 1000),
                int(spec.deadline_ms * 1000),
                SEMANTICS[spec.semantics],
                DeduplicationScope.ALL,
                3_000_000,
                False,
                spec.priority_weight,
            )
            for spec in scenario.classes
        )
        plans = tuple(
            VolumePlan(
                spec.rate,
                spec.reserve,
                spec.weight,
                spec.limit,
                max(spec.limit, 2.0 * LARGEST_REQUEST_UNITS),
                0.0,
            )
            for spec in scenario.plans
        )
        return Settings(
            hosts=scenario.brokers,
            classes=classes,
            plans=plans,
            polls_endpoint_list=False,
            largest_request_units=float(LARGEST_REQUEST_UNITS),
            mean_request_units=MEAN_REQUEST_UNITS,
            slow_start_units=scenario.nodes.slow_start_units,
            overload_multiple=scenario.nodes.overload_multiple,
            reports_peer_usage=False,
            usage_meter_period_us=0,
            max_attempts=4,
            may_cancel=True,
            max_backoff_us=500_000,
            tick_us=scenario.tick_us,
            poll_within_us=0,
            slow_start_initial_fraction=scenario.nodes.slow_start_initial_fraction,
            slow_start_ramp_us=int(scenario.nodes.ramp_s * 1e6),
            overload_window_us=int(scenario.nodes.fall_s * 1e6),
            drain_grace_us=500_000,
            retry_budget_window_us=0,
            retry_budget_floor=0.0,
            retry_budget_ratio=0.0,
            key_quarantine_us=0,
            retry_rate=0.0,
        )

    def _volumes(self) -> list[Volume]:
        draw, plans = self.streams["volumes"], self.scenario.plans
        volumes = []
        cumulative_shares, total = [], 0.0
        for spec in plans:
            total += spec.share
            cumulative_shares.append(total)
        for number in range(self.scenario.volumes):
            position = (number + 0.5) / self.scenario.volumes
            plan = next(index for index, share in enumerate(cumulative_shares) if position <= share + 1e-9)
            shards = [draw.below(self.shards) for _ in range(1 + draw.below(4))]
            first = draw.below(self.scenario.brokers)
            hosts = [(first + step) % self.scenario.brokers for step in range(self.scenario.hosts)]
            volumes.append(Volume(number, plan, shards, hosts, plans[plan].rate * draw.between(0.5, 1.5)))
        return volumes

    def _update_weights(self) -> None:
        """Computes the cumulative weights by which volumes are drawn."""
        total, self._cumulative_weights = 0.0, []
        for volume in self.volumes:
            total += volume.weight
            self._cumulative_weights.append(total)

    def endpoint_entries(self) -> tuple[Endpoint, ...]:
        """Returns the entries of all running nodes."""
        return tuple(self._entry(node) for node in self.nodes.values() if node.up)

    def _entry(self, node: Node, condition: EndpointState = EndpointState.ACTIVE) -> Endpoint:
        started = int(node.started_us) + 1_000_000_000 if node.started_us >= 0 else 0
        return Endpoint(node.name, node.shard, node.hall, condition, started)

    def announce_endpoint(self, node: Node, condition: EndpointState) -> None:
        """Announces a node's state to every broker, each after its own delay; not during a blackout."""
        if self.blackout:
            return
        entry, draw = self._entry(node, condition), self.streams["register"]
        for broker in self.brokers:
            wait = draw.between(*self.scenario.register_ms) * 1000
            self.after(wait, partial(broker.add_event, EndpointsChanged(EndpointListUpdate.DELTA, (entry,))))

    # Load

    def run(self) -> Outcome:
        """Runs the simulation and returns its results."""
        for broker in self.brokers:
            broker.start_messages()
            broker.add_event(EndpointsChanged(EndpointListUpdate.CACHED, self.endpoint_entries()))
        for fault in self.scenario.troubles:
            self.after(fault.at_s * 1e6, partial(self._inject_fault, fault))
        if self.scenario.nodes.pause_every_s:
            for node in self.nodes.values():
                self._pause(node)
        self.after(self._gap(), self._arrive)
        longest = max(class_spec.deadline_ms for class_spec in self.scenario.classes)
        self.env.run(until=self.scenario.seconds * 1e6 + longest * 2000 + 2e6)
        self.outcome.close(self.nodes.values(), self.brokers)
        return self.outcome

    def _gap(self) -> float:
        return self.streams["arrivals"].exponential() * 1e6 / (self.scenario.rate() * self.surge)

    def _pause(self, node: Node) -> None:
        wait = self.streams["pauses"].exponential() * self.scenario.nodes.pause_every_s * 1e6

        def begin() -> None:
            node.pause(self.now(), self.scenario.nodes.pause_ms * 1000)
            self._pause(node)

        self.after(wait, begin)

    def _arrive(self) -> None:
        """Draws the next request, from streams that do not depend on any decision."""
        if self.now() >= self.scenario.seconds * 1e6:
            return
        self.after(self._gap(), self._arrive)
        draw = self.streams["requests"]
        volume = self.volumes[self._volume_index(draw.uniform())]
        position, cls = draw.uniform(), 0
        for class_spec in self.scenario.classes:
            if position < class_spec.share:
                break
            position, cls = position - class_spec.share, cls + 1
        cls = min(cls, len(self.scenario.classes) - 1)
        class_spec = self.scenario.classes[cls]
        units = 1.0 + draw.below(LARGEST_REQUEST_UNITS)
        # A request's work is proportional to its units.
        cost = class_spec.work_ms * 1000 * draw_relative_work(class_spec, draw) * units / MEAN_REQUEST_UNITS
        cached, heavy = draw.uniform() < self.scenario.nodes.cached, draw.uniform() < self.heavy
        cost *= (0.4 if cached else 1.0) * (self.heavy_times if heavy else 1.0)
        shard = -1 if class_spec.new else volume.shards[draw.below(len(volume.shards))]
        host = volume.hosts[draw.below(len(volume.hosts))]
        if self.scenario.lead and self.streams["leads"].uniform() < self.scenario.lead:
            turn = int(self.now() / (self.scenario.lead_s * 1e6)) + volume.number
            host = volume.hosts[turn % len(volume.hosts)]
        request = Request("", volume, cls, shard, units, cost, self.now(), 0.0, self.brokers[host])
        self.outcome.record_arrival(request, self.now())
        self._send_try(request)

    def _volume_index(self, position: float) -> int:
        return min(
            bisect_right(self._cumulative_weights, position * self._cumulative_weights[-1]),
            len(self._cumulative_weights) - 1,
        )

    def _send_try(self, request: Request) -> None:
        """Sends a try of a request to its broker."""
        self._last_request_number += 1
        request.name = f"r{self._last_request_number}"
        class_spec = self.scenario.classes[request.cls]
        request.deadline_us = self.now() + class_spec.deadline_ms * 1000
        if not request.broker.up:
            self.answer(request, "lost", 0)
            return
        request.broker.open[request.name] = request
        request.broker.add_event(
            RequestArrived(
                request.name,
                request.shard,
                request.volume.number,
                int(request.deadline_us) + 1_000_000_000,
                None,
                request.cls,
                request.volume.plan,
                request.units,
                len(request.volume.hosts),
            )
        )

    def answer(self, request: Request | None, result: str, backoff_us: int) -> None:
        """Gives a client the final answer to a try; the client may retry.

        Args:
            request: The try; None if the broker no longer knows it.
            result: `served`, `refused`, `failed` or `lost`.
            backoff_us: Shortest delay of a retry that the broker asks for.
        """
        if request is None or request.answered:
            return
        request.answered = True
        if not request.attempts:
            request.broker.open.pop(request.name, None)
        if result == "served":
            self.outcome.record_served(request, self.now())
            return
        self.outcome.record_unserved(request, result)
        if request.retries >= self.scenario.retries or result == "failed":
            return
        wait = max(float(backoff_us), self.scenario.retry_ms * 1000 * (1 + self.streams["retries"].uniform()))
        retry = replace(request, retries=request.retries + 1, answered=False, attempts={}, attempts_made=0)
        self.after(wait, lambda: self._send_try(retry))

    def forward_datagram(self, source: Broker, destination: int, data: bytes) -> None:
        """Delivers a datagram between brokers after a delay, unless it is lost or the halls are separated."""
        self.outcome.message_bytes += len(data)
        draw, receiver = self.streams["messages"], self.brokers[destination]
        lost, wait_ms = draw.uniform() < self.scenario.message_loss, draw.between(*self.scenario.message_ms)
        if lost or (self.hall and source.number % 2 != destination % 2):
            return
        self.after(wait_ms * 1000, partial(receiver.receive_datagram, source.number, data))

    # Attempts

    def send_attempt(self, broker: Broker, request: Request | None, name: str) -> None:
        """Sends an attempt to the node with this name; does nothing if the request is no longer open."""
        if request is None:
            return
        number = request.attempts_made
        request.attempts_made += 1
        request.attempts[number] = name
        node = self.nodes[name]
        self.outcome.record_attempt(request, number, node, self.now())
        wait = self.delay()
        is_cut_off = self.hall and node.hall != broker.number % 2
        if is_cut_off:
            self.after(
                CONNECT_US,
                lambda: self.end_attempt(request, number, AttemptResult.CONNECT_FAILED, CONNECT_US),
            )
            return
        if self.streams["loss"].uniform() >= self.loss:
            self.after(wait, lambda: self._arrive_at_node(request, number, node, wait))
        left = max(0.0, request.deadline_us - self.now())
        self.after(left, lambda: self.end_attempt(request, number, AttemptResult.TIMEOUT, left))

    def _arrive_at_node(self, request: Request, number: int, node: Node, wait: float) -> None:
        sent_at = self.now() - wait

        def report(result: AttemptResult) -> None:
            response_delay = self.delay()
            self.after(
                response_delay, lambda: self.end_attempt(request, number, result, self.now() - sent_at)
            )

        if not node.up:
            report(AttemptResult.CONNECT_FAILED)
            return
        incarnation = node.incarnation
        if not node.offer(self.now(), Work(request.cost_us, lambda: report(AttemptResult.OK))):
            report(AttemptResult.QUEUE_FULL if node.up else AttemptResult.RESET)
            return
        request.attempts[number] = f"{node.name}/{incarnation}"

    def end_attempt(self, request: Request, number: int, result: AttemptResult, lag_us: float) -> None:
        """Reports the end of an attempt to its broker; later reports of the same attempt are ignored."""
        node_incarnation = request.attempts.pop(number, None)
        if node_incarnation is None:
            return
        broker = request.broker
        served = result is AttemptResult.OK and not request.answered
        if served:
            self.answer(request, "served", 0)
        broker.add_event(
            AttemptEnded(
                request.name,
                number,
                node_incarnation.partition("/")[0],
                result,
                int(lag_us),
                request.answered,
                None,
                None,
                None,
            )
        )
        if request.answered and not request.attempts:
            broker.open.pop(request.name, None)

    def _reset_attempts(self, node: Node) -> None:
        """Ends the attempts that a killed node had accepted."""
        for broker in self.brokers:
            for request in list(broker.open.values()):
                for number, node_incarnation in list(request.attempts.items()):
                    if node_incarnation.startswith(f"{node.name}/"):
                        end = partial(self.end_attempt, request, number, AttemptResult.RESET, 1000.0)
                        self.after(self.delay(), end)

    # Faults

    def _inject_fault(self, fault: Fault) -> None:
        span, draw = fault.for_s * 1e6, self.streams["troubles"]
        self.outcome.faults[fault.kind] = self.outcome.faults.get(fault.kind, 0) + 1
        if fault.kind == "surge":
            self.surge *= fault.times
            self.after(span, lambda: self._set_attribute("surge", self.surge / fault.times))
        elif fault.kind == "heavy":
            self.heavy, self.heavy_times = fault.share, fault.times
            self.after(span, lambda: self._set_attribute("heavy", 0.0))
        elif fault.kind == "loss":
            self.loss = fault.share
            self.after(span, lambda: self._set_attribute("loss", self.scenario.loss))
        elif fault.kind in ("blackout", "hall"):
            self._set_attribute(fault.kind, True)
            self.after(span, lambda: self._set_attribute(fault.kind, False))
        elif fault.kind == "hot":
            hot = self.volumes[: max(1, int(len(self.volumes) * fault.share))]
            self._scale_weights(hot, fault.times)
            self.after(span, lambda: self._scale_weights(hot, 1 / fault.times))
        elif fault.kind == "restart":
            for broker in self.brokers[: max(1, int(len(self.brokers) * fault.share))]:
                self._stop_broker(broker)
                self.after(span, broker.restart)
        else:
            count = max(1, int(len(self.nodes) * fault.share))
            order = sorted(self.nodes.values(), key=lambda node: (draw.uniform(), node.name))
            for position, node in enumerate(order[:count]):
                self._fault_node(fault, node, position / count * span, span)

    def _fault_node(self, fault: Fault, node: Node, drain_delay: float, span: float) -> None:
        if fault.kind == "gray":
            node.slowdown = fault.times
            self.after(span, lambda: setattr(node, "slowdown", 1.0))
        elif fault.kind == "deaths":
            self._kill_node(node)
            self.after(span, lambda: self._start_node(node))
        else:  # a rolling deploy: each node drains for 1 s, is down for 2 s, and restarts cold

            def drain() -> None:
                self.announce_endpoint(node, EndpointState.DRAINING)
                self.after(1e6, stop)

            def stop() -> None:
                self._kill_node(node)
                self.after(2e6, lambda: self._start_node(node))

            self.after(drain_delay, drain)

    def _set_attribute(self, name: str, value: object) -> None:
        setattr(self, name, value)

    def _scale_weights(self, volumes: list[Volume], times: float) -> None:
        for volume in volumes:
            volume.weight *= times
        self._update_weights()

    def _stop_broker(self, broker: Broker) -> None:
        broker.up = False
        for request in list(broker.open.values()):
            self.answer(request, "lost", 0)

    def _kill_node(self, node: Node) -> None:
        if node.up:
            node.kill()
            self._reset_attempts(node)
            self.announce_endpoint(node, EndpointState.REMOVED)

    def _start_node(self, node: Node) -> None:
        node.start(self.now())
        if node.up:
            self.outcome.slow_start_began(node, self.now())
            self.announce_endpoint(node, EndpointState.ACTIVE)

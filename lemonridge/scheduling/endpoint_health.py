"""What this host thinks of each node: its window, its silences, its probes, and which one to send to."""

from __future__ import annotations

from lemonridge.scheduling.context import FEW, WINDOW_MIN, DecisionContext
from lemonridge.scheduling.endpoint import TrackedEndpoint
from lemonridge.scheduling.endpoint_list import NodeList
from lemonridge.scheduling.events import AttemptEnded, AttemptResult, EndpointState, PeerHealthReported
from lemonridge.scheduling.requests import Request
from lemonridge.scheduling.settings import IdempotencyKind
from lemonridge.scheduling.slow_start import SlowStart

CYCLE_US = 10_000  # Gage's cycle: shorter reacts sooner to a refill, longer costs less CPU
CROWD_MIN = 1 / 128  # at many: a window below one is a pause after each answer; lower reacts later to room
WINDOW_TOP = 8.0  # fixed ceiling: more hides waiting in the node, out of reach of the shares
CUT_SHARE = 0.25  # an answer later than this share of its aim cuts the window: utilisation against delay
SMOOTH = 0.125  # weight of a new answer time: steady against quick
SILENCE = 4.0  # times the usual answer time without a word: suspect; lower takes pauses for failures
PROBE_US = 500_000  # a suspect node gets one request this often
DOWN_US = 1_000_000  # not reached for so long: it restarted; shorter takes a reset connect for that
CROWD_HELD = 4.0  # more than this held for each of this host, and late: many senders; lower rests sooner
CROWD_BACK = 1 / 16  # where a host goes on after the first good answer of a crowded node
CROWD_CUT = 16.0  # the deepest single cut at a crowded node: drains a full queue against losing room
ANSWERED = frozenset(
    (AttemptResult.OK, AttemptResult.ERROR, AttemptResult.QUEUE_FULL, AttemptResult.DATA_MIGRATED)
)


class NodeHealth:
    """Learns from how attempts end, and picks nodes by it."""

    def __init__(self, context: DecisionContext, nodes: NodeList, slow_start: SlowStart) -> None:
        self._context, self._nodes, self._slow_start = context, nodes, slow_start

    # Choosing

    def pick(self, shard: int) -> TrackedEndpoint | None:
        """The usable node of the shard with the most room (any node for a new object)."""
        best, room = None, 0.0
        for node in self._nodes.choices() if shard < 0 else self._nodes.shards.get(shard, ()):
            if node.condition is not EndpointState.ACTIVE:
                continue
            free = self._room(node)
            if shard < 0 and free > room and self._passed_by(node):
                continue
            if free > room:
                best, room = node, free
        return best

    def _room(self, node: TrackedEndpoint) -> float:
        """How many requests a node takes now, a half where it is tried with one."""
        free = node.window - node.open
        if self.suspect(node):
            return 0.5 if self._context.now >= max(node.probe_us, node.rest_us) else 0.0
        if node.window < WINDOW_MIN:
            return 0.0 if node.open or self._context.now < node.rest_us else 0.5
        return free if free >= 1.0 else 0.0

    def _passed_by(self, node: TrackedEndpoint) -> bool:
        """Whether a new object goes elsewhere, as a node's part of its slow start is spent: another can take
        it, and no other has what lies there."""
        return self._slow_start.in_slow_start(node) and node.cold_level < 0

    def suspect(self, node: TrackedEndpoint) -> bool:
        """Silence against its own usual answer time, or connects that fail."""
        silent = node.quiet_us is not None and self._context.now - node.quiet_us > self.patience_us(node)
        return silent or node.connect_failures > 0

    def patience_us(self, node: TrackedEndpoint) -> int:
        """How long a node may be silent before it is odd."""
        usual = node.usual() if node.lag else self._context.tightest_us
        return int(SILENCE * node.size * max(usual, 4.0 * CYCLE_US))

    def awaits(self, node: TrackedEndpoint, request: Request) -> bool:
        """Whether a request has time enough for its silence, or its being turned away, to say something of
        its node: as long as a silence is odd there, or half of what its class has. Nodes may drop without a
        word what has very little time left (STANDING), and turn away what is over (PROTOCOL)."""
        left_us = request.deadline - self._context.now
        return left_us >= min(self.patience_us(node), request.cls.deadline_us // 2)

    def allows(self, node: TrackedEndpoint, request: Request) -> bool:
        """A suspect node is tried with one safe request at a time: an answer clears it, and a
        request that may run once only would be neither resendable nor refusable there."""
        if not self.suspect(node):
            return True
        if (
            request.cls.idempotency is IdempotencyKind.NOT_IDEMPOTENT
            and node.open
            and not node.connect_failures
        ):
            return False
        self._probe_later(node)
        return True

    def _probe_later(self, node: TrackedEndpoint) -> None:
        """Tries thin out: those of many hosts would fill a node before it is well again."""
        times = (4 if node.connect_failures else 1) << node.probes
        most = max(1, self._context.settings.hosts * 2 // FEW)
        node.probe_us = self._context.now + self._context.jitter(PROBE_US * min(times, most))
        node.probes = min(node.probes + 1, 16)

    # Learning

    def judged(self, event: PeerHealthReported) -> None:
        """What others saw of a node; its own later answer or start goes before. One voice makes careful;
        where several agree the next request is a try, at once: words alone never close a node."""
        node = self._nodes.nodes.get(event.node)
        if (
            node is None
            or node.connect_failures
            or event.at_us <= max(node.heard_us, (node.born_us or 0) + DOWN_US)
        ):
            return
        if event.agreed:
            node.connect_failures, node.down_us = 1, event.at_us
        elif node.cut_us < event.at_us and node.window > WINDOW_MIN:
            node.window, node.cut_us = max(WINDOW_MIN, node.window / 2), self._context.now

    def observe(
        self, node: TrackedEndpoint, event: AttemptEnded, request: Request, sent_us: int, awaited: bool
    ) -> None:
        """Learn from how an attempt ended: window, answer time, health, told use. Of one that was not
        `awaited` neither silence nor a refusal counts."""
        now = self._context.now
        if event.result is AttemptResult.CONNECT_FAILED:
            self._connect_failed(node)
            return
        lag = event.lag_us / request.size  # a large request takes longer: that is no sign of load
        # A connection that breaks tells nothing of load, and is no silence: a window cut for each would
        # close a node to all for a network that resets one connection in twenty.
        # What had little time may have been turned away as over: that is no sign of load either.
        cut = awaited and event.result in (AttemptResult.QUEUE_FULL, AttemptResult.TIMEOUT)
        if event.result is AttemptResult.RESET:
            node.quiet_us = now if node.awaited else None
        if event.result in ANSWERED:
            node.quiet_us, node.heard_us = now if node.awaited else None, now
            if node.connect_failures and now - node.down_us >= DOWN_US:
                self._slow_start.begin(node, now)  # down, then up: it restarted unseen and is cold
            node.connect_failures = node.probes = 0
        if event.result is AttemptResult.OK:
            cut = self._served(node, event, request, lag)
        if event.held is not None and event.held >= 0:
            node.held = event.held
        self.adapt(node, sent_us, lag, cut, event.result)

    def _connect_failed(self, node: TrackedEndpoint) -> None:
        self._slow_start.usual[node.shard].frozen = True
        node.down_us = node.down_us if node.connect_failures else self._context.now
        node.connect_failures += 1
        self._probe_later(node)

    def _served(self, node: TrackedEndpoint, event: AttemptEnded, request: Request, lag: float) -> bool:
        """Learn from an answer; whether it came late enough to cut the window."""
        now, slow_start, settings = self._context.now, self._slow_start, self._context.settings
        if node.born_us is None and node.condition is EndpointState.ACTIVE:
            usual = slow_start.usual[node.shard]
            usual.served = True
            slow_start.pace += (lag - slow_start.pace) * (SMOOTH / 4 if slow_start.pace else 1.0)
            usual.add(request.units, now)
        error = lag - node.lag
        node.lag += error * (SMOOTH if node.lag else 1.0)
        node.dev += (abs(error) - node.dev) * SMOOTH
        cut = lag > CUT_SHARE * self._context.tightest_us
        if not cut and 1.0 <= node.window <= node.open + 1:
            node.window = min(WINDOW_TOP, node.window + 1 / node.window)
        if event.elsewhere is not None and settings.reports_peer_usage:
            request.volume.told_us = now
            request.volume.debit(event.elsewhere, settings.largest_request_units)
        return cut

    def adapt(
        self, node: TrackedEndpoint, sent_us: int, lag_us: float, late: bool, result: AttemptResult
    ) -> None:
        """Cut the window, once for all that was sent before the last cut, or let it grow again.

        One request from each of many hosts floods a node. Where it told that it holds several for each
        of this host's, or turns requests away, windows go below one: a rest after each answer. It
        also meets any other node that got slow for many; it does harm where room returns suddenly.
        """
        now, tightest_us = self._context.now, self._context.tightest_us
        many = node.held > CROWD_HELD * (node.open + 1) and lag_us > tightest_us // 2
        full = result is AttemptResult.QUEUE_FULL
        silent = result is AttemptResult.TIMEOUT and node.heard_us < sent_us  # nobody is told how full it is
        crowd = late and self._context.settings.hosts > FEW and (many or full or silent)
        if late and sent_us >= node.cut_us and (crowd or node.window > WINDOW_MIN):
            deep = CROWD_CUT if full else min(CROWD_CUT, lag_us * 2 / tightest_us)
            least, by = (CROWD_MIN, max(2.0, deep)) if crowd else (WINDOW_MIN, 2.0)
            node.window, node.cut_us = max(least, node.window / by), now
        elif result is AttemptResult.OK and not crowd and node.window < WINDOW_MIN:
            node.window = min(WINDOW_MIN, max(node.window * 2, CROWD_BACK))
        if node.window < WINDOW_MIN:
            node.rest_us = now + self._context.jitter(int(tightest_us * (1 / node.window - 1)))

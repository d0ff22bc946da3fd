"""What this host thinks of each node: its window, its silences, its probes, and which one to send to."""

from __future__ import annotations

from lemonridge.scheduling.context import FEW, WINDOW_MIN, DecisionContext
from lemonridge.scheduling.endpoint import TrackedEndpoint
from lemonridge.scheduling.endpoint_list import EndpointList
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


class EndpointHealth:
    """Learns from how attempts end, and picks nodes by it."""

    def __init__(self, context: DecisionContext, endpoints: EndpointList, slow_start: SlowStart) -> None:
        self._context, self._endpoints, self._slow_start = context, endpoints, slow_start

    # Choosing

    def pick(self, shard: int) -> TrackedEndpoint | None:
        """The usable node of the shard with the most room (any node for a new object)."""
        best, room = None, 0.0
        for endpoint in self._endpoints.choices() if shard < 0 else self._endpoints.shards.get(shard, ()):
            if endpoint.condition is not EndpointState.ACTIVE:
                continue
            free = self._room(endpoint)
            if shard < 0 and free > room and self._passed_by(endpoint):
                continue
            if free > room:
                best, room = endpoint, free
        return best

    def _room(self, endpoint: TrackedEndpoint) -> float:
        """How many requests a node takes now, a half where it is tried with one."""
        free = endpoint.window - endpoint.open
        if self.suspect(endpoint):
            return 0.5 if self._context.now >= max(endpoint.probe_us, endpoint.rest_us) else 0.0
        if endpoint.window < WINDOW_MIN:
            return 0.0 if endpoint.open or self._context.now < endpoint.rest_us else 0.5
        return free if free >= 1.0 else 0.0

    def _passed_by(self, endpoint: TrackedEndpoint) -> bool:
        """Whether a new object goes elsewhere, as a node's part of its slow start is spent: another can take
        it, and no other has what lies there.
        """
        return self._slow_start.in_slow_start(endpoint) and endpoint.cold_level < 0

    def suspect(self, endpoint: TrackedEndpoint) -> bool:
        """Silence against its own usual answer time, or connects that fail."""
        silent = endpoint.quiet_us is not None and self._context.now - endpoint.quiet_us > self.patience_us(
            endpoint
        )
        return silent or endpoint.connect_failures > 0

    def patience_us(self, endpoint: TrackedEndpoint) -> int:
        """How long a node may be silent before it is odd."""
        usual = endpoint.usual() if endpoint.lag else self._context.tightest_us
        return int(SILENCE * endpoint.size * max(usual, 4.0 * CYCLE_US))

    def awaits(self, endpoint: TrackedEndpoint, request: Request) -> bool:
        """Whether a request has time enough for its silence, or its being turned away, to say something of
        its node: as long as a silence is odd there, or half of what its class has. Nodes may drop without a
        word what has very little time left (STANDING), and turn away what is over (PROTOCOL).
        """
        left_us = request.deadline - self._context.now
        return left_us >= min(self.patience_us(endpoint), request.cls.deadline_us // 2)

    def allows(self, endpoint: TrackedEndpoint, request: Request) -> bool:
        """A suspect node is tried with one safe request at a time: an answer clears it, and a
        request that may run once only would be neither resendable nor refusable there.
        """
        if not self.suspect(endpoint):
            return True
        if (
            request.cls.idempotency is IdempotencyKind.NOT_IDEMPOTENT
            and endpoint.open
            and not endpoint.connect_failures
        ):
            return False
        self._probe_later(endpoint)
        return True

    def _probe_later(self, endpoint: TrackedEndpoint) -> None:
        """Tries thin out: those of many hosts would fill a node before it is well again."""
        times = (4 if endpoint.connect_failures else 1) << endpoint.probes
        most = max(1, self._context.settings.hosts * 2 // FEW)
        endpoint.probe_us = self._context.now + self._context.jitter(PROBE_US * min(times, most))
        endpoint.probes = min(endpoint.probes + 1, 16)

    # Learning

    def judged(self, event: PeerHealthReported) -> None:
        """What others saw of a node; its own later answer or start goes before. One voice makes careful;
        where several agree the next request is a try, at once: words alone never close a node.
        """
        endpoint = self._endpoints.endpoints.get(event.endpoint_id)
        if (
            endpoint is None
            or endpoint.connect_failures
            or event.at_us <= max(endpoint.heard_us, (endpoint.born_us or 0) + DOWN_US)
        ):
            return
        if event.agreed:
            endpoint.connect_failures, endpoint.down_us = 1, event.at_us
        elif endpoint.cut_us < event.at_us and endpoint.window > WINDOW_MIN:
            endpoint.window, endpoint.cut_us = max(WINDOW_MIN, endpoint.window / 2), self._context.now

    def observe(
        self, endpoint: TrackedEndpoint, event: AttemptEnded, request: Request, sent_us: int, awaited: bool
    ) -> None:
        """Learn from how an attempt ended: window, answer time, health, told use. Of one that was not
        `awaited` neither silence nor a refusal counts.
        """
        now = self._context.now
        if event.result is AttemptResult.CONNECT_FAILED:
            self._connect_failed(endpoint)
            return
        lag = event.lag_us / request.size  # a large request takes longer: that is no sign of load
        # A connection that breaks tells nothing of load, and is no silence: a window cut for each would
        # close a node to all for a network that resets one connection in twenty.
        # What had little time may have been turned away as over: that is no sign of load either.
        cut = awaited and event.result in (AttemptResult.QUEUE_FULL, AttemptResult.TIMEOUT)
        if event.result is AttemptResult.RESET:
            endpoint.quiet_us = now if endpoint.awaited else None
        if event.result in ANSWERED:
            endpoint.quiet_us, endpoint.heard_us = now if endpoint.awaited else None, now
            if endpoint.connect_failures and now - endpoint.down_us >= DOWN_US:
                self._slow_start.begin(endpoint, now)  # down, then up: it restarted unseen and is cold
            endpoint.connect_failures = endpoint.probes = 0
        if event.result is AttemptResult.OK:
            cut = self._served(endpoint, event, request, lag)
        if event.held is not None and event.held >= 0:
            endpoint.held = event.held
        self.adapt(endpoint, sent_us, lag, cut, event.result)

    def _connect_failed(self, endpoint: TrackedEndpoint) -> None:
        self._slow_start.usual[endpoint.shard].frozen = True
        endpoint.down_us = endpoint.down_us if endpoint.connect_failures else self._context.now
        endpoint.connect_failures += 1
        self._probe_later(endpoint)

    def _served(self, endpoint: TrackedEndpoint, event: AttemptEnded, request: Request, lag: float) -> bool:
        """Learn from an answer; whether it came late enough to cut the window."""
        now, slow_start, settings = self._context.now, self._slow_start, self._context.settings
        if endpoint.born_us is None and endpoint.condition is EndpointState.ACTIVE:
            usual = slow_start.usual[endpoint.shard]
            usual.served = True
            slow_start.pace += (lag - slow_start.pace) * (SMOOTH / 4 if slow_start.pace else 1.0)
            usual.add(request.units, now)
        error = lag - endpoint.lag
        endpoint.lag += error * (SMOOTH if endpoint.lag else 1.0)
        endpoint.dev += (abs(error) - endpoint.dev) * SMOOTH
        cut = lag > CUT_SHARE * self._context.tightest_us
        if not cut and 1.0 <= endpoint.window <= endpoint.open + 1:
            endpoint.window = min(WINDOW_TOP, endpoint.window + 1 / endpoint.window)
        if event.elsewhere is not None and settings.reports_peer_usage:
            request.volume.told_us = now
            request.volume.debit(event.elsewhere, settings.largest_request_units)
        return cut

    def adapt(
        self, endpoint: TrackedEndpoint, sent_us: int, lag_us: float, late: bool, result: AttemptResult
    ) -> None:
        """Cut the window, once for all that was sent before the last cut, or let it grow again.

        One request from each of many hosts floods a node. Where it told that it holds several for each
        of this host's, or turns requests away, windows go below one: a rest after each answer. It
        also meets any other node that got slow for many; it does harm where room returns suddenly.
        """
        now, tightest_us = self._context.now, self._context.tightest_us
        many = endpoint.held > CROWD_HELD * (endpoint.open + 1) and lag_us > tightest_us // 2
        full = result is AttemptResult.QUEUE_FULL
        silent = (
            result is AttemptResult.TIMEOUT and endpoint.heard_us < sent_us
        )  # nobody is told how full it is
        crowd = late and self._context.settings.hosts > FEW and (many or full or silent)
        if late and sent_us >= endpoint.cut_us and (crowd or endpoint.window > WINDOW_MIN):
            deep = CROWD_CUT if full else min(CROWD_CUT, lag_us * 2 / tightest_us)
            least, by = (CROWD_MIN, max(2.0, deep)) if crowd else (WINDOW_MIN, 2.0)
            endpoint.window, endpoint.cut_us = max(least, endpoint.window / by), now
        elif result is AttemptResult.OK and not crowd and endpoint.window < WINDOW_MIN:
            endpoint.window = min(WINDOW_MIN, max(endpoint.window * 2, CROWD_BACK))
        if endpoint.window < WINDOW_MIN:
            endpoint.rest_us = now + self._context.jitter(int(tightest_us * (1 / endpoint.window - 1)))

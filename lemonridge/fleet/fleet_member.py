"""One broker's part in the fleet: membership, budgets and what is told of nodes, behind one door. Pure.

`handle` takes a time and events, and returns actions in the order in which they must happen: a slice is
lowered before the message that lends it leaves. Three hosts run it: the program on sockets (`net/peers.py`),
the simulator's adapter, and the lab's model.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from random import Random

import crc32c

from lemonridge.fleet.datagrams import (
    DATAGRAM_MAX_BYTES,
    HEADER_BYTES,
    ROLLOUT_ITEM_TYPES,
    TAG_BYTES,
    WRAP_MODULUS,
    Ack,
    Datagram,
    DatagramError,
    DatagramFault,
    DatagramHeader,
    DatagramSigner,
    HealthReport,
    Heartbeat,
    Item,
    LoanGrant,
    LoanRecall,
    LoanRecallAck,
    LoanRelease,
    LoanRequest,
    MembershipUpdate,
    MemberState,
    Ping,
    PingRequest,
    UsageTotal,
    decode,
    encode,
    item_bytes,
)
from lemonridge.fleet.demand import DEMAND_HEADROOM, SLOW_START_DECAY_US, DemandEstimator
from lemonridge.fleet.health_gossip import (
    LocalObservations,
    ObservedOutcome,
    PeerHealthReports,
    PeerHealthSummary,
)
from lemonridge.fleet.member_list import MemberList
from lemonridge.fleet.membership import ALIVE_STATES, Membership
from lemonridge.fleet.quota_lending import WHOLE_PARTS, BudgetKind, Key, Quota, QuotaLedger
from lemonridge.fleet.usage_totals import UsageKind, UsageTotals

SEND_BUDGET_BYTES_S, CLOCK_ERROR_US = 8192.0, 50_000  # where nothing else is said
TICK_INTERVAL_US = 50_000  # while budgets are in use: how soon demand that moves is followed, against CPU
STALL_THRESHOLD_US = 400_000  # a tick so much too late says that this process did not run
IDLE_BUDGET_US = 30_000_000  # a budget that no one has used or lent for so long is dropped
FANOUT = (
    8  # brokers that one question goes to at most: of more, those that use the budget, and some at random
)
DATAGRAM_MAX_AGE_MS = 5_000  # a datagram sent longer ago, or so far ahead, is not taken
REPLAY_WINDOW = 64  # numbers of one sender that are told from repeats
RECALL_INTERVAL_US = 100_000  # between two of a fresh start's questions to those that have not answered yet
DATAGRAMS_READ_PER_S = 500  # datagrams read in a second, at most
ROLLOUT_DATAGRAMS_PER_S = (
    400.0  # datagrams about policies that leave in a second, at most: beside the budget of bytes
)
SEND_BURST_S = 1.0  # bytes that may leave at once, in seconds of their budget
REGISTRATION_INTERVAL_US = 10_000_000  # between two tellings that a limit is used
RENDEZVOUS_CACHE_MAX = 8192  # of limits whose places are remembered
REPORT_INTERVAL_US = 500_000  # between two tellings of counts and judgements
USAGE_TOTALS_PER_REPORT = 24  # totals that are told at a time, at most
HEALTH_REPORTS_PER_REPORT = 8  # judgements
# The most useful first.
_PRIORITIES: tuple[tuple[type[Item], ...], ...] = (
    (Ack,),
    (Ping, PingRequest),
    (LoanRelease, LoanRecall, LoanRecallAck, LoanGrant),
    (LoanRequest,),
    (MembershipUpdate,),
    (HealthReport,),
    (UsageTotal,),
    (Heartbeat,),
)
ITEM_PRIORITY = {kind: place for place, kinds in enumerate(_PRIORITIES) for kind in kinds}


@dataclass(frozen=True, slots=True)
class MemberSettings:
    """What the operators or the platform's settings say."""

    bytes_s: float = SEND_BUDGET_BYTES_S  # that may leave, in a second
    error_us: int = CLOCK_ERROR_US  # by which two clocks may differ over the span of a loan
    counts: bool = False  # whether totals are told: where nodes' answers do not
    further: float = 0.0  # further attempts a second, of all brokers; 0: they have no budget of the fleet


@dataclass(frozen=True, slots=True)
class DatagramReceived:
    """A datagram came from member `source`'s address; None: from an address that is no member's."""

    source: int | None
    data: bytes


@dataclass(frozen=True, slots=True)
class TimerFired:
    """Time passed."""


@dataclass(frozen=True, slots=True)
class SlowStartBegan:
    """A node's cold spell began: `rate` in units a second is this broker's own right there, until a time."""

    name: str
    key: int
    shard: int
    rate: float
    born_us: int
    until_us: int


@dataclass(frozen=True, slots=True)
class ShutdownBegan:
    """This broker is about to end."""


@dataclass(frozen=True, slots=True)
class RolloutItemsQueued:
    """Send what the machine that changes policies has to say, a datagram each."""

    items: tuple[tuple[int, Item], ...]


Event = DatagramReceived | TimerFired | SlowStartBegan | ShutdownBegan | RolloutItemsQueued


@dataclass(frozen=True, slots=True)
class SendDatagram:
    """Send a datagram to a member."""

    to: int
    data: bytes


@dataclass(frozen=True, slots=True)
class QuotaUpdated:
    """What this broker may use of a budget, from this moment on."""

    kind: BudgetKind
    key: int
    slice: Quota
    base: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Ask for `TimerFired` at a time; the last asked for is the only one."""

    at_us: int


@dataclass(frozen=True, slots=True)
class PeerUsageReceived:
    """Others served a volume so many units; all who may serve it told of it."""

    volume: int
    units: float


@dataclass(frozen=True, slots=True)
class PeerHealthChanged:
    """What others say of a node is another thing now."""

    verdict: PeerHealthSummary


@dataclass(frozen=True, slots=True)
class RolloutItemReceived:
    """Something for the machine that changes policies came from a member's incarnation."""

    source: int
    incarnation: int
    item: Item


FleetAction = (
    SendDatagram | QuotaUpdated | PeerUsageReceived | PeerHealthChanged | RolloutItemReceived | SetTimer
)


@dataclass(slots=True)
class _Sender:
    """What keeps one sender's datagrams from counting twice, and how its link is."""

    incarnation: int = 0
    first: int = 0  # the first number that came
    came: int = 0
    top: int = -1
    seen: int = 0  # a bit for each of the WINDOW numbers up to `top`
    behind_ms: int | None = None  # least of this clock less its, over all that came: bounds their difference


@dataclass(slots=True)
class _Cold:
    """A cold spell under way."""

    name: str
    key: Key
    shard: int
    until_us: int


class FleetMember:
    """One broker."""

    def __init__(
        self,
        member_list: MemberList,
        incarnation: int,
        seed: int,
        now_us: int,
        tuning: MemberSettings | None = None,
        signer: DatagramSigner | None = None,
    ) -> None:
        """`incarnation` is this start's time in Unix milliseconds: a later start of a name has a higher
        one."""
        self.member_list, self.tuning, self._signer = member_list, tuning or MemberSettings(), signer
        self._random = Random(f"{seed}/fleet")
        self.members = Membership(member_list, incarnation, seed, now_us)
        self.ledger = QuotaLedger(
            member_list.me, incarnation, self._random.randrange(1, 1 << 30), self.tuning.error_us, now_us
        ).among(member_list.others)
        self.rates, self.cold_rates = DemandEstimator(), DemandEstimator(SLOW_START_DECAY_US)
        self.evidence, self.peer_reports, self.shared = (
            LocalObservations(),
            PeerHealthReports(),
            UsageTotals(),
        )
        self._told_us = self._recall_us = now_us
        self.faults: defaultdict[DatagramFault, int] = defaultdict(int)
        self.counts: defaultdict[str, int] = defaultdict(int)
        self._limits: dict[int, tuple[float, int]] = {}  # of volumes: units a second, and when last used
        self._cold: dict[int, _Cold] = {}  # by shard
        self._fresh: list[Key] = []  # limits whose use was not told yet
        self._due: dict[Key, int] = {}  # when to tell again that a limit is used, the earliest first
        self._places: dict[Key, tuple[int, ...]] = {}
        self._told: dict[Key, Quota] = {}
        self._senders = [_Sender() for _ in member_list.names]
        self._numbers = [0] * member_list.size  # of the datagrams to each: gaps tell the other what was lost
        self._room, self._room_us = self.tuning.bytes_s * SEND_BURST_S, now_us
        self._reads, self._reads_us = 0, now_us
        self._posts, self._posts_us = ROLLOUT_DATAGRAMS_PER_S, now_us
        self._tick_us = self._swept_us = now_us
        self._out: dict[int, list[Item]] = {}
        self._wake_us: int | None = None
        if self.tuning.further and member_list.size > 1:
            self.ledger.own(
                (BudgetKind.FURTHER, 0), WHOLE_PARTS // member_list.size, member_list.size, True, now_us
            )

    # What this broker sees itself

    def taken(self, volume: int, limit: float, hosts: int, units: float, now_us: int) -> QuotaUpdated | None:
        """A request of a volume that has a limit, of so many units a second, was asked for. The slice is told
        where it was not before: it may be lent already, and must be known before the request.
        """
        if hosts < 2 or self.member_list.size < 2:
            return None
        key = (int(BudgetKind.LIMIT), volume)
        before = self._limits.get(volume)
        self._limits[volume] = (limit, now_us)
        self.rates.add(key, units, now_us, limit)
        pool = self.ledger.own(key, WHOLE_PARTS // hosts, hosts, True, now_us)
        if self.member_list.size > FANOUT + 1 and key not in self._due:
            self._fresh.append(key)
        # After a while without requests the decisions may have forgotten the volume, its slice too.
        if pool is None or (
            key in self._told and before is not None and now_us - before[1] < IDLE_BUDGET_US // 2
        ):
            return None
        self._told[key] = now = self.ledger.slice(key, now_us)
        return QuotaUpdated(BudgetKind.LIMIT, volume, now, pool.base)

    def links(self) -> Sequence[_Sender]:
        """What came from each member, by number."""
        return self._senders

    def told(self) -> list[QuotaUpdated]:
        """Every slice as it was told last."""
        return [
            QuotaUpdated(BudgetKind(key[0]), key[1], one, self.ledger.budgets[key].base)
            for key, one in self._told.items()
            if key in self.ledger.budgets
        ]

    def asked(self, shard: int, units: float, now_us: int) -> None:
        """A request for a shard was asked for."""
        if shard in self._cold:
            self.cold_rates.add(self._cold[shard].key, units, now_us, SLOW_START_DEMAND_MAX)

    def tried(self, now_us: int) -> None:
        """A further attempt was wanted, made or not."""
        self.rates.add((int(BudgetKind.FURTHER), 0), 1.0, now_us, self.tuning.further)

    def ended(self, endpoint: int, seen: ObservedOutcome, now_us: int) -> bool:
        """An attempt at a node (by its key) ended; whether this is to be told at once, by `handle`."""
        if self.evidence.ended(endpoint, seen, now_us):
            self._told_us = self._tick_us = now_us - REPORT_INTERVAL_US
            return True
        return False

    def sent(self, endpoint: int, units: float) -> None:
        """A node was sent some units."""
        self.shared.add(UsageKind.SENT, endpoint, units)

    def served(self, volume: int, units: float) -> None:
        """A volume was served some units."""
        self.shared.add(UsageKind.SERVED, volume, units)

    # Events

    def handle(self, now_us: int, events: Iterable[Event]) -> list[FleetAction]:
        """Take the events of one moment."""
        actions: list[FleetAction] = []
        self._out = {}
        if self._wake_us is not None and now_us - self._wake_us > STALL_THRESHOLD_US:
            self.counts["stalls"] += 1
            self.members.stalled(now_us)
        for event in events:
            if isinstance(event, DatagramReceived):
                self._received(event, now_us, actions)
            elif isinstance(event, SlowStartBegan):
                self._slow_start_began(event, now_us)
            elif isinstance(event, ShutdownBegan):
                self._leave(now_us)
            elif isinstance(event, RolloutItemsQueued):
                for who, item in event.items:
                    self._post(who, item, now_us, actions)
        self._queue(self.members.tick(now_us))
        if now_us >= self._tick_us:
            self._tick_us = now_us + TICK_INTERVAL_US
            self._tick(now_us)
        self._settle(now_us, actions)
        self._flush(now_us, actions)
        # The loans ended or given while this was told are in the slices above; the datagrams come behind.
        wake = min(self.members.wake_us(), self._tick_us if self._busy() else now_us + 1_000_000)
        self._wake_us = max(now_us + 1000, wake)
        actions.append(SetTimer(self._wake_us))
        return actions

    def _busy(self) -> bool:
        return bool(
            self.members.state is MemberState.JOINING
            or self.ledger.active
            or self._limits
            or self._cold
            or self.tuning.further
            or self.tuning.counts
        )

    def _slow_start_began(self, event: SlowStartBegan, now_us: int) -> None:
        key = (int(BudgetKind.COLD), event.key)
        base = int(event.rate * 1e6)
        if self.member_list.size > 1 and 0 <= base < 1 << 31:
            before = self._cold.get(event.shard)
            if before is not None and before.key != key:  # another node has the shard now
                self.cold_rates.forget(before.key)
                self._queue(self.ledger.return_loans(before.key))
            self._cold[event.shard] = _Cold(event.name, key, event.shard, event.until_us)
            self._queue(
                self.ledger.slow_start_began(key, base, self.member_list.size, event.born_us // 1000, now_us)
            )

    def _leave(self, now_us: int) -> None:
        """What is lent to this broker goes back, and all hear that it leaves."""
        self.members.announce(MemberState.LEAVING)
        for key in list(self.ledger.budgets):
            self._queue(self.ledger.return_loans(key))
        for who in self.members.there()[:FANOUT]:
            self._queue([(who, Heartbeat())])

    # Datagrams that came

    def _received(self, event: DatagramReceived, now_us: int, actions: list[FleetAction]) -> None:
        try:
            told = self._read(event, now_us)
        except DatagramError as error:
            self.faults[error.fault] += 1
            return
        self.counts["datagrams.taken"] += 1
        head = told.head
        before, self._out = self._out, {}
        self._queue(self.members.heard(head.sender, head.incarnation, head.round, head.state, now_us))
        for item in told.items:
            self._item(head, item, now_us, actions)
        answers, others = self._out.pop(head.sender, []), self._out
        self._out = before
        for who, items in others.items():
            self._queue([(who, item) for item in items])
        self._settle(now_us, actions)  # what is lent is lowered before its message leaves
        if answers:
            # An answer is no longer than its question: nobody can make this broker send more than it gets.
            self._send(head.sender, answers, now_us, actions, len(event.data))

    def _read(self, event: DatagramReceived, now_us: int) -> Datagram:
        """A datagram that may count, once."""
        if now_us - self._reads_us >= 1_000_000:
            self._reads, self._reads_us = 0, now_us
        self._reads += 1
        if self._reads > DATAGRAMS_READ_PER_S:
            raise DatagramError(DatagramFault.OVERRUN)
        if event.source is None:
            raise DatagramError(DatagramFault.ADDRESS)
        told = decode(event.data, self.member_list.fingerprint, self._signer)
        head = told.head
        if head.sender != event.source or head.sender == self.member_list.me:
            raise DatagramError(DatagramFault.ADDRESS)
        now_ms = now_us // 1000
        ago_ms = (now_ms - head.sent_ms + WRAP_MODULUS // 2) % WRAP_MODULUS - WRAP_MODULUS // 2
        if not -DATAGRAM_MAX_AGE_MS <= ago_ms <= DATAGRAM_MAX_AGE_MS:
            raise DatagramError(DatagramFault.OLD)
        sender = self._senders[head.sender]
        if head.incarnation < sender.incarnation:
            raise DatagramError(DatagramFault.OLD)
        if head.incarnation > sender.incarnation:
            self._senders[head.sender] = sender = _Sender(head.incarnation, head.number)
        ahead = head.number - sender.top
        if ahead > 0:
            sender.seen = (
                (sender.seen << ahead | 1) & ((1 << REPLAY_WINDOW) - 1) if ahead < REPLAY_WINDOW else 1
            )
            sender.top = head.number
        elif ahead <= -REPLAY_WINDOW or sender.seen >> -ahead & 1:
            raise DatagramError(DatagramFault.REPLAYED)
        else:
            sender.seen |= 1 << -ahead
        sender.came += 1
        if sender.behind_ms is None or ago_ms < sender.behind_ms:
            sender.behind_ms = ago_ms
        return told

    def _item(self, head: DatagramHeader, item: Item, now_us: int, actions: list[FleetAction]) -> None:
        who = head.sender
        if isinstance(item, (Ping, PingRequest)):
            self._queue(self.members.asked(who, item, now_us))
        elif isinstance(item, Ack):
            self._queue(self.members.answered(who, item))
        elif isinstance(item, MembershipUpdate):
            self._queue(self.members.fact(who, item, now_us))
        elif isinstance(item, LoanRequest):
            over = item.kind == BudgetKind.COLD and all(one.key[1] != item.key for one in self._cold.values())
            # Of a spell that is over, or not known of, nothing is lent: this broker uses its own unbounded.
            grant = (
                LoanGrant(item.kind, item.key, item.ask, 0, 0)
                if over
                else self.ledger.asked(who, head.incarnation, item, now_us)
            )
            self.counts["loans.given" if grant.parts else "loans.refused"] += 1
            self._queue([(who, grant)])
        elif isinstance(item, LoanGrant):
            if self.ledger.on_grant(who, head.incarnation, item, now_us) and item.parts:
                self.counts["loans.taken"] += 1
        elif isinstance(item, LoanRelease):
            self.counts["loans.returned"] += self.ledger.returned(who, head.incarnation, item)
        elif isinstance(item, LoanRecall):
            self._queue([(who, self.ledger.recalled(who, head.incarnation))])
        elif isinstance(item, LoanRecallAck):
            self.counts["floors.over"] += self.ledger.cleared(who, item, now_us)
        elif isinstance(item, HealthReport):
            seen_us = now_us - item.age_ms * 1000
            told = self.peer_reports.told(who, item.endpoint_id, item.what, item.weight, seen_us, now_us)
            if told is not None:
                self.counts["judgements.agreed" if told.agreed else "judgements.lone"] += 1
                actions.append(PeerHealthChanged(told))
        elif isinstance(item, ROLLOUT_ITEM_TYPES):
            actions.append(RolloutItemReceived(who, head.incarnation, item))
        elif isinstance(item, UsageTotal):
            units = self.shared.heard(who, head.incarnation, item.kind, item.key, item.total, now_us)
            if units and item.kind == UsageKind.SERVED and self._all_heard(now_us):
                actions.append(PeerUsageReceived(item.key, units))

    def _all_heard(self, now_us: int) -> bool:
        """Whether all who may count are heard of late: of what some did not tell nothing is known."""
        if self.member_list.size > FANOUT + 1:
            return False
        members = (self.members.members[n] for n in self.member_list.others)
        return all(
            one.state not in ALIVE_STATES or now_us - one.heard_us <= 2 * REPORT_INTERVAL_US
            for one in members
        )

    # Time

    def _tick(self, now_us: int) -> None:
        """Follow the demand: ask for what is missing, give back what is not needed."""
        if (
            now_us < self.ledger.floors_until_us
            and self.member_list.size <= FANOUT + 1
            and now_us >= self._recall_us
        ):
            self._recall_us = now_us + RECALL_INTERVAL_US
            self._queue([(who, LoanRecall()) for who in self.ledger.unacknowledged_peers()])
        if now_us >= self.ledger.floors_until_us and self.members.state is MemberState.JOINING:
            self.members.announce(MemberState.UP)
        wanted: dict[int, list[LoanRequest]] = {}
        wanted_of = [*self.rates.known(), *self.cold_rates.known()]
        for key in wanted_of:
            self._need(key, now_us)
        for key in self.ledger.due(wanted_of, now_us):
            want = self.ledger.ask(key, now_us)
            for who in self._whom(key):
                wanted.setdefault(who, []).append(want)
        for who, wants in wanted.items():
            self._queue([(who, want) for want in wants])
        self._register(now_us)
        if now_us - self._told_us >= REPORT_INTERVAL_US:
            self._told_us = now_us
            self._say(now_us)
        for shard, cold in list(self._cold.items()):
            if now_us >= cold.until_us:
                del self._cold[shard]
                self.cold_rates.forget(cold.key)
                self._queue(self.ledger.return_loans(cold.key))
        if now_us - self._swept_us > IDLE_BUDGET_US:
            self._swept_us = now_us
            for key in self.ledger.sweep(now_us, IDLE_BUDGET_US):
                self._told.pop(key, None)
                self.rates.forget(key)
                if key[0] == BudgetKind.LIMIT:
                    self._limits.pop(key[1], None)

    def _say(self, now_us: int) -> None:
        """Tell what was counted and what was seen of nodes: all of a small fleet, of a large one some."""
        some = list(self.members.there())
        if len(some) > FANOUT:
            some = self._random.sample(some, FANOUT)
        judges = [
            HealthReport(one.endpoint_id, int(one.what), one.weight, min(65535, (now_us - one.at_us) // 1000))
            for one in self.evidence.observations(now_us)[:HEALTH_REPORTS_PER_REPORT]
        ]
        counts = (
            [UsageTotal(*row) for row in self.shared.news(USAGE_TOTALS_PER_REPORT)]
            if self.tuning.counts
            else []
        )
        said: list[Item] = [*judges, *counts]
        if self.tuning.counts and not said and self.member_list.size <= FANOUT + 1:
            said.append(Heartbeat())  # who tells nothing has counted nothing: that must be heard too
        for who in some:
            self._queue([(who, item) for item in said])

    def _need(self, key: Key, now_us: int) -> None:
        pool = self.ledger.budgets.get(key)
        if pool is None:
            return
        rates = self.cold_rates if key[0] == BudgetKind.COLD else self.rates
        rate = rates.rate(key, now_us) * DEMAND_HEADROOM
        if key[0] == BudgetKind.LIMIT:
            limit = self._limits.get(key[1], (0.0, 0))[0]
            pool.need = min(WHOLE_PARTS, int(rate / limit * WHOLE_PARTS)) if limit else 0
        elif key[0] == BudgetKind.COLD:
            pool.need = min((1 << 31) - 1, int(rate * 1e6 * SLOW_START_DEMAND_MULTIPLE))
        else:
            pool.need = min(WHOLE_PARTS, int(rate / self.tuning.further * WHOLE_PARTS))
        if pool.need < pool.base:
            self._queue(self.ledger.return_loans(key))

    def _whom(self, key: Key) -> list[int]:
        """Whom to ask: those that use the budget, and others at random, up to FAN; all of a small fleet."""
        others = [n for n in self.member_list.others if self.members.members[n].state is not MemberState.LEFT]
        if len(others) <= FANOUT:
            return others
        pool = self.ledger.budgets[key]
        known = sorted(pool.users)[:FANOUT]
        if key[0] == BudgetKind.LIMIT and len(known) >= pool.hosts - 1:
            return known
        if key[0] == BudgetKind.LIMIT:
            known = list(dict.fromkeys([*known, *sorted(pool.hints), *self.places(key)]))[:FANOUT]
        if key[0] != BudgetKind.LIMIT:  # whoever lent once lends again, or the slices would wander
            known = [n for n in pool.borrowed if n in others][:FANOUT]
        rest = [n for n in others if n not in known]
        return known + self._random.sample(rest, min(len(rest), FANOUT - len(known)))

    def places(self, key: Key) -> tuple[int, ...]:
        """Whom the users of a limit tell that they use it, in a fleet in which not all are asked: two by
        the highest random weight of the roster (Thaler and Ravishankar, "Using Name-Based Mappings to
        Increase Hit Rates", 1998). They only know; nothing is theirs to give.
        """
        found = self._places.get(key)
        if found is None:
            weights = sorted((crc32c.crc32c(b"%d %d" % (key[1], n)), n) for n in range(self.member_list.size))
            found = tuple(n for _, n in weights[-3:] if n != self.member_list.me)[-2:]
            if len(self._places) >= RENDEZVOUS_CACHE_MAX:
                self._places.clear()
            self._places[key] = found
        return found

    def _register(self, now_us: int) -> None:
        """Tell that a limit is used, and hear who else does."""
        fresh, self._fresh = self._fresh, []
        for key in fresh:
            self._tell_of(key, now_us)
        for key in list(self._due):
            if self._due[key] > now_us:
                break  # they stand in the order of their times
            del self._due[key]
            self._tell_of(key, now_us)

    def _tell_of(self, key: Key, now_us: int) -> None:
        pool = self.ledger.budgets.get(key)
        if pool is None or not pool.holds or now_us - pool.used_us >= REGISTRATION_INTERVAL_US:
            return
        self._due[key] = now_us + REGISTRATION_INTERVAL_US
        if len(pool.users) < pool.hosts - 1:
            want = self.ledger.ask(key, now_us, 0)
            self._queue([(who, want) for who in self.places(key)])

    def _settle(self, now_us: int, actions: list[FleetAction]) -> None:
        """Tell of each slice that is another one now."""
        for key in self.ledger.settle(now_us):
            pool = self.ledger.budgets.get(key)
            if pool is None or not pool.holds:
                continue
            now = self.ledger.slice(key, now_us)
            if self._told.get(key) != now:
                self._told[key] = now
                actions.append(QuotaUpdated(BudgetKind(key[0]), key[1], now, pool.base))

    # Datagrams that leave

    def _queue(self, items: Iterable[tuple[int, Item]]) -> None:
        for who, item in items:
            self._out.setdefault(who, []).append(item)

    def _flush(self, now_us: int, actions: list[FleetAction]) -> None:
        for who, items in self._out.items():
            self._send(who, items, now_us, actions, None)
        self._out = {}

    def _send(
        self, who: int, items: list[Item], now_us: int, actions: list[FleetAction], most: int | None
    ) -> None:
        """Pack items for one member, the most useful first; what finds no room in the budget is left out."""
        frame = HEADER_BYTES + (TAG_BYTES if self._signer is not None else 0)
        items.sort(key=lambda item: ITEM_PRIORITY[type(item)])
        limit = DATAGRAM_MAX_BYTES if most is None else min(most, DATAGRAM_MAX_BYTES)
        while items:
            part: list[Item] = []
            room = limit - frame
            while items and item_bytes(items[0]) <= room:
                room -= item_bytes(items[0])
                part.append(items.pop(0))
            if not part:
                self.counts["items.left_out"] += len(items)
                return
            if most is None or room >= item_bytes(_FACT):
                facts = self.members.facts(who, room // item_bytes(_FACT))
                part += facts
            if not self._afford(frame + sum(map(item_bytes, part)), now_us):
                self.counts["items.left_out"] += len(part) + len(items)
                return
            self._tell(who, part, now_us, actions)
            if most is not None:
                if items:
                    self.counts["items.left_out"] += len(items)
                return

    def _tell(self, who: int, items: list[Item], now_us: int, actions: list[FleetAction]) -> None:
        self._numbers[who] += 1
        head = DatagramHeader(
            self.member_list.me,
            self.members.state,
            self.members.incarnation,
            self.members.round,
            self._numbers[who],
            now_us // 1000 % WRAP_MODULUS,
        )
        data = encode(head, items, self.member_list.fingerprint, self._signer)
        self.counts["datagrams.sent"] += 1
        self.counts["bytes.sent"] += len(data)
        actions.append(SendDatagram(who, data))

    def _post(self, who: int, item: Item, now_us: int, actions: list[FleetAction]) -> None:
        """One datagram for one item, under a budget of its own: a change of policy is rare and must not wait
        for what budgets have to say. What finds no room is lost, as on any link, and is said again.
        """
        self._posts = min(
            ROLLOUT_DATAGRAMS_PER_S, self._posts + ROLLOUT_DATAGRAMS_PER_S * (now_us - self._posts_us) / 1e6
        )
        self._posts_us = now_us
        if self._posts < 1:
            self.counts["posts.left_out"] += 1
            return
        self._posts -= 1
        self._tell(who, [item], now_us, actions)

    def _afford(self, count: int, now_us: int) -> bool:
        rate = self.tuning.bytes_s
        self._room = min(rate * SEND_BURST_S, self._room + rate * (now_us - self._room_us) / 1e6)
        self._room_us = now_us
        if self._room < count:
            return False
        self._room -= count
        return True


SLOW_START_DEMAND_MAX = 1000.0  # units a second: more is not asked for at a cold node
SLOW_START_DEMAND_MULTIPLE = (
    4  # a cold node is sent a quarter of a right at least: so much more of it is of use
)
_FACT = MembershipUpdate(0, 0, 0, 0)

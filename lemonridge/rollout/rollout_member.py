"""One broker's part in changes of policy: it votes, proposes, learns and leases. Pure.

`heard`, `tick` and `propose` leave actions in `out`, in the order in which they must happen: what a vote
rests on is kept before the vote leaves. The pieces, each checked by itself, are the agreement (`paxos.py`),
the leases (`leases.py`) and the document (`policy_document.py`).

A change goes: the proposer asks every member whether it could decide by the new state, which brings the state
there as well; one no makes it nowhere. Silence for CHECK_US counts as being down. Then a majority of the
voters agrees on it, and from that moment no lease of the epoch before is renewed. Whoever learns of it goes
by the stricter of both at once, and by the new one alone as soon as no lease of the old one is out.
"""

from __future__ import annotations

from collections.abc import Callable, Collection
from dataclasses import dataclass, field
from random import Random

import msgspec

from lemonridge.fleet.datagrams import (
    Accept,
    AcceptReply,
    BallotRejected,
    Check,
    CheckResult,
    Chosen,
    ChunkRequest,
    Item,
    Lease,
    LeaseAsk,
    Piece,
    Prepare,
    Promise,
)
from lemonridge.rollout import policy_document
from lemonridge.rollout.leases import NOTHING, Holder, Interval, LeaseGrantor
from lemonridge.rollout.paxos import NONE, Accepted, Promised, Proposer, Refused, Voter, turn_of
from lemonridge.rollout.policy_document import Policy, PolicyError, PolicyState

SPAN_US, ERROR_US = 2_000_000, 50_000  # of a lease: what a dead broker holds a switch up, against messages
CHECK_US = 800_000  # silent for so long at a check: it counts as down
GIVE_UP_US = 5_000_000  # until a proposer says that it does not know; what it proposed may still be decided
AGAIN_US = 120_000  # between two sayings of what was not answered
SWITCH_US = 60_000  # between two questions for a lease while a switch is under way
TAKE_OVER_US = 700_000  # a vote that nobody finishes is taken over after this, and up to twice that
BACK_OFF_US = 150_000  # of a proposer that was outbid, at the mean
PIECE, PIECES = 176, 8  # bytes of a piece; how many are asked for at a time
STATES_MAX = 8  # states kept by name
RESULTS = 8  # ends of changes that are remembered
ERA = 1 << 16  # an emergency begins at the next multiple: no decision of those who are lost has its epoch
SILENT = 2  # leases without a word, after which a voter may be called lost


@dataclass(frozen=True, slots=True)
class PersistVote:
    """Write this down, whole, before anything that follows is done."""

    data: bytes


@dataclass(frozen=True, slots=True)
class SendMessage:
    """Send an item to a member."""

    to: int
    item: Item


RolloutAction = PersistVote | SendMessage


class StoredVote(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What is on disk: the identity of the store, the newest state (empty: what the files say), and the vote
    in the slot after it.
    """

    ident: int
    state: bytes
    promised: int = 0
    took: int = 0
    taken: bytes = b""


@dataclass
class Change:
    """One change of this broker's, or one of another's that it takes over."""

    data: bytes
    name: bytes
    slot: int
    begun_us: int
    mine: bool = True
    opinions: dict[int, str] = field(default_factory=dict)  # by member, empty where it could
    proposer: Proposer | None = None
    said_us: int = 0
    rest_us: int = 0  # after being outbid


@dataclass(frozen=True, slots=True)
class Result:
    """What became of a proposal: `in force` (decided), `nowhere`, `another` or `unknown`."""

    end: str
    why: str = ""
    epoch: int = 0
    willed: bool = False  # a broker cannot, or an operator called it off: the same again ends the same way


@dataclass(slots=True)
class _Fetch:
    """A state that is being got from a member."""

    slot: int  # decided; 0: only to be looked at
    source: int
    pieces: dict[int, bytes] = field(default_factory=dict)
    count: int = 0
    asked_us: int = 0
    begun_us: int = 0
    heard_us: int = 0  # when a piece came last
    check: Check | None = None  # to be answered then


class RolloutMember:
    """One broker."""

    def __init__(
        self,
        me: int,
        names: tuple[str, ...],
        life: int,
        genesis: PolicyState,
        kept: bytes | None,
        ident: int,
        judge: Callable[[Policy], str],
        seed: int,
        now_us: int,
        span_us: int = SPAN_US,
        error_us: int = ERROR_US,
    ) -> None:
        """`genesis` is what the brokers' own files say; `kept` what the store holds, None where there is
        none, and then `ident` is a new one's; `judge` says why this broker could not decide by a policy, or
        nothing.
        """
        self.me, self.names, self.life, self._judge = me, names, life, judge
        self.out: list[RolloutAction] = []
        self._random = Random(f"{seed}/rollout")
        self.states: dict[bytes, bytes] = {}  # by name
        told = msgspec.msgpack.decode(kept, type=StoredVote) if kept is not None else None
        self.ident = told.ident if told is not None else ident
        self.state = policy_document.decode(told.state) if told is not None and told.state else genesis
        self.name = self._store(policy_document.encode(self.state))
        self.fault = judge(self.state.policy)  # why this broker may not go by the policy that is in force
        self.before: PolicyState | None = None  # the one before, while its lease may be in use
        self.voter = Voter(self.ident, self.state.epoch + 1)
        if told is not None and told.took:
            self.voter.took, self.voter.value = told.took, self._store(told.taken)
        if told is not None:
            self.voter.promised = told.promised
        self.lessor = LeaseGrantor(span_us, error_us, now_us)
        self.holder = Holder(span_us, tuple(self.idents(self.state)), want=self.state.epoch)
        self.span_us = span_us
        self.change: Change | None = None
        self.results: list[Result] = []  # the last ones
        self.ended = 0  # how many there were
        self._fetches: dict[bytes, _Fetch] = {}
        self._begun_us, self._asked_us = now_us, now_us - span_us
        self._took_us = now_us
        self._top = 0  # the highest round that was heard of
        self._told: dict[int, tuple[int, int]] = {}  # by member: epoch, and when it was heard
        self.counts = {"changes": 0, "taken_over": 0, "refused": 0, "emergencies": 0}
        self._kept = kept
        if kept is None:
            self._keep()

    # What this broker may go by

    def mode(self, now_us: int) -> Interval:
        """The epochs that it decides by at this moment; NOTHING: by the floor alone."""
        return self.holder.uses if not self.fault and self.holder.valid(now_us) else NOTHING

    def policy(self, mode: Interval) -> Policy:
        """What a mode decides by."""
        if mode == NOTHING or mode[1] != self.state.epoch:
            return self.state.floor
        if mode[0] == mode[1]:
            return self.state.policy
        before = self.before.policy if self.before is not None else self.state.floor
        return policy_document.stricter(before, self.state.policy)

    def wrong(self, policy: Policy) -> str:
        """Why this broker could not decide by a policy, or nothing."""
        return policy_document.contains(policy, self.state.floor) or self._judge(policy)

    @property
    def votes(self) -> bool:
        """Whether this broker's votes count."""
        return self.state.voters.get(self.names[self.me]) == self.ident

    def idents(self, state: PolicyState) -> dict[int, int]:
        """The stores that vote after a state, by member; one that is no member here has a number past them,
        counts, and is never heard.
        """
        numbers = {name: number for number, name in enumerate(self.names)}
        strange = sorted(set(state.voters) - set(numbers))
        numbers |= {name: len(self.names) + more for more, name in enumerate(strange)}
        return {numbers[name]: state.voters[name] for name in sorted(state.voters, key=numbers.__getitem__)}

    # Proposing

    def propose(self, policy: Policy, note: str, now_us: int) -> str:
        """Begin a change; the reason why it cannot begin, or nothing. Its end comes in `results`."""
        if why := self.hindered(now_us):
            return why
        if policy == self.state.policy:
            return "nothing differs"
        if why := self.wrong(policy):
            return why
        return self._begin(policy_document.successor(self.state, policy, self.names[self.me], note), now_us)

    def admit(self, now_us: int) -> str:
        """Begin to let this broker vote; as `propose`."""
        own = self.names[self.me]
        if why := self.hindered(now_us):
            return why
        if self.votes:
            return "it votes already"
        made = policy_document.admitted(self.state, own, self.ident, own)
        return policy_document.stepped(self.state, made, self.names) or self._begin(made, now_us)

    def retire(self, voter: str, now_us: int) -> str:
        """Begin to take a vote away; as `propose`."""
        if why := self.hindered(now_us):
            return why
        if voter not in self.state.voters:
            return f"'{voter}' does not vote"
        made = policy_document.retired(self.state, voter, self.names[self.me])
        return policy_document.stepped(self.state, made, self.names) or self._begin(made, now_us)

    def hindered(self, now_us: int) -> str:
        """Why nothing can be proposed here now, or nothing."""
        if self.change is not None:
            return "a change is under way"
        if self.mode(now_us) != (self.state.epoch, self.state.epoch):
            return "this broker holds no lease of the policy in force alone, so it may not know the newest"
        return ""

    def force(self, lost: Collection[str], note: str, now_us: int) -> str:
        """The emergency call: go on without voters that are lost for good, with those that are left, or this
        broker alone where none is. The reason why not, or nothing. Nobody decides it. If the lost are only
        cut off, they may go on by another policy until they hear of this, and what they decide is void.
        """
        numbers = {name: number for number, name in enumerate(self.names)}
        if self.holder.valid(now_us):
            return "a majority of the voters is heard: change the policy, or retire a voter"
        if strange := sorted(set(lost) - set(self.state.voters)):
            return f"'{strange[0]}' does not vote"
        left = {name: ident for name, ident in self.state.voters.items() if name not in lost}
        if len(left) > len(self.state.voters) // 2:
            return "a majority of the voters is left: wait until it is heard"
        own, quiet_us = self.names[self.me], SILENT * self.span_us
        if own in lost:
            return "this broker is not lost"
        if now_us - self._begun_us < quiet_us:
            return f"this broker has listened for less than {quiet_us / 1e6:g} s"
        for name in self.state.voters:
            at_us = self._told.get(numbers.get(name, -1), (0, now_us - quiet_us))[1]
            heard = name == own or now_us - at_us < quiet_us
            if name in lost and heard:
                return f"'{name}' was heard {(now_us - at_us) / 1e6:.1f} s ago: it is not lost"
            if name not in lost and not heard:
                return f"'{name}' is not heard: bring it up, or call it lost"
        if not left or own in left:
            left[own] = self.ident
        epoch = (self.state.epoch // ERA + 1) * ERA + self.me
        try:
            data = policy_document.encode(policy_document.forced(self.state, epoch, left, own, note))
        except PolicyError as error:
            return str(error)
        self.counts["emergencies"] += 1
        made = self._store(data)
        for other in range(len(self.names)):
            self._say(other, Chosen(epoch, made))
        self._decided(epoch, made, now_us)
        return ""

    def _begin(self, state: PolicyState, now_us: int, mine: bool = True) -> str:
        try:
            data = policy_document.encode(state)
        except PolicyError as error:
            return str(error)
        self.change = Change(data, self._store(data), state.epoch, now_us, mine)
        self.change.opinions[self.me] = ""
        self.counts["changes"] += 1
        self._advance(now_us)
        return ""

    def abort(self) -> bool:
        """Give up a change that is not put to the vote yet."""
        if self.change is None or not self.change.mine or self.change.proposer is not None:
            return False
        self._end(Result("nowhere", "called off", willed=True))
        return True

    def _end(self, result: Result) -> None:
        if self.change is not None and self.change.mine:
            self.results.append(result)
            self.ended += 1
            del self.results[:-RESULTS]
        self.change = None

    def _advance(self, now_us: int) -> None:
        """Go on with the change that is under way."""
        change = self.change
        if change is None:
            return
        if now_us - change.begun_us > GIVE_UP_US:
            self._end(
                Result("unknown", "no majority of the voters answers; it may still be decided")
                if change.proposer is not None
                else Result("nowhere", "no majority of the voters answers")
            )
            return
        if change.proposer is None:
            self._check(change, now_us)
        elif now_us >= change.rest_us and now_us - change.said_us >= AGAIN_US:
            self._put(change, now_us)

    def _check(self, change: Change, now_us: int) -> None:
        """Ask all whether they could, then put it to the vote. Of those who vote afterwards a majority must
        have answered too, or nothing could be decided any more.
        """
        for who, why in change.opinions.items():
            if why:
                self._end(Result("nowhere", f"{self.names[who]}: {why}", willed=True))
                return
        silent = [who for who in range(len(self.names)) if who not in change.opinions]
        sets = (self.idents(self.state), self.idents(policy_document.decode(change.data)))
        sure = all(sum(who in change.opinions for who in voters) > len(voters) // 2 for voters in sets)
        if not silent or (now_us - change.begun_us >= CHECK_US and sure):
            self._vote(change, now_us)
        elif now_us - change.said_us >= AGAIN_US:
            change.said_us = now_us
            for who in silent:
                self._say(who, Check(change.slot, change.name))

    def _vote(self, change: Change, now_us: int) -> None:
        """A new try, by a round that is higher than any heard of."""
        self._top = max(self._top, turn_of(self.voter.promised)) + 1
        change.proposer = Proposer(self.me, change.slot, change.name, self.idents(self.state), self._top)
        self._put(change, now_us)

    def _put(self, change: Change, now_us: int) -> None:
        """Say to each voter what it has not answered."""
        made = change.proposer
        assert made is not None
        change.said_us = now_us
        if made.value != NONE and made.value not in self.states:
            return  # another's value, which is being got
        for who in made.missing():
            item = (
                Prepare(made.slot, made.number)
                if made.value == NONE
                else Accept(made.slot, made.number, made.value)
            )
            if who == self.me:
                self._voting(self.me, item, now_us)
            else:
                self._say(who, item)
            if self.change is not change or change.proposer is not made:
                return  # its own vote was the last that was missing, or it was outbid

    # Voting

    def _voting(self, who: int, item: Prepare | Accept, now_us: int) -> None:
        """A proposer's message; the answer leaves after the vote is written down."""
        self._top = max(self._top, turn_of(item.ballot))
        told: Promised | Accepted | Refused | None
        if isinstance(item, Prepare):
            told = self.voter.prepare(item.slot, item.ballot)
        elif item.name not in self.states or not self.votes:
            if item.slot == self.voter.slot and item.name not in self.states:
                self._fetch(item.name, 0, who, now_us)
            return
        else:
            told = self.voter.accept(item.slot, item.ballot, item.name)
            self._took_us = now_us
        if told is None or not self.votes:
            return
        if isinstance(told, Refused):
            self._answer(who, BallotRejected(told.slot, told.ballot), now_us)
            return
        self._keep()
        if isinstance(told, Promised):
            self._answer(who, Promise(told.slot, told.ballot, told.took, told.value, self.ident), now_us)
        else:
            self._answer(who, AcceptReply(told.slot, told.ballot, self.ident), now_us)

    def _answer(self, who: int, item: Promise | AcceptReply | BallotRejected, now_us: int) -> None:
        if who == self.me:
            self._voted(self.me, item, now_us)
        else:
            self._say(who, item)

    def _voted(self, who: int, item: Promise | AcceptReply | BallotRejected, now_us: int) -> None:
        """A voter's answer to this broker's proposal."""
        change = self.change
        made = change.proposer if change is not None else None
        if isinstance(item, BallotRejected):
            self._top = max(self._top, turn_of(item.ballot))
            if change is None or made is None or item.slot != made.slot:
                return
            if item.ballot > made.number:
                change.rest_us = now_us + int(BACK_OFF_US * self._random.uniform(0.3, 1.7))
                self._top += 1
                change.proposer = Proposer(self.me, made.slot, change.name, made.voters, self._top)
            return
        if change is None or made is None:
            return
        if isinstance(item, Promise):
            if made.promise(who, item.ident, Promised(item.slot, item.ballot, item.took, item.name)):
                if made.value not in self.states:
                    self._fetch(made.value, 0, who, now_us)
                self._put(change, now_us)
        elif made.accept(who, item.ident, Accepted(item.slot, item.ballot)):
            for other in range(len(self.names)):
                self._say(other, Chosen(made.slot, made.value))
            self._decided(made.slot, made.value, now_us)

    # Learning

    def _decided(self, slot: int, name: bytes, now_us: int) -> None:
        """A slot's state is decided, and held whole."""
        if slot <= self.state.epoch:
            return
        before, self.before = self.state, None
        self.state, self.name = policy_document.decode(self.states[name]), name
        if before.epoch == slot - 1:
            self.before = before
        self.voter.decided(slot)
        self._keep()
        self.fault = self._judge(self.state.policy)
        self.holder.learnt(slot, tuple(self.idents(self.state)), now_us)
        self._asked_us = 0
        if self.change is not None and self.change.slot <= slot:
            mine = self.change.name == name
            self._end(
                Result("in force", "", slot) if mine else Result("another", "another change came first", slot)
            )
        for fetched in [one for one, what in self._fetches.items() if what.slot <= slot]:
            del self._fetches[fetched]
        self._lease(now_us)

    def _learn(self, who: int, slot: int, name: bytes, now_us: int) -> None:
        """Somebody says that a slot came to a state."""
        if slot <= self.state.epoch:
            return
        if name in self.states:
            self._decided(slot, name, now_us)
        else:
            self._fetch(name, slot, who, now_us)

    def _fetch(self, name: bytes, slot: int, who: int, now_us: int) -> None:
        found = self._fetches.get(name)
        if found is None and len(self._fetches) >= STATES_MAX:
            del self._fetches[next(iter(self._fetches))]
        if found is None:
            self._fetches[name] = _Fetch(slot, who, begun_us=now_us, heard_us=now_us)
            self._say(who, ChunkRequest(name, 0))
        else:
            found.slot = max(found.slot, slot)
            if now_us - found.heard_us > 4 * AGAIN_US:
                found.source, found.heard_us = who, now_us  # the one who was asked says nothing

    def _piece(self, item: Piece, now_us: int) -> None:
        found = self._fetches.get(item.name)
        if (
            found is None
            or not 0 < item.count <= policy_document.VALUE_MAX // PIECE + 1
            or item.piece >= item.count
        ):
            return
        found.count, found.heard_us = item.count, now_us
        found.pieces[item.piece] = item.data[: item.size]
        if len(found.pieces) < found.count:
            if item.piece == 0 or not any(n in found.pieces for n in range(item.piece + 1, found.count)):
                self._ask_pieces(item.name, found, now_us)
            return
        del self._fetches[item.name]
        data = b"".join(found.pieces[n] for n in range(found.count))
        if policy_document.name(data) != item.name:
            return  # spoilt, or two states in one: it is asked for anew when it is needed
        try:
            policy_document.decode(data)
        except PolicyError:
            return  # whole, and no state to this program: a member of another version, or one that lies
        self._store(data)
        if found.slot:
            self._decided(found.slot, item.name, now_us)
        if found.check is not None:
            self._checked(found.source, found.check, now_us)
        if self.change is not None and self.change.proposer is not None:
            self._put(self.change, now_us)

    def _ask_pieces(self, name: bytes, found: _Fetch, now_us: int) -> None:
        found.asked_us = now_us
        missing = [n for n in range(found.count or 1) if n not in found.pieces]
        for piece in missing[:PIECES]:
            self._say(found.source, ChunkRequest(name, piece))

    def _store(self, data: bytes) -> bytes:
        """Keep a state by its name; the oldest go, but for those that are in use."""
        name = policy_document.name(data)
        self.states.pop(name, None)
        self.states[name] = data
        if len(self.states) > STATES_MAX:
            used = {self.name, self.voter.value, name}
            if self.change is not None:
                used |= {self.change.name, self.change.proposer.value if self.change.proposer else NONE}
            for other in [one for one in self.states if one not in used][: len(self.states) - STATES_MAX]:
                del self.states[other]
        return name

    # Leases

    def _lease(self, now_us: int) -> None:
        """Ask every voter."""
        self._asked_us = now_us
        ask, uses, want = self.holder.ask(now_us)
        lenders = self.holder.lenders()
        if self.state.epoch >= ERA:  # after an emergency others may ask other voters, and never hear of it
            strangers = [who for who in range(len(self.names)) if who not in lenders]
            if strangers:
                self._say(self._random.choice(strangers), Chosen(self.state.epoch, self.name))
        for who in lenders:
            if who == self.me:
                told = self._granting(self.me, self.life, ask, uses, want, self.name, now_us)
                if self.votes:
                    self.holder.granted(self.me, ask, told, now_us)
            else:
                low, high = _wire(uses)
                self._say(who, LeaseAsk(ask, low, high, want, self.name))

    def _granting(
        self, who: int, life: int, ask: int, uses: Interval, want: int, name: bytes, now_us: int
    ) -> Interval:
        newest = self.voter.slot if self.voter.took else self.state.epoch
        if not self.votes or (want == self.state.epoch and name != self.name):
            return NOTHING  # its file is another than this one's, or its history
        return self.lessor.asked(who, life, ask, uses, want, newest, now_us)

    # Events

    def heard(self, who: int, life: int, item: Item, now_us: int) -> None:
        """An item came from a member's incarnation."""
        if isinstance(item, LeaseAsk):
            uses = (item.low, item.high) if item.low <= item.high else NOTHING
            told = self._granting(who, life, item.ask, uses, item.want, item.name, now_us)
            self._told[who] = item.want, now_us
            if self.votes or item.want < self.state.epoch:
                self._say(who, Lease(item.ask, *_wire(told), self.state.epoch, self.name, self.ident))
        elif isinstance(item, Lease):
            self._told[who] = item.epoch, now_us
            if item.epoch > self.state.epoch:
                self._learn(who, item.epoch, item.name, now_us)
            told = (item.low, item.high) if item.low <= item.high else NOTHING
            states = [one for one in (self.state, self.before) if one is not None]
            if any(one.voters.get(self.names[who]) == item.ident for one in states):
                self.holder.granted(who, item.ask, told, now_us)
        elif isinstance(item, (Prepare, Accept)):
            self._voting(who, item, now_us)
        elif isinstance(item, (Promise, AcceptReply, BallotRejected)):
            self._voted(who, item, now_us)
        elif isinstance(item, Check):
            self._checked(who, item, now_us)
        elif isinstance(item, CheckResult):
            change = self.change
            if change is not None and change.proposer is None and item.name == change.name:
                why = item.why.rstrip(b"\0").decode("utf-8", "replace")
                change.opinions[who] = "" if item.good else why or "it cannot"
                self._advance(now_us)
        elif isinstance(item, ChunkRequest):
            data = self.states.get(item.name)
            if data is not None and item.piece * PIECE < len(data):
                part = data[item.piece * PIECE : (item.piece + 1) * PIECE]
                self._say(who, Piece(item.name, item.piece, -(-len(data) // PIECE), len(part), part))
        elif isinstance(item, Piece):
            self._piece(item, now_us)
        elif isinstance(item, Chosen):
            self._learn(who, item.slot, item.name, now_us)

    def _checked(self, who: int, item: Check, now_us: int) -> None:
        """Whether this broker could decide by a state; the state is got first."""
        if item.slot > self.state.epoch + 1 or (item.slot <= self.state.epoch and item.name != self.name):
            return  # one of the two missed something, which a lease will tell
        data = self.states.get(item.name)
        if data is None:
            self._fetch(item.name, 0, who, now_us)
            self._fetches[item.name].check = item
            return
        try:
            state = policy_document.decode(data)
            why = self.wrong(state.policy)
            if not why and state.prior == self.name.hex():
                why = policy_document.stepped(self.state, state, self.names)
            if state.voters.get(self.names[self.me], self.ident) != self.ident and state.kind == "voter":
                why = why or "its store is lost, it has to be let in first"
        except PolicyError as error:
            why = str(error)
        self.counts["refused"] += bool(why)
        self._say(who, CheckResult(item.slot, item.name, not why, why.encode()[:100]))

    def tick(self, now_us: int) -> None:
        """Time passed."""
        alone = (self.state.epoch, self.state.epoch)
        switching = self.holder.uses != alone or not self.holder.valid(now_us)
        if now_us - self._asked_us >= (SWITCH_US if switching else self.span_us // 4):
            self._lease(now_us)
        for name, found in list(self._fetches.items()):
            if now_us - found.begun_us > GIVE_UP_US:
                del self._fetches[name]
            elif now_us - found.asked_us >= AGAIN_US // 2:
                self._ask_pieces(name, found, now_us)
        if self.change is None and self.voter.took and self.votes:
            if now_us - self._took_us > TAKE_OVER_US * self._random.uniform(1.0, 2.0):
                self._took_us = now_us
                self.counts["taken_over"] += 1
                self.change = Change(
                    self.states[self.voter.value], self.voter.value, self.voter.slot, now_us, mine=False
                )
                self._vote(self.change, now_us)
        elif self.change is None and not self.votes and self.mode(now_us) == alone:
            own = self.names[self.me]
            if own in self.state.voters:  # with a new store it votes again once the others say so
                self._begin(policy_document.admitted(self.state, own, self.ident, own), now_us, mine=False)
        self._advance(now_us)

    def wake_us(self, now_us: int) -> int:
        """When to come again at the latest."""
        alone = (self.state.epoch, self.state.epoch)
        busy = (
            self.change is not None
            or self._fetches
            or self.voter.took
            or self.holder.uses != alone
            or not self.holder.valid(now_us)
        )
        return now_us + (SWITCH_US // 2 if busy else self.span_us // 8)

    def _say(self, who: int, item: Item) -> None:
        if who != self.me and who < len(self.names):
            self.out.append(SendMessage(who, item))

    def _keep(self) -> None:
        taken = self.states[self.voter.value] if self.voter.took else b""
        data = msgspec.msgpack.encode(
            StoredVote(self.ident, self.states[self.name], self.voter.promised, self.voter.took, taken)
        )
        if data != self._kept:
            self._kept = data
            self.out.append(PersistVote(data))

    def report(self, now_us: int) -> dict[str, object]:
        """What operators are shown."""
        mode = self.mode(now_us)
        change = self.change
        return {
            "name": self.names[self.me],
            "life": self.life,
            "epoch": self.state.epoch,
            "state": self.name.hex(),
            "goes_by": "floor" if mode == NOTHING else list(mode),
            "fault": self.fault,
            "lease_ms": max(0, self.holder.until_us() - now_us) // 1000,
            "votes": self.votes,
            "voter": self.names[self.me] in self.state.voters,
            "voters": sorted(self.state.voters),
            "promised": self.voter.promised,
            "accepted": self.voter.took,
            "under_way": None
            if change is None
            else {
                "slot": change.slot,
                "mine": change.mine,
                "phase": "check" if change.proposer is None else "vote",
                "answered": sorted(self.names[who] for who in change.opinions),
            },
            "heard": {
                self.names[who]: {"epoch": epoch, "ms": (now_us - at_us) // 1000}
                for who, (epoch, at_us) in sorted(self._told.items())
            },
            "leases_out": {
                self.names[who]: [[*one.interval, (one.end_us - now_us) // 1000] for one in grants]
                for who, grants in sorted(self.lessor.out(now_us).items())
            },
            "results_ended": self.ended,
            "results": [[one.end, one.why, one.epoch] for one in self.results],
            "history": list(self.state.history),
            "counts": self.counts,
        }


def _wire(interval: Interval) -> Interval:
    """An interval as it is told: nothing is one whose low end is above its high one."""
    return interval if interval != NOTHING else (1, 0)

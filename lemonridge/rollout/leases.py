"""Who may decide by which policy, and for how long: leases of epochs from a majority of the voters. Pure.

A broker decides by epoch E only while a majority of the voters hold a grant of E for it that has not ended
by its own clock, counted from when it asked (Gray and Cheriton, 1989, section 3: the voter counts from when
that came, and longer by the stated error, so only the rates of two clocks matter). Once E+1 is known, a
broker goes on by the stricter of both, [E, E+1], under the grants that it has, until it has E+1 alone.

What a broker goes by is an interval of epochs, [E, E] or [E, E+1]; it keeps to the strictest of the interval,
so it keeps every one in it. A voter grants an interval only if it meets those of all other grants that have
not ended. Two majorities share a voter, hence:

Invariant, at any moment: the intervals of all brokers that hold leases meet pairwise, and so, being
intervals, in one common epoch (Helly, 1923), whose limits all of them keep. None decides by E while another
decides by E+2, or by E+1 alone.

A voter that took a value in slot E+1, or knows that E+1 is decided, renews no lease that ends at E. So once
E+1 is chosen no lease of E outlives SPAN: each needs a voter of the majority that chose.

Who votes may change with an epoch, by one voter at a time. Majorities of n and of n+1 voters of which n are
alike share one, so the argument holds between neighbours; for an interval of two epochs a majority of each
one's voters is needed, and E+2 is proposed only under a lease of E+1 alone, when no lease of E is out.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

LIVES_MAX = 4  # of one member whose grants are kept; past it the two that end first are one
ASKS_MAX = 16  # questions remembered by who asks

Interval = tuple[int, int]
NOTHING: Interval = (-1, -1)  # no epoch at all


def meet(one: Interval, other: Interval) -> bool:
    """Whether two intervals have an epoch in common."""
    return max(one[0], other[0]) <= min(one[1], other[1])


@dataclass(slots=True)
class Grant:
    """What one incarnation of a member may go by, until `end_us` of the voter's clock."""

    low: int
    high: int
    end_us: int
    ask: int  # the question that it answers; earlier ones that come late mean nothing

    @property
    def interval(self) -> Interval:
        return self.low, self.high


class LeaseGrantor:
    """The grants of one voter. They are not durable: after a start it grants nothing until all that it may
    have granted before must be over.
    """

    def __init__(self, span_us: int, error_us: int, now_us: int) -> None:
        self.span_us, self.error_us = span_us, error_us
        self.quiet_us = now_us + span_us + error_us
        self.grants: dict[int, dict[int, Grant]] = {}  # by member and life

    def asked(
        self, who: int, life: int, ask: int, uses: Interval, want: int, newest: int, now_us: int
    ) -> Interval:
        """The answer to "I go by `uses`, and would go by `want` alone"; NOTHING where neither can be granted.

        `newest` is the highest epoch that this voter knows decided or has accepted. From its question on
        the member goes by `uses` or what is granted here, and by nothing before it.
        """
        lives = self.grants.setdefault(who, {})
        before = lives.get(life)
        if before is not None and ask <= before.ask:
            return NOTHING
        granted = NOTHING
        if now_us >= self.quiet_us:
            others = [
                one.interval
                for member, kept in self.grants.items()
                for one in kept.values()
                if one.end_us > now_us and one is not before
            ]
            for wish in ((want, want), uses):
                if wish[1] >= newest and wish[0] >= 0 and all(meet(wish, one) for one in others):
                    granted = wish
                    break
        if granted != NOTHING:
            lives[life] = Grant(*granted, now_us + self.span_us + self.error_us, ask)
            self._bound(lives)
        elif before is not None:  # what was granted stands until it ends: its answer may be under way still
            before.ask = ask
        return granted

    def _bound(self, lives: dict[int, Grant]) -> None:
        """Few lives of one member: of more, those that are over go, then the ones that end first are one."""
        if len(lives) <= LIVES_MAX:
            return
        first, second = sorted(lives, key=lambda life: (lives[life].end_us, life))[:2]
        gone, kept = lives.pop(first), lives[second]
        if gone.end_us and kept.end_us:  # both may be in use: what meets the two is granted beside them
            low, high = max(gone.low, kept.low), min(gone.high, kept.high)
            if low <= high:
                lives[second] = Grant(low, high, max(gone.end_us, kept.end_us), max(gone.ask, kept.ask))
            else:
                lives[first] = gone

    def out(self, now_us: int) -> dict[int, list[Grant]]:
        """Grants that have not ended, by member."""
        return {
            who: kept
            for who, lives in self.grants.items()
            if (kept := [one for one in lives.values() if one.end_us > now_us])
        }


@dataclass(slots=True)
class _Asked:
    sent_us: int
    uses: Interval
    want: int


@dataclass(slots=True)
class Holder:
    """What one incarnation of a broker may go by."""

    span_us: int
    voters: tuple[int, ...]  # of `want`
    uses: Interval = NOTHING  # what it goes by while it has grants for that
    want: int = 0  # the newest epoch that it holds whole
    before: tuple[int, ...] = ()  # voters of the epoch before `want`, while that is gone by too
    _ask: int = 0
    _asks: dict[int, _Asked] = field(default_factory=dict)
    _grants: dict[int, tuple[Interval, int]] = field(default_factory=dict)  # by voter: of what, until when

    def learnt(self, epoch: int, voters: tuple[int, ...], now_us: int) -> None:
        """An epoch is decided and held whole, and who votes on the next. Who goes by the one before goes by
        both; who missed one in between goes by nothing until it has the new one.
        """
        if epoch <= self.want and self.uses != NOTHING:
            return
        follows = self.uses != NOTHING and self.uses[0] == self.uses[1] == epoch - 1 and self.valid(now_us)
        if epoch > self.want:
            self.want, self.before, self.voters = epoch, self.voters, voters
        if follows:
            self.uses = (epoch - 1, epoch)
        elif self.uses != (epoch, epoch):
            self.uses = NOTHING

    def lenders(self) -> tuple[int, ...]:
        """Whose grants count for what is gone by and for what is wanted."""
        two = self.uses != NOTHING and self.uses[0] < self.want
        return tuple(sorted({*self.voters, *self.before})) if two else self.voters

    def ask(self, now_us: int) -> tuple[int, Interval, int]:
        """A question to all voters, to leave at once: its number, what is gone by, what is wanted."""
        if self.uses != NOTHING and not self.valid(now_us):
            self.uses = NOTHING  # the lease has ended: it is not gone by again, whatever comes late
        self._ask += 1
        self._asks[self._ask] = _Asked(now_us, self.uses, self.want)
        while len(self._asks) > ASKS_MAX:
            del self._asks[next(iter(self._asks))]
        return self._ask, self.uses, self.want

    def granted(self, voter: int, ask: int, told: Interval, now_us: int) -> bool:
        """An answer. Whether what may be gone by is another thing now."""
        asked = self._asks.get(ask)
        if asked is None or voter not in self.lenders() or told == NOTHING:
            return False
        if told not in ((asked.want, asked.want), asked.uses):
            return False
        end_us = asked.sent_us + self.span_us
        before = self._grants.get(voter)
        if end_us <= now_us or (before is not None and before[1] >= end_us):
            return False
        self._grants[voter] = told, end_us
        if self.uses != (self.want, self.want) and self._count((self.want, self.want), now_us):
            self.uses = self.want, self.want
            return True
        return False

    def _count(self, interval: Interval, now_us: int) -> bool:
        """Whether a majority, of each epoch's voters, grants what keeps all others off this interval."""
        low, high = interval
        grants = [
            who
            for who, (told, end_us) in self._grants.items()
            if low <= told[0] and told[1] <= high and end_us > now_us
        ]
        return all(sum(who in voters for who in grants) > len(voters) // 2 for voters in self._sets(interval))

    def _sets(self, interval: Interval) -> list[tuple[int, ...]]:
        """The voters of each of its epochs."""
        return [self.voters if epoch == self.want else self.before for epoch in sorted(set(interval))]

    def valid(self, now_us: int) -> bool:
        """Whether it may go by `uses` at this moment."""
        return self.uses != NOTHING and self._count(self.uses, now_us)

    def until_us(self) -> int:
        """When the lease ends if no more is heard; 0 where there is none."""
        if self.uses == NOTHING:
            return 0
        low, high = self.uses
        least = []
        for voters in self._sets(self.uses):
            ends = sorted(
                (
                    end
                    for who, (told, end) in self._grants.items()
                    if who in voters and low <= told[0] and told[1] <= high
                ),
                reverse=True,
            )
            need = len(voters) // 2 + 1
            least.append(ends[need - 1] if len(ends) >= need else 0)
        return min(least)


def common(intervals: Iterable[Interval]) -> bool:
    """Whether all that are gone by have one epoch in common."""
    told = [one for one in intervals if one != NOTHING]
    return not told or max(one[0] for one in told) <= min(one[1] for one in told)

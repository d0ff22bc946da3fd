"""Who may decide by which policy, and for how long: leases of epochs from a majority of the voters. Pure.

A broker decides by epoch E only while a majority of the voters hold a grant of E for it that has not ended
by its own clock, counted from when it sent the request (Gray and Cheriton, 1989, section 3: the grantor
counts from when the request came, and longer by the stated clock error, so only the rates of two clocks
matter). Once E+1 is known, a broker goes on by the stricter of both, [E, E+1], under the grants that it has,
until it has E+1 alone.

The epochs in use at a broker are an interval, [E, E] or [E, E+1]; it keeps to the strictest of the interval,
so it keeps every one in it. A grantor grants an interval only if it overlaps those of all other grants that
have not ended. Two majorities share a voter, hence:

Invariant, at any moment: the intervals of all brokers that hold leases overlap pairwise, and so, being
intervals, in one common epoch (Helly, 1923), whose limits all of them keep. None decides by E while another
decides by E+2, or by E+1 alone.

A voter that accepted a value in slot E+1, or knows that E+1 is decided, renews no lease that ends at E. So
once E+1 is chosen no lease of E outlives the lease's length: each needs a voter of the majority that chose.

Who votes may change with an epoch, by one voter at a time. Majorities of n and of n+1 voters of which n are
alike share one, so the argument holds between neighbours; for an interval of two epochs a majority of each
one's voters is needed, and E+2 is proposed only under a lease of E+1 alone, when no lease of E is out.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from lemonridge.rollout.paxos import is_quorum

INCARNATIONS_MAX = 4  # of one member whose grants are kept; past it the two that end first are merged
REQUESTS_MAX = 16  # lease requests that a holder remembers

EpochInterval = tuple[int, int]
NO_EPOCHS: EpochInterval = (-1, -1)  # no lease: the floor


def overlap(one: EpochInterval, other: EpochInterval) -> bool:
    """Whether two intervals have an epoch in common."""
    return max(one[0], other[0]) <= min(one[1], other[1])


@dataclass(slots=True)
class Grant:
    """The epochs that one incarnation of a member may use, until `end_us` of the grantor's clock."""

    low: int
    high: int
    end_us: int
    request_id: int  # of the request that it answers; older ones that arrive later are ignored

    @property
    def interval(self) -> EpochInterval:
        """The epochs granted."""
        return self.low, self.high


class LeaseGrantor:
    """The grants of one voter.

    They are not durable: after a start it grants nothing until all that it may have granted before must have
    ended.

    Args of the constructor: the lease's length and the stated clock error over it, both in microseconds.
    """

    def __init__(self, lease_us: int, clock_error_us: int, now_us: int) -> None:
        self.lease_us, self.clock_error_us = lease_us, clock_error_us
        self.grants_from_us = now_us + lease_us + clock_error_us
        self.grants: dict[int, dict[int, Grant]] = {}  # by member and incarnation

    def grant(
        self,
        member: int,
        incarnation: int,
        request_id: int,
        in_use: EpochInterval,
        target_epoch: int,
        newest: int,
        now_us: int,
    ) -> EpochInterval:
        """Answers a lease request: "I use `in_use`, and would use `target_epoch` alone".

        `newest` is the highest epoch that this voter knows decided or has accepted. From its request on the
        member uses `in_use` or what is granted here, and nothing from before it. NO_EPOCHS where neither can
        be granted.
        """
        incarnations = self.grants.setdefault(member, {})
        previous = incarnations.get(incarnation)
        if previous is not None and request_id <= previous.request_id:
            return NO_EPOCHS
        granted = NO_EPOCHS
        if now_us >= self.grants_from_us:
            others = [
                one.interval
                for grants in self.grants.values()
                for one in grants.values()
                if one.end_us > now_us and one is not previous
            ]
            for candidate in ((target_epoch, target_epoch), in_use):
                renewable = candidate[1] >= newest and candidate[0] >= 0
                if renewable and all(overlap(candidate, one) for one in others):
                    granted = candidate
                    break
        if granted != NO_EPOCHS:
            end_us = now_us + self.lease_us + self.clock_error_us
            incarnations[incarnation] = Grant(*granted, end_us, request_id)
            self._limit_incarnations(incarnations)
        elif previous is not None:  # what was granted stands until it ends: its answer may be in flight
            previous.request_id = request_id
        return granted

    def _limit_incarnations(self, incarnations: dict[int, Grant]) -> None:
        """Keeps few incarnations of one member: ended grants go first, then the two that end first merge."""
        if len(incarnations) <= INCARNATIONS_MAX:
            return
        first, second = sorted(incarnations, key=lambda one: (incarnations[one].end_us, one))[:2]
        removed, kept = incarnations.pop(first), incarnations[second]
        if removed.end_us and kept.end_us:  # both may be in use: what overlaps both is granted beside them
            low, high = max(removed.low, kept.low), min(removed.high, kept.high)
            if low <= high:
                incarnations[second] = Grant(
                    low,
                    high,
                    max(removed.end_us, kept.end_us),
                    max(removed.request_id, kept.request_id),
                )
            else:
                incarnations[first] = removed

    def outstanding(self, now_us: int) -> dict[int, list[Grant]]:
        """Grants that have not ended, by member."""
        return {
            member: current
            for member, incarnations in self.grants.items()
            if (current := [one for one in incarnations.values() if one.end_us > now_us])
        }


@dataclass(slots=True)
class SentRequest:
    """A lease request that was sent: when, and what it asked for."""

    sent_us: int
    in_use: EpochInterval
    target_epoch: int


@dataclass(slots=True)
class LeaseHolder:
    """The epochs that one incarnation of a broker may use, by the grants that it holds."""

    lease_us: int
    voters: tuple[int, ...]  # of `target_epoch`
    in_use: EpochInterval = NO_EPOCHS  # used while there are grants for it
    target_epoch: int = 0  # the newest epoch whose state is held complete
    previous_voters: tuple[int, ...] = ()  # of the epoch before `target_epoch`, while that is in use too
    _request_id: int = 0
    _requests: dict[int, SentRequest] = field(default_factory=dict)  # by request id
    _grants: dict[int, tuple[EpochInterval, int]] = field(default_factory=dict)  # by voter: epochs, end

    def on_epoch(self, epoch: int, voters: tuple[int, ...], now_us: int) -> None:
        """An epoch is decided and its state held complete; `voters` vote on the next.

        Whoever uses the epoch before uses both; whoever missed one in between uses none until it has the new
        one.
        """
        if epoch <= self.target_epoch and self.in_use != NO_EPOCHS:
            return
        follows = self.in_use == (epoch - 1, epoch - 1) and self.is_valid(now_us)
        if epoch > self.target_epoch:
            self.target_epoch, self.previous_voters, self.voters = epoch, self.voters, voters
        if follows:
            self.in_use = (epoch - 1, epoch)
        elif self.in_use != (epoch, epoch):
            self.in_use = NO_EPOCHS

    def grantors(self) -> tuple[int, ...]:
        """Whose grants count for the epochs in use and for the target epoch."""
        switching = self.in_use != NO_EPOCHS and self.in_use[0] < self.target_epoch
        return tuple(sorted({*self.voters, *self.previous_voters})) if switching else self.voters

    def new_request(self, now_us: int) -> tuple[int, EpochInterval, int]:
        """A request to all grantors, to be sent at once: its id, the epochs in use, the target epoch."""
        if self.in_use != NO_EPOCHS and not self.is_valid(now_us):
            self.in_use = NO_EPOCHS  # the lease has ended: a late answer does not bring it back
        self._request_id += 1
        self._requests[self._request_id] = SentRequest(now_us, self.in_use, self.target_epoch)
        while len(self._requests) > REQUESTS_MAX:
            del self._requests[next(iter(self._requests))]
        return self._request_id, self.in_use, self.target_epoch

    def record_grant(self, voter: int, request_id: int, granted: EpochInterval, now_us: int) -> bool:
        """Records an answer. True where the epochs in use are others now."""
        request = self._requests.get(request_id)
        if request is None or voter not in self.grantors() or granted == NO_EPOCHS:
            return False
        if granted not in ((request.target_epoch, request.target_epoch), request.in_use):
            return False
        end_us = request.sent_us + self.lease_us
        previous = self._grants.get(voter)
        if end_us <= now_us or (previous is not None and previous[1] >= end_us):
            return False
        self._grants[voter] = granted, end_us
        if self.in_use != (self.target_epoch, self.target_epoch) and self._has_majority(
            (self.target_epoch, self.target_epoch), now_us
        ):
            self.in_use = self.target_epoch, self.target_epoch
            return True
        return False

    def _has_majority(self, interval: EpochInterval, now_us: int) -> bool:
        """Whether a majority, of each epoch's voters, grants what keeps all others off this interval."""
        low, high = interval
        granting = [
            member
            for member, (granted, end_us) in self._grants.items()
            if low <= granted[0] and granted[1] <= high and end_us > now_us
        ]
        return all(
            is_quorum(sum(member in voters for member in granting), len(voters))
            for voters in self._voters_by_epoch(interval)
        )

    def _voters_by_epoch(self, interval: EpochInterval) -> list[tuple[int, ...]]:
        """The voters of each of its epochs."""
        return [
            self.voters if epoch == self.target_epoch else self.previous_voters
            for epoch in sorted(set(interval))
        ]

    def is_valid(self, now_us: int) -> bool:
        """Whether `in_use` may be used at this moment."""
        return self.in_use != NO_EPOCHS and self._has_majority(self.in_use, now_us)

    def expires_us(self) -> int:
        """When the lease ends if no further grant arrives; 0 where there is none."""
        if self.in_use == NO_EPOCHS:
            return 0
        low, high = self.in_use
        ends_us = []
        for voters in self._voters_by_epoch(self.in_use):
            latest_first = sorted(
                (
                    end_us
                    for member, (granted, end_us) in self._grants.items()
                    if member in voters and low <= granted[0] and granted[1] <= high
                ),
                reverse=True,
            )
            quorum = len(voters) // 2 + 1
            ends_us.append(latest_first[quorum - 1] if len(latest_first) >= quorum else 0)
        return min(ends_us)


def have_common_epoch(intervals: Iterable[EpochInterval]) -> bool:
    """Whether all intervals but NO_EPOCHS have one epoch in common."""
    used = [one for one in intervals if one != NO_EPOCHS]
    return not used or max(one[0] for one in used) <= min(one[1] for one in used)

"""Leases of policy epochs, which a broker needs from a majority of the voters to use a policy. Pure.

A broker decides by epoch E only while it holds grants of E from a majority of the voters that have not
expired. The holder measures a grant by its own clock from when it sent the request. The grantor measures it
from when the request arrived, plus the configured clock error, so only the difference between the rates of
the two clocks matters (Gray and Cheriton, 1989, section 3). A broker that uses E and learns E+1 uses the
stricter combination of both, the interval [E, E+1], under its existing grants, until it holds a lease of E+1
alone.

The epochs in use at a broker form an interval, [E, E] or [E, E+1]. The broker applies the strictest limits in
the interval, so it complies with each epoch in it. A grantor grants an interval only if it overlaps the
intervals of all other unexpired grants. Any two majorities share a voter, which gives this invariant:

At any moment the intervals of all brokers that hold leases overlap pairwise. Since they are intervals, they
all share a common epoch (Helly, 1923), whose limits all these brokers comply with. No broker decides by E
while another decides by E+2, or by E+1 alone.

A voter that has accepted a value in slot E+1, or knows that E+1 is decided, renews no lease that ends at E.
Such a renewal would need a voter of the majority that chose E+1, so once E+1 is chosen every lease of E
expires within one lease length.

The set of voters may change with an epoch, by one voter at a time. A majority of n voters and a majority of
these n voters and one more share a voter, so the argument holds between neighbouring epochs. An interval of
two epochs needs a majority of the voters of each. E+2 is proposed only under a lease of E+1 alone, when no
lease of E is outstanding.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from lemonridge.rollout.paxos import is_quorum

INCARNATIONS_MAX = 4  # recorded per member; past it the two grants that expire first are merged
REQUESTS_MAX = 16  # newest lease requests, whose replies a holder accepts

EpochInterval = tuple[int, int]
NO_EPOCHS: EpochInterval = (-1, -1)  # no lease: the broker uses the floor


def overlap(first: EpochInterval, second: EpochInterval) -> bool:
    """Returns whether two intervals have an epoch in common."""
    return max(first[0], second[0]) <= min(first[1], second[1])


@dataclass(slots=True)
class Grant:
    """A grant by one voter to one incarnation of a member.

    Attributes:
        low: The first epoch of the granted interval.
        high: The last epoch of the granted interval.
        end_us: When the grant expires, by the grantor's clock.
        request_id: The id of the newest request that was answered. Requests with the same or a lower id that
            arrive later are ignored.
    """

    low: int
    high: int
    end_us: int
    request_id: int

    @property
    def interval(self) -> EpochInterval:
        """The granted epochs."""
        return self.low, self.high


class LeaseGrantor:
    """The grants of one voter.

    Grants are not durable: after a start the grantor grants nothing until every grant of its previous
    incarnation must have expired.

    Args:
        lease_us: The length of a lease in microseconds.
        clock_error_us: The maximum error between two clocks over one lease, in microseconds.
        now_us: The time of the start.
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
        newest_epoch: int,
        now_us: int,
    ) -> EpochInterval:
        """Handles a lease request.

        Once it has sent the request, the member uses `in_use` or the interval granted here, and no interval
        from before the request.

        Args:
            member: The requesting member.
            incarnation: The member's incarnation.
            request_id: The id of the request, which grows with each request of an incarnation.
            in_use: The epochs that the member uses now.
            target_epoch: The epoch that the member requests to use alone.
            newest_epoch: The highest epoch that this voter knows to be decided or has accepted.
            now_us: The current time.

        Returns:
            `target_epoch` alone if it can be granted, else `in_use` if that can be granted, else NO_EPOCHS.
        """
        incarnations = self.grants.setdefault(member, {})
        previous = incarnations.get(incarnation)
        if previous is not None and request_id <= previous.request_id:
            return NO_EPOCHS
        granted = NO_EPOCHS
        if now_us >= self.grants_from_us:
            other_intervals = [
                grant.interval
                for grants in self.grants.values()
                for grant in grants.values()
                if grant.end_us > now_us and grant is not previous
            ]
            for candidate in ((target_epoch, target_epoch), in_use):
                is_renewable = candidate[1] >= newest_epoch and candidate[0] >= 0
                if is_renewable and all(overlap(candidate, interval) for interval in other_intervals):
                    granted = candidate
                    break
        if granted != NO_EPOCHS:
            end_us = now_us + self.lease_us + self.clock_error_us
            incarnations[incarnation] = Grant(*granted, end_us, request_id)
            self._limit_incarnations(incarnations)
        elif previous is not None:  # the earlier grant stays until it expires: its reply may be in flight
            previous.request_id = request_id
        return granted

    def _limit_incarnations(self, incarnations: dict[int, Grant]) -> None:
        """Merges the two grants of a member that expire first, if too many incarnations are recorded.

        Both stay if they have no epoch in common.
        """
        if len(incarnations) <= INCARNATIONS_MAX:
            return
        first, second = sorted(
            incarnations, key=lambda incarnation: (incarnations[incarnation].end_us, incarnation)
        )[:2]
        removed, remaining = incarnations.pop(first), incarnations[second]
        if removed.end_us and remaining.end_us:
            # Both grants may be in use. Any interval that overlaps their intersection overlaps both.
            low, high = max(removed.low, remaining.low), min(removed.high, remaining.high)
            if low <= high:
                incarnations[second] = Grant(
                    low,
                    high,
                    max(removed.end_us, remaining.end_us),
                    max(removed.request_id, remaining.request_id),
                )
            else:
                incarnations[first] = removed

    def outstanding(self, now_us: int) -> dict[int, list[Grant]]:
        """Returns the grants that have not expired, by member."""
        return {
            member: unexpired
            for member, incarnations in self.grants.items()
            if (unexpired := [grant for grant in incarnations.values() if grant.end_us > now_us])
        }


@dataclass(slots=True)
class SentRequest:
    """A lease request that was sent.

    Attributes:
        sent_us: When the request was sent.
        in_use: The epochs that were in use.
        target_epoch: The epoch that was requested.
    """

    sent_us: int
    in_use: EpochInterval
    target_epoch: int


@dataclass(slots=True)
class LeaseHolder:
    """The epochs that one incarnation of a broker may use, by the grants that it holds.

    Attributes:
        lease_us: The length of a lease in microseconds.
        voters: The voters of `target_epoch`.
        in_use: The epochs in use, as long as a majority of the voters grants them (`is_valid`).
        target_epoch: The newest epoch whose complete state this broker has.
        previous_voters: The voters of the epoch before `target_epoch`, while that epoch is in use too.
    """

    lease_us: int
    voters: tuple[int, ...]
    in_use: EpochInterval = NO_EPOCHS
    target_epoch: int = 0
    previous_voters: tuple[int, ...] = ()
    _request_id: int = 0
    _requests: dict[int, SentRequest] = field(default_factory=dict)  # by request id
    _grants: dict[int, tuple[EpochInterval, int]] = field(default_factory=dict)  # by voter: epochs and expiry

    def on_epoch(self, epoch: int, voters: tuple[int, ...], now_us: int) -> None:
        """Applies a decided epoch whose complete state this broker has.

        A broker that uses the previous epoch uses both from now on. A broker that missed an epoch uses none
        until it holds a lease of the new one.

        Args:
            epoch: The decided epoch.
            voters: The voters of that epoch, which vote on the next one.
            now_us: The current time.
        """
        if epoch <= self.target_epoch and self.in_use != NO_EPOCHS:
            return
        uses_previous_epoch = self.in_use == (epoch - 1, epoch - 1) and self.is_valid(now_us)
        if epoch > self.target_epoch:
            self.target_epoch, self.previous_voters, self.voters = epoch, self.voters, voters
        if uses_previous_epoch:
            self.in_use = (epoch - 1, epoch)
        elif self.in_use != (epoch, epoch):
            self.in_use = NO_EPOCHS

    def grantors(self) -> tuple[int, ...]:
        """Returns the voters whose grants count for the epochs in use and for the target epoch."""
        is_switching = self.in_use != NO_EPOCHS and self.in_use[0] < self.target_epoch
        return tuple(sorted({*self.voters, *self.previous_voters})) if is_switching else self.voters

    def new_request(self, now_us: int) -> tuple[int, EpochInterval, int]:
        """Registers a request to all grantors, which the caller must send at once.

        Returns:
            The request id, the epochs in use and the target epoch.
        """
        if self.in_use != NO_EPOCHS and not self.is_valid(now_us):
            self.in_use = NO_EPOCHS  # the lease has expired, and a late reply must not revive it
        self._request_id += 1
        self._requests[self._request_id] = SentRequest(now_us, self.in_use, self.target_epoch)
        while len(self._requests) > REQUESTS_MAX:
            del self._requests[next(iter(self._requests))]
        return self._request_id, self.in_use, self.target_epoch

    def record_grant(self, voter: int, request_id: int, granted: EpochInterval, now_us: int) -> bool:
        """Records a grant from a voter's reply. Returns whether the epochs in use have changed."""
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
        """Returns whether a majority of each epoch's voters has granted this interval or a part of it.

        Such grants exclude, at every other broker, the intervals that do not overlap this one.
        """
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
        """Returns the voters of each epoch of the interval."""
        return [
            self.voters if epoch == self.target_epoch else self.previous_voters
            for epoch in sorted(set(interval))
        ]

    def is_valid(self, now_us: int) -> bool:
        """Returns whether the epochs in use may be used at this moment."""
        return self.in_use != NO_EPOCHS and self._has_majority(self.in_use, now_us)

    def expires_us(self) -> int:
        """Returns when the lease expires if no further grant arrives; 0 if there is no lease."""
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
    """Returns whether all intervals other than NO_EPOCHS share a common epoch."""
    used = [interval for interval in intervals if interval != NO_EPOCHS]
    return not used or max(interval[0] for interval in used) <= min(interval[1] for interval in used)

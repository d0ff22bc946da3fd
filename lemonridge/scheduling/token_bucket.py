"""A token bucket of which each of several hosts fills a part.

All times are whole microseconds; rates of a bucket are units a second.
"""

from __future__ import annotations

NEVER_US = 1 << 62
ROUNDING_MARGIN_UNITS = 1e-6  # keeps sums of fractions below a limit that must not be exceeded


class QuotaSchedule:
    """A host's part of a quota that several hosts share: `part` until `until_us`, `after` from then on.

    The end is held here, so a host that receives nothing more, or did not run for a while, applies it as
    soon as it counts again.
    """

    __slots__ = ("after", "part", "until_us")

    def __init__(self, part: float) -> None:
        self.part = part
        self.until_us = 0
        self.after = part

    def set(self, part: float, until_us: int, after: float) -> None:
        """Replaces the schedule."""
        self.part, self.until_us, self.after = part, until_us, after

    def at(self, at_us: int) -> float:
        """The part at a time."""
        return self.part if at_us < self.until_us else self.after

    def integral(self, from_us: int, to_us: int) -> float:
        """The part summed over a time, in parts times microseconds."""
        before_us = max(0, min(to_us, self.until_us) - from_us)
        return self.part * before_us + self.after * (to_us - from_us - before_us)


class TokenBucket:
    """This host's part of a bucket that all hosts share.

    It starts empty: a restart looks like a first start, and a host that is killed must not gain a
    burst. Its capacity is an even part for each host, whatever their parts of the rate are, so the sum of
    what all hosts have saved is bounded without messages between them; only rates move.

    Units that are drawn stay in flight until a response shows that they reached an endpoint, or their
    request is over, and no more is saved beside them than the capacity leaves: an endpoint counts a request
    when it arrives (PROTOCOL), so a bucket that had refilled meanwhile would exceed the limit by another
    burst. The same holds for what the process that handed the limit over may still send, until a time that
    it states.

    Attributes:
        tokens: Units that may be drawn; negative is a debt.
        refilled_us: When it was last refilled.
        refill_sign: 1, or -1 after a handover: the tokens kept drain as the successor's refill.
        quota: This host's part of the rate.
        rate: The rate of all hosts.
        capacity: The most units, of this host; negative before the first `resize`.
        in_flight: Units drawn that may still reach an endpoint.
        predecessor_debt: Units that the process before may still send.
        predecessor_debt_until_us: Until when.
    """

    __slots__ = (
        "capacity",
        "in_flight",
        "predecessor_debt",
        "predecessor_debt_until_us",
        "quota",
        "rate",
        "refill_sign",
        "refilled_us",
        "tokens",
    )

    def __init__(self, since_us: int, refill_sign: float = 1.0) -> None:
        self.tokens = 0.0
        self.refilled_us = since_us
        self.refill_sign = refill_sign
        self.quota = QuotaSchedule(1.0)
        self.rate = 0.0
        self.capacity = -1.0
        self.in_flight = 0.0
        self.predecessor_debt = 0.0
        self.predecessor_debt_until_us = 0

    def resize(self, now_us: int, rate: float, capacity: float, hosts: int, split_evenly: bool) -> None:
        """Sets rate and capacity from now on; the first time, from the bucket's start on.

        Args:
            now_us: The present time.
            rate: Units a second of all hosts.
            capacity: Units of all hosts.
            hosts: How many hosts share it.
            split_evenly: Gives each host an even part of the rate, until `set_quota` gives another.
        """
        has_size = self.capacity >= 0
        if has_size:
            self.refill(now_us)
        if split_evenly or not has_size:
            self.quota = QuotaSchedule(1 / hosts)
        self.rate, self.capacity = rate, capacity / hosts

    def refill(self, now_us: int) -> float:
        """Refills up to now and returns the tokens."""
        if self.predecessor_debt and self.predecessor_debt_until_us < now_us:
            self._refill(max(self.refilled_us, self.predecessor_debt_until_us))
            self.predecessor_debt = 0.0
        self._refill(now_us)
        return self.tokens

    def _refill(self, now_us: int) -> None:
        self.tokens += self.refill_sign * self.rate * self.quota.integral(self.refilled_us, now_us) / 1e6
        free = self.capacity - self.in_flight - self.predecessor_debt
        self.tokens, self.refilled_us = max(0.0, min(free, self.tokens)), now_us

    def set_predecessor_debt(self, units: float, until_us: int) -> None:
        """Reserves capacity for units that the process before may still send, until then."""
        self.predecessor_debt, self.predecessor_debt_until_us = units, until_us

    def set_quota(self, since_us: int, part: float, until_us: int, after: float) -> None:
        """Sets another part of the rate, from `since_us` on if that is not refilled yet."""
        self.refill(max(since_us, self.refilled_us))
        self.quota.set(part, until_us, after)

    def draw(self, units: float, now_us: int) -> None:
        """Takes units out, which may leave a debt."""
        self.tokens = self.refill(now_us) - units

    def settle(self, units: float, now_us: int, returned: bool) -> None:
        """Takes units out of flight: they have reached an endpoint, or are returned as they never will."""
        self.refill(now_us)
        self.in_flight = max(0.0, self.in_flight - units)
        self.tokens += units if returned else 0.0

    def wait_us(self, units: float, now_us: int) -> int:
        """How long until the bucket holds `units`; NEVER_US if it never will."""
        lacking = (units + ROUNDING_MARGIN_UNITS - self.refill(now_us)) * 1e6
        if lacking <= 0:
            return 0
        quota = self.quota
        before_change = self.rate * quota.part * max(0, quota.until_us - now_us)
        if self.refill_sign <= 0 or (before_change < lacking and quota.after * self.rate <= 0):
            return NEVER_US
        if before_change >= lacking:
            return int(lacking / (self.rate * quota.part)) + 1
        remaining = lacking - before_change
        return max(0, quota.until_us - now_us) + int(remaining / (self.rate * quota.after)) + 1

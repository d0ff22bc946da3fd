"""A token bucket whose rate and capacity are shared by several hosts.

All times are integer microseconds; the rate of a bucket is in units per second.
"""

from __future__ import annotations

NEVER_US = 1 << 62
ROUNDING_MARGIN_UNITS = 1e-6  # keeps rounding errors in sums from exceeding a strict limit


class QuotaSchedule:
    """A host's part of a quota that several hosts share: `part` until `until_us`, `after` from then on.

    The schedule includes its own end, so that a host which receives no further messages, or did not run for a
    while, still applies the end at the next calculation.

    Attributes:
        part: The part until `until_us`.
        until_us: The time at which `part` ends.
        after: The part from `until_us` on.
    """

    __slots__ = ("after", "part", "until_us")

    def __init__(self, part: float) -> None:
        self.part = part
        self.until_us = 0
        self.after = part

    def set(self, part: float, until_us: int, after: float) -> None:
        """Replaces the values of the schedule."""
        self.part, self.until_us, self.after = part, until_us, after

    def at(self, at_us: int) -> float:
        """Returns the part at the given time."""
        return self.part if at_us < self.until_us else self.after

    def integral(self, from_us: int, to_us: int) -> float:
        """Returns the integral of the part over a time range, in parts times microseconds."""
        before_us = max(0, min(to_us, self.until_us) - from_us)
        return self.part * before_us + self.after * (to_us - from_us - before_us)


class TokenBucket:
    """This host's part of a token bucket that all hosts share.

    The bucket starts empty: a restart cannot be distinguished from a first start, and a host that is killed
    must not gain a burst. Each host has an equal share of the capacity, regardless of its part of the rate.
    This bounds the sum of the tokens of all hosts without messages between them; hosts lend each other only
    parts of the rate.

    Units that are drawn stay in flight until a response shows that they have reached an endpoint, or until
    their request ends. Units in flight reduce the capacity: an endpoint counts a request when the request
    arrives (PROTOCOL), so a bucket that had been refilled in the meantime would exceed the limit by another
    burst. The same applies to the units that the process which handed over the limit may still send, until a
    time that it specifies.

    Attributes:
        tokens: The units that may be drawn. Negative after a draw of more units than the bucket held, until
            the next refill, which raises a negative value to 0.
        refilled_us: The time of the last refill.
        refill_sign: 1, or -1 after a handover: the remaining tokens then decrease at the rate at which the
            successor's bucket is refilled.
        quota: This host's part of the rate.
        rate: The rate of all hosts together, in units per second.
        capacity: The maximum number of units for this host; negative before the first `resize`.
        in_flight: The units drawn that may still reach an endpoint.
        predecessor_debt: The units that the previous process may still send.
        predecessor_debt_until_us: Until when the previous process may send them.
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
        """Sets the rate and the capacity from now on; the first call applies from the start of the bucket.

        Args:
            now_us: The current time.
            rate: The rate of all hosts together, in units per second.
            capacity: The capacity of all hosts together, in units.
            hosts: The number of hosts that share the bucket.
            split_evenly: Whether to reset this host's part of the rate to an equal share, until the next call
                of `set_quota`.
        """
        has_size = self.capacity >= 0
        if has_size:
            self.refill(now_us)
        if split_evenly or not has_size:
            self.quota = QuotaSchedule(1 / hosts)
        self.rate, self.capacity = rate, capacity / hosts

    def refill(self, now_us: int) -> float:
        """Refills the bucket up to now and returns its tokens."""
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
        """Reserves capacity until `until_us` for units that the previous process may still send."""
        self.predecessor_debt, self.predecessor_debt_until_us = units, until_us

    def set_quota(self, since_us: int, part: float, until_us: int, after: float) -> None:
        """Sets a new part of the rate.

        The new part applies from `since_us` on, or from the last refill if that is later.
        """
        self.refill(max(since_us, self.refilled_us))
        self.quota.set(part, until_us, after)

    def draw(self, units: float, now_us: int) -> None:
        """Draws units from the bucket, even if it holds fewer."""
        self.tokens = self.refill(now_us) - units

    def settle(self, units: float, now_us: int, returned: bool) -> None:
        """Removes units from those in flight.

        Args:
            units: The units.
            now_us: The current time.
            returned: Whether the units are returned to the bucket because they will never reach an endpoint.
                Otherwise they have reached one.
        """
        self.refill(now_us)
        self.in_flight = max(0.0, self.in_flight - units)
        self.tokens += units if returned else 0.0

    def wait_us(self, units: float, now_us: int) -> int:
        """Returns the time in microseconds until the bucket holds `units`, or NEVER_US if it never will."""
        missing_micro_units = (units + ROUNDING_MARGIN_UNITS - self.refill(now_us)) * 1e6
        if missing_micro_units <= 0:
            return 0
        quota = self.quota
        micro_units_before_change = self.rate * quota.part * max(0, quota.until_us - now_us)
        if self.refill_sign <= 0 or (
            micro_units_before_change < missing_micro_units and quota.after * self.rate <= 0
        ):
            return NEVER_US
        if micro_units_before_change >= missing_micro_units:
            return int(missing_micro_units / (self.rate * quota.part)) + 1
        remaining_micro_units = missing_micro_units - micro_units_before_change
        return max(0, quota.until_us - now_us) + int(remaining_micro_units / (self.rate * quota.after)) + 1

"""A token bucket of which several hosts each fill a share."""

from __future__ import annotations

NEVER_US = 1 << 62  # a time that does not come
ROUNDING_MARGIN_UNITS = 1e-6  # keeps sums of fractions below a limit that must not be passed


class QuotaSchedule:
    """A host's part of what all hosts have together: `part` until `until_us`, `after` from then on.

    The end stands in the share itself, so that a host which hears nothing more, or did not run for a while,
    goes by it as soon as it counts again.
    """

    __slots__ = ("part", "until_us", "after")

    def __init__(self, part: float) -> None:
        self.part, self.until_us, self.after = part, 0, part

    def set(self, part: float, until_us: int, after: float) -> None:
        self.part, self.until_us, self.after = part, until_us, after

    def at(self, at_us: int) -> float:
        return self.part if at_us < self.until_us else self.after

    def integral(self, from_us: int, to_us: int) -> float:
        """The part added up over a time, in microseconds."""
        before = max(0, min(to_us, self.until_us) - from_us)
        return self.part * before + self.after * (to_us - from_us - before)


class TokenBucket:
    """A store of units, for all hosts of which each fills a share of it.

    It starts empty: a restart cannot be told from a first start, and killing a host must never mint a fresh
    burst. What it holds at most is an even part for each host, whatever the shares of its rate are: so the
    sum of what all hosts have saved up is held without a word between them, and only rates move.

    What is drawn may be on its way for a while, and no more is saved up beside it than there is room for: a
    node counts a request when it comes, and a store that filled up meanwhile would send a whole one more. It
    is on its way until an answer shows that it came, or its request is over: what a silent node was sent may
    come with its repeat only. So what is saved and what is on its way never pass this host's part together,
    and the parts of all hosts never pass the whole, whenever each of them comes.

    The same holds for what a process that handed its limits over may still bring to a node: until a moment
    that it tells, there is that much less room.
    """

    __slots__ = (
        "tokens",
        "refilled_us",
        "refill_sign",
        "quota",
        "rate",
        "capacity",
        "in_flight",
        "predecessor_debt",
        "predecessor_debt_until_us",
    )

    def __init__(self, born_us: int, flow: float = 1.0) -> None:
        self.tokens, self.refilled_us, self.refill_sign, self.quota = 0.0, born_us, flow, QuotaSchedule(1.0)
        self.rate, self.capacity = 0.0, -1.0  # no size yet
        self.in_flight = 0.0  # units on their way
        self.predecessor_debt, self.predecessor_debt_until_us = (
            0.0,
            0,
        )  # units of the process before, and until when they may come

    def resize(self, now_us: int, rate: float, top: float, hosts: int, even: bool) -> None:
        """Go by `rate` units a second and `top` units for all of `hosts` from now on; `even` makes the
        shares even, until others are told.
        """
        if self.capacity >= 0:  # at its first size what came in since its birth is still to come
            self.refill(now_us)
        if even or self.capacity < 0:
            self.quota = QuotaSchedule(1 / hosts)
        self.rate, self.capacity = rate, top / hosts

    def refill(self, now_us: int) -> float:
        """The level. A store that was handed over has a flow of -1: what was kept ebbs as the successor's
        fills, since a store that is full would else fill on in two places.
        """
        if self.predecessor_debt and self.predecessor_debt_until_us < now_us:
            self._refill(max(self.refilled_us, self.predecessor_debt_until_us))
            self.predecessor_debt = 0.0
        self._refill(now_us)
        return self.tokens

    def _refill(self, now_us: int) -> None:
        self.tokens += self.refill_sign * self.rate * self.quota.integral(self.refilled_us, now_us) / 1e6
        room = self.capacity - self.in_flight - self.predecessor_debt
        self.tokens, self.refilled_us = max(0.0, min(room, self.tokens)), now_us

    def set_predecessor_debt(self, units: float, until_us: int) -> None:
        """The process before may still bring so many units to a node, until then."""
        self.predecessor_debt, self.predecessor_debt_until_us = units, until_us

    def set_quota(self, since_us: int, part: float, until_us: int, after: float) -> None:
        """Another share since a moment ago: until then the one before counts."""
        self.refill(max(since_us, self.refilled_us))
        self.quota.set(part, until_us, after)

    def draw(self, units: float, now_us: int) -> None:
        """Take units out, which may leave a debt until it fills again."""
        self.tokens = self.refill(now_us) - units

    def settle(self, units: float, now_us: int, back: bool) -> None:
        """Units are on their way no more: they came to a node, or go `back`, as their request never did."""
        self.refill(now_us)
        self.in_flight = max(0.0, self.in_flight - units)
        self.tokens += units if back else 0.0

    def wait_us(self, units: float, now_us: int) -> int:
        """How long until the store holds `units`, at the share of now and then at the one after."""
        lack, share = (units + ROUNDING_MARGIN_UNITS - self.refill(now_us)) * 1e6, self.quota
        if lack <= 0:
            return 0
        soon = self.rate * share.part * max(0, share.until_us - now_us)
        if self.refill_sign <= 0 or (soon < lack and share.after * self.rate <= 0):
            return NEVER_US
        if soon >= lack:
            return int(lack / (self.rate * share.part)) + 1
        return max(0, share.until_us - now_us) + int((lack - soon) / (self.rate * share.after)) + 1

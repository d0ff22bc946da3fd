"""The real program with a clock that is off, or with a fault planted in what the fleet shares and decides.

`cli/mutant.py` starts it so, in place of the program, so that nothing of this stands in it.
"""

from __future__ import annotations

import time
from collections.abc import Callable

from lemonridge.scheduling.settings import Settings


def shift_clock(offset_ms: float) -> None:
    """Unix time is off by so much, for whoever asks."""
    real_ns, real = time.time_ns, time.time
    time.time_ns = lambda: real_ns() + int(offset_ms * 1e6)
    time.time = lambda: real() + offset_ms / 1e3


def _lends_unlowered() -> None:
    from lemonridge.fleet.quota_lending import Budget, QuotaLedger

    def mine(self: QuotaLedger, pool: Budget, now_us: int) -> int:
        return pool.base

    QuotaLedger.mine = mine  # type: ignore[method-assign]


def _keeps_for_ever() -> None:
    from lemonridge.fleet import quota_lending
    from lemonridge.fleet.datagrams import LoanGrant

    real = quota_lending.QuotaLedger.on_grant

    def lent(
        self: quota_lending.QuotaLedger, peer: int, incarnation: int, told: LoanGrant, now_us: int
    ) -> bool:
        done = real(self, peer, incarnation, told, now_us)
        for pool in self.budgets.values():
            for one in pool.borrowed.values():
                one.end_us = now_us + 3_600_000_000
        return done

    quota_lending.QuotaLedger.on_grant = lent  # type: ignore[method-assign]


def _forgets_its_loans() -> None:
    from lemonridge.fleet import quota_lending

    real = quota_lending.QuotaLedger.__init__

    def begin(
        self: quota_lending.QuotaLedger, me: int, incarnation: int, first_ask: int, error_us: int, now_us: int
    ) -> None:
        real(self, me, incarnation, first_ask, error_us, now_us)
        self.floors_until_us = now_us

    quota_lending.QuotaLedger.__init__ = begin  # type: ignore[method-assign]


def _spends_further() -> None:
    from lemonridge import scheduling
    from lemonridge.scheduling.token_bucket import TokenBucket

    class Bottomless(TokenBucket):
        def refill(self, now_us: int) -> float:
            super().refill(now_us)
            return 1e9

    real = scheduling.Scheduler.__init__

    def begin(
        self: scheduling.Scheduler, settings: Settings, seed: int, host_confirms_start: bool = False
    ) -> None:
        real(self, settings, seed, host_confirms_start)
        self.retries.fleet_retries = Bottomless(0)

    scheduling.Scheduler.__init__ = begin  # type: ignore[method-assign]


def _liar() -> None:
    """Says of every endpoint that it cannot be reached, all the time."""
    from lemonridge.fleet import fleet_member, health_gossip

    real = fleet_member.FleetMember.ended

    def ended(
        self: fleet_member.FleetMember, endpoint: int, seen: health_gossip.ObservedOutcome, now_us: int
    ) -> bool:
        real(self, endpoint, health_gossip.ObservedOutcome.CONNECT_FAILED, now_us)
        self._told_us = now_us - fleet_member.REPORT_INTERVAL_US
        return False

    fleet_member.FleetMember.ended = ended  # type: ignore[method-assign]


def _believes_one() -> None:
    from lemonridge.fleet import health_gossip

    health_gossip.AGREEMENT_MIN = 1


def _decides_at_once() -> None:
    """After a stop, by what was known before it."""
    from lemonridge.core import stall_detector

    stall_detector.CATCH_UP_S = 0.0


def _serves_on() -> None:
    """Goes on by what it once had a lease for, whether it has ended or not."""
    from lemonridge.rollout import leases

    def valid(self: leases.Holder, now_us: int) -> bool:
        return self.uses != leases.NOTHING

    leases.Holder.valid = valid  # type: ignore[method-assign]


def _switches_at_once() -> None:
    """Goes by a new policy alone as soon as it is known, and says so to nobody."""
    from lemonridge.rollout import leases

    real = leases.Holder.learnt

    def learnt(self: leases.Holder, epoch: int, voters: tuple[int, ...], now_us: int) -> None:
        real(self, epoch, voters, now_us)
        self.uses = (epoch, epoch)

    leases.Holder.learnt = learnt  # type: ignore[method-assign]
    leases.Holder.valid = lambda self, now_us: self.uses != leases.NOTHING  # type: ignore[method-assign]


FAULTS: dict[str, Callable[[], None]] = {
    "lends-unlowered": _lends_unlowered,
    "keeps-for-ever": _keeps_for_ever,
    "forgets-its-loans": _forgets_its_loans,
    "spends-further": _spends_further,
    "liar": _liar,
    "believes-one": _believes_one,
    "decides-at-once": _decides_at_once,
    "serves-on": _serves_on,
    "switches-at-once": _switches_at_once,
}

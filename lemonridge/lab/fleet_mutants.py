"""Plants a shifted clock or a fault of shared state and decisions in the real program.

`cli/mutant.py` applies one of them and then runs the program, which contains none of this code.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Iterable

from lemonridge.scheduling.settings import Settings


def shift_clock(offset_ms: float) -> None:
    """Shifts the Unix time of the whole process by an offset in milliseconds."""
    real_ns, original = time.time_ns, time.time
    time.time_ns = lambda: real_ns() + int(offset_ms * 1e6)
    time.time = lambda: original() + offset_ms / 1e3


def _use_lent_parts() -> None:
    """Makes a lender continue to use the parts that it has lent."""
    from lemonridge.fleet.quota_ledger import Budget, QuotaLedger

    def available_own_parts(self: QuotaLedger, budget: Budget, now_us: int) -> int:
        return budget.owned

    QuotaLedger.available_own_parts = available_own_parts  # type: ignore[method-assign]


def _never_end_loans() -> None:
    """Makes a borrower use a loan past its end."""
    from lemonridge.fleet import quota_ledger
    from lemonridge.fleet.datagrams import LoanGrant

    original = quota_ledger.QuotaLedger.on_grant

    def on_grant(
        self: quota_ledger.QuotaLedger, lender: int, incarnation: int, grant: LoanGrant, now_us: int
    ) -> bool:
        changed = original(self, lender, incarnation, grant, now_us)
        for budget in self.budgets.values():
            for loan in budget.loans_in.values():
                loan.end_us = now_us + 3_600_000_000
        return changed

    quota_ledger.QuotaLedger.on_grant = on_grant  # type: ignore[method-assign]


def _skip_floors_at_start() -> None:
    """Makes a restarted broker assume that it has granted no loans."""
    from lemonridge.fleet import quota_ledger

    original = quota_ledger.QuotaLedger.__init__

    def initialize(
        self: quota_ledger.QuotaLedger,
        own_id: int,
        incarnation: int,
        first_request_id: int,
        clock_error_us: int,
        now_us: int,
        others: Iterable[int] = (),
    ) -> None:
        original(self, own_id, incarnation, first_request_id, clock_error_us, now_us, others)
        self.floors_until_us = now_us

    quota_ledger.QuotaLedger.__init__ = initialize  # type: ignore[method-assign]


def _unbounded_retries() -> None:
    """Makes the budget of retries unlimited."""
    from lemonridge import scheduling
    from lemonridge.scheduling.token_bucket import TokenBucket

    class UnboundedBucket(TokenBucket):
        def refill(self, now_us: int) -> float:
            super().refill(now_us)
            return 1e9

    original = scheduling.Scheduler.__init__

    def initialize(
        self: scheduling.Scheduler, settings: Settings, seed: int, host_confirms_start: bool = False
    ) -> None:
        original(self, settings, seed, host_confirms_start)
        self.retries.fleet_retries = UnboundedBucket(0)

    scheduling.Scheduler.__init__ = initialize  # type: ignore[method-assign]


def _report_all_unreachable() -> None:
    """Makes a broker report every endpoint as unreachable, all the time."""
    from lemonridge.fleet import gossip, health_gossip

    original = gossip.Gossip.record_outcome

    def record_outcome(
        self: gossip.Gossip, endpoint_key: int, outcome: health_gossip.ObservedOutcome, now_us: int
    ) -> bool:
        original(self, endpoint_key, health_gossip.ObservedOutcome.CONNECT_FAILED, now_us)
        self.reported_us = now_us - gossip.REPORT_INTERVAL_US
        return False

    gossip.Gossip.record_outcome = record_outcome  # type: ignore[method-assign]


def _agree_with_one_report() -> None:
    """Makes a single report on an endpoint count as agreed."""
    from lemonridge.fleet import health_gossip

    health_gossip.AGREEMENT_MIN = 1


def _decide_during_catch_up() -> None:
    """Makes a broker decide right after a stop, before it has read the input that arrived meanwhile."""
    from lemonridge.core import stall_detector

    stall_detector.CATCH_UP_S = 0.0


def _ignore_lease_end() -> None:
    """Makes a broker use the epochs of its last lease after the lease has ended."""
    from lemonridge.rollout import leases

    def is_valid(self: leases.LeaseHolder, now_us: int) -> bool:
        return self.in_use != leases.NO_EPOCHS

    leases.LeaseHolder.is_valid = is_valid  # type: ignore[method-assign]


def _switch_before_leases_end() -> None:
    """Makes a broker use a new policy alone as soon as it knows it."""
    from lemonridge.rollout import leases

    original = leases.LeaseHolder.on_epoch

    def on_epoch(self: leases.LeaseHolder, epoch: int, voters: tuple[int, ...], now_us: int) -> None:
        original(self, epoch, voters, now_us)
        self.in_use = (epoch, epoch)

    leases.LeaseHolder.on_epoch = on_epoch  # type: ignore[method-assign]
    leases.LeaseHolder.is_valid = (  # type: ignore[method-assign]
        lambda self, now_us: self.in_use != leases.NO_EPOCHS
    )


# By name, as given to `cli/mutant.py`: the function that plants the fault.
FAULTS: dict[str, Callable[[], None]] = {
    "lends-unlowered": _use_lent_parts,
    "keeps-for-ever": _never_end_loans,
    "forgets-its-loans": _skip_floors_at_start,
    "spends-further": _unbounded_retries,
    "liar": _report_all_unreachable,
    "believes-one": _agree_with_one_report,
    "decides-at-once": _decide_during_catch_up,
    "serves-on": _ignore_lease_end,
    "switches-at-once": _switch_before_leases_end,
}

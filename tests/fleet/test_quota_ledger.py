"""The quota ledger: every state of a small fleet, random histories of larger ones, mutants."""

from __future__ import annotations

import unittest
import unittest.mock
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

import lemonridge.fleet.quota_ledger as ledger_module
from lemonridge.fleet.datagrams import Item, LoanGrant, LoanRecall, LoanRecallAck, LoanRequest
from lemonridge.fleet.quota_ledger import (
    FLOOR_DIVISOR,
    LOAN_DURATION_US,
    TOTAL_PARTS,
    BudgetKey,
    BudgetKind,
    QuotaLedger,
)
from lemonridge.lab.checkers import escrow
from lemonridge.lab.checkers.escrow import ALL_USE, MUTANTS, TWO_USE, Bounds, search, with_mutant

TIGHT = {
    "GrantNeverExpiresMutant": Bounds(1, duplicates=0, restarts=0, slow_clocks=0),
    "NoClockErrorMarginMutant": Bounds(1, duplicates=0, restarts=0),
    "ExpiryFromReceiptMutant": Bounds(1, duplicates=0, restarts=0, slow_clocks=0),
    "GrantAfterReleaseMutant": Bounds(1, restarts=0, slow_clocks=0),
    "PreviousIncarnationMutant": Bounds(1, duplicates=0, slow_clocks=0, budgets=(TWO_USE,)),
}


class EveryState(unittest.TestCase):
    """Three brokers, two budgets; docs/fleet-state.md tells the larger bounds, which a command runs."""

    def test_no_reachable_state_exceeds_a_budget(self) -> None:
        for bounds in (
            Bounds(1, duplicates=0, slow_clocks=0, recalls=1, budgets=(TWO_USE,)),
            Bounds(1, restarts=0),
            Bounds(2, in_flight=1, duplicates=0, restarts=0, budgets=(TWO_USE,)),
        ):
            found = search(bounds)
            self.assertEqual((found.broken, found.whole), ("", True), found.path)
            self.assertGreater(found.states, 1000)

    def test_each_mutant_is_found(self) -> None:
        for kind in MUTANTS:
            found = search(TIGHT.get(kind.__name__, Bounds(1, duplicates=0)), with_mutant(kind))
            self.assertTrue(found.broken, kind.__name__)
            self.assertLess(len(found.path), 12)


class Histories(unittest.TestCase):
    """Larger fleets, long histories: loss, doubling, long delays, restarts, clocks that run apart."""

    @settings(max_examples=60, deadline=None, derandomize=True)
    @given(seed=st.integers(0, 1 << 32), brokers=st.integers(2, 9), hosts=st.integers(2, 5))
    def test_quotas_never_add_up_to_more_than_the_whole(self, seed: int, brokers: int, hosts: int) -> None:
        random, hosts = Random(seed), min(brokers, hosts)
        users = random.sample(range(brokers), hosts)
        error_us, now = 50_000, 1_000_000_000
        lags = [random.randrange(10**9) for _ in range(brokers)]  # clocks need not agree at all
        drift = [random.uniform(1 - 0.015, 1.015) for _ in range(brokers)]  # 3% of a span is the stated error
        begun = now - 10 * LOAN_DURATION_US

        def clock(n: int) -> int:
            return lags[n] + int((now - begun) * drift[n])

        def make(n: int, incarnation: int) -> QuotaLedger:
            others = [o for o in range(brokers) if o != n]
            made = QuotaLedger(n, incarnation, random.randrange(1 << 20), error_us, clock(n), others)
            if n in users:
                made.open_budget(key, TOTAL_PARTS // hosts, hosts, True, clock(n))
            return made

        key, largest = BudgetKey(int(BudgetKind.LIMIT), 7), 0
        ledgers = [make(n, 1) for n in range(brokers)]
        messages: list[tuple[int, int, int, Item]] = []
        now += 3 * LOAN_DURATION_US
        for _ in range(400):
            now += random.choice((0, 1000, 50_000, 400_000))
            n = random.randrange(brokers)
            draw = random.random()
            if draw < 0.3 and n in users:
                ledgers[n].budgets[key].demand = random.choice((0, TOTAL_PARTS // 2, TOTAL_PARTS))
                request = ledgers[n].make_request(key, clock(n))
                messages += [(n, o, ledgers[n].incarnation, request) for o in range(brokers) if o != n]
            elif draw < 0.33 and n in users:
                messages += [
                    (n, to, ledgers[n].incarnation, item) for to, item in ledgers[n].return_loans(key)
                ]
            elif draw < 0.36:
                ledgers[n] = make(n, ledgers[n].incarnation + 1)
            if clock(n) < ledgers[n].floors_until_us:
                messages += [
                    (n, o, ledgers[n].incarnation, LoanRecall()) for o in ledgers[n].unacknowledged_peers()
                ]
            for _ in range(random.randrange(8)):
                if not messages:
                    break
                index = random.randrange(len(messages))
                by, to, incarnation, item = messages[index]
                if random.random() < 0.8:
                    del messages[index]
                if random.random() < 0.2:
                    continue
                if isinstance(item, LoanRequest):
                    grant = ledgers[to].on_request(by, incarnation, item, clock(to))
                    messages.append((to, by, ledgers[to].incarnation, grant))
                elif isinstance(item, LoanRecall):
                    messages.append((to, by, ledgers[to].incarnation, ledgers[to].on_recall(by, incarnation)))
                elif isinstance(item, LoanRecallAck):
                    ledgers[to].on_recall_ack(by, item, clock(to))
                elif isinstance(item, LoanGrant):
                    ledgers[to].on_grant(by, incarnation, item, clock(to))
                else:
                    ledgers[to].on_release(by, incarnation, item)
            del messages[:-40]
            parts = [ledgers[u].quota(key, clock(u)).parts for u in users]
            largest = max(largest, *parts)
            self.assertLessEqual(sum(parts), TOTAL_PARTS, parts)
            for u in users:
                self.assertGreaterEqual(parts[users.index(u)], TOTAL_PARTS // hosts // FLOOR_DIVISOR)


class OneLedger(unittest.TestCase):
    """What one broker does."""

    def pair(self, hosts: int = 2) -> tuple[QuotaLedger, QuotaLedger]:
        made = [escrow.make_ledger(n, 1, 0) for n in range(2)]
        for one in made:
            one.open_budget(TWO_USE, TOTAL_PARTS // hosts, hosts, True, 0)
            one.clock_error_us = 50_000
        return made[0], made[1]

    def test_a_fresh_start_lends_nothing_and_has_its_floor(self) -> None:
        a, b = self.pair()
        self.assertEqual(a.quota(TWO_USE, 10).parts, TOTAL_PARTS // 2 // FLOOR_DIVISOR)
        self.assertEqual(b.on_request(0, 1, a.make_request(TWO_USE, 10), 10).parts, 0)
        self.assertEqual(a.quota(TWO_USE, a.floors_until_us).parts, TOTAL_PARTS // 2)

    def test_a_lender_keeps_what_it_needs_and_its_floor(self) -> None:
        a, b = self.pair()
        now = a.floors_until_us
        a.budgets[TWO_USE].demand = TOTAL_PARTS
        self.assertEqual(
            b.on_request(0, 1, a.make_request(TWO_USE, now), now).parts,
            TOTAL_PARTS // 2 - TOTAL_PARTS // 2 // FLOOR_DIVISOR,
        )
        b.budgets[TWO_USE].demand = TOTAL_PARTS // 4
        self.assertEqual(b.on_request(0, 1, a.make_request(TWO_USE, now), now).parts, TOTAL_PARTS // 4)
        self.assertEqual(b.quota(TWO_USE, now).parts, TOTAL_PARTS // 2 // FLOOR_DIVISOR)  # the largest counts

    def test_a_request_with_another_number_of_hosts_changes_no_quota(self) -> None:
        a, b = self.pair()
        now = a.floors_until_us
        grant = b.on_request(0, 1, LoanRequest(*TWO_USE, 200, 7, TOTAL_PARTS, 1500), now)
        self.assertEqual((grant.parts, b.quota(TWO_USE, now).parts), (0, TOTAL_PARTS // 2))

    def test_too_many_loans_count_as_the_largest_and_longest(self) -> None:
        a, b = self.pair()
        now = a.floors_until_us
        a.budgets[TWO_USE].demand = TOTAL_PARTS
        for step in range(40):
            b.on_request(0, 1, a.make_request(TWO_USE, now + step), now + step)
        self.assertLessEqual(len(b.budgets[TWO_USE].loans_out[0]), 9)
        self.assertEqual(
            b.quota(TWO_USE, now + LOAN_DURATION_US + 50_030).parts, TOTAL_PARTS // 2 // FLOOR_DIVISOR
        )
        self.assertEqual(b.quota(TWO_USE, now + LOAN_DURATION_US + 50_040).parts, TOTAL_PARTS // 2)

    def test_budgets_are_bounded_and_idle_ones_are_dropped(self) -> None:
        a, _ = self.pair()
        with unittest.mock.patch.object(ledger_module, "BUDGETS_MAX", 2):
            self.assertIsNotNone(a.open_budget(ALL_USE, 1, 3, True, 0))
            self.assertIsNone(a.open_budget(BudgetKey(1, 99), 1, 3, True, 0))
        self.assertEqual(a.budgets_refused, 1)
        self.assertEqual(sorted(a.drop_idle(100, 50)), [ALL_USE, TWO_USE])

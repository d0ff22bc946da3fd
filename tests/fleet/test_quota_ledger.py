"""The quota ledger: all states of a small fleet, random histories of larger fleets, and mutants."""

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

# The bounds in which a mutant is searched for, where they differ from Bounds(1, duplicates=0).
MUTANT_BOUNDS = {
    "GrantNeverExpiresMutant": Bounds(1, duplicates=0, restarts=0, slow_clocks=0),
    "NoClockErrorMarginMutant": Bounds(1, duplicates=0, restarts=0),
    "ExpiryFromReceiptMutant": Bounds(1, duplicates=0, restarts=0, slow_clocks=0),
    "GrantAfterReleaseMutant": Bounds(1, restarts=0, slow_clocks=0),
    "PreviousIncarnationMutant": Bounds(1, duplicates=0, slow_clocks=0, budgets=(TWO_USE,)),
}


class ReachableStates(unittest.TestCase):
    """Three brokers and two budgets; a command searches the larger bounds in docs/fleet-state.md."""

    def test_no_reachable_state_exceeds_a_budget(self) -> None:
        for bounds in (
            Bounds(1, duplicates=0, slow_clocks=0, recalls=1, budgets=(TWO_USE,)),
            Bounds(1, restarts=0),
            Bounds(2, in_flight=1, duplicates=0, restarts=0, budgets=(TWO_USE,)),
        ):
            result = search(bounds)
            self.assertEqual((result.violation, result.complete), ("", True), result.trace)
            self.assertGreater(result.states, 1000)

    def test_search_finds_a_violation_in_each_mutant(self) -> None:
        for mutant in MUTANTS:
            result = search(MUTANT_BOUNDS.get(mutant.__name__, Bounds(1, duplicates=0)), with_mutant(mutant))
            self.assertTrue(result.violation, mutant.__name__)
            self.assertLess(len(result.trace), 12)


class RandomHistories(unittest.TestCase):
    """Long histories of larger fleets with loss, duplicates, long delays, restarts and diverging clocks."""

    @settings(max_examples=60, deadline=None, derandomize=True)
    @given(seed=st.integers(0, 1 << 32), brokers=st.integers(2, 9), hosts=st.integers(2, 5))
    def test_sum_of_quotas_never_exceeds_the_whole_budget(self, seed: int, brokers: int, hosts: int) -> None:
        random, hosts = Random(seed), min(brokers, hosts)
        users = random.sample(range(brokers), hosts)
        clock_error_us, now = 50_000, 1_000_000_000
        offsets = [random.randrange(10**9) for _ in range(brokers)]  # clocks need not agree
        # Two clocks diverge by at most 3% of a duration, which is the stated clock error.
        rates = [random.uniform(1 - 0.015, 1.015) for _ in range(brokers)]
        start = now - 10 * LOAN_DURATION_US

        def clock(n: int) -> int:
            return offsets[n] + int((now - start) * rates[n])

        def make_ledger(n: int, incarnation: int) -> QuotaLedger:
            others = [other for other in range(brokers) if other != n]
            ledger = QuotaLedger(n, incarnation, random.randrange(1 << 20), clock_error_us, clock(n), others)
            if n in users:
                ledger.open_budget(key, TOTAL_PARTS // hosts, hosts, True, clock(n))
            return ledger

        key, largest = BudgetKey(int(BudgetKind.LIMIT), 7), 0
        ledgers = [make_ledger(n, 1) for n in range(brokers)]
        messages: list[tuple[int, int, int, Item]] = []  # sender, receiver, incarnation and item
        now += 3 * LOAN_DURATION_US
        for _ in range(400):
            now += random.choice((0, 1000, 50_000, 400_000))
            n = random.randrange(brokers)
            draw = random.random()
            if draw < 0.3 and n in users:
                ledgers[n].budgets[key].demand = random.choice((0, TOTAL_PARTS // 2, TOTAL_PARTS))
                request = ledgers[n].make_request(key, clock(n))
                messages += [
                    (n, other, ledgers[n].incarnation, request) for other in range(brokers) if other != n
                ]
            elif draw < 0.33 and n in users:
                messages += [
                    (n, lender, ledgers[n].incarnation, item) for lender, item in ledgers[n].return_loans(key)
                ]
            elif draw < 0.36:
                ledgers[n] = make_ledger(n, ledgers[n].incarnation + 1)
            if clock(n) < ledgers[n].floors_until_us:
                messages += [
                    (n, peer, ledgers[n].incarnation, LoanRecall())
                    for peer in ledgers[n].unacknowledged_peers()
                ]
            for _ in range(random.randrange(8)):
                if not messages:
                    break
                index = random.randrange(len(messages))
                sender, receiver, incarnation, item = messages[index]
                if random.random() < 0.8:
                    del messages[index]
                if random.random() < 0.2:
                    continue
                if isinstance(item, LoanRequest):
                    grant = ledgers[receiver].on_request(sender, incarnation, item, clock(receiver))
                    messages.append((receiver, sender, ledgers[receiver].incarnation, grant))
                elif isinstance(item, LoanRecall):
                    messages.append(
                        (
                            receiver,
                            sender,
                            ledgers[receiver].incarnation,
                            ledgers[receiver].on_recall(sender, incarnation),
                        )
                    )
                elif isinstance(item, LoanRecallAck):
                    ledgers[receiver].on_recall_ack(sender, item, clock(receiver))
                elif isinstance(item, LoanGrant):
                    ledgers[receiver].on_grant(sender, incarnation, item, clock(receiver))
                else:
                    ledgers[receiver].on_release(sender, incarnation, item)
            del messages[:-40]
            parts = [ledgers[user].quota(key, clock(user)).parts for user in users]
            largest = max(largest, *parts)
            self.assertLessEqual(sum(parts), TOTAL_PARTS, parts)
            for user in users:
                self.assertGreaterEqual(parts[users.index(user)], TOTAL_PARTS // hosts // FLOOR_DIVISOR)


class LedgerPair(unittest.TestCase):
    """Two ledgers that share a budget."""

    def make_pair(self, hosts: int = 2) -> tuple[QuotaLedger, QuotaLedger]:
        ledgers = [escrow.make_ledger(n, 1, 0) for n in range(2)]
        for ledger in ledgers:
            ledger.open_budget(TWO_USE, TOTAL_PARTS // hosts, hosts, True, 0)
            ledger.clock_error_us = 50_000
        return ledgers[0], ledgers[1]

    def test_started_broker_lends_nothing_and_is_restricted_to_its_floor(self) -> None:
        borrower, lender = self.make_pair()
        self.assertEqual(borrower.quota(TWO_USE, 10).parts, TOTAL_PARTS // 2 // FLOOR_DIVISOR)
        self.assertEqual(lender.on_request(0, 1, borrower.make_request(TWO_USE, 10), 10).parts, 0)
        self.assertEqual(borrower.quota(TWO_USE, borrower.floors_until_us).parts, TOTAL_PARTS // 2)

    def test_successor_is_restricted_anew_until_the_loans_of_its_predecessor_have_ended(self) -> None:
        """Guards against the use of a part that the predecessor lent just before the handover."""
        borrower, successor = self.make_pair()
        handed_over_us = successor.floors_until_us + 10
        self.assertEqual(successor.quota(TWO_USE, handed_over_us).parts, TOTAL_PARTS // 2)
        successor.on_recall_ack(0, LoanRecallAck(successor.incarnation), 20)
        successor.restrict_to_floors(handed_over_us)
        self.assertIn(0, successor.unacknowledged_peers())
        last_loan_ends_us = handed_over_us + LOAN_DURATION_US + successor.clock_error_us
        for now_us, parts in (
            (handed_over_us, TOTAL_PARTS // 2 // FLOOR_DIVISOR),
            (last_loan_ends_us - 1, TOTAL_PARTS // 2 // FLOOR_DIVISOR),
            (last_loan_ends_us, TOTAL_PARTS // 2),
        ):
            self.assertEqual(successor.quota(TWO_USE, now_us).parts, parts, now_us)
        request = borrower.make_request(TWO_USE, handed_over_us)
        self.assertEqual(successor.on_request(0, 1, request, handed_over_us).parts, 0)

    def test_process_that_has_handed_over_lends_nothing(self) -> None:
        borrower, predecessor = self.make_pair()
        now_us = predecessor.floors_until_us
        borrower.budgets[TWO_USE].demand = TOTAL_PARTS
        request = borrower.make_request(TWO_USE, now_us)
        predecessor.lends = False
        self.assertEqual(predecessor.on_request(0, 1, request, now_us).parts, 0)
        predecessor.lends = True
        self.assertGreater(predecessor.on_request(0, 1, request, now_us).parts, 0)

    def test_lender_keeps_its_own_demand_and_its_floor(self) -> None:
        borrower, lender = self.make_pair()
        now = borrower.floors_until_us
        borrower.budgets[TWO_USE].demand = TOTAL_PARTS
        self.assertEqual(
            lender.on_request(0, 1, borrower.make_request(TWO_USE, now), now).parts,
            TOTAL_PARTS // 2 - TOTAL_PARTS // 2 // FLOOR_DIVISOR,
        )
        lender.budgets[TWO_USE].demand = TOTAL_PARTS // 4
        self.assertEqual(
            lender.on_request(0, 1, borrower.make_request(TWO_USE, now), now).parts, TOTAL_PARTS // 4
        )
        # The largest of the two loans counts.
        self.assertEqual(lender.quota(TWO_USE, now).parts, TOTAL_PARTS // 2 // FLOOR_DIVISOR)

    def test_request_with_another_number_of_hosts_changes_no_quota(self) -> None:
        borrower, lender = self.make_pair()
        now = borrower.floors_until_us
        grant = lender.on_request(0, 1, LoanRequest(*TWO_USE, 200, 7, TOTAL_PARTS, 1500), now)
        self.assertEqual((grant.parts, lender.quota(TWO_USE, now).parts), (0, TOTAL_PARTS // 2))

    def test_loans_above_the_maximum_are_merged_into_the_largest_and_longest(self) -> None:
        borrower, lender = self.make_pair()
        now = borrower.floors_until_us
        borrower.budgets[TWO_USE].demand = TOTAL_PARTS
        for step in range(40):
            lender.on_request(0, 1, borrower.make_request(TWO_USE, now + step), now + step)
        self.assertLessEqual(len(lender.budgets[TWO_USE].loans_out[0]), 9)
        self.assertEqual(
            lender.quota(TWO_USE, now + LOAN_DURATION_US + 50_030).parts, TOTAL_PARTS // 2 // FLOOR_DIVISOR
        )
        self.assertEqual(lender.quota(TWO_USE, now + LOAN_DURATION_US + 50_040).parts, TOTAL_PARTS // 2)

    def test_number_of_budgets_is_bounded_and_idle_ones_are_dropped(self) -> None:
        ledger, _ = self.make_pair()
        with unittest.mock.patch.object(ledger_module, "BUDGETS_MAX", 2):
            self.assertIsNotNone(ledger.open_budget(ALL_USE, 1, 3, True, 0))
            self.assertIsNone(ledger.open_budget(BudgetKey(1, 99), 1, 3, True, 0))
        self.assertEqual(ledger.budgets_refused, 1)
        self.assertEqual(sorted(ledger.drop_idle(100, 50)), [ALL_USE, TWO_USE])

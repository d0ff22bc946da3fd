"""Exhaustive searches of small Paxos and lease models, which must also find injected faults."""

from __future__ import annotations

import unittest
from dataclasses import replace
from unittest import mock

from lemonridge.lab.checkers import rollout as checker
from lemonridge.lab.measure.rollout import RolloutFleet, policy, rejection
from lemonridge.rollout import leases, paxos


class ExhaustiveSearch(unittest.TestCase):
    """Searches all states of small models, and checks that injected faults are found."""

    def test_no_message_order_chooses_two_values(self) -> None:
        for bounds in checker.STATED_AGREEMENT[:2]:
            found = checker.search_agreement(bounds)
            self.assertEqual((found.violation, found.complete), ("", True))
            self.assertGreater(found.states, 3_000)

    def test_no_message_order_puts_two_policies_in_use(self) -> None:
        found = checker.search_leases(checker.Bounds(messages=0, ticks=1))
        self.assertEqual((found.violation, found.complete), ("", True))

    def test_injected_paxos_faults_are_found(self) -> None:
        def ignore_accepted_values(
            proposer: paxos.Proposer, member: int, store_id: int, promised: paxos.Promised
        ) -> bool:
            """Proposes the own value, whatever value was accepted before."""
            return real_on_promise(
                proposer, member, store_id, paxos.Promised(promised.slot, promised.ballot, 0, paxos.NO_VALUE)
            )

        def accept_any_ballot(
            acceptor: paxos.Acceptor, slot: int, ballot: int, value: bytes
        ) -> paxos.Accepted:
            """Accepts a ballot lower than the promised one."""
            acceptor.accepted_ballot, acceptor.accepted_value = ballot, value
            return paxos.Accepted(slot, ballot)

        real_on_promise = paxos.Proposer.on_promise
        for label, fault in (
            ("promise", mock.patch.object(paxos.Proposer, "on_promise", ignore_accepted_values)),
            ("accept", mock.patch.object(paxos.Acceptor, "accept", accept_any_ballot)),
            ("quorum", mock.patch.object(paxos.Proposer, "quorum", 1)),
        ):
            with self.subTest(label), fault:
                self.assertIn("two values", checker.search_agreement(checker.Bounds()).violation)
        # A member that lost its disk votes with its old store id.
        same_store_id = checker.search_agreement(checker.Bounds(wipes=1), wipe=lambda store_id: store_id)
        self.assertIn("two values", same_store_id.violation)

    def test_switch_that_ignores_outstanding_leases_is_found(self) -> None:
        self.assertEqual(checker.random_walks(checker.RANDOM_WALK_BOUNDS, 1, 60), "")
        with mock.patch.object(leases, "overlap", lambda *_: True):
            self.assertIn(
                "no common epoch", checker.search_leases(checker.Bounds(messages=0, ticks=2)).violation
            )

    def test_changes_of_voters_are_safe_and_injected_faults_are_found(self) -> None:
        voter_changes = [bounds for bounds in checker.STATED_LEASES if bounds.voter_sets]
        for bounds in voter_changes[:2]:
            found = checker.search_leases(bounds)
            self.assertEqual((found.violation, found.complete), ("", True))
        two_voters_change = replace(voter_changes[0], voter_sets=(voter_changes[0].voter_sets[0], (0,)))
        self.assertIn("no common epoch", checker.search_leases(two_voters_change).violation)

        def voters_of_first_epoch(
            holder: leases.LeaseHolder, interval: leases.EpochInterval
        ) -> list[tuple[int, ...]]:
            return [holder.voters if interval[0] == holder.target_epoch else holder.previous_voters]

        with mock.patch.object(leases.LeaseHolder, "_voters_by_epoch", voters_of_first_epoch):
            self.assertIn("no common epoch", checker.search_leases(voter_changes[2]).violation)

    def test_states_that_differ_only_by_member_numbers_count_once(self) -> None:
        model = checker.LeaseModel(checker.Bounds(messages=1, ticks=1))
        start = model.start()
        next_states = dict(model.moves(start))
        for name in ("{} asks, {} answers, {} answers", "{} accepts"):
            keys = {
                checker._symmetric_key(next_states[name.format(n, *(m for m in range(3) if m != n))])
                for n in range(3)
            }
            self.assertEqual(len(keys), 1, name)
        self.assertNotEqual(checker._symmetric_key(next_states["0 accepts"]), checker._symmetric_key(start))


class InjectedLeaseFaults(unittest.TestCase):
    """Lease faults, each in a scenario in which it breaks the invariant and the correct code does not."""

    def run_late_replies(self) -> None:
        """The last replies to a broker arrive almost one lease late, and then it is partitioned."""
        net = RolloutFleet(3).run_until_steady()
        net.extra_delays_us[0] = 1_800_000
        net.run(0.55)  # one lease request
        net.cut_links = {(0, 1), (0, 2)}
        net.run(1.0)
        net.broker(1).propose(policy(12), "half", net.now_us)
        net.run(4.0)
        assert net.epochs_in_use()[1] == (1, 1)

    def run_slow_clock(self, error_us: int) -> None:
        """A broker whose clock runs slow by a tenth is partitioned."""
        net = RolloutFleet(3, error_us=error_us)
        net.clock_rates[0] = 0.9
        net.run_until_steady()
        net.run(0.25)
        net.cut_links = {(0, 1), (0, 2), (1, 0), (2, 0)}
        net.broker(1).propose(policy(12), "half", net.now_us)
        net.run(4.0)
        assert net.epochs_in_use()[1] == (1, 1)

    def run_restarts(self) -> None:
        """One broker is partitioned; the other two restart and change the policy at once."""
        net = RolloutFleet(3).run_until_steady()
        net.cut_links = {(0, 1), (0, 2), (1, 0), (2, 0)}
        for n in (1, 2):
            net.kill(n)
            net.start(n)
        net.run_until(lambda: rejection(net.broker(1).propose, policy(12), "half", net.now_us) == "", 5.0)
        net.run(3.0)
        assert net.epochs_in_use()[1] == (1, 1)

    def test_lease_measured_from_the_reply_is_found(self) -> None:
        def measure_from_reply(
            holder: leases.LeaseHolder,
            voter: int,
            request_id: int,
            granted: leases.EpochInterval,
            now_us: int,
        ) -> bool:
            request = holder._requests.get(request_id)
            if request is not None:
                request.sent_us = now_us
            return real_record_grant(holder, voter, request_id, granted, now_us)

        real_record_grant = leases.LeaseHolder.record_grant
        self.run_late_replies()
        with (
            mock.patch.object(leases.LeaseHolder, "record_grant", measure_from_reply),
            self.assertRaises(AssertionError) as caught,
        ):
            self.run_late_replies()
        self.assertIn("(0, 0)", str(caught.exception))

    def test_grantor_that_adds_no_clock_error_is_found(self) -> None:
        self.run_slow_clock(300_000)
        with self.assertRaises(AssertionError) as caught:
            self.run_slow_clock(0)
        self.assertIn("(0, 0)", str(caught.exception))

    def test_grantor_that_grants_right_after_its_start_is_found(self) -> None:
        def grant_from_start(
            grantor: leases.LeaseGrantor, lease_us: int, clock_error_us: int, now_us: int
        ) -> None:
            real_init(grantor, lease_us, clock_error_us, now_us)
            grantor.grants_from_us = now_us

        real_init = leases.LeaseGrantor.__init__
        self.run_restarts()
        with (
            mock.patch.object(leases.LeaseGrantor, "__init__", grant_from_start),
            self.assertRaises(AssertionError) as caught,
        ):
            self.run_restarts()
        self.assertIn("(0, 0)", str(caught.exception))

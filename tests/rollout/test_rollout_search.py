"""Every state of a small agreement and of small leases, and faults planted there."""

from __future__ import annotations

import unittest
from dataclasses import replace
from unittest import mock

from lemonridge.lab.checkers import rollout as checker
from lemonridge.lab.measure.rollout import Net, policy, rejection
from lemonridge.rollout import leases, paxos


class ExhaustiveSearch(unittest.TestCase):
    """Every state of a small one, and faults that are found there."""

    def test_no_two_values_are_chosen_in_any_order_of_messages(self) -> None:
        for bounds in checker.STATED_AGREEMENT[:2]:
            found = checker.agreement(bounds)
            self.assertEqual((found.broken, found.whole), ("", True))
            self.assertGreater(found.states, 3_000)

    def test_no_two_policies_are_in_use_in_any_order_of_messages(self) -> None:
        found = checker.leases(checker.Bounds(messages=0, ticks=1))
        self.assertEqual((found.broken, found.whole), ("", True))

    def test_planted_faults_of_the_agreement_are_found(self) -> None:
        def deaf(made: paxos.Proposer, who: int, ident: int, told: paxos.Promised) -> bool:
            """Puts what it wants, whatever was accepted before."""
            return real_promise(made, who, ident, paxos.Promised(told.slot, told.ballot, 0, paxos.NO_VALUE))

        def hasty(made: paxos.Acceptor, slot: int, number: int, value: bytes) -> paxos.Accepted:
            """Accepts what is under its promise."""
            made.accepted_ballot, made.accepted_value = number, value
            return paxos.Accepted(slot, number)

        real_promise = paxos.Proposer.on_promise
        for what, plant in (
            ("promise", mock.patch.object(paxos.Proposer, "on_promise", deaf)),
            ("accept", mock.patch.object(paxos.Acceptor, "accept", hasty)),
            ("quorum", mock.patch.object(paxos.Proposer, "quorum", 1)),
        ):
            with self.subTest(what), plant:
                self.assertIn("two values", checker.agreement(checker.Bounds()).broken)
        forgets = checker.agreement(checker.Bounds(wipes=1), wipe=lambda ident: ident)
        self.assertIn("two values", forgets.broken)  # a lost disk that votes as if it remembered

    def test_a_switch_that_does_not_wait_for_other_leases_is_found(self) -> None:
        self.assertEqual(checker.wander(checker.WIDE, 1, 60), "")
        with mock.patch.object(leases, "overlap", lambda *_: True):
            self.assertIn("they go by", checker.leases(checker.Bounds(messages=0, ticks=2)).broken)

    def test_every_state_of_neighbouring_voter_sets_and_the_faults_found_there(self) -> None:
        kinds = [bounds for bounds in checker.STATED_LEASES if bounds.sets]
        for bounds in kinds[:2]:
            found = checker.leases(bounds)
            self.assertEqual((found.broken, found.whole), ("", True))
        two = replace(kinds[0], sets=(kinds[0].sets[0], (0,)))
        self.assertIn("they go by", checker.leases(two).broken)  # two voters at a time

        def earlier(made: leases.LeaseHolder, interval: leases.EpochInterval) -> list[tuple[int, ...]]:
            return [made.voters if interval[0] == made.target_epoch else made.previous_voters]

        with mock.patch.object(
            leases.LeaseHolder, "_voters_by_epoch", earlier
        ):  # of two epochs the first one's voters alone
            self.assertIn("they go by", checker.leases(kinds[2]).broken)

    def test_states_that_differ_by_member_numbers_alone_count_once(self) -> None:
        model = checker.LeaseModel(checker.Bounds(messages=1, ticks=1))
        start = model.start()
        after = dict(model.moves(start))
        for name in ("{} asks, {} answers, {} answers", "{} accepts"):
            keys = {
                checker._renamed(after[name.format(n, *(m for m in range(3) if m != n))]) for n in range(3)
            }
            self.assertEqual(len(keys), 1, name)
        self.assertNotEqual(checker._renamed(after["0 accepts"]), checker._renamed(start))


class PlantedLeaseFaults(unittest.TestCase):
    """Faults of the leases, each in the history that shows it; the same history holds without it."""

    def late_answers(self) -> None:
        """One broker's last answers come nearly a lease late, and then it is cut off."""
        net = Net(3).steady()
        net.extra[0] = 1_800_000
        net.run(0.55)  # it has asked once
        net.cut = {(0, 1), (0, 2)}
        net.run(1.0)
        net.broker(1).propose(policy(12), "half", net.now)
        net.run(4.0)
        assert net.modes()[1] == (1, 1)

    def slow_clock(self, error_us: int) -> None:
        """A broker whose clock runs a tenth slow is cut off."""
        net = Net(3, error_us=error_us)
        net.slow[0] = 0.9
        net.steady()
        net.run(0.25)
        net.cut = {(0, 1), (0, 2), (1, 0), (2, 0)}
        net.broker(1).propose(policy(12), "half", net.now)
        net.run(4.0)
        assert net.modes()[1] == (1, 1)

    def restarts(self) -> None:
        """One broker is cut off, the other two start again and change the policy at once."""
        net = Net(3).steady()
        net.cut = {(0, 1), (0, 2), (1, 0), (2, 0)}
        for n in (1, 2):
            net.kill(n)
            net.start(n)
        net.until(lambda: rejection(net.broker(1).propose, policy(12), "half", net.now) == "", 5.0)
        net.run(3.0)
        assert net.modes()[1] == (1, 1)

    def test_a_lease_that_counts_from_its_answer_is_found(self) -> None:
        def from_now(
            made: leases.LeaseHolder, voter: int, ask: int, told: leases.EpochInterval, now: int
        ) -> bool:
            asked = made._requests.get(ask)
            if asked is not None:
                asked.sent_us = now
            return real(made, voter, ask, told, now)

        real = leases.LeaseHolder.record_grant
        self.late_answers()
        with (
            mock.patch.object(leases.LeaseHolder, "record_grant", from_now),
            self.assertRaises(AssertionError) as told,
        ):
            self.late_answers()
        self.assertIn("(0, 0)", str(told.exception))

    def test_a_grantor_that_adds_no_clock_error_is_found(self) -> None:
        self.slow_clock(300_000)
        with self.assertRaises(AssertionError) as told:
            self.slow_clock(0)
        self.assertIn("(0, 0)", str(told.exception))

    def test_a_grantor_that_grants_at_once_after_its_start_is_found(self) -> None:
        def at_once(made: leases.LeaseGrantor, span: int, error: int, now: int) -> None:
            real(made, span, error, now)
            made.grants_from_us = now

        real = leases.LeaseGrantor.__init__
        self.restarts()
        with (
            mock.patch.object(leases.LeaseGrantor, "__init__", at_once),
            self.assertRaises(AssertionError) as told,
        ):
            self.restarts()
        self.assertIn("(0, 0)", str(told.exception))

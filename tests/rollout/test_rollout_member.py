"""Members on a network of their own in virtual time: changes of policy, of voters, emergency calls."""

from __future__ import annotations

import unittest
from dataclasses import replace
from random import Random
from unittest import mock

from hypothesis import given, settings
from hypothesis import strategies as st

from lemonridge.fleet import datagrams
from lemonridge.lab.checkers import rollout as checker
from lemonridge.lab.measure.rollout import Net, invalid, policy, rejection
from lemonridge.rollout import leases, paxos, policy_document
from lemonridge.rollout.change_proposal import ChangeOutcome
from lemonridge.rollout.lease_exchange import EMERGENCY_EPOCH_STEP
from lemonridge.rollout.leases import NO_EPOCHS
from lemonridge.rollout.policy_document import Class, Plan, Policy


class PolicyChanges(unittest.TestCase):
    """Five brokers, one thing that goes wrong."""

    def test_with_all_members_up_a_change_is_in_force_within_two_seconds_without_the_floor(
        self,
    ) -> None:
        net = Net().steady()
        self.assertEqual(rejection(net.broker(1).propose, policy(12), "half", net.now), "")
        rested: list[leases.EpochInterval] = []
        begun = net.now
        while not net.everywhere(1):
            self.assertLess(net.now - begun, 2_000_000)
            net.step()
            rested += [mode for mode in net.modes().values() if mode == NO_EPOCHS]
        self.assertFalse(rested)  # the stricter of both meanwhile, never the floor
        self.assertEqual(net.broker(1).proposals.results[-1].outcome, ChangeOutcome.IN_FORCE)
        self.assertEqual(net.broker(3).policy_for((1, 1)), policy(12))

    def test_with_one_member_dead_a_change_waits_for_its_lease_and_no_longer(self) -> None:
        net = Net().steady()
        net.kill(4)
        net.broker(0).propose(policy(12), "half", net.now)
        took = net.until(lambda: net.everywhere(1), 4.1)
        self.assertGreater(took, 1.0)
        net.start(4)  # it takes the policy in force before it goes by any
        net.until(lambda: net.everywhere(1), 4.0)

    def test_a_member_that_rejects_the_check_ends_the_change_with_its_reason(self) -> None:
        net = Net().steady()
        net.validators[3] = invalid("class 'read' is not served here")
        net.broker(0).propose(policy(12), "half", net.now)
        net.run(3.0)
        self.assertEqual(net.broker(0).proposals.results[-1].outcome, ChangeOutcome.NOWHERE)
        self.assertIn("b3: class 'read'", net.broker(0).proposals.results[-1].reason)
        self.assertTrue(net.everywhere(0))

    def test_a_member_that_cannot_decide_by_the_decided_policy_uses_the_floor_and_says_why(self) -> None:
        net = Net().steady()
        net.kill(3)
        net.broker(0).propose(policy(12), "half", net.now)
        net.run(4.0)
        net.validators[3] = invalid("too little memory")
        net.start(3)
        net.run(4.0)
        self.assertEqual((net.modes()[3], str(net.broker(3).policy_error)), (NO_EPOCHS, "too little memory"))
        net.kill(3)
        net.start(3)  # with the state on its disk
        net.run(4.0)
        self.assertEqual((net.modes()[3], str(net.broker(3).policy_error)), (NO_EPOCHS, "too little memory"))

    def test_a_proposer_that_dies_at_any_step_leaves_the_change_in_force_everywhere_or_nowhere(self) -> None:
        ends = set()
        for at in range(0, 360_000, 15_000):
            net = Net(seed=at).steady()
            net.broker(2).propose(policy(12), "half", net.now)
            begun = net.now
            while net.now - begun < at:
                net.step()
            net.kill(2)
            net.run(6.0)
            epochs = {made.state.epoch for made in net.brokers if made is not None}
            self.assertEqual(len(epochs), 1)
            self.assertTrue(net.everywhere(epochs.copy().pop()))
            ends |= epochs
            net.start(2)
            net.until(lambda net=net: net.everywhere(net.broker(0).state.epoch), 5.0)  # type: ignore[misc]
        self.assertEqual(ends, {0, 1})

    def test_a_voter_that_dies_between_its_disk_write_and_its_answer_breaks_nothing(self) -> None:
        for most in range(4):
            net = Net(seed=most).steady()
            net.broker(0).propose(policy(12), "half", net.now)
            net.run(0.1)
            net.broker(1).handle(0, 1, datagrams.Prepare(1, paxos.make_ballot(7, 0)), net.now)
            net.take(1, most)
            net.kill(1)
            net.start(1)
            net.run(8.0)
            self.assertTrue(net.everywhere(net.broker(0).state.epoch))

    def test_of_two_concurrent_proposals_exactly_one_is_in_force(self) -> None:
        for seed in range(6):
            net = Net(seed=seed).steady()
            net.broker(0).propose(policy(12), "half", net.now)
            net.broker(4).propose(policy(48), "double", net.now)
            net.run(6.0)
            ends = [net.broker(n).proposals.results[-1].outcome for n in (0, 4)]
            self.assertEqual(ends.count(ChangeOutcome.IN_FORCE), 1, ends)
            self.assertTrue(net.everywhere(1))

    def test_a_partitioned_minority_uses_the_floor_after_its_lease_until_the_partition_heals(self) -> None:
        net = Net().steady()
        net.cut = {(a, b) for a in (0, 1) for b in (2, 3, 4)} | {(b, a) for a in (0, 1) for b in (2, 3, 4)}
        net.run(2.5)
        self.assertEqual({n: m for n, m in net.modes().items() if n < 2}, {0: NO_EPOCHS, 1: NO_EPOCHS})
        self.assertTrue(
            rejection(net.broker(0).propose, policy(12), "half", net.now)
        )  # it may not know the newest
        self.assertEqual(rejection(net.broker(3).propose, policy(12), "half", net.now), "")
        net.run(2.0)
        self.assertEqual(net.modes()[3], (1, 1))
        net.cut = set()
        self.assertLess(net.until(lambda: net.everywhere(1), 2.0), 1.0)

    def test_a_member_paused_during_a_change_does_not_use_the_old_policy(self) -> None:
        net = Net().steady()
        net.stopped = {2}
        net.broker(0).propose(policy(12), "half", net.now)
        net.run(5.0)
        net.stopped = set()
        self.assertEqual(
            net.broker(2).epochs_in_use(net.now), NO_EPOCHS
        )  # before its timer, by the clock alone
        net.until(lambda: net.everywhere(1), 1.0)

    def test_a_member_with_a_wiped_disk_votes_only_after_the_others_admit_it(self) -> None:
        net = Net().steady()
        net.broker(0).propose(policy(12), "half", net.now)
        net.until(lambda: net.everywhere(1), 2.0)
        net.kill(3, wiped=True)
        net.start(3)
        self.assertFalse(net.broker(3).is_voter)
        net.until(lambda: net.broker(3).is_voter and net.everywhere(2), 8.0)
        self.assertEqual(net.broker(0).state.policy, policy(12))

    def test_a_state_of_many_chunks_is_transferred_over_a_lossy_network(self) -> None:
        net = Net().steady()
        net.loss = net.copies = 0.2
        rows = tuple(Class(name=f"class {n}", latency_objective_ms=100.0) for n in range(30))
        plans = (*policy().plan, *(Plan(name=f"plan {n}", weight=float(n)) for n in range(30)))
        net.broker(1).propose(Policy(plan=plans, classes=rows), "large", net.now)
        net.until(lambda: net.everywhere(1), 8.0)

    def test_a_source_that_dies_during_a_state_transfer_is_replaced(self) -> None:
        net = Net().steady()
        net.kill(4)
        plans = (*policy().plan, *(Plan(name=f"plan {n}", weight=float(n)) for n in range(60)))
        net.broker(1).propose(Policy(plan=plans, classes=policy().classes), "large", net.now)
        net.until(lambda: net.everywhere(1), 5.0)
        net.start(4)
        net.until(lambda: bool(net.broker(4).transfer.transfers), 2.0)
        source = next(iter(net.broker(4).transfer.transfers.values())).source
        net.kill(source)
        self.assertLess(net.until(lambda: net.modes().get(4) == (1, 1), 5.0), 2.0)

    @settings(max_examples=12, deadline=None)
    @given(st.integers(0, 10**6), st.sampled_from((3, 5, 7)))
    def test_under_random_faults_no_two_policies_are_in_force_and_all_members_converge(
        self, seed: int, size: int
    ) -> None:
        net, random = Net(size, seed), Random(seed)
        net.run(2.5)
        for turn in range(14):
            n = random.randrange(size)
            what = random.randrange(10)
            if what >= 8 and net.brokers[n] is not None:  # one voter more, or one less
                voters = sorted(net.broker(n).state.voters)
                if net.broker(n).is_voter and len(voters) > 2:
                    rejection(net.broker(n).retire, random.choice(voters), net.now)
                elif not net.broker(n).is_voter:
                    rejection(net.broker(n).admit, net.now)
            elif what < 3 and net.brokers[n] is not None:
                rejection(
                    net.broker(n).propose, policy(float(random.randrange(6, 60))), f"turn {turn}", net.now
                )
            elif what == 3 and net.brokers[n] is not None and net.brokers.count(None) < size // 2:
                net.kill(n, random.random() < 0.3 and net.spares(n))
            elif what == 4:
                net.stopped = {n} if random.random() < 0.7 else set()
            elif what == 5:
                some = set(random.sample(range(size), random.randrange(1, size)))
                net.cut = {
                    (a, b)
                    for a in range(size)
                    for b in range(size)
                    if (a in some) != (b in some) and random.random() < 0.8
                }
            elif what == 6:
                net.loss, net.copies = random.choice((0, 0.1, 0.4)), random.choice((0, 0.3))
            else:
                for down in [n for n, made in enumerate(net.brokers) if made is None]:
                    net.start(down)
            net.run(random.uniform(0.05, 1.5))
        net.cut, net.stopped, net.loss, net.copies = set(), set(), 0.0, 0.0
        for down in [n for n, made in enumerate(net.brokers) if made is None]:
            net.start(down)
        net.until(lambda: net.everywhere(max(b.state.epoch for b in net.brokers if b)), 20.0)


class VoterChanges(unittest.TestCase):
    """Who votes changes by one at a time, through the same decisions."""

    def test_a_voter_is_retired_and_another_admitted_whose_vote_counts(self) -> None:
        net = Net(6).steady()
        self.assertIn("5 vote", rejection(net.broker(5).admit, net.now))
        net.kill(4)  # for good
        self.assertEqual(rejection(net.broker(0).retire, "b4", net.now), "")
        net.until(lambda: net.everywhere(1), 4.5)
        self.assertEqual(rejection(net.broker(5).admit, net.now), "")
        net.until(lambda: net.everywhere(2), 2.0)
        self.assertTrue(net.broker(5).is_voter)
        net.kill(0)
        net.kill(1)  # two of five: the new one is needed
        net.until(lambda: rejection(net.broker(2).propose, policy(12), "half", net.now) == "", 2.0)
        net.until(lambda: net.everywhere(3), 6.0)
        self.assertEqual(net.broker(5).state.policy, policy(12))
        net.start(4)  # the retired one comes back: it goes by the policy and does not vote
        net.until(lambda: net.everywhere(3), 4.0)
        self.assertFalse(net.broker(4).is_voter)

    def test_a_voter_is_not_retired_where_too_few_would_be_left_to_decide(self) -> None:
        net = Net(3).steady()
        net.kill(2, wiped=True)
        self.assertEqual(
            rejection(net.broker(0).retire, "b1", net.now), ""
        )  # of b0 and b2 both would be needed
        net.run(7.0)
        self.assertEqual(net.broker(0).proposals.results[-1].outcome, ChangeOutcome.NOWHERE)
        net.start(2)
        net.until(lambda: net.broker(2).is_voter and net.everywhere(net.broker(0).state.epoch), 8.0)

    def test_calls_that_cannot_begin_are_rejected_with_a_reason(self) -> None:
        net = Net(3).steady()
        self.assertEqual(rejection(net.broker(0).admit, net.now), "it votes already")
        self.assertEqual(rejection(net.broker(0).retire, "nobody", net.now), "'nobody' does not vote")
        self.assertEqual(rejection(net.broker(0).retire, "b2", net.now), "")
        self.assertEqual(rejection(net.broker(0).retire, "b1", net.now), "a change is under way")
        net.until(lambda: net.everywhere(1), 2.0)
        net.cut = {(0, 1), (1, 0)}
        net.run(2.5)
        self.assertIn("no lease", rejection(net.broker(0).retire, "b1", net.now))

    def test_a_state_that_changes_two_voters_or_names_an_unknown_one_is_rejected(self) -> None:
        before = Net(3).genesis
        for voters, word in (
            ({"b0": 0}, "more than one"),
            ({"b0": 0, "b1": 0, "b2": 0, "x": 0}, "no member"),
            ({"b0": 5, "b1": 0}, "more than one"),
            ({"b0": 0, "b1": 0}, ""),
        ):
            after = policy_document.next_state(before, before.policy, "b0", "")
            after = policy_document.msgspec.structs.replace(after, voters=voters)
            self.assertEqual(
                bool(word),
                bool(
                    told := rejection(policy_document.check_voter_change, before, after, ("b0", "b1", "b2"))
                ),
            )
            self.assertIn(word, told)

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
        start, moves, _ = checker._leasing(checker.Bounds(flights=1, ticks=1))
        after = dict(moves(start))
        for name in ("{} asks, {} answers, {} answers", "{} accepts"):
            keys = {
                checker._renamed(after[name.format(n, *(m for m in range(3) if m != n))]) for n in range(3)
            }
            self.assertEqual(len(keys), 1, name)
        self.assertNotEqual(checker._renamed(after["0 accepts"]), checker._renamed(start))


class EmergencyCalls(unittest.TestCase):
    """A majority of the voters is lost for good."""

    def lost(self) -> Net:
        net = Net().steady()
        net.broker(0).propose(policy(12), "half", net.now)
        net.until(lambda: net.everywhere(1), 2.0)
        for n in (2, 3, 4):
            net.kill(n)
        net.run(5.0)
        self.assertEqual(set(net.modes().values()), {NO_EPOCHS})
        return net

    def test_the_remaining_voters_go_on_and_change_the_policy(self) -> None:
        net = self.lost()
        self.assertEqual(rejection(net.broker(0).force, ("b2", "b3", "b4"), "fire in hall a", net.now), "")
        epoch = net.broker(0).state.epoch
        self.assertEqual(epoch, EMERGENCY_EPOCH_STEP)
        net.until(lambda: net.everywhere(epoch), 4.0)
        self.assertEqual(net.broker(1).state.policy, policy(12))  # what was in force, not the files'
        self.assertIn("EMERGENCY, only b0, b1: fire", net.broker(1).state.history[-1])
        self.assertEqual(rejection(net.broker(1).propose, policy(48), "double", net.now), "")
        net.until(lambda: net.everywhere(epoch + 1), 3.0)
        net.start(3)  # one that was called lost is back: it takes what is in force, without a vote
        net.until(lambda: net.everywhere(epoch + 1), 4.0)
        self.assertFalse(net.broker(3).is_voter)
        self.assertEqual(rejection(net.broker(3).admit, net.now), "")
        net.until(lambda: net.everywhere(epoch + 2) and net.broker(3).is_voter, 3.0)

    def test_the_call_is_rejected_while_its_conditions_do_not_hold(self) -> None:
        net = Net().steady()
        everyone = ("b2", "b3", "b4")
        self.assertIn(
            "a majority of the voters is heard", rejection(net.broker(0).force, everyone, "", net.now)
        )
        net = self.lost()
        for lost, word in (
            (("b3", "b4"), "a majority of the voters is left"),
            (("x",), "does not vote"),
            ((*everyone, "b1"), "'b1' was"),
            ((*everyone, "b0"), "not lost"),
        ):
            self.assertIn(word, rejection(net.broker(0).force, lost, "", net.now))
        net.kill(1)
        net.run(5.0)
        self.assertIn("'b1' is not heard", rejection(net.broker(0).force, everyone, "", net.now))
        net.kill(0)
        net.start(0)
        self.assertIn("has listened for less", rejection(net.broker(0).force, (*everyone, "b1"), "", net.now))
        net.run(5.0)
        self.assertEqual(rejection(net.broker(0).force, (*everyone, "b1"), "", net.now), "")
        net.until(lambda: net.modes()[0][0] >= EMERGENCY_EPOCH_STEP, 4.0)

    def test_what_the_others_decided_meanwhile_is_void_once_they_hear_of_the_call(self) -> None:
        net = Net().steady()
        net.cut = {(a, b) for a in (0, 1) for b in (2, 3, 4)} | {(b, a) for a in (0, 1) for b in (2, 3, 4)}
        net.run(5.0)
        net.decided.clear()
        self.assertEqual(rejection(net.broker(1).force, ("b2", "b3", "b4"), "they seemed lost", net.now), "")
        self.assertEqual(rejection(net.broker(3).propose, policy(48), "double", net.now), "")
        with self.assertRaises(AssertionError):  # two policies at one moment: this is the price
            net.run(6.0)
        net.check = lambda: None  # type: ignore[method-assign]
        net.run(1.0)
        net.cut = set()
        epoch = net.broker(1).state.epoch
        self.assertEqual(epoch, EMERGENCY_EPOCH_STEP + 1)
        net.until(lambda: net.everywhere(epoch), 6.0)
        self.assertEqual(net.broker(3).state.policy, policy())
        self.assertEqual(sorted(net.broker(3).state.voters), ["b0", "b1"])

    def test_two_calls_at_once_converge_on_the_higher_member(self) -> None:
        net = self.lost()
        net.cut = {(0, 1), (1, 0)}
        net.run(5.0)
        net.check = lambda: None  # type: ignore[method-assign]
        everyone = ("b2", "b3", "b4")
        self.assertEqual(rejection(net.broker(0).force, (*everyone, "b1"), "", net.now), "")
        self.assertEqual(rejection(net.broker(1).force, (*everyone, "b0"), "", net.now), "")
        net.run(3.0)
        net.cut = set()
        net.until(lambda: net.everywhere(EMERGENCY_EPOCH_STEP + 1), 4.0)
        self.assertEqual(net.broker(0).state.voters, {"b1": 0})

"""Tests of policy changes, voter changes and emergency calls, on a simulated network in virtual time."""

from __future__ import annotations

import unittest
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from lemonridge.fleet import datagrams
from lemonridge.lab.measure.rollout import RolloutFleet, invalid, policy, rejection
from lemonridge.rollout import leases, paxos, policy_document
from lemonridge.rollout.change_proposal import ChangeOutcome
from lemonridge.rollout.lease_exchange import EMERGENCY_EPOCH_STEP
from lemonridge.rollout.leases import NO_EPOCHS
from lemonridge.rollout.policy_document import Class, Plan, Policy


class PolicyChanges(unittest.TestCase):
    """Policy changes among five brokers, without a fault or with one kind of fault."""

    def test_change_with_all_members_up_is_in_force_within_two_seconds_without_the_floor(
        self,
    ) -> None:
        net = RolloutFleet().run_until_steady()
        self.assertEqual(rejection(net.broker(1).propose, policy(12), "half", net.now_us), "")
        floor_modes: list[leases.EpochInterval] = []
        started_us = net.now_us
        while not net.all_use_epoch(1):
            self.assertLess(net.now_us - started_us, 2_000_000)
            net.step()
            floor_modes += [mode for mode in net.epochs_in_use().values() if mode == NO_EPOCHS]
        self.assertFalse(floor_modes)  # the stricter combination in the meantime, never the floor
        self.assertEqual(net.broker(1).proposals.results[-1].outcome, ChangeOutcome.IN_FORCE)
        self.assertEqual(net.broker(3).policy_for((1, 1)), policy(12))

    def test_change_with_a_dead_member_waits_only_until_its_lease_expires(self) -> None:
        net = RolloutFleet().run_until_steady()
        net.kill(4)
        net.broker(0).propose(policy(12), "half", net.now_us)
        duration_s = net.run_until(lambda: net.all_use_epoch(1), 4.1)
        self.assertGreater(duration_s, 1.0)
        net.start(4)  # it learns the policy in force before it uses any
        net.run_until(lambda: net.all_use_epoch(1), 4.0)

    def test_member_that_rejects_the_check_ends_the_change_with_its_reason(self) -> None:
        net = RolloutFleet().run_until_steady()
        net.validators[3] = invalid("class 'read' is not served here")
        net.broker(0).propose(policy(12), "half", net.now_us)
        net.run(3.0)
        self.assertEqual(net.broker(0).proposals.results[-1].outcome, ChangeOutcome.NOWHERE)
        self.assertIn("b3: class 'read'", net.broker(0).proposals.results[-1].reason)
        self.assertTrue(net.all_use_epoch(0))

    def test_member_that_cannot_use_the_decided_policy_uses_the_floor_and_reports_the_reason(self) -> None:
        net = RolloutFleet().run_until_steady()
        net.kill(3)
        net.broker(0).propose(policy(12), "half", net.now_us)
        net.run(4.0)
        net.validators[3] = invalid("too little memory")
        net.start(3)
        net.run(4.0)
        self.assertEqual(
            (net.epochs_in_use()[3], str(net.broker(3).policy_error)), (NO_EPOCHS, "too little memory")
        )
        net.kill(3)
        net.start(3)  # with the decided state on its disk
        net.run(4.0)
        self.assertEqual(
            (net.epochs_in_use()[3], str(net.broker(3).policy_error)), (NO_EPOCHS, "too little memory")
        )

    def test_change_of_a_proposer_that_dies_at_any_step_is_in_force_everywhere_or_nowhere(self) -> None:
        final_epochs = set()
        for death_after_us in range(0, 360_000, 15_000):
            net = RolloutFleet(seed=death_after_us).run_until_steady()
            net.broker(2).propose(policy(12), "half", net.now_us)
            started_us = net.now_us
            while net.now_us - started_us < death_after_us:
                net.step()
            net.kill(2)
            net.run(6.0)
            epochs = {broker.state.epoch for broker in net.brokers if broker is not None}
            self.assertEqual(len(epochs), 1)
            self.assertTrue(net.all_use_epoch(epochs.copy().pop()))
            final_epochs |= epochs
            net.start(2)
            net.run_until(lambda net=net: net.all_use_epoch(net.broker(0).state.epoch), 5.0)  # type: ignore[misc]
        self.assertEqual(final_epochs, {0, 1})

    def test_voter_that_dies_between_disk_write_and_answer_does_not_prevent_convergence(self) -> None:
        for action_count in range(4):
            net = RolloutFleet(seed=action_count).run_until_steady()
            net.broker(0).propose(policy(12), "half", net.now_us)
            net.run(0.1)
            net.broker(1).handle(0, 1, datagrams.Prepare(1, paxos.make_ballot(7, 0)), net.now_us)
            net.apply_actions(1, action_count)
            net.kill(1)
            net.start(1)
            net.run(8.0)
            self.assertTrue(net.all_use_epoch(net.broker(0).state.epoch))

    def test_exactly_one_of_two_concurrent_proposals_is_in_force(self) -> None:
        for seed in range(6):
            net = RolloutFleet(seed=seed).run_until_steady()
            net.broker(0).propose(policy(12), "half", net.now_us)
            net.broker(4).propose(policy(48), "double", net.now_us)
            net.run(6.0)
            outcomes = [net.broker(n).proposals.results[-1].outcome for n in (0, 4)]
            self.assertEqual(outcomes.count(ChangeOutcome.IN_FORCE), 1, outcomes)
            self.assertTrue(net.all_use_epoch(1))

    def test_partitioned_minority_uses_the_floor_after_its_lease_until_the_partition_heals(self) -> None:
        net = RolloutFleet().run_until_steady()
        net.cut_links = {(a, b) for a in (0, 1) for b in (2, 3, 4)} | {
            (b, a) for a in (0, 1) for b in (2, 3, 4)
        }
        net.run(2.5)
        self.assertEqual(
            {n: mode for n, mode in net.epochs_in_use().items() if n < 2}, {0: NO_EPOCHS, 1: NO_EPOCHS}
        )
        # Broker 0 may not know the newest state.
        self.assertTrue(rejection(net.broker(0).propose, policy(12), "half", net.now_us))
        self.assertEqual(rejection(net.broker(3).propose, policy(12), "half", net.now_us), "")
        net.run(2.0)
        self.assertEqual(net.epochs_in_use()[3], (1, 1))
        net.cut_links = set()
        self.assertLess(net.run_until(lambda: net.all_use_epoch(1), 2.0), 1.0)

    def test_member_paused_during_a_change_does_not_use_the_old_policy(self) -> None:
        net = RolloutFleet().run_until_steady()
        net.stopped = {2}
        net.broker(0).propose(policy(12), "half", net.now_us)
        net.run(5.0)
        net.stopped = set()
        # By the clock alone, before the broker's timer fires.
        self.assertEqual(net.broker(2).epochs_in_use(net.now_us), NO_EPOCHS)
        net.run_until(lambda: net.all_use_epoch(1), 1.0)

    def test_member_with_a_wiped_disk_votes_only_after_the_others_admit_it(self) -> None:
        net = RolloutFleet().run_until_steady()
        net.broker(0).propose(policy(12), "half", net.now_us)
        net.run_until(lambda: net.all_use_epoch(1), 2.0)
        net.kill(3, wiped=True)
        net.start(3)
        self.assertFalse(net.broker(3).is_voter)
        net.run_until(lambda: net.broker(3).is_voter and net.all_use_epoch(2), 8.0)
        self.assertEqual(net.broker(0).state.policy, policy(12))

    def test_state_of_many_chunks_is_transferred_over_a_lossy_network(self) -> None:
        net = RolloutFleet().run_until_steady()
        net.loss = net.duplication = 0.2
        classes = tuple(Class(name=f"class {n}", latency_objective_ms=100.0) for n in range(30))
        plans = (*policy().plan, *(Plan(name=f"plan {n}", weight=float(n)) for n in range(30)))
        net.broker(1).propose(Policy(plan=plans, classes=classes), "large", net.now_us)
        net.run_until(lambda: net.all_use_epoch(1), 8.0)

    def test_source_that_dies_during_a_state_transfer_is_replaced(self) -> None:
        net = RolloutFleet().run_until_steady()
        net.kill(4)
        plans = (*policy().plan, *(Plan(name=f"plan {n}", weight=float(n)) for n in range(60)))
        net.broker(1).propose(Policy(plan=plans, classes=policy().classes), "large", net.now_us)
        net.run_until(lambda: net.all_use_epoch(1), 5.0)
        net.start(4)
        net.run_until(lambda: bool(net.broker(4).transfer.transfers), 2.0)
        source = next(iter(net.broker(4).transfer.transfers.values())).source
        net.kill(source)
        self.assertLess(net.run_until(lambda: net.epochs_in_use().get(4) == (1, 1), 5.0), 2.0)

    @settings(max_examples=12, deadline=None)
    @given(st.integers(0, 10**6), st.sampled_from((3, 5, 7)))
    def test_random_faults_never_put_two_policies_in_force_and_all_members_converge(
        self, seed: int, size: int
    ) -> None:
        net, random = RolloutFleet(size, seed), Random(seed)
        net.run(2.5)
        for step in range(14):
            n = random.randrange(size)
            fault = random.randrange(10)
            if fault >= 8 and net.brokers[n] is not None:  # retire or admit a voter
                voters = sorted(net.broker(n).state.voters)
                if net.broker(n).is_voter and len(voters) > 2:
                    rejection(net.broker(n).retire, random.choice(voters), net.now_us)
                elif not net.broker(n).is_voter:
                    rejection(net.broker(n).admit, net.now_us)
            elif fault < 3 and net.brokers[n] is not None:
                rejection(
                    net.broker(n).propose, policy(float(random.randrange(6, 60))), f"turn {step}", net.now_us
                )
            elif fault == 3 and net.brokers[n] is not None and net.brokers.count(None) < size // 2:
                net.kill(n, random.random() < 0.3 and net.may_lose_store(n))
            elif fault == 4:
                net.stopped = {n} if random.random() < 0.7 else set()
            elif fault == 5:
                group = set(random.sample(range(size), random.randrange(1, size)))
                net.cut_links = {
                    (a, b)
                    for a in range(size)
                    for b in range(size)
                    if (a in group) != (b in group) and random.random() < 0.8
                }
            elif fault == 6:
                net.loss, net.duplication = random.choice((0, 0.1, 0.4)), random.choice((0, 0.3))
            else:
                for dead in [n for n, broker in enumerate(net.brokers) if broker is None]:
                    net.start(dead)
            net.run(random.uniform(0.05, 1.5))
        net.cut_links, net.stopped, net.loss, net.duplication = set(), set(), 0.0, 0.0
        for dead in [n for n, broker in enumerate(net.brokers) if broker is None]:
            net.start(dead)
        net.run_until(
            lambda: net.all_use_epoch(max(broker.state.epoch for broker in net.brokers if broker)), 20.0
        )


class VoterChanges(unittest.TestCase):
    """Changes of the voters, one at a time, which are decided like changes of the policy."""

    def test_admitted_member_votes_in_place_of_a_retired_voter(self) -> None:
        net = RolloutFleet(6).run_until_steady()
        self.assertIn("5 vote", rejection(net.broker(5).admit, net.now_us))
        net.kill(4)  # permanently
        self.assertEqual(rejection(net.broker(0).retire, "b4", net.now_us), "")
        net.run_until(lambda: net.all_use_epoch(1), 4.5)
        self.assertEqual(rejection(net.broker(5).admit, net.now_us), "")
        net.run_until(lambda: net.all_use_epoch(2), 2.0)
        self.assertTrue(net.broker(5).is_voter)
        net.kill(0)
        net.kill(1)  # two of the five voters are dead, so the new vote is needed
        net.run_until(lambda: rejection(net.broker(2).propose, policy(12), "half", net.now_us) == "", 2.0)
        net.run_until(lambda: net.all_use_epoch(3), 6.0)
        self.assertEqual(net.broker(5).state.policy, policy(12))
        net.start(4)  # the retired member restarts: it uses the policy and does not vote
        net.run_until(lambda: net.all_use_epoch(3), 4.0)
        self.assertFalse(net.broker(4).is_voter)

    def test_voter_is_not_retired_if_too_few_reachable_voters_would_remain(self) -> None:
        net = RolloutFleet(3).run_until_steady()
        net.kill(2, wiped=True)
        # Both remaining voters, b0 and b2, would be needed.
        self.assertEqual(rejection(net.broker(0).retire, "b1", net.now_us), "")
        net.run(7.0)
        self.assertEqual(net.broker(0).proposals.results[-1].outcome, ChangeOutcome.NOWHERE)
        net.start(2)
        net.run_until(lambda: net.broker(2).is_voter and net.all_use_epoch(net.broker(0).state.epoch), 8.0)

    def test_calls_that_cannot_begin_are_rejected_with_a_reason(self) -> None:
        net = RolloutFleet(3).run_until_steady()
        self.assertEqual(rejection(net.broker(0).admit, net.now_us), "it votes already")
        self.assertEqual(rejection(net.broker(0).retire, "nobody", net.now_us), "'nobody' does not vote")
        self.assertEqual(rejection(net.broker(0).retire, "b2", net.now_us), "")
        self.assertEqual(rejection(net.broker(0).retire, "b1", net.now_us), "a change is under way")
        net.run_until(lambda: net.all_use_epoch(1), 2.0)
        net.cut_links = {(0, 1), (1, 0)}
        net.run(2.5)
        self.assertIn("no lease", rejection(net.broker(0).retire, "b1", net.now_us))

    def test_state_that_changes_two_voters_or_lists_an_unknown_one_is_rejected(self) -> None:
        before = RolloutFleet(3).genesis
        for voters, expected_reason in (
            ({"b0": 0}, "more than one"),
            ({"b0": 0, "b1": 0, "b2": 0, "x": 0}, "no member"),
            ({"b0": 5, "b1": 0}, "more than one"),
            ({"b0": 0, "b1": 0}, ""),
        ):
            after = policy_document.next_state(before, before.policy, "b0", "")
            after = policy_document.msgspec.structs.replace(after, voters=voters)
            self.assertEqual(
                bool(expected_reason),
                bool(
                    reason := rejection(policy_document.check_voter_change, before, after, ("b0", "b1", "b2"))
                ),
            )
            self.assertIn(expected_reason, reason)


class EmergencyCalls(unittest.TestCase):
    """Emergency calls after a majority of the voters was permanently lost."""

    def net_without_majority(self) -> RolloutFleet:
        net = RolloutFleet().run_until_steady()
        net.broker(0).propose(policy(12), "half", net.now_us)
        net.run_until(lambda: net.all_use_epoch(1), 2.0)
        for n in (2, 3, 4):
            net.kill(n)
        net.run(5.0)
        self.assertEqual(set(net.epochs_in_use().values()), {NO_EPOCHS})
        return net

    def test_remaining_voters_continue_and_change_the_policy(self) -> None:
        net = self.net_without_majority()
        self.assertEqual(rejection(net.broker(0).force, ("b2", "b3", "b4"), "fire in hall a", net.now_us), "")
        epoch = net.broker(0).state.epoch
        self.assertEqual(epoch, EMERGENCY_EPOCH_STEP)
        net.run_until(lambda: net.all_use_epoch(epoch), 4.0)
        # The policy in force before, not that of the files.
        self.assertEqual(net.broker(1).state.policy, policy(12))
        self.assertIn("EMERGENCY, only b0, b1: fire", net.broker(1).state.history[-1])
        self.assertEqual(rejection(net.broker(1).propose, policy(48), "double", net.now_us), "")
        net.run_until(lambda: net.all_use_epoch(epoch + 1), 3.0)
        net.start(3)  # a member that was declared lost restarts: it uses the policy in force, without a vote
        net.run_until(lambda: net.all_use_epoch(epoch + 1), 4.0)
        self.assertFalse(net.broker(3).is_voter)
        self.assertEqual(rejection(net.broker(3).admit, net.now_us), "")
        net.run_until(lambda: net.all_use_epoch(epoch + 2) and net.broker(3).is_voter, 3.0)

    def test_call_is_rejected_while_its_conditions_do_not_hold(self) -> None:
        net = RolloutFleet().run_until_steady()
        lost_majority = ("b2", "b3", "b4")
        self.assertIn(
            "a majority of the voters is heard", rejection(net.broker(0).force, lost_majority, "", net.now_us)
        )
        net = self.net_without_majority()
        for lost_voters, expected_reason in (
            (("b3", "b4"), "a majority of the voters is left"),
            (("x",), "does not vote"),
            ((*lost_majority, "b1"), "'b1' was"),
            ((*lost_majority, "b0"), "not lost"),
        ):
            self.assertIn(expected_reason, rejection(net.broker(0).force, lost_voters, "", net.now_us))
        net.kill(1)
        net.run(5.0)
        self.assertIn("'b1' is not heard", rejection(net.broker(0).force, lost_majority, "", net.now_us))
        net.kill(0)
        net.start(0)
        self.assertIn(
            "has listened for less", rejection(net.broker(0).force, (*lost_majority, "b1"), "", net.now_us)
        )
        net.run(5.0)
        self.assertEqual(rejection(net.broker(0).force, (*lost_majority, "b1"), "", net.now_us), "")
        net.run_until(lambda: net.epochs_in_use()[0][0] >= EMERGENCY_EPOCH_STEP, 4.0)

    def test_decisions_of_partitioned_voters_are_discarded_once_they_learn_of_the_call(self) -> None:
        net = RolloutFleet().run_until_steady()
        net.cut_links = {(a, b) for a in (0, 1) for b in (2, 3, 4)} | {
            (b, a) for a in (0, 1) for b in (2, 3, 4)
        }
        net.run(5.0)
        net.decided.clear()
        self.assertEqual(
            rejection(net.broker(1).force, ("b2", "b3", "b4"), "they seemed lost", net.now_us), ""
        )
        self.assertEqual(rejection(net.broker(3).propose, policy(48), "double", net.now_us), "")
        with self.assertRaises(AssertionError):  # two policies in use at once: the accepted risk of the call
            net.run(6.0)
        net.check = lambda: None  # type: ignore[method-assign]
        net.run(1.0)
        net.cut_links = set()
        epoch = net.broker(1).state.epoch
        self.assertEqual(epoch, EMERGENCY_EPOCH_STEP + 1)
        net.run_until(lambda: net.all_use_epoch(epoch), 6.0)
        self.assertEqual(net.broker(3).state.policy, policy())
        self.assertEqual(sorted(net.broker(3).state.voters), ["b0", "b1"])

    def test_two_concurrent_calls_converge_on_that_of_the_higher_member(self) -> None:
        net = self.net_without_majority()
        net.cut_links = {(0, 1), (1, 0)}
        net.run(5.0)
        net.check = lambda: None  # type: ignore[method-assign]
        lost_majority = ("b2", "b3", "b4")
        self.assertEqual(rejection(net.broker(0).force, (*lost_majority, "b1"), "", net.now_us), "")
        self.assertEqual(rejection(net.broker(1).force, (*lost_majority, "b0"), "", net.now_us), "")
        net.run(3.0)
        net.cut_links = set()
        net.run_until(lambda: net.all_use_epoch(EMERGENCY_EPOCH_STEP + 1), 4.0)
        self.assertEqual(net.broker(0).state.voters, {"b1": 0})

"""Changes of policy: the document, the agreement, the leases, and brokers on a network of their own."""

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
from lemonridge.rollout.errors import PolicyError
from lemonridge.rollout.lease_exchange import EMERGENCY_EPOCH_STEP
from lemonridge.rollout.leases import NO_EPOCHS
from lemonridge.rollout.policy_document import Class, Plan, Policy


class Documents(unittest.TestCase):
    def test_equal_policies_have_equal_bytes_and_other_forms_are_refused(self) -> None:
        state = policy_document.PolicyState(
            epoch=1, previous_digest="", voters={"a": 0}, policy=policy(), floor=policy()
        )
        data = policy_document.encode(state)
        self.assertEqual(policy_document.decode(data), state)
        for other in (data + b" ", data.replace(b"24.0", b"24.00"), data[:-1], b"[]", b"x" * 30_000):
            with self.assertRaises(PolicyError):
                policy_document.decode(other)
        big = policy().plan[0]
        many = tuple(policy_document.Plan(name=f"{n:040}", limit=big.limit) for n in range(64))
        rows = tuple(Class(name=f"{n:040}", latency_objective_ms=1.0) for n in range(32))
        self.assertLess(
            len(
                policy_document.encode(
                    policy_document.PolicyState(
                        epoch=1,
                        previous_digest="0" * 16,
                        voters={},
                        floor=policy(),
                        policy=Policy(plan=many, classes=rows),
                    )
                )
            ),
            policy_document.STATE_BYTES_MAX,
        )

    def test_a_file_is_checked_whole_and_names_its_key(self) -> None:
        good = {"plan": [{"name": "basic", "limit": 5}], "class": [{"name": "read", "aim_ms": 100}]}
        self.assertEqual(policy_document.parse_policy(good).plan[0].limit, 5.0)
        for change, word in (
            ({"rules": {"max_attempts": 5}}, "max_attempts"),
            ({"plans": []}, "plans"),
            ({"plan": [{"name": "a"}, {"name": "a"}]}, "plan"),
            ({"class": []}, "class"),
            ({"plan": [{"name": "a", "limit": -1}]}, "limit"),
        ):
            with self.assertRaises(PolicyError) as caught:
                policy_document.parse_policy({**good, **change})
            self.assertIn(word, str(caught.exception))

    @given(st.floats(0, 100), st.floats(0, 100), st.integers(1, 4), st.integers(1, 4))
    def test_the_stricter_keeps_both_and_the_floor_is_within_all(
        self, a: float, b: float, m: int, n: int
    ) -> None:
        one, other = policy(a, attempts=m), policy(b, attempts=n)
        both = policy_document.stricter(one, other)
        for told in (one, other):
            self.assertTrue(not told.plan[0].limit or 0 < both.plan[0].limit <= told.plan[0].limit)
            self.assertLessEqual(both.rules.max_attempts, told.rules.max_attempts)
        least = policy_document.floor(policy(), 0.25)
        self.assertEqual(bool(rejection(policy_document.check_floor, one, least)), 0 < a < 6.0)

    def test_what_differs_is_told_in_lines(self) -> None:
        self.assertEqual(
            policy_document.difference(policy(), policy(12, 200, 2)),
            ["plan basic: limit 24 -> 12", "class read: aim_ms 300 -> 200", "rules: max_attempts 4 -> 2"],
        )

    def test_no_answer_is_longer_than_its_question(self) -> None:
        for question, answer in (
            ("LeaseAsk", "Lease"),
            ("Prepare", "Promise"),
            ("Accept", "AcceptReply"),
            ("Check", "CheckResult"),
            ("ChunkRequest", "Piece"),
        ):
            self.assertGreaterEqual(
                getattr(datagrams, question).LAYOUT.size, getattr(datagrams, answer).LAYOUT.size
            )


class Changes(unittest.TestCase):
    """Five brokers, one thing that goes wrong."""

    def test_with_all_up_it_is_in_force_everywhere_within_two_seconds_and_nobody_rests(self) -> None:
        net = Net().steady()
        self.assertEqual(rejection(net.broker(1).propose, policy(12), "half", net.now), "")
        rested: list[leases.EpochInterval] = []
        begun = net.now
        while not net.everywhere(1):
            self.assertLess(net.now - begun, 2_000_000)
            net.step()
            rested += [mode for mode in net.modes().values() if mode == NO_EPOCHS]
        self.assertFalse(rested)  # the stricter of both meanwhile, never the floor
        self.assertEqual(net.broker(1).results[-1].outcome, ChangeOutcome.IN_FORCE)
        self.assertEqual(net.broker(3).policy_for((1, 1)), policy(12))

    def test_with_one_dead_it_waits_for_its_lease_and_no_longer(self) -> None:
        net = Net().steady()
        net.kill(4)
        net.broker(0).propose(policy(12), "half", net.now)
        took = net.until(lambda: net.everywhere(1), 4.1)
        self.assertGreater(took, 1.0)
        net.start(4)  # it takes the policy in force before it goes by any
        net.until(lambda: net.everywhere(1), 4.0)

    def test_one_that_cannot_makes_it_nowhere_and_says_why(self) -> None:
        net = Net().steady()
        net.validators[3] = invalid("class 'read' is not served here")
        net.broker(0).propose(policy(12), "half", net.now)
        net.run(3.0)
        self.assertEqual(net.broker(0).results[-1].outcome, ChangeOutcome.NOWHERE)
        self.assertIn("b3: class 'read'", net.broker(0).results[-1].reason)
        self.assertTrue(net.everywhere(0))

    def test_one_that_was_down_and_cannot_goes_by_the_floor_and_says_why(self) -> None:
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

    def test_a_coordinator_that_dies_at_any_step_leaves_it_in_force_everywhere_or_nowhere(self) -> None:
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

    def test_one_that_dies_between_its_disk_and_its_word_breaks_nothing(self) -> None:
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

    def test_two_proposals_at_once_come_into_force_one_after_the_other_or_one(self) -> None:
        for seed in range(6):
            net = Net(seed=seed).steady()
            net.broker(0).propose(policy(12), "half", net.now)
            net.broker(4).propose(policy(48), "double", net.now)
            net.run(6.0)
            ends = [net.broker(n).results[-1].outcome for n in (0, 4)]
            self.assertEqual(ends.count(ChangeOutcome.IN_FORCE), 1, ends)
            self.assertTrue(net.everywhere(1))

    def test_a_minority_that_is_cut_off_keeps_its_lease_and_then_the_floor_until_it_heals(self) -> None:
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

    def test_one_that_was_stopped_over_a_change_goes_by_nothing_old(self) -> None:
        net = Net().steady()
        net.stopped = {2}
        net.broker(0).propose(policy(12), "half", net.now)
        net.run(5.0)
        net.stopped = set()
        self.assertEqual(
            net.broker(2).epochs_in_use(net.now), NO_EPOCHS
        )  # before its timer, by the clock alone
        net.until(lambda: net.everywhere(1), 1.0)

    def test_a_wiped_disk_does_not_vote_until_the_others_decided_so(self) -> None:
        net = Net().steady()
        net.broker(0).propose(policy(12), "half", net.now)
        net.until(lambda: net.everywhere(1), 2.0)
        net.kill(3, wiped=True)
        net.start(3)
        self.assertFalse(net.broker(3).is_voter)
        net.until(lambda: net.broker(3).is_voter and net.everywhere(2), 8.0)
        self.assertEqual(net.broker(0).state.policy, policy(12))

    def test_a_state_of_many_pieces_comes_over_a_bad_network(self) -> None:
        net = Net().steady()
        net.loss = net.copies = 0.2
        rows = tuple(Class(name=f"class {n}", latency_objective_ms=100.0) for n in range(30))
        plans = (*policy().plan, *(Plan(name=f"plan {n}", weight=float(n)) for n in range(30)))
        net.broker(1).propose(Policy(plan=plans, classes=rows), "large", net.now)
        net.until(lambda: net.everywhere(1), 8.0)

    def test_a_source_that_dies_while_a_state_is_learnt_is_replaced(self) -> None:
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
    def test_whatever_happens_no_two_policies_are_in_force_and_all_come_together(
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


class Voters(unittest.TestCase):
    """Who votes changes by one at a time, through the same decisions."""

    def test_a_voter_is_retired_and_another_let_in_and_then_decides(self) -> None:
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

    def test_a_vote_is_not_taken_away_where_too_few_would_be_left_to_decide(self) -> None:
        net = Net(3).steady()
        net.kill(2, wiped=True)
        self.assertEqual(
            rejection(net.broker(0).retire, "b1", net.now), ""
        )  # of b0 and b2 both would be needed
        net.run(7.0)
        self.assertEqual(net.broker(0).results[-1].outcome, ChangeOutcome.NOWHERE)
        net.start(2)
        net.until(lambda: net.broker(2).is_voter and net.everywhere(net.broker(0).state.epoch), 8.0)

    def test_what_may_not_be_asked_gets_a_reason(self) -> None:
        net = Net(3).steady()
        self.assertEqual(rejection(net.broker(0).admit, net.now), "it votes already")
        self.assertEqual(rejection(net.broker(0).retire, "nobody", net.now), "'nobody' does not vote")
        self.assertEqual(rejection(net.broker(0).retire, "b2", net.now), "")
        self.assertEqual(rejection(net.broker(0).retire, "b1", net.now), "a change is under way")
        net.until(lambda: net.everywhere(1), 2.0)
        net.cut = {(0, 1), (1, 0)}
        net.run(2.5)
        self.assertIn("no lease", rejection(net.broker(0).retire, "b1", net.now))

    def test_a_state_that_changes_two_voters_or_names_a_stranger_is_refused(self) -> None:
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

    def test_every_state_of_neighbours_and_the_faults_that_are_found_there(self) -> None:
        kinds = [bounds for bounds in checker.STATED_LEASES if bounds.sets]
        for bounds in kinds[:2]:
            found = checker.leases(bounds)
            self.assertEqual((found.broken, found.whole), ("", True))
        two = replace(kinds[0], sets=(kinds[0].sets[0], (0,)))
        self.assertIn("they go by", checker.leases(two).broken)  # two voters at a time

        def earlier(made: leases.LeaseHolder, interval: leases.EpochInterval) -> list[tuple[int, ...]]:
            return [made.voters if interval[0] == made.wanted else made.previous_voters]

        with mock.patch.object(
            leases.LeaseHolder, "_voters_by_epoch", earlier
        ):  # of two epochs the first one's voters alone
            self.assertIn("they go by", checker.leases(kinds[2]).broken)

    def test_who_is_which_counts_once_where_all_begin_alike(self) -> None:
        start, moves, _ = checker._leasing(checker.Bounds(flights=1, ticks=1))
        after = dict(moves(start))
        for name in ("{} asks, {} answers, {} answers", "{} accepts"):
            keys = {
                checker._renamed(after[name.format(n, *(m for m in range(3) if m != n))]) for n in range(3)
            }
            self.assertEqual(len(keys), 1, name)
        self.assertNotEqual(checker._renamed(after["0 accepts"]), checker._renamed(start))


class Emergency(unittest.TestCase):
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

    def test_those_who_are_left_go_on_and_change_the_policy_again(self) -> None:
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

    def test_it_is_refused_while_it_is_not_one(self) -> None:
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

    def test_its_price_what_the_others_decided_meanwhile_is_void_once_they_hear_of_it(self) -> None:
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

    def test_two_halves_that_call_it_at_once_come_together_by_the_later_member(self) -> None:
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


class Searched(unittest.TestCase):
    """Every state of a small one, and faults that are found there."""

    def test_no_two_values_are_chosen_in_any_order(self) -> None:
        for bounds in checker.STATED_AGREEMENT[:2]:
            found = checker.agreement(bounds)
            self.assertEqual((found.broken, found.whole), ("", True))
            self.assertGreater(found.states, 3_000)

    def test_no_two_policies_are_gone_by_in_any_order(self) -> None:
        found = checker.leases(checker.Bounds(flights=0, ticks=1))
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

    def test_a_switch_that_does_not_wait_is_found(self) -> None:
        self.assertEqual(checker.wander(checker.WIDE, 1, 60), "")
        with mock.patch.object(leases, "overlap", lambda *_: True):
            self.assertIn("they go by", checker.leases(checker.Bounds(flights=0, ticks=2)).broken)


class Planted(unittest.TestCase):
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

    def test_a_voter_that_adds_no_error_of_clocks_is_found(self) -> None:
        self.slow_clock(300_000)
        with self.assertRaises(AssertionError) as told:
            self.slow_clock(0)
        self.assertIn("(0, 0)", str(told.exception))

    def test_a_voter_that_grants_at_once_after_its_start_is_found(self) -> None:
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

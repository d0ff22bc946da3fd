"""One broker's part in the fleet: datagrams, quotas and reports of several members in virtual time."""

from __future__ import annotations

import unittest

from virtual_fleet import START_US, VirtualFleet, limit_key

from lemonridge.fleet.datagrams import DatagramHeader, LoanGrant, MemberState, Ping, encode
from lemonridge.fleet.errors import DatagramFault
from lemonridge.fleet.events import DatagramReceived, ShutdownBegan, TimerFired
from lemonridge.fleet.health_gossip import ObservedOutcome
from lemonridge.fleet.member_list import hash_endpoint_id
from lemonridge.fleet.quota_ledger import LOAN_DURATION_US, TOTAL_PARTS, BudgetKey, BudgetKind
from lemonridge.fleet.settings import MemberSettings

SLOW_START = BudgetKey(int(BudgetKind.SLOW_START), 77)


class OneMember(unittest.TestCase):
    def test_quotas_follow_demand_and_return_when_a_borrower_dies(self) -> None:
        fleet = VirtualFleet(3)
        fleet.run(2.0)
        for _ in range(100):
            fleet.request(0, 5)
            fleet.step()
        self.assertGreater(fleet.quota_fraction(0, 5), 0.95)
        fleet.down.add(0)
        for _ in range(300):
            fleet.request(1, 5)
            fleet.step()
        self.assertGreater(fleet.quota_fraction(1, 5), 0.6)

    def test_no_answer_is_longer_than_its_question(self) -> None:
        fleet = VirtualFleet(4)
        for turn in range(400):
            for n in range(4):
                fleet.request(n if turn % 100 < 50 else 0, turn % 7)
            fleet.step()
        self.assertGreater(len(fleet.answer_sizes), 200)
        self.assertTrue(all(answer <= question for question, answer in fleet.answer_sizes))

    def test_what_is_sent_stays_within_its_budget_of_bytes(self) -> None:
        fleet = VirtualFleet(8, MemberSettings(send_budget_bytes_s=1000.0))
        for turn in range(1000):
            fleet.request(0, turn % 50)
            fleet.step()
        member = fleet.members[0]
        self.assertLessEqual(member.counts["bytes.sent"], 1000 * 10 + 1000)
        self.assertGreater(member.counts["items.left_out"], 0)

    def test_a_datagram_that_is_repeated_old_or_from_elsewhere_is_rejected(self) -> None:
        fleet = VirtualFleet(3)
        fleet.run(2.0)
        member = fleet.members[0]
        data = encode(
            DatagramHeader(
                1,
                MemberState.UP,
                fleet.members[1].membership.incarnation,
                0,
                10**6,
                fleet.now_us // 1000 % 2**32,
            ),
            [Ping(1, 0)],
            member.member_list.fingerprint,
        )
        for source, at, fault in (
            (None, 0, DatagramFault.ADDRESS),
            (2, 0, DatagramFault.ADDRESS),
            (1, 0, None),
            (1, 0, DatagramFault.REPLAYED),
            (1, 6_000_000, DatagramFault.OLD),
        ):
            before = dict(member.receiver.faults)
            member.handle(fleet.now_us + at, (DatagramReceived(source, data),))
            grown = {name for name, n in member.receiver.faults.items() if n != before.get(name, 0)}
            self.assertEqual(grown, {fault} - {None})

    def test_datagrams_beyond_the_rate_are_counted_and_not_read(self) -> None:
        member = VirtualFleet(2).members[0]
        for _ in range(600):
            member.handle(START_US, (DatagramReceived(1, b""),))
        self.assertEqual(
            (member.receiver.faults[DatagramFault.SHORT], member.receiver.faults[DatagramFault.OVERRUN]),
            (500, 100),
        )

    def test_two_reports_on_an_endpoint_agree_and_a_single_one_does_not(self) -> None:
        fleet = VirtualFleet(4)
        fleet.run(1.0)
        endpoint = hash_endpoint_id("s-1")
        self.assertTrue(
            fleet.members[1].record_outcome(endpoint, ObservedOutcome.CONNECT_FAILED, fleet.now_us)
        )
        fleet.carry_out(1, fleet.members[1].handle(fleet.now_us, (TimerFired(),)))
        self.assertEqual({one.summary.agreed for _, one in fleet.health_changes}, {False})
        fleet.members[2].record_outcome(endpoint, ObservedOutcome.CONNECT_FAILED, fleet.now_us)
        fleet.carry_out(2, fleet.members[2].handle(fleet.now_us, (TimerFired(),)))
        self.assertEqual({n for n, one in fleet.health_changes if one.summary.agreed}, {0, 3})

    def test_usage_counts_once_and_only_while_no_member_is_silent(self) -> None:
        fleet = VirtualFleet(3, MemberSettings(shares_usage=True))
        fleet.run(3.0)
        for _ in range(4):
            fleet.members[0].record_served(9, 2.5)
            fleet.run(0.6)
        units = sum(one.units for n, one in fleet.usage if n == 1 and one.volume == 9)
        self.assertEqual(units, 7.5)  # the first telling is where counting begins
        fleet.cut_links |= {(2, 1)}
        for _ in range(3):  # 1 hears 2 no more: of what that one served it knows nothing
            fleet.members[0].record_served(9, 2.5)
            fleet.run(0.6)
        before = len(fleet.usage)
        fleet.members[0].record_served(9, 2.5)
        fleet.run(0.6)
        self.assertEqual([n for n, _ in fleet.usage[before:]], [2])

    def test_slow_start_parts_are_lent_and_never_more_than_all_own(self) -> None:
        fleet = VirtualFleet(3)
        fleet.run(2.0)
        for n in range(3):
            fleet.carry_out(n, fleet.members[n].handle(fleet.now_us, (fleet.slow_start_began(fleet.now_us),)))
        for _ in range(150):
            fleet.members[0].record_shard_demand(4, 3.0, fleet.now_us)
            fleet.step()
            held = [
                fleet.quotas[n, BudgetKind.SLOW_START, 77].quota.parts
                if (n, BudgetKind.SLOW_START, 77) in fleet.quotas
                else 10**7
                for n in range(3)
            ]
            self.assertLessEqual(sum(held), 3 * 10**7)
        self.assertGreater(held[0], 1.9 * 10**7)  # its own, and half of the others

    def test_two_times_of_one_start_lend_to_each_other_and_a_slow_start_that_has_ended_lends_nothing(
        self,
    ) -> None:
        fleet = VirtualFleet(3)
        fleet.run(2.0)
        for n, late in ((0, 900_000), (1, 0), (2, -3_000_000)):  # seen itself, listed, and the start before
            fleet.carry_out(
                n, fleet.members[n].handle(fleet.now_us, (fleet.slow_start_began(fleet.now_us + late, 2.0),))
            )
        for _ in range(60):
            fleet.members[0].record_shard_demand(4, 3.0, fleet.now_us)
            fleet.members[2].record_shard_demand(4, 3.0, fleet.now_us)
            fleet.step()
        self.assertGreater(fleet.quotas[0, BudgetKind.SLOW_START, 77].quota.parts, 10**7)
        self.assertFalse(fleet.members[2].ledger.budgets[SLOW_START].loans_in)  # it holds the node warmer
        for _ in range(160):  # by then the spell is over
            fleet.members[0].record_shard_demand(4, 3.0, fleet.now_us)
            fleet.step()
        self.assertEqual(
            {one.ledger.budgets[SLOW_START].loaned_parts(fleet.now_us) for one in fleet.members}, {0}
        )

    def test_a_slow_start_that_begins_again_uses_nothing_that_is_still_lent(self) -> None:
        fleet = VirtualFleet(3)
        fleet.run(2.0)
        for n in range(3):
            fleet.carry_out(n, fleet.members[n].handle(fleet.now_us, (fleet.slow_start_began(fleet.now_us),)))
        for _ in range(60):
            fleet.members[0].record_shard_demand(4, 3.0, fleet.now_us)
            fleet.step()
        lent = fleet.members[1].ledger.budgets[SLOW_START].loaned_parts(fleet.now_us)
        self.assertEqual(lent, 5 * 10**6)
        fleet.carry_out(1, fleet.members[1].handle(fleet.now_us, (fleet.slow_start_began(fleet.now_us + 1),)))
        self.assertLessEqual(fleet.quotas[1, BudgetKind.SLOW_START, 77].quota.parts, 10**7 - lent)
        fleet.carry_out(0, fleet.members[0].handle(fleet.now_us, (fleet.slow_start_began(fleet.now_us + 2),)))
        self.assertEqual(
            fleet.quotas[0, BudgetKind.SLOW_START, 77].quota.parts, 10**7
        )  # what it had borrowed goes back

    def test_in_a_large_fleet_the_users_of_a_limit_find_each_other_and_no_one_else_is_asked(self) -> None:
        fleet = VirtualFleet(30)
        fleet.run(2.5)  # no recalls there: a start has its floors for the whole time
        users = (3, 11, 27)
        for turn in range(300):
            for n in users if turn < 10 else users[:1]:
                fleet.request(n, 5)
            fleet.step()
        self.assertEqual(fleet.members[3].ledger.budgets[limit_key(5)].users & set(users), {11, 27})
        self.assertGreater(fleet.quota_fraction(3, 5), 0.9)
        places = set(fleet.members[3].registry.rendezvous_members(limit_key(5)))
        knows = {n for n, one in enumerate(fleet.members) if limit_key(5) in one.ledger.budgets}
        self.assertLessEqual(len(knows - set(users) - places), 2 * 8)
        named = {
            one.registry.rendezvous_members(limit_key(5))
            for one in fleet.members
            if one.member_list.own_id not in places
        }
        self.assertEqual(len(named), 1)  # all but those themselves name the same two

    def test_a_member_that_shuts_down_returns_its_loans(self) -> None:
        fleet = VirtualFleet(3)
        fleet.run(2.0)
        for _ in range(60):
            fleet.request(0, 5)
            fleet.step()
        fleet.carry_out(0, fleet.members[0].handle(fleet.now_us, (ShutdownBegan(),)))
        self.assertFalse(fleet.members[1].ledger.budgets[limit_key(5)].loans_out)
        self.assertEqual(fleet.members[1].membership.members[0].state, MemberState.DRAINING)

    def test_a_grant_that_answers_no_open_request_is_ignored(self) -> None:
        fleet = VirtualFleet(3)
        fleet.run(2.0)
        fleet.request(0, 5)
        ledger = fleet.members[0].ledger
        key = limit_key(5)
        before = ledger.quota(key, fleet.now_us)
        self.assertFalse(ledger.on_grant(1, START_US, LoanGrant(*key, 12345, TOTAL_PARTS, 1), fleet.now_us))
        self.assertEqual(ledger.quota(key, fleet.now_us), before)
        request = ledger.make_request(key, fleet.now_us)
        self.assertFalse(
            ledger.on_grant(
                1, START_US, LoanGrant(*key, request.request_id, 1000, 1), fleet.now_us + LOAN_DURATION_US
            )
        )

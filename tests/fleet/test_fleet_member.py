"""Fleet members: datagrams, quotas and reports between several members in virtual time."""

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


class FleetMembers(unittest.TestCase):
    def test_quotas_follow_demand_and_return_after_the_borrower_dies(self) -> None:
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

    def test_no_answer_is_longer_than_the_datagram_it_answers(self) -> None:
        fleet = VirtualFleet(4)
        for step in range(400):
            for n in range(4):
                fleet.request(n if step % 100 < 50 else 0, step % 7)
            fleet.step()
        self.assertGreater(len(fleet.answer_sizes), 200)
        self.assertTrue(all(answer <= received for received, answer in fleet.answer_sizes))

    def test_sent_bytes_stay_within_the_byte_budget(self) -> None:
        fleet = VirtualFleet(8, MemberSettings(send_budget_bytes_s=1000.0))
        for step in range(1000):
            fleet.request(0, step % 50)
            fleet.step()
        member = fleet.members[0]
        self.assertLessEqual(member.counts["bytes.sent"], 1000 * 10 + 1000)
        self.assertGreater(member.counts["items.left_out"], 0)

    def test_repeated_old_or_wrong_source_datagram_is_rejected(self) -> None:
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
        for source, delay_us, fault in (
            (None, 0, DatagramFault.ADDRESS),
            (2, 0, DatagramFault.ADDRESS),
            (1, 0, None),
            (1, 0, DatagramFault.REPLAYED),
            (1, 6_000_000, DatagramFault.OLD),
        ):
            previous_faults = dict(member.receiver.faults)
            member.handle(fleet.now_us + delay_us, (DatagramReceived(source, data),))
            new_faults = {
                counted
                for counted, count in member.receiver.faults.items()
                if count != previous_faults.get(counted, 0)
            }
            self.assertEqual(new_faults, {fault} - {None})

    def test_datagrams_above_the_rate_limit_are_counted_and_not_decoded(self) -> None:
        member = VirtualFleet(2).members[0]
        for _ in range(600):
            member.handle(START_US, (DatagramReceived(1, b""),))
        self.assertEqual(
            (member.receiver.faults[DatagramFault.SHORT], member.receiver.faults[DatagramFault.OVERRUN]),
            (500, 100),
        )

    def test_two_health_reports_on_an_endpoint_are_agreed_and_a_single_one_is_not(self) -> None:
        fleet = VirtualFleet(4)
        fleet.run(1.0)
        endpoint = hash_endpoint_id("s-1")
        self.assertTrue(
            fleet.members[1].record_outcome(endpoint, ObservedOutcome.CONNECT_FAILED, fleet.now_us)
        )
        fleet.carry_out(1, fleet.members[1].handle(fleet.now_us, (TimerFired(),)))
        self.assertEqual({change.summary.agreed for _, change in fleet.health_changes}, {False})
        fleet.members[2].record_outcome(endpoint, ObservedOutcome.CONNECT_FAILED, fleet.now_us)
        fleet.carry_out(2, fleet.members[2].handle(fleet.now_us, (TimerFired(),)))
        self.assertEqual({n for n, change in fleet.health_changes if change.summary.agreed}, {0, 3})

    def test_usage_is_counted_once_and_only_while_no_member_is_silent(self) -> None:
        fleet = VirtualFleet(3, MemberSettings(shares_usage=True))
        fleet.run(3.0)
        for _ in range(4):
            fleet.members[0].record_served(9, 2.5)
            fleet.run(0.6)
        units = sum(usage.units for n, usage in fleet.usage if n == 1 and usage.volume == 9)
        self.assertEqual(units, 7.5)  # the first report is the baseline
        fleet.cut_links |= {(2, 1)}
        for _ in range(3):  # member 1 no longer receives member 2, so the usage of member 2 is unknown to it
            fleet.members[0].record_served(9, 2.5)
            fleet.run(0.6)
        previous_count = len(fleet.usage)
        fleet.members[0].record_served(9, 2.5)
        fleet.run(0.6)
        self.assertEqual([n for n, _ in fleet.usage[previous_count:]], [2])

    def test_slow_start_quota_is_lent_and_quotas_never_exceed_the_owned_total(self) -> None:
        fleet = VirtualFleet(3)
        fleet.run(2.0)
        for n in range(3):
            fleet.carry_out(n, fleet.members[n].handle(fleet.now_us, (fleet.slow_start_began(fleet.now_us),)))
        for _ in range(150):
            fleet.members[0].record_shard_demand(4, 3.0, fleet.now_us)
            fleet.step()
            quotas = [
                fleet.quotas[n, BudgetKind.SLOW_START, 77].quota.parts
                if (n, BudgetKind.SLOW_START, 77) in fleet.quotas
                else 10**7
                for n in range(3)
            ]
            self.assertLessEqual(sum(quotas), 3 * 10**7)
        self.assertGreater(quotas[0], 1.9 * 10**7)  # its own parts and half of the others'

    def test_different_times_of_one_slow_start_share_quota_and_an_ended_slow_start_lends_none(
        self,
    ) -> None:
        fleet = VirtualFleet(3)
        fleet.run(2.0)
        # Member 0 observed the start itself, member 1 read it from the endpoint list, and member 2 knows only
        # the previous start.
        for n, offset_us in ((0, 900_000), (1, 0), (2, -3_000_000)):
            fleet.carry_out(
                n,
                fleet.members[n].handle(
                    fleet.now_us, (fleet.slow_start_began(fleet.now_us + offset_us, 2.0),)
                ),
            )
        for _ in range(60):
            fleet.members[0].record_shard_demand(4, 3.0, fleet.now_us)
            fleet.members[2].record_shard_demand(4, 3.0, fleet.now_us)
            fleet.step()
        self.assertGreater(fleet.quotas[0, BudgetKind.SLOW_START, 77].quota.parts, 10**7)
        self.assertFalse(fleet.members[2].ledger.budgets[SLOW_START].loans_in)  # its slow start is older
        for _ in range(160):  # until after the end of the slow start
            fleet.members[0].record_shard_demand(4, 3.0, fleet.now_us)
            fleet.step()
        self.assertEqual(
            {member.ledger.budgets[SLOW_START].loaned_parts(fleet.now_us) for member in fleet.members}, {0}
        )

    def test_repeated_slow_start_does_not_use_parts_that_are_still_lent(self) -> None:
        fleet = VirtualFleet(3)
        fleet.run(2.0)
        for n in range(3):
            fleet.carry_out(n, fleet.members[n].handle(fleet.now_us, (fleet.slow_start_began(fleet.now_us),)))
        for _ in range(60):
            fleet.members[0].record_shard_demand(4, 3.0, fleet.now_us)
            fleet.step()
        loaned_parts = fleet.members[1].ledger.budgets[SLOW_START].loaned_parts(fleet.now_us)
        self.assertEqual(loaned_parts, 5 * 10**6)
        fleet.carry_out(1, fleet.members[1].handle(fleet.now_us, (fleet.slow_start_began(fleet.now_us + 1),)))
        self.assertLessEqual(fleet.quotas[1, BudgetKind.SLOW_START, 77].quota.parts, 10**7 - loaned_parts)
        fleet.carry_out(0, fleet.members[0].handle(fleet.now_us, (fleet.slow_start_began(fleet.now_us + 2),)))
        # The borrowed parts are returned.
        self.assertEqual(fleet.quotas[0, BudgetKind.SLOW_START, 77].quota.parts, 10**7)

    def test_users_of_a_limit_in_a_large_fleet_find_each_other_and_request_from_few_others(self) -> None:
        fleet = VirtualFleet(30)
        fleet.run(2.5)  # a large fleet sends no recalls, so the floors apply for the whole time
        users = (3, 11, 27)
        for step in range(300):
            for n in users if step < 10 else users[:1]:
                fleet.request(n, 5)
            fleet.step()
        self.assertEqual(fleet.members[3].ledger.budgets[limit_key(5)].users & set(users), {11, 27})
        self.assertGreater(fleet.quota_fraction(3, 5), 0.9)
        rendezvous = set(fleet.members[3].registry.rendezvous_members(limit_key(5)))
        holders = {n for n, member in enumerate(fleet.members) if limit_key(5) in member.ledger.budgets}
        self.assertLessEqual(len(holders - set(users) - rendezvous), 2 * 8)
        rendezvous_pairs = {
            member.registry.rendezvous_members(limit_key(5))
            for member in fleet.members
            if member.member_list.own_id not in rendezvous
        }
        self.assertEqual(len(rendezvous_pairs), 1)  # all other members derive the same two

    def test_member_that_shuts_down_returns_its_loans(self) -> None:
        fleet = VirtualFleet(3)
        fleet.run(2.0)
        for _ in range(60):
            fleet.request(0, 5)
            fleet.step()
        fleet.carry_out(0, fleet.members[0].handle(fleet.now_us, (ShutdownBegan(),)))
        self.assertFalse(fleet.members[1].ledger.budgets[limit_key(5)].loans_out)
        self.assertEqual(fleet.members[1].membership.members[0].state, MemberState.DRAINING)

    def test_grant_without_an_open_request_is_ignored(self) -> None:
        fleet = VirtualFleet(3)
        fleet.run(2.0)
        fleet.request(0, 5)
        ledger = fleet.members[0].ledger
        key = limit_key(5)
        previous_quota = ledger.quota(key, fleet.now_us)
        self.assertFalse(ledger.on_grant(1, START_US, LoanGrant(*key, 12345, TOTAL_PARTS, 1), fleet.now_us))
        self.assertEqual(ledger.quota(key, fleet.now_us), previous_quota)
        request = ledger.make_request(key, fleet.now_us)
        self.assertFalse(
            ledger.on_grant(
                1, START_US, LoanGrant(*key, request.request_id, 1000, 1), fleet.now_us + LOAN_DURATION_US
            )
        )

"""The fleet's pure machines: the datagram, membership, judgements, counts, and all of it for one broker."""

from __future__ import annotations

import unittest
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from lemonridge.fleet.actions import (
    PeerHealthChanged,
    PeerUsageReceived,
    QuotaUpdated,
    SendDatagram,
    SetTimer,
)
from lemonridge.fleet.datagrams import (
    DATAGRAM_MAX_BYTES,
    ITEM_TYPES,
    DatagramHeader,
    HealthReport,
    LoanGrant,
    LoanRequest,
    MembershipUpdate,
    MemberState,
    Ping,
    PingRequest,
    decode,
    encode,
)
from lemonridge.fleet.errors import DatagramError, DatagramFault
from lemonridge.fleet.events import DatagramReceived, ShutdownBegan, SlowStartBegan, TimerFired
from lemonridge.fleet.fleet_member import FleetMember
from lemonridge.fleet.health_gossip import (
    REPORT_MAX_AGE_US,
    LocalObservations,
    ObservedOutcome,
    PeerHealthReports,
    ReportedCondition,
)
from lemonridge.fleet.member_list import MemberList, key_of
from lemonridge.fleet.quota_ledger import LOAN_DURATION_US, WHOLE_PARTS, BudgetKey, BudgetKind
from lemonridge.fleet.settings import MemberSettings
from lemonridge.fleet.usage_totals import GROWTH_MAX_AGE_US, CounterKey, UsageKind, UsageTotals
from lemonridge.lab.measure.membership import row
from lemonridge.net.peer_transport import KeyedDatagramSigner

NOW = 1_800_000_000_000_000
SERVED = CounterKey(int(UsageKind.SERVED), 9)
HEAD = DatagramHeader(1, MemberState.UP, NOW // 1000, 3, 7, 99)


class TheDatagram(unittest.TestCase):
    def test_every_item_comes_back_as_it_was(self) -> None:
        for kind in ITEM_TYPES:
            fields = kind.LAYOUT.unpack(bytes(kind.LAYOUT.size))  # for the types and lengths of each
            item = kind(
                *(
                    b"\x07" * len(one) if isinstance(one, bytes) else number
                    for number, one in enumerate(fields, 1)
                )
            )
            self.assertEqual(decode(encode(HEAD, [item], 5), 5), decode(encode(HEAD, [item], 5), 5))
            self.assertEqual(decode(encode(HEAD, [item], 5), 5).items, (item,))

    def test_cut_or_flipped_anywhere_it_is_not_taken(self) -> None:
        for signer in (None, KeyedDatagramSigner(b"a secret of the fleet")):
            items = [Ping(3, 1), LoanRequest(1, 2**63, 3, 77, 500_000, 1500), MembershipUpdate(2, 5, 1, 4)]
            data = encode(HEAD, items, 12, signer)
            for place in range(len(data)):
                spoilt = bytearray(data)
                spoilt[place] ^= 1 << place % 8
                for bad in (data[:place], bytes(spoilt)):
                    with self.assertRaises(DatagramError):
                        decode(bad, 12, signer)

    def test_a_wrong_secret_another_roster_and_an_unknown_item_have_their_flaws(self) -> None:
        data = encode(HEAD, [Ping(3, 1)], 12, KeyedDatagramSigner(b"one secret, long enough"))
        for told, signer, fingerprint, fault in (
            (data, KeyedDatagramSigner(b"another secret, as long"), 12, DatagramFault.FORGED),
            (encode(HEAD, [], 12), None, 13, DatagramFault.ROSTER),
            (encode(HEAD, [], 12)[:10], None, 12, DatagramFault.SHORT),
        ):
            with self.assertRaises(DatagramError) as caught:
                decode(told, fingerprint, signer)
            self.assertIs(caught.exception.fault, fault)

    @settings(max_examples=300, deadline=None, derandomize=True)
    @given(st.binary(max_size=300))
    def test_no_bytes_do_harm(self, data: bytes) -> None:
        with self.assertRaises(DatagramError):
            decode(data, 12)


class Net:
    """Some machines on a network in one thread: what is told comes at once, unless a link is cut."""

    def __init__(self, count: int, **tuning: object) -> None:
        self.now = NOW
        names = tuple(map(str, range(count)))
        self.fleets = [
            FleetMember(MemberList(names, n), NOW // 1000 + n, n, self.now, MemberSettings(**tuning))  # type: ignore
            for n in range(count)
        ]
        self.wakes = [self.now] * count
        self.cut: set[tuple[int, int]] = set()
        self.down: set[int] = set()
        self.slices: dict[tuple[int, BudgetKind, int], QuotaUpdated] = {}
        self.judged: list[tuple[int, PeerHealthChanged]] = []
        self.served: list[tuple[int, PeerUsageReceived]] = []
        self.sizes: list[tuple[int, int]] = []  # of questions and of the answers made to them

    def step(self, us: int = 10_000) -> None:
        self.now += us
        for n in range(len(self.fleets)):
            if n not in self.down and self.wakes[n] <= self.now:
                self.act(n, self.fleets[n].handle(self.now, (TimerFired(),)))

    def run(self, seconds: float) -> None:
        for _ in range(int(seconds * 100)):
            self.step()

    def act(self, n: int, actions: list[object], question: int | None = None) -> None:
        for action in actions:
            if isinstance(action, SetTimer):
                self.wakes[n] = action.at_us
            elif isinstance(action, QuotaUpdated):
                self.slices[n, action.kind, action.key] = action
            elif isinstance(action, PeerHealthChanged):
                self.judged.append((n, action))
            elif isinstance(action, PeerUsageReceived):
                self.served.append((n, action))
            elif (
                isinstance(action, SendDatagram)
                and (n, action.to) not in self.cut
                and action.to not in self.down
            ):
                told = self.fleets[action.to].handle(self.now, (DatagramReceived(n, action.data),))
                for answer in told:
                    if isinstance(answer, SendDatagram) and answer.to == n:
                        items = decode(answer.data, self.fleets[n].member_list.fingerprint).items
                        if not any(isinstance(item, (Ping, PingRequest, LoanRequest)) for item in items):
                            self.sizes.append((len(action.data), len(answer.data)))
                self.act(action.to, told)

    def want(self, n: int, volume: int, hosts: int = 3) -> None:
        told = self.fleets[n].record_limit_demand(volume, 20.0, hosts, 4.0, self.now)
        if told is not None:
            self.slices[n, told.kind, told.key] = told

    def part(self, n: int, volume: int) -> float:
        told = self.slices[n, BudgetKind.LIMIT, volume].quota
        return (
            told.parts if self.now < told.until_us or told.parts == told.parts_after else told.parts_after
        ) / WHOLE_PARTS


class OneBroker(unittest.TestCase):
    def test_slices_follow_demand_and_come_back_when_a_borrower_dies(self) -> None:
        net = Net(3)
        net.run(2.0)
        for _ in range(100):
            net.want(0, 5)
            net.step()
        self.assertGreater(net.part(0, 5), 0.95)
        net.down.add(0)
        for _ in range(300):
            net.want(1, 5)
            net.step()
        self.assertGreater(net.part(1, 5), 0.6)

    def test_no_answer_is_longer_than_its_question(self) -> None:
        net = Net(4)
        for turn in range(400):
            for n in range(4):
                net.want(n if turn % 100 < 50 else 0, turn % 7)
            net.step()
        self.assertGreater(len(net.sizes), 200)
        self.assertTrue(all(answer <= question for question, answer in net.sizes))

    def test_what_is_sent_stays_within_its_budget_of_bytes(self) -> None:
        net = Net(8, send_budget_bytes_s=1000.0)
        for turn in range(1000):
            net.want(0, turn % 50)
            net.step()
        fleet = net.fleets[0]
        self.assertLessEqual(fleet.counts["bytes.sent"], 1000 * 10 + 1000)
        self.assertGreater(fleet.counts["items.left_out"], 0)

    def test_twice_or_old_or_from_elsewhere_a_datagram_changes_nothing(self) -> None:
        net = Net(3)
        net.run(2.0)
        fleet = net.fleets[0]
        data = encode(
            DatagramHeader(
                1, MemberState.UP, net.fleets[1].membership.incarnation, 0, 10**6, net.now // 1000 % 2**32
            ),
            [Ping(1, 0)],
            fleet.member_list.fingerprint,
        )
        for source, at, fault in (
            (None, 0, DatagramFault.ADDRESS),
            (2, 0, DatagramFault.ADDRESS),
            (1, 0, None),
            (1, 0, DatagramFault.REPLAYED),
            (1, 6_000_000, DatagramFault.OLD),
        ):
            before = dict(fleet.receiver.faults)
            fleet.handle(net.now + at, (DatagramReceived(source, data),))
            grown = {name for name, n in fleet.receiver.faults.items() if n != before.get(name, 0)}
            self.assertEqual(grown, {fault} - {None})

    def test_more_datagrams_than_are_read_in_a_second_are_counted_and_left(self) -> None:
        fleet = Net(2).fleets[0]
        for _ in range(600):
            fleet.handle(NOW, (DatagramReceived(1, b""),))
        self.assertEqual(
            (fleet.receiver.faults[DatagramFault.SHORT], fleet.receiver.faults[DatagramFault.OVERRUN]),
            (500, 100),
        )

    def test_a_node_that_several_found_down_is_told_and_one_lie_is_a_lone_voice(self) -> None:
        net = Net(4)
        net.run(1.0)
        endpoint = key_of("s-1")
        self.assertTrue(net.fleets[1].record_outcome(endpoint, ObservedOutcome.CONNECT_FAILED, net.now))
        net.act(1, net.fleets[1].handle(net.now, (TimerFired(),)))
        self.assertEqual({one.summary.agreed for _, one in net.judged}, {False})
        net.fleets[2].record_outcome(endpoint, ObservedOutcome.CONNECT_FAILED, net.now)
        net.act(2, net.fleets[2].handle(net.now, (TimerFired(),)))
        self.assertEqual({n for n, one in net.judged if one.summary.agreed}, {0, 3})

    def test_counts_reach_the_others_once_and_only_while_all_are_heard(self) -> None:
        net = Net(3, shares_usage=True)
        net.run(3.0)
        for _ in range(4):
            net.fleets[0].record_served(9, 2.5)
            net.run(0.6)
        units = sum(one.units for n, one in net.served if n == 1 and one.volume == 9)
        self.assertEqual(units, 7.5)  # the first telling is where counting begins
        net.cut |= {(2, 1)}
        for _ in range(3):  # 1 hears 2 no more: of what that one served it knows nothing
            net.fleets[0].record_served(9, 2.5)
            net.run(0.6)
        before = len(net.served)
        net.fleets[0].record_served(9, 2.5)
        net.run(0.6)
        self.assertEqual([n for n, _ in net.served[before:]], [2])

    def test_a_cold_spells_parts_are_lent_and_never_more_than_all_have(self) -> None:
        net = Net(3)
        net.run(2.0)
        for n in range(3):
            net.act(n, net.fleets[n].handle(net.now, (slow_start_began(net, net.now),)))
        for _ in range(150):
            net.fleets[0].record_shard_demand(4, 3.0, net.now)
            net.step()
            held = [
                net.slices[n, BudgetKind.SLOW_START, 77].quota.parts
                if (n, BudgetKind.SLOW_START, 77) in net.slices
                else 10**7
                for n in range(3)
            ]
            self.assertLessEqual(sum(held), 3 * 10**7)
        self.assertGreater(held[0], 1.9 * 10**7)  # its own, and half of the others

    def test_two_sights_of_one_start_lend_to_each_other_and_a_spell_that_is_over_lends_nothing(self) -> None:
        net = Net(3)
        net.run(2.0)
        for n, late in ((0, 900_000), (1, 0), (2, -3_000_000)):  # seen itself, listed, and the start before
            net.act(n, net.fleets[n].handle(net.now, (slow_start_began(net, net.now + late, 2.0),)))
        for _ in range(60):
            net.fleets[0].record_shard_demand(4, 3.0, net.now)
            net.fleets[2].record_shard_demand(4, 3.0, net.now)
            net.step()
        self.assertGreater(net.slices[0, BudgetKind.SLOW_START, 77].quota.parts, 10**7)
        self.assertFalse(
            net.fleets[2].ledger.budgets[int(BudgetKind.SLOW_START), 77].loans_in
        )  # it holds the node warmer
        for _ in range(160):  # by then the spell is over
            net.fleets[0].record_shard_demand(4, 3.0, net.now)
            net.step()
        self.assertEqual(
            {one.ledger.budgets[int(BudgetKind.SLOW_START), 77].lent(net.now) for one in net.fleets}, {0}
        )

    def test_a_spell_that_begins_anew_uses_nothing_twice_of_what_is_lent_still(self) -> None:
        net = Net(3)
        net.run(2.0)
        for n in range(3):
            net.act(n, net.fleets[n].handle(net.now, (slow_start_began(net, net.now),)))
        for _ in range(60):
            net.fleets[0].record_shard_demand(4, 3.0, net.now)
            net.step()
        lent = net.fleets[1].ledger.budgets[int(BudgetKind.SLOW_START), 77].lent(net.now)
        self.assertEqual(lent, 5 * 10**6)
        net.act(1, net.fleets[1].handle(net.now, (slow_start_began(net, net.now + 1),)))
        self.assertLessEqual(net.slices[1, BudgetKind.SLOW_START, 77].quota.parts, 10**7 - lent)
        net.act(0, net.fleets[0].handle(net.now, (slow_start_began(net, net.now + 2),)))
        self.assertEqual(
            net.slices[0, BudgetKind.SLOW_START, 77].quota.parts, 10**7
        )  # what it had borrowed goes back

    def test_in_a_large_fleet_the_users_of_a_limit_find_each_other_and_no_one_else_is_asked(self) -> None:
        net = Net(30)
        net.run(2.5)  # no recalls there: a start has its floors for the whole time
        users = (3, 11, 27)
        for turn in range(300):
            for n in users if turn < 10 else users[:1]:
                net.want(n, 5)
            net.step()
        self.assertEqual(net.fleets[3].ledger.budgets[int(BudgetKind.LIMIT), 5].users & set(users), {11, 27})
        self.assertGreater(net.part(3, 5), 0.9)
        places = set(net.fleets[3].registry.rendezvous_members(BudgetKey(int(BudgetKind.LIMIT), 5)))
        knows = {n for n, one in enumerate(net.fleets) if (int(BudgetKind.LIMIT), 5) in one.ledger.budgets}
        self.assertLessEqual(len(knows - set(users) - places), 2 * 8)
        named = {
            one.registry.rendezvous_members(BudgetKey(int(BudgetKind.LIMIT), 5))
            for one in net.fleets
            if one.member_list.me not in places
        }
        self.assertEqual(len(named), 1)  # all but those themselves name the same two

    def test_one_that_leaves_gives_back_first(self) -> None:
        net = Net(3)
        net.run(2.0)
        for _ in range(60):
            net.want(0, 5)
            net.step()
        net.act(0, net.fleets[0].handle(net.now, (ShutdownBegan(),)))
        self.assertFalse(net.fleets[1].ledger.budgets[int(BudgetKind.LIMIT), 5].loans_out)
        self.assertEqual(net.fleets[1].membership.members[0].state, MemberState.DRAINING)


def slow_start_began(net: Net, born_us: int, lasts_s: float = 10.0) -> SlowStartBegan:
    return SlowStartBegan("s-1", 77, 4, 10.0, born_us, net.now + int(lasts_s * 1e6))


class Membership(unittest.TestCase):
    def test_a_death_is_known_to_all_in_seconds_and_nobody_else_accused(self) -> None:
        for count, loss, slow in ((3, 0.0, False), (16, 0.3, False), (16, 0.0, True)):
            told = row(count, loss, "swim", slow=slow)
            self.assertEqual((told["accused"], told["known_to"]), (0, count - 1), told)
            self.assertLess(told["all_s"], 8.0)
            self.assertLess(told["bytes_s"], 800)

    def test_one_that_was_stopped_refutes_and_is_up_again_as_a_new_round(self) -> None:
        net = Net(4)
        net.run(3.0)
        net.down.add(0)
        net.run(8.0)
        self.assertEqual({net.fleets[n].membership.members[0].state for n in (1, 2, 3)}, {MemberState.DEAD})
        net.down.clear()
        net.run(6.0)
        self.assertEqual({net.fleets[n].membership.members[0].state for n in (1, 2, 3)}, {MemberState.UP})
        self.assertGreater(net.fleets[0].membership.suspicions_of_self, 0)
        self.assertGreater(net.fleets[0].membership.state_version, 1)
        self.assertEqual(net.fleets[0].membership.members[1].deaths, 0)  # it blamed no one for its own stop

    def test_two_halves_hold_each_other_dead_and_find_each_other_again(self) -> None:
        net = Net(6)
        net.run(3.0)
        net.cut = {(a, b) for a in range(6) for b in range(6) if (a < 3) != (b < 3)}
        net.run(12.0)
        self.assertEqual(net.fleets[0].membership.members[5].state, MemberState.DEAD)
        self.assertEqual(net.fleets[0].membership.members[1].state, MemberState.UP)
        net.cut.clear()
        net.run(8.0)
        for n, fleet in enumerate(net.fleets):
            self.assertEqual(
                {fleet.membership.members[o].state for o in range(6) if o != n}, {MemberState.UP}
            )

    def test_a_later_incarnation_under_its_name_is_found_by_the_older_one(self) -> None:
        net = Net(3)
        net.fleets[0].membership.on_update(
            1, MembershipUpdate(0, NOW // 1000 + 10**6, 0, MemberState.UP), net.now
        )
        self.assertTrue(net.fleets[0].membership.superseded)


class Told(unittest.TestCase):
    def test_old_words_and_own_words_decide_nothing(self) -> None:
        said = PeerHealthReports()
        self.assertIsNone(
            said.record(1, 5, ReportedCondition.UNREACHABLE, 1, NOW - REPORT_MAX_AGE_US - 1, NOW)
        )
        self.assertIsNone(said.record(1, 5, 99, 1, NOW, NOW))
        self.assertFalse(said.record(1, 5, ReportedCondition.UNREACHABLE, 9, NOW, NOW).agreed)  # type: ignore[union-attr]
        self.assertIsNone(
            said.record(1, 5, ReportedCondition.UNREACHABLE, 9, NOW, NOW)
        )  # the same report again
        self.assertTrue(said.record(2, 5, ReportedCondition.UNRESPONSIVE, 1, NOW, NOW).agreed)  # type: ignore[union-attr]
        self.assertIsNone(said.summary(5, NOW + REPORT_MAX_AGE_US + 1))

    def test_evidence_is_what_was_seen_of_late(self) -> None:
        seen = LocalObservations()
        for _ in range(4):
            seen.record(5, ObservedOutcome.ERROR, NOW)
        self.assertEqual([one.condition for one in seen.reportable(NOW)], [ReportedCondition.ERRORS])
        for _ in range(4):
            seen.record(5, ObservedOutcome.GOOD, NOW)
        self.assertEqual(seen.reportable(NOW), [])
        seen.record(5, ObservedOutcome.CONNECT_FAILED, NOW)
        seen.record(5, ObservedOutcome.GOOD, NOW + 1_500_000)
        self.assertEqual(
            [one.condition for one in seen.reportable(NOW + 1_500_000)], [ReportedCondition.RESTARTED]
        )
        self.assertEqual(seen.reportable(NOW + 9_000_000), [])

    @settings(max_examples=100, deadline=None, derandomize=True)
    @given(st.integers(0, 2**32))
    def test_totals_twice_late_or_of_a_life_before_add_nothing(self, seed: int) -> None:
        random, heard = Random(seed), UsageTotals()
        told = [(incarnation, total) for incarnation in (1, 2) for total in range(0, 50_000, 1000)]
        heard.on_total(1, 1, SERVED, 0, NOW)
        came = 0.0
        for incarnation, total in told:
            for _ in range(random.randrange(1, 3)):
                back = random.choice(told[: told.index((incarnation, total)) + 1])
                came += heard.on_total(1, back[0], SERVED, back[1], NOW)
            came += heard.on_total(1, incarnation, SERVED, total, NOW)
        self.assertEqual(came, 49 + 49)
        self.assertEqual(heard.on_total(1, 2, SERVED, 99_000, NOW + GROWTH_MAX_AGE_US + 1), 0.0)


class Grants(unittest.TestCase):
    def test_a_grant_that_nobody_asked_for_is_worth_nothing(self) -> None:
        net = Net(3)
        net.run(2.0)
        net.want(0, 5)
        ledger = net.fleets[0].ledger
        key = BudgetKey(int(BudgetKind.LIMIT), 5)
        before = ledger.quota(key, net.now)
        self.assertFalse(ledger.on_grant(1, NOW, LoanGrant(*key, 12345, WHOLE_PARTS, 1), net.now))
        self.assertEqual(ledger.quota(key, net.now), before)
        want = ledger.make_request(key, net.now)
        self.assertFalse(
            ledger.on_grant(1, NOW, LoanGrant(*key, want.request_id, 1000, 1), net.now + LOAN_DURATION_US)
        )

    def test_a_judgement_about_nodes_has_a_place_in_a_datagram(self) -> None:
        items = [HealthReport(n, 1, 1, 0) for n in range(15)]
        self.assertLessEqual(len(encode(HEAD, items, 1)), DATAGRAM_MAX_BYTES)

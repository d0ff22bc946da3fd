"""Measures changes of policy in virtual time: brokers with own disks and clocks on a simulated network.

The brokers run the real `RolloutMember`; delays, losses and duplicates are drawn from a seed. `figures`
measures how long a change takes by fleet size, loss, lease duration and dead brokers, and the bytes sent at
rest. The tests of the rollout use the simulation too.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from statistics import median

import msgspec

from lemonridge.fleet.datagrams import HEADER_BYTES, Item, item_bytes
from lemonridge.rollout import leases, policy_document
from lemonridge.rollout.errors import PolicyError, RolloutError
from lemonridge.rollout.lease_exchange import CLOCK_ERROR_US, LEASE_US
from lemonridge.rollout.leases import NO_EPOCHS, have_common_epoch
from lemonridge.rollout.member_context import PersistVote, SendMessage
from lemonridge.rollout.policy_document import Class, Plan, Policy, Rules
from lemonridge.rollout.rollout_member import RolloutMember
from lemonridge.rollout.state_check import ValidatePolicy
from lemonridge.rollout.vote_log import StoredVote

STEP_US = 10_000
DELAY_US = (500, 25_000)


def policy(limit: float = 24.0, latency_objective_ms: float = 300.0, attempts: int = 4) -> Policy:
    """Returns a policy of two plans and one class."""
    basic = Plan(name="basic", limit=limit, burst=12.0, slack=2.0)
    return Policy(
        plan=(basic, Plan(name="gold", reserve=40.0)),
        classes=(Class(name="read", latency_objective_ms=latency_objective_ms),),
        rules=Rules(max_attempts=attempts),
    )


def valid(_: Policy) -> None:
    """Accepts any policy, for a broker that can decide by all of them."""


def invalid(reason: str) -> ValidatePolicy:
    """Returns a check that rejects any policy for a reason."""

    def validate(_: Policy) -> None:
        raise PolicyError(reason)

    return validate


def rejection(call: Callable[..., None], *arguments: object) -> str:
    """Makes a call; returns the reason for which it is rejected, or an empty string."""
    try:
        call(*arguments)
    except RolloutError as error:
        return str(error)
    return ""


class RolloutFleet:
    """Brokers, each with a disk and a clock, and a network with delays, losses, cuts and duplicates.

    Attributes:
        lease_us: The duration of a lease, in microseconds.
        sent_bytes: The bytes that all brokers have sent.
        extra_delays_us: By broker, the additional delay of the messages to it.
        clock_rates: By broker, the speed of its clock relative to the true time.
        error_us: The stated error of the clocks.
        now_us: The true time.
        size: The number of brokers.
        random: The source of delays, losses and duplicates.
        names: By broker, its name.
        genesis: The policy state at the start.
        disks: By broker, the stored vote; None for a lost disk.
        incarnations: By broker, its incarnation.
        brokers: By broker, its member; None while it is down.
        stopped: The brokers that run no code, as after SIGSTOP.
        cut_links: The pairs of sender and receiver between which messages are lost.
        loss: The fraction of messages that are lost.
        duplication: The fraction of messages that are sent twice.
        validators: By broker, its check whether it can decide by a policy.
        in_flight: The messages in flight: arrival time, receiver, sender, the sender's incarnation, item.
        decided: By epoch, the digest of the decided state.
    """

    def __init__(
        self,
        size: int = 5,
        seed: int = 1,
        error_us: int = CLOCK_ERROR_US,
        lease_us: int = LEASE_US,
    ) -> None:
        self.lease_us, self.sent_bytes = lease_us, 0
        self.extra_delays_us, self.clock_rates, self.error_us = [0] * size, [1.0] * size, error_us
        self.now_us, self.size, self.random = 10**9, size, Random(seed)
        self.names = tuple(f"b{n}" for n in range(size))
        self.genesis = policy_document.PolicyState(
            epoch=0,
            previous_digest="",
            voters=dict.fromkeys(self.names[:5], 0),
            policy=policy(),
            floor=policy_document.floor(policy(), 0.25),
        )
        initial_vote = StoredVote(0, policy_document.encode(self.genesis))
        self.disks: list[bytes | None] = [msgspec.msgpack.encode(initial_vote)] * size
        self.incarnations = [0] * size
        self.brokers: list[RolloutMember | None] = [None] * size
        self.stopped: set[int] = set()
        self.cut_links: set[tuple[int, int]] = set()
        self.loss = self.duplication = 0.0
        self.validators: list[ValidatePolicy] = [valid] * size
        self.in_flight: list[tuple[int, int, int, int, Item]] = []
        self.decided: dict[int, str] = {}
        for n in range(size):
            self.start(n)

    def start(self, n: int) -> None:
        """Starts a broker with the contents of its disk."""
        self.incarnations[n] += 1
        new_store_id = self.random.randrange(1, 1 << 60)
        self.brokers[n] = RolloutMember(
            n,
            self.names,
            self.incarnations[n],
            self.genesis,
            self.disks[n],
            new_store_id,
            lambda policy, n=n: self.validators[n](policy),  # type: ignore[misc]
            n,
            self.clock_us(n),
            lease_us=self.lease_us,
            clock_error_us=self.error_us,
        )
        self.apply_actions(n)

    def clock_us(self, n: int) -> int:
        """Returns the time by a broker's own clock, in microseconds."""
        return 10**9 + int((self.now_us - 10**9) * self.clock_rates[n])

    def kill(self, n: int, wiped: bool = False) -> None:
        """Kills a broker; with `wiped`, its disk is lost too."""
        self.brokers[n] = None
        if wiped:
            self.disks[n] = None

    def may_lose_store(self, n: int) -> bool:
        """Whether a broker's store may be lost.

        A majority of the voters must keep their stores, and no vote may be in progress.
        """
        votes = [msgspec.msgpack.decode(disk, type=StoredVote) if disk else None for disk in self.disks]
        states = [policy_document.decode(vote.state) for vote in votes if vote and vote.state]
        newest = max(states, key=lambda state: state.epoch)
        remaining_voters = sum(
            vote is not None and m != n and newest.voters.get(self.names[m]) == vote.store_id
            for m, vote in enumerate(votes)
        )
        return remaining_voters > len(newest.voters) // 2 and not any(
            vote and vote.accepted_ballot for vote in votes
        )

    def broker(self, n: int) -> RolloutMember:
        """Returns the member of a broker that is up."""
        member = self.brokers[n]
        assert member is not None
        return member

    def apply_actions(self, n: int, action_count_max: int | None = None) -> None:
        """Carries out a broker's actions in their order, at most the first `action_count_max` of them."""
        member = self.broker(n)
        for action in member.take_actions()[:action_count_max]:
            if isinstance(action, PersistVote):
                self.disks[n] = action.data
                continue
            self.sent_bytes += HEADER_BYTES + item_bytes(action.item)
            if isinstance(action, SendMessage) and (n, action.member) not in self.cut_links:
                for _ in range(1 + (self.random.random() < self.duplication)):
                    if self.random.random() >= self.loss:
                        at = (
                            self.now_us
                            + self.random.randrange(*DELAY_US)
                            + self.extra_delays_us[action.member]
                        )
                        self.in_flight.append((at, action.member, n, self.incarnations[n], action.item))

    def step(self) -> None:
        """Lets STEP_US pass."""
        self.now_us += STEP_US
        due = [
            message
            for message in self.in_flight
            if message[0] <= self.now_us and message[1] not in self.stopped
        ]
        self.in_flight = [message for message in self.in_flight if message not in due]
        for _, to, source, incarnation, item in due:
            if self.brokers[to] is not None:
                self.broker(to).handle(source, incarnation, item, self.clock_us(to))
                self.apply_actions(to)
        for n, member in enumerate(self.brokers):
            if member is not None and n not in self.stopped:
                member.tick(self.clock_us(n))
                self.apply_actions(n)
        self.check()

    def run(self, seconds: float) -> None:
        """Lets some time pass."""
        for _ in range(int(seconds * 1e6 / STEP_US)):
            self.step()

    def check(self) -> None:
        """Asserts that all brokers have an epoch in common, and that an epoch has one state everywhere."""
        intervals = self.epochs_in_use()
        assert have_common_epoch(intervals.values()), intervals
        for member in self.brokers:
            if member is not None:
                digest = self.decided.setdefault(member.state.epoch, member.log.digest.hex())
                assert digest == member.log.digest.hex(), (
                    member.state.epoch,
                    digest,
                    member.log.digest.hex(),
                )

    def epochs_in_use(self) -> dict[int, leases.EpochInterval]:
        """Returns the epochs in use by broker, without stopped brokers, which decide nothing."""
        return {
            n: member.epochs_in_use(self.clock_us(n))
            for n, member in enumerate(self.brokers)
            if member is not None and n not in self.stopped
        }

    def run_until(self, condition: Callable[[], bool], timeout_s: float) -> float:
        """Lets time pass until a condition holds; returns the seconds that it took.

        Raises:
            AssertionError: The condition does not hold within `timeout_s`.
        """
        started_us = self.now_us
        while not condition():
            assert self.now_us - started_us < timeout_s * 1e6, (
                self.epochs_in_use(),
                [member and member.proposals.results for member in self.brokers],
            )
            self.step()
        return (self.now_us - started_us) / 1e6

    def all_use_epoch(self, epoch: int) -> bool:
        """Whether all running brokers use one epoch alone."""
        return all(interval == (epoch, epoch) for interval in self.epochs_in_use().values())

    def run_until_steady(self) -> RolloutFleet:
        """Lets time pass until all brokers use the first epoch; returns itself."""
        self.run_until(lambda: self.all_use_epoch(0), 2 * self.lease_us / 1e6 + 2)
        return self


def _change(
    size: int,
    loss: float,
    seed: int,
    lease_us: int = LEASE_US,
    dead: bool = False,
    error_us: int = CLOCK_ERROR_US,
    prepare: Callable[[RolloutFleet], None] = lambda net: None,
) -> tuple[float, float]:
    """Simulates a change of policy.

    Args:
        size: The number of brokers.
        loss: The fraction of messages that are lost.
        seed: The seed of delays and losses.
        lease_us: The duration of a lease.
        dead: Whether one broker is dead.
        error_us: The stated error of the clocks.
        prepare: Changes the fleet before its start.

    Returns:
        The seconds from the proposal until all running brokers use the new policy alone, and the longest time
        that any broker spent on the floor meanwhile, in seconds.
    """
    net = RolloutFleet(size, seed, error_us, lease_us)
    prepare(net)
    net.run_until_steady()
    net.loss = loss
    if dead:
        net.kill(size - 1)
    while rejection(net.broker(0).propose, policy(12), "half", net.now_us):
        net.step()  # the proposer had no lease at that moment
    floor_us_by_broker = dict.fromkeys(range(size), 0)
    started_us = net.now_us
    while not net.all_use_epoch(1) and net.now_us - started_us < 60_000_000:
        net.step()
        for n, interval in net.epochs_in_use().items():
            floor_us_by_broker[n] += STEP_US if interval == NO_EPOCHS else 0
        proposer = net.broker(0)
        if proposer.proposals.change is None and proposer.state.epoch == 0:
            rejection(proposer.propose, policy(12), "again", net.now_us)  # no majority answered in time
    return (net.now_us - started_us) / 1e6, max(floor_us_by_broker.values()) / 1e6


def _bytes_at_rest(size: int) -> float:
    """Returns the bytes a second that a broker sends at rest."""
    net = RolloutFleet(size).run_until_steady()
    bytes_before = net.sent_bytes
    net.run(4.0)
    return (net.sent_bytes - bytes_before) / 4.0 / size


def _change_with_clock_error(error_ms: int, seed: int) -> tuple[float, float]:
    """Simulates a change as `_change` does, with one of five brokers dead.

    Over a lease one clock is ahead by the stated error, and another one is behind by it.
    """

    def set_clock_rates(net: RolloutFleet) -> None:
        net.clock_rates[0], net.clock_rates[1] = (
            1 - error_ms * 1000 / net.lease_us,
            1 + error_ms * 1000 / net.lease_us,
        )

    return _change(5, 0.0, seed, dead=True, error_us=error_ms * 1000, prepare=set_clock_rates)


def _floor_share_cut_off(lease_us: int, seconds: float = 10.0) -> float:
    """Returns the fraction of the time on the floor of a broker that is cut off from all others."""
    net = RolloutFleet(5, lease_us=lease_us).run_until_steady()
    net.cut_links = {(0, n) for n in range(1, 5)} | {(n, 0) for n in range(1, 5)}
    floors = steps = 0
    until = net.now_us + int(seconds * 1e6)
    while net.now_us < until:
        net.step()
        steps, floors = steps + 1, floors + (net.epochs_in_use()[0] == NO_EPOCHS)
    return floors / steps


def figures(seeds: int = 5) -> list[dict[str, object]]:
    """Measures each setting; times are medians and maxima over some seeds."""
    rows: list[dict[str, object]] = []
    for brokers in (3, 5, 16, 64):
        for loss in (0.0, 0.1, 0.3):
            durations = [_change(brokers, loss, seed) for seed in range(seeds if brokers < 64 else 2)]
            rows.append(
                {
                    "measure": "switch",
                    "brokers": brokers,
                    "loss": loss,
                    "force_s": round(median(change_s for change_s, _ in durations), 2),
                    "force_most_s": round(max(change_s for change_s, _ in durations), 2),
                    "floor_most_s": round(max(floor_s for _, floor_s in durations), 2),
                }
            )
        rows.append({"measure": "rest", "brokers": brokers, "bytes_s": round(_bytes_at_rest(brokers))})
    for lease_ms in (500, 1000, 2000, 4000, 8000):
        durations = [_change(5, 0.0, seed, lease_ms * 1000, dead=True) for seed in range(seeds)]
        rows.append(
            {
                "measure": "lease",
                "lease_ms": lease_ms,
                "one_dead_s": round(median(change_s for change_s, _ in durations), 2),
                "cut_off_floor": round(_floor_share_cut_off(lease_ms * 1000), 2),
                "cut_off_floor_60s": round(_floor_share_cut_off(lease_ms * 1000, 60.0), 2),
            }
        )
    for error_ms in (1, 10, 50, 100, 200):
        durations = [_change_with_clock_error(error_ms, seed) for seed in range(seeds)]
        rows.append(
            {
                "measure": "clock",
                "error_ms": error_ms,
                "one_dead_s": round(median(change_s for change_s, _ in durations), 2),
                "force_most_s": round(max(change_s for change_s, _ in durations), 2),
                "floor_most_s": round(max(floor_s for _, floor_s in durations), 2),
            }
        )
    return rows


def plot(rows: list[dict[str, object]], path: str) -> None:
    """Plots the time of a change by size and loss, and the floor time of a cut-off broker by lease duration.

    Args:
        rows: The figures of this module and of `rollout_live`.
        path: The image file; its extension is its format.
    """
    import matplotlib

    matplotlib.use("Agg")
    matplotlib.rcParams["svg.hashsalt"] = "lemonridge"  # the same file for the same figures
    from matplotlib import pyplot as plt

    def values(measure: str, key: str, **filters: object) -> list[float]:
        """Returns one figure of all rows of a measurement whose other figures have the given values."""
        return [
            float(str(row[key]))
            for row in rows
            if row["measure"] == measure and all(row[name] == value for name, value in filters.items())
        ]

    figure, (left, right) = plt.subplots(1, 2, figsize=(10, 4))
    for loss in (0.0, 0.1, 0.3):
        left.plot(
            values("switch", "brokers", loss=loss),
            values("switch", "force_s", loss=loss),
            marker="o",
            label=f"model, {loss:.0%} lost",
        )
    if values("processes", "brokers"):
        left.plot(
            values("processes", "brokers"),
            values("processes", "force_s"),
            marker="s",
            linestyle="--",
            label="processes, none lost",
        )
    left.set(xlabel="brokers", ylabel="s until all go by a change", xscale="log", ylim=(0, None))
    for key, seconds in (("cut_off_floor", 10), ("cut_off_floor_60s", 60)):
        right.plot(
            values("lease", "lease_ms"), values("lease", key), marker="o", label=f"cut off for {seconds} s"
        )
    right.set(xlabel="lease, ms", ylabel="share of that time on the floor", ylim=(0, 1))
    for axes in (left, right):
        axes.grid(alpha=0.3)
        axes.legend()
    figure.tight_layout()
    figure.savefig(path, metadata={"Date": None} if path.endswith(".svg") else None)
    plt.close(figure)

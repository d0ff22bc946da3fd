"""Changes of policy in virtual time: brokers with disks and clocks of their own, and a network between them.

The members are the real ones; delays, losses, copies and cuts are drawn from a seed. `figures` measures how
long a change takes by fleet size, loss, lease and dead brokers, and the bytes sent at rest; the tests run
here too.
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
    """A policy of two plans and one class."""
    basic = Plan(name="basic", limit=limit, burst=12.0, slack=2.0)
    return Policy(
        plan=(basic, Plan(name="gold", reserve=40.0)),
        classes=(Class(name="read", latency_objective_ms=latency_objective_ms),),
        rules=Rules(max_attempts=attempts),
    )


def valid(_: Policy) -> None:
    """A broker that can decide by any policy."""


def invalid(reason: str) -> ValidatePolicy:
    """A broker that can decide by none, for a reason."""

    def validate(_: Policy) -> None:
        raise PolicyError(reason)

    return validate


def rejection(call: Callable[..., None], *arguments: object) -> str:
    """The reason for which a call is rejected, or nothing."""
    try:
        call(*arguments)
    except RolloutError as error:
        return str(error)
    return ""


class RolloutFleet:
    """Brokers, each with a disk and a clock, and a network with delays, losses, cuts and copies.

    Times are in microseconds; `now` is the true time.
    """

    def __init__(
        self,
        size: int = 5,
        seed: int = 1,
        error_us: int = CLOCK_ERROR_US,
        span_us: int = LEASE_US,
    ) -> None:
        self.span_us, self.bytes = span_us, 0
        self.extra, self.slow, self.error_us = [0] * size, [1.0] * size, error_us
        self.now, self.size, self.random = 10**9, size, Random(seed)
        self.names = tuple(f"b{n}" for n in range(size))
        self.genesis = policy_document.PolicyState(
            epoch=0,
            previous_digest="",
            voters=dict.fromkeys(self.names[:5], 0),
            policy=policy(),
            floor=policy_document.floor(policy(), 0.25),
        )
        kept = StoredVote(0, policy_document.encode(self.genesis))
        self.disks: list[bytes | None] = [msgspec.msgpack.encode(kept)] * size
        self.incarnations = [0] * size
        self.brokers: list[RolloutMember | None] = [None] * size
        self.stopped: set[int] = set()
        self.cut: set[tuple[int, int]] = set()
        self.loss = self.copies = 0.0
        self.validators: list[ValidatePolicy] = [valid] * size
        self.in_flight: list[tuple[int, int, int, int, Item]] = []  # when, to, from, its life, what
        self.decided: dict[int, str] = {}
        for n in range(size):
            self.start(n)

    def start(self, n: int) -> None:
        """Starts a broker with what its disk holds."""
        self.incarnations[n] += 1
        ident = self.random.randrange(1, 1 << 60)
        self.brokers[n] = RolloutMember(
            n,
            self.names,
            self.incarnations[n],
            self.genesis,
            self.disks[n],
            ident,
            lambda policy, n=n: self.validators[n](policy),  # type: ignore[misc]
            n,
            self.clock_us(n),
            lease_us=self.span_us,
            clock_error_us=self.error_us,
        )
        self.apply_actions(n)

    def clock_us(self, n: int) -> int:
        """A broker's own clock."""
        return 10**9 + int((self.now - 10**9) * self.slow[n])

    def kill(self, n: int, wiped: bool = False) -> None:
        """Kills a broker; `wiped`: its disk is lost too."""
        self.brokers[n] = None
        if wiped:
            self.disks[n] = None

    def may_lose_store(self, n: int) -> bool:
        """Whether a store may be lost: a majority of the voters would have theirs, nothing is voted on."""
        kept = [msgspec.msgpack.decode(disk, type=StoredVote) if disk else None for disk in self.disks]
        states = [policy_document.decode(one.state) for one in kept if one and one.state]
        newest = max(states, key=lambda one: one.epoch)
        left = sum(
            one is not None and m != n and newest.voters.get(self.names[m]) == one.store_id
            for m, one in enumerate(kept)
        )
        return left > len(newest.voters) // 2 and not any(one and one.accepted_ballot for one in kept)

    def broker(self, n: int) -> RolloutMember:
        """A broker that is up."""
        made = self.brokers[n]
        assert made is not None
        return made

    def apply_actions(self, n: int, most: int | None = None) -> None:
        """Do what a broker wants done, in its order; it may die after `most` things of it."""
        made = self.broker(n)
        for action in made.take_actions()[:most]:
            if isinstance(action, PersistVote):
                self.disks[n] = action.data
                continue
            self.bytes += HEADER_BYTES + item_bytes(action.item)
            if isinstance(action, SendMessage) and (n, action.member) not in self.cut:
                for _ in range(1 + (self.random.random() < self.copies)):
                    if self.random.random() >= self.loss:
                        at = self.now + self.random.randrange(*DELAY_US) + self.extra[action.member]
                        self.in_flight.append((at, action.member, n, self.incarnations[n], action.item))

    def step(self) -> None:
        """Lets STEP_US pass."""
        self.now += STEP_US
        due = [one for one in self.in_flight if one[0] <= self.now and one[1] not in self.stopped]
        self.in_flight = [one for one in self.in_flight if one not in due]
        for _, to, source, life, item in due:
            if self.brokers[to] is not None:
                self.broker(to).handle(source, life, item, self.clock_us(to))
                self.apply_actions(to)
        for n, made in enumerate(self.brokers):
            if made is not None and n not in self.stopped:
                made.tick(self.clock_us(n))
                self.apply_actions(n)
        self.check()

    def run(self, seconds: float) -> None:
        """Lets some time pass."""
        for _ in range(int(seconds * 1e6 / STEP_US)):
            self.step()

    def check(self) -> None:
        """No two go by policies without a common epoch, and an epoch is one state everywhere."""
        modes = self.epochs_in_use()
        assert have_common_epoch(modes.values()), modes
        for made in self.brokers:
            if made is not None:
                told = self.decided.setdefault(made.state.epoch, made.log.digest.hex())
                assert told == made.log.digest.hex(), (made.state.epoch, told, made.log.digest.hex())

    def epochs_in_use(self) -> dict[int, leases.EpochInterval]:
        """By what each decides; one that is stopped sends nothing."""
        return {
            n: made.epochs_in_use(self.clock_us(n))
            for n, made in enumerate(self.brokers)
            if made is not None and n not in self.stopped
        }

    def run_until(self, true: Callable[[], bool], most_s: float) -> float:
        """Seconds until something is so."""
        begun = self.now
        while not true():
            assert self.now - begun < most_s * 1e6, (
                self.epochs_in_use(),
                [b and b.proposals.results for b in self.brokers],
            )
            self.step()
        return (self.now - begun) / 1e6

    def all_use_epoch(self, epoch: int) -> bool:
        """Whether all that are up use an epoch alone."""
        return all(mode == (epoch, epoch) for mode in self.epochs_in_use().values())

    def run_until_steady(self) -> RolloutFleet:
        """Lets time pass until all use the first epoch."""
        self.run_until(lambda: self.all_use_epoch(0), 2 * self.span_us / 1e6 + 2)
        return self


def _change(
    size: int,
    loss: float,
    seed: int,
    span_us: int = LEASE_US,
    dead: bool = False,
    error_us: int = CLOCK_ERROR_US,
    prepared: Callable[[RolloutFleet], None] = lambda net: None,
) -> tuple[float, float]:
    """Seconds from a proposal until all that are up go by the new policy alone, and the longest rest (by the
    floor alone) of any of them meanwhile.
    """
    net = RolloutFleet(size, seed, error_us, span_us)
    prepared(net)
    net.run_until_steady()
    net.loss = loss
    if dead:
        net.kill(size - 1)
    while rejection(net.broker(0).propose, policy(12), "half", net.now):
        net.step()  # it had no lease at that moment
    floor_us_by_broker = dict.fromkeys(range(size), 0)
    begun = net.now
    while not net.all_use_epoch(1) and net.now - begun < 60_000_000:
        net.step()
        for n, mode in net.epochs_in_use().items():
            floor_us_by_broker[n] += STEP_US if mode == NO_EPOCHS else 0
        made = net.broker(0)
        if made.proposals.change is None and made.state.epoch == 0:
            rejection(made.propose, policy(12), "again", net.now)  # no majority was heard in time
    return (net.now - begun) / 1e6, max(floor_us_by_broker.values()) / 1e6


def _bytes_at_rest(size: int) -> float:
    """Bytes a second that a broker says at rest."""
    net = RolloutFleet(size).run_until_steady()
    before = net.bytes
    net.run(4.0)
    return (net.bytes - before) / 4.0 / size


def _clocks(error_ms: int, seed: int) -> tuple[float, float]:
    """As `_change`, one of five dead, where two clocks are off by the stated error over a lease, one each
    way.
    """

    def skewed(net: RolloutFleet) -> None:
        net.slow[0], net.slow[1] = 1 - error_ms * 1000 / net.span_us, 1 + error_ms * 1000 / net.span_us

    return _change(5, 0.0, seed, dead=True, error_us=error_ms * 1000, prepared=skewed)


def _floor_share_cut_off(span_us: int, seconds: float = 10.0) -> float:
    """The share of a time cut off in which a broker goes by the floor."""
    net = RolloutFleet(5, span_us=span_us).run_until_steady()
    net.cut = {(0, n) for n in range(1, 5)} | {(n, 0) for n in range(1, 5)}
    floors = steps = 0
    until = net.now + int(seconds * 1e6)
    while net.now < until:
        net.step()
        steps, floors = steps + 1, floors + (net.epochs_in_use()[0] == NO_EPOCHS)
    return floors / steps


def figures(seeds: int = 5) -> list[dict[str, object]]:
    """A line for each setting: medians over some seeds, and the most."""
    rows: list[dict[str, object]] = []
    for brokers in (3, 5, 16, 64):
        for loss in (0.0, 0.1, 0.3):
            seconds_taken = [_change(brokers, loss, seed) for seed in range(seeds if brokers < 64 else 2)]
            rows.append(
                {
                    "measure": "switch",
                    "brokers": brokers,
                    "loss": loss,
                    "force_s": round(median(one for one, _ in seconds_taken), 2),
                    "force_most_s": round(max(one for one, _ in seconds_taken), 2),
                    "floor_most_s": round(max(one for _, one in seconds_taken), 2),
                }
            )
        rows.append({"measure": "rest", "brokers": brokers, "bytes_s": round(_bytes_at_rest(brokers))})
    for span_ms in (500, 1000, 2000, 4000, 8000):
        seconds_taken = [_change(5, 0.0, seed, span_ms * 1000, dead=True) for seed in range(seeds)]
        rows.append(
            {
                "measure": "lease",
                "lease_ms": span_ms,
                "one_dead_s": round(median(one for one, _ in seconds_taken), 2),
                "cut_off_floor": round(_floor_share_cut_off(span_ms * 1000), 2),
                "cut_off_floor_60s": round(_floor_share_cut_off(span_ms * 1000, 60.0), 2),
            }
        )
    for error_ms in (1, 10, 50, 100, 200):
        seconds_taken = [_clocks(error_ms, seed) for seed in range(seeds)]
        rows.append(
            {
                "measure": "clock",
                "error_ms": error_ms,
                "one_dead_s": round(median(one for one, _ in seconds_taken), 2),
                "force_most_s": round(max(one for one, _ in seconds_taken), 2),
                "floor_most_s": round(max(one for _, one in seconds_taken), 2),
            }
        )
    return rows


def plot(rows: list[dict[str, object]], path: str) -> None:
    """Time to force by size and loss, and what a broker that is cut off loses by the length of its lease."""
    import matplotlib

    matplotlib.use("Agg")
    matplotlib.rcParams["svg.hashsalt"] = "lemonridge"  # the same file for the same figures
    from matplotlib import pyplot as plt

    def told(measure: str, key: str, **among: object) -> list[float]:
        return [
            float(str(row[key]))
            for row in rows
            if row["measure"] == measure and all(row[name] == value for name, value in among.items())
        ]

    shape, (left, right) = plt.subplots(1, 2, figsize=(10, 4))
    for loss in (0.0, 0.1, 0.3):
        left.plot(
            told("switch", "brokers", loss=loss),
            told("switch", "force_s", loss=loss),
            marker="o",
            label=f"model, {loss:.0%} lost",
        )
    if told("processes", "brokers"):
        left.plot(
            told("processes", "brokers"),
            told("processes", "force_s"),
            marker="s",
            linestyle="--",
            label="processes, none lost",
        )
    left.set(xlabel="brokers", ylabel="s until all go by a change", xscale="log", ylim=(0, None))
    for key, seconds in (("cut_off_floor", 10), ("cut_off_floor_60s", 60)):
        right.plot(
            told("lease", "lease_ms"), told("lease", key), marker="o", label=f"cut off for {seconds} s"
        )
    right.set(xlabel="lease, ms", ylabel="share of that time on the floor", ylim=(0, 1))
    for axes in (left, right):
        axes.grid(alpha=0.3)
        axes.legend()
    shape.tight_layout()
    shape.savefig(path, metadata={"Date": None} if path.endswith(".svg") else None)
    plt.close(shape)

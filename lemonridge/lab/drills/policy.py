"""The drill `policy`: a fleet's policy is changed every few seconds under faults.

Brokers are killed, paused and cut off, also the one that proposes; vote stores are lost or truncated; voters
are retired and admitted. The last part has no faults: there all brokers have to converge.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from random import Random
from typing import Any

import msgspec
import orjson

from lemonridge.config.address import Address
from lemonridge.lab.checkers import fleet as rules
from lemonridge.lab.checkers.policy import Findings, ProposedChange, check, epochs
from lemonridge.lab.links.datagrams import LinkFaults
from lemonridge.lab.links.schedule import Fault
from lemonridge.lab.load.fleet import Clients, VolumeTraffic
from lemonridge.lab.rig import Broker, FleetHarness, SiteSettings, running_fleet
from lemonridge.net.admin_client import CallError, call
from lemonridge.rollout.policy_document import Policy

NODES = 3
LEASE_MS, CLOCK_MS, FLOOR = 1500.0, 50.0, 0.25
LIMITS = (12.0, 18.0, 24.0, 36.0, 48.0)
FLOODED = (1, 2)
QUIET_END_S = 6.0  # at the end, without faults and changes
CONVERGENCE_S = 8.0  # in which all must hold one state then
WIPE_S = 8.0  # between two stores that are lost: one is let in again before another goes
ENOUGH = 1 / 3  # of the sound proposals that must come into force
UNSOUND = 0.2  # of the proposals one broker cannot decide by
POLL_INTERVAL_S = 0.1
VOTERS_LEAST = 4
VOTE_S = 9.0  # between two votes that are taken away
VOTE_LOOK_S = 0.5
GRANTS_AGAIN_S = (
    LEASE_MS / 1000 + 0.3
)  # a voter that starts grants nothing for a lease and the error of clocks


@dataclass(frozen=True)
class Options:
    """What the command line says."""

    seed: int
    seconds: float = 30.0
    brokers: int = 5
    faults: bool = True
    mutant: str = ""


class Drill:
    """One run."""

    def __init__(self, options: Options, rig: FleetHarness) -> None:
        self.options, self.rig = options, rig
        self.random, self.chaos = Random(f"{options.seed}/changes"), Random(f"{options.seed}/faults")
        self.proposed: list[ProposedChange] = []
        self.limits: dict[int, float] = {0: rig.site.limit}
        self.busy: set[int] = set()  # brokers that something is done to
        self.wipes = 0
        self.came: set[str] = set()  # notes of changes that stood in any history
        self.voting, self.votes = Random(f"{options.seed}/votes"), 0  # taken away or given
        self.few, self._voted_s = False, 0.0  # whether few are left; the first is not taken at once
        self._wiped_s = -WIPE_S
        self.switches: list[float] = []

    @property
    def quiet_from_s(self) -> float:
        """When faults and changes end, in seconds of the run."""
        return self.options.seconds - QUIET_END_S

    # Changes

    async def change(self) -> None:
        """Propose, again and again, at a broker that is drawn."""
        number, under_way = 0, list[asyncio.Task[None]]()
        await asyncio.sleep(2.5)  # all have their first leases
        while self.rig.now() < self.quiet_from_s:
            number += 1
            under_way.append(asyncio.create_task(self._propose(f"change {number}", self.options.faults)))
            await asyncio.sleep(self.random.uniform(1.0, 3.0))
        await asyncio.gather(*under_way)
        while self.rig.now() < self.options.seconds and await self._faults():
            number += 1  # what one of them cannot decide by came into force while it was not there
            await self._propose(f"change {number}", False)

    async def vote(self) -> None:
        """Take a vote away and give it back, now and then. Of four voters only one can be missed, and two
        faults are drawn at a time: so it waits until all are up, as operators would, and no process dies
        until the vote is given back; links do.
        """
        await asyncio.sleep(4.0)
        while self.rig.now() < self.quiet_from_s:
            broker = self.rig.brokers[self.voting.randrange(len(self.rig.brokers))]
            try:
                voters = (await self.seen(broker))["voters"]
                due = self.rig.now() - self._voted_s > VOTE_S
                self.few = due or len(voters) <= VOTERS_LEAST
                if len(voters) <= VOTERS_LEAST:
                    gone = next(one for one in self.rig.brokers if f"b{one.number}" not in voters)
                    await self.ask(gone, "policy-admit")
                    self.votes += 1
                elif due and self._up_s() > GRANTS_AGAIN_S:
                    self._voted_s = self.rig.now()
                    await self.ask(broker, f"policy-retire {self.voting.choice(voters)}")
                    self.votes += 1
            except CallError:
                pass  # it is down, or cannot propose now
            await asyncio.sleep(VOTE_LOOK_S)
        self.few = False

    def _up_s(self) -> float:
        """For how long all processes have run."""
        ends = [end for one in self.rig.brokers for _, end in one.outages]
        return 0.0 if self.busy else self.now() - max(ends, default=self.rig.load_started_at)

    async def _faults(self) -> bool:
        """Whether a broker is not there, or says that it cannot decide by the policy that is in force."""
        try:
            return any([(await self.seen(broker))["fault"] for broker in self.rig.brokers])
        except CallError:
            return True

    def _can_answer_check(self, broker: Broker) -> bool:
        """Whether the one that may have to reject is up, and what lies between it and a proposer whole."""
        one, other = self.rig.site.short_deadline_broker, broker.number
        pairs = [(one, other), (other, one)] if one != other else []
        stretches = self.rig.network.links
        return one not in self.busy and all(stretches[pair] == LinkFaults() for pair in pairs)

    async def _propose(self, note: str, wild: bool) -> None:
        """A change; of the wild ones some cannot be decided by at one broker, and some proposers die."""
        rig, random = self.rig, self.random
        broker = rig.brokers[random.randrange(len(rig.brokers))]
        limit, sound = random.choice(LIMITS), random.random() >= UNSOUND or not wild
        dies = wild and random.random() < 0.25
        after_s = random.uniform(0.0, 0.35)
        try:
            before = await self.seen(broker)
            policy = msgspec.convert(before["policy"], Policy)
            rows = tuple(
                msgspec.structs.replace(row, limit=limit) if row.name == "basic" else row
                for row in policy.plan
            )
            aim = 1000.0 if sound else rig.site.deadline_ms - 50.0  # the short one's requests end before
            classes = tuple(
                msgspec.structs.replace(
                    row, latency_objective_ms=aim if row.name == "read" else row.latency_objective_ms
                )
                for row in policy.classes
            )
            told = ProposedChange(
                note, limit, broker.number, self.now(), sound, self._can_answer_check(broker)
            )
            wanted = msgspec.to_builtins(msgspec.structs.replace(policy, plan=rows, classes=classes))
            line = orjson.dumps({"policy": wanted, "note": note}).decode()
            await self.ask(broker, f"policy-propose {line}")
        except CallError:
            return  # it is down, or cannot propose now
        self.proposed.append(told)
        if dies and broker.number not in self.busy:
            await asyncio.sleep(after_s)
            told.rejecter_reachable = told.rejecter_reachable and self._can_answer_check(broker)
            await self.restart(broker, 0.3)
            return
        until = rig.now() + 7.0
        while rig.now() < until:
            await asyncio.sleep(POLL_INTERVAL_S)
            told.rejecter_reachable = told.rejecter_reachable and self._can_answer_check(broker)
            try:
                seen = await self.seen(broker)
            except CallError:
                continue
            if seen["life"] != before["life"]:
                return  # it died and came back: it does not know
            if seen["results_ended"] > before["results_ended"]:
                told.outcome, _, told.epoch = seen["results"][-1]
                told.reported_at = self.now()
                if told.outcome == "in force":
                    self.switches.append(told.reported_at)
                return

    def now(self) -> float:
        """Loop time in seconds."""
        return asyncio.get_running_loop().time()

    async def ask(self, broker: Broker, line: str) -> str:
        """An admin call of a broker; CallError where it is down or rejects it."""
        return await call(Address("127.0.0.1", broker.admin_port), line)

    async def seen(self, broker: Broker) -> dict[str, Any]:
        """A broker's report; each epoch's limit is noted on the way."""
        told: dict[str, Any] = orjson.loads(await self.ask(broker, "policy"))
        self.limits[told["epoch"]] = next(
            row["limit"] for row in told["policy"]["plan"] if row["name"] == "basic"
        )
        self.came |= {line.partition(": ")[2] for line in told["history"]}
        return told

    async def watch(self) -> None:
        """Look at all brokers, so that no epoch goes unseen."""
        while self.rig.now() < self.options.seconds:
            for broker in self.rig.brokers:
                if broker.program is not None:
                    try:
                        await self.seen(broker)
                    except CallError:
                        continue
            await asyncio.sleep(POLL_INTERVAL_S)

    # Faults

    async def trouble(self) -> None:
        """One thing at a time goes wrong with a process; links go wrong beside it."""
        await asyncio.gather(self._processes(), self._links())

    async def _processes(self) -> None:
        turn = 0
        while self.rig.now() < self.quiet_from_s - 4.0:
            await asyncio.sleep(self.chaos.uniform(0.3, 1.5))
            broker = self.rig.brokers[self.chaos.randrange(len(self.rig.brokers))]
            away = self.chaos.uniform(0.3, 3.0)
            kind = ("kill", "stop", "kill")[turn % 3]
            if broker.number in self.busy or self.few:
                continue
            turn += 1
            if kind == "kill":
                await self.restart(broker, away)
            else:
                self.busy.add(broker.number)
                await self.rig.pause_broker(broker, away)
                self.busy.discard(broker.number)

    async def restart(self, broker: Broker, down_s: float) -> None:
        """Killed, perhaps without its store or with a part of it, and started again."""
        lost = self.chaos.random()
        wiped = lost < 0.35 and self.rig.now() - self._wiped_s > WIPE_S

        def meanwhile() -> None:
            path = self.rig.vote_store_path(broker.number)
            if wiped and lost < 0.2:
                path.unlink()
            elif wiped:
                data = path.read_bytes()
                path.write_bytes(data[: self.chaos.randrange(len(data))])

        self.busy.add(broker.number)
        if wiped:
            self._wiped_s, self.wipes = self.rig.now(), self.wipes + 1
        await self.rig.restart_broker(broker, down_s, meanwhile)
        self.busy.discard(broker.number)

    async def _links(self) -> None:
        turn = 0
        everyone = list(range(len(self.rig.brokers)))
        while self.rig.now() < self.quiet_from_s - 4.0:
            await asyncio.sleep(self.chaos.uniform(0.5, 2.5))
            length = round(self.chaos.uniform(0.5, 3.0), 3)
            some = tuple(self.chaos.sample(everyone, self.chaos.randrange(1, max(2, len(everyone) // 2 + 1))))
            rest = tuple(n for n in everyone if n not in some)
            kind = ("split", "one-way", "loss", "delay", "double", "cut")[turn % 6]
            turn += 1
            fault = Fault(
                kind=kind,  # type: ignore[arg-type]
                at_s=0.0,
                for_s=length,
                brokers=some,
                to=rest,
                share=0.3,
                ms=(1.0, 250.0),
            )
            pairs = [(i, j) for i in some for j in rest]
            if kind != "one-way":
                pairs += [(j, i) for i, j in pairs]
            self.rig.splits += kind == "split"
            await self.rig.apply_link_fault(pairs, fault)

    async def together(self) -> list[dict[str, Any]]:
        """All brokers' reports, once they hold one state and go by it alone, or when the time is over."""
        until = self.rig.now() + CONVERGENCE_S
        while True:
            ends = [await self.seen(broker) for broker in self.rig.brokers]
            alike = len({one["state"] for one in ends}) == 1
            alone = all(one["goes_by"] == [one["epoch"]] * 2 for one in ends)
            if (alike and alone) or self.rig.now() > until:
                return ends
            await asyncio.sleep(POLL_INTERVAL_S)


def policy_traffic(brokers: int, site: SiteSettings) -> list[VolumeTraffic]:
    """Two volumes that flood their limit, one at all of its brokers in turn, one moving; and steady ones."""
    hosts, shards = min(3, brokers), tuple(range(NODES))
    made = [
        VolumeTraffic(
            1,
            "basic",
            hosts,
            shards,
            lambda t: 60.0,
            lambda t: int(t * 1000) % hosts,
            site.largest_request_units,
        ),
        VolumeTraffic(
            2,
            "basic",
            hosts,
            shards,
            lambda t: 60.0,
            lambda t: int(t / 2) % hosts,
            site.largest_request_units,
        ),
    ]
    return made + [
        VolumeTraffic(
            100 + n,
            "priority",
            1,
            shards,
            lambda t: 8.0,
            lambda t, n=n: n,  # type: ignore[misc]
            site.largest_request_units,
        )
        for n in range(brokers)
    ]


async def run(options: Options) -> tuple[dict[str, object], Findings, rules.Findings]:
    """One run: the figures of the last line, and what was broken."""
    site = SiteSettings(lease_ms=LEASE_MS, policy_floor=FLOOR, short_deadline_broker=options.brokers - 1)
    module = ("lemonridge.cli.mutant", f"fleet-fault={options.mutant}") if options.mutant else ("lemonridge",)
    async with running_fleet(options.brokers, NODES, options.seed, site, True, module=module) as rig:
        clients = Clients([one.port for one in rig.brokers], options.seed, site.deadline_ms)
        drill = Drill(options, rig)
        tasks = [
            clients.run(policy_traffic(options.brokers, site), options.seconds),
            drill.change(),
            drill.watch(),
        ]
        if options.faults:
            tasks += [drill.trouble(), drill.vote()]
        await asyncio.gather(*tasks)
        ends = await drill.together()
        await rig.stop()
    came = [one for node in rig.nodes for one in node.received]
    found = check(
        came,
        drill.proposed,
        ends,
        drill.limits,
        site.limit * FLOOR,
        FLOODED,
        site.burst,
        site.limit_slack,
        (LEASE_MS + CLOCK_MS) / 1000 + 0.3,
    )
    answers = rules.check(
        came,
        clients.requests,
        {},
        None,
        {},
        {one.number: one.outages for one in rig.brokers},
        sum(node.overloads for node in rig.nodes),
        clients.surplus,
    )
    sound = [one for one in drill.proposed if one.sound]
    figures: dict[str, object] = {
        "drill": "policy",
        "seed": options.seed,
        "brokers": options.brokers,
        "requests": len(clients.requests),
        "served": sum(one.end == "served" for one in clients.requests),
        "changes": len(drill.proposed),
        "sound": len(sound),
        "in_force": sum(one.note in drill.came for one in sound),
        "rejected": sum(one.outcome == "nowhere" for one in drill.proposed),
        "aborted": sum(one.outcome in ("another", "unknown", "") for one in drill.proposed),
        "epoch": ends[0]["epoch"],
        "kills": sum(one.kills for one in rig.brokers),
        "wipes": drill.wipes,
        "votes": drill.votes,
        "splits": rig.splits,
        "stops": sum(one.pauses for one in rig.brokers),
        "mixed_epochs": found.mixed_epochs,
        "half_changes": found.half_changes,
        "lost_changes": found.lost_changes,
        "stale_serving": found.stale_serving,
        "limit_excess": found.limit_excess,
        "double_answers": answers.double_answers,
        "unanswered": answers.unanswered,
        "worst_switch_ms": _switch_ms(came, drill.proposed),
        "worst_stall_ms": _stall_ms(came),
    }
    return figures, found, answers


def _switch_ms(came: list[Any], proposed: list[ProposedChange]) -> int:
    """The longest from a proposal to the first attempt by its epoch alone."""
    first: dict[int, float] = {}
    for one in came:
        interval = epochs(one.epoch)
        if interval is not None and interval[0] == interval[1]:
            first[interval[0]] = min(first.get(interval[0], one.head_received_at), one.head_received_at)
    took = [
        first[one.epoch] - one.proposed_at
        for one in proposed
        if one.outcome == "in force" and one.epoch in first
    ]
    return int(max(took, default=0.0) * 1000)


def _stall_ms(came: list[Any]) -> int:
    """The longest time in which no node was sent anything by any broker."""
    at = sorted(one.received_at for one in came)
    return int(max((later - one for one, later in zip(at, at[1:], strict=False)), default=0.0) * 1000)


def passed(figures: dict[str, object], found: Findings, answers: rules.Findings) -> bool:
    """Whether no rule broke, and enough came into force."""
    enough = int(str(figures["in_force"])) >= ENOUGH * int(str(figures["sound"]))
    return found.passed and not answers.double_answers and not answers.unanswered and enough

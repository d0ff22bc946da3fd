"""The drill `policy`: changes a fleet's policy every few seconds under faults.

Brokers are killed, paused and cut off, among them the proposers of changes; vote stores are lost or
truncated; voters are retired and admitted. The last part of the run has no faults: in it all brokers have to
converge to one state.
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
LEASE_MS, CLOCK_ERROR_MS, FLOOR_SHARE = 1500.0, 50.0, 0.25
LIMITS = (12.0, 18.0, 24.0, 36.0, 48.0)
FLOODED_VOLUMES = (1, 2)
QUIET_END_S = 6.0  # the part at the end of the run without faults and changes
CONVERGENCE_S = 8.0  # from the end of the load: all brokers must have the same state within this time
WIPE_INTERVAL_S = 8.0  # between two lost vote stores: the first broker is admitted again before the next
IN_FORCE_SHARE_MIN = 1 / 3  # the least share of the sound proposals that must come into force
UNSOUND_SHARE = 0.2  # the share of the proposals by whose policy one broker cannot decide
POLL_INTERVAL_S = 0.1
VOTERS_MIN = 4
VOTE_CHANGE_INTERVAL_S = 9.0  # between two retirements of voters
VOTE_POLL_INTERVAL_S = 0.5
# After its start a voter grants no leases for the duration of a lease and the clock error.
GRANT_PAUSE_S = LEASE_MS / 1000 + 0.3


@dataclass(frozen=True)
class Options:
    """The options of a run.

    Attributes:
        seed: The seed from which changes and faults are drawn.
        seconds: The duration of the load.
        brokers: The number of brokers.
        faults: Whether faults are injected and voters changed.
        mutant: The name of a fault to plant in every broker; empty for none.
    """

    seed: int
    seconds: float = 30.0
    brokers: int = 5
    faults: bool = True
    mutant: str = ""


class Drill:
    """One run of the drill.

    Attributes:
        options: The options of the run.
        rig: The fleet.
        change_random: The random source of the changes of policy.
        fault_random: The random source of the faults.
        vote_random: The random source of the changes of voters.
        proposals: The proposed changes with their outcomes.
        limits: By epoch, the limit of the flooded volumes' plan.
        unavailable: The numbers of the brokers that are killed or paused now.
        wipes: How many vote stores were lost or truncated.
        applied_notes: The notes of all changes that were in the history of any broker.
        vote_changes: How many voters were retired or admitted.
        no_process_faults: Whether no broker may be killed or paused, as another missing voter could leave
            the fleet without a majority.
        switches: When proposers learned that their changes were in force, in seconds of the loop's clock.
    """

    def __init__(self, options: Options, rig: FleetHarness) -> None:
        self.options, self.rig = options, rig
        self.change_random, self.fault_random = (
            Random(f"{options.seed}/changes"),
            Random(f"{options.seed}/faults"),
        )
        self.proposals: list[ProposedChange] = []
        self.limits: dict[int, float] = {0: rig.site.limit}
        self.unavailable: set[int] = set()
        self.wipes = 0
        self.applied_notes: set[str] = set()
        self.vote_random, self.vote_changes = Random(f"{options.seed}/votes"), 0
        # 0.0, so no voter is retired in the first VOTE_CHANGE_INTERVAL_S of the run.
        self.no_process_faults, self._last_vote_change_s = False, 0.0
        self._last_wipe_s = -WIPE_INTERVAL_S
        self.switches: list[float] = []

    @property
    def quiet_from_s(self) -> float:
        """The time at which faults and changes end, in seconds from the start of the load."""
        return self.options.seconds - QUIET_END_S

    # Changes

    async def run_changes(self) -> None:
        """Proposes changes at random brokers until the part without faults.

        Then proposes sound changes until all brokers are available and can decide by the policy in force.
        """
        number, pending = 0, list[asyncio.Task[None]]()
        await asyncio.sleep(2.5)  # until all brokers have their first leases
        while self.rig.now() < self.quiet_from_s:
            number += 1
            pending.append(asyncio.create_task(self._propose(f"change {number}", self.options.faults)))
            await asyncio.sleep(self.change_random.uniform(1.0, 3.0))
        await asyncio.gather(*pending)
        while self.rig.now() < self.options.seconds and await self._any_unavailable_or_faulty():
            number += 1  # an unsound policy came into force while the broker that rejects it was unavailable
            await self._propose(f"change {number}", False)

    async def run_vote_changes(self) -> None:
        """Retires a voter and admits a broker without a vote, in turns.

        A majority of four voters can miss only one, and two faults may be active at a time. So a voter is
        retired only while all processes are up, as operators would do it, and no process is killed or paused
        until another broker has the vote; links still fail.
        """
        await asyncio.sleep(4.0)
        while self.rig.now() < self.quiet_from_s:
            broker = self.rig.brokers[self.vote_random.randrange(len(self.rig.brokers))]
            try:
                voters = (await self.read_report(broker))["voters"]
                retirement_due = self.rig.now() - self._last_vote_change_s > VOTE_CHANGE_INTERVAL_S
                self.no_process_faults = retirement_due or len(voters) <= VOTERS_MIN
                if len(voters) <= VOTERS_MIN:
                    non_voter = next(
                        candidate for candidate in self.rig.brokers if f"b{candidate.number}" not in voters
                    )
                    await self.call_broker(non_voter, "policy-admit")
                    self.vote_changes += 1
                elif retirement_due and self._all_up_s() > GRANT_PAUSE_S:
                    self._last_vote_change_s = self.rig.now()
                    await self.call_broker(broker, f"policy-retire {self.vote_random.choice(voters)}")
                    self.vote_changes += 1
            except CallError:
                pass  # the broker is down, or it cannot propose now
            await asyncio.sleep(VOTE_POLL_INTERVAL_S)
        self.no_process_faults = False

    def _all_up_s(self) -> float:
        """Returns for how many seconds all processes have been up."""
        outage_ends = [end for broker in self.rig.brokers for _, end in broker.outages]
        return 0.0 if self.unavailable else self.now() - max(outage_ends, default=self.rig.load_started_at)

    async def _any_unavailable_or_faulty(self) -> bool:
        """Whether a broker is unreachable, or reports that it cannot decide by the policy in force."""
        try:
            return any([(await self.read_report(broker))["fault"] for broker in self.rig.brokers])
        except CallError:
            return True

    def _can_answer_check(self, broker: Broker) -> bool:
        """Whether the broker that rejects unsound policies is up, with faultless links to the proposer.

        Args:
            broker: The proposer.
        """
        rejecter, proposer = self.rig.site.short_deadline_broker, broker.number
        pairs = [(rejecter, proposer), (proposer, rejecter)] if rejecter != proposer else []
        links = self.rig.network.links
        return rejecter not in self.unavailable and all(links[pair] == LinkFaults() for pair in pairs)

    async def _propose(self, note: str, with_faults: bool) -> None:
        """Proposes a change at a random broker and waits for its outcome.

        Args:
            note: The note of the change, which identifies it in the brokers' histories.
            with_faults: Whether the policy may be unsound, so that one broker cannot decide by it, and
                whether the proposer may be killed.
        """
        rig, random = self.rig, self.change_random
        broker = rig.brokers[random.randrange(len(rig.brokers))]
        limit, sound = random.choice(LIMITS), random.random() >= UNSOUND_SHARE or not with_faults
        proposer_dies = with_faults and random.random() < 0.25
        death_after_s = random.uniform(0.0, 0.35)
        try:
            before = await self.read_report(broker)
            policy = msgspec.convert(before["policy"], Policy)
            plans = tuple(
                msgspec.structs.replace(plan, limit=limit) if plan.name == "basic" else plan
                for plan in policy.plan
            )
            # An objective past the deadline of the broker with short deadlines makes the policy unsound.
            objective_ms = 1000.0 if sound else rig.site.deadline_ms - 50.0
            classes = tuple(
                msgspec.structs.replace(
                    cls, latency_objective_ms=objective_ms if cls.name == "read" else cls.latency_objective_ms
                )
                for cls in policy.classes
            )
            proposal = ProposedChange(
                note, limit, broker.number, self.now(), sound, self._can_answer_check(broker)
            )
            new_policy = msgspec.to_builtins(msgspec.structs.replace(policy, plan=plans, classes=classes))
            line = orjson.dumps({"policy": new_policy, "note": note}).decode()
            await self.call_broker(broker, f"policy-propose {line}")
        except CallError:
            return  # the broker is down, or it cannot propose now
        self.proposals.append(proposal)
        if proposer_dies and broker.number not in self.unavailable:
            await asyncio.sleep(death_after_s)
            proposal.rejecter_reachable = proposal.rejecter_reachable and self._can_answer_check(broker)
            await self.restart(broker, 0.3)
            return
        until = rig.now() + 7.0
        while rig.now() < until:
            await asyncio.sleep(POLL_INTERVAL_S)
            proposal.rejecter_reachable = proposal.rejecter_reachable and self._can_answer_check(broker)
            try:
                report = await self.read_report(broker)
            except CallError:
                continue
            if report["life"] != before["life"]:
                return  # the broker has restarted and does not know the outcome
            if report["results_ended"] > before["results_ended"]:
                proposal.outcome, _, proposal.epoch = report["results"][-1]
                proposal.reported_at = self.now()
                if proposal.outcome == "in force":
                    self.switches.append(proposal.reported_at)
                return

    def now(self) -> float:
        """Returns the time of the event loop's clock, in seconds."""
        return asyncio.get_running_loop().time()

    async def call_broker(self, broker: Broker, line: str) -> str:
        """Sends an admin call to a broker and returns its reply.

        Raises:
            CallError: The broker is down or rejects the call.
        """
        return await call(Address("127.0.0.1", broker.admin_port), line)

    async def read_report(self, broker: Broker) -> dict[str, Any]:
        """Returns a broker's report, and records the limit of its epoch and the notes of its history.

        Raises:
            CallError: The broker is down.
        """
        report: dict[str, Any] = orjson.loads(await self.call_broker(broker, "policy"))
        self.limits[report["epoch"]] = next(
            plan["limit"] for plan in report["policy"]["plan"] if plan["name"] == "basic"
        )
        self.applied_notes |= {line.partition(": ")[2] for line in report["history"]}
        return report

    async def watch_reports(self) -> None:
        """Polls the reports of all brokers, so that the limit of every epoch is recorded."""
        while self.rig.now() < self.options.seconds:
            for broker in self.rig.brokers:
                if broker.program is not None:
                    try:
                        await self.read_report(broker)
                    except CallError:
                        continue
            await asyncio.sleep(POLL_INTERVAL_S)

    # Faults

    async def run_faults(self) -> None:
        """Injects faults of processes, one at a time, and at the same time faults of links."""
        await asyncio.gather(self._run_process_faults(), self._run_link_faults())

    async def _run_process_faults(self) -> None:
        """Kills and pauses random brokers until 4 s before the part without faults."""
        turn = 0
        while self.rig.now() < self.quiet_from_s - 4.0:
            await asyncio.sleep(self.fault_random.uniform(0.3, 1.5))
            broker = self.rig.brokers[self.fault_random.randrange(len(self.rig.brokers))]
            outage_s = self.fault_random.uniform(0.3, 3.0)
            kind = ("kill", "stop", "kill")[turn % 3]
            if broker.number in self.unavailable or self.no_process_faults:
                continue
            turn += 1
            if kind == "kill":
                await self.restart(broker, outage_s)
            else:
                self.unavailable.add(broker.number)
                await self.rig.pause_broker(broker, outage_s)
                self.unavailable.discard(broker.number)

    async def restart(self, broker: Broker, down_s: float) -> None:
        """Kills a broker and starts it again, at times with its vote store removed or truncated."""
        draw = self.fault_random.random()
        wiped = draw < 0.35 and self.rig.now() - self._last_wipe_s > WIPE_INTERVAL_S

        def damage_store() -> None:
            """Removes or truncates the vote store, if it is to be lost."""
            path = self.rig.vote_store_path(broker.number)
            if wiped and draw < 0.2:
                path.unlink()
            elif wiped:
                data = path.read_bytes()
                path.write_bytes(data[: self.fault_random.randrange(len(data))])

        self.unavailable.add(broker.number)
        if wiped:
            self._last_wipe_s, self.wipes = self.rig.now(), self.wipes + 1
        await self.rig.restart_broker(broker, down_s, damage_store)
        self.unavailable.discard(broker.number)

    async def _run_link_faults(self) -> None:
        """Injects faults into the links between two groups of brokers, each kind in turn."""
        turn = 0
        broker_numbers = list(range(len(self.rig.brokers)))
        while self.rig.now() < self.quiet_from_s - 4.0:
            await asyncio.sleep(self.fault_random.uniform(0.5, 2.5))
            duration_s = round(self.fault_random.uniform(0.5, 3.0), 3)
            group = tuple(
                self.fault_random.sample(
                    broker_numbers, self.fault_random.randrange(1, max(2, len(broker_numbers) // 2 + 1))
                )
            )
            others = tuple(n for n in broker_numbers if n not in group)
            kind = ("split", "one-way", "loss", "delay", "double", "cut")[turn % 6]
            turn += 1
            fault = Fault(
                kind=kind,  # type: ignore[arg-type]
                at_s=0.0,
                for_s=duration_s,
                brokers=group,
                to=others,
                share=0.3,
                ms=(1.0, 250.0),
            )
            pairs = [(i, j) for i in group for j in others]
            if kind != "one-way":
                pairs += [(j, i) for i, j in pairs]
            self.rig.splits += kind == "split"
            await self.rig.apply_link_fault(pairs, fault)

    async def wait_for_convergence(self) -> list[dict[str, Any]]:
        """Returns all brokers' reports once they have one state and only its epoch in use.

        After CONVERGENCE_S it returns the reports as they are.
        """
        until = self.rig.now() + CONVERGENCE_S
        while True:
            reports = [await self.read_report(broker) for broker in self.rig.brokers]
            one_state = len({report["state"] for report in reports}) == 1
            one_epoch = all(report["goes_by"] == [report["epoch"]] * 2 for report in reports)
            if (one_state and one_epoch) or self.rig.now() > until:
                return reports
            await asyncio.sleep(POLL_INTERVAL_S)


def policy_traffic(brokers: int, site: SiteSettings) -> list[VolumeTraffic]:
    """Returns the load: two volumes above their limit, and one steady volume per broker.

    The first of the two sends to all of its brokers in turn, the second to another one every two seconds.
    """
    hosts, shards = min(3, brokers), tuple(range(NODES))
    flooding = [
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
    return flooding + [
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
    """Runs the drill.

    Returns:
        The figures of the last line, the findings about the changes of policy, and those about the answers.
    """
    site = SiteSettings(
        lease_ms=LEASE_MS, policy_floor=FLOOR_SHARE, short_deadline_broker=options.brokers - 1
    )
    module = ("lemonridge.cli.mutant", f"fleet-fault={options.mutant}") if options.mutant else ("lemonridge",)
    async with running_fleet(options.brokers, NODES, options.seed, site, True, module=module) as rig:
        clients = Clients([broker.port for broker in rig.brokers], options.seed, site.deadline_ms)
        drill = Drill(options, rig)
        tasks = [
            clients.run(policy_traffic(options.brokers, site), options.seconds),
            drill.run_changes(),
            drill.watch_reports(),
        ]
        if options.faults:
            tasks += [drill.run_faults(), drill.run_vote_changes()]
        await asyncio.gather(*tasks)
        final_reports = await drill.wait_for_convergence()
        await rig.stop()
    attempts = [attempt for node in rig.nodes for attempt in node.received]
    findings = check(
        attempts,
        drill.proposals,
        final_reports,
        drill.limits,
        site.limit * FLOOR_SHARE,
        FLOODED_VOLUMES,
        site.burst,
        site.limit_slack,
        (LEASE_MS + CLOCK_ERROR_MS) / 1000 + 0.3,
    )
    answer_findings = rules.check(
        attempts,
        clients.requests,
        {},
        None,
        {},
        {broker.number: broker.outages for broker in rig.brokers},
        sum(node.overloads for node in rig.nodes),
        clients.surplus,
    )
    sound = [proposal for proposal in drill.proposals if proposal.sound]
    figures: dict[str, object] = {
        "drill": "policy",
        "seed": options.seed,
        "brokers": options.brokers,
        "requests": len(clients.requests),
        "served": sum(request.end == "served" for request in clients.requests),
        "changes": len(drill.proposals),
        "sound": len(sound),
        "in_force": sum(proposal.note in drill.applied_notes for proposal in sound),
        "rejected": sum(proposal.outcome == "nowhere" for proposal in drill.proposals),
        "aborted": sum(proposal.outcome in ("another", "unknown", "") for proposal in drill.proposals),
        "epoch": final_reports[0]["epoch"],
        "kills": sum(broker.kills for broker in rig.brokers),
        "wipes": drill.wipes,
        "votes": drill.vote_changes,
        "splits": rig.splits,
        "stops": sum(broker.pauses for broker in rig.brokers),
        "mixed_epochs": findings.mixed_epochs,
        "half_changes": findings.half_changes,
        "lost_changes": findings.lost_changes,
        "stale_serving": findings.stale_serving,
        "limit_excess": findings.limit_excess,
        "double_answers": answer_findings.double_answers,
        "unanswered": answer_findings.unanswered,
        "worst_switch_ms": _switch_ms(attempts, drill.proposals),
        "worst_stall_ms": _stall_ms(attempts),
    }
    return figures, findings, answer_findings


def _switch_ms(attempts: list[Any], proposed: list[ProposedChange]) -> int:
    """Returns the longest time from a proposal to the first attempt under its epoch alone, in ms."""
    first_attempt_at: dict[int, float] = {}
    for attempt in attempts:
        interval = epochs(attempt.epoch)
        if interval is not None and interval[0] == interval[1]:
            first_attempt_at[interval[0]] = min(
                first_attempt_at.get(interval[0], attempt.head_received_at), attempt.head_received_at
            )
    durations_s = [
        first_attempt_at[proposal.epoch] - proposal.proposed_at
        for proposal in proposed
        if proposal.outcome == "in force" and proposal.epoch in first_attempt_at
    ]
    return int(max(durations_s, default=0.0) * 1000)


def _stall_ms(attempts: list[Any]) -> int:
    """Returns the longest time in which no node received an attempt, in milliseconds."""
    times = sorted(attempt.received_at for attempt in attempts)
    return int(
        max((later - earlier for earlier, later in zip(times, times[1:], strict=False)), default=0.0) * 1000
    )


def passed(figures: dict[str, object], findings: Findings, answer_findings: rules.Findings) -> bool:
    """Whether no rule was violated and enough of the sound proposals came into force."""
    enough_in_force = int(str(figures["in_force"])) >= IN_FORCE_SHARE_MIN * int(str(figures["sound"]))
    return (
        findings.passed
        and not answer_findings.double_answers
        and not answer_findings.unanswered
        and enough_in_force
    )

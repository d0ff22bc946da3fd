"""A broker that starts while discovery's agent is silent sends new work to a node that drains."""

from __future__ import annotations

import asyncio

from case_lib import TROUBLE, BrokerProcess, CannotRunError, Record, free_port, run_case
from platform_lib import Client, Discovery, DiskNode, wait_until_ready, write_config

SILENT_S = 8.0  # "discovery is down for 8 s, into the start of a release"
TOLD_S = 6.0  # whatever else is allowed, a change counts as told so long after
GRACE_S, SLACK_S = 0.5, 0.05


async def read_on(client: Client, statuses: list[tuple[int, bytes]]) -> None:
    """Reads from shard 0 ten times a second."""
    while True:
        statuses.append(await client.read(0))
        await asyncio.sleep(0.1)


async def case(record: Record, broker: BrokerProcess) -> str:
    """Runs the case beside two brokers that stay up; returns what was broken."""
    steady_brokers = BrokerProcess(), BrokerProcess()
    try:
        return await restart_one(record, broker, steady_brokers)
    finally:
        for steady in steady_brokers:
            await steady.kill()
            steady.clean()


async def restart_one(
    record: Record, broker: BrokerProcess, steady_brokers: tuple[BrokerProcess, BrokerProcess]
) -> str:
    """Kills one broker of three and starts it again; returns what was broken."""
    loop = asyncio.get_running_loop()
    draining, successor = await DiskNode("s-1", 0).start(), await DiskNode("s-2", 0).start()
    others = [await DiskNode(f"s-{shard + 2}", shard).start() for shard in range(1, 5)]
    agent = await Discovery(record).start()
    await agent.tell(draining.entry(), *(other.entry() for other in others))
    port, config = free_port(), broker.folder / "config.json"
    write_config(config, port, agent.port, agent.whole())
    await broker.start("", ROUTER_CONFIG=str(config))
    await wait_until_ready(port)
    for name, steady in zip(("n2", "n3"), steady_brokers, strict=True):
        steady_config = steady.folder / "config.json"
        write_config(steady_config, free_port(), agent.port, agent.whole(), name=name)
        await steady.start("", ROUTER_CONFIG=str(steady_config))
    for _ in range(5):
        if (await Client(port).read(0))[0] != 200:
            raise CannotRunError("the broker does not serve")
    await asyncio.sleep(2.5)
    known = agent.whole()  # as this broker last had it

    record.note("broker: killed")
    await broker.kill()
    await asyncio.sleep(0.2)
    await agent.tell(draining.entry("draining"), successor.entry())
    await asyncio.sleep(0.5)
    if TROUBLE:
        await agent.set_silent(True)
    write_config(config, port, agent.port, known)
    started_s = loop.time()
    await broker.start("", ROUTER_CONFIG=str(config))
    record.note("broker: started again; its configuration has the list as it last had it")
    ready = asyncio.create_task(wait_until_ready(port))
    statuses: list[tuple[int, bytes]] = []
    reading: asyncio.Task[None] | None = None
    while loop.time() < started_s + SILENT_S:
        await asyncio.sleep(0.02)
        if ready.done() and reading is None:
            record.note("broker: says that it is ready")
            reading = asyncio.create_task(read_on(Client(port), statuses))
    if TROUBLE:
        await agent.set_silent(False)
    await asyncio.sleep(2)
    if reading is None:
        await ready
    else:
        reading.cancel()
    record.note(
        f"client: {len(statuses)} answers, {sum(status == 200 for status, _ in statuses)} of them 200"
    )
    return judge(record, [at_s - started_s for at_s in draining.first_bytes_s if at_s > started_s])


def judge(record: Record, since: list[float]) -> str:
    """Returns what was broken, by the seconds from the start to each first byte at the draining node."""
    record.note(f"s-1: first bytes came {[round(at_s, 2) for at_s in since]} s after the start")
    late = [at_s for at_s in since if at_s > TOLD_S + GRACE_S + SLACK_S]
    by_the_letter = [at_s for at_s in since if at_s > GRACE_S + SLACK_S]
    record.note(f"past 0.55 s: {len(by_the_letter)}, past 6.55 s: {len(late)}")
    if late:
        return (
            f"{len(by_the_letter)} new requests to a draining node that the agent had told of, "
            f"{len(late)} of them later than 6.55 s after the start"
        )
    return ""


run_case(__file__, case)

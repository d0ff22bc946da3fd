"""Runs the cases: starts the program before a stand-in node, or meets a target that is there already."""

from __future__ import annotations

import asyncio
import fnmatch
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass
from random import Random

from lemonridge.lab.conform.cases import (
    BLOCKS_PER_LUN,
    CASES,
    CHAP_TARGET,
    MUTUAL_CHAP_TARGET,
    RESTRICTED_TARGET,
    SECRETS_TOML,
    STORE_TARGET,
    Case,
    CaseContext,
    SkipError,
)
from lemonridge.lab.conform.peer import CaseError
from lemonridge.lab.program import running_program
from lemonridge.lab.standins.etcd import Etcd
from lemonridge.lab.standins.mover import Mover
from lemonridge.lab.standins.node import ExtentNode
from lemonridge.lab.ticks import Ticks

CONFIG = """
[iscsi]
listen = "127.0.0.1:0"
target = "{store}"
queue_depth = 16
max_sessions = 400
max_connections = 400
login_failures = 1000
time2wait_s = 0
time2retain_s = 1
ping_s = 0
secrets = "{folder}/secrets.toml"
[[target]]
name = "{guarded}"
chap = ["conform"]
[[target]]
name = "{mutual}"
chap = ["mutual"]
[[target]]
name = "{private}"
initiators = ["iqn.2026-12.org.lemonridge:somebody"]
[initiator]
name = "iqn.2026-12.org.lemonridge:broker"
[classes.read]
aim_ms = 900
deadline_ms = 1000
[classes.write]
aim_ms = 900
deadline_ms = 1000
[rules]
cold_units = 1000000
[[plan]]
name = "standard"
rate = 100000
reserve = 100000
[[lun]]
lun = 0
plan = "standard"
shard = 0
[[lun]]
lun = 1
plan = "standard"
shard = 0
[[lun]]
lun = 300
plan = "standard"
shard = 0
[[node]]
name = "n0"
address = "127.0.0.1:{port}"
target = "iqn.2026-12.org.lemonridge:n0"
shard = 0
"""


@dataclass(frozen=True)
class Result:
    name: str
    section: str
    outcome: str  # passed, failed or skipped
    why: str = ""


async def run_case(one: Case, context: CaseContext) -> Result:
    try:
        await one.run(context)
        return Result(one.name, one.section, "passed")
    except SkipError as error:
        return Result(one.name, one.section, "skipped", str(error))
    except (CaseError, OSError, KeyError, ValueError, IndexError) as error:
        return Result(one.name, one.section, "failed", f"{type(error).__name__}: {error}")
    finally:
        for peer in context.peers:
            peer.close()


async def run(
    pattern: str,
    seed: int,
    target: tuple[str, int] | None = None,
    proxy: Callable[[int], Awaitable[int]] | None = None,
    on_result: Callable[[Result], None] = lambda result: None,
) -> list[Result]:
    """Run the cases whose names fit; `proxy` may put something between the suite and the program's port."""
    from lemonridge.lab.conform import data, login, scsi, session  # noqa: F401 - they register their cases

    chosen = [one for one in CASES.values() if fnmatch.fnmatch(one.name, pattern)]
    if target is not None:
        return await _each(chosen, seed, lambda: CaseContext(*target, STORE_TARGET), on_result)
    ticks = Ticks()
    node = ExtentNode("n0", 0, ticks, Random(seed), accepts_unversioned=True)
    await node.start()
    mover = Mover([node], Etcd(), "/", ticks, Random(seed))
    for lun in (0, 1, 300):
        mover.create_lun(lun, 1, BLOCKS_PER_LUN)
    text = CONFIG.format(
        store=STORE_TARGET,
        guarded=CHAP_TARGET,
        mutual=MUTUAL_CHAP_TARGET,
        private=RESTRICTED_TARGET,
        folder="{folder}",
        port=node.port,
    )
    try:
        async with running_program(text, secrets=SECRETS_TOML, stop=proxy is None) as (_, port):
            if proxy is not None:
                port = await proxy(port)
            return await _each(
                chosen, seed, lambda: CaseContext("127.0.0.1", port, STORE_TARGET, node), on_result
            )
    finally:
        node.kill()


async def _each(
    chosen: Iterable[Case], seed: int, meet: Callable[[], CaseContext], on_result: Callable[[Result], None]
) -> list[Result]:
    results = []
    for one in chosen:
        context = meet()
        context.random = Random(f"{seed}/{one.name}")
        result = await run_case(one, context)
        on_result(result)
        results.append(result)
        await asyncio.sleep(0)
    return results

"""Runs the conformance cases against an external target, or against a new broker with a stand-in node."""

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
    """The result of one case.

    Attributes:
        name: Name of the case.
        section: Section that defines the checked behaviour.
        outcome: "passed", "failed" or "skipped".
        why: Reason of a failure or a skip; else empty.
    """

    name: str
    section: str
    outcome: str
    why: str = ""


async def run_case(case: Case, context: CaseContext) -> Result:
    """Runs one case, closes its connections and returns its result."""
    try:
        await case.run(context)
        return Result(case.name, case.section, "passed")
    except SkipError as error:
        return Result(case.name, case.section, "skipped", str(error))
    except (CaseError, OSError, KeyError, ValueError, IndexError) as error:
        return Result(case.name, case.section, "failed", f"{type(error).__name__}: {error}")
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
    """Runs the cases whose names match a pattern.

    Args:
        pattern: Glob pattern of case names.
        seed: Seed of the random choices.
        target: Host and port of an external target; None to start a broker with a stand-in node.
        proxy: Starts a proxy in front of the broker's port and returns the proxy's port; None for a direct
            connection. Only for the suite's own broker.
        on_result: Called with the result of each case.

    Returns:
        The results of all cases that were run.
    """
    from lemonridge.lab.conform import data, login, scsi, session  # noqa: F401 - the imports register the cases

    selected = [case for case in CASES.values() if fnmatch.fnmatch(case.name, pattern)]
    if target is not None:
        return await _run_cases(selected, seed, lambda: CaseContext(*target, STORE_TARGET), on_result)
    ticks = Ticks()
    node = ExtentNode("n0", 0, ticks, Random(seed), accepts_unversioned=True)
    await node.start()
    mover = Mover([node], Etcd(), "/", ticks, Random(seed))
    for lun in (0, 1, 300):
        mover.create_lun(lun, 1, BLOCKS_PER_LUN)
    config = CONFIG.format(
        store=STORE_TARGET,
        guarded=CHAP_TARGET,
        mutual=MUTUAL_CHAP_TARGET,
        private=RESTRICTED_TARGET,
        folder="{folder}",
        port=node.port,
    )
    try:
        async with running_program(config, secrets=SECRETS_TOML, stop=proxy is None) as (_, port):
            if proxy is not None:
                port = await proxy(port)
            return await _run_cases(
                selected, seed, lambda: CaseContext("127.0.0.1", port, STORE_TARGET, node), on_result
            )
    finally:
        node.kill()


async def _run_cases(
    selected: Iterable[Case],
    seed: int,
    new_context: Callable[[], CaseContext],
    on_result: Callable[[Result], None],
) -> list[Result]:
    """Runs each selected case in a new context, with random choices that depend on the seed and its name."""
    results = []
    for case in selected:
        context = new_context()
        context.random = Random(f"{seed}/{case.name}")
        result = await run_case(case, context)
        on_result(result)
        results.append(result)
        await asyncio.sleep(0)
    return results

"""Runs of an experiment, each in its own process with its result in a file, so that runs can be resumed.

If a process fails, its run is reported with its seed and the other runs continue. The digest of an experiment
covers the figures of its runs in their order and does not depend on the number of processes.
"""

from __future__ import annotations

import asyncio
import hashlib
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import orjson

from lemonridge.lab.model.spec import Experiment, combinations, load_experiment, read_scenario, vary


@dataclass(frozen=True, slots=True)
class Run:
    """One run.

    Attributes:
        index: Position in the experiment.
        levels: Level of each factor, by key path.
        seed: Seed of the run.
    """

    index: int
    levels: dict[str, Any]
    seed: int

    @property
    def name(self) -> str:
        """Levels and seed as text."""
        return " ".join([*(f"{key}={value}" for key, value in self.levels.items()), f"seed={self.seed}"])


def list_runs(experiment: Experiment) -> list[Run]:
    """Returns all runs; every combination has the same seeds, so that results can be compared in pairs."""
    runs = [
        (levels, experiment.seed_base + number)
        for levels in combinations(experiment)
        for number in range(experiment.seeds)
    ]
    return [Run(index, levels, seed) for index, (levels, seed) in enumerate(runs)]


def run_one(path: str, index: int, seed_base: int | None) -> dict[str, Any]:
    """Runs one run of an experiment in this process.

    Args:
        path: The experiment's file.
        index: Index of the run.
        seed_base: First seed; None for that of the file.

    Returns:
        The result, as it is stored.
    """
    from lemonridge.lab.model.world import World

    experiment = _with_seed_base(load_experiment(path), seed_base)
    run = list_runs(experiment)[index]
    scenario = read_scenario(vary(experiment.scenario, run.levels), "scenario")
    started_at = time.perf_counter()
    outcome = World(scenario, run.seed).run()
    return {
        "levels": run.levels,
        "seed": run.seed,
        "policy": scenario.policy,
        "figures": outcome.figures(),
        "digest": outcome.digest(),
        "took_s": round(time.perf_counter() - started_at, 3),
        "cpu_us": round(outcome.cpu_us / max(1, sum(counts.asked for counts in outcome.class_counts)), 2),
    }


def _with_seed_base(experiment: Experiment, seed_base: int | None) -> Experiment:
    if seed_base is None:
        return experiment
    return Experiment(
        scenario=experiment.scenario, factors=experiment.factors, seeds=experiment.seeds, seed_base=seed_base
    )


async def run_all(
    path: str, jobs: int, out: Path, seed_base: int | None, progress: Callable[[str], None]
) -> tuple[list[dict[str, Any]], list[str]]:
    """Runs all runs of an experiment whose results do not exist yet.

    Args:
        path: The experiment's file.
        jobs: Largest number of processes at once.
        out: Directory of the results.
        seed_base: First seed; None for that of the file.
        progress: Called with one line of text per run.

    Returns:
        The results in the order of the runs, and the names of runs whose process failed.
    """
    experiment = _with_seed_base(load_experiment(path), seed_base)
    runs = list_runs(experiment)
    experiment_id = hashlib.sha256(Path(path).read_bytes() + repr(seed_base).encode()).hexdigest()[:12]
    out.mkdir(parents=True, exist_ok=True)
    slots, died, done = asyncio.Semaphore(jobs), list[str](), 0

    async def run_process(run: Run) -> dict[str, Any] | None:
        nonlocal done
        file = out / f"{experiment_id}-{run.index:05}.json"
        if not file.exists():
            async with slots:
                command = [sys.executable, "-m", "lemonridge", "lab", "one", path, str(run.index)]
                if seed_base is not None:
                    command += ["--seed-base", str(seed_base)]
                process = await asyncio.create_subprocess_exec(
                    *command, stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.PIPE
                )
                output, error = await process.communicate()
                if process.returncode:
                    died.append(run.name)
                    lines = error.decode(errors="replace").strip().splitlines() or ["no output"]
                    progress(f"died ({process.returncode}): {run.name}: {lines[-1]}")
                    return None
                partial = file.with_suffix(".part")
                partial.write_bytes(output)
                partial.rename(file)
        done += 1
        result: dict[str, Any] = orjson.loads(file.read_bytes())
        progress(f"{done} of {len(runs)}: {run.name}: service {result['figures']['service']:.4f}")
        return result

    results = await asyncio.gather(*(run_process(run) for run in runs))
    return [result for result in results if result is not None], died


def digest(results: list[dict[str, Any]]) -> str:
    """Returns a digest of the results' digests."""
    return hashlib.sha256("".join(result["digest"] for result in results).encode()).hexdigest()[:16]


def count_violations(results: list[dict[str, Any]]) -> int:
    """Returns how often runs with the real scheduler exceeded a limit or overloaded a cold node."""
    return sum(
        int(result["figures"]["over_limit"]) + int(result["figures"]["fallen"])
        for result in results
        if result["policy"] == "module"
    )


def read_results(folder: str) -> list[dict[str, Any]]:
    """Reads the results in a folder, in the order of the runs."""
    return [orjson.loads(file.read_bytes()) for file in sorted(Path(folder).glob("*.json"))]

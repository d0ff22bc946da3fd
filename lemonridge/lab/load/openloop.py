"""What every open-loop generator shares: the loop itself, the gaps between arrivals, and the tally.

A closed loop waits with the server it measures and so leaves out the very requests that would have waited
(Tene's "coordinated omission"). Here a request's time counts from when it was due, whether or not it could be
sent then. Times go into an HdrHistogram, whose file other tools read.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from random import Random
from typing import Any

from hdrh.histogram import HdrHistogram

MAX_LATENCY_US, SIGNIFICANT_DIGITS = 60_000_000, 3
PROGRESS_INTERVAL_S = 1.0


@dataclass
class Tally:
    """Counts by outcome, and times in microseconds by kind: a command's (read, write) or a class's name."""

    kinds: tuple[str, ...] = ("read", "write")
    due: int = 0
    served: int = 0
    refused: int = 0
    failed: int = 0
    lost: int = 0
    unsent: int = 0
    times: dict[str, Any] = field(init=False)

    def __post_init__(self) -> None:
        self.times = {kind: HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS) for kind in self.kinds}

    def record_served(self, kind: str, due: float, now: float) -> None:
        """One served, due at `due` and answered at `now`, in seconds of the loop's clock."""
        self.served += 1
        self.times[kind].record_value(min(MAX_LATENCY_US, max(1, int((now - due) * 1e6))))

    def figures(self) -> dict[str, object]:
        values: dict[str, object] = {
            name: getattr(self, name) for name in ("due", "served", "refused", "failed", "lost", "unsent")
        }
        for kind, histogram in self.times.items():
            for percentile in (50, 99, 99.9):
                values[f"{kind}_p{percentile:g}_ms"] = round(
                    histogram.get_value_at_percentile(percentile) / 1000, 2
                )
        return values


async def open_loop(
    tally: Tally,
    rate: float,
    arrivals: str,
    seconds: float,
    outstanding: int,
    random: Random,
    draw: Callable[[float, int], Coroutine[Any, Any, None]],
    progress: Callable[[str], None],
) -> None:
    """Call `draw(due, number)` at each time that is due for `seconds`, and run what it gives unless
    `outstanding` are out, when it is counted as unsent; then wait for what is out. `say` gets a line a
    second.

    `draw` makes its draws whether or not its request is sent, so that the day is the same.
    """
    loop, next_gap, tasks = (
        asyncio.get_running_loop(),
        arrival_gaps(rate, arrivals, random),
        set[asyncio.Task[None]](),
    )
    due = began = loop.time()
    next_progress_at = began + PROGRESS_INTERVAL_S
    while (due := due + next_gap()) < began + seconds:
        await asyncio.sleep(max(0.0, due - loop.time()))
        tally.due += 1
        request = draw(due, tally.due)
        if len(tasks) >= outstanding:
            request.close()
            tally.unsent += 1
            continue
        task = asyncio.create_task(request)
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        if loop.time() >= next_progress_at:
            next_progress_at += PROGRESS_INTERVAL_S
            progress(
                f"at {loop.time() - began:.0f} s: due {tally.due} served {tally.served} "
                f"refused {tally.refused} failed {tally.failed} out {len(tasks)}"
            )
    if tasks:
        await asyncio.wait(tasks)


def arrival_gaps(rate: float, arrivals: str, random: Random) -> Callable[[], float]:
    """The time from one arrival to the next, in seconds: `poisson`, `even`, or `bursty` (twenty at once)."""
    if arrivals == "even":
        return lambda: 1 / rate
    if arrivals == "bursty":
        remaining = [0]

        def gap() -> float:
            remaining[0] = remaining[0] - 1 if remaining[0] else 19
            return 0.0 if remaining[0] else random.expovariate(rate / 20)

        return gap
    return lambda: random.expovariate(rate)

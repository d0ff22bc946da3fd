"""The open loop that all load generators use, the gaps between arrivals, and the counts.

A closed loop waits for the server that it measures, and thus omits the requests that would have been delayed
(Tene's "coordinated omission"). Here the latency of a request counts from the time at which it was due, even
if it was sent later. Latencies are recorded in an HdrHistogram, whose file format other tools can read.
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
    """Counts of requests by result, and their latencies.

    Attributes:
        kinds: Kinds of requests: `read` and `write`, or the names of classes.
        due: Number of requests that were due.
        served: Number of served requests.
        refused: Number of refused requests.
        failed: Number of failed requests.
        lost: Number of requests without a response.
        unsent: Number of requests that were not sent, since too many were open.
        times: Histogram of the latencies of served requests in microseconds, by kind.
    """

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
        """Records a served request.

        Args:
            kind: Kind of the request.
            due: Time at which it was due, in seconds of the loop's clock.
            now: Time of its response, on the same clock.
        """
        self.served += 1
        self.times[kind].record_value(min(MAX_LATENCY_US, max(1, int((now - due) * 1e6))))

    def figures(self) -> dict[str, object]:
        """Returns the counts, and the median and tail latencies by kind in milliseconds."""
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
    """Starts requests at their due times, and waits at the end until all of them have ended.

    Args:
        tally: Counts to update.
        rate: Requests per second.
        arrivals: Distribution of the arrivals, see `arrival_gaps`.
        seconds: Duration in seconds.
        outstanding: Largest number of open requests; a request beyond it is counted as unsent.
        random: Source of the arrival times.
        draw: Draws a request for a due time and a number, and returns the coroutine that sends it. It is also
            called for unsent requests, so that the sequence of requests does not depend on the server.
        progress: Called with one line of text per second.
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
    """Returns a function that draws the time to the next arrival, in seconds.

    Args:
        rate: Arrivals per second.
        arrivals: Distribution: `poisson`, `even`, or `bursty` (20 at once).
        random: Source of the draws.
    """
    if arrivals == "even":
        return lambda: 1 / rate
    if arrivals == "bursty":
        remaining = [0]

        def gap() -> float:
            remaining[0] = remaining[0] - 1 if remaining[0] else 19
            return 0.0 if remaining[0] else random.expovariate(rate / 20)

        return gap
    return lambda: random.expovariate(rate)

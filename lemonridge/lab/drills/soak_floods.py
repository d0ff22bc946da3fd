"""The floods and crowds of the drill `soak`, and the check of the broker's memory beside them."""

from __future__ import annotations

import asyncio
import contextlib
import sys
from pathlib import Path
from random import Random

from lemonridge.lab.load.floods import FloodKind

PAUSE_S = 0.4  # the mean time between two floods
FLOOD_S = (0.3, 1.5)  # the shortest and the longest flood
FLOOD_CONNECTIONS = (1, 2, 6)
CROWD_CONNECTIONS = (60, 120)
CROWDS = frozenset((FloodKind.SLOW_HEADS, FloodKind.HALF_BODIES))
# Those whose requests never reach a node, or go to volumes of their own.
PLAYED = (
    FloodKind.BLANK_FIELDS,
    FloodKind.BLANK_TRAILERS,
    FloodKind.NEW_VOLUMES,
    FloodKind.PROBES,
    FloodKind.ONE_BYTE_CHUNKS,
    FloodKind.LONG_HEADS,
    FloodKind.EMPTY_LINES,
    FloodKind.SLOW_HEADS,
    FloodKind.HALF_HEADS,
    FloodKind.HALF_BODIES,
    FloodKind.LEAVERS,
)
MEMORY_MB = 96  # the broker's limit


class SoakFloods:
    """Plays floods against the broker, one after another, each in a process of its own.

    Args:
        seed: The seed from which the floods are drawn.

    Attributes:
        played: The number of floods that were played.
        peak_memory_mb: The most memory that the broker held, in MiB.
    """

    def __init__(self, seed: int) -> None:
        self._random = Random(f"floods {seed}")
        self.played = 0
        self.peak_memory_mb = 0

    async def run(self, port: int) -> None:
        """Plays floods until it is cancelled.

        Args:
            port: The port of the broker on loopback.
        """
        while True:
            await asyncio.sleep(self._random.expovariate(1 / PAUSE_S))
            kind = self._random.choice(PLAYED)
            connections = self._random.choice(CROWD_CONNECTIONS if kind in CROWDS else FLOOD_CONNECTIONS)
            await self._play(kind, port, connections, self._random.uniform(*FLOOD_S))

    async def _play(self, kind: FloodKind, port: int, connections: int, seconds: float) -> None:
        """Plays one flood."""
        self.played += 1
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "lemonridge.lab.load.floods",
            kind.value,
            *("--port", str(port), "--connections", str(connections), "--seconds", f"{seconds:.2f}"),
            *("--seed", str(self._random.randrange(1, 1 << 20)), "--policy", "free"),
            stdout=asyncio.subprocess.DEVNULL,
            stderr=asyncio.subprocess.DEVNULL,
        )
        try:
            await process.wait()
        finally:
            with contextlib.suppress(ProcessLookupError):
                process.kill()

    def sample_memory(self, process_id: int) -> bool:
        """Notes the memory of the broker; returns whether it is within its limit."""
        try:
            status = Path(f"/proc/{process_id}/status").read_text()
        except OSError:
            return True  # it has ended
        resident_kb = status.partition("VmRSS:")[2].split()
        memory_mb = int(resident_kb[0]) // 1024 if resident_kb else 0
        self.peak_memory_mb = max(self.peak_memory_mb, memory_mb)
        return memory_mb < MEMORY_MB

"""When an extent is read anew from the source: one refresh in flight, and all that want one join the next.

Pure. A refresh that is already out may have been read before the move which a waiter met, so a waiter takes
part in the first one that begins after it asked. However many wait, and for however many extents, there is
one refresh at a time and a pause between the beginnings of two; after a failure the pause doubles.
"""

from __future__ import annotations

from dataclasses import dataclass, field

PAUSE_US, PAUSE_TOP_US = 5_000, 1_000_000
BATCH = 64  # extents of one refresh; the rest waits for the next (etcd takes 128 operations in a transaction)
WANTED_MAX = 4096  # extents that wait; past it the newest asker is told at once that there is no refresh

Spot = tuple[int, int]  # volume, first block of the extent


@dataclass(slots=True)
class Batch:
    """One refresh: what it reads, and its number; the waiters of a number are answered when it ends."""

    number: int
    spots: tuple[Spot, ...]


@dataclass(slots=True)
class Refreshes:
    """What is wanted, what is out, and when the next may begin."""

    pause_us: int = PAUSE_US
    number: int = 0  # of the last batch that began
    running: Batch | None = None
    next_us: int = 0
    failed: int = 0
    wanted: dict[Spot, int] = field(default_factory=dict)  # spot -> the number of the batch it will be in

    def want(self, spot: Spot) -> int | None:
        """Ask for an extent: the number of the batch that will answer, or None where too many wait."""
        held = self.wanted.get(spot)
        if held is not None:
            return held
        if len(self.wanted) >= WANTED_MAX:
            return None
        number = self.number + 1 + len(self.wanted) // BATCH
        self.wanted[spot] = number
        return number

    def due(self) -> int | None:
        """When the next batch may begin; None where nothing waits or one is out."""
        return self.next_us if self.wanted and self.running is None else None

    def begin(self, now_us: int) -> Batch | None:
        """The next batch, if it is time."""
        at = self.due()
        if at is None or now_us < at:
            return None
        self.number += 1
        spots = tuple(spot for spot, number in self.wanted.items() if number <= self.number)
        for spot in spots:
            del self.wanted[spot]
        self.running, self.next_us = Batch(self.number, spots), now_us + self.pause_us
        return self.running

    def ended(self, now_us: int, good: bool) -> int:
        """The running batch is over: its number. A failure doubles the pause, a success resets it."""
        assert self.running is not None
        number, self.running = self.running.number, None
        self.failed = 0 if good else min(self.failed + 1, 16)
        if not good:
            self.next_us = now_us + min(PAUSE_TOP_US, self.pause_us << self.failed)
        return number

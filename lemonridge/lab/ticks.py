"""One order for everything that a drill sees: a count that never stands still."""

from __future__ import annotations

import itertools


class Ticks:
    """Numbers events in the order in which they happen in the drill's one event loop."""

    def __init__(self) -> None:
        self._count = itertools.count(1)

    def __call__(self) -> int:
        return next(self._count)

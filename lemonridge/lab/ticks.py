"""A counter that gives all events of a drill one total order."""

from __future__ import annotations

import itertools


class Ticks:
    """Numbers events in the order in which they occur in the drill's event loop, from 1."""

    def __init__(self) -> None:
        self._count = itertools.count(1)

    def __call__(self) -> int:
        """Returns the next number."""
        return next(self._count)

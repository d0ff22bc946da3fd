"""Every state that a small system can come to: a breadth-first search with what has been seen, by its key.

After Holzmann, "The Model Checker SPIN" (1997), in its plainest form: whole states, no partial order.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Hashable, Iterable
from dataclasses import dataclass
from typing import Generic, TypeVar

S = TypeVar("S")


@dataclass(frozen=True)
class Found(Generic[S]):
    """What a search came to. `path` leads to the first state that broke the invariant; empty: none did."""

    states: int
    steps: int
    whole: bool  # every state within the bounds was seen
    broken: str = ""
    path: tuple[str, ...] = ()


def explore(
    start: S,
    key: Callable[[S], Hashable],
    moves: Callable[[S], Iterable[tuple[str, S]]],
    wrong: Callable[[S], str],
    states_max: int = 5_000_000,
) -> Found[S]:
    """All that `moves` leads to from `start`; `wrong` says what is broken in a state, or nothing. The
    shortest way to a broken state is given.
    """
    first = key(start)
    came: dict[Hashable, tuple[Hashable, str] | None] = {first: None}
    queue: deque[tuple[Hashable, S]] = deque([(first, start)])
    steps = 0
    if told := wrong(start):
        return Found(1, 0, True, told)
    while queue:
        here, state = queue.popleft()
        for name, after in moves(state):
            steps += 1
            there = key(after)
            if there in came:
                continue
            came[there] = (here, name)
            if told := wrong(after):
                return Found(len(came), steps, False, told, _path(came, there))
            if len(came) >= states_max:
                return Found(len(came), steps, False)
            queue.append((there, after))
    return Found(len(came), steps, True)


def _path(came: dict[Hashable, tuple[Hashable, str] | None], there: Hashable) -> tuple[str, ...]:
    names: list[str] = []
    while (before := came[there]) is not None:
        there, name = before
        names.append(name)
    return tuple(reversed(names))

"""Exhaustive search of the reachable states of a small system: breadth-first, with a set of visited keys.

After Holzmann, "The Model Checker SPIN" (1997), in its plainest form: complete states, without partial-order
reduction.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Hashable, Iterable
from dataclasses import dataclass
from typing import Generic, TypeVar

S = TypeVar("S")


@dataclass(frozen=True)
class SearchResult(Generic[S]):
    """The result of a search.

    Attributes:
        states: How many distinct states were visited.
        steps: How many transitions were followed.
        complete: Whether every state within the bounds was visited.
        violation: How the first violating state breaks the invariant; empty if no state does.
        trace: The names of the transitions that lead to that state; empty if no state violates the invariant.
    """

    states: int
    steps: int
    complete: bool
    violation: str = ""
    trace: tuple[str, ...] = ()


def explore(
    start: S,
    key: Callable[[S], Hashable],
    moves: Callable[[S], Iterable[tuple[str, S]]],
    find_violation: Callable[[S], str],
    states_max: int = 5_000_000,
) -> SearchResult[S]:
    """Visits every state that is reachable from `start`, up to the first violation.

    Args:
        start: The initial state.
        key: Returns the identity of a state; states with equal keys are visited once.
        moves: Returns the transitions of a state, each with its name and the next state.
        find_violation: Describes how a state breaks the invariant, or returns an empty string.
        states_max: The search stops as incomplete after this many states.

    Returns:
        The counts and, where a state violates the invariant, the shortest trace to it.
    """
    first = key(start)
    predecessors: dict[Hashable, tuple[Hashable, str] | None] = {first: None}
    queue: deque[tuple[Hashable, S]] = deque([(first, start)])
    steps = 0
    if violation := find_violation(start):
        return SearchResult(1, 0, True, violation)
    while queue:
        current_key, state = queue.popleft()
        for name, next_state in moves(state):
            steps += 1
            next_key = key(next_state)
            if next_key in predecessors:
                continue
            predecessors[next_key] = (current_key, name)
            if violation := find_violation(next_state):
                return SearchResult(
                    len(predecessors), steps, False, violation, _trace(predecessors, next_key)
                )
            if len(predecessors) >= states_max:
                return SearchResult(len(predecessors), steps, False)
            queue.append((next_key, next_state))
    return SearchResult(len(predecessors), steps, True)


def _trace(predecessors: dict[Hashable, tuple[Hashable, str] | None], state_key: Hashable) -> tuple[str, ...]:
    """Returns the names of the transitions from the initial state to the state of a key."""
    names: list[str] = []
    while (predecessor := predecessors[state_key]) is not None:
        state_key, name = predecessor
        names.append(name)
    return tuple(reversed(names))

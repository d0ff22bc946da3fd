"""How the outcomes of a command's pieces make its one answer. Pure.

The rules, by what may have run. A write of which one piece may have run and another did not is failed:
neither a rejection (nothing ran) nor an answer (all ran) would be true. A command none of whose pieces ran is
rejected. A read is rejected unless all of it was read, since a read may run again.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from enum import Enum


class PieceOutcome(Enum):
    """How one piece ended."""

    SUCCEEDED = "good"  # ran, and its node reports success
    NODE_ERROR = "bad"  # ran, and its node reports an error of its own
    REJECTED = "refused"  # never ran, or only reads and may run again
    UNKNOWN = "failed"  # may have run
    NOT_SENT = "unsent"  # was not started, since an earlier one ended the command


class JoinResult(Enum):
    """How the command ends. The values are parts of counters' names."""

    SERVED = "served"
    REPORTED = "reported"  # the first node's error is the answer
    REJECTED = "refused"
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class JoinedOutcome:
    """The command's one outcome.

    Attributes:
        result: How the command ends.
        piece_index: The piece whose node's error is the answer; -1 where there is none.
        backoff_us: How long the client of a rejected command should wait; 0 gives no advice.
    """

    result: JoinResult
    piece_index: int = -1
    backoff_us: int = 0


def may_continue(writes: bool, outcomes: Sequence[PieceOutcome]) -> bool:
    """Whether the command's next piece may start.

    A piece of a write starts only while every earlier one succeeded, so that as few writes as possible are
    left partly done. The pieces of a read start together.
    """
    return not writes or all(outcome is PieceOutcome.SUCCEEDED for outcome in outcomes)


def join(writes: bool, outcomes: Sequence[PieceOutcome], backoffs_us: Iterable[int] = ()) -> JoinedOutcome:
    """Joins the outcomes of all pieces.

    Args:
        writes: Whether the command writes.
        outcomes: One for each piece, in the order of their blocks.
        backoffs_us: What the pieces' own answers advise; a rejection carries the longest.

    Raises:
        ValueError: There are no pieces.
    """
    if not outcomes:
        raise ValueError("a command has at least one piece")
    backoff_us = max(backoffs_us, default=0)
    if all(outcome is PieceOutcome.SUCCEEDED for outcome in outcomes):
        return JoinedOutcome(JoinResult.SERVED)
    return _join_write(outcomes, backoff_us) if writes else _join_read(outcomes, backoff_us)


def _join_read(outcomes: Sequence[PieceOutcome], backoff_us: int) -> JoinedOutcome:
    if PieceOutcome.NODE_ERROR in outcomes:
        return JoinedOutcome(JoinResult.REPORTED, outcomes.index(PieceOutcome.NODE_ERROR))
    result = JoinResult.FAILED if PieceOutcome.UNKNOWN in outcomes else JoinResult.REJECTED
    return JoinedOutcome(result, backoff_us=backoff_us)


def _join_write(outcomes: Sequence[PieceOutcome], backoff_us: int) -> JoinedOutcome:
    if PieceOutcome.UNKNOWN in outcomes:
        return JoinedOutcome(JoinResult.FAILED)
    if PieceOutcome.SUCCEEDED not in outcomes and PieceOutcome.NODE_ERROR not in outcomes:
        return JoinedOutcome(JoinResult.REJECTED, backoff_us=backoff_us)
    if PieceOutcome.REJECTED in outcomes or PieceOutcome.NODE_ERROR not in outcomes:
        return JoinedOutcome(JoinResult.FAILED)
    return JoinedOutcome(JoinResult.REPORTED, outcomes.index(PieceOutcome.NODE_ERROR))

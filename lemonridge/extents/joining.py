"""Combines the outcomes of a command's pieces into the outcome of the command. The functions are pure.

The rules depend on which pieces may have been executed:

- A write fails if one piece may have been executed and another was not. Neither a rejection, which states
  that nothing was executed, nor an answer, which states that everything was, would be true. The exception is
  a write with a node error in which no piece was rejected and none has an unknown outcome: the node's error
  is the answer.
- A command is rejected if none of its pieces was executed.
- A read is rejected unless all of its blocks were read, because a read may safely be repeated. It is not
  rejected if a node reported an error, which is then the answer, or if a piece failed.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from enum import Enum


class PieceOutcome(Enum):
    """The outcome of one piece."""

    SUCCEEDED = "good"  # executed; the node reports success
    NODE_ERROR = "bad"  # executed; the node reports an error
    REJECTED = "refused"  # not executed, or a read, which may be repeated
    UNKNOWN = "failed"  # may have been executed
    NOT_SENT = "unsent"  # not started, because another piece ended the command


class JoinResult(Enum):
    """The result of a command. The values are parts of counter names."""

    SERVED = "served"  # every piece succeeded
    REPORTED = "reported"  # the answer is the first error that a node reported
    REJECTED = "refused"  # the client may repeat the command
    FAILED = "failed"  # the effect of the command is unknown or incomplete


@dataclass(frozen=True, slots=True)
class JoinedOutcome:
    """The outcome of a whole command.

    Attributes:
        result: The result of the command.
        piece_index: The index of the piece whose error is the answer; -1 unless the result is REPORTED.
        backoff_us: How long the client of a rejected command should wait before a retry; 0 if unspecified.
    """

    result: JoinResult
    piece_index: int = -1
    backoff_us: int = 0


def may_continue(writes: bool, outcomes: Sequence[PieceOutcome]) -> bool:
    """Returns whether the next piece of a command may start.

    A piece of a write starts only if all earlier pieces have succeeded, so that as few writes as possible are
    left incomplete. The pieces of a read all start at once.

    Args:
        writes: Whether the command writes.
        outcomes: The outcomes of the pieces so far.
    """
    return not writes or all(outcome is PieceOutcome.SUCCEEDED for outcome in outcomes)


def join(writes: bool, outcomes: Sequence[PieceOutcome], backoffs_us: Iterable[int] = ()) -> JoinedOutcome:
    """Returns the outcome of a command from the outcomes of its pieces.

    Args:
        writes: Whether the command writes.
        outcomes: The outcome of each piece, in the order of their blocks.
        backoffs_us: The backoffs in the answers of the pieces; a rejected command gets the longest.

    Raises:
        ValueError: `outcomes` is empty.
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

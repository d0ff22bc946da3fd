"""How the ends of a command's pieces make its one answer. Pure.

The rules, by what may have run: a write of which one piece may have run and another did not is failed, since
neither a refusal (nothing ran) nor an answer (all ran) would be true; a command none of whose pieces ran is
refused; a read is refused as long as it is not whole, since a read may run again.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from enum import Enum


class End(Enum):
    """How one piece ended."""

    GOOD = "good"  # ran, and its node said that all went well
    BAD = "bad"  # ran, and its node reports an error of its own
    REFUSED = "refused"  # never ran, or only reads and may run again
    FAILED = "failed"  # may have run
    UNSENT = "unsent"  # was not begun, since an earlier one ended the command


class JoinResult(Enum):
    """How the command ends."""

    SERVED = "served"
    REPORTED = "reported"  # the first bad piece's own report is the answer
    REFUSED = "refused"
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class Joined:
    whole: JoinResult
    piece: int = -1  # whose report is the answer
    backoff_us: int = 0


def goes_on(writes: bool, ends: Sequence[End]) -> bool:
    """Whether the next piece of a write may begin: only while every earlier one went well, so that as few
    writes as can be are left half done. Reads begin together.
    """
    return not writes or all(end is End.GOOD for end in ends)


def join(writes: bool, ends: Sequence[End], backoffs_us: Iterable[int] = ()) -> Joined:
    """One answer from the ends of all pieces, in the order of their blocks."""
    if not ends:
        raise ValueError("a command has at least one piece")
    backoff = max(backoffs_us, default=0)
    if all(end is End.GOOD for end in ends):
        return Joined(JoinResult.SERVED)
    if not writes:
        if End.BAD in ends:
            return Joined(JoinResult.REPORTED, ends.index(End.BAD))
        return Joined(JoinResult.FAILED if End.FAILED in ends else JoinResult.REFUSED, backoff_us=backoff)
    if End.FAILED in ends:
        return Joined(JoinResult.FAILED)
    ran = End.GOOD in ends or End.BAD in ends
    if not ran:
        return Joined(JoinResult.REFUSED, backoff_us=backoff)
    if End.REFUSED in ends:
        return Joined(JoinResult.FAILED)
    return Joined(JoinResult.REPORTED, ends.index(End.BAD)) if End.BAD in ends else Joined(JoinResult.FAILED)

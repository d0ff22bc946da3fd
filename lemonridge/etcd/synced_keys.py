"""What is known of the keys of one kind: a snapshot, brought up to date by a watch and by reads. Pure.

A watch that falls silent looks like one without changes, so linearizable reads run beside it. A read shows
all changes up to its revision: the keys that were set since, and by the number of keys whether any were
deleted. Whichever of the two shows a change first applies it, and the other one's copy is dropped.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from lemonridge.etcd.errors import MissedChangeError
from lemonridge.etcd.events import ChangesRead, Event


@dataclass(frozen=True, slots=True)
class ReadStart:
    """What was known when a read began.

    Attributes:
        revision: The newest known revision.
        undelivered_revision: The oldest change that only a read has shown; 0 if the watch has shown all.
    """

    revision: int
    undelivered_revision: int


@dataclass(frozen=True, slots=True)
class ReadResult:
    """What a read adds.

    Attributes:
        missed: The changes that were not known yet, in the order of their revisions.
        is_watch_silent: Whether a change of an earlier read has still not come by the watch.
    """

    missed: tuple[Event, ...]
    is_watch_silent: bool


class SyncedKeys:
    """The revision up to which the keys of one kind are known, and their names.

    Attributes:
        revision: All changes up to this revision are known; 0 if a snapshot is needed.
    """

    def __init__(self) -> None:
        self.revision = 0
        self._names: set[str] | None = None  # None if the kind is not confirmed by its names
        self._read_revision = 0  # the newest revision that a snapshot or a read has shown completely
        self._undelivered_revision = 0

    def load(self, revision: int, names: Iterable[str] | None) -> None:
        """Begins anew with a snapshot as of `revision`.

        Args:
            revision: The revision of the snapshot.
            names: All keys; None if `apply_read` will not be called, so that a large kind costs no memory.
        """
        self.revision = self._read_revision = revision
        self._names = set(names) if names is not None else None
        self._undelivered_revision = 0

    def forget(self) -> None:
        """Demands a new snapshot."""
        self.revision = 0

    def open_watch(self) -> int:
        """Returns the first revision of a new watch, which delivers nothing that is known already."""
        self._undelivered_revision = 0
        return self.revision + 1

    def apply_watch(self, events: Sequence[Event]) -> list[Event]:
        """Records the events of a watch, and returns those that were not known yet."""
        newest = max((event.revision for event in events), default=0)
        if newest >= self._undelivered_revision:
            self._undelivered_revision = 0
        # One revision may arrive in several messages, so only what a read has shown completely is dropped.
        new = [event for event in events if event.revision > self._read_revision]
        self._record(new)
        self.revision = max(self.revision, newest)
        return new

    def begin_read(self) -> ReadStart:
        """Returns what is known as a read begins."""
        return ReadStart(self.revision, self._undelivered_revision)

    def apply_read(self, start: ReadStart, read: ChangesRead) -> ReadResult:
        """Records a read of the changes after `start.revision`.

        Raises:
            MissedChangeError: Keys were deleted, or the store is older than what was known: a snapshot is
                needed.
        """
        if read.revision < start.revision:
            raise MissedChangeError(f"the store went from revision {start.revision} to {read.revision}")
        if read.revision < self.revision:
            return ReadResult((), False)  # the watch is ahead of this read
        missed = sorted(
            (event for event in read.events if event.revision > self.revision),
            key=lambda event: event.revision,
        )
        self._record(missed)
        known = len(self._names or ())
        if known != read.key_count:
            raise MissedChangeError(f"{known} keys known, {read.key_count} present")
        self.revision = self._read_revision = read.revision
        if missed and not self._undelivered_revision:
            self._undelivered_revision = missed[-1].revision
        is_silent = 0 < start.undelivered_revision == self._undelivered_revision
        return ReadResult(tuple(missed), is_silent)

    def _record(self, events: Iterable[Event]) -> None:
        if self._names is None:
            return
        for event in events:
            if event.value is None:
                self._names.discard(event.key)
            else:
                self._names.add(event.key)

"""What etcd tells of its keys: single changes, and the result of a read of changes."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Event:
    """A key that was set or deleted.

    Attributes:
        key: The key without the operators' prefix.
        value: The value; None if the key was deleted.
        revision: The revision of the change.
    """

    key: str
    value: bytes | None
    revision: int


@dataclass(frozen=True, slots=True)
class ChangesRead:
    """What a linearizable read shows of the keys of one kind.

    Attributes:
        revision: The revision of the store that the read shows.
        events: The keys that were set after the revision that was asked for and still exist.
        key_count: The number of all keys of the kind.
    """

    revision: int
    events: tuple[Event, ...]
    key_count: int

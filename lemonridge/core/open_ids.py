"""Tracks the ids of open requests in this process and in the other processes of the same broker.

Endpoints identify a request by its id, so to them two concurrent requests with the same id are one request
sent twice (PROTOCOL: a second copy if an earlier one is still out). While two processes of a broker run, each
rejects the ids that are open in the other. `net.process_handover` exchanges the ids that each process opens
and closes. This module performs no I/O.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from lemonridge.core.errors import DuplicateRequestError

REMOTE_IDS_MAX = 65536  # ids tracked per other process
# How long an id counts as open after the end of a write whose client has left, and after the end of the
# process that had it; PROTOCOL counts deadlines up to this.
RETAINED_ID_S = 3.0
RETAINED_IDS_MAX = 4096  # of this process


class OpenIds:
    """The open request ids by process.

    Attributes:
        on_change: Called with each id that this process opens (True) or closes (False).
    """

    def __init__(self) -> None:
        self._own: set[str] = set()
        self._remote: dict[object, set[str]] = {}
        self.on_change: Callable[[str, bool], None] | None = None

    def open(self, request_id: str) -> None:
        """Opens an id; an empty id means that the request has none and is not tracked.

        Raises:
            DuplicateRequestError: The id is open in this or another process.
        """
        if request_id in self._own or any(request_id in ids for ids in self._remote.values()):
            raise DuplicateRequestError
        if request_id:
            self._own.add(request_id)
            if self.on_change is not None:
                self.on_change(request_id, True)

    def close(self, request_id: str) -> None:
        """Closes an id of this process; has no effect if the id is not open."""
        if request_id in self._own:
            self._own.discard(request_id)
            if self.on_change is not None:
                self.on_change(request_id, False)

    def own(self) -> tuple[str, ...]:
        """Returns the ids that are open in this process."""
        return tuple(self._own)

    def update_remote(self, process: object, opened: Iterable[str], closed: Iterable[str]) -> None:
        """Records the ids that another process has opened and closed since its last message."""
        ids = self._remote.setdefault(process, set())
        ids.update(opened)
        ids.difference_update(closed)
        while len(ids) > REMOTE_IDS_MAX:
            ids.pop()

    def has_remote(self, process: object) -> bool:
        """Returns whether another process has ids open."""
        return bool(self._remote.get(process))

    def forget_remote(self, process: object) -> None:
        """Drops the ids of a process that has exited."""
        self._remote.pop(process, None)

"""Ids of open requests, in this process and in the other processes of the same broker. Pure.

Endpoints know a request by its id, so two requests of one id at once are one request sent twice (PROTOCOL: a
second copy if an earlier one is still out). While two processes of a broker run, each rejects the ids that
the other one has open. `net.process_handover` passes on what each opens and closes.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from lemonridge.core.errors import DuplicateRequestError

REMOTE_IDS_MAX = 65536  # ids that one other process is believed to have open


class OpenIds:
    """The ids that are open, by process.

    Attributes:
        on_change: Called with each id of this process that opens (True) or closes (False).
    """

    def __init__(self) -> None:
        self._own: set[str] = set()
        self._remote: dict[object, set[str]] = {}
        self.on_change: Callable[[str, bool], None] | None = None

    def open(self, request_id: str) -> None:
        """Opens an id; the empty one stands for none.

        Raises:
            DuplicateRequestError: The id is open, here or in another process.
        """
        if request_id in self._own or any(request_id in ids for ids in self._remote.values()):
            raise DuplicateRequestError
        if request_id:
            self._own.add(request_id)
            if self.on_change is not None:
                self.on_change(request_id, True)

    def close(self, request_id: str) -> None:
        """Closes an id of this process; without effect on one that is not open."""
        if request_id in self._own:
            self._own.discard(request_id)
            if self.on_change is not None:
                self.on_change(request_id, False)

    def own(self) -> tuple[str, ...]:
        """The ids that are open in this process."""
        return tuple(self._own)

    def update_remote(self, process: object, opened: Iterable[str], closed: Iterable[str]) -> None:
        """Notes what another process has opened and closed since its last message."""
        ids = self._remote.setdefault(process, set())
        ids.update(opened)
        ids.difference_update(closed)
        while len(ids) > REMOTE_IDS_MAX:
            ids.pop()

    def forget_remote(self, process: object) -> None:
        """Drops the ids of a process that is gone: its requests ended with its connections."""
        self._remote.pop(process, None)

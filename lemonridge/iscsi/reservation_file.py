"""Storage of persistent reservations on disk, for initiators that request it.

Implements preserving reservations over a power loss (SPC-4, 5.13.5) with a small JSON file that is replaced
as a whole: the new content is written to a second file, synced and renamed, and the directory is synced. If
a change cannot be saved, the command that requested it fails. A file that cannot be read is read again until
it can. Only a file with invalid content is renamed away, and the broker starts without reservations: the
initiator of a lost registration learns of it by a RESERVATION CONFLICT, whereas an invented registration
would be wrong.
"""

from __future__ import annotations

import asyncio
import logging
import os
from pathlib import Path

import orjson

from lemonridge.iscsi.reservations import Reservations

log = logging.getLogger(__name__)

READ_RETRY_INTERVAL_S = 0.1


class ReservationsNotSavedError(Exception):
    """A change was not saved, or it is uncertain whether it was."""


class ReservationFile:
    """The file at the path of the setting `iscsi.reservations`."""

    def __init__(self, path: str) -> None:
        """Creates an object for the file at `path`, without reading it."""
        self._path = Path(path)
        self._content: bytes | None = None  # as read at startup; None if there is no file
        self._may_differ = False  # whether the last save failed and may have changed the file

    async def read(self) -> None:
        """Reads the file, and retries until that succeeds.

        Without its content the broker cannot decide which commands conflict with a reservation.
        """
        error_logged = False
        while True:
            try:
                self._content = self._path.read_bytes()
                return
            except FileNotFoundError:
                return
            except OSError as error:
                if not error_logged:
                    log.error(
                        "cannot read the reservations file",
                        extra={"path": str(self._path), "error": str(error)},
                    )
                error_logged = True
            await asyncio.sleep(READ_RETRY_INTERVAL_S)

    def load(self) -> dict[int, Reservations]:
        """Returns the stored reservations by LUN; none if there was no file.

        A file with invalid content is renamed to the suffix `.spoilt`.
        """
        if self._content is None:
            return {}
        try:
            states = orjson.loads(self._content)
            return {int(lun): Reservations.from_state(state) for lun, state in states.items()}
        except (ValueError, AttributeError) as error:
            log.error("invalid reservations file", extra={"path": str(self._path), "error": str(error)})
            self._path.replace(self._path.with_suffix(".spoilt"))
            return {}

    @property
    def may_differ(self) -> bool:
        """Whether the file may differ from the last reservations that were saved without an error."""
        return self._may_differ

    def save(self, reservations: dict[int, Reservations]) -> None:
        """Replaces the content of the file; on return it is on disk.

        Args:
            reservations: All reservations to store, by LUN.

        Raises:
            ReservationsNotSavedError: The file cannot be replaced, or it is uncertain whether it was.
        """
        content = orjson.dumps({str(lun): entry.state() for lun, entry in reservations.items()})
        new_path = self._path.with_suffix(".new")
        self._may_differ = True
        try:
            with open(new_path, "wb") as file:
                file.write(content)
                file.flush()
                os.fsync(file.fileno())
            new_path.replace(self._path)
            _sync_directory(self._path.parent)
        except OSError as error:
            log.error(
                "cannot save the reservations file", extra={"path": str(self._path), "error": str(error)}
            )
            raise ReservationsNotSavedError(str(error)) from None
        self._may_differ = False


def _sync_directory(directory: Path) -> None:
    """Syncs a directory after a rename: fsync(2) of a file does not cover its directory entry."""
    descriptor = os.open(directory, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)

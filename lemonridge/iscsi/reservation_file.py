"""Persistent reservations on disk, for initiators that ask for it (SPC-4, 5.13.5: preserving them over a
power loss).

A small JSON file, replaced whole: written beside, synced, renamed, and its folder synced. What cannot be kept
is not said to be: the command that asks for it fails. A file that cannot be read at a moment is read again
until it can; only one whose text makes no sense is put aside, and the broker begins without: a lost
registration is told to its initiator as a conflict, an invented one would be wrong.
"""

from __future__ import annotations

import asyncio
import logging
import os
from pathlib import Path

import orjson

from lemonridge.iscsi.reservations import Reservations

log = logging.getLogger(__name__)

READ_AGAIN_S = 0.1  # between two tries to read the file at a start


class ReservationsNotSavedError(Exception):
    """A change is not on disk, or not surely."""


class ReservationFile:
    """Where `iscsi.reservations` says."""

    def __init__(self, path: str) -> None:
        self._path = Path(path)
        self._text: bytes | None = None  # as read at the start; None: there is no file
        self._unsure = False  # the last save failed: the file may hold what was not said to be kept

    async def read(self) -> None:
        """Read the file, however often that fails: without it nobody can be told what is reserved."""
        failed = False
        while True:
            try:
                self._text = self._path.read_bytes()
                return
            except FileNotFoundError:
                return
            except OSError as error:
                if not failed:
                    log.error("reservations not read", extra={"path": str(self._path), "error": str(error)})
                failed = True
            await asyncio.sleep(READ_AGAIN_S)

    def load(self) -> dict[int, Reservations]:
        """What was kept when the file was read, by LUN; nothing if there was none."""
        if self._text is None:
            return {}
        try:
            told = orjson.loads(self._text)
            return {int(lun): Reservations.from_state(state) for lun, state in told.items()}
        except (ValueError, AttributeError) as error:
            log.error("reservations spoilt", extra={"path": str(self._path), "error": str(error)})
            self._path.replace(self._path.with_suffix(".spoilt"))
            return {}

    @property
    def may_differ(self) -> bool:
        """Whether the file may hold something else than what was last said to be kept."""
        return self._unsure

    def save(self, held: dict[int, Reservations]) -> None:
        """Write `held` and nothing else to the file; raises ReservationsNotSavedError if that fails."""
        text = orjson.dumps({str(lun): one.state() for lun, one in held.items()})
        made = self._path.with_suffix(".new")
        self._unsure = True
        try:
            with open(made, "wb") as file:
                file.write(text)
                file.flush()
                os.fsync(file.fileno())
            made.replace(self._path)
            _sync_folder(self._path.parent)
        except OSError as error:
            log.error("reservations not kept", extra={"path": str(self._path), "error": str(error)})
            raise ReservationsNotSavedError(str(error)) from None
        self._unsure = False


def _sync_folder(folder: Path) -> None:
    """Bring a rename to disk (fsync(2): a file's sync does not cover its entry in the folder)."""
    descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)

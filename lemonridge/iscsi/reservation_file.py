"""Persistent reservations on disk, for initiators that ask for it (SPC-4, 5.13.5: preserving them over a
power loss).

A small JSON file, replaced whole: written beside, synced, renamed. A file that cannot be read is put aside,
and the broker begins without: a lost registration is told to its initiator as a conflict, an invented one
would be wrong.
"""

from __future__ import annotations

import logging
import os
from pathlib import Path

import orjson

from lemonridge.iscsi.reservations import Reservations

log = logging.getLogger(__name__)


class ReservationFile:
    """Where `iscsi.reservations` says."""

    def __init__(self, path: str) -> None:
        self._path = Path(path)

    def load(self) -> dict[int, Reservations]:
        """What was kept, by LUN; nothing if there is no file."""
        try:
            told = orjson.loads(self._path.read_bytes())
            return {int(lun): Reservations.restored(state) for lun, state in told.items()}
        except FileNotFoundError:
            return {}
        except (OSError, ValueError, AttributeError) as error:
            log.error("reservations not read", extra={"path": str(self._path), "error": str(error)})
            if self._path.exists():
                self._path.replace(self._path.with_suffix(".spoilt"))
            return {}

    def save(self, held: dict[int, Reservations]) -> None:
        """Keep these and no others; what cannot be written is logged, and the old file stays."""
        text = orjson.dumps({str(lun): one.state() for lun, one in held.items()})
        made = self._path.with_suffix(".new")
        try:
            with open(made, "wb") as file:
                file.write(text)
                file.flush()
                os.fsync(file.fileno())
            made.replace(self._path)
        except OSError as error:
            log.error("reservations not kept", extra={"path": str(self._path), "error": str(error)})

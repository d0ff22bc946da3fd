"""The vote store: one small file with this broker's durable record, written anew at each vote.

The file holds a header line, the CRC32C and the length of the record (little-endian, 4 bytes each), and the
record. It is written beside itself, synced and renamed into place (POSIX rename), so that at any moment the
complete file of one version is there. A damaged file counts as none: its broker has forgotten its votes, and
must not vote as if it remembered.
"""

from __future__ import annotations

import asyncio
import fcntl
import logging
import os
import struct
from pathlib import Path
from typing import TextIO

import crc32c
import msgspec

from lemonridge.config.errors import ConfigError
from lemonridge.coordination.errors import VoteStoreError
from lemonridge.rollout.vote_log import StoredVote

log = logging.getLogger(__name__)

MAGIC = b"lemonridge votes 1\n"
_FRAME = struct.Struct("<II")  # CRC32C of the record, and its length in bytes
READ_RETRY_S = 0.1  # between two attempts to read a store


class VoteStore:
    """The vote store at a path. Its lock file is held until the process ends."""

    def __init__(self, path: str) -> None:
        self.path = Path(path)
        self._lock_file: TextIO | None = None

    def lock(self) -> None:
        """Takes the store for this process, until it ends.

        Raises:
            VoteStoreError: Another process has it; two would overwrite each other's votes.
        """
        try:
            self._lock_file = open(self.path.with_name(self.path.name + ".lock"), "w")  # noqa: SIM115
            fcntl.flock(self._lock_file, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            raise VoteStoreError(f"{self.path} cannot be held: {error.strerror}") from None

    def read(self) -> bytes | None:
        """The record that was written last; None where there is no file.

        Raises:
            VoteStoreError: The file is damaged.
            OSError: It cannot be read at this moment, while it may be undamaged.
        """
        try:
            data = self.path.read_bytes()
        except FileNotFoundError:
            return None
        record = data[len(MAGIC) + _FRAME.size :]
        if not data.startswith(MAGIC) or len(data) < len(MAGIC) + _FRAME.size:
            raise VoteStoreError(f"{self.path} is no store of votes")
        if _FRAME.unpack_from(data, len(MAGIC)) != (crc32c.crc32c(record), len(record)):
            raise VoteStoreError(f"{self.path} is damaged")
        return record

    def write(self, record: bytes) -> None:
        """Writes a record; it is on disk once this returns. OSError where it cannot be written."""
        part = self.path.with_name(self.path.name + ".part")
        with open(part, "wb") as file:
            file.write(MAGIC + _FRAME.pack(crc32c.crc32c(record), len(record)) + record)
            file.flush()
            os.fsync(file.fileno())
        os.replace(part, self.path)
        folder = os.open(self.path.parent, os.O_RDONLY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)

    def create(self) -> None:
        """Creates the first store of a new fleet's broker, which may vote at once.

        Done once in the life of a broker: one that lost its store starts without, and is admitted again by
        the others.

        Raises:
            VoteStoreError: There is one.
        """
        if self.path.exists():
            raise VoteStoreError(f"{self.path} is there already")
        self.write(msgspec.msgpack.encode(StoredVote(0, b"")))


async def open_vote_store(path: str) -> tuple[VoteStore, bytes | None]:
    """Locks the store of this broker and reads its record; None where it has no vote.

    A read that fails is repeated until it does not: the votes may be undamaged, and a broker that forgot them
    would vote as if it remembered.

    Raises:
        ConfigError: Another process holds the store.
    """
    store = VoteStore(path)
    try:
        store.lock()
    except VoteStoreError as error:
        raise ConfigError(str(error)) from None
    record = await _read_until_it_can_be(store)
    if record is None:
        log.warning("no vote store, this broker does not vote until it is admitted", extra={"path": path})
    return store, record


async def _read_until_it_can_be(store: VoteStore) -> bytes | None:
    has_failed = False
    while True:
        try:
            return store.read()
        except VoteStoreError as error:
            log.error("vote store damaged, its votes are lost", extra={"error": str(error)})
            return None
        except OSError as error:
            if not has_failed:
                extra = {"path": str(store.path), "error": str(error)}
                log.error("vote store not read, trying again", extra=extra)
            has_failed = True
        await asyncio.sleep(READ_RETRY_S)

"""The vote store: a small file with this broker's durable record, which each vote replaces.

The file holds a header line, the CRC32C and the length of the record (little-endian, 4 bytes each), and the
record. A new version is written to a temporary file, synced and renamed into place (POSIX rename), so that
the complete file of one version exists at any moment. A damaged file counts as missing: its broker has lost
its votes, and must not vote as if it still had them.
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
_RECORD_HEADER = struct.Struct("<II")  # CRC32C of the record, and its length in bytes
READ_RETRY_S = 0.1  # pause between two attempts to read the store


class VoteStore:
    """The vote store at a path. Its lock is held until the process ends."""

    def __init__(self, path: str) -> None:
        self.path = Path(path)
        self._lock_file: TextIO | None = None

    def lock(self) -> None:
        """Locks the store for this process until it ends.

        Raises:
            VoteStoreError: Another process holds the lock; two processes would overwrite each other's votes.
        """
        try:
            self._lock_file = open(self.path.with_name(self.path.name + ".lock"), "w")  # noqa: SIM115
            fcntl.flock(self._lock_file, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            raise VoteStoreError(f"{self.path} cannot be locked: {error.strerror}") from None

    def read(self) -> bytes | None:
        """Returns the record that was written last, or None if there is no file.

        Raises:
            VoteStoreError: The file is damaged.
            OSError: The file cannot be read now, but may be undamaged.
        """
        try:
            data = self.path.read_bytes()
        except FileNotFoundError:
            return None
        record = data[len(MAGIC) + _RECORD_HEADER.size :]
        if not data.startswith(MAGIC) or len(data) < len(MAGIC) + _RECORD_HEADER.size:
            raise VoteStoreError(f"{self.path} is no store of votes")
        if _RECORD_HEADER.unpack_from(data, len(MAGIC)) != (crc32c.crc32c(record), len(record)):
            raise VoteStoreError(f"{self.path} is damaged")
        return record

    def write(self, record: bytes) -> None:
        """Writes a record, which is on disk when this returns.

        Raises:
            OSError: The record cannot be written.
        """
        temporary_path = self.path.with_name(self.path.name + ".part")
        with open(temporary_path, "wb") as file:
            file.write(MAGIC + _RECORD_HEADER.pack(crc32c.crc32c(record), len(record)) + record)
            file.flush()
            os.fsync(file.fileno())
        os.replace(temporary_path, self.path)
        directory_fd = os.open(self.path.parent, os.O_RDONLY)
        try:
            os.fsync(directory_fd)
        finally:
            os.close(directory_fd)

    def create(self) -> None:
        """Creates the first store of a broker in a new fleet, which may vote at once.

        A broker creates its first store only once. A broker that has lost its store starts without one, and
        the other brokers admit it again.

        Raises:
            VoteStoreError: The store exists already.
        """
        if self.path.exists():
            raise VoteStoreError(f"{self.path} already exists")
        self.write(msgspec.msgpack.encode(StoredVote(0, b"")))


async def open_vote_store(path: str) -> tuple[VoteStore, bytes | None]:
    """Locks the store of this broker and reads its record, which is None if the store is missing or damaged.

    A failed read is repeated until it succeeds: the votes may be undamaged, and a broker that ignored them
    could vote against them.

    Raises:
        ConfigError: Another process holds the lock of the store.
    """
    store = VoteStore(path)
    try:
        store.lock()
    except VoteStoreError as error:
        raise ConfigError(str(error)) from None
    record = await _read_with_retries(store)
    if record is None:
        log.warning("no vote store, this broker does not vote until it is admitted", extra={"path": path})
    return store, record


async def _read_with_retries(store: VoteStore) -> bytes | None:
    """Reads the record, and repeats a failed read; None if the store is missing or damaged."""
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
                log.error("vote store could not be read, retrying", extra=extra)
            has_failed = True
        await asyncio.sleep(READ_RETRY_S)

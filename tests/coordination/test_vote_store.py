"""Tests of the vote store on disk: damaged files are rejected, and failed reads are repeated."""

from __future__ import annotations

import errno
import tempfile
import unittest
from collections.abc import Awaitable, Callable
from pathlib import Path
from unittest.mock import patch

from lemonridge.config.errors import ConfigError
from lemonridge.coordination.errors import VoteStoreError
from lemonridge.coordination.vote_store import VoteStore, open_vote_store
from lemonridge.lab.rig import FleetHarness, SiteSettings

SITE = SiteSettings(lease_ms=1000.0, short_deadline_broker=2)
Scene = Callable[[FleetHarness], Awaitable[None]]


class DamagedStores(unittest.TestCase):
    def test_a_store_truncated_or_changed_at_any_byte_is_rejected(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            store = VoteStore(f"{folder}/votes")
            self.assertIsNone(store.read())
            store.create()
            with self.assertRaises(VoteStoreError):
                store.create()
            store.lock()
            with self.assertRaises(VoteStoreError):
                VoteStore(f"{folder}/votes").lock()  # the store is locked already
            store.write(b"a vote" * 20)
            valid_file = store.path.read_bytes()
            self.assertEqual(store.read(), b"a vote" * 20)
            for offset in range(len(valid_file)):
                for damaged in (
                    valid_file[:offset],
                    valid_file[:offset] + bytes((valid_file[offset] ^ 0x41,)) + valid_file[offset + 1 :],
                ):
                    store.path.write_bytes(damaged)
                    with self.assertRaises(VoteStoreError):
                        store.read()
            (Path(folder) / "votes.part").write_bytes(valid_file[:7])  # an interrupted write
            store.path.write_bytes(valid_file)
            self.assertEqual(store.read(), b"a vote" * 20)


class FailedReads(unittest.IsolatedAsyncioTestCase):
    """A temporary read error neither loses a vote nor aborts the start."""

    async def test_failed_read_of_the_store_is_repeated_until_it_succeeds(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            VoteStore(f"{folder}/votes").write(b"a vote")
            real_read_bytes, failures = (
                Path.read_bytes,
                [OSError(errno.EIO, "I/O error"), OSError(errno.ENFILE, "full")],
            )

            def read_with_failures(path: Path) -> bytes:
                if failures:
                    raise failures.pop()
                return real_read_bytes(path)

            with (
                patch.object(Path, "read_bytes", read_with_failures),
                self.assertLogs(level="ERROR") as logged,
            ):
                store, record = await open_vote_store(f"{folder}/votes")
            self.assertEqual((record, failures, len(logged.output)), (b"a vote", [], 1))
            with self.assertRaises(ConfigError):  # the first store holds the lock
                await open_vote_store(f"{folder}/votes")
            self.assertEqual(store.read(), b"a vote")

"""The vote store on disk: what is damaged is not believed, what cannot be read is read again."""

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
from lemonridge.lab.rig import Rig, Site

SITE = Site(lease_ms=1000.0, short=2)
Scene = Callable[[Rig], Awaitable[None]]


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
                VoteStore(f"{folder}/votes").lock()  # one process at a time
            store.write(b"a vote" * 20)
            whole = store.path.read_bytes()
            self.assertEqual(store.read(), b"a vote" * 20)
            for at in range(len(whole)):
                for damaged in (whole[:at], whole[:at] + bytes((whole[at] ^ 0x41,)) + whole[at + 1 :]):
                    store.path.write_bytes(damaged)
                    with self.assertRaises(VoteStoreError):
                        store.read()
            (Path(folder) / "votes.part").write_bytes(whole[:7])  # a write that was cut
            store.path.write_bytes(whole)
            self.assertEqual(store.read(), b"a vote" * 20)


class FailedReads(unittest.IsolatedAsyncioTestCase):
    """A read that fails for a moment loses no vote, and ends no start."""

    async def test_the_store_is_read_again_until_it_can_be(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            VoteStore(f"{folder}/votes").write(b"a vote")
            plain, failures = (
                Path.read_bytes,
                [OSError(errno.EIO, "I/O error"), OSError(errno.ENFILE, "full")],
            )

            def failing(path: Path) -> bytes:
                if failures:
                    raise failures.pop()
                return plain(path)

            with patch.object(Path, "read_bytes", failing), self.assertLogs(level="ERROR") as logged:
                store, kept = await open_vote_store(f"{folder}/votes")
            self.assertEqual((kept, failures, len(logged.output)), (b"a vote", [], 1))
            with self.assertRaises(ConfigError):  # it is held
                await open_vote_store(f"{folder}/votes")
            self.assertEqual(store.read(), b"a vote")

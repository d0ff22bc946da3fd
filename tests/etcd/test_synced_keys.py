"""What is known of the keys of one kind, by scripted watches and reads."""

from __future__ import annotations

import unittest

from lemonridge.etcd.errors import MissedChangeError
from lemonridge.etcd.events import ChangesRead, Event
from lemonridge.etcd.synced_keys import SyncedKeys


def put(name: str, revision: int) -> Event:
    return Event(name, b"{}", revision)


def deletion(name: str, revision: int) -> Event:
    return Event(name, None, revision)


class SyncedKeysTest(unittest.TestCase):
    def setUp(self) -> None:
        self.keys = SyncedKeys()
        self.keys.load(10, ["a", "b"])
        self.assertEqual(self.keys.open_watch(), 11)

    def test_read_shows_what_the_watch_has_not_delivered_and_its_copy_is_dropped(self) -> None:
        result = self.keys.apply_read(
            self.keys.begin_read(), ChangesRead(14, (put("c", 13), put("a", 12)), 3)
        )
        self.assertEqual(result.missed, (put("a", 12), put("c", 13)))
        self.assertFalse(result.is_watch_silent)
        self.assertEqual(self.keys.apply_watch([put("a", 12), put("c", 13), put("c", 15)]), [put("c", 15)])
        self.assertEqual(self.keys.revision, 15)

    def test_read_without_changes_advances_the_revision_so_that_a_watch_outlives_a_compaction(self) -> None:
        result = self.keys.apply_read(self.keys.begin_read(), ChangesRead(5000, (), 2))
        self.assertEqual((result.missed, self.keys.revision, self.keys.open_watch()), ((), 5000, 5001))

    def test_deleted_key_shows_by_the_number_of_keys(self) -> None:
        with self.assertRaisesRegex(MissedChangeError, "2 keys known, 1 present"):
            self.keys.apply_read(self.keys.begin_read(), ChangesRead(11, (), 1))
        with self.assertRaisesRegex(MissedChangeError, "3 keys known, 2 present"):
            self.keys.apply_read(self.keys.begin_read(), ChangesRead(12, (put("c", 12),), 2))

    def test_deletion_by_the_watch_is_no_missed_change(self) -> None:
        self.assertEqual(self.keys.apply_watch([deletion("a", 11)]), [deletion("a", 11)])
        self.assertEqual(self.keys.apply_read(self.keys.begin_read(), ChangesRead(11, (), 1)).missed, ())

    def test_watch_that_is_ahead_of_a_read_wins(self) -> None:
        start = self.keys.begin_read()
        self.keys.apply_watch([put("c", 11), put("d", 12)])
        result = self.keys.apply_read(start, ChangesRead(11, (put("c", 11),), 3))
        self.assertEqual((result.missed, self.keys.revision), ((), 12))

    def test_events_of_one_revision_may_come_in_several_messages(self) -> None:
        self.assertEqual(self.keys.apply_watch([put("c", 11)]), [put("c", 11)])
        self.assertEqual(self.keys.apply_watch([put("d", 11)]), [put("d", 11)])

    def test_store_that_is_older_than_what_was_known_needs_a_snapshot(self) -> None:
        """A store that was restored from a copy begins at an earlier revision, and a watch would wait."""
        with self.assertRaisesRegex(MissedChangeError, "from revision 10 to 9"):
            self.keys.apply_read(self.keys.begin_read(), ChangesRead(9, (), 2))

    def test_watch_is_silent_if_a_change_has_not_come_by_the_end_of_the_next_read(self) -> None:
        first = self.keys.begin_read()
        self.assertFalse(self.keys.apply_read(first, ChangesRead(11, (put("a", 11),), 2)).is_watch_silent)
        second = self.keys.begin_read()
        self.assertTrue(self.keys.apply_read(second, ChangesRead(12, (put("a", 12),), 2)).is_watch_silent)

    def test_watch_that_delivers_the_change_meanwhile_is_not_silent(self) -> None:
        self.keys.apply_read(self.keys.begin_read(), ChangesRead(11, (put("a", 11),), 2))
        second = self.keys.begin_read()
        self.keys.apply_watch([put("a", 11)])
        self.assertFalse(self.keys.apply_read(second, ChangesRead(11, (), 2)).is_watch_silent)

    def test_new_watch_owes_nothing_that_a_read_has_shown(self) -> None:
        self.keys.apply_read(self.keys.begin_read(), ChangesRead(11, (put("a", 11),), 2))
        second = self.keys.begin_read()
        self.assertEqual(self.keys.open_watch(), 12)
        self.assertFalse(self.keys.apply_read(second, ChangesRead(11, (), 2)).is_watch_silent)

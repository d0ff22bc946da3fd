"""Persistent reservations on disk, byte by byte."""

from __future__ import annotations

import asyncio
import tempfile
import unittest
from pathlib import Path

from lemonridge.iscsi.reservation_file import ReservationFile
from lemonridge.iscsi.reservations import Reservations, ReservationType

FIRST, SECOND = "iqn.2026-12.org.a:1,i,0x400001370000", "iqn.b,i,0x1"
KEYS = {FIRST: 0x1122334455667788, SECOND: 2}


def shared() -> Reservations:
    """Two registrations, one of which holds the reservation for the registrants."""
    return Reservations(
        generation=4, keys=dict(KEYS), holder=SECOND, type=ReservationType.WRITE_REGISTRANTS, persistent=True
    )


def registered() -> Reservations:
    """One registration, no reservation."""
    return Reservations(keys={"n": 1}, persistent=True)


# By LUN; the key of each nexus as a number, in the order of registration; the type as in table 57 of SPC-4.
# The keys are literals of the program (`state`, `from_state`), not derived from fields; the number of a type
# is the value of its member. The generation and `persistent` are not kept.
TEXT = (
    b'{"0":{"keys":{"iqn.2026-12.org.a:1,i,0x400001370000":1234605616436508552,"iqn.b,i,0x1":2},'
    b'"holder":"iqn.b,i,0x1","type":5},'
    b'"7":{"keys":{"n":1},"holder":"","type":0}}'
)


class TheFile(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / "reservations.json"

    def load(self, text: bytes) -> dict[int, Reservations]:
        self.path.write_bytes(text)
        file = ReservationFile(str(self.path))
        asyncio.run(file.read())
        return file.load()

    def test_it_is_written_so(self) -> None:
        ReservationFile(str(self.path)).save({0: shared(), 7: registered()})
        self.assertEqual(self.path.read_bytes(), TEXT)
        self.assertEqual([one.name for one in self.path.parent.iterdir()], ["reservations.json"])

    def test_nothing_held_is_written_so(self) -> None:
        ReservationFile(str(self.path)).save({})
        self.assertEqual(self.path.read_bytes(), b"{}")

    def test_a_file_of_before_is_read(self) -> None:
        held = self.load(TEXT)

        self.assertEqual(list(held), [0, 7])
        self.assertEqual(list(held[0].keys.items()), list(KEYS.items()))
        self.assertEqual((held[0].holder, held[0].type), (SECOND, ReservationType.WRITE_REGISTRANTS))
        self.assertEqual((held[0].generation, held[0].persistent), (0, True))
        self.assertEqual((held[7].keys, held[7].holder, held[7].type), ({"n": 1}, "", None))

    def test_every_type_has_its_number(self) -> None:
        for kind, number in (
            (ReservationType.WRITE_EXCLUSIVE, 1),
            (ReservationType.EXCLUSIVE_ACCESS, 3),
            (ReservationType.WRITE_REGISTRANTS, 5),
            (ReservationType.ACCESS_REGISTRANTS, 6),
            (ReservationType.WRITE_ALL, 7),
            (ReservationType.ACCESS_ALL, 8),
        ):
            text = b'{"0":{"keys":{"n":1},"holder":"n","type":%d}}' % number
            with self.subTest(number=number):
                self.assertIs(self.load(text)[0].type, kind)
                ReservationFile(str(self.path)).save({0: Reservations(0, {"n": 1}, "n", kind)})
                self.assertEqual(self.path.read_bytes(), text)

    def test_text_that_makes_no_sense_is_put_aside(self) -> None:
        for text in (
            b'{"0":{"registrations":{},"holder":"","type":0}}',
            b'{"0":{"keys":{},"holder":"","type":2}}',
            b'{"0":{"keys":{},"holder":"n","type":1}}',
            b"[]",
        ):
            with self.subTest(text=text), self.assertLogs(level="ERROR"):
                self.assertEqual(self.load(text), {})
            self.assertEqual(self.path.with_suffix(".spoilt").read_bytes(), text)
            self.assertFalse(self.path.exists())

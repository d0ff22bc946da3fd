"""Pins the file of persistent reservations byte for byte."""

from __future__ import annotations

import asyncio
import tempfile
import unittest
from pathlib import Path

from lemonridge.iscsi.reservation_file import ReservationFile
from lemonridge.iscsi.reservations import Reservations, ReservationType

FIRST_NEXUS, SECOND_NEXUS = "iqn.2026-12.org.a:1,i,0x400001370000", "iqn.b,i,0x1"
KEYS = {FIRST_NEXUS: 0x1122334455667788, SECOND_NEXUS: 2}


def reservation_with_two_registrations() -> Reservations:
    """Returns two registrations; the second one holds a write exclusive, registrants only reservation."""
    return Reservations(
        generation=4,
        keys=dict(KEYS),
        holder=SECOND_NEXUS,
        type=ReservationType.WRITE_REGISTRANTS,
        persistent=True,
    )


def registration_alone() -> Reservations:
    """Returns one registration without a reservation."""
    return Reservations(keys={"n": 1}, persistent=True)


# An object for each LUN. `keys` has the reservation key of each nexus as a number, in the order of
# registration; `type` is the number of the type in table 57 of SPC-4, which is the value of its enum member.
# The JSON keys are literals in `iscsi/reservations.py`, not names of fields. The generation and `lasting` are
# not stored.
FILE_CONTENT = (
    b'{"0":{"keys":{"iqn.2026-12.org.a:1,i,0x400001370000":1234605616436508552,"iqn.b,i,0x1":2},'
    b'"holder":"iqn.b,i,0x1","type":5},'
    b'"7":{"keys":{"n":1},"holder":"","type":0}}'
)


class ReservationFileTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / "reservations.json"

    def load(self, text: bytes) -> dict[int, Reservations]:
        """Writes the file with this text, and returns the reservations by LUN that are loaded from it."""
        self.path.write_bytes(text)
        file = ReservationFile(str(self.path))
        asyncio.run(file.read())
        return file.load()

    def test_reservations_are_written_as_recorded(self) -> None:
        ReservationFile(str(self.path)).save(
            {0: reservation_with_two_registrations(), 7: registration_alone()}
        )
        self.assertEqual(self.path.read_bytes(), FILE_CONTENT)
        self.assertEqual([file.name for file in self.path.parent.iterdir()], ["reservations.json"])

    def test_no_reservations_are_written_as_empty_object(self) -> None:
        ReservationFile(str(self.path)).save({})
        self.assertEqual(self.path.read_bytes(), b"{}")

    def test_recorded_file_is_loaded(self) -> None:
        reservations_by_lun = self.load(FILE_CONTENT)

        self.assertEqual(list(reservations_by_lun), [0, 7])
        self.assertEqual(list(reservations_by_lun[0].keys.items()), list(KEYS.items()))
        self.assertEqual(
            (reservations_by_lun[0].holder, reservations_by_lun[0].type),
            (SECOND_NEXUS, ReservationType.WRITE_REGISTRANTS),
        )
        self.assertEqual((reservations_by_lun[0].generation, reservations_by_lun[0].persistent), (0, True))
        self.assertEqual(
            (reservations_by_lun[7].keys, reservations_by_lun[7].holder, reservations_by_lun[7].type),
            ({"n": 1}, "", None),
        )

    def test_numbers_of_reservation_types_are_unchanged(self) -> None:
        for reservation_type, number in (
            (ReservationType.WRITE_EXCLUSIVE, 1),
            (ReservationType.EXCLUSIVE_ACCESS, 3),
            (ReservationType.WRITE_REGISTRANTS, 5),
            (ReservationType.ACCESS_REGISTRANTS, 6),
            (ReservationType.WRITE_ALL, 7),
            (ReservationType.ACCESS_ALL, 8),
        ):
            text = b'{"0":{"keys":{"n":1},"holder":"n","type":%d}}' % number
            with self.subTest(number=number):
                self.assertIs(self.load(text)[0].type, reservation_type)
                ReservationFile(str(self.path)).save({0: Reservations(0, {"n": 1}, "n", reservation_type)})
                self.assertEqual(self.path.read_bytes(), text)

    def test_malformed_file_is_renamed_and_loaded_as_empty(self) -> None:
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

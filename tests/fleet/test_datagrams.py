"""The datagram: written, read, and rejected whole."""

from __future__ import annotations

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st
from virtual_fleet import START_US

from lemonridge.fleet.datagrams import (
    DATAGRAM_MAX_BYTES,
    ITEM_TYPES,
    DatagramHeader,
    HealthReport,
    LoanRequest,
    MembershipUpdate,
    MemberState,
    Ping,
    decode,
    encode,
)
from lemonridge.fleet.errors import DatagramError, DatagramFault
from lemonridge.net.peer_transport import KeyedDatagramSigner

HEAD = DatagramHeader(1, MemberState.UP, START_US // 1000, 3, 7, 99)


class TheDatagram(unittest.TestCase):
    def test_every_item_is_read_as_it_was_written(self) -> None:
        for item_type in ITEM_TYPES:
            fields = item_type.LAYOUT.unpack(
                bytes(item_type.LAYOUT.size)
            )  # for the types and lengths of each
            item = item_type(
                *(
                    b"\x07" * len(one) if isinstance(one, bytes) else number
                    for number, one in enumerate(fields, 1)
                )
            )
            self.assertEqual(decode(encode(HEAD, [item], 5), 5), decode(encode(HEAD, [item], 5), 5))
            self.assertEqual(decode(encode(HEAD, [item], 5), 5).items, (item,))

    def test_a_datagram_cut_or_flipped_anywhere_is_rejected(self) -> None:
        for signer in (None, KeyedDatagramSigner(b"a secret of the member")):
            items = [Ping(3, 1), LoanRequest(1, 2**63, 3, 77, 500_000, 1500), MembershipUpdate(2, 5, 1, 4)]
            data = encode(HEAD, items, 12, signer)
            for place in range(len(data)):
                flipped = bytearray(data)
                flipped[place] ^= 1 << place % 8
                for bad in (data[:place], bytes(flipped)):
                    with self.assertRaises(DatagramError):
                        decode(bad, 12, signer)

    def test_a_wrong_secret_another_member_list_and_a_short_one_have_their_faults(self) -> None:
        data = encode(HEAD, [Ping(3, 1)], 12, KeyedDatagramSigner(b"one secret, long enough"))
        for received, signer, fingerprint, fault in (
            (data, KeyedDatagramSigner(b"another secret, as long"), 12, DatagramFault.FORGED),
            (encode(HEAD, [], 12), None, 13, DatagramFault.ROSTER),
            (encode(HEAD, [], 12)[:10], None, 12, DatagramFault.SHORT),
        ):
            with self.assertRaises(DatagramError) as caught:
                decode(received, fingerprint, signer)
            self.assertIs(caught.exception.fault, fault)

    @settings(max_examples=300, deadline=None, derandomize=True)
    @given(st.binary(max_size=300))
    def test_random_bytes_are_rejected(self, data: bytes) -> None:
        with self.assertRaises(DatagramError):
            decode(data, 12)

    def test_fifteen_health_reports_fit_into_a_datagram(self) -> None:
        items = [HealthReport(n, 1, 1, 0) for n in range(15)]
        self.assertLessEqual(len(encode(HEAD, items, 1)), DATAGRAM_MAX_BYTES)

"""Encoding and decoding of datagrams, and rejection of invalid ones."""

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

HEADER = DatagramHeader(1, MemberState.UP, START_US // 1000, 3, 7, 99)


class DatagramCodec(unittest.TestCase):
    def test_every_item_decodes_to_the_encoded_item(self) -> None:
        for item_type in ITEM_TYPES:
            # A zeroed item shows the type and length of each field.
            fields = item_type.LAYOUT.unpack(bytes(item_type.LAYOUT.size))
            item = item_type(
                *(
                    b"\x07" * len(field) if isinstance(field, bytes) else number
                    for number, field in enumerate(fields, 1)
                )
            )
            self.assertEqual(decode(encode(HEADER, [item], 5), 5), decode(encode(HEADER, [item], 5), 5))
            self.assertEqual(decode(encode(HEADER, [item], 5), 5).items, (item,))

    def test_datagram_truncated_or_with_a_flipped_bit_anywhere_is_rejected(self) -> None:
        for signer in (None, KeyedDatagramSigner(b"a secret of the member")):
            items = [Ping(3, 1), LoanRequest(1, 2**63, 3, 77, 500_000, 1500), MembershipUpdate(2, 5, 1, 4)]
            data = encode(HEADER, items, 12, signer)
            for offset in range(len(data)):
                flipped = bytearray(data)
                flipped[offset] ^= 1 << offset % 8
                for corrupted in (data[:offset], bytes(flipped)):
                    with self.assertRaises(DatagramError):
                        decode(corrupted, 12, signer)

    def test_wrong_secret_other_member_list_and_short_datagram_raise_their_faults(self) -> None:
        data = encode(HEADER, [Ping(3, 1)], 12, KeyedDatagramSigner(b"one secret, long enough"))
        for received, signer, fingerprint, fault in (
            (data, KeyedDatagramSigner(b"another secret, as long"), 12, DatagramFault.FORGED),
            (encode(HEADER, [], 12), None, 13, DatagramFault.ROSTER),
            (encode(HEADER, [], 12)[:10], None, 12, DatagramFault.SHORT),
        ):
            with self.assertRaises(DatagramError) as caught:
                decode(received, fingerprint, signer)
            self.assertIs(caught.exception.fault, fault)

    @settings(max_examples=300, deadline=None, derandomize=True)
    @given(st.binary(max_size=300))
    def test_random_bytes_are_rejected(self, data: bytes) -> None:
        with self.assertRaises(DatagramError):
            decode(data, 12)

    def test_fifteen_health_reports_fit_into_one_datagram(self) -> None:
        items = [HealthReport(n, 1, 1, 0) for n in range(15)]
        self.assertLessEqual(len(encode(HEADER, items, 1)), DATAGRAM_MAX_BYTES)

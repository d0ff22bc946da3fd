"""Pins the datagrams between brokers byte for byte, since brokers of two versions exchange them.

The builders below use names of the code; the expected values are literals. An item's code is its position in
`ITEM_TYPES`, and its fields are packed in the order in which its class declares them (`__slots__`). Moving a
class or a field therefore changes the bytes; renaming one does not.
"""

from __future__ import annotations

import pytest

from lemonridge.fleet import datagrams, health_gossip, quota_ledger, status_report, usage_totals
from lemonridge.fleet.member_list import MemberList, hash_endpoint_id
from lemonridge.net.peer_transport import KeyedDatagramSigner

FINGERPRINT = 0xBEEF
STATE_DIGEST = b"\x01\x23\x45\x67\x89\xab\xcd\xef"
SIGNER = KeyedDatagramSigner(b"a secret of the fleet, fixed")

HEADER = datagrams.DatagramHeader(
    sender=2,
    state=datagrams.MemberState.DRAINING,
    incarnation=0x0001020304050607,
    state_version=5,
    sequence=0x0A0B0C0D,
    sent_ms=0x10203040,
)
MEMBERSHIP_UPDATE = datagrams.MembershipUpdate(
    member_id=6, incarnation=0x0102030405060708, state_version=9, state=4
)
PING = datagrams.Ping(nonce=0x1122, member_id=3)
ITEMS = {
    "ping": PING,
    "ack": datagrams.Ack(nonce=0x3344, member_id=4),
    "ping request": datagrams.PingRequest(nonce=0x5566, member_id=5),
    "fact": MEMBERSHIP_UPDATE,
    "want": datagrams.LoanRequest(
        kind=2,
        key=0x1112131415161718,
        hosts=7,
        request_id=0x21222324,
        parts=500_000,
        duration_ms=1500,
        slow_start_began_ms=0x31323334,
    ),
    "grant": datagrams.LoanGrant(
        kind=3,
        key=0x2122232425262728,
        request_id=0x41424344,
        parts=250_000,
        lender_uses_budget=1,
        user_hint=8,
    ),
    "release": datagrams.LoanRelease(kind=1, key=0x3132333435363738, request_id=0x51525354),
    "recall": datagrams.LoanRecall(),
    "cleared": datagrams.LoanRecallAck(incarnation=0x4142434445464748),
    "count": datagrams.UsageTotal(kind=2, key=0x5152535455565758, total=0x0000616263646566),
    "judge": datagrams.HealthReport(endpoint_id=0x7172737475767778, condition=4, weight=9, age_ms=1234),
    "presence": datagrams.Heartbeat(),
    "lease question": datagrams.LeaseRequest(
        request_id=10, low=11, high=12, target_epoch=13, digest=STATE_DIGEST
    ),
    "lease": datagrams.LeaseReply(
        request_id=14, low=15, high=16, epoch=17, digest=STATE_DIGEST, store_id=0x0A0B0C0D0E0F1011
    ),
    "prepare": datagrams.Prepare(slot=18, ballot=19),
    "promise": datagrams.Promise(
        slot=20, ballot=21, accepted_ballot=22, digest=STATE_DIGEST, store_id=0x1213141516171819
    ),
    "accept": datagrams.Accept(slot=23, ballot=24, digest=STATE_DIGEST),
    "accepted": datagrams.AcceptReply(slot=25, ballot=26, store_id=0x1A1B1C1D1E1F2021),
    "ballot rejected": datagrams.BallotRejected(slot=27, ballot=28),
    "check": datagrams.CheckRequest(slot=29, digest=STATE_DIGEST),
    "check result": datagrams.CheckReply(
        slot=30, digest=STATE_DIGEST, is_accepted=1, reason=b"zu fr\xc3\xbch" + bytes(92)
    ),
    "chunk question": datagrams.ChunkRequest(digest=STATE_DIGEST, number=31),
    "piece": datagrams.Chunk(digest=STATE_DIGEST, number=32, count=33, size=5, data=b"hello" + bytes(171)),
    "chosen": datagrams.Chosen(slot=34, digest=STATE_DIGEST),
}

# Version (b2), state (03), member list fingerprint, sender, incarnation, state version, sequence number and
# sending time. All numbers are little-endian.
HEADER_HEX = "b203efbe02000706050403020100050d0c0b0a40302010"
# For each item: the checksum, which precedes the header, and the item's code and fields.
ENCODED_ITEMS = {
    "ping": ("3a4b24ca", "0122110300" + "00" * 13),
    "ack": ("c2c5120c", "0244330400"),
    "ping request": ("c98873b8", "0366550500"),
    "fact": ("a71b33c7", "04060008070605040302010904"),
    "want": ("40a455c5", "05021817161514131211072423222120a10700dc0534333231"),
    "grant": ("84b18038", "060328272625242322214443424190d00300010800"),
    "release": ("8643fcb5", "0701383736353433323154535251"),
    "recall": ("426b17e9", "080000000000000000"),
    "cleared": ("17f4b53c", "094847464544434241"),
    "count": ("aaaaa042", "0a0258575655545352516665646362610000"),
    "judge": ("aa77c504", "0b78777675747372710409d204"),
    "presence": ("5cd3a924", "0c"),
    "lease question": (
        "6eea4507",
        "0d0a0000000b0000000c0000000d0000000123456789abcdef" + "00" * 16,
    ),
    "lease": (
        "9ccb50a8",
        "0e0e0000000f00000010000000110000000123456789abcdef11100f0e0d0c0b0a",
    ),
    "prepare": ("10b69927", "0f1200000013000000" + "00" * 20),
    "promise": ("60d97bb6", "101400000015000000160000000123456789abcdef1918171615141312"),
    "accept": ("dec03dfc", "1117000000180000000123456789abcdef"),
    "accepted": ("23c05a74", "12190000001a00000021201f1e1d1c1b1a"),
    "ballot rejected": ("0c6fcb44", "131b0000001c000000"),
    "check": ("2126be36", "141d0000000123456789abcdef" + "00" * 101),
    "check result": (
        "ae325dec",
        "151e0000000123456789abcdef017a75206672c3bc68" + "00" * 92,
    ),
    "chunk question": ("e9ce349f", "160123456789abcdef1f00" + "00" * 179),
    "piece": ("7241e1fe", "170123456789abcdef200021000568656c6c6f" + "00" * 171),
    "chosen": ("67412f86", "18220000000123456789abcdef"),
}


def test_every_item_type_has_recorded_bytes() -> None:
    assert [type(item) for item in ITEMS.values()] == list(datagrams.ITEM_TYPES)
    assert list(ITEMS) == list(ENCODED_ITEMS)


@pytest.mark.parametrize("name", ENCODED_ITEMS)
def test_item_is_encoded_and_decoded_as_recorded(name: str) -> None:
    checksum, item_hex = ENCODED_ITEMS[name]
    data = bytes.fromhex(checksum + HEADER_HEX + item_hex)

    encoded = datagrams.encode(HEADER, [ITEMS[name]], FINGERPRINT)
    decoded = datagrams.decode(data, FINGERPRINT)

    assert encoded.hex() == data.hex()
    assert (decoded.header, decoded.items) == (HEADER, (ITEMS[name],))


def test_datagrams_without_items_and_with_wrapped_numbers_are_encoded_as_recorded() -> None:
    without_items = datagrams.encode(HEADER, [], FINGERPRINT)
    with_wrapped_numbers = datagrams.encode(
        datagrams.DatagramHeader(2, datagrams.MemberState.UP, 7, 1, (1 << 32) + 3, (1 << 32) + 4), [], 1
    )

    assert without_items.hex() == "ab405155b203efbe02000706050403020100050d0c0b0a40302010"
    assert with_wrapped_numbers.hex() == "3227d143b202010002000700000000000000010300000004000000"


@pytest.mark.parametrize(
    ("items", "expected_hex"),
    [
        ([], "ab405155b203efbe02000706050403020100050d0c0b0a40302010c2e550b7604b2fb3"),
        (
            [MEMBERSHIP_UPDATE, PING],
            "ef41c6deb203efbe02000706050403020100050d0c0b0a40302010"
            "0406000807060504030201090401221103000000000000000000000000"
            "0000"
            "8435e76c19d16cac",
        ),
    ],
)
def test_keyed_tag_follows_all_items(items: list[datagrams.Item], expected_hex: str) -> None:
    data = bytes.fromhex(expected_hex)

    encoded = datagrams.encode(HEADER, items, FINGERPRINT, SIGNER)
    decoded = datagrams.decode(data, FINGERPRINT, SIGNER)

    assert encoded.hex() == expected_hex
    assert (decoded.header, decoded.items) == (HEADER, tuple(items))


def test_member_list_fingerprint_and_endpoint_id_hash_are_unchanged() -> None:
    assert MemberList(("b0", "b1", "b2"), 1).fingerprint == 26721
    assert hash_endpoint_id("s-5be2a07c") == 5897176318865884699


def test_enum_numbers_and_their_labels_are_unchanged() -> None:
    """Brokers exchange the numbers; operators see the labels in lower case (`fleet status`)."""
    assert {status_report.STATE_LABELS[state].upper(): state.value for state in datagrams.MemberState} == {
        "ABSENT": 0,
        "JOINING": 1,
        "UP": 2,
        "LEAVING": 3,
        "SUSPECT": 4,
        "DEAD": 5,
        "LEFT": 6,
    }
    assert {status_report.BUDGET_LABELS[kind].upper(): kind.value for kind in quota_ledger.BudgetKind} == {
        "LIMIT": 1,
        "COLD": 2,
        "FURTHER": 3,
    }
    assert {
        status_report.CONDITION_LABELS[condition].upper(): condition.value
        for condition in health_gossip.ReportedCondition
    } == {
        "DOWN": 1,
        "SILENT": 2,
        "ERRORS": 3,
        "COLD": 4,
    }
    assert [kind.value for kind in usage_totals.UsageKind] == [1, 2]


def test_sizes_and_version_of_datagrams_are_unchanged() -> None:
    assert (datagrams.DATAGRAM_MAX_BYTES, datagrams.VERSION, datagrams.TAG_BYTES, datagrams.HEADER_BYTES) == (
        256,
        0xB2,
        8,
        27,
    )

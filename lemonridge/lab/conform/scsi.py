"""Cases of the SCSI commands of the logical units (SPC-4, SBC-3, SAM-5)."""

from __future__ import annotations

import struct

from lemonridge.lab.conform.cases import BLOCKS_PER_LUN, CaseContext, case
from lemonridge.lab.conform.data import read10, write10
from lemonridge.lab.conform.peer import Peer, expect, expect_equal

TEST_UNIT_READY = bytes(6)
# Types of persistent reservations (SPC-4).
(
    WRITE_EXCLUSIVE,
    EXCLUSIVE_ACCESS,
    WRITE_EXCLUSIVE_REGISTRANTS_ONLY,
    EXCLUSIVE_ACCESS_REGISTRANTS_ONLY,
    WRITE_EXCLUSIVE_ALL_REGISTRANTS,
    EXCLUSIVE_ACCESS_ALL_REGISTRANTS,
) = 1, 3, 5, 6, 7, 8
RESERVATION_CONFLICT = 0x18  # SCSI status


def inquiry(page: int = -1, allocation_length: int = 255) -> bytes:
    """Returns the CDB of an INQUIRY for a vital product data page; for the standard data if `page` is -1."""
    return struct.pack(">BBBHB", 0x12, int(page >= 0), max(0, page), allocation_length, 0)


# INQUIRY, REPORT LUNS and supported commands


@case("inquiry.standard", "SPC-4 6.6")
async def _standard_inquiry_data(context: CaseContext) -> None:
    """The standard INQUIRY data are consistent and state at least SPC-3 and command queueing."""
    data = await (await context.open_session()).expect_good(inquiry(), read=255)
    expect_equal((data[0], data[3] & 0x0F, data[4]), (0, 2, len(data) - 5), "type, format, additional length")
    expect(data[2] >= 5 and bool(data[7] & 0x02), "a version below SPC-3, or no command queueing")


@case("inquiry.truncated", "SPC-4 4.3.4.6")
async def _inquiry_is_cut_to_allocation_length(context: CaseContext) -> None:
    """The INQUIRY data are cut to the allocation length."""
    expect_equal(
        len(await (await context.open_session()).expect_good(inquiry(allocation_length=5), read=255)), 5
    )


@case("inquiry.page-without-evpd", "SPC-4 6.6.1")
async def _inquiry_page_without_evpd_is_refused(context: CaseContext) -> None:
    """INQUIRY with a page code but without EVPD is refused."""
    await (await context.open_session()).expect_sense(b"\x12\x00\x83\x00\xff\x00", 0x05, 0x24, read=255)


@case("inquiry.absent-lun", "SPC-4 6.6.2")
async def _inquiry_of_absent_lun(context: CaseContext) -> None:
    """INQUIRY of an absent LUN returns peripheral qualifier 3 and device type 1Fh."""
    expect_equal((await (await context.open_session()).expect_good(inquiry(), read=255, lun=77))[0], 0x7F)


@case("inquiry.unknown-page", "SPC-4 6.6.1")
async def _unknown_vital_product_data_page_is_refused(context: CaseContext) -> None:
    """INQUIRY of an unknown vital product data page is refused."""
    await (await context.open_session()).expect_sense(inquiry(0xC7), 0x05, 0x24, read=255)


@case("inquiry.pages", "SPC-4 7.8.13")
async def _listed_vital_product_data_pages_exist(context: CaseContext) -> None:
    """Each listed vital product data page exists, with its own page code and the right length."""
    peer = await context.open_session()
    data = await peer.expect_good(inquiry(0), read=255)
    pages = data[4 : 4 + data[3]]
    expect({0x00, 0x80, 0x83} <= set(pages) and list(pages) == sorted(pages), f"pages {pages.hex()}")
    for page in pages:
        data = await peer.expect_good(inquiry(page), read=255)
        expect_equal((data[1], int.from_bytes(data[2:4], "big")), (page, len(data) - 4), f"page {page:#04x}")


@case("inquiry.names-differ", "SPC-4 7.8.6")
async def _lun_designators_are_unique_and_stable(context: CaseContext) -> None:
    """Each LUN has unique designators that are the same in every session."""
    context.own_node()
    first, second = await context.open_session(), await context.open_session()
    designator_pages = [
        await peer.expect_good(inquiry(0x83), read=255, lun=lun) for peer in (first, second) for lun in (0, 1)
    ]
    expect_equal(designator_pages[:2], designator_pages[2:])
    expect(designator_pages[0] != designator_pages[1], "two LUNs have one name")
    offset, designator_types = 4, set()
    while offset < len(designator_pages[0]):
        designator_types.add(designator_pages[0][offset + 1] & 0x0F)
        offset += 4 + designator_pages[0][offset + 3]
    expect_equal(offset, len(designator_pages[0]), "the last descriptor's end")
    expect(
        3 in designator_types and 5 in designator_types, f"no NAA name or port group among {designator_types}"
    )


@case("inquiry.limits", "SBC-3 6.6.3")
async def _block_limits_page(context: CaseContext) -> None:
    """The block limits page states a maximum transfer length."""
    data = await (await context.open_session()).expect_good(inquiry(0xB0), read=255)
    expect_equal(data[3], 0x3C)
    expect(int.from_bytes(data[8:12], "big") > 0, "no greatest transfer")


@case("luns.report", "SPC-4 6.33")
async def _report_luns(context: CaseContext) -> None:
    """REPORT LUNS lists LUN 0, and on the suite's own broker exactly the configured LUNs."""
    data = await (await context.open_session()).expect_good(b"\xa0" + bytes(5) + b"\0\0\1\0\0\0", read=256)
    expect_equal(int.from_bytes(data[:4], "big"), len(data) - 8)
    expect(bytes(8) in [data[offset : offset + 8] for offset in range(8, len(data), 8)], "no LUN 0")
    if context.node:
        expect_equal(data[8:], bytes(8) + b"\0\1" + bytes(6) + b"\x41\x2c" + bytes(6), "LUNs 0, 1 and 300")


@case("luns.report-too-short", "SPC-4 6.33")
async def _report_luns_with_short_allocation_length_is_refused(context: CaseContext) -> None:
    """REPORT LUNS with an allocation length below 16 is refused."""
    await (await context.open_session()).expect_sense(
        b"\xa0" + bytes(5) + b"\0\0\0\x0f\0\0", 0x05, 0x24, read=15
    )


@case("luns.flat-addressing", "SAM-5 4.7.7")
async def _flat_space_addressing(context: CaseContext) -> None:
    """A LUN above 255 can be addressed with flat space addressing."""
    context.own_node()
    await (await context.open_session()).expect_good(read10(0, 512), read=512, lun=300)


def _register_absent_lun_cases() -> None:
    for name, cdb, read in (
        ("read", read10(0, 512), 512),
        ("test-unit-ready", TEST_UNIT_READY, 0),
        ("mode-sense", b"\x1a\0\x3f\0\xff\0", 255),  # MODE SENSE (6)
    ):

        @case(f"luns.absent.{name}", "SPC-4 4.5.6")
        async def _(context: CaseContext, cdb: bytes = cdb, read: int = read) -> None:
            """A command to an absent LUN ends with LOGICAL UNIT NOT SUPPORTED."""
            await (await context.open_session()).expect_sense(cdb, 0x05, 0x25, read=read, lun=77)


_register_absent_lun_cases()


@case("sense.request", "SPC-4 6.39")
async def _request_sense(context: CaseContext) -> None:
    """REQUEST SENSE returns fixed-format sense data with NO SENSE."""
    data = await (await context.open_session()).expect_good(b"\x03\0\0\0\xfc\0", read=252)
    expect_equal((data[0] & 0x7F, data[2] & 0x0F, data[7]), (0x70, 0, len(data) - 8))


def _register_unknown_opcode_cases() -> None:
    for opcode in (0x01, 0x16, 0x2E, 0x3B, 0x7F, 0xC0, 0xFF):

        @case(f"opcodes.unknown-{opcode:02x}", "SPC-4 4.5.6")
        async def _(context: CaseContext, opcode: int = opcode) -> None:
            """An unsupported operation code ends with INVALID COMMAND OPERATION CODE."""
            await (await context.open_session()).expect_sense(bytes([opcode]) + bytes(15), 0x05, 0x20)


_register_unknown_opcode_cases()


@case("opcodes.all", "SPC-4 6.35")
async def _supported_operation_codes(context: CaseContext) -> None:
    """REPORT SUPPORTED OPERATION CODES lists all mandatory commands."""
    data = await (await context.open_session()).expect_good(b"\xa3\x0c\0\0\0\0\0\0\x10\0\0\0", read=4096)
    expect_equal((int.from_bytes(data[:4], "big") + 4, (len(data) - 4) % 8), (len(data), 0))
    opcodes = {data[offset] for offset in range(4, len(data), 8)}
    expect(
        {0x00, 0x12, 0x25, 0x28, 0x2A, 0xA0, 0xA3} <= opcodes, "a command that must be there is not listed"
    )


def _register_single_opcode_cases() -> None:
    for name, reporting_option, opcode, service_action, support in (
        ("read", 1, 0x28, 0, 3),
        ("absent", 1, 0xC0, 0, 1),
        ("reserve", 2, 0x5F, 0, 3),
        ("reserve-odd", 2, 0x5F, 31, 1),
    ):

        @case(f"opcodes.one.{name}", "SPC-4 6.35")
        async def _(
            context: CaseContext,
            reporting_option: int = reporting_option,
            opcode: int = opcode,
            service_action: int = service_action,
            support: int = support,
        ) -> None:
            """REPORT SUPPORTED OPERATION CODES states whether one command is supported."""
            cdb = struct.pack(">BBBBHIxx", 0xA3, 0x0C, reporting_option, opcode, service_action, 64)
            expect_equal((await (await context.open_session()).expect_good(cdb, read=64))[1] & 7, support)


_register_single_opcode_cases()


@case("opcodes.one.actions-wanted", "SPC-4 6.35")
async def _operation_code_query_without_service_action_is_refused(context: CaseContext) -> None:
    """A query without a service action is refused for a command that has service actions."""
    cdb = struct.pack(">BBBBHIxx", 0xA3, 0x0C, 1, 0x5F, 0, 64)
    await (await context.open_session()).expect_sense(cdb, 0x05, 0x24, read=64)


# Mode pages


def _register_mode_sense_cases() -> None:
    for name, page in (("caching", 0x08), ("control", 0x0A), ("all", 0x3F)):

        @case(f"mode.sense-6.{name}", "SPC-4 6.13")
        async def _(context: CaseContext, page: int = page) -> None:
            """MODE SENSE (6) returns the page with a consistent length."""
            data = await (await context.open_session()).expect_good(
                bytes([0x1A, 8, page, 0, 255, 0]), read=255
            )
            expect_equal(data[0] + 1, len(data), "mode data length")
            expect(page == 0x3F or data[4 + data[3]] & 0x3F == page, "another page")

        @case(f"mode.sense-10.{name}", "SPC-4 6.14")
        async def _(context: CaseContext, page: int = page) -> None:
            """MODE SENSE (10) returns the page with a consistent length."""
            cdb = bytes([0x5A, 8, page, 0, 0, 0, 0, 0, 255, 0])
            data = await (await context.open_session()).expect_good(cdb, read=255)
            expect_equal(int.from_bytes(data[:2], "big") + 2, len(data))


_register_mode_sense_cases()


@case("mode.sense.unknown-page", "SPC-4 6.13")
async def _unknown_mode_page_is_refused(context: CaseContext) -> None:
    """MODE SENSE of an unknown page is refused."""
    await (await context.open_session()).expect_sense(b"\x1a\x08\x1b\0\xff\0", 0x05, 0x24, read=255)


@case("mode.sense.saved", "SPC-4 6.13")
async def _saved_mode_values_are_refused(context: CaseContext) -> None:
    """MODE SENSE of saved values ends with SAVING PARAMETERS NOT SUPPORTED."""
    await (await context.open_session()).expect_sense(b"\x1a\x08\xc8\0\xff\0", 0x05, 0x39, read=255)


@case("mode.select.what-holds", "SPC-4 6.11")
async def _mode_select_without_change_succeeds(context: CaseContext) -> None:
    """MODE SELECT with the current values succeeds."""
    peer = await context.open_session()
    data = bytearray(await peer.expect_good(b"\x1a\x08\x0a\0\xff\0", read=255))
    data[0] = data[2] = 0
    await peer.expect_good(bytes([0x15, 0x10, 0, 0, len(data), 0]), data=bytes(data))


@case("mode.select.a-change", "SPC-4 6.11")
async def _mode_select_with_change_is_refused(context: CaseContext) -> None:
    """MODE SELECT that would change a value is refused."""
    peer = await context.open_session()
    data = bytearray(await peer.expect_good(b"\x1a\x08\x0a\0\xff\0", read=255))
    data[0] = data[2] = 0
    data[-1] ^= 1
    await peer.expect_sense(bytes([0x15, 0x10, 0, 0, len(data), 0]), 0x05, 0x26, data=bytes(data))


@case("unit.test-ready", "SPC-4 6.47")
async def _test_unit_ready(context: CaseContext) -> None:
    """TEST UNIT READY succeeds."""
    await (await context.open_session()).expect_good(TEST_UNIT_READY)


@case("unit.start", "SBC-3 5.25")
async def _start_stop_unit(context: CaseContext) -> None:
    """START STOP UNIT with START set succeeds."""
    await (await context.open_session()).expect_good(b"\x1b\0\0\0\x01\0")


@case("unit.port-groups", "SPC-4 6.37")
async def _target_port_groups(context: CaseContext) -> None:
    """REPORT TARGET PORT GROUPS states one active/optimized group with one port."""
    data = await (await context.open_session()).expect_good(b"\xa3\x0a\0\0\0\0\0\0\0\x40\0\0", read=64)
    expect_equal(
        (int.from_bytes(data[:4], "big") + 4, data[4] & 0x0F, data[11]),
        (len(data), 0, 1),
        "length, state, ports",
    )


# Block commands


@case("blocks.capacity-10", "SBC-3 5.15")
async def _read_capacity_10(context: CaseContext) -> None:
    """READ CAPACITY (10) states the last block and the block length."""
    context.own_node()
    data = await (await context.open_session()).expect_good(b"\x25" + bytes(9), read=8)
    expect_equal(struct.unpack(">II", data), (BLOCKS_PER_LUN - 1, 512))


@case("blocks.capacity-16", "SBC-3 5.16")
async def _read_capacity_16(context: CaseContext) -> None:
    """READ CAPACITY (16) states the last block and the block length."""
    context.own_node()
    data = await (await context.open_session()).expect_good(
        b"\x9e\x10" + bytes(8) + b"\0\0\0\x20\0\0", read=32
    )
    expect_equal(struct.unpack(">QI", data[:12]), (BLOCKS_PER_LUN - 1, 512))


def _register_read_write_cases() -> None:
    forms = {
        "6": (b"\x0a\0\0\x09\x02\0", b"\x08\0\0\x09\x02\0"),
        "10": (write10(9, 1024), read10(9, 1024)),
        "16": (
            b"\x8a\0" + (9).to_bytes(8, "big") + (2).to_bytes(4, "big") + b"\0\0",
            b"\x88\0" + (9).to_bytes(8, "big") + (2).to_bytes(4, "big") + b"\0\0",
        ),
    }
    for write_form, (write_cdb, _) in forms.items():
        for read_form, (_, read_cdb) in forms.items():

            @case(f"blocks.write-{write_form}.read-{read_form}", "SBC-3 5.32")
            async def _(
                context: CaseContext, write_cdb: bytes = write_cdb, read_cdb: bytes = read_cdb
            ) -> None:
                """Data that one form of WRITE writes are returned by each form of READ."""
                peer, data = await context.open_session(), context.random.randbytes(1024)
                await peer.expect_good(write_cdb, data=data)
                expect_equal(await peer.expect_good(read_cdb, read=1024), data)


_register_read_write_cases()


@case("blocks.luns-are-apart", "SAM-5 4.7")
async def _luns_have_separate_blocks(context: CaseContext) -> None:
    """A write to one LUN does not change another LUN."""
    context.own_node()
    peer = await context.open_session()
    await peer.expect_good(write10(3, 512), data=b"0" * 512)
    await peer.expect_good(write10(3, 512), data=b"1" * 512, lun=1)
    expect_equal(await peer.expect_good(read10(3, 512), read=512), b"0" * 512)


@case("blocks.synchronize", "SBC-3 5.28")
async def _synchronize_cache(context: CaseContext) -> None:
    """SYNCHRONIZE CACHE (10) and (16) succeed."""
    peer = await context.open_session()
    await peer.expect_good(b"\x35" + bytes(9))  # SYNCHRONIZE CACHE (10)
    await peer.expect_good(b"\x91" + bytes(15))  # SYNCHRONIZE CACHE (16)


@case("blocks.verify", "SBC-3 5.29")
async def _verify(context: CaseContext) -> None:
    """VERIFY (10) succeeds."""
    peer = await context.open_session()
    await peer.expect_good(b"\x2f\0" + bytes(5) + b"\0\x02\0")


@case("blocks.write-same", "SBC-3 5.44")
async def _write_same(context: CaseContext) -> None:
    """WRITE SAME (16) writes its block to every block of the range."""
    peer = await context.open_session()
    cdb = b"\x93\0" + (20).to_bytes(8, "big") + (4).to_bytes(4, "big") + b"\0\0"
    await peer.expect_good(cdb, data=b"S" * 512)
    expect_equal(await peer.expect_good(read10(20, 2048), read=2048), b"S" * 2048)


@case("blocks.unmap", "SBC-3 5.28")
async def _unmap(context: CaseContext) -> None:
    """A read of unmapped blocks returns zeros."""
    peer = await context.open_session()
    await peer.expect_good(write10(30, 512), data=b"U" * 512)
    parameters = struct.pack(">HHxxxxQIxxxx", 22, 16, 30, 1)
    await peer.expect_good(b"\x42" + bytes(6) + b"\0\x18\0", data=parameters)
    expect_equal(await peer.expect_good(read10(30, 512), read=512), bytes(512))


@case("blocks.compare-and-write", "SBC-3 5.2")
async def _compare_and_write(context: CaseContext) -> None:
    """COMPARE AND WRITE writes only if the comparison succeeds, else it ends with MISCOMPARE."""
    peer = await context.open_session()
    await peer.expect_good(write10(40, 512), data=b"A" * 512)
    cdb = b"\x89\0" + (40).to_bytes(8, "big") + b"\0\0\0\x01\0\0"
    await peer.expect_good(cdb, data=b"A" * 512 + b"B" * 512)
    await peer.expect_sense(cdb, 0x0E, 0x1D, data=b"A" * 512 + b"C" * 512)
    expect_equal(await peer.expect_good(read10(40, 512), read=512), b"B" * 512)


@case("blocks.too-much", "SBC-3 6.6.3")
async def _oversized_read_is_refused(context: CaseContext) -> None:
    """A read beyond the maximum transfer length is refused."""
    context.own_node()
    await (await context.open_session()).expect_sense(read10(0, 1 << 20), 0x05, 0x24, read=1 << 20)


# Persistent reservations


async def _persistent_reserve_out(
    peer: Peer, service_action: int, key: int = 0, new_key: int = 0, reservation_type: int = 0, flags: int = 0
) -> int:
    """Executes PERSISTENT RESERVE OUT and returns the SCSI status.

    Args:
        peer: The connection.
        service_action: 0 REGISTER, 1 RESERVE, 2 RELEASE, 3 CLEAR, 4 PREEMPT, or 6 REGISTER AND IGNORE
            EXISTING KEY.
        key: Reservation key.
        new_key: Service action reservation key.
        reservation_type: Type of the reservation.
        flags: Byte 20 of the parameter list; 1 is APTPL.
    """
    cdb = bytes([0x5F, service_action, reservation_type, 0, 0, 0, 0, 0, 24, 0])
    return (await peer.execute(cdb, data=struct.pack(">QQ4xBxxx", key, new_key, flags)))[0]


async def _persistent_reserve_in(peer: Peer, service_action: int) -> bytes:
    """Executes PERSISTENT RESERVE IN and returns its data.

    Args:
        peer: The connection.
        service_action: 0 READ KEYS, 1 READ RESERVATION, 2 REPORT CAPABILITIES or 3 READ FULL STATUS.
    """
    return await peer.expect_good(bytes([0x5E, service_action, 0, 0, 0, 0, 0, 4, 0, 0]), read=1024)


async def _open_registered_pair(context: CaseContext) -> tuple[Peer, Peer]:
    """Opens two sessions registered with the keys 11 and 22, without a reservation."""
    context.own_node()
    first, second = await context.open_session(), await context.open_session()
    expect_equal(await _persistent_reserve_out(first, 6, 0, 11), 0)
    expect_equal(await _persistent_reserve_out(first, 3, 11), 0)
    for peer, key in ((first, 11), (second, 22)):
        expect_equal(await _persistent_reserve_out(peer, 6, 0, key), 0)
    return first, second


async def _clear_reservations(peer: Peer) -> None:
    """Registers with the key 11, whatever was registered, and removes all registrations and reservations."""
    await _persistent_reserve_out(peer, 6, 0, 11)
    await _persistent_reserve_out(peer, 3, 11)


def _register_reservation_cases() -> None:
    for reservation_type in (
        WRITE_EXCLUSIVE,
        EXCLUSIVE_ACCESS,
        WRITE_EXCLUSIVE_REGISTRANTS_ONLY,
        EXCLUSIVE_ACCESS_REGISTRANTS_ONLY,
        WRITE_EXCLUSIVE_ALL_REGISTRANTS,
        EXCLUSIVE_ACCESS_ALL_REGISTRANTS,
    ):
        for role in ("holder", "registrant", "other"):
            for operation in ("read", "write"):

                @case(f"reserve.type-{reservation_type}.{role}.{operation}", "SPC-4 5.13 table 59")
                async def _(
                    context: CaseContext,
                    reservation_type: int = reservation_type,
                    role: str = role,
                    operation: str = operation,
                ) -> None:
                    """A reservation permits and refuses reads and writes as its type defines."""
                    first, second = await _open_registered_pair(context)
                    expect_equal(
                        await _persistent_reserve_out(first, 1, 11, reservation_type=reservation_type), 0
                    )
                    peer = {"holder": first, "registrant": second}.get(role) or await context.open_session()
                    reads_permitted, registrants_permitted = (
                        reservation_type
                        in (
                            WRITE_EXCLUSIVE,
                            WRITE_EXCLUSIVE_REGISTRANTS_ONLY,
                            WRITE_EXCLUSIVE_ALL_REGISTRANTS,
                        ),
                        reservation_type >= WRITE_EXCLUSIVE_REGISTRANTS_ONLY,
                    )
                    permitted = (
                        role == "holder"
                        or (role == "registrant" and registrants_permitted)
                        or (operation == "read" and reads_permitted)
                    )
                    if operation == "read":
                        status = (await peer.execute(read10(0, 512), read=512))[0]
                    else:
                        status = (await peer.execute(write10(0, 512), data=bytes(512)))[0]
                    await _clear_reservations(first)
                    expect_equal(status, 0 if permitted else RESERVATION_CONFLICT)

        @case(f"reserve.type-{reservation_type}.read-reservation", "SPC-4 6.15.3")
        async def _(context: CaseContext, reservation_type: int = reservation_type) -> None:
            """READ RESERVATION returns the type and the holder's key, or key 0 for all registrants."""
            first, _ = await _open_registered_pair(context)
            expect_equal(await _persistent_reserve_out(first, 1, 11, reservation_type=reservation_type), 0)
            data = await _persistent_reserve_in(first, 1)
            await _clear_reservations(first)
            expect_equal(
                (struct.unpack(">Q", data[8:16])[0], data[21]),
                (0 if reservation_type >= WRITE_EXCLUSIVE_ALL_REGISTRANTS else 11, reservation_type),
            )

        @case(f"reserve.type-{reservation_type}.release", "SPC-4 5.13.11.2")
        async def _(context: CaseContext, reservation_type: int = reservation_type) -> None:
            """RELEASE ends the reservation.

            The types with access for registrants raise a unit attention for the other registrants.
            """
            first, second = await _open_registered_pair(context)
            expect_equal(await _persistent_reserve_out(first, 1, 11, reservation_type=reservation_type), 0)
            expect_equal(await _persistent_reserve_out(first, 2, 11, reservation_type=reservation_type), 0)
            expect_equal((await _persistent_reserve_in(first, 1))[4:8], bytes(4), "a reservation is left")
            if reservation_type >= WRITE_EXCLUSIVE_REGISTRANTS_ONLY:
                await second.expect_sense(TEST_UNIT_READY, 0x06, 0x2A, 0x04)
            await second.expect_good(write10(0, 512), data=bytes(512))
            await _clear_reservations(first)

        @case(f"reserve.type-{reservation_type}.preempt", "SPC-4 5.13.11.4")
        async def _(context: CaseContext, reservation_type: int = reservation_type) -> None:
            """PREEMPT moves the reservation and removes the previous holder's registration."""
            first, second = await _open_registered_pair(context)
            expect_equal(await _persistent_reserve_out(first, 1, 11, reservation_type=reservation_type), 0)
            expect_equal(
                await _persistent_reserve_out(
                    second,
                    4,
                    22,
                    0 if reservation_type >= WRITE_EXCLUSIVE_ALL_REGISTRANTS else 11,
                    reservation_type=reservation_type,
                ),
                0,
            )
            data = await _persistent_reserve_in(second, 1)
            keys = await _persistent_reserve_in(second, 0)
            await first.expect_sense(TEST_UNIT_READY, 0x06, 0x2A, 0x05)
            expect_equal(await _persistent_reserve_out(second, 3, 22), 0)
            expect_equal((data[21], keys[8:16]), (reservation_type, struct.pack(">Q", 22)))


_register_reservation_cases()


@case("reserve.keys", "SPC-4 6.15.2")
async def _read_keys(context: CaseContext) -> None:
    """READ KEYS returns the registered keys; each change increases the generation by one."""
    first, second = await _open_registered_pair(context)
    keys_before = await _persistent_reserve_in(first, 0)
    expect_equal(struct.unpack(">IQQ", keys_before[4:]), (16, 11, 22))
    expect_equal(await _persistent_reserve_out(second, 0, 22, 0), 0)
    keys_after = await _persistent_reserve_in(first, 0)
    expect_equal(keys_after[8:], struct.pack(">Q", 11))
    expect_equal(
        int.from_bytes(keys_after[:4], "big"), int.from_bytes(keys_before[:4], "big") + 1, "the generation"
    )
    await _clear_reservations(first)


@case("reserve.register-wrong-key", "SPC-4 5.13.7")
async def _wrong_reservation_key_conflicts(context: CaseContext) -> None:
    """A service action with a wrong key ends with RESERVATION CONFLICT."""
    first, _ = await _open_registered_pair(context)
    expect_equal(await _persistent_reserve_out(first, 0, 99, 12), RESERVATION_CONFLICT)
    expect_equal(
        await _persistent_reserve_out(first, 1, 99, reservation_type=WRITE_EXCLUSIVE), RESERVATION_CONFLICT
    )
    await _clear_reservations(first)


@case("reserve.not-registered", "SPC-4 5.13.9")
async def _reserve_without_registration_conflicts(context: CaseContext) -> None:
    """RESERVE without a registration ends with RESERVATION CONFLICT."""
    context.own_node()
    expect_equal(
        await _persistent_reserve_out(await context.open_session(), 1, 0, reservation_type=WRITE_EXCLUSIVE),
        RESERVATION_CONFLICT,
    )


@case("reserve.held-by-another", "SPC-4 5.13.9")
async def _second_reservation_conflicts(context: CaseContext) -> None:
    """RESERVE by another registrant or of another type conflicts; repeating it succeeds."""
    first, second = await _open_registered_pair(context)
    expect_equal(await _persistent_reserve_out(first, 1, 11, reservation_type=WRITE_EXCLUSIVE), 0)
    expect_equal(
        (
            await _persistent_reserve_out(second, 1, 22, reservation_type=WRITE_EXCLUSIVE),
            await _persistent_reserve_out(first, 1, 11, reservation_type=EXCLUSIVE_ACCESS),
            await _persistent_reserve_out(first, 1, 11, reservation_type=WRITE_EXCLUSIVE),
        ),
        (RESERVATION_CONFLICT, RESERVATION_CONFLICT, 0),
    )
    await _clear_reservations(first)


@case("reserve.release-of-another-type", "SPC-4 5.13.11.2")
async def _release_of_other_type_is_refused(context: CaseContext) -> None:
    """RELEASE with another type than the reservation's is refused."""
    first, _ = await _open_registered_pair(context)
    expect_equal(await _persistent_reserve_out(first, 1, 11, reservation_type=WRITE_EXCLUSIVE), 0)
    await first.expect_sense(
        bytes([0x5F, 2, EXCLUSIVE_ACCESS, 0, 0, 0, 0, 0, 24, 0]),
        0x05,
        0x26,
        0x04,
        data=struct.pack(">QQ8x", 11, 0),
    )
    await _clear_reservations(first)


@case("reserve.clear-is-told", "SPC-4 5.13.11.5")
async def _clear_raises_unit_attention(context: CaseContext) -> None:
    """CLEAR removes all registrations and raises a unit attention for the other registrants."""
    first, second = await _open_registered_pair(context)
    expect_equal(await _persistent_reserve_out(first, 3, 11), 0)
    await second.expect_sense(TEST_UNIT_READY, 0x06, 0x2A, 0x03)
    expect_equal(len(await _persistent_reserve_in(first, 0)), 8)


@case("reserve.outlives-a-session", "SPC-4 5.13.1")
async def _registration_survives_session(context: CaseContext) -> None:
    """A registration belongs to the initiator port and survives the end of its session."""
    first, _ = await _open_registered_pair(context)
    expect_equal(await _persistent_reserve_out(first, 1, 11, reservation_type=EXCLUSIVE_ACCESS), 0)
    first.close(reset=True)
    reconnected = await context.connect(isid=first.isid)
    await reconnected.login()
    status = (await reconnected.execute(write10(0, 512), data=bytes(512)))[0]
    await _clear_reservations(reconnected)
    expect_equal(status, 0)


@case("reserve.full-status", "SPC-4 6.15.5")
async def _read_full_status(context: CaseContext) -> None:
    """READ FULL STATUS returns each registration with its key, holder bit and type."""
    first, _ = await _open_registered_pair(context)
    expect_equal(await _persistent_reserve_out(first, 1, 11, reservation_type=WRITE_EXCLUSIVE), 0)
    data = await _persistent_reserve_in(first, 3)
    await _clear_reservations(first)
    expect_equal(int.from_bytes(data[4:8], "big") + 8, len(data))
    expect_equal(
        (struct.unpack(">Q", data[8:16])[0], data[20] & 1, data[21]),
        (11, 1, WRITE_EXCLUSIVE),
        "key, holder, type",
    )


@case("reserve.capabilities", "SPC-4 6.15.4")
async def _report_capabilities(context: CaseContext) -> None:
    """REPORT CAPABILITIES states all six types and no persistence through power loss."""
    context.own_node()
    data = await _persistent_reserve_in(await context.open_session(), 2)
    expect_equal((data[:2], data[2] & 1, data[4:6]), (b"\0\x08", 0, b"\xea\x01"))


@case("reserve.no-power-loss", "SPC-4 6.16.3")
async def _persistence_through_power_loss_is_refused(context: CaseContext) -> None:
    """REGISTER with APTPL is refused if reservations are not stored."""
    context.own_node()
    await (await context.open_session()).expect_sense(
        bytes([0x5F, 6, 0, 0, 0, 0, 0, 0, 24, 0]), 0x05, 0x26, data=struct.pack(">QQ4xBxxx", 0, 1, 1)
    )


@case("reserve.parameter-length", "SPC-4 6.16.2")
async def _wrong_parameter_list_length_is_refused(context: CaseContext) -> None:
    """PERSISTENT RESERVE OUT with a wrong parameter list length is refused."""
    context.own_node()
    await (await context.open_session()).expect_sense(
        bytes([0x5F, 6, 0, 0, 0, 0, 0, 0, 8, 0]), 0x05, 0x1A, data=bytes(8)
    )


@case("reserve.exempt-commands", "SPC-4 5.13 table 59")
async def _commands_exempt_from_reservations(context: CaseContext) -> None:
    """Commands that reservations do not affect succeed; MODE SENSE conflicts."""
    first, second = await _open_registered_pair(context)
    expect_equal(await _persistent_reserve_out(first, 1, 11, reservation_type=EXCLUSIVE_ACCESS), 0)
    statuses = [
        (await second.execute(cdb, read=read))[0]
        for cdb, read in (
            (TEST_UNIT_READY, 0),
            (inquiry(), 255),
            (b"\x03\0\0\0\xfc\0", 252),  # REQUEST SENSE
            (b"\x25" + bytes(9), 8),  # READ CAPACITY (10)
            (b"\xa0" + bytes(5) + b"\0\0\1\0\0\0", 256),  # REPORT LUNS
        )
    ]
    mode_sense_status = (await second.execute(b"\x1a\x08\x3f\0\xff\0", read=255))[0]
    await _clear_reservations(first)
    expect_equal((statuses, mode_sense_status), ([0] * 5, RESERVATION_CONFLICT))

"""The SCSI of the logical units (SPC-4, SBC-3, SAM-5)."""

from __future__ import annotations

import struct

from lemonridge.lab.conform.cases import BLOCKS_PER_LUN, CaseContext, case
from lemonridge.lab.conform.data import read10, write10
from lemonridge.lab.conform.peer import Peer, expect, expect_equal

TUR = bytes(6)
WE, EA, WE_RO, EA_RO, WE_AR, EA_AR = 1, 3, 5, 6, 7, 8
CONFLICT = 0x18


def inquiry(page: int = -1, room: int = 255) -> bytes:
    return struct.pack(">BBBHB", 0x12, int(page >= 0), max(0, page), room, 0)


# Identity


@case("inquiry.standard", "SPC-4 6.6")
async def _standard(context: CaseContext) -> None:
    data = await (await context.open_session()).expect_good(inquiry(), read=255)
    expect_equal((data[0], data[3] & 0x0F, data[4]), (0, 2, len(data) - 5), "type, format, additional length")
    expect(data[2] >= 5 and bool(data[7] & 0x02), "a version below SPC-3, or no command queueing")


@case("inquiry.truncated", "SPC-4 4.3.4.6")
async def _truncated(context: CaseContext) -> None:
    expect_equal(len(await (await context.open_session()).expect_good(inquiry(room=5), read=255)), 5)


@case("inquiry.page-without-evpd", "SPC-4 6.6.1")
async def _no_evpd(context: CaseContext) -> None:
    await (await context.open_session()).expect_sense(b"\x12\x00\x83\x00\xff\x00", 0x05, 0x24, read=255)


@case("inquiry.absent-lun", "SPC-4 6.6.2")
async def _absent(context: CaseContext) -> None:
    expect_equal((await (await context.open_session()).expect_good(inquiry(), read=255, lun=77))[0], 0x7F)


@case("inquiry.unknown-page", "SPC-4 6.6.1")
async def _unknown_page(context: CaseContext) -> None:
    await (await context.open_session()).expect_sense(inquiry(0xC7), 0x05, 0x24, read=255)


@case("inquiry.pages", "SPC-4 7.8.13")
async def _pages(context: CaseContext) -> None:
    """Every page that is listed is there, under its own number and of the length that it says."""
    peer = await context.open_session()
    data = await peer.expect_good(inquiry(0), read=255)
    pages = data[4 : 4 + data[3]]
    expect({0x00, 0x80, 0x83} <= set(pages) and list(pages) == sorted(pages), f"pages {pages.hex()}")
    for page in pages:
        data = await peer.expect_good(inquiry(page), read=255)
        expect_equal((data[1], int.from_bytes(data[2:4], "big")), (page, len(data) - 4), f"page {page:#04x}")


@case("inquiry.names-differ", "SPC-4 7.8.6")
async def _names(context: CaseContext) -> None:
    """Each LUN has a name of its own, the same over every session."""
    context.own_node()
    one, two = await context.open_session(), await context.open_session()
    names = [
        await peer.expect_good(inquiry(0x83), read=255, lun=lun) for peer in (one, two) for lun in (0, 1)
    ]
    expect_equal(names[:2], names[2:])
    expect(names[0] != names[1], "two LUNs have one name")
    at, kinds = 4, set()
    while at < len(names[0]):
        kinds.add(names[0][at + 1] & 0x0F)
        at += 4 + names[0][at + 3]
    expect_equal(at, len(names[0]), "the last descriptor's end")
    expect(3 in kinds and 5 in kinds, f"no NAA name or port group among {kinds}")


@case("inquiry.limits", "SBC-3 6.6.3")
async def _limits(context: CaseContext) -> None:
    data = await (await context.open_session()).expect_good(inquiry(0xB0), read=255)
    expect_equal(data[3], 0x3C)
    expect(int.from_bytes(data[8:12], "big") > 0, "no greatest transfer")


@case("luns.report", "SPC-4 6.33")
async def _report(context: CaseContext) -> None:
    data = await (await context.open_session()).expect_good(b"\xa0" + bytes(5) + b"\0\0\1\0\0\0", read=256)
    expect_equal(int.from_bytes(data[:4], "big"), len(data) - 8)
    expect(bytes(8) in [data[at : at + 8] for at in range(8, len(data), 8)], "no LUN 0")
    if context.node:
        expect_equal(data[8:], bytes(8) + b"\0\1" + bytes(6) + b"\x41\x2c" + bytes(6), "LUNs 0, 1 and 300")


@case("luns.report-too-short", "SPC-4 6.33")
async def _report_short(context: CaseContext) -> None:
    await (await context.open_session()).expect_sense(
        b"\xa0" + bytes(5) + b"\0\0\0\x0f\0\0", 0x05, 0x24, read=15
    )


@case("luns.flat-addressing", "SAM-5 4.7.7")
async def _flat(context: CaseContext) -> None:
    context.own_node()
    await (await context.open_session()).expect_good(read10(0, 512), read=512, lun=300)


def _absent_luns() -> None:
    for name, cdb, read in (
        ("read", read10(0, 512), 512),
        ("test-unit-ready", TUR, 0),
        ("mode-sense", b"\x1a\0\x3f\0\xff\0", 255),
    ):

        @case(f"luns.absent.{name}", "SPC-4 4.5.6")
        async def _(context: CaseContext, cdb: bytes = cdb, read: int = read) -> None:
            await (await context.open_session()).expect_sense(cdb, 0x05, 0x25, read=read, lun=77)


_absent_luns()


@case("sense.request", "SPC-4 6.39")
async def _request_sense(context: CaseContext) -> None:
    data = await (await context.open_session()).expect_good(b"\x03\0\0\0\xfc\0", read=252)
    expect_equal((data[0] & 0x7F, data[2] & 0x0F, data[7]), (0x70, 0, len(data) - 8))


def _unknown_opcodes() -> None:
    for opcode in (0x01, 0x16, 0x2E, 0x3B, 0x7F, 0xC0, 0xFF):

        @case(f"opcodes.unknown-{opcode:02x}", "SPC-4 4.5.6")
        async def _(context: CaseContext, opcode: int = opcode) -> None:
            await (await context.open_session()).expect_sense(bytes([opcode]) + bytes(15), 0x05, 0x20)


_unknown_opcodes()


@case("opcodes.all", "SPC-4 6.35")
async def _all(context: CaseContext) -> None:
    data = await (await context.open_session()).expect_good(b"\xa3\x0c\0\0\0\0\0\0\x10\0\0\0", read=4096)
    expect_equal((int.from_bytes(data[:4], "big") + 4, (len(data) - 4) % 8), (len(data), 0))
    codes = {data[at] for at in range(4, len(data), 8)}
    expect({0x00, 0x12, 0x25, 0x28, 0x2A, 0xA0, 0xA3} <= codes, "a command that must be there is not listed")


def _one_opcode() -> None:
    for name, option, opcode, action, support in (
        ("read", 1, 0x28, 0, 3),
        ("absent", 1, 0xC0, 0, 1),
        ("reserve", 2, 0x5F, 0, 3),
        ("reserve-odd", 2, 0x5F, 31, 1),
    ):

        @case(f"opcodes.one.{name}", "SPC-4 6.35")
        async def _(
            context: CaseContext,
            option: int = option,
            opcode: int = opcode,
            action: int = action,
            support: int = support,
        ) -> None:
            cdb = struct.pack(">BBBBHIxx", 0xA3, 0x0C, option, opcode, action, 64)
            expect_equal((await (await context.open_session()).expect_good(cdb, read=64))[1] & 7, support)


_one_opcode()


@case("opcodes.one.actions-wanted", "SPC-4 6.35")
async def _wanted(context: CaseContext) -> None:
    cdb = struct.pack(">BBBBHIxx", 0xA3, 0x0C, 1, 0x5F, 0, 64)
    await (await context.open_session()).expect_sense(cdb, 0x05, 0x24, read=64)


# Mode pages


def _modes() -> None:
    for name, page in (("caching", 0x08), ("control", 0x0A), ("all", 0x3F)):

        @case(f"mode.sense-6.{name}", "SPC-4 6.13")
        async def _(context: CaseContext, page: int = page) -> None:
            data = await (await context.open_session()).expect_good(
                bytes([0x1A, 8, page, 0, 255, 0]), read=255
            )
            expect_equal(data[0] + 1, len(data), "mode data length")
            expect(page == 0x3F or data[4 + data[3]] & 0x3F == page, "another page")

        @case(f"mode.sense-10.{name}", "SPC-4 6.14")
        async def _(context: CaseContext, page: int = page) -> None:
            cdb = bytes([0x5A, 8, page, 0, 0, 0, 0, 0, 255, 0])
            data = await (await context.open_session()).expect_good(cdb, read=255)
            expect_equal(int.from_bytes(data[:2], "big") + 2, len(data))


_modes()


@case("mode.sense.unknown-page", "SPC-4 6.13")
async def _mode_unknown(context: CaseContext) -> None:
    await (await context.open_session()).expect_sense(b"\x1a\x08\x1b\0\xff\0", 0x05, 0x24, read=255)


@case("mode.sense.saved", "SPC-4 6.13")
async def _saved(context: CaseContext) -> None:
    await (await context.open_session()).expect_sense(b"\x1a\x08\xc8\0\xff\0", 0x05, 0x39, read=255)


@case("mode.select.what-holds", "SPC-4 6.11")
async def _select_same(context: CaseContext) -> None:
    peer = await context.open_session()
    data = bytearray(await peer.expect_good(b"\x1a\x08\x0a\0\xff\0", read=255))
    data[0] = data[2] = 0
    await peer.expect_good(bytes([0x15, 0x10, 0, 0, len(data), 0]), data=bytes(data))


@case("mode.select.a-change", "SPC-4 6.11")
async def _select_change(context: CaseContext) -> None:
    peer = await context.open_session()
    data = bytearray(await peer.expect_good(b"\x1a\x08\x0a\0\xff\0", read=255))
    data[0] = data[2] = 0
    data[-1] ^= 1
    await peer.expect_sense(bytes([0x15, 0x10, 0, 0, len(data), 0]), 0x05, 0x26, data=bytes(data))


@case("unit.test-ready", "SPC-4 6.47")
async def _ready(context: CaseContext) -> None:
    await (await context.open_session()).expect_good(TUR)


@case("unit.start", "SBC-3 5.25")
async def _start(context: CaseContext) -> None:
    await (await context.open_session()).expect_good(b"\x1b\0\0\0\x01\0")


@case("unit.port-groups", "SPC-4 6.37")
async def _groups(context: CaseContext) -> None:
    data = await (await context.open_session()).expect_good(b"\xa3\x0a\0\0\0\0\0\0\0\x40\0\0", read=64)
    expect_equal(
        (int.from_bytes(data[:4], "big") + 4, data[4] & 0x0F, data[11]),
        (len(data), 0, 1),
        "length, state, ports",
    )


# Blocks


@case("blocks.capacity-10", "SBC-3 5.15")
async def _capacity(context: CaseContext) -> None:
    context.own_node()
    data = await (await context.open_session()).expect_good(b"\x25" + bytes(9), read=8)
    expect_equal(struct.unpack(">II", data), (BLOCKS_PER_LUN - 1, 512))


@case("blocks.capacity-16", "SBC-3 5.16")
async def _capacity_16(context: CaseContext) -> None:
    context.own_node()
    data = await (await context.open_session()).expect_good(
        b"\x9e\x10" + bytes(8) + b"\0\0\0\x20\0\0", read=32
    )
    expect_equal(struct.unpack(">QI", data[:12]), (BLOCKS_PER_LUN - 1, 512))


def _forms() -> None:
    forms = {
        "6": (b"\x0a\0\0\x09\x02\0", b"\x08\0\0\x09\x02\0"),
        "10": (write10(9, 1024), read10(9, 1024)),
        "16": (
            b"\x8a\0" + (9).to_bytes(8, "big") + (2).to_bytes(4, "big") + b"\0\0",
            b"\x88\0" + (9).to_bytes(8, "big") + (2).to_bytes(4, "big") + b"\0\0",
        ),
    }
    for writes, (out, _) in forms.items():
        for reads, (_, into) in forms.items():

            @case(f"blocks.write-{writes}.read-{reads}", "SBC-3 5.32")
            async def _(context: CaseContext, out: bytes = out, into: bytes = into) -> None:
                peer, data = await context.open_session(), context.random.randbytes(1024)
                await peer.expect_good(out, data=data)
                expect_equal(await peer.expect_good(into, read=1024), data)


_forms()


@case("blocks.luns-are-apart", "SAM-5 4.7")
async def _apart(context: CaseContext) -> None:
    context.own_node()
    peer = await context.open_session()
    await peer.expect_good(write10(3, 512), data=b"0" * 512)
    await peer.expect_good(write10(3, 512), data=b"1" * 512, lun=1)
    expect_equal(await peer.expect_good(read10(3, 512), read=512), b"0" * 512)


@case("blocks.synchronize", "SBC-3 5.28")
async def _synchronize(context: CaseContext) -> None:
    peer = await context.open_session()
    await peer.expect_good(b"\x35" + bytes(9))
    await peer.expect_good(b"\x91" + bytes(15))


@case("blocks.verify", "SBC-3 5.29")
async def _verify(context: CaseContext) -> None:
    peer = await context.open_session()
    await peer.expect_good(b"\x2f\0" + bytes(5) + b"\0\x02\0")


@case("blocks.write-same", "SBC-3 5.44")
async def _write_same(context: CaseContext) -> None:
    peer = await context.open_session()
    cdb = b"\x93\0" + (20).to_bytes(8, "big") + (4).to_bytes(4, "big") + b"\0\0"
    await peer.expect_good(cdb, data=b"S" * 512)
    expect_equal(await peer.expect_good(read10(20, 2048), read=2048), b"S" * 2048)


@case("blocks.unmap", "SBC-3 5.28")
async def _unmap(context: CaseContext) -> None:
    peer = await context.open_session()
    await peer.expect_good(write10(30, 512), data=b"U" * 512)
    parameters = struct.pack(">HHxxxxQIxxxx", 22, 16, 30, 1)
    await peer.expect_good(b"\x42" + bytes(6) + b"\0\x18\0", data=parameters)
    expect_equal(await peer.expect_good(read10(30, 512), read=512), bytes(512))


@case("blocks.compare-and-write", "SBC-3 5.2")
async def _compare(context: CaseContext) -> None:
    peer = await context.open_session()
    await peer.expect_good(write10(40, 512), data=b"A" * 512)
    cdb = b"\x89\0" + (40).to_bytes(8, "big") + b"\0\0\0\x01\0\0"
    await peer.expect_good(cdb, data=b"A" * 512 + b"B" * 512)
    await peer.expect_sense(cdb, 0x0E, 0x1D, data=b"A" * 512 + b"C" * 512)
    expect_equal(await peer.expect_good(read10(40, 512), read=512), b"B" * 512)


@case("blocks.too-much", "SBC-3 6.6.3")
async def _too_much(context: CaseContext) -> None:
    context.own_node()
    await (await context.open_session()).expect_sense(read10(0, 1 << 20), 0x05, 0x24, read=1 << 20)


# Persistent reservations


async def _out(peer: Peer, action: int, key: int = 0, new: int = 0, kind: int = 0, flags: int = 0) -> int:
    cdb = bytes([0x5F, action, kind, 0, 0, 0, 0, 0, 24, 0])
    return (await peer.execute(cdb, data=struct.pack(">QQ4xBxxx", key, new, flags)))[0]


async def _in(peer: Peer, action: int) -> bytes:
    return await peer.expect_good(bytes([0x5E, action, 0, 0, 0, 0, 0, 4, 0, 0]), read=1024)


async def _pair(context: CaseContext) -> tuple[Peer, Peer]:
    """Two registered initiators, 11 and 22, and nothing reserved."""
    context.own_node()
    one, two = await context.open_session(), await context.open_session()
    expect_equal(await _out(one, 6, 0, 11), 0)
    expect_equal(await _out(one, 3, 11), 0)
    for peer, key in ((one, 11), (two, 22)):
        expect_equal(await _out(peer, 6, 0, key), 0)
    return one, two


async def _clear(one: Peer) -> None:
    await _out(one, 6, 0, 11)
    await _out(one, 3, 11)


def _reservations() -> None:
    for kind in (WE, EA, WE_RO, EA_RO, WE_AR, EA_AR):
        for who in ("holder", "registrant", "other"):
            for what in ("read", "write"):

                @case(f"reserve.type-{kind}.{who}.{what}", "SPC-4 5.13 table 59")
                async def _(context: CaseContext, kind: int = kind, who: str = who, what: str = what) -> None:
                    one, two = await _pair(context)
                    expect_equal(await _out(one, 1, 11, kind=kind), 0)
                    peer = {"holder": one, "registrant": two}.get(who) or await context.open_session()
                    writes_only, registrants = kind in (WE, WE_RO, WE_AR), kind >= WE_RO
                    allowed = (
                        who == "holder"
                        or (who == "registrant" and registrants)
                        or (what == "read" and writes_only)
                    )
                    if what == "read":
                        status = (await peer.execute(read10(0, 512), read=512))[0]
                    else:
                        status = (await peer.execute(write10(0, 512), data=bytes(512)))[0]
                    await _clear(one)
                    expect_equal(status, 0 if allowed else CONFLICT)

        @case(f"reserve.type-{kind}.read-reservation", "SPC-4 6.15.3")
        async def _(context: CaseContext, kind: int = kind) -> None:
            one, _ = await _pair(context)
            expect_equal(await _out(one, 1, 11, kind=kind), 0)
            data = await _in(one, 1)
            await _clear(one)
            expect_equal((struct.unpack(">Q", data[8:16])[0], data[21]), (0 if kind >= WE_AR else 11, kind))

        @case(f"reserve.type-{kind}.release", "SPC-4 5.13.11.2")
        async def _(context: CaseContext, kind: int = kind) -> None:
            one, two = await _pair(context)
            expect_equal(await _out(one, 1, 11, kind=kind), 0)
            expect_equal(await _out(one, 2, 11, kind=kind), 0)
            expect_equal((await _in(one, 1))[4:8], bytes(4), "a reservation is left")
            if kind >= WE_RO:
                await two.expect_sense(TUR, 0x06, 0x2A, 0x04)
            await two.expect_good(write10(0, 512), data=bytes(512))
            await _clear(one)

        @case(f"reserve.type-{kind}.preempt", "SPC-4 5.13.11.4")
        async def _(context: CaseContext, kind: int = kind) -> None:
            one, two = await _pair(context)
            expect_equal(await _out(one, 1, 11, kind=kind), 0)
            expect_equal(await _out(two, 4, 22, 0 if kind >= WE_AR else 11, kind=kind), 0)
            data = await _in(two, 1)
            keys = await _in(two, 0)
            await one.expect_sense(TUR, 0x06, 0x2A, 0x05)
            expect_equal(await _out(two, 3, 22), 0)
            expect_equal((data[21], keys[8:16]), (kind, struct.pack(">Q", 22)))


_reservations()


@case("reserve.keys", "SPC-4 6.15.2")
async def _keys(context: CaseContext) -> None:
    one, two = await _pair(context)
    data = await _in(one, 0)
    expect_equal(struct.unpack(">IQQ", data[4:]), (16, 11, 22))
    expect_equal(await _out(two, 0, 22, 0), 0)
    after = await _in(one, 0)
    expect_equal(after[8:], struct.pack(">Q", 11))
    expect_equal(int.from_bytes(after[:4], "big"), int.from_bytes(data[:4], "big") + 1, "the generation")
    await _clear(one)


@case("reserve.register-wrong-key", "SPC-4 5.13.7")
async def _wrong_key(context: CaseContext) -> None:
    one, _ = await _pair(context)
    expect_equal(await _out(one, 0, 99, 12), CONFLICT)
    expect_equal(await _out(one, 1, 99, kind=WE), CONFLICT)
    await _clear(one)


@case("reserve.not-registered", "SPC-4 5.13.9")
async def _not_registered(context: CaseContext) -> None:
    context.own_node()
    expect_equal(await _out(await context.open_session(), 1, 0, kind=WE), CONFLICT)


@case("reserve.held-by-another", "SPC-4 5.13.9")
async def _held(context: CaseContext) -> None:
    one, two = await _pair(context)
    expect_equal(await _out(one, 1, 11, kind=WE), 0)
    expect_equal(
        (await _out(two, 1, 22, kind=WE), await _out(one, 1, 11, kind=EA), await _out(one, 1, 11, kind=WE)),
        (CONFLICT, CONFLICT, 0),
    )
    await _clear(one)


@case("reserve.release-of-another-type", "SPC-4 5.13.11.2")
async def _other_type(context: CaseContext) -> None:
    one, _ = await _pair(context)
    expect_equal(await _out(one, 1, 11, kind=WE), 0)
    await one.expect_sense(
        bytes([0x5F, 2, EA, 0, 0, 0, 0, 0, 24, 0]), 0x05, 0x26, 0x04, data=struct.pack(">QQ8x", 11, 0)
    )
    await _clear(one)


@case("reserve.clear-is-told", "SPC-4 5.13.11.5")
async def _clear_told(context: CaseContext) -> None:
    one, two = await _pair(context)
    expect_equal(await _out(one, 3, 11), 0)
    await two.expect_sense(TUR, 0x06, 0x2A, 0x03)
    expect_equal(len(await _in(one, 0)), 8)


@case("reserve.outlives-a-session", "SPC-4 5.13.1")
async def _outlives(context: CaseContext) -> None:
    """The registration belongs to the initiator port, and is there when it logs in again."""
    one, _ = await _pair(context)
    expect_equal(await _out(one, 1, 11, kind=EA), 0)
    one.close(reset=True)
    again = await context.connect(isid=one.isid)
    await again.login()
    status = (await again.execute(write10(0, 512), data=bytes(512)))[0]
    await _clear(again)
    expect_equal(status, 0)


@case("reserve.full-status", "SPC-4 6.15.5")
async def _full(context: CaseContext) -> None:
    one, _ = await _pair(context)
    expect_equal(await _out(one, 1, 11, kind=WE), 0)
    data = await _in(one, 3)
    await _clear(one)
    expect_equal(int.from_bytes(data[4:8], "big") + 8, len(data))
    expect_equal(
        (struct.unpack(">Q", data[8:16])[0], data[20] & 1, data[21]), (11, 1, WE), "key, holder, type"
    )


@case("reserve.capabilities", "SPC-4 6.15.4")
async def _capabilities(context: CaseContext) -> None:
    context.own_node()
    data = await _in(await context.open_session(), 2)
    expect_equal((data[:2], data[2] & 1, data[4:6]), (b"\0\x08", 0, b"\xea\x01"))


@case("reserve.no-power-loss", "SPC-4 6.16.3")
async def _aptpl(context: CaseContext) -> None:
    context.own_node()
    await (await context.open_session()).expect_sense(
        bytes([0x5F, 6, 0, 0, 0, 0, 0, 0, 24, 0]), 0x05, 0x26, data=struct.pack(">QQ4xBxxx", 0, 1, 1)
    )


@case("reserve.parameter-length", "SPC-4 6.16.2")
async def _length(context: CaseContext) -> None:
    context.own_node()
    await (await context.open_session()).expect_sense(
        bytes([0x5F, 6, 0, 0, 0, 0, 0, 0, 8, 0]), 0x05, 0x1A, data=bytes(8)
    )


@case("reserve.exempt-commands", "SPC-4 5.13 table 59")
async def _exempt(context: CaseContext) -> None:
    one, two = await _pair(context)
    expect_equal(await _out(one, 1, 11, kind=EA), 0)
    ends = [
        (await two.execute(cdb, read=read))[0]
        for cdb, read in (
            (TUR, 0),
            (inquiry(), 255),
            (b"\x03\0\0\0\xfc\0", 252),
            (b"\x25" + bytes(9), 8),
            (b"\xa0" + bytes(5) + b"\0\0\1\0\0\0", 256),
        )
    ]
    modes = (await two.execute(b"\x1a\x08\x3f\0\xff\0", read=255))[0]
    await _clear(one)
    expect_equal((ends, modes), ([0] * 5, CONFLICT))

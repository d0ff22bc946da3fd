"""Data either way, and recovery within a command, a connection and across connections (RFC 7143, 4.2.5 and
7).
"""

from __future__ import annotations

import asyncio
import struct

from lemonridge.iscsi.pdu import FINAL, RESERVED_TAG, Op, Pdu, pack_lun
from lemonridge.lab.conform.cases import CaseContext, SkipError, case
from lemonridge.lab.conform.peer import Peer, expect, expect_equal

LENGTHS = (512, 1024, 4096, 65536, 131072)
LEVELS = ("0", "1", "2")


def read10(block: int, length: int) -> bytes:
    return struct.pack(">BBIBHB", 0x28, 0, block, 0, length // 512, 0)


def write10(block: int, length: int) -> bytes:
    return struct.pack(">BBIBHB", 0x2A, 0, block, 0, length // 512, 0)


def _bytes(context: CaseContext, length: int) -> bytes:
    return context.random.randbytes(length)


async def _ask(peer: Peer, tag: int) -> Pdu:
    pdu = await peer.receive(Op.R2T)
    expect_equal(pdu.tag, tag, "task tag")
    expect(pdu.words[0] != RESERVED_TAG, "an R2T without a transfer tag")
    return pdu


async def _serve(peer: Peer, tag: int, data: bytes, segment: int = 8192) -> list[tuple[int, int]]:
    """Send what R2Ts ask for until the status comes; the ranges that were asked for."""
    asked: list[tuple[int, int]] = []
    while True:
        pdu = await peer.receive()
        if pdu.opcode == Op.SCSI_RESPONSE:
            expect_equal((pdu.tag, pdu.byte3), (tag, 0), "tag and status")
            return asked
        expect_equal((pdu.opcode, pdu.tag), (Op.R2T, tag), "opcode and tag")
        expect_equal(pdu.words[4], len(asked), "R2TSN")
        start, length = pdu.words[5:7]
        asked.append((start, length))
        for count, at in enumerate(range(start, start + length, segment)):
            end = min(at + segment, start + length)
            peer.send_data_out(tag, pdu.words[0], count, at, data[at:end], end == start + length)


# Writes


def _writes() -> None:
    for length in LENGTHS:
        for r2t in ("Yes", "No"):
            for immediate in ("Yes", "No"):

                @case(f"write.{length}.initial-r2t-{r2t}.immediate-{immediate}", "4.2.5.2")
                async def _(
                    context: CaseContext, length: int = length, r2t: str = r2t, immediate: str = immediate
                ) -> None:
                    """In every way that was agreed on; what was written is read back."""
                    peer = await context.open_session(
                        InitialR2T=r2t,
                        ImmediateData=immediate,
                        FirstBurstLength="16384",
                        MaxBurstLength="32768",
                    )
                    data = _bytes(context, length)
                    along = min(length, 4096) if peer.negotiated["ImmediateData"] == "Yes" else 0
                    more = peer.negotiated["InitialR2T"] == "No" and along < min(length, 16384)
                    tag = peer.send_command(write10(8, length), data=data, along=along, final=not more)
                    if more:
                        end = min(length, 16384)
                        for count, at in enumerate(range(along, end, 4096)):
                            peer.send_data_out(
                                tag, RESERVED_TAG, count, at, data[at : min(at + 4096, end)], at + 4096 >= end
                            )
                    first = min(length, 16384) if more else along
                    asked = await _serve(peer, tag, data)
                    expect(all(one <= 32768 for _, one in asked), "an R2T past MaxBurstLength")
                    expect_equal(sum(one for _, one in asked), length - first, "bytes asked for")
                    expect_equal(
                        await peer.expect_good(read10(8, length), read=length), data, "what was read"
                    )


_writes()


@case("write.several-r2ts", "13.17")
async def _several(context: CaseContext) -> None:
    peer = await context.open_session(
        MaxOutstandingR2T="4", MaxBurstLength="4096", InitialR2T="Yes", ImmediateData="No"
    )
    if peer.negotiated["MaxOutstandingR2T"] == "1":
        raise SkipError("the target has one R2T out at a time")
    data = _bytes(context, 16384)
    tag = peer.send_command(write10(0, 16384), data=data, along=0)
    asked = [await _ask(peer, tag) for _ in range(int(peer.negotiated["MaxOutstandingR2T"]))]
    expect_equal(len({pdu.words[0] for pdu in asked}), len(asked), "transfer tags")
    for pdu in asked:
        start, length = pdu.words[5:7]
        peer.send_data_out(tag, pdu.words[0], 0, start, data[start : start + length])
    if len(asked) < 4:
        await _serve(peer, tag, data)
    else:
        expect_equal((await peer.receive(Op.SCSI_RESPONSE)).byte3, 0)
    expect_equal(await peer.expect_good(read10(0, 16384), read=16384), data)


@case("write.r2ts-answered-in-any-order", "11.8")
async def _any_order(context: CaseContext) -> None:
    peer = await context.open_session(
        MaxOutstandingR2T="2", MaxBurstLength="4096", InitialR2T="Yes", ImmediateData="No"
    )
    if peer.negotiated["MaxOutstandingR2T"] != "2":
        raise SkipError("the target has one R2T out at a time")
    data = _bytes(context, 8192)
    tag = peer.send_command(write10(0, 8192), data=data, along=0)
    asked = [await _ask(peer, tag), await _ask(peer, tag)]
    for pdu in reversed(asked):
        start, length = pdu.words[5:7]
        peer.send_data_out(tag, pdu.words[0], 0, start, data[start : start + length])
    expect_equal((await peer.receive(Op.SCSI_RESPONSE)).byte3, 0)
    expect_equal(await peer.expect_good(read10(0, 8192), read=8192), data)


def _broken() -> None:
    breaches = {
        "unknown-transfer-tag": (1000, 0, 0, 512, True),
        "wrong-data-sn": (0, 1, 0, 512, True),
        "wrong-offset": (0, 0, 512, 512, True),
        "past-the-burst": (0, 0, 0, 1024, True),
        "too-little": (0, 0, 0, 100, True),
    }
    for name, (shift, data_sn, offset, length, final) in breaches.items():

        @case(f"write.broken.{name}", "11.7")
        async def _(
            context: CaseContext,
            shift: int = shift,
            data_sn: int = data_sn,
            offset: int = offset,
            length: int = length,
            final: bool = final,
        ) -> None:
            """At recovery level 0 a breach ends the session; nothing of the write runs."""
            peer = await context.open_session(InitialR2T="Yes", ImmediateData="No", ErrorRecoveryLevel="0")
            before = len(context.node.command_start_times) if context.node else 0
            tag = peer.send_command(write10(0, 512), data=bytes(512), along=0)
            pdu = await _ask(peer, tag)
            peer.send_data_out(tag, pdu.words[0] + shift, data_sn, offset, bytes(length), final)
            await peer.expect_reject(0x04)
            await peer.expect_close()
            if context.node:
                expect_equal(len(context.node.command_start_times), before, "commands at the node")


_broken()


@case("write.immediate-not-agreed", "13.11")
async def _not_agreed(context: CaseContext) -> None:
    peer = await context.open_session(ImmediateData="No")
    peer.send_command(write10(0, 512), data=bytes(512))
    await peer.expect_reject(0x04)


@case("write.unsolicited-not-agreed", "13.10")
async def _unsolicited(context: CaseContext) -> None:
    peer = await context.open_session(InitialR2T="Yes")
    peer.send_command(write10(0, 1024), data=bytes(1024), along=0, final=False)
    await peer.expect_reject(0x04)


@case("write.immediate-past-the-first-burst", "13.14")
async def _past_first(context: CaseContext) -> None:
    peer = await context.open_session(FirstBurstLength="512", ImmediateData="Yes")
    peer.send_command(write10(0, 1024), data=bytes(1024))
    await peer.expect_reject(0x04)


@case("write.short-unsolicited-data", "11.7")
async def _short(context: CaseContext) -> None:
    """Fewer unsolicited data than could come: the rest is asked for."""
    peer = await context.open_session(InitialR2T="No", ImmediateData="No", FirstBurstLength="8192")
    if peer.negotiated["InitialR2T"] != "No":
        raise SkipError("the target wants R2Ts")
    data = _bytes(context, 4096)
    tag = peer.send_command(write10(0, 4096), data=data, along=0, final=False)
    peer.send_data_out(tag, RESERVED_TAG, 0, 0, data[:1024])
    expect_equal(await _serve(peer, tag, data), [(1024, 3072)])


@case("write.data-do-not-come", "4.2.5")
async def _absent(context: CaseContext) -> None:
    """The command ends by its deadline and never ran."""
    context.own_node()
    peer = await context.open_session(InitialR2T="Yes", ImmediateData="No", ErrorRecoveryLevel="0")
    before = len(context.own_node().command_start_times)
    tag = peer.send_command(write10(0, 512), data=bytes(512), along=0)
    await _ask(peer, tag)
    response = await peer.receive(Op.SCSI_RESPONSE)
    expect_equal((response.byte3, response.data[4]), (2, 0x0B), "status and sense key")
    expect_equal(len(context.own_node().command_start_times), before)


# Reads


def _reads() -> None:
    for length in LENGTHS:
        for segment in (512, 8192, 65536):

            @case(f"read.{length}.segment-{segment}", "11.7")
            async def _(context: CaseContext, length: int = length, segment: int = segment) -> None:
                peer = await context.open_session(
                    MaxRecvDataSegmentLength=str(segment), MaxBurstLength="16384"
                )
                tag = peer.send_command(read10(0, length), read=length)
                at, burst, parts = 0, 0, 0
                while True:
                    pdu = await peer.receive()
                    if pdu.opcode == Op.SCSI_RESPONSE:
                        break
                    expect_equal((pdu.opcode, pdu.tag), (Op.DATA_IN, tag))
                    expect_equal((pdu.words[4], pdu.words[5]), (parts, at), "DataSN and offset")
                    expect(0 < len(pdu.data) <= segment, "a segment of the wrong length")
                    at, burst, parts = at + len(pdu.data), burst + len(pdu.data), parts + 1
                    expect(burst <= 16384, "a burst past MaxBurstLength")
                    if pdu.flags & FINAL:
                        burst = 0
                expect_equal(
                    (at, burst, pdu.byte3, pdu.words[4]),
                    (length, 0, 0, parts),
                    "length, end, status, ExpDataSN",
                )


_reads()


def _residuals() -> None:
    for name, expected, flag, residual in (("underflow", 1024, 0x02, 512), ("exact", 512, 0, 0)):

        @case(f"read.residual.{name}", "11.4.5")
        async def _(
            context: CaseContext, expected: int = expected, flag: int = flag, residual: int = residual
        ) -> None:
            peer = await context.open_session()
            response, data = await peer.receive_response(peer.send_command(read10(0, 512), read=expected))
            expect_equal((response.flags & 0x06, response.words[6], len(data)), (flag, residual, 512))


_residuals()


@case("read.no-data", "11.7")
async def _no_data(context: CaseContext) -> None:
    peer = await context.open_session()
    response, data = await peer.receive_response(peer.send_command(read10(0, 0)))
    expect_equal((response.byte3, data), (0, b""))


@case("read.bidirectional", "11.2.1.1")
async def _bidirectional(context: CaseContext) -> None:
    peer = await context.open_session()
    tag = next(peer.tags)
    words = list(struct.unpack(">4I", read10(0, 512).ljust(16, b"\0")))
    peer.send(
        Pdu(
            Op.SCSI_COMMAND,
            FINAL | 0x60,
            lun=pack_lun(0),
            tag=tag,
            words=[512, 0, 0, *words],
            data=bytes(512),
        )
    )
    response = await peer.receive(Op.SCSI_RESPONSE)
    expect_equal((response.byte3, response.data[4]), (2, 0x05))


# Recovery


async def _level(context: CaseContext, level: str, **keys: str) -> Peer:
    peer = await context.open_session(ErrorRecoveryLevel=level, **keys)
    if peer.negotiated["ErrorRecoveryLevel"] != level:
        raise SkipError(f"the target has level {peer.negotiated['ErrorRecoveryLevel']}")
    return peer


async def _snack(peer: Peer, kind: int, tag: int, first: int, run: int) -> None:
    peer.send(
        Pdu(Op.SNACK, FINAL | kind, tag=tag, words=[RESERVED_TAG, 0, 0, 0, 0, first, run]), number=False
    )


@case("recover.level-0-knows-no-snack", "11.16")
async def _level_0(context: CaseContext) -> None:
    peer = await context.open_session(ErrorRecoveryLevel="0")
    await _snack(peer, 1, RESERVED_TAG, 1, 1)
    await peer.expect_reject(0x04)
    await peer.expect_close()


def _recoveries() -> None:
    for level in LEVELS[1:]:

        @case(f"recover.data-snack.level-{level}", "7.2")
        async def _(context: CaseContext, level: str = level) -> None:
            """Data-In PDUs that were missed come again, and no others."""
            peer = await _level(context, level, MaxRecvDataSegmentLength="512")
            data = _bytes(context, 4096)
            await peer.expect_good(write10(0, 4096), data=data)
            before = peer.exp_stat_sn
            tag = peer.send_command(read10(0, 4096), read=4096)
            _, found = await peer.receive_response(tag)
            expect_equal(found, data)
            peer.exp_stat_sn = before  # the status is not acknowledged
            await _snack(peer, 0, tag, 2, 3)
            for number in (2, 3, 4):
                pdu = await peer.receive(Op.DATA_IN)
                expect_equal((pdu.words[4], pdu.data), (number, data[number * 512 : number * 512 + 512]))
            await peer.expect_silence()

        @case(f"recover.status-snack.level-{level}", "7.3")
        async def _(context: CaseContext, level: str = level) -> None:
            peer = await _level(context, level)
            first = peer.exp_stat_sn
            tags = []
            for _ in range(3):
                tags.append(peer.send_command(bytes(6)))
                peer.exp_stat_sn = 0
                await peer.receive(Op.SCSI_RESPONSE)
                peer.exp_stat_sn = first
            await _snack(peer, 1, RESERVED_TAG, first, 2)
            for number in (0, 1):
                peer.exp_stat_sn = 0
                pdu = await peer.receive(Op.SCSI_RESPONSE)
                expect_equal((pdu.words[1], pdu.tag, pdu.byte3), (first + number, tags[number], 0))

        @case(f"recover.status-snack-of-what-was-acknowledged.level-{level}", "11.16")
        async def _(context: CaseContext, level: str = level) -> None:
            peer = await _level(context, level)
            first = peer.exp_stat_sn
            for _ in range(3):
                await peer.expect_good(bytes(6))
            await _snack(peer, 1, RESERVED_TAG, first, 1)
            await peer.expect_reject(0x03)

        @case(f"recover.data-snack-of-nothing.level-{level}", "11.16")
        async def _(context: CaseContext, level: str = level) -> None:
            peer = await _level(context, level)
            await _snack(peer, 0, 4711, 0, 1)
            await peer.expect_reject(0x03)

        @case(f"recover.command-again.level-{level}", "7.2.1")
        async def _(context: CaseContext, level: str = level) -> None:
            """A command that comes again under its number is not run again: it gets the status that it
            got.
            """
            node = context.own_node()
            peer = await _level(context, level)
            before, first = len(node.command_start_times), peer.exp_stat_sn
            tag = peer.send_command(write10(0, 512), data=b"A" * 512)
            status = await peer.receive(Op.SCSI_RESPONSE)
            peer.exp_stat_sn, peer.cmd_sn = first, peer.cmd_sn - 1
            peer.send_command(write10(0, 512), data=b"A" * 512, tag=tag)
            again = await peer.receive(Op.SCSI_RESPONSE)
            expect_equal((again.words[1], again.tag, again.byte3), (status.words[1], tag, status.byte3))
            expect_equal(len(node.command_start_times), before + 1, "runs at the node")

        @case(f"recover.command-again-in-work.level-{level}", "7.2.1")
        async def _(context: CaseContext, level: str = level) -> None:
            node = context.own_node()
            node.delay_s = lambda: 0.1
            try:
                peer = await _level(context, level)
                before = len(node.command_start_times)
                tag = peer.send_command(read10(0, 512), read=512)
                peer.cmd_sn -= 1
                peer.send_command(read10(0, 512), read=512, tag=tag)
                expect_equal((await peer.receive_response(tag))[0].byte3, 0)
                await peer.expect_silence()
                expect_equal(len(node.command_start_times), before + 1, "runs at the node")
            finally:
                node.delay_s = lambda: 0.0

        @case(f"recover.r2t-for-what-was-lost.level-{level}", "7.2")
        async def _(context: CaseContext, level: str = level) -> None:
            """A Data-Out PDU of a burst is lost: it is asked for again, and nothing else."""
            peer = await _level(context, level, InitialR2T="Yes", ImmediateData="No")
            data = _bytes(context, 4096)
            tag = peer.send_command(write10(0, 4096), data=data, along=0)
            pdu = await _ask(peer, tag)
            for number in (0, 1, 3):
                peer.send_data_out(
                    tag,
                    pdu.words[0],
                    number,
                    number * 1024,
                    data[number * 1024 : number * 1024 + 1024],
                    number == 3,
                )
            again = await _ask(peer, tag)
            expect_equal(again.words[5:7], [2048, 1024], "what is asked for again")
            peer.send_data_out(tag, again.words[0], 0, 2048, data[2048:3072])
            expect_equal((await peer.receive(Op.SCSI_RESPONSE)).byte3, 0)
            expect_equal(await peer.expect_good(read10(0, 4096), read=4096), data)

        @case(f"recover.last-data-lost.level-{level}", "7.2")
        async def _(context: CaseContext, level: str = level) -> None:
            """The PDU with the final bit is lost: after a while the rest is asked for."""
            peer = await _level(context, level, InitialR2T="Yes", ImmediateData="No")
            data = _bytes(context, 2048)
            tag = peer.send_command(write10(0, 2048), data=data, along=0)
            pdu = await _ask(peer, tag)
            peer.send_data_out(tag, pdu.words[0], 0, 0, data[:1024], False)
            again = await _ask(peer, tag)
            expect_equal(again.words[5:7], [1024, 1024])
            peer.send_data_out(tag, again.words[0], 0, 1024, data[1024:])
            expect_equal((await peer.receive(Op.SCSI_RESPONSE)).byte3, 0)

        @case(f"recover.data-digest.level-{level}", "7.8")
        async def _(context: CaseContext, level: str = level) -> None:
            """A spoilt Data-Out PDU is rejected and asked for again."""
            peer = await _level(context, level, InitialR2T="Yes", ImmediateData="No", DataDigest="CRC32C")
            data = _bytes(context, 512)
            tag = peer.send_command(write10(0, 512), data=data, along=0)
            pdu = await _ask(peer, tag)
            out = Pdu(
                Op.DATA_OUT, FINAL, tag=tag, data=data, words=[pdu.words[0], 0, peer.exp_stat_sn, 0, 0, 0, 0]
            )
            raw = bytearray(out.encode(False, True))
            raw[100] ^= 1
            peer.send_bytes(bytes(raw))
            await peer.expect_reject(0x02)
            again = await _ask(peer, tag)
            peer.send_data_out(tag, again.words[0], 0, 0, data)
            expect_equal((await peer.receive(Op.SCSI_RESPONSE)).byte3, 0)
            expect_equal(await peer.expect_good(read10(0, 512), read=512), data)

        @case(f"recover.acknowledged-is-released.level-{level}", "4.2.2.2")
        async def _(context: CaseContext, level: str = level) -> None:
            """Many commands, each acknowledged by the next: the window never closes."""
            peer = await _level(context, level)
            for _ in range(300):
                await peer.expect_good(bytes(6))


_recoveries()


async def _again(context: CaseContext, peer: Peer) -> Peer:
    """The session's connection is cut, and made anew under the same CID."""
    peer.close(reset=True)
    made = await context.connect(isid=peer.isid)
    made.tsih, made.cid, made.cmd_sn = peer.tsih, peer.cid, peer.cmd_sn
    return await made.login()


async def _reassign(peer: Peer, tag: int, expected: int = 0) -> int:
    peer.send(
        Pdu(Op.TASK_MANAGEMENT, FINAL | 8, tag=6000, immediate=True, words=[tag, 0, 0, 0, expected, 0, 0])
    )
    return (await peer.receive(Op.TASK_MANAGEMENT_RESPONSE)).byte2


@case("reassign.read-in-work", "7.4")
async def _reassign_read(context: CaseContext) -> None:
    """The connection is lost under a read: its end comes over the new one, and it ran once."""
    node = context.own_node()
    node.delay_s = lambda: 0.15
    try:
        peer = await _level(context, "2")
        before = len(node.command_start_times)
        tag = peer.send_command(read10(0, 512), read=512)
        await peer.writer.drain()
        await asyncio.sleep(0.05)
        peer = await _again(context, peer)
        expect_equal(await _reassign(peer, tag), 0)
        response, data = await peer.receive_response(tag)
        expect_equal((response.byte3, len(data), len(node.command_start_times)), (0, 512, before + 1))
    finally:
        node.delay_s = lambda: 0.0


@case("reassign.write-that-ended", "7.4")
async def _reassign_write(context: CaseContext) -> None:
    """The write ended while there was no connection: its status was kept, and it is not run again."""
    node = context.own_node()
    peer = await _level(context, "2")
    before = len(node.log)
    tag = peer.send_command(write10(0, 512), data=b"R" * 512)
    await peer.writer.drain()
    async with asyncio.timeout_at(asyncio.get_running_loop().time() + 4):
        while len(node.log) == before:
            await asyncio.sleep(0.005)
    peer = await _again(context, peer)
    expect_equal(await _reassign(peer, tag), 0)
    expect_equal((await peer.receive_response(tag))[0].byte3, 0)
    expect_equal(len(node.log), before + 1, "runs at the node")
    expect_equal(await peer.expect_good(read10(0, 512), read=512), b"R" * 512)


@case("reassign.write-without-its-data", "7.4")
async def _reassign_data(context: CaseContext) -> None:
    """The connection is lost between an R2T and its data: they are asked for on the new one."""
    peer = await _level(context, "2", InitialR2T="Yes", ImmediateData="No")
    data = _bytes(context, 512)
    tag = peer.send_command(write10(0, 512), data=data, along=0)
    await _ask(peer, tag)
    peer = await _again(context, peer)
    expect_equal(await _reassign(peer, tag), 0)
    pdu = await _ask(peer, tag)
    peer.send_data_out(tag, pdu.words[0], 0, pdu.words[5], data[pdu.words[5] : pdu.words[5] + pdu.words[6]])
    expect_equal((await peer.receive(Op.SCSI_RESPONSE)).byte3, 0)
    expect_equal(await peer.expect_good(read10(0, 512), read=512), data)


@case("reassign.from-a-data-number-on", "7.4")
async def _reassign_from(context: CaseContext) -> None:
    peer = await _level(context, "2", MaxRecvDataSegmentLength="512")
    data = _bytes(context, 2048)
    await peer.expect_good(write10(0, 2048), data=data)
    tag = peer.send_command(read10(0, 2048), read=2048)
    for _ in range(2):
        await peer.receive(Op.DATA_IN)
    await asyncio.sleep(0.05)
    peer.close(reset=True)
    made = await context.connect(isid=peer.isid)
    made.tsih, made.cmd_sn = peer.tsih, peer.cmd_sn
    await made.login(MaxRecvDataSegmentLength="512")
    expect_equal(await _reassign(made, tag, 2), 0)
    for number in (2, 3):
        pdu = await made.receive(Op.DATA_IN)
        expect_equal((pdu.words[4], pdu.data), (number, data[number * 512 : number * 512 + 512]))
    expect_equal((await made.receive(Op.SCSI_RESPONSE)).byte3, 0)


@case("reassign.still-allegiant", "11.6.1")
async def _allegiant(context: CaseContext) -> None:
    node = context.own_node()
    node.delay_s = lambda: 0.1
    try:
        peer = await _level(context, "2")
        tag = peer.send_command(read10(0, 512), read=512)
        expect_equal(await _reassign(peer, tag), 3)
        expect_equal((await peer.receive_response(tag))[0].byte3, 0)
    finally:
        node.delay_s = lambda: 0.0


@case("reassign.after-logout-for-recovery", "11.14")
async def _for_recovery(context: CaseContext) -> None:
    """Another connection gives the lost one up, and takes its command over."""
    node = context.own_node()
    node.delay_s = lambda: 0.15
    try:
        one = await _level(context, "2", MaxConnections="2")
        two = await context.connect(isid=one.isid)
        two.tsih, two.cid, two.cmd_sn = one.tsih, 1, one.cmd_sn
        await two.login()
        tag = two.send_command(read10(0, 512), read=512)
        one.cmd_sn = two.cmd_sn
        await asyncio.sleep(0.03)
        one.send(Pdu(Op.LOGOUT, FINAL | 2, tag=4, words=[1 << 16, 0, 0, 0, 0, 0, 0]))
        expect_equal((await one.receive(Op.LOGOUT_RESPONSE)).byte2, 0)
        expect_equal(await _reassign(one, tag), 0)
        expect_equal((await one.receive_response(tag))[0].byte3, 0)
    finally:
        node.delay_s = lambda: 0.0


@case("reassign.too-late", "13.16")
async def _too_late(context: CaseContext) -> None:
    """After Time2Wait and Time2Retain nothing is left of the session."""
    peer = await _level(context, "2", DefaultTime2Wait="0", DefaultTime2Retain="1")
    wait = int(peer.negotiated["DefaultTime2Wait"]) + int(peer.negotiated["DefaultTime2Retain"])
    if wait > 3:
        raise SkipError(f"the target retains for {wait} s")
    peer.close(reset=True)
    await asyncio.sleep(wait + 0.3)
    made = await context.connect(isid=peer.isid)
    made.tsih = peer.tsih
    expect_equal((await made.login_step(FINAL | 1 << 2 | 3, made.login_keys())).words[4] >> 16, 0x020A)

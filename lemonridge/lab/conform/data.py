"""Cases of data transfer and error recovery (RFC 7143, section 4.2.5 and chapter 7).

Recovery covers a command, a connection and the reassignment of commands between connections.
"""

from __future__ import annotations

import asyncio
import struct

from lemonridge.iscsi.pdu import FINAL, RESERVED_TAG, Op, Pdu, pack_lun
from lemonridge.lab.conform.cases import CaseContext, SkipError, case
from lemonridge.lab.conform.peer import Peer, expect, expect_equal

TRANSFER_LENGTHS = (512, 1024, 4096, 65536, 131072)  # bytes
RECOVERY_LEVELS = ("0", "1", "2")


def read10(block: int, length: int) -> bytes:
    """Returns the CDB of a READ (10) of `length` bytes, a multiple of 512, from a block on."""
    return struct.pack(">BBIBHB", 0x28, 0, block, 0, length // 512, 0)


def write10(block: int, length: int) -> bytes:
    """Returns the CDB of a WRITE (10) of `length` bytes, a multiple of 512, from a block on."""
    return struct.pack(">BBIBHB", 0x2A, 0, block, 0, length // 512, 0)


def _random_bytes(context: CaseContext, length: int) -> bytes:
    """Returns random data of `length` bytes, the same for every run with the same seed."""
    return context.random.randbytes(length)


async def _receive_r2t(peer: Peer, tag: int) -> Pdu:
    """Receives an R2T of the task `tag` and returns it."""
    pdu = await peer.receive(Op.R2T)
    expect_equal(pdu.tag, tag, "task tag")
    expect(pdu.words[0] != RESERVED_TAG, "an R2T without a transfer tag")
    return pdu


async def _answer_r2ts(
    peer: Peer, tag: int, data: bytes, segment_length: int = 8192
) -> list[tuple[int, int]]:
    """Sends the data that R2Ts request until the status arrives.

    Args:
        peer: The connection.
        tag: Task tag of the write.
        data: All data of the write.
        segment_length: Maximum length of a Data-Out segment, in bytes.

    Returns:
        Buffer offset and length of each R2T, in bytes.
    """
    requested_ranges: list[tuple[int, int]] = []
    while True:
        pdu = await peer.receive()
        if pdu.opcode == Op.SCSI_RESPONSE:
            expect_equal((pdu.tag, pdu.byte3), (tag, 0), "tag and status")
            return requested_ranges
        expect_equal((pdu.opcode, pdu.tag), (Op.R2T, tag), "opcode and tag")
        expect_equal(pdu.words[4], len(requested_ranges), "R2TSN")
        start, length = pdu.words[5:7]
        requested_ranges.append((start, length))
        for data_sn, offset in enumerate(range(start, start + length, segment_length)):
            end = min(offset + segment_length, start + length)
            peer.send_data_out(tag, pdu.words[0], data_sn, offset, data[offset:end], end == start + length)


# Writes


def _register_write_cases() -> None:
    for length in TRANSFER_LENGTHS:
        for r2t in ("Yes", "No"):
            for immediate in ("Yes", "No"):

                @case(f"write.{length}.initial-r2t-{r2t}.immediate-{immediate}", "4.2.5.2")
                async def _(
                    context: CaseContext, length: int = length, r2t: str = r2t, immediate: str = immediate
                ) -> None:
                    """A write delivers all its data in each negotiated way; a read returns the same data."""
                    peer = await context.open_session(
                        InitialR2T=r2t,
                        ImmediateData=immediate,
                        FirstBurstLength="16384",
                        MaxBurstLength="32768",
                    )
                    data = _random_bytes(context, length)
                    immediate_length = min(length, 4096) if peer.negotiated["ImmediateData"] == "Yes" else 0
                    has_unsolicited = peer.negotiated["InitialR2T"] == "No" and immediate_length < min(
                        length, 16384
                    )
                    tag = peer.send_command(
                        write10(8, length),
                        data=data,
                        immediate_length=immediate_length,
                        final=not has_unsolicited,
                    )
                    if has_unsolicited:
                        end = min(length, 16384)
                        for data_sn, offset in enumerate(range(immediate_length, end, 4096)):
                            peer.send_data_out(
                                tag,
                                RESERVED_TAG,
                                data_sn,
                                offset,
                                data[offset : min(offset + 4096, end)],
                                offset + 4096 >= end,
                            )
                    sent_length = min(length, 16384) if has_unsolicited else immediate_length
                    requested_ranges = await _answer_r2ts(peer, tag, data)
                    expect(
                        all(range_length <= 32768 for _, range_length in requested_ranges),
                        "an R2T past MaxBurstLength",
                    )
                    expect_equal(
                        sum(range_length for _, range_length in requested_ranges),
                        length - sent_length,
                        "bytes asked for",
                    )
                    expect_equal(
                        await peer.expect_good(read10(8, length), read=length), data, "what was read"
                    )


_register_write_cases()


@case("write.several-r2ts", "13.17")
async def _several_outstanding_r2ts(context: CaseContext) -> None:
    """The target sends MaxOutstandingR2T R2Ts at once, each with its own transfer tag."""
    peer = await context.open_session(
        MaxOutstandingR2T="4", MaxBurstLength="4096", InitialR2T="Yes", ImmediateData="No"
    )
    if peer.negotiated["MaxOutstandingR2T"] == "1":
        raise SkipError("the target has one R2T out at a time")
    data = _random_bytes(context, 16384)
    tag = peer.send_command(write10(0, 16384), data=data, immediate_length=0)
    r2ts = [await _receive_r2t(peer, tag) for _ in range(int(peer.negotiated["MaxOutstandingR2T"]))]
    expect_equal(len({pdu.words[0] for pdu in r2ts}), len(r2ts), "transfer tags")
    for pdu in r2ts:
        start, length = pdu.words[5:7]
        peer.send_data_out(tag, pdu.words[0], 0, start, data[start : start + length])
    if len(r2ts) < 4:
        await _answer_r2ts(peer, tag, data)
    else:
        expect_equal((await peer.receive(Op.SCSI_RESPONSE)).byte3, 0)
    expect_equal(await peer.expect_good(read10(0, 16384), read=16384), data)


@case("write.r2ts-answered-in-any-order", "11.8")
async def _r2ts_answered_in_reverse_order(context: CaseContext) -> None:
    """Outstanding R2Ts may be answered in any order."""
    peer = await context.open_session(
        MaxOutstandingR2T="2", MaxBurstLength="4096", InitialR2T="Yes", ImmediateData="No"
    )
    if peer.negotiated["MaxOutstandingR2T"] != "2":
        raise SkipError("the target has one R2T out at a time")
    data = _random_bytes(context, 8192)
    tag = peer.send_command(write10(0, 8192), data=data, immediate_length=0)
    r2ts = [await _receive_r2t(peer, tag), await _receive_r2t(peer, tag)]
    for pdu in reversed(r2ts):
        start, length = pdu.words[5:7]
        peer.send_data_out(tag, pdu.words[0], 0, start, data[start : start + length])
    expect_equal((await peer.receive(Op.SCSI_RESPONSE)).byte3, 0)
    expect_equal(await peer.expect_good(read10(0, 8192), read=8192), data)


def _register_violation_cases() -> None:
    # Difference from the R2T's transfer tag, DataSN, buffer offset, length, F bit.
    violations = {
        "unknown-transfer-tag": (1000, 0, 0, 512, True),
        "wrong-data-sn": (0, 1, 0, 512, True),
        "wrong-offset": (0, 0, 512, 512, True),
        "past-the-burst": (0, 0, 0, 1024, True),
        "too-little": (0, 0, 0, 100, True),
    }
    for name, (tag_offset, data_sn, offset, length, final) in violations.items():

        @case(f"write.broken.{name}", "11.7")
        async def _(
            context: CaseContext,
            tag_offset: int = tag_offset,
            data_sn: int = data_sn,
            offset: int = offset,
            length: int = length,
            final: bool = final,
        ) -> None:
            """At recovery level 0 a wrong Data-Out PDU ends the session, and the write is not executed."""
            peer = await context.open_session(InitialR2T="Yes", ImmediateData="No", ErrorRecoveryLevel="0")
            commands_before = len(context.node.command_start_times) if context.node else 0
            tag = peer.send_command(write10(0, 512), data=bytes(512), immediate_length=0)
            pdu = await _receive_r2t(peer, tag)
            peer.send_data_out(tag, pdu.words[0] + tag_offset, data_sn, offset, bytes(length), final)
            await peer.expect_reject(0x04)
            await peer.expect_close()
            if context.node:
                expect_equal(len(context.node.command_start_times), commands_before, "commands at the node")


_register_violation_cases()


@case("write.immediate-not-agreed", "13.11")
async def _immediate_data_without_agreement_is_rejected(context: CaseContext) -> None:
    """Immediate data are rejected if ImmediateData is No."""
    peer = await context.open_session(ImmediateData="No")
    peer.send_command(write10(0, 512), data=bytes(512))
    await peer.expect_reject(0x04)


@case("write.unsolicited-not-agreed", "13.10")
async def _unsolicited_data_without_agreement_is_rejected(context: CaseContext) -> None:
    """A command that announces unsolicited data is rejected if InitialR2T is Yes."""
    peer = await context.open_session(InitialR2T="Yes")
    peer.send_command(write10(0, 1024), data=bytes(1024), immediate_length=0, final=False)
    await peer.expect_reject(0x04)


@case("write.immediate-past-the-first-burst", "13.14")
async def _immediate_data_past_first_burst_is_rejected(context: CaseContext) -> None:
    """Immediate data longer than FirstBurstLength are rejected."""
    peer = await context.open_session(FirstBurstLength="512", ImmediateData="Yes")
    peer.send_command(write10(0, 1024), data=bytes(1024))
    await peer.expect_reject(0x04)


@case("write.short-unsolicited-data", "11.7")
async def _rest_of_short_unsolicited_data_is_requested(context: CaseContext) -> None:
    """If fewer unsolicited data arrive than permitted, the target requests the rest."""
    peer = await context.open_session(InitialR2T="No", ImmediateData="No", FirstBurstLength="8192")
    if peer.negotiated["InitialR2T"] != "No":
        raise SkipError("the target wants R2Ts")
    data = _random_bytes(context, 4096)
    tag = peer.send_command(write10(0, 4096), data=data, immediate_length=0, final=False)
    peer.send_data_out(tag, RESERVED_TAG, 0, 0, data[:1024])
    expect_equal(await _answer_r2ts(peer, tag, data), [(1024, 3072)])


@case("write.data-do-not-come", "4.2.5")
async def _write_without_data_fails_at_deadline(context: CaseContext) -> None:
    """A write whose data never arrive fails at its deadline and is not executed."""
    context.own_node()
    peer = await context.open_session(InitialR2T="Yes", ImmediateData="No", ErrorRecoveryLevel="0")
    commands_before = len(context.own_node().command_start_times)
    tag = peer.send_command(write10(0, 512), data=bytes(512), immediate_length=0)
    await _receive_r2t(peer, tag)
    response = await peer.receive(Op.SCSI_RESPONSE)
    expect_equal((response.byte3, response.data[4]), (2, 0x0B), "status and sense key")
    expect_equal(len(context.own_node().command_start_times), commands_before)


# Reads


def _register_read_cases() -> None:
    for length in TRANSFER_LENGTHS:
        for segment_length in (512, 8192, 65536):

            @case(f"read.{length}.segment-{segment_length}", "11.7")
            async def _(
                context: CaseContext, length: int = length, segment_length: int = segment_length
            ) -> None:
                """Data-In PDUs respect the segment and burst lengths and arrive in order."""
                peer = await context.open_session(
                    MaxRecvDataSegmentLength=str(segment_length), MaxBurstLength="16384"
                )
                tag = peer.send_command(read10(0, length), read=length)
                offset, burst_length, data_sn = 0, 0, 0
                while True:
                    pdu = await peer.receive()
                    if pdu.opcode == Op.SCSI_RESPONSE:
                        break
                    expect_equal((pdu.opcode, pdu.tag), (Op.DATA_IN, tag))
                    expect_equal((pdu.words[4], pdu.words[5]), (data_sn, offset), "DataSN and offset")
                    expect(0 < len(pdu.data) <= segment_length, "a segment of the wrong length")
                    offset, burst_length, data_sn = (
                        offset + len(pdu.data),
                        burst_length + len(pdu.data),
                        data_sn + 1,
                    )
                    expect(burst_length <= 16384, "a burst past MaxBurstLength")
                    if pdu.flags & FINAL:
                        burst_length = 0
                expect_equal(
                    (offset, burst_length, pdu.byte3, pdu.words[4]),
                    (length, 0, 0, data_sn),
                    "length, end, status, ExpDataSN",
                )


_register_read_cases()


def _register_residual_cases() -> None:
    for name, expected, flag, residual in (("underflow", 1024, 0x02, 512), ("exact", 512, 0, 0)):

        @case(f"read.residual.{name}", "11.4.5")
        async def _(
            context: CaseContext, expected: int = expected, flag: int = flag, residual: int = residual
        ) -> None:
            """The response states the underflow of the read, if there is one."""
            peer = await context.open_session()
            response, data = await peer.receive_response(peer.send_command(read10(0, 512), read=expected))
            expect_equal((response.flags & 0x06, response.words[6], len(data)), (flag, residual, 512))


_register_residual_cases()


@case("read.no-data", "11.7")
async def _read_of_zero_blocks(context: CaseContext) -> None:
    """A read of zero blocks succeeds without data."""
    peer = await context.open_session()
    response, data = await peer.receive_response(peer.send_command(read10(0, 0)))
    expect_equal((response.byte3, data), (0, b""))


@case("read.bidirectional", "11.2.1.1")
async def _bidirectional_command_is_refused(context: CaseContext) -> None:
    """A bidirectional command ends with ILLEGAL REQUEST."""
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


async def _open_session_at_level(context: CaseContext, level: str, **keys: str) -> Peer:
    """Opens a session with the given ErrorRecoveryLevel.

    Raises:
        SkipError: The target does not support the level.
    """
    peer = await context.open_session(ErrorRecoveryLevel=level, **keys)
    if peer.negotiated["ErrorRecoveryLevel"] != level:
        raise SkipError(f"the target has level {peer.negotiated['ErrorRecoveryLevel']}")
    return peer


async def _send_snack(peer: Peer, snack_type: int, tag: int, begin_run: int, run_length: int) -> None:
    """Sends a SNACK of type 0 (Data/R2T) or 1 (status) for `run_length` numbers from `begin_run` on."""
    peer.send(
        Pdu(Op.SNACK, FINAL | snack_type, tag=tag, words=[RESERVED_TAG, 0, 0, 0, 0, begin_run, run_length]),
        assign_numbers=False,
    )


@case("recover.level-0-knows-no-snack", "11.16")
async def _snack_at_level_0_closes_connection(context: CaseContext) -> None:
    """At recovery level 0 a SNACK is rejected and the connection closed."""
    peer = await context.open_session(ErrorRecoveryLevel="0")
    await _send_snack(peer, 1, RESERVED_TAG, 1, 1)
    await peer.expect_reject(0x04)
    await peer.expect_close()


def _register_recovery_cases() -> None:
    for level in RECOVERY_LEVELS[1:]:

        @case(f"recover.data-snack.level-{level}", "7.2")
        async def _(context: CaseContext, level: str = level) -> None:
            """A data SNACK is answered with the requested Data-In PDUs and no others."""
            peer = await _open_session_at_level(context, level, MaxRecvDataSegmentLength="512")
            data = _random_bytes(context, 4096)
            await peer.expect_good(write10(0, 4096), data=data)
            exp_stat_sn_before = peer.exp_stat_sn
            tag = peer.send_command(read10(0, 4096), read=4096)
            _, received = await peer.receive_response(tag)
            expect_equal(received, data)
            peer.exp_stat_sn = exp_stat_sn_before  # do not acknowledge the status
            await _send_snack(peer, 0, tag, 2, 3)
            for number in (2, 3, 4):
                pdu = await peer.receive(Op.DATA_IN)
                expect_equal((pdu.words[4], pdu.data), (number, data[number * 512 : number * 512 + 512]))
            await peer.expect_silence()

        @case(f"recover.status-snack.level-{level}", "7.3")
        async def _(context: CaseContext, level: str = level) -> None:
            """A status SNACK is answered with the requested responses under their old StatSNs."""
            peer = await _open_session_at_level(context, level)
            first_stat_sn = peer.exp_stat_sn
            tags = []
            for _ in range(3):
                tags.append(peer.send_command(bytes(6)))  # TEST UNIT READY
                peer.exp_stat_sn = 0
                await peer.receive(Op.SCSI_RESPONSE)
                peer.exp_stat_sn = first_stat_sn
            await _send_snack(peer, 1, RESERVED_TAG, first_stat_sn, 2)
            for number in (0, 1):
                peer.exp_stat_sn = 0
                pdu = await peer.receive(Op.SCSI_RESPONSE)
                expect_equal((pdu.words[1], pdu.tag, pdu.byte3), (first_stat_sn + number, tags[number], 0))

        @case(f"recover.status-snack-of-what-was-acknowledged.level-{level}", "11.16")
        async def _(context: CaseContext, level: str = level) -> None:
            """A status SNACK for an acknowledged StatSN is rejected."""
            peer = await _open_session_at_level(context, level)
            first_stat_sn = peer.exp_stat_sn
            for _ in range(3):
                await peer.expect_good(bytes(6))  # TEST UNIT READY
            await _send_snack(peer, 1, RESERVED_TAG, first_stat_sn, 1)
            await peer.expect_reject(0x03)

        @case(f"recover.data-snack-of-nothing.level-{level}", "11.16")
        async def _(context: CaseContext, level: str = level) -> None:
            """A data SNACK for an unknown task tag is rejected."""
            peer = await _open_session_at_level(context, level)
            await _send_snack(peer, 0, 4711, 0, 1)
            await peer.expect_reject(0x03)

        @case(f"recover.command-again.level-{level}", "7.2.1")
        async def _(context: CaseContext, level: str = level) -> None:
            """A command that is sent again under its CmdSN is not executed again.

            The target repeats the status of the first execution.
            """
            node = context.own_node()
            peer = await _open_session_at_level(context, level)
            commands_before, first_stat_sn = len(node.command_start_times), peer.exp_stat_sn
            tag = peer.send_command(write10(0, 512), data=b"A" * 512)
            status = await peer.receive(Op.SCSI_RESPONSE)
            peer.exp_stat_sn, peer.cmd_sn = first_stat_sn, peer.cmd_sn - 1
            peer.send_command(write10(0, 512), data=b"A" * 512, tag=tag)
            repeated = await peer.receive(Op.SCSI_RESPONSE)
            expect_equal(
                (repeated.words[1], repeated.tag, repeated.byte3), (status.words[1], tag, status.byte3)
            )
            expect_equal(len(node.command_start_times), commands_before + 1, "runs at the node")

        @case(f"recover.command-again-in-work.level-{level}", "7.2.1")
        async def _(context: CaseContext, level: str = level) -> None:
            """A command that is sent again while it is executing is executed and answered once."""
            node = context.own_node()
            node.delay_s = lambda: 0.1
            try:
                peer = await _open_session_at_level(context, level)
                commands_before = len(node.command_start_times)
                tag = peer.send_command(read10(0, 512), read=512)
                peer.cmd_sn -= 1
                peer.send_command(read10(0, 512), read=512, tag=tag)
                expect_equal((await peer.receive_response(tag))[0].byte3, 0)
                await peer.expect_silence()
                expect_equal(len(node.command_start_times), commands_before + 1, "runs at the node")
            finally:
                node.delay_s = lambda: 0.0

        @case(f"recover.r2t-for-what-was-lost.level-{level}", "7.2")
        async def _(context: CaseContext, level: str = level) -> None:
            """If one Data-Out PDU of a burst is lost, the target requests exactly its bytes again."""
            peer = await _open_session_at_level(context, level, InitialR2T="Yes", ImmediateData="No")
            data = _random_bytes(context, 4096)
            tag = peer.send_command(write10(0, 4096), data=data, immediate_length=0)
            pdu = await _receive_r2t(peer, tag)
            for number in (0, 1, 3):
                peer.send_data_out(
                    tag,
                    pdu.words[0],
                    number,
                    number * 1024,
                    data[number * 1024 : number * 1024 + 1024],
                    number == 3,
                )
            repeated = await _receive_r2t(peer, tag)
            expect_equal(repeated.words[5:7], [2048, 1024], "what is asked for again")
            peer.send_data_out(tag, repeated.words[0], 0, 2048, data[2048:3072])
            expect_equal((await peer.receive(Op.SCSI_RESPONSE)).byte3, 0)
            expect_equal(await peer.expect_good(read10(0, 4096), read=4096), data)

        @case(f"recover.last-data-lost.level-{level}", "7.2")
        async def _(context: CaseContext, level: str = level) -> None:
            """If the PDU with the F bit is lost, the target requests the missing bytes after a timeout."""
            peer = await _open_session_at_level(context, level, InitialR2T="Yes", ImmediateData="No")
            data = _random_bytes(context, 2048)
            tag = peer.send_command(write10(0, 2048), data=data, immediate_length=0)
            pdu = await _receive_r2t(peer, tag)
            peer.send_data_out(tag, pdu.words[0], 0, 0, data[:1024], False)
            repeated = await _receive_r2t(peer, tag)
            expect_equal(repeated.words[5:7], [1024, 1024])
            peer.send_data_out(tag, repeated.words[0], 0, 1024, data[1024:])
            expect_equal((await peer.receive(Op.SCSI_RESPONSE)).byte3, 0)

        @case(f"recover.data-digest.level-{level}", "7.8")
        async def _(context: CaseContext, level: str = level) -> None:
            """A Data-Out PDU with a wrong data digest is rejected and its bytes are requested again."""
            peer = await _open_session_at_level(
                context, level, InitialR2T="Yes", ImmediateData="No", DataDigest="CRC32C"
            )
            data = _random_bytes(context, 512)
            tag = peer.send_command(write10(0, 512), data=data, immediate_length=0)
            pdu = await _receive_r2t(peer, tag)
            data_out = Pdu(
                Op.DATA_OUT, FINAL, tag=tag, data=data, words=[pdu.words[0], 0, peer.exp_stat_sn, 0, 0, 0, 0]
            )
            encoded = bytearray(data_out.encode(False, True))
            encoded[100] ^= 1
            peer.send_bytes(bytes(encoded))
            await peer.expect_reject(0x02)
            repeated = await _receive_r2t(peer, tag)
            peer.send_data_out(tag, repeated.words[0], 0, 0, data)
            expect_equal((await peer.receive(Op.SCSI_RESPONSE)).byte3, 0)
            expect_equal(await peer.expect_good(read10(0, 512), read=512), data)

        @case(f"recover.acknowledged-is-released.level-{level}", "4.2.2.2")
        async def _(context: CaseContext, level: str = level) -> None:
            """Acknowledged statuses are released: the window stays open over many commands."""
            peer = await _open_session_at_level(context, level)
            for _ in range(300):
                await peer.expect_good(bytes(6))  # TEST UNIT READY


_register_recovery_cases()


async def _reconnect(context: CaseContext, peer: Peer) -> Peer:
    """Resets the session's connection and logs in again under the same CID."""
    peer.close(reset=True)
    replacement = await context.connect(isid=peer.isid)
    replacement.tsih, replacement.cid, replacement.cmd_sn = peer.tsih, peer.cid, peer.cmd_sn
    return await replacement.login()


async def _reassign_task(peer: Peer, tag: int, exp_data_sn: int = 0) -> int:
    """Sends TASK REASSIGN for the task `tag` and returns the response code."""
    peer.send(
        Pdu(Op.TASK_MANAGEMENT, FINAL | 8, tag=6000, immediate=True, words=[tag, 0, 0, 0, exp_data_sn, 0, 0])
    )
    return (await peer.receive(Op.TASK_MANAGEMENT_RESPONSE)).byte2


@case("reassign.read-in-work", "7.4")
async def _reassigned_read_executes_once(context: CaseContext) -> None:
    """A read whose connection is lost completes on the new connection and is executed once."""
    node = context.own_node()
    node.delay_s = lambda: 0.15
    try:
        peer = await _open_session_at_level(context, "2")
        commands_before = len(node.command_start_times)
        tag = peer.send_command(read10(0, 512), read=512)
        await peer.writer.drain()
        await asyncio.sleep(0.05)
        peer = await _reconnect(context, peer)
        expect_equal(await _reassign_task(peer, tag), 0)
        response, data = await peer.receive_response(tag)
        expect_equal(
            (response.byte3, len(data), len(node.command_start_times)), (0, 512, commands_before + 1)
        )
    finally:
        node.delay_s = lambda: 0.0


@case("reassign.write-that-ended", "7.4")
async def _reassigned_write_that_ended_executes_once(context: CaseContext) -> None:
    """A write that ended while there was no connection keeps its status and is not executed again."""
    node = context.own_node()
    peer = await _open_session_at_level(context, "2")
    commands_before = len(node.log)
    tag = peer.send_command(write10(0, 512), data=b"R" * 512)
    await peer.writer.drain()
    async with asyncio.timeout_at(asyncio.get_running_loop().time() + 4):
        while len(node.log) == commands_before:
            await asyncio.sleep(0.005)
    peer = await _reconnect(context, peer)
    expect_equal(await _reassign_task(peer, tag), 0)
    expect_equal((await peer.receive_response(tag))[0].byte3, 0)
    expect_equal(len(node.log), commands_before + 1, "runs at the node")
    expect_equal(await peer.expect_good(read10(0, 512), read=512), b"R" * 512)


@case("reassign.write-without-its-data", "7.4")
async def _reassigned_write_requests_data_again(context: CaseContext) -> None:
    """If the connection is lost after an R2T, the target requests the data on the new connection."""
    peer = await _open_session_at_level(context, "2", InitialR2T="Yes", ImmediateData="No")
    data = _random_bytes(context, 512)
    tag = peer.send_command(write10(0, 512), data=data, immediate_length=0)
    await _receive_r2t(peer, tag)
    peer = await _reconnect(context, peer)
    expect_equal(await _reassign_task(peer, tag), 0)
    pdu = await _receive_r2t(peer, tag)
    peer.send_data_out(tag, pdu.words[0], 0, pdu.words[5], data[pdu.words[5] : pdu.words[5] + pdu.words[6]])
    expect_equal((await peer.receive(Op.SCSI_RESPONSE)).byte3, 0)
    expect_equal(await peer.expect_good(read10(0, 512), read=512), data)


@case("reassign.from-a-data-number-on", "7.4")
async def _reassigned_read_continues_at_exp_data_sn(context: CaseContext) -> None:
    """After a reassignment, Data-In PDUs continue at the given ExpDataSN."""
    peer = await _open_session_at_level(context, "2", MaxRecvDataSegmentLength="512")
    data = _random_bytes(context, 2048)
    await peer.expect_good(write10(0, 2048), data=data)
    tag = peer.send_command(read10(0, 2048), read=2048)
    for _ in range(2):
        await peer.receive(Op.DATA_IN)
    await asyncio.sleep(0.05)
    peer.close(reset=True)
    replacement = await context.connect(isid=peer.isid)
    replacement.tsih, replacement.cmd_sn = peer.tsih, peer.cmd_sn
    await replacement.login(MaxRecvDataSegmentLength="512")
    expect_equal(await _reassign_task(replacement, tag, 2), 0)
    for number in (2, 3):
        pdu = await replacement.receive(Op.DATA_IN)
        expect_equal((pdu.words[4], pdu.data), (number, data[number * 512 : number * 512 + 512]))
    expect_equal((await replacement.receive(Op.SCSI_RESPONSE)).byte3, 0)


@case("reassign.still-allegiant", "11.6.1")
async def _reassign_with_open_connection_is_refused(context: CaseContext) -> None:
    """TASK REASSIGN is refused with response 3 while the command's connection is open."""
    node = context.own_node()
    node.delay_s = lambda: 0.1
    try:
        peer = await _open_session_at_level(context, "2")
        tag = peer.send_command(read10(0, 512), read=512)
        expect_equal(await _reassign_task(peer, tag), 3)
        expect_equal((await peer.receive_response(tag))[0].byte3, 0)
    finally:
        node.delay_s = lambda: 0.0


@case("reassign.after-logout-for-recovery", "11.14")
async def _reassign_after_logout_for_recovery(context: CaseContext) -> None:
    """A connection logs out another one for recovery and takes over its command."""
    node = context.own_node()
    node.delay_s = lambda: 0.15
    try:
        first = await _open_session_at_level(context, "2", MaxConnections="2")
        second = await context.connect(isid=first.isid)
        second.tsih, second.cid, second.cmd_sn = first.tsih, 1, first.cmd_sn
        await second.login()
        tag = second.send_command(read10(0, 512), read=512)
        first.cmd_sn = second.cmd_sn
        await asyncio.sleep(0.03)
        first.send(Pdu(Op.LOGOUT, FINAL | 2, tag=4, words=[1 << 16, 0, 0, 0, 0, 0, 0]))
        expect_equal((await first.receive(Op.LOGOUT_RESPONSE)).byte2, 0)
        expect_equal(await _reassign_task(first, tag), 0)
        expect_equal((await first.receive_response(tag))[0].byte3, 0)
    finally:
        node.delay_s = lambda: 0.0


@case("reassign.too-late", "13.16")
async def _session_expires_after_time2retain(context: CaseContext) -> None:
    """After Time2Wait and Time2Retain the session no longer exists."""
    peer = await _open_session_at_level(context, "2", DefaultTime2Wait="0", DefaultTime2Retain="1")
    wait_s = int(peer.negotiated["DefaultTime2Wait"]) + int(peer.negotiated["DefaultTime2Retain"])
    if wait_s > 3:
        raise SkipError(f"the target retains for {wait_s} s")
    peer.close(reset=True)
    await asyncio.sleep(wait_s + 0.3)
    replacement = await context.connect(isid=peer.isid)
    replacement.tsih = peer.tsih
    expect_equal(
        (await replacement.login_step(FINAL | 1 << 2 | 3, replacement.login_keys())).words[4] >> 16, 0x020A
    )

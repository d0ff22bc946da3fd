"""Cases of sessions and connections (RFC 7143, chapters 4, 7 and 11).

They cover sequence numbers, NOP, logout, reinstatement, task management and digests.
"""

from __future__ import annotations

import asyncio
import struct

from lemonridge.iscsi.pdu import FINAL, RESERVED_TAG, Op, Pdu
from lemonridge.lab.conform.cases import CHAP_TARGET, CaseContext, SkipError, case
from lemonridge.lab.conform.peer import Peer, expect, expect_equal

TEST_UNIT_READY = bytes(6)
READ_FIRST_BLOCK = b"\x28" + bytes(6) + b"\0\x01\0"  # READ (10)
OPERATIONAL_TO_FULL_FEATURE = FINAL | 1 << 2 | 3  # stage transition


async def _set_node_delay(context: CaseContext, seconds: float) -> None:
    """Makes each later command at the stand-in node take `seconds`."""
    context.own_node().delay_s = lambda: seconds


def _clear_node_delay(context: CaseContext) -> None:
    """Makes later commands at the stand-in node end without delay."""
    context.own_node().delay_s = lambda: 0.0


# Sequence numbers


@case("numbers.window", "4.2.2.1")
async def _idle_command_window_is_open(context: CaseContext) -> None:
    """ExpCmdSN follows each command, and the command window of an idle session is open."""
    peer = await context.open_session()
    await peer.execute(TEST_UNIT_READY)
    peer.send_command(TEST_UNIT_READY)
    response = await peer.receive(Op.SCSI_RESPONSE)
    expect_equal(response.words[2], peer.cmd_sn, "ExpCmdSN")
    expect(response.words[3] >= response.words[2], "the window is closed while nothing is in work")


@case("numbers.wrap", "4.2.2.1")
async def _cmd_sn_wraps(context: CaseContext) -> None:
    """CmdSN wraps around at 2^32."""
    peer = await context.connect()
    peer.cmd_sn = 0xFFFFFFFE
    await peer.login()
    for _ in range(5):
        await peer.expect_good(TEST_UNIT_READY)
    expect_equal(peer.cmd_sn, 3)


@case("numbers.old-is-ignored", "4.2.2.1")
async def _old_cmd_sn_is_ignored(context: CaseContext) -> None:
    """The target ignores a command with an old CmdSN."""
    peer = await context.open_session()
    await peer.expect_good(TEST_UNIT_READY)
    peer.cmd_sn -= 1
    peer.send_command(TEST_UNIT_READY, tag=900)
    await peer.expect_silence()
    await peer.expect_good(TEST_UNIT_READY)


@case("numbers.beyond-the-window-is-ignored", "4.2.2.1")
async def _cmd_sn_beyond_window_is_ignored(context: CaseContext) -> None:
    """The target ignores a command whose CmdSN lies beyond MaxCmdSN."""
    peer = await context.open_session()
    await peer.expect_good(TEST_UNIT_READY)
    next_cmd_sn, peer.cmd_sn = peer.cmd_sn, peer.cmd_sn + 100_000
    peer.send_command(TEST_UNIT_READY, tag=900)
    await peer.expect_silence()
    peer.cmd_sn = next_cmd_sn
    await peer.expect_good(TEST_UNIT_READY)


@case("numbers.immediate-takes-none", "4.2.2.1")
async def _immediate_command_does_not_advance_cmd_sn(context: CaseContext) -> None:
    """An immediate command does not advance CmdSN."""
    peer = await context.open_session()
    cmd_sn_before = peer.cmd_sn
    expect_equal(
        (await peer.receive_response(peer.send_command(TEST_UNIT_READY, immediate=True)))[0].byte3, 0
    )
    expect_equal(peer.cmd_sn, cmd_sn_before)
    await peer.expect_good(TEST_UNIT_READY)


@case("numbers.status", "4.2.2.2")
async def _stat_sn_counts_responses(context: CaseContext) -> None:
    """StatSN increases by one with each response; `Peer.receive` checks every PDU.

    NOP-In PDUs that the target starts do not advance StatSN.
    """
    peer = await context.open_session()
    first_stat_sn = peer.exp_stat_sn
    for _ in range(5):
        await peer.expect_good(TEST_UNIT_READY)
    expect_equal(peer.exp_stat_sn, first_stat_sn + 5)


@case("numbers.hole-over-two-connections", "4.2.2.1")
async def _command_waits_for_earlier_cmd_sn(context: CaseContext) -> None:
    """A command waits until the command with the previous CmdSN arrives on the other connection."""
    first, second = await _open_two_connections(context)
    second.cmd_sn = first.cmd_sn + 1
    second.send_command(TEST_UNIT_READY, tag=50)
    await second.expect_silence()
    first.send_command(TEST_UNIT_READY, tag=51)
    expect_equal((await first.receive(Op.SCSI_RESPONSE)).tag, 51)
    expect_equal((await second.receive(Op.SCSI_RESPONSE)).tag, 50)


@case("numbers.tag-in-use", "11.2.1.7")
async def _task_tag_in_use_is_rejected(context: CaseContext) -> None:
    """A command with the task tag of an open command is rejected."""
    await _set_node_delay(context, 0.2)
    try:
        peer = await context.open_session()
        peer.send_command(READ_FIRST_BLOCK, read=512, tag=5)
        peer.send_command(READ_FIRST_BLOCK, read=512, tag=5)
        await peer.expect_reject(0x09)
    finally:
        _clear_node_delay(context)


@case("numbers.no-tag", "11.2.1.7")
async def _reserved_task_tag_is_rejected(context: CaseContext) -> None:
    """A command with the reserved task tag is rejected."""
    peer = await context.open_session()
    peer.send_command(TEST_UNIT_READY, tag=RESERVED_TAG)
    await peer.expect_reject(0x09)


# NOP-Out and NOP-In


@case("nop.ping", "11.18")
async def _nop_out_is_answered(context: CaseContext) -> None:
    """The answer to a NOP-Out has its task tag and data."""
    peer = await context.open_session()
    peer.send(
        Pdu(Op.NOP_OUT, FINAL, tag=9, immediate=True, data=b"hello", words=[RESERVED_TAG, 0, 0, 0, 0, 0, 0])
    )
    answer = await peer.receive(Op.NOP_IN)
    expect_equal((answer.tag, answer.data, answer.words[0]), (9, b"hello", RESERVED_TAG))


@case("nop.numbered", "11.18")
async def _numbered_nop_out_advances_exp_cmd_sn(context: CaseContext) -> None:
    """A NOP-Out that is not immediate advances ExpCmdSN."""
    peer = await context.open_session()
    peer.send(Pdu(Op.NOP_OUT, FINAL, tag=9, words=[RESERVED_TAG, 0, 0, 0, 0, 0, 0]))
    expect_equal((await peer.receive(Op.NOP_IN)).words[2], peer.cmd_sn)


@case("nop.no-answer-wanted", "11.18")
async def _nop_out_without_task_tag_is_not_answered(context: CaseContext) -> None:
    """A NOP-Out with the reserved task tag is not answered."""
    peer = await context.open_session()
    peer.send(
        Pdu(Op.NOP_OUT, FINAL, tag=RESERVED_TAG, immediate=True, words=[RESERVED_TAG, 0, 0, 0, 0, 0, 0])
    )
    await peer.expect_silence()


@case("nop.data-within-the-segment", "11.18")
async def _nop_in_data_fits_segment(context: CaseContext) -> None:
    """The data of a NOP-In are cut to the initiator's MaxRecvDataSegmentLength."""
    peer = await context.open_session(MaxRecvDataSegmentLength="512")
    peer.send(
        Pdu(
            Op.NOP_OUT, FINAL, tag=9, immediate=True, data=b"x" * 2000, words=[RESERVED_TAG, 0, 0, 0, 0, 0, 0]
        )
    )
    expect_equal(len((await peer.receive(Op.NOP_IN)).data), 512)


# Logout


def _register_logout_cases() -> None:
    for name, reason, cid, response in (
        ("session", 0, 0, 0),
        ("connection", 1, 0, 0),
        ("unknown-connection", 1, 9, 1),
        ("recovery-level-0", 2, 0, 2),
    ):

        @case(f"logout.{name}", "11.14")
        async def _(
            context: CaseContext, reason: int = reason, cid: int = cid, response: int = response
        ) -> None:
            """A successful logout closes the connection; a failed one leaves it usable."""
            peer = await context.open_session(ErrorRecoveryLevel="0")
            peer.send(Pdu(Op.LOGOUT, FINAL | reason, tag=4, words=[cid << 16, 0, 0, 0, 0, 0, 0]))
            answer = await peer.receive(Op.LOGOUT_RESPONSE)
            expect_equal((answer.byte2, answer.tag), (response, 4))
            if response:
                await peer.expect_good(TEST_UNIT_READY)
            else:
                await peer.expect_close()


_register_logout_cases()


@case("logout.odd-reason", "11.14.1")
async def _unknown_logout_reason_is_rejected(context: CaseContext) -> None:
    """A logout with an unknown reason is rejected."""
    peer = await context.open_session()
    peer.send(Pdu(Op.LOGOUT, FINAL | 7, tag=4))
    await peer.expect_reject(0x09)


@case("logout.another-connection", "11.14")
async def _logout_of_other_connection(context: CaseContext) -> None:
    """A connection can log out another connection of its session and stays usable."""
    first, second = await _open_two_connections(context)
    first.send(Pdu(Op.LOGOUT, FINAL | 1, tag=4, words=[1 << 16, 0, 0, 0, 0, 0, 0]))
    expect_equal((await first.receive(Op.LOGOUT_RESPONSE)).byte2, 0)
    await second.expect_close()
    await first.expect_good(TEST_UNIT_READY)


@case("logout.session-over-two", "11.14")
async def _session_logout_closes_both_connections(context: CaseContext) -> None:
    """A session logout closes all connections of the session."""
    first, second = await _open_two_connections(context)
    first.send(Pdu(Op.LOGOUT, FINAL, tag=4))
    expect_equal((await first.receive(Op.LOGOUT_RESPONSE)).byte2, 0)
    await second.expect_close()


# Connections and sessions


async def _open_two_connections(context: CaseContext, **keys: str) -> tuple[Peer, Peer]:
    """Opens a session with two connections.

    Raises:
        SkipError: The target supports only one connection per session.
    """
    first = await context.open_session(MaxConnections="2", **keys)
    if first.negotiated.get("MaxConnections") == "1":
        raise SkipError("the target takes one connection a session")
    second = await context.connect(isid=first.isid)
    second.tsih, second.cid, second.cmd_sn = first.tsih, 1, first.cmd_sn
    await second.login()
    expect_equal(second.tsih, first.tsih, "TSIH")
    return first, second


@case("connections.two", "4.2.5.1")
async def _commands_on_both_connections(context: CaseContext) -> None:
    """Each connection answers its own commands; both share one CmdSN sequence."""
    first, second = await _open_two_connections(context)
    for peer, other in ((first, second), (second, first), (first, second)):
        await peer.expect_good(TEST_UNIT_READY)
        other.cmd_sn = peer.cmd_sn


@case("connections.too-many", "11.13.5")
async def _connection_beyond_limit_is_refused(context: CaseContext) -> None:
    """A connection beyond MaxConnections is refused with status 0x0206."""
    first, _ = await _open_two_connections(context)
    third = await context.connect(isid=first.isid)
    third.tsih, third.cid = first.tsih, 2
    expect_equal(
        (await third.login_step(OPERATIONAL_TO_FULL_FEATURE, third.login_keys())).words[4] >> 16, 0x0206
    )


@case("connections.other-initiator", "11.12.7")
async def _connection_of_other_initiator_is_refused(context: CaseContext) -> None:
    """An initiator cannot add a connection to another initiator's session."""
    first = await context.open_session(MaxConnections="2")
    other = await context.connect(isid=first.isid, initiator="iqn.2026-12.org.lemonridge:another")
    other.tsih, other.cid = first.tsih, 1
    expect_equal(
        (await other.login_step(OPERATIONAL_TO_FULL_FEATURE, other.login_keys())).words[4] >> 16, 0x020A
    )


@case("connections.other-target", "11.13.5")
async def _connection_to_other_target_is_refused(context: CaseContext) -> None:
    """A connection to another target cannot join the session."""
    context.own_node()
    first = await context.open_session(MaxConnections="2")
    other = await context.connect(CHAP_TARGET, isid=first.isid)
    other.tsih, other.cid = first.tsih, 1
    answer = await other.login_step(OPERATIONAL_TO_FULL_FEATURE, other.login_keys())
    expect_equal(answer.words[4] >> 24, 2, "status class")


@case("connections.reinstated", "6.3.4")
async def _connection_reinstatement(context: CaseContext) -> None:
    """A login with the CID of an existing connection replaces that connection."""
    first, second = await _open_two_connections(context)
    replacement = await context.connect(isid=first.isid)
    replacement.tsih, replacement.cid, replacement.cmd_sn = first.tsih, 1, first.cmd_sn
    await replacement.login()
    await second.expect_close()
    await replacement.expect_good(TEST_UNIT_READY)


@case("sessions.reinstated", "6.3.5")
async def _session_reinstatement(context: CaseContext) -> None:
    """A login with the same names, the same ISID and TSIH 0 ends the old session."""
    first = await context.open_session()
    second = await context.connect(isid=first.isid)
    await second.login()
    await first.expect_close()
    await second.expect_good(TEST_UNIT_READY)
    expect(second.tsih != 0, "no TSIH")


@case("sessions.other-isid", "4.4.3")
async def _sessions_with_different_isids(context: CaseContext) -> None:
    """Two sessions with different ISIDs coexist and have different TSIHs."""
    first, second = await context.open_session(), await context.open_session()
    await first.expect_good(TEST_UNIT_READY)
    await second.expect_good(TEST_UNIT_READY)
    expect(first.tsih != second.tsih, "two sessions have one TSIH")


@case("sessions.lost-connection-at-level-0", "7.1.4")
async def _lost_connection_at_level_0_ends_session(context: CaseContext) -> None:
    """At recovery level 0 the loss of one connection ends the whole session."""
    first, second = await _open_two_connections(context, ErrorRecoveryLevel="0")
    second.close(reset=True)
    await first.expect_close()


@case("connections.opcode-unknown", "11.17")
async def _unknown_opcode_is_rejected(context: CaseContext) -> None:
    """A PDU with an unknown opcode is rejected."""
    peer = await context.open_session()
    peer.send(Pdu(0x1E, tag=1))
    await peer.expect_reject(0x05)


@case("connections.opcode-of-a-target", "11.17")
async def _target_opcode_is_rejected(context: CaseContext) -> None:
    """A PDU with an opcode that only targets send is rejected."""
    peer = await context.open_session()
    peer.send(Pdu(Op.SCSI_RESPONSE, tag=1))
    await peer.expect_reject(0x05)


@case("connections.segment-too-long", "11.17")
async def _oversized_segment_closes_connection(context: CaseContext) -> None:
    """A data segment longer than the target's limit is rejected and the connection closed."""
    peer = await context.open_session()
    peer.send_bytes(struct.pack(">BBBBI", 0, 0x80, 0, 0, 0xFFFFFF) + bytes(40))
    await peer.expect_reject(0x04)
    await peer.expect_close()


@case("connections.split-at-every-byte", "4.2")
async def _pdu_sent_byte_by_byte(context: CaseContext) -> None:
    """A PDU that arrives byte by byte is answered."""
    peer = await context.open_session()
    pdu = Pdu(
        Op.NOP_OUT,
        FINAL,
        tag=9,
        immediate=True,
        data=b"split!",
        words=[RESERVED_TAG, peer.cmd_sn, 0, 0, 0, 0, 0],
    )
    for byte in pdu.encode():
        peer.send_bytes(bytes([byte]))
        await peer.writer.drain()
        await asyncio.sleep(0)
    expect_equal((await peer.receive(Op.NOP_IN)).data, b"split!")


@case("connections.reject-holds-the-header", "11.17")
async def _reject_contains_header(context: CaseContext) -> None:
    """A Reject contains the header of the rejected PDU."""
    peer = await context.open_session()
    sent = peer.send(Pdu(0x1E, tag=77, words=[1, 2, 3, 4, 5, 6, 7]))
    expect_equal((await peer.expect_reject(0x05)).data[:48], sent.encode()[:48])


# Task management


async def _task_management(
    peer: Peer, function: int, lun: int = 0, referenced_tag: int = RESERVED_TAG, ref_cmd_sn: int = 0
) -> Pdu:
    """Sends a task management request and returns the response."""
    peer.send(
        Pdu(
            Op.TASK_MANAGEMENT,
            FINAL | function,
            lun=struct.pack(">H6x", lun),
            tag=5000,
            immediate=True,
            words=[referenced_tag, 0, 0, ref_cmd_sn, 0, 0, 0],
        )
    )
    answer = await peer.receive(Op.TASK_MANAGEMENT_RESPONSE)
    expect_equal(answer.tag, 5000, "task tag")
    return answer


def _register_task_management_cases() -> None:
    for name, function, lun, response in (
        ("abort-unknown-task", 1, 0, 1),
        ("abort-task-set", 2, 0, 0),
        ("abort-task-set-no-lun", 2, 99, 2),
        ("clear-aca", 3, 0, 5),
        ("clear-task-set", 4, 0, 0),
        ("lun-reset", 5, 0, 0),
        ("lun-reset-no-lun", 5, 99, 2),
        ("target-warm-reset", 6, 0, 0),
        ("reassign-unknown", 8, 0, 1),
        ("function-15", 15, 0, 5),
    ):

        @case(f"manage.{name}", "11.6.1")
        async def _(
            context: CaseContext, function: int = function, lun: int = lun, response: int = response
        ) -> None:
            """The task management response is the expected one."""
            peer = await context.open_session(ErrorRecoveryLevel="2")
            ref_cmd_sn = peer.cmd_sn + 100_000 if function == 1 else 0
            expect_equal((await _task_management(peer, function, lun, 77, ref_cmd_sn)).byte2, response)


_register_task_management_cases()


@case("manage.reassign-below-level-2", "11.6.1")
async def _reassign_below_level_2_is_refused(context: CaseContext) -> None:
    """TASK REASSIGN is refused below recovery level 2."""
    peer = await context.open_session(ErrorRecoveryLevel="1")
    expect_equal((await _task_management(peer, 8, 0, 77)).byte2, 4)


@case("manage.cold-reset", "11.5.1")
async def _cold_reset_closes_all_sessions(context: CaseContext) -> None:
    """TARGET COLD RESET closes the connections of all sessions."""
    peer, other = await context.open_session(), await context.open_session()
    peer.send(
        Pdu(Op.TASK_MANAGEMENT, FINAL | 7, tag=5000, immediate=True, words=[RESERVED_TAG, 0, 0, 0, 0, 0, 0])
    )
    expect_equal((await peer.receive(Op.TASK_MANAGEMENT_RESPONSE)).byte2, 0)
    await peer.expect_close()
    await other.expect_close()


@case("manage.abort-task", "11.5.1")
async def _aborted_command_gets_no_response(context: CaseContext) -> None:
    """An aborted command gets no response."""
    await _set_node_delay(context, 0.1)
    try:
        peer = await context.open_session()
        tag = peer.send_command(READ_FIRST_BLOCK, read=512)
        expect_equal((await _task_management(peer, 1, 0, tag, peer.cmd_sn - 1)).byte2, 0)
        await peer.expect_silence()
    finally:
        _clear_node_delay(context)
    await peer.expect_good(READ_FIRST_BLOCK, read=512)


@case("manage.abort-task-that-has-not-come", "11.6.1")
async def _abort_of_command_that_has_not_arrived(context: CaseContext) -> None:
    """ABORT TASK for a CmdSN in the window that has not arrived counts it as received.

    Otherwise the window could not advance past that CmdSN.
    """
    peer = await context.open_session()
    expect_equal((await _task_management(peer, 1, 0, 66, peer.cmd_sn)).byte2, 0)
    peer.cmd_sn += 1
    await peer.expect_good(TEST_UNIT_READY)


@case("manage.abort-task-set-spares-others", "11.5.1")
async def _abort_task_set_spares_other_sessions(context: CaseContext) -> None:
    """ABORT TASK SET aborts only the commands of its own session."""
    await _set_node_delay(context, 0.1)
    try:
        first, second = await context.open_session(), await context.open_session()
        tag = second.send_command(READ_FIRST_BLOCK, read=512)
        first.send_command(READ_FIRST_BLOCK, read=512)
        await first.writer.drain()
        expect_equal((await _task_management(first, 2)).byte2, 0)
        expect_equal((await second.receive_response(tag))[0].byte3, 0)
        await first.expect_silence()
    finally:
        _clear_node_delay(context)


@case("manage.clear-task-set-takes-others", "SAM-5 7.5")
async def _clear_task_set_aborts_other_sessions(context: CaseContext) -> None:
    """CLEAR TASK SET aborts the commands of other sessions without a response.

    These sessions receive a unit attention.
    """
    await _set_node_delay(context, 0.2)
    try:
        first, second = await context.open_session(), await context.open_session()
        second.send_command(READ_FIRST_BLOCK, read=512)
        await asyncio.sleep(0.05)
        expect_equal((await _task_management(first, 4)).byte2, 0)
        await second.expect_silence()
    finally:
        _clear_node_delay(context)
    await second.expect_sense(TEST_UNIT_READY, 0x06, 0x2F)
    await second.expect_good(TEST_UNIT_READY)
    await first.expect_good(TEST_UNIT_READY)


@case("manage.lun-reset-is-told", "SAM-5 6.3.3")
async def _lun_reset_raises_unit_attention(context: CaseContext) -> None:
    """LOGICAL UNIT RESET raises a unit attention in every session."""
    first, second = await context.open_session(), await context.open_session()
    expect_equal((await _task_management(first, 5)).byte2, 0)
    for peer in (first, second):
        await peer.expect_sense(TEST_UNIT_READY, 0x06, 0x29, 0x03)
        await peer.expect_good(TEST_UNIT_READY)


# Digests


def _register_digest_cases() -> None:
    for header in ("None", "CRC32C"):
        for data in ("None", "CRC32C"):

            @case(f"digests.header-{header}.data-{data}", "13.1")
            async def _(context: CaseContext, header: str = header, data: str = data) -> None:
                """PDUs are exchanged with every combination of digests."""
                peer = await context.open_session(HeaderDigest=header, DataDigest=data)
                expect_equal((peer.negotiated["HeaderDigest"], peer.negotiated["DataDigest"]), (header, data))
                peer.send(
                    Pdu(Op.NOP_OUT, FINAL, tag=9, immediate=True, data=b"odd", words=[RESERVED_TAG] + [0] * 6)
                )
                expect_equal((await peer.receive(Op.NOP_IN)).data, b"odd")
                await peer.expect_good(READ_FIRST_BLOCK, read=512)


_register_digest_cases()


async def _send_corrupted(peer: Peer, pdu: Pdu, position: int) -> None:
    """Sends a PDU with one bit of the byte at `position` flipped after its digests were computed."""
    pdu.words[1], pdu.words[2] = peer.cmd_sn, peer.exp_stat_sn
    encoded = bytearray(pdu.encode(peer.header_digest, peer.data_digest))
    encoded[position] ^= 0x10
    peer.send_bytes(bytes(encoded))


@case("digests.header-spoilt", "7.8")
async def _corrupt_header_closes_connection(context: CaseContext) -> None:
    """A wrong header digest closes the connection: the start of the next PDU is unknown."""
    peer = await context.open_session(HeaderDigest="CRC32C")
    await _send_corrupted(
        peer, Pdu(Op.NOP_OUT, FINAL, tag=9, immediate=True, words=[RESERVED_TAG] + [0] * 6), 17
    )
    await peer.expect_close()


@case("digests.data-spoilt-at-level-0", "7.8")
async def _corrupt_data_at_level_0_closes_connection(context: CaseContext) -> None:
    """At recovery level 0 a wrong data digest is rejected and closes the connection."""
    peer = await context.open_session(DataDigest="CRC32C", ErrorRecoveryLevel="0")
    nop_out = Pdu(Op.NOP_OUT, FINAL, tag=9, immediate=True, data=b"spoilt", words=[RESERVED_TAG] + [0] * 6)
    await _send_corrupted(peer, nop_out, 49)
    await peer.expect_reject(0x02)
    await peer.expect_close()


@case("digests.data-spoilt-at-level-1", "7.8")
async def _corrupt_data_at_level_1_is_recovered(context: CaseContext) -> None:
    """At recovery level 1 a wrong data digest is rejected and the connection stays open.

    The initiator sends the command again under the same CmdSN.
    """
    peer = await context.open_session(DataDigest="CRC32C", ErrorRecoveryLevel="1")
    if peer.negotiated["ErrorRecoveryLevel"] == "0":
        raise SkipError("the target has level 0")
    words = list(struct.unpack(">4I", b"\x2a" + bytes(6) + b"\0\x01" + bytes(7)))
    command = Pdu(Op.SCSI_COMMAND, FINAL | 0x21, tag=70, data=b"D" * 512, words=[512, 0, 0, *words])
    await _send_corrupted(peer, command, 60)
    await peer.expect_reject(0x02)
    peer.send(command)
    expect_equal((await peer.receive(Op.SCSI_RESPONSE)).byte3, 0)
    expect_equal(await peer.expect_good(READ_FIRST_BLOCK, read=512), b"D" * 512)

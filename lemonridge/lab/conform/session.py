"""Sessions and connections: numbers, pings, logout, reinstatement, task management, digests (RFC 7143, 4, 7,
11).
"""

from __future__ import annotations

import asyncio
import struct

from lemonridge.iscsi.pdu import FINAL, RESERVED_TAG, Op, Pdu
from lemonridge.lab.conform.cases import CHAP_TARGET, CaseContext, SkipError, case
from lemonridge.lab.conform.peer import Peer, expect, expect_equal

TUR = bytes(6)
READ = b"\x28" + bytes(6) + b"\0\x01\0"
LOGIN = FINAL | 1 << 2 | 3


async def _slow(context: CaseContext, seconds: float) -> None:
    """The stand-in node takes its time from now on."""
    context.own_node().delay_s = lambda: seconds


def _fast(context: CaseContext) -> None:
    context.own_node().delay_s = lambda: 0.0


# Command numbers


@case("numbers.window", "4.2.2.1")
async def _window(context: CaseContext) -> None:
    peer = await context.open_session()
    await peer.execute(TUR)
    peer.send_command(TUR)
    response = await peer.receive(Op.SCSI_RESPONSE)
    expect_equal(response.words[2], peer.cmd_sn, "ExpCmdSN")
    expect(response.words[3] >= response.words[2], "the window is closed while nothing is in work")


@case("numbers.wrap", "4.2.2.1")
async def _wrap(context: CaseContext) -> None:
    """Over the end of the 32 bits."""
    peer = await context.connect()
    peer.cmd_sn = 0xFFFFFFFE
    await peer.login()
    for _ in range(5):
        await peer.expect_good(TUR)
    expect_equal(peer.cmd_sn, 3)


@case("numbers.old-is-ignored", "4.2.2.1")
async def _old(context: CaseContext) -> None:
    peer = await context.open_session()
    await peer.expect_good(TUR)
    peer.cmd_sn -= 1
    peer.send_command(TUR, tag=900)
    await peer.expect_silence()
    await peer.expect_good(TUR)


@case("numbers.beyond-the-window-is-ignored", "4.2.2.1")
async def _beyond(context: CaseContext) -> None:
    peer = await context.open_session()
    await peer.expect_good(TUR)
    kept, peer.cmd_sn = peer.cmd_sn, peer.cmd_sn + 100_000
    peer.send_command(TUR, tag=900)
    await peer.expect_silence()
    peer.cmd_sn = kept
    await peer.expect_good(TUR)


@case("numbers.immediate-takes-none", "4.2.2.1")
async def _immediate(context: CaseContext) -> None:
    peer = await context.open_session()
    before = peer.cmd_sn
    expect_equal((await peer.receive_response(peer.send_command(TUR, immediate=True)))[0].byte3, 0)
    expect_equal(peer.cmd_sn, before)
    await peer.expect_good(TUR)


@case("numbers.status", "4.2.2.2")
async def _status(context: CaseContext) -> None:
    """StatSN rises by one with each status, and not with pings that the target begins; `get` looks at
    each.
    """
    peer = await context.open_session()
    first = peer.exp_stat_sn
    for _ in range(5):
        await peer.expect_good(TUR)
    expect_equal(peer.exp_stat_sn, first + 5)


@case("numbers.hole-over-two-connections", "4.2.2.1")
async def _hole(context: CaseContext) -> None:
    """A command that comes early over one connection waits for the one before it on the other."""
    one, two = await _two(context)
    two.cmd_sn = one.cmd_sn + 1
    two.send_command(TUR, tag=50)
    await two.expect_silence()
    one.send_command(TUR, tag=51)
    expect_equal((await one.receive(Op.SCSI_RESPONSE)).tag, 51)
    expect_equal((await two.receive(Op.SCSI_RESPONSE)).tag, 50)


@case("numbers.tag-in-use", "11.2.1.7")
async def _in_use(context: CaseContext) -> None:
    await _slow(context, 0.2)
    try:
        peer = await context.open_session()
        peer.send_command(READ, read=512, tag=5)
        peer.send_command(READ, read=512, tag=5)
        await peer.expect_reject(0x09)
    finally:
        _fast(context)


@case("numbers.no-tag", "11.2.1.7")
async def _no_tag(context: CaseContext) -> None:
    peer = await context.open_session()
    peer.send_command(TUR, tag=RESERVED_TAG)
    await peer.expect_reject(0x09)


# Pings


@case("nop.ping", "11.18")
async def _ping(context: CaseContext) -> None:
    peer = await context.open_session()
    peer.send(
        Pdu(Op.NOP_OUT, FINAL, tag=9, immediate=True, data=b"hello", words=[RESERVED_TAG, 0, 0, 0, 0, 0, 0])
    )
    pong = await peer.receive(Op.NOP_IN)
    expect_equal((pong.tag, pong.data, pong.words[0]), (9, b"hello", RESERVED_TAG))


@case("nop.numbered", "11.18")
async def _numbered(context: CaseContext) -> None:
    peer = await context.open_session()
    peer.send(Pdu(Op.NOP_OUT, FINAL, tag=9, words=[RESERVED_TAG, 0, 0, 0, 0, 0, 0]))
    expect_equal((await peer.receive(Op.NOP_IN)).words[2], peer.cmd_sn)


@case("nop.no-answer-wanted", "11.18")
async def _one_way(context: CaseContext) -> None:
    peer = await context.open_session()
    peer.send(
        Pdu(Op.NOP_OUT, FINAL, tag=RESERVED_TAG, immediate=True, words=[RESERVED_TAG, 0, 0, 0, 0, 0, 0])
    )
    await peer.expect_silence()


@case("nop.data-within-the-segment", "11.18")
async def _long_ping(context: CaseContext) -> None:
    peer = await context.open_session(MaxRecvDataSegmentLength="512")
    peer.send(
        Pdu(
            Op.NOP_OUT, FINAL, tag=9, immediate=True, data=b"x" * 2000, words=[RESERVED_TAG, 0, 0, 0, 0, 0, 0]
        )
    )
    expect_equal(len((await peer.receive(Op.NOP_IN)).data), 512)


# Logout


def _logouts() -> None:
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
            peer = await context.open_session(ErrorRecoveryLevel="0")
            peer.send(Pdu(Op.LOGOUT, FINAL | reason, tag=4, words=[cid << 16, 0, 0, 0, 0, 0, 0]))
            answer = await peer.receive(Op.LOGOUT_RESPONSE)
            expect_equal((answer.byte2, answer.tag), (response, 4))
            if response:
                await peer.expect_good(TUR)
            else:
                await peer.expect_close()


_logouts()


@case("logout.odd-reason", "11.14.1")
async def _odd_reason(context: CaseContext) -> None:
    peer = await context.open_session()
    peer.send(Pdu(Op.LOGOUT, FINAL | 7, tag=4))
    await peer.expect_reject(0x09)


@case("logout.another-connection", "11.14")
async def _other_connection(context: CaseContext) -> None:
    one, two = await _two(context)
    one.send(Pdu(Op.LOGOUT, FINAL | 1, tag=4, words=[1 << 16, 0, 0, 0, 0, 0, 0]))
    expect_equal((await one.receive(Op.LOGOUT_RESPONSE)).byte2, 0)
    await two.expect_close()
    await one.expect_good(TUR)


@case("logout.session-over-two", "11.14")
async def _whole_session(context: CaseContext) -> None:
    one, two = await _two(context)
    one.send(Pdu(Op.LOGOUT, FINAL, tag=4))
    expect_equal((await one.receive(Op.LOGOUT_RESPONSE)).byte2, 0)
    await two.expect_close()


# Connections and sessions


async def _two(context: CaseContext, **keys: str) -> tuple[Peer, Peer]:
    """A session of two connections."""
    one = await context.open_session(MaxConnections="2", **keys)
    if one.negotiated.get("MaxConnections") == "1":
        raise SkipError("the target takes one connection a session")
    two = await context.connect(isid=one.isid)
    two.tsih, two.cid, two.cmd_sn = one.tsih, 1, one.cmd_sn
    await two.login()
    expect_equal(two.tsih, one.tsih, "TSIH")
    return one, two


@case("connections.two", "4.2.5.1")
async def _both(context: CaseContext) -> None:
    """Commands over both, each answered on its own connection, with one count of commands."""
    one, two = await _two(context)
    for peer, other in ((one, two), (two, one), (one, two)):
        await peer.expect_good(TUR)
        other.cmd_sn = peer.cmd_sn


@case("connections.too-many", "11.13.5")
async def _too_many(context: CaseContext) -> None:
    one, _ = await _two(context)
    three = await context.connect(isid=one.isid)
    three.tsih, three.cid = one.tsih, 2
    expect_equal((await three.login_step(LOGIN, three.login_keys())).words[4] >> 16, 0x0206)


@case("connections.other-initiator", "11.12.7")
async def _other_initiator(context: CaseContext) -> None:
    one = await context.open_session(MaxConnections="2")
    other = await context.connect(isid=one.isid, initiator="iqn.2026-12.org.lemonridge:another")
    other.tsih, other.cid = one.tsih, 1
    expect_equal((await other.login_step(LOGIN, other.login_keys())).words[4] >> 16, 0x020A)


@case("connections.other-target", "11.13.5")
async def _other_target(context: CaseContext) -> None:
    context.own_node()
    one = await context.open_session(MaxConnections="2")
    other = await context.connect(CHAP_TARGET, isid=one.isid)
    other.tsih, other.cid = one.tsih, 1
    answer = await other.login_step(LOGIN, other.login_keys())
    expect_equal(answer.words[4] >> 24, 2, "status class")


@case("connections.reinstated", "6.3.4")
async def _reinstated(context: CaseContext) -> None:
    """A login under a connection's own CID takes its place."""
    one, two = await _two(context)
    again = await context.connect(isid=one.isid)
    again.tsih, again.cid, again.cmd_sn = one.tsih, 1, one.cmd_sn
    await again.login()
    await two.expect_close()
    await again.expect_good(TUR)


@case("sessions.reinstated", "6.3.5")
async def _session_anew(context: CaseContext) -> None:
    """The same names and ISID with TSIH 0: the old session ends."""
    one = await context.open_session()
    two = await context.connect(isid=one.isid)
    await two.login()
    await one.expect_close()
    await two.expect_good(TUR)
    expect(two.tsih != 0, "no TSIH")


@case("sessions.other-isid", "4.4.3")
async def _parallel(context: CaseContext) -> None:
    one, two = await context.open_session(), await context.open_session()
    await one.expect_good(TUR)
    await two.expect_good(TUR)
    expect(one.tsih != two.tsih, "two sessions have one TSIH")


@case("sessions.lost-connection-at-level-0", "7.1.4")
async def _lost(context: CaseContext) -> None:
    one, two = await _two(context, ErrorRecoveryLevel="0")
    two.close(reset=True)
    await one.expect_close()


@case("connections.opcode-unknown", "11.17")
async def _opcode(context: CaseContext) -> None:
    peer = await context.open_session()
    peer.send(Pdu(0x1E, tag=1))
    await peer.expect_reject(0x05)


@case("connections.opcode-of-a-target", "11.17")
async def _opcode_of_target(context: CaseContext) -> None:
    peer = await context.open_session()
    peer.send(Pdu(Op.SCSI_RESPONSE, tag=1))
    await peer.expect_reject(0x05)


@case("connections.segment-too-long", "11.17")
async def _too_long(context: CaseContext) -> None:
    peer = await context.open_session()
    peer.send_bytes(struct.pack(">BBBBI", 0, 0x80, 0, 0, 0xFFFFFF) + bytes(40))
    await peer.expect_reject(0x04)
    await peer.expect_close()


@case("connections.split-at-every-byte", "4.2")
async def _bytewise(context: CaseContext) -> None:
    peer = await context.open_session()
    pdu = Pdu(
        Op.NOP_OUT,
        FINAL,
        tag=9,
        immediate=True,
        data=b"split!",
        words=[RESERVED_TAG, peer.cmd_sn, 0, 0, 0, 0, 0],
    )
    for one in pdu.encode():
        peer.send_bytes(bytes([one]))
        await peer.writer.drain()
        await asyncio.sleep(0)
    expect_equal((await peer.receive(Op.NOP_IN)).data, b"split!")


@case("connections.reject-holds-the-header", "11.17")
async def _header(context: CaseContext) -> None:
    peer = await context.open_session()
    sent = peer.send(Pdu(0x1E, tag=77, words=[1, 2, 3, 4, 5, 6, 7]))
    expect_equal((await peer.expect_reject(0x05)).data[:48], sent.encode()[:48])


# Task management


async def _manage(peer: Peer, function: int, lun: int = 0, task: int = RESERVED_TAG, ref: int = 0) -> Pdu:
    peer.send(
        Pdu(
            Op.TASK_MANAGEMENT,
            FINAL | function,
            lun=struct.pack(">H6x", lun),
            tag=5000,
            immediate=True,
            words=[task, 0, 0, ref, 0, 0, 0],
        )
    )
    answer = await peer.receive(Op.TASK_MANAGEMENT_RESPONSE)
    expect_equal(answer.tag, 5000, "task tag")
    return answer


def _functions() -> None:
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
            peer = await context.open_session(ErrorRecoveryLevel="2")
            ref = peer.cmd_sn + 100_000 if function == 1 else 0
            expect_equal((await _manage(peer, function, lun, 77, ref)).byte2, response)


_functions()


@case("manage.reassign-below-level-2", "11.6.1")
async def _no_reassign(context: CaseContext) -> None:
    peer = await context.open_session(ErrorRecoveryLevel="1")
    expect_equal((await _manage(peer, 8, 0, 77)).byte2, 4)


@case("manage.cold-reset", "11.5.1")
async def _cold(context: CaseContext) -> None:
    peer, other = await context.open_session(), await context.open_session()
    peer.send(
        Pdu(Op.TASK_MANAGEMENT, FINAL | 7, tag=5000, immediate=True, words=[RESERVED_TAG, 0, 0, 0, 0, 0, 0])
    )
    expect_equal((await peer.receive(Op.TASK_MANAGEMENT_RESPONSE)).byte2, 0)
    await peer.expect_close()
    await other.expect_close()


@case("manage.abort-task", "11.5.1")
async def _abort(context: CaseContext) -> None:
    """The aborted command gets no response."""
    await _slow(context, 0.1)
    try:
        peer = await context.open_session()
        tag = peer.send_command(READ, read=512)
        expect_equal((await _manage(peer, 1, 0, tag, peer.cmd_sn - 1)).byte2, 0)
        await peer.expect_silence()
    finally:
        _fast(context)
    await peer.expect_good(READ, read=512)


@case("manage.abort-task-that-has-not-come", "11.6.1")
async def _abort_ahead(context: CaseContext) -> None:
    """Its number is in the window: taken for come, so that the window goes on."""
    peer = await context.open_session()
    expect_equal((await _manage(peer, 1, 0, 66, peer.cmd_sn)).byte2, 0)
    peer.cmd_sn += 1
    await peer.expect_good(TUR)


@case("manage.abort-task-set-spares-others", "11.5.1")
async def _spared(context: CaseContext) -> None:
    await _slow(context, 0.1)
    try:
        one, two = await context.open_session(), await context.open_session()
        tag = two.send_command(READ, read=512)
        one.send_command(READ, read=512)
        await one.writer.drain()
        expect_equal((await _manage(one, 2)).byte2, 0)
        expect_equal((await two.receive_response(tag))[0].byte3, 0)
        await one.expect_silence()
    finally:
        _fast(context)


@case("manage.clear-task-set-takes-others", "SAM-5 7.5")
async def _cleared(context: CaseContext) -> None:
    """Their commands end without a response, and they are told by a unit attention."""
    await _slow(context, 0.2)
    try:
        one, two = await context.open_session(), await context.open_session()
        two.send_command(READ, read=512)
        await asyncio.sleep(0.05)
        expect_equal((await _manage(one, 4)).byte2, 0)
        await two.expect_silence()
    finally:
        _fast(context)
    await two.expect_sense(TUR, 0x06, 0x2F)
    await two.expect_good(TUR)
    await one.expect_good(TUR)


@case("manage.lun-reset-is-told", "SAM-5 6.3.3")
async def _reset_told(context: CaseContext) -> None:
    one, two = await context.open_session(), await context.open_session()
    expect_equal((await _manage(one, 5)).byte2, 0)
    for peer in (one, two):
        await peer.expect_sense(TUR, 0x06, 0x29, 0x03)
        await peer.expect_good(TUR)


# Digests


def _digests() -> None:
    for header in ("None", "CRC32C"):
        for data in ("None", "CRC32C"):

            @case(f"digests.header-{header}.data-{data}", "13.1")
            async def _(context: CaseContext, header: str = header, data: str = data) -> None:
                peer = await context.open_session(HeaderDigest=header, DataDigest=data)
                expect_equal((peer.negotiated["HeaderDigest"], peer.negotiated["DataDigest"]), (header, data))
                peer.send(
                    Pdu(Op.NOP_OUT, FINAL, tag=9, immediate=True, data=b"odd", words=[RESERVED_TAG] + [0] * 6)
                )
                expect_equal((await peer.receive(Op.NOP_IN)).data, b"odd")
                await peer.expect_good(READ, read=512)


_digests()


async def _spoil(peer: Peer, pdu: Pdu, at: int) -> None:
    """Send a PDU with one bit of byte `at` flipped after its digests were made."""
    pdu.words[1], pdu.words[2] = peer.cmd_sn, peer.exp_stat_sn
    raw = bytearray(pdu.encode(peer.header_digest, peer.data_digest))
    raw[at] ^= 0x10
    peer.send_bytes(bytes(raw))


@case("digests.header-spoilt", "7.8")
async def _header_spoilt(context: CaseContext) -> None:
    """Where the next PDU begins is not known: the connection ends."""
    peer = await context.open_session(HeaderDigest="CRC32C")
    await _spoil(peer, Pdu(Op.NOP_OUT, FINAL, tag=9, immediate=True, words=[RESERVED_TAG] + [0] * 6), 17)
    await peer.expect_close()


@case("digests.data-spoilt-at-level-0", "7.8")
async def _data_spoilt(context: CaseContext) -> None:
    peer = await context.open_session(DataDigest="CRC32C", ErrorRecoveryLevel="0")
    ping = Pdu(Op.NOP_OUT, FINAL, tag=9, immediate=True, data=b"spoilt", words=[RESERVED_TAG] + [0] * 6)
    await _spoil(peer, ping, 49)
    await peer.expect_reject(0x02)
    await peer.expect_close()


@case("digests.data-spoilt-at-level-1", "7.8")
async def _data_recovered(context: CaseContext) -> None:
    """The PDU is rejected and the connection goes on; the command comes again under its number."""
    peer = await context.open_session(DataDigest="CRC32C", ErrorRecoveryLevel="1")
    if peer.negotiated["ErrorRecoveryLevel"] == "0":
        raise SkipError("the target has level 0")
    words = list(struct.unpack(">4I", b"\x2a" + bytes(6) + b"\0\x01" + bytes(7)))
    command = Pdu(Op.SCSI_COMMAND, FINAL | 0x21, tag=70, data=b"D" * 512, words=[512, 0, 0, *words])
    await _spoil(peer, command, 60)
    await peer.expect_reject(0x02)
    peer.send(command)
    expect_equal((await peer.receive(Op.SCSI_RESPONSE)).byte3, 0)
    expect_equal(await peer.expect_good(READ, read=512), b"D" * 512)

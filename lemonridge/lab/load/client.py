"""An iSCSI initiator with error recovery (RFC 7143, chapter 7), as a stand-in for a correct driver.

At ErrorRecoveryLevel 0 and 1, a lost connection ends the session and its commands are lost. From level 1 on,
the initiator requests corrupt PDUs again. At level 2, it replaces a lost connection and reassigns its
commands.
"""

from __future__ import annotations

import asyncio
import itertools
import struct
from collections.abc import Awaitable
from dataclasses import dataclass, field
from random import Random

from lemonridge.iscsi import chap
from lemonridge.iscsi.numbers import serial_distance
from lemonridge.iscsi.pdu import (
    FINAL,
    RESERVED_TAG,
    DataDigestError,
    HeaderDigestError,
    Op,
    Pdu,
    PduError,
    pack_lun,
    pack_text,
    read_pdu,
    unpack_text,
)
from lemonridge.lab.links.pdus import DirectLink, FaultyLink

__all__ = ["Client", "CommandLostError", "FaultyLink"]

LOGIN_FLAGS = FINAL | 1 << 2 | 3
SEGMENT_BYTES = 8192
ANSWER_TIMEOUT_S = 6.0  # for the response to a task management request
_isids = itertools.count(1000)


class CommandLostError(Exception):
    """The session ended while a command was open; whether the command ran is unknown."""


class LoginFailedError(Exception):
    """A login was rejected, or its connection ended."""


@dataclass(eq=False)
class Command:
    """An open command.

    Attributes:
        pdu: The SCSI command PDU.
        data: Data to write.
        expected_bytes: Number of bytes to read.
        done: Set to the status and the data read when the command is complete.
        connection: Connection that the command is assigned to.
        data_segments: Received data segments, by DataSN.
        status: The SCSI response, once received.
        was_recovered: Whether the command needed recovery that has not been counted yet.
    """

    pdu: Pdu
    data: bytes
    expected_bytes: int
    done: asyncio.Future[tuple[int, bytes]]
    connection: Connection | None = None
    data_segments: dict[int, bytes] = field(default_factory=dict)
    status: Pdu | None = None
    was_recovered: bool = False

    def finish(self) -> bool:
        """Completes the command if its status and all Data-In PDUs that the status counts have arrived.

        Returns:
            Whether the command is complete.
        """
        if self.status is None or len(self.data_segments) < self.status.words[4]:
            return False
        if not self.done.done():
            self.done.set_result(
                (self.status.byte3, b"".join(self.data_segments[n] for n in sorted(self.data_segments)))
            )
        return True


class Connection:
    """One connection of a client's session.

    Attributes:
        client: The client.
        cid: CID of the connection.
        exp_stat_sn: Next expected StatSN.
        header_digest: Whether PDUs have header digests.
        data_digest: Whether PDUs have data digests.
        alive: Whether the connection is logged in and open.
        statuses: Received StatSNs that are not acknowledged yet.
        incomplete: Commands whose status has arrived before all of their data, by StatSN.
        task: Task that receives PDUs.
        pending_answers: Futures of task management responses, by task tag.
    """

    def __init__(self, client: Client, cid: int) -> None:
        self.client, self.cid = client, cid
        self.exp_stat_sn, self.header_digest, self.data_digest = 0, False, False
        self.alive = False
        self.statuses: set[int] = set()
        self.incomplete: dict[int, Command] = {}
        self.task: asyncio.Task[None] | None = None
        self.pending_answers: dict[int, asyncio.Future[Pdu]] = {}

    async def open(self, tsih: int) -> int:
        """Connects and logs in.

        Args:
            tsih: TSIH of the session to join; 0 for a new session.

        Returns:
            The session's TSIH.

        Raises:
            LoginFailedError: The login failed.
            OSError: The connection failed.
        """
        client = self.client
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", client.link.port)
        try:
            answer = await self._login(tsih)
        except (asyncio.IncompleteReadError, ConnectionError, PduError):
            self.writer.transport.abort()
            raise LoginFailedError("the connection ended during the login") from None
        keys = unpack_text(answer.data)
        self.header_digest, self.data_digest = (
            keys.get("HeaderDigest") == "CRC32C",
            keys.get("DataDigest") == "CRC32C",
        )
        if "ErrorRecoveryLevel" in keys and int(keys["ErrorRecoveryLevel"]) != client.level:
            raise LoginFailedError(f"unexpected ErrorRecoveryLevel {keys['ErrorRecoveryLevel']}")
        self.alive = True
        self.task = asyncio.create_task(self._receive())
        return int.from_bytes(answer.lun[6:], "big")

    async def _login(self, tsih: int) -> Pdu:
        client = self.client
        names = {"InitiatorName": client.name, "TargetName": client.target, "SessionType": "Normal"}
        keys = {**client.keys, "MaxRecvDataSegmentLength": str(SEGMENT_BYTES)}
        if not tsih:
            keys |= {
                "ErrorRecoveryLevel": str(client.level),
                "MaxConnections": str(client.connections),
                "InitialR2T": "Yes",
                "ImmediateData": "Yes",
                "MaxOutstandingR2T": "2",
            }
        if client.account is not None:
            await self._login_step(0, {**names, "AuthMethod": "CHAP"}, tsih)
            keys_received = unpack_text((await self._login_step(0, {"CHAP_A": "7,5"}, tsih)).data)
            proof = chap.response(
                int(keys_received["CHAP_A"]),
                int(keys_received["CHAP_I"]),
                client.account[1].encode(),
                chap.decode(keys_received["CHAP_C"]),
            )
            names = {"CHAP_N": client.account[0], "CHAP_R": chap.encode(proof)}
            await self._login_step(FINAL | 1, names, tsih)
            names = {}
        return await self._login_step(LOGIN_FLAGS, {**names, **keys}, tsih)

    async def _login_step(self, flags: int, pairs: dict[str, str], tsih: int) -> Pdu:
        lun = self.client.isid + tsih.to_bytes(2, "big")
        words = [self.cid << 16, self.client.cmd_sn, self.exp_stat_sn, 0, 0, 0, 0]
        self.writer.write(
            Pdu(
                Op.LOGIN, flags, lun=lun, tag=1, immediate=True, data=pack_text(pairs.items()), words=words
            ).encode()
        )
        answer = await read_pdu(self.reader)
        if answer.opcode != Op.LOGIN_RESPONSE or answer.words[4] >> 16:
            raise LoginFailedError(f"status {answer.words[4] >> 16:#06x}")
        self.exp_stat_sn = (answer.words[1] + 1) % (1 << 32)
        if not tsih and not self.client.logged_in:
            self.client.max_cmd_sn = answer.words[3]
        return answer

    def send(self, pdu: Pdu) -> None:
        """Sends a PDU with the current ExpStatSN, unless the connection is closing."""
        pdu.words[2] = self.exp_stat_sn
        if not self.writer.is_closing():
            self.writer.write(pdu.encode(self.header_digest, self.data_digest))

    async def _receive(self) -> None:
        try:
            while True:
                try:
                    self.handle_pdu(
                        await read_pdu(self.reader, 1 << 20, self.header_digest, self.data_digest)
                    )
                except DataDigestError as error:
                    if not self.client.level:
                        break
                    self._request_retransmission(error.pdu)
        except (asyncio.IncompleteReadError, ConnectionError, HeaderDigestError, PduError):
            pass
        self.alive = False
        self.writer.transport.abort()
        for answer in self.pending_answers.values():
            if not answer.done():
                answer.set_exception(LoginFailedError("the connection ended"))
        self.client.on_connection_lost(self)

    def _request_retransmission(self, pdu: Pdu) -> None:
        """Requests a PDU again whose data segment is corrupt (7.2, 7.3)."""
        if pdu.opcode == Op.DATA_IN:
            command = self.client.commands.get(pdu.tag)
            if command is not None:
                command.was_recovered = True
                self._snack(0, pdu.tag, pdu.words[4], 1)
        elif pdu.opcode in (Op.SCSI_RESPONSE, Op.REJECT, Op.TEXT_RESPONSE):
            self._snack(1, RESERVED_TAG, pdu.words[1], 1)

    def _snack(self, kind: int, tag: int, first: int, run: int) -> None:
        self.send(Pdu(Op.SNACK, FINAL | kind, tag=tag, words=[RESERVED_TAG, 0, 0, 0, 0, first, run]))

    def handle_pdu(self, pdu: Pdu) -> None:
        """Handles a received PDU."""
        client = self.client
        client.update_window(pdu.words[2], pdu.words[3])
        if pdu.opcode == Op.DATA_IN:
            command = client.commands.get(pdu.tag)
            if command is not None and command.connection is self:
                command.data_segments[pdu.words[4]] = pdu.data
                client.finish_if_complete(command)
            return
        if pdu.opcode == Op.R2T:
            client.data_out(self, pdu)
            return
        if pdu.opcode == Op.NOP_IN and pdu.tag == RESERVED_TAG:
            if pdu.words[0] != RESERVED_TAG:
                self.send(Pdu(Op.NOP_OUT, immediate=True, words=[pdu.words[0], client.cmd_sn, 0, 0, 0, 0, 0]))
            return
        if pdu.opcode == Op.SCSI_RESPONSE:
            command = client.commands.get(pdu.tag)
            if command is not None and command.status is None and len(command.data_segments) < pdu.words[4]:
                self.hold_status(pdu.words[1], command)
        is_new = self._record_stat_sn(pdu.words[1])
        if pdu.opcode == Op.SCSI_RESPONSE:
            client.on_response(self, pdu, is_new)
        elif pdu.opcode == Op.REJECT and is_new:
            client.on_reject(self, pdu)
        elif pdu.tag in self.pending_answers and not self.pending_answers[pdu.tag].done():
            self.pending_answers[pdu.tag].set_result(pdu)

    def _record_stat_sn(self, stat_sn: int) -> bool:
        """Records a received StatSN and returns whether it is new.

        Gaps need no action here: `_request_retransmission` requests each PDU that arrives corrupt.
        """
        if serial_distance(stat_sn, self.exp_stat_sn) < 0 or stat_sn in self.statuses:
            return False
        self.statuses.add(stat_sn)
        self.acknowledge()
        return True

    def acknowledge(self) -> None:
        """Advances ExpStatSN past all complete statuses.

        A status whose data are missing is not acknowledged: the target discards the data of acknowledged
        commands, so that they could not be requested again (11.16).
        """
        while self.exp_stat_sn in self.statuses and self.exp_stat_sn not in self.incomplete:
            self.statuses.discard(self.exp_stat_sn)
            self.exp_stat_sn = (self.exp_stat_sn + 1) % (1 << 32)

    def hold_status(self, stat_sn: int, command: Command) -> None:
        """Delays the acknowledgement of a status until its command has all of its data."""
        self.incomplete[stat_sn] = command

    def release_status(self, command: Command) -> None:
        """Allows the acknowledgement of a command's status, now that its data are complete."""
        self.incomplete = {stat_sn: held for stat_sn, held in self.incomplete.items() if held is not command}
        self.acknowledge()

    async def request(self, pdu: Pdu) -> Pdu:
        """Sends a request and returns the response with the same task tag.

        Raises:
            LoginFailedError: The connection ended before the response.
            TimeoutError: No response arrived within ANSWER_TIMEOUT_S.
        """
        answer: asyncio.Future[Pdu] = asyncio.get_running_loop().create_future()
        self.pending_answers[pdu.tag] = answer
        try:
            self.send(pdu)
            async with asyncio.timeout_at(asyncio.get_running_loop().time() + ANSWER_TIMEOUT_S):
                return await answer
        finally:
            del self.pending_answers[pdu.tag]


class Client:
    """An iSCSI session that is reopened whenever it is lost.

    Attributes:
        link: Link to the broker, or the broker itself.
        target: Name of the target.
        name: Name of the initiator.
        level: ErrorRecoveryLevel of the session.
        connections: Number of connections of the session.
        random: Source of the random choices.
        account: CHAP name and secret, or None for no authentication.
        keys: Additional login keys.
        isid: ISID of the session.
        commands: Open commands, by task tag.
        answered_tags: Tags of commands that have ended.
        cmd_sn: Next CmdSN.
        exp_cmd_sn: Latest ExpCmdSN of the target.
        max_cmd_sn: Latest MaxCmdSN of the target.
        tsih: TSIH of the session.
        active_connections: Connections of the current session.
        recovered: Number of commands that were completed after recovery.
        sessions: Number of sessions so far.
        duplicate_answers: Number of additional responses to commands that had ended.
        logged_in: Whether the session is open.
    """

    recovery_timeout_s = 6.0  # time for recovery, beyond a command's own deadline

    def __init__(
        self,
        link: FaultyLink | DirectLink,
        target: str,
        name: str,
        connections: int,
        level: int,
        random: Random,
        account: tuple[str, str] | None,
        keys: dict[str, str],
    ) -> None:
        self.link, self.target, self.name, self.level = link, target, name, level
        self.connections, self.random, self.account, self.keys = connections, random, account, keys
        self.isid = b"\x80" + next(_isids).to_bytes(5, "big")
        self.commands: dict[int, Command] = {}
        self.answered_tags: set[int] = set()
        self.cmd_sn, self.exp_cmd_sn, self.max_cmd_sn, self.tsih = 1, 1, 0, 0
        self.active_connections: list[Connection] = []
        self.recovered = self.sessions = self.duplicate_answers = 0
        self.logged_in = False
        self._tags = itertools.count(1)
        self._lock, self._window_opened = asyncio.Lock(), asyncio.Event()
        self._reconnecting: set[asyncio.Task[None]] = set()
        self._closed = False

    # Commands

    async def run(self, cdb: bytes, lun: int, data: bytes, read: int) -> tuple[int, bytes]:
        """Runs one command.

        Args:
            cdb: The CDB.
            lun: The LUN.
            data: Data to write.
            read: Number of bytes to read.

        Returns:
            The SCSI status and the data read.

        Raises:
            CommandLostError: The session ended before the response.
        """
        while True:
            await self._ensure_session()
            if (
                serial_distance(self.cmd_sn, self.max_cmd_sn) <= 0
                and self.logged_in
                and (alive := self._alive())
            ):
                break
            self._window_opened.clear()
            await self._wait(self._window_opened.wait())
        tag = next(self._tags) % RESERVED_TAG
        flags = FINAL | (0x40 if read else 0) | (0x20 if data else 0) | 1
        words = list(struct.unpack(">4I", cdb.ljust(16, b"\0")))
        pdu = Pdu(
            Op.SCSI_COMMAND,
            flags,
            lun=pack_lun(lun),
            tag=tag,
            data=data[:4096],
            words=[len(data) or read, self.cmd_sn, 0, *words],
        )
        self.cmd_sn = (self.cmd_sn + 1) % (1 << 32)
        command = Command(pdu, data, read, asyncio.get_running_loop().create_future())
        self.commands[tag] = command
        command.connection = self.random.choice(alive)
        command.connection.send(pdu)
        try:
            return await command.done
        finally:
            self.commands.pop(tag, None)
            self.answered_tags.add(tag)
            if command.connection is not None:
                command.connection.release_status(command)

    async def _wait(self, awaitable: Awaitable[bool]) -> None:
        try:
            async with asyncio.timeout_at(asyncio.get_running_loop().time() + 0.1):
                await awaitable
        except TimeoutError:
            pass

    def _alive(self) -> list[Connection]:
        return [connection for connection in self.active_connections if connection.alive]

    def update_window(self, exp_cmd_sn: int, max_cmd_sn: int) -> None:
        """Updates the command window from a PDU's ExpCmdSN and MaxCmdSN."""
        if serial_distance(exp_cmd_sn, self.exp_cmd_sn) > 0:
            self.exp_cmd_sn = exp_cmd_sn
        if serial_distance(max_cmd_sn, self.max_cmd_sn) > 0:
            self.max_cmd_sn = max_cmd_sn
            self._window_opened.set()

    def data_out(self, connection: Connection, pdu: Pdu) -> None:
        """Sends the data that an R2T requests."""
        command = self.commands.get(pdu.tag)
        if command is None:
            return
        start, length = pdu.words[5:7]
        for data_sn, offset in enumerate(range(start, start + length, SEGMENT_BYTES)):
            end = min(offset + SEGMENT_BYTES, start + length)
            connection.send(
                Pdu(
                    Op.DATA_OUT,
                    FINAL if end == start + length else 0,
                    lun=pdu.lun,
                    tag=pdu.tag,
                    data=command.data[offset:end],
                    words=[pdu.words[0], 0, 0, 0, data_sn, offset, 0],
                )
            )

    def on_response(self, connection: Connection, pdu: Pdu, is_new: bool) -> None:
        """Records the status of a command, or counts a duplicate response."""
        command = self.commands.get(pdu.tag)
        if command is None or command.status is not None:
            self.duplicate_answers += is_new and pdu.tag in self.answered_tags
            return
        command.status = pdu
        self.finish_if_complete(command)

    def finish_if_complete(self, command: Command) -> None:
        """Completes a command whose status and data have arrived, and counts its recovery."""
        if not command.finish():
            return
        if command.connection is not None:
            command.connection.release_status(command)
        if command.was_recovered:
            command.was_recovered = False
            self.recovered += 1

    def on_reject(self, connection: Connection, pdu: Pdu) -> None:
        """Sends a command again, with the same CmdSN, that the target rejected as corrupt.

        The target itself requests corrupt Data-Out PDUs again.
        """
        tag = int.from_bytes(pdu.data[16:20], "big")
        command = self.commands.get(tag)
        if pdu.byte2 == PduError.DIGEST and command is not None:
            command.was_recovered = True
            if pdu.data[0] & 0x3F == Op.SCSI_COMMAND:
                connection.send(command.pdu)

    # Sessions

    async def _ensure_session(self) -> None:
        """Waits for a session with an open connection, and opens one if there is none."""
        async with self._lock:
            while not self.logged_in or not self._alive():
                if self._reconnecting:
                    await asyncio.sleep(0.005)
                    continue
                await self._open_session()

    async def _open_session(self) -> None:
        """Opens a new session; the commands of the old one are lost."""
        self._fail_commands()
        self.logged_in, self.active_connections = False, []
        self.cmd_sn = self.exp_cmd_sn = self.random.choice((1, 0xFFFFFFF0))
        try:
            first = Connection(self, 0)
            self.tsih = await first.open(0)
            self.active_connections = [first]
            self.logged_in = True
            self.sessions += 1
            for cid in range(1, self.connections):
                connection = Connection(self, cid)
                await connection.open(self.tsih)
                self.active_connections.append(connection)
        except (LoginFailedError, OSError):
            await asyncio.sleep(0.02)

    def _fail_commands(self) -> None:
        for command in self.commands.values():
            if not command.done.done():
                command.done.set_exception(CommandLostError())

    def on_connection_lost(self, connection: Connection) -> None:
        """Handles the end of a connection: ends the session, or replaces the connection at level 2."""
        self._window_opened.set()
        if connection not in self.active_connections or self._closed:
            return
        if self.level < 2:
            self.logged_in = False
            for remaining in self.active_connections:
                if remaining.alive:
                    remaining.writer.transport.abort()
            self._fail_commands()
            return
        task = asyncio.create_task(self._reconnect(connection))
        self._reconnecting.add(task)
        task.add_done_callback(self._reconnecting.discard)

    async def _reconnect(self, lost: Connection) -> None:
        """Replaces a lost connection with a new one of the same CID and reassigns its commands (7.4)."""
        replacement = Connection(self, lost.cid)
        self.active_connections = [
            replacement if connection is lost else connection for connection in self.active_connections
        ]
        orphans = [command for command in self.commands.values() if command.connection is lost]
        for _ in range(20):
            try:
                await replacement.open(self.tsih)
                break
            except (LoginFailedError, OSError) as error:
                if "0x020a" in str(error):
                    break
                await asyncio.sleep(0.02)
        if not replacement.alive:
            self.logged_in = False
            for connection in self.active_connections:
                if connection.alive:
                    connection.writer.transport.abort()
            self._fail_commands()
            return
        # All commands are assigned before any is reassigned: if this connection is lost too, its replacement
        # takes over all of them.
        for command in orphans:
            command.connection = replacement
        for command in orphans:
            if replacement.alive and not command.done.done():
                await self._reassign(replacement, command)
        self._window_opened.set()

    async def _reassign(self, connection: Connection, command: Command) -> None:
        command.data_segments.clear()
        command.status = None
        tag = next(self._tags) % RESERVED_TAG
        try:
            answer = await connection.request(
                Pdu(
                    Op.TASK_MANAGEMENT,
                    FINAL | 8,
                    lun=command.pdu.lun,
                    tag=tag,
                    immediate=True,
                    words=[command.pdu.tag, self.cmd_sn, 0, command.pdu.words[1], 0, 0, 0],
                )
            )
        except (LoginFailedError, TimeoutError):
            return  # this connection is lost too and will be replaced itself
        command.was_recovered = True
        if answer.byte2 == 0:
            return
        if serial_distance(command.pdu.words[1], self.exp_cmd_sn) >= 0:
            connection.send(command.pdu)  # the target never received it: sent again with its CmdSN
        elif not command.done.done():
            command.done.set_exception(CommandLostError())

    async def flood(self, count: int) -> int:
        """Sends `count` commands regardless of the command window and reads no responses for 50 ms.

        Returns:
            Number of commands sent; 0 if there is no session.
        """
        await self._open_session()
        if not self.logged_in:
            return 0
        connection = self.active_connections[0]
        if connection.task is not None:
            connection.task.cancel()
        for number in range(count):
            words = list(struct.unpack(">4I", b"\x28" + bytes(6) + b"\0\x40" + bytes(7)))
            connection.send(
                Pdu(
                    Op.SCSI_COMMAND,
                    FINAL | 0x41,
                    tag=number + 1,
                    words=[32768, (self.cmd_sn + number) % (1 << 32), 0, *words],
                )
            )
        await asyncio.sleep(0.05)
        return count

    async def close(self) -> None:
        """Closes all connections without logging out."""
        self._closed = True
        for task in list(self._reconnecting):
            task.cancel()
        for connection in self.active_connections:
            if connection.task is not None:
                connection.task.cancel()
            connection.writer.transport.abort()
        await asyncio.sleep(0)

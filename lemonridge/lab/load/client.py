"""An initiator that recovers as its session's level has it (RFC 7143, chapter 7): the stand-in for a good
driver.

Level 0 and 1: a lost connection ends the session, and what it had is lost. Level 1: spoilt PDUs are asked for
again. Level 2: a lost connection is made anew, and its commands are reassigned.
"""

from __future__ import annotations

import asyncio
import itertools
import struct
from collections.abc import Awaitable
from dataclasses import dataclass, field
from random import Random

from lemonridge.iscsi import chap
from lemonridge.iscsi.numbers import later
from lemonridge.iscsi.pdu import (
    FINAL,
    NONE,
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
ANSWER_TIMEOUT_S = 6.0  # for a login or a reassignment
_isids = itertools.count(1000)


class CommandLostError(Exception):
    """The session ended under a command: what it did is not known."""


class LoginFailedError(Exception):
    """A login that was refused or broke off."""


@dataclass(eq=False)
class Command:
    """A command under way."""

    pdu: Pdu
    data: bytes
    expected_bytes: int
    done: asyncio.Future[tuple[int, bytes]]
    connection: Connection | None = None
    data_segments: dict[int, bytes] = field(default_factory=dict)  # by DataSN
    status: Pdu | None = None
    was_recovered: bool = False  # something of it was recovered

    def finish(self) -> bool:
        """Whether all is there: the status, and every Data-In that it counts."""
        if self.status is None or len(self.data_segments) < self.status.words[4]:
            return False
        if not self.done.done():
            self.done.set_result(
                (self.status.byte3, b"".join(self.data_segments[n] for n in sorted(self.data_segments)))
            )
        return True


class Connection:
    """One connection of a client's session."""

    def __init__(self, client: Client, cid: int) -> None:
        self.client, self.cid = client, cid
        self.exp_stat_sn, self.header_digest, self.data_digest = 0, False, False
        self.alive = False
        self.statuses: set[int] = set()  # StatSNs that came after one that is not acknowledged yet
        self.incomplete: dict[int, Command] = {}  # by StatSN: their data are missing, so they wait
        self.task: asyncio.Task[None] | None = None
        self.pending_answers: dict[int, asyncio.Future[Pdu]] = {}

    async def open(self, tsih: int) -> int:
        """Connect and log in; the session's TSIH."""
        client = self.client
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", client.link.port)
        try:
            answer = await self._login(tsih)
        except (asyncio.IncompleteReadError, ConnectionError, PduError):
            self.writer.transport.abort()
            raise LoginFailedError("broken off") from None
        keys = unpack_text(answer.data)
        self.header_digest, self.data_digest = (
            keys.get("HeaderDigest") == "CRC32C",
            keys.get("DataDigest") == "CRC32C",
        )
        if "ErrorRecoveryLevel" in keys and int(keys["ErrorRecoveryLevel"]) != client.level:
            raise LoginFailedError(f"level {keys['ErrorRecoveryLevel']}")
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
        """A PDU whose data came spoilt is asked for again (7.2, 7.3)."""
        if pdu.opcode == Op.DATA_IN:
            command = self.client.commands.get(pdu.tag)
            if command is not None:
                command.was_recovered = True
                self._snack(0, pdu.tag, pdu.words[4], 1)
        elif pdu.opcode in (Op.SCSI_RESPONSE, Op.REJECT, Op.TEXT_RESPONSE):
            self._snack(1, NONE, pdu.words[1], 1)

    def _snack(self, kind: int, tag: int, first: int, run: int) -> None:
        self.send(Pdu(Op.SNACK, FINAL | kind, tag=tag, words=[NONE, 0, 0, 0, 0, first, run]))

    def handle_pdu(self, pdu: Pdu) -> None:
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
        if pdu.opcode == Op.NOP_IN and pdu.tag == NONE:
            if pdu.words[0] != NONE:
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
        """Note a StatSN; whether it is new. What lies between is asked for by `_missed` as it comes
        spoilt.
        """
        if later(stat_sn, self.exp_stat_sn) < 0 or stat_sn in self.statuses:
            return False
        self.statuses.add(stat_sn)
        self.acknowledge()
        return True

    def acknowledge(self) -> None:
        """Count on the StatSNs that are complete: a target forgets the data of what was acknowledged, and
        they could not be asked for again (11.16).
        """
        while self.exp_stat_sn in self.statuses and self.exp_stat_sn not in self.incomplete:
            self.statuses.discard(self.exp_stat_sn)
            self.exp_stat_sn = (self.exp_stat_sn + 1) % (1 << 32)

    def hold_status(self, stat_sn: int, command: Command) -> None:
        """Hold a status back until its command has all of its data."""
        self.incomplete[stat_sn] = command

    def release_status(self, command: Command) -> None:
        """Acknowledge the status of a command that has all of its data now."""
        self.incomplete = {stat_sn: held for stat_sn, held in self.incomplete.items() if held is not command}
        self.acknowledge()

    async def request(self, pdu: Pdu) -> Pdu:
        answer: asyncio.Future[Pdu] = asyncio.get_running_loop().create_future()
        self.pending_answers[pdu.tag] = answer
        try:
            self.send(pdu)
            async with asyncio.timeout_at(asyncio.get_running_loop().time() + ANSWER_TIMEOUT_S):
                return await answer
        finally:
            del self.pending_answers[pdu.tag]


class Client:
    """A session that is made anew as often as it takes."""

    recovery_timeout_s = 6.0  # beyond a command's own deadline: for what recovery takes

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
        self.answered_tags: set[int] = set()  # tags of commands that were answered
        self.cmd_sn, self.exp_cmd_sn, self.max_cmd_sn, self.tsih = 1, 1, 0, 0
        self.active_connections: list[Connection] = []
        self.recovered = self.sessions = self.duplicate_answers = 0
        self.logged_in = False
        self._tags = itertools.count(1)
        self._lock, self._window_opened = asyncio.Lock(), asyncio.Event()
        self._reconnecting: set[asyncio.Task[None]] = set()
        self._closed = False

    # A command

    async def run(self, cdb: bytes, lun: int, data: bytes, read: int) -> tuple[int, bytes]:
        """Status and data of one command; CommandLostError if its session ended under it."""
        while True:
            await self._ensure_session()
            if later(self.cmd_sn, self.max_cmd_sn) <= 0 and self.logged_in and (alive := self._alive()):
                break
            self._window_opened.clear()
            await self._wait(self._window_opened.wait())
        tag = next(self._tags) % NONE
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
        if later(exp_cmd_sn, self.exp_cmd_sn) > 0:
            self.exp_cmd_sn = exp_cmd_sn
        if later(max_cmd_sn, self.max_cmd_sn) > 0:
            self.max_cmd_sn = max_cmd_sn
            self._window_opened.set()

    def data_out(self, connection: Connection, pdu: Pdu) -> None:
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
        command = self.commands.get(pdu.tag)
        if command is None or command.status is not None:
            self.duplicate_answers += is_new and pdu.tag in self.answered_tags
            return
        command.status = pdu
        self.finish_if_complete(command)

    def finish_if_complete(self, command: Command) -> None:
        if not command.finish():
            return
        if command.connection is not None:
            command.connection.release_status(command)
        if command.was_recovered:
            command.was_recovered = False
            self.recovered += 1

    def on_reject(self, connection: Connection, pdu: Pdu) -> None:
        """A command that came spoilt is sent again under its number; lost data are asked for by the
        target.
        """
        tag = int.from_bytes(pdu.data[16:20], "big")
        command = self.commands.get(tag)
        if pdu.byte2 == PduError.DIGEST and command is not None:
            command.was_recovered = True
            if pdu.data[0] & 0x3F == Op.SCSI_COMMAND:
                connection.send(command.pdu)

    # Sessions

    async def _ensure_session(self) -> None:
        """A session with a connection, made if there is none."""
        async with self._lock:
            while not self.logged_in or not self._alive():
                if self._reconnecting:
                    await asyncio.sleep(0.005)
                    continue
                await self._open_session()

    async def _open_session(self) -> None:
        """A new session: what the old one had is lost."""
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
        """A connection is gone."""
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
        """Make a lost connection anew under its CID, and take its commands over to it (7.4)."""
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
        for command in orphans:  # all at once: if this connection is lost too, they are taken over with it
            command.connection = replacement
        for command in orphans:
            if replacement.alive and not command.done.done():
                await self._reassign(replacement, command)
        self._window_opened.set()

    async def _reassign(self, connection: Connection, command: Command) -> None:
        command.data_segments.clear()
        command.status = None
        tag = next(self._tags) % NONE
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
            return  # that connection is lost too, and mended in its turn
        command.was_recovered = True
        if answer.byte2 == 0:
            return
        if later(command.pdu.words[1], self.exp_cmd_sn) >= 0:
            connection.send(command.pdu)  # it never came: again under its number
        elif not command.done.done():
            command.done.set_exception(CommandLostError())

    async def flood(self, count: int) -> int:
        """Send far past the window and read nothing for a while."""
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
        self._closed = True
        for task in list(self._reconnecting):
            task.cancel()
        for connection in self.active_connections:
            if connection.task is not None:
                connection.task.cancel()
            connection.writer.transport.abort()
        await asyncio.sleep(0)

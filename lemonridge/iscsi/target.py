"""The iSCSI front: a target that initiators log in to. Each command is one core request."""

from __future__ import annotations

import asyncio
import logging
from dataclasses import dataclass, field

from lemonridge.config import Address
from lemonridge.core.broker import Broker
from lemonridge.core.clock import Clock
from lemonridge.core.model import Request
from lemonridge.counters import Counters
from lemonridge.iscsi import scsi
from lemonridge.iscsi.config import READ, WRITE, Iscsi
from lemonridge.iscsi.mapped import MappedLuns, reply_of
from lemonridge.iscsi.pdu import (
    CONTINUE,
    FINAL,
    NONE,
    PORTAL_MAX,
    TEXT_MAX,
    Op,
    Pdu,
    PduError,
    keep_alive,
    later,
    pack_lun,
    pack_text,
    read_pdu,
    unpack_lun,
    unpack_text,
)  # fmt: skip

log = logging.getLogger(__name__)

LOGIN_S = 5.0  # from the connection to the end of its login
LINGER_S = 1.0  # for the last words to a peer; one that takes nothing must not hold what was written
TAIL_S = 0.5  # after SIGTERM: commands are still taken so long
BURST_MAX = 256 * 1024
FIRST_BURST = 64 * 1024
AHEAD = 64 * 1024  # of a connection's input held before it is parsed
SECURITY, OPERATIONAL, FULL_FEATURE = 0, 1, 3
MISSING, NOT_FOUND, VERSION, AUTHENTICATION, TYPE, NO_SESSION, INVALID, STOPPING, FULL = (
    0x0207, 0x0203, 0x0205, 0x0201, 0x0209, 0x020A, 0x020B, 0x0301, 0x0302)  # fmt: skip
# What this side answers to each operational key; where it takes a number, the lesser one.
FIXED = {"HeaderDigest": "None", "DataDigest": "None", "MaxConnections": "1", "InitialR2T": "Yes",
         "MaxOutstandingR2T": "1", "DataPDUInOrder": "Yes", "DataSequenceInOrder": "Yes",
         "ErrorRecoveryLevel": "0", "DefaultTime2Retain": "0"}  # fmt: skip
LEAST = {"MaxBurstLength": BURST_MAX, "FirstBurstLength": FIRST_BURST}
SILENT = frozenset(("InitiatorName", "InitiatorAlias", "TargetName", "SessionType", "AuthMethod",
                    "MaxRecvDataSegmentLength"))  # declared, or answered elsewhere


class LoginError(Exception):
    """A login that is refused, with the status class and detail."""

    def __init__(self, status: int) -> None:
        super().__init__(f"login status {status:#06x}")
        self.status = status


@dataclass(slots=True)
class Task:
    """A command from its PDU to its response."""

    pdu: Pdu
    command: scsi.Command
    arrived_us: int
    received: bytearray = field(default_factory=bytearray)
    transfer_tag: int = NONE
    burst_end: int = 0
    data_sn: int = 0
    burst: asyncio.Event = field(default_factory=asyncio.Event)
    runner: asyncio.Task[None] | None = None


class IscsiFront:
    """Serves initiators."""

    def __init__(self, config: Iscsi, broker: Broker, clock: Clock, counters: Counters,
                 mapped: MappedLuns | None = None) -> None:
        self.config, self.broker, self.clock, self.counters = config, broker, clock, counters
        self.mapped = mapped
        self.sessions: set[Session] = set()
        self.buffered = 0  # bytes of data that commands of all sessions may hold at this moment
        self.stopping = False
        self.tsih = 0
        self._listener: asyncio.Server | None = None

    async def start(self, address: Address) -> None:
        self._listener = await asyncio.start_server(self._connected, address.host, address.port, limit=AHEAD)
        for sock in self._listener.sockets:
            log.info("listening", extra={"front": "iscsi", "address": "{}:{}".format(*sock.getsockname())})

    async def stop(self) -> None:
        """Ask every initiator to log out, take commands through the tail, then only finish what is held."""
        assert self._listener is not None
        self.stopping = True
        for session in self.sessions:
            session.ask_logout()
        await asyncio.sleep(TAIL_S)
        self._listener.close()
        for session in list(self.sessions):
            session.end_when_idle()

    @property
    def busy(self) -> bool:
        return bool(self.sessions)

    async def _connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        keep_alive(writer)
        if len(self.sessions) >= 2 * self.config.max_sessions:  # up to here a login gets a word
            writer.transport.abort()
            return
        session = Session(self, reader, writer)
        self.sessions.add(session)
        self.counters["sessions.opened"] += 1
        try:
            await session.run()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass  # the initiator has gone
        except asyncio.CancelledError:
            pass  # the program ends
        except Exception:
            log.exception("session failed")
        finally:
            session.drop()
            self.sessions.discard(session)


class Session:
    """One session, which is one connection."""

    def __init__(self, front: IscsiFront, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.front, self.reader, self.writer = front, reader, writer
        self.stat_sn = 1
        self.expected = 0  # ExpCmdSN
        self.tasks: dict[int, Task] = {}
        self.transfers = 0
        self.segment = 8192  # the largest data segment the initiator takes, as the RFC's default
        self.burst, self.first_burst, self.immediate_data = BURST_MAX, FIRST_BURST, True
        self.discovery = self.logged_in = self.ending = False

    async def run(self) -> None:
        """Login, then PDU after PDU until logout, the end of the connection or a breach of the protocol."""
        try:
            async with asyncio.timeout_at(asyncio.get_running_loop().time() + LOGIN_S):
                await self._login()
        except (TimeoutError, LoginError):
            return
        except PduError as error:
            log.warning("login broken", extra={"error": str(error)})
            return
        self.logged_in = True
        try:
            while self._one(await read_pdu(self.reader)):
                await self.writer.drain()
        except PduError as error:
            # At error recovery level 0 a breach ends the session, after a word about its cause.
            self.front.counters["pdus.rejected"] += 1
            log.warning("rejected", extra={"error": str(error)})
            self._reject(error.pdu, error.reason)
        await self.writer.drain()

    def drop(self) -> None:
        """The connection is over: its commands have no one left to answer."""
        for task in list(self.tasks.values()):
            self._abort(task)
        self.writer.close()
        loop = asyncio.get_running_loop()
        loop.call_at(loop.time() + LINGER_S, self.writer.transport.abort)

    def ask_logout(self) -> None:
        """Async Message 1: log out within the tail."""
        if self.logged_in:
            self._send(Pdu(Op.ASYNC, words=[0, 0, 0, 0, 1 << 24, 1, 0]), status=True)

    def end_when_idle(self) -> None:
        self.ending = True
        if not self.tasks:
            self.writer.close()

    # What goes out

    def _send(self, pdu: Pdu, status: bool = False) -> None:
        """Write with this session's numbers; a PDU that carries status takes a StatSN of its own."""
        pdu.words[1], pdu.words[2] = self.stat_sn, self.expected
        room = max(0, self.front.config.queue_depth - len(self.tasks))
        pdu.words[3] = (self.expected + room - 1) & NONE
        if status:
            self.stat_sn = (self.stat_sn + 1) & NONE
        if not self.writer.is_closing():
            self.writer.write(pdu.encode())

    def _reject(self, pdu: Pdu | None, reason: int) -> None:
        self._send(Pdu(Op.REJECT, byte2=reason, data=pdu.encode()[:48] if pdu else b""), status=True)

    # Login and text keys

    async def _login(self) -> None:
        text, stage, identified = b"", -1, False
        while True:
            pdu = await read_pdu(self.reader)
            if pdu.opcode != Op.LOGIN:
                raise PduError(PduError.PROTOCOL, "not a login request", pdu)
            if stage < 0:
                self.expected = pdu.words[1]
            now, following = pdu.flags >> 2 & 3, pdu.flags & 3
            transit = bool(pdu.flags & FINAL)
            self._login_sane(pdu, stage, now, following, transit)
            stage, text = now, text + pdu.data
            if len(text) > TEXT_MAX:
                self._refuse_login(pdu, INVALID)
            if pdu.flags & CONTINUE:
                self._login_response(pdu, now << 2, b"")
                continue
            try:
                told = unpack_text(text)
            except PduError:
                self._refuse_login(pdu, INVALID)
            text = b""
            pairs = [] if identified else self._identify(pdu, told)
            identified = True
            if now == SECURITY and "AuthMethod" in told:
                if "None" not in told["AuthMethod"].split(","):
                    self._refuse_login(pdu, AUTHENTICATION)
                pairs.append(("AuthMethod", "None"))
            pairs += self._negotiate(told)
            if transit and following == FULL_FEATURE:
                self.front.tsih = self.front.tsih % 0xFFFF + 1
                pdu.lun = pdu.lun[:6] + self.front.tsih.to_bytes(2, "big")
            self._login_response(pdu, (FINAL | following if transit else 0) | now << 2, pack_text(pairs))
            await self.writer.drain()
            if transit and following == FULL_FEATURE:
                return
            stage = following if transit else now

    def _login_sane(self, pdu: Pdu, stage: int, now: int, following: int, transit: bool) -> None:
        if pdu.byte3 > 0:
            self._refuse_login(pdu, VERSION)
        if self.front.stopping:
            self._refuse_login(pdu, STOPPING)
        if len(self.front.sessions) > self.front.config.max_sessions:
            self._refuse_login(pdu, FULL)
        if pdu.lun[6:] != b"\0\0":  # a further connection, or one of a session that is over
            self._refuse_login(pdu, NO_SESSION)
        steps = now in (SECURITY, OPERATIONAL) and (not transit or following in (OPERATIONAL, FULL_FEATURE))
        if not steps or (transit and following <= now) or (stage >= 0 and now != stage) \
                or (transit and pdu.flags & CONTINUE):
            self._refuse_login(pdu, INVALID)

    def _identify(self, pdu: Pdu, keys: dict[str, str]) -> list[tuple[str, str]]:
        """Who asks for what; the first request must say so."""
        config, name = self.front.config, keys.get("InitiatorName")
        if not name:
            self._refuse_login(pdu, MISSING)
        if config.initiators and name not in config.initiators:
            self._refuse_login(pdu, 0x0202)
        kind = keys.get("SessionType", "Normal")
        if kind not in ("Normal", "Discovery"):
            self._refuse_login(pdu, TYPE)
        self.discovery = kind == "Discovery"
        if not self.discovery:
            if "TargetName" not in keys:
                self._refuse_login(pdu, MISSING)
            if keys["TargetName"] != config.target:
                self._refuse_login(pdu, NOT_FOUND)
            return [("TargetPortalGroupTag", "1")]
        return []

    def _negotiate(self, told: dict[str, str]) -> list[tuple[str, str]]:
        """Answers to the operational keys."""
        pairs: list[tuple[str, str]] = []
        for key, value in told.items():
            if key in FIXED:
                pairs.append((key, FIXED[key]))
            elif key in LEAST:
                if not value.isdigit() or not 512 <= int(value) < 2**24:
                    pairs.append((key, "Reject"))
                    continue
                agreed = min(int(value), LEAST[key])
                if key == "MaxBurstLength":
                    self.burst = agreed
                else:
                    self.first_burst = agreed
                pairs.append((key, str(agreed)))
            elif key == "ImmediateData":
                self.immediate_data = value == "Yes"
                pairs.append((key, "Yes" if self.immediate_data else "No"))
            elif key == "DefaultTime2Wait":
                pairs.append((key, value if value.isdigit() else "2"))
            elif key in ("IFMarker", "OFMarker"):
                pairs.append((key, "No"))
            elif key not in SILENT:
                pairs.append((key, "NotUnderstood"))
        if "MaxRecvDataSegmentLength" in told:
            size = told["MaxRecvDataSegmentLength"]
            if size.isdigit() and 512 <= int(size) < 2**24:
                self.segment = int(size)
            pairs.append(("MaxRecvDataSegmentLength", str(PORTAL_MAX)))
        return pairs

    def _login_response(self, pdu: Pdu, flags: int, data: bytes, status: int = 0) -> None:
        self._send(Pdu(Op.LOGIN_RESPONSE, flags, lun=pdu.lun, tag=pdu.tag, data=data,
                       words=[0, 0, 0, 0, status << 16, 0, 0]), status=True)

    def _refuse_login(self, pdu: Pdu, status: int) -> None:
        self.front.counters["logins.refused"] += 1
        self._login_response(pdu, 0, b"", status)
        raise LoginError(status)

    # Full feature phase

    def _one(self, pdu: Pdu) -> bool:
        """Take one PDU; False ends the session."""
        if pdu.opcode == Op.DATA_OUT:
            self._data_out(pdu)
            return True
        if pdu.opcode not in (Op.NOP_OUT, Op.SCSI_COMMAND, Op.TASK_MANAGEMENT, Op.TEXT, Op.LOGOUT):
            raise PduError(PduError.UNSUPPORTED, f"opcode {pdu.opcode:#04x}", pdu)
        if not pdu.immediate:
            room = self.front.config.queue_depth - len(self.tasks)
            ahead = later(pdu.words[1], self.expected)
            if ahead < 0 or (ahead == 0 and room <= 0):
                return True  # outside the window: the RFC has it ignored
            if ahead > 0:
                raise PduError(PduError.PROTOCOL, "a command number was left out", pdu)
            self.expected = (self.expected + 1) & NONE
        elif len(self.tasks) >= self.front.config.queue_depth * 2:
            self._reject(pdu, 0x06)
            return True
        if pdu.opcode == Op.NOP_OUT:
            if pdu.tag != NONE:
                words = [NONE, 0, 0, 0, 0, 0, 0]
                self._send(Pdu(Op.NOP_IN, lun=pdu.lun, tag=pdu.tag, words=words, data=pdu.data), status=True)
        elif pdu.opcode == Op.TEXT:
            self._text(pdu)
        elif pdu.opcode == Op.LOGOUT:
            return self._logout(pdu)
        elif self.discovery:
            raise PduError(PduError.PROTOCOL, "a discovery session carries no commands", pdu)
        elif pdu.opcode == Op.TASK_MANAGEMENT:
            self._manage(pdu)
        else:
            self._command(pdu)
        return True

    def _text(self, pdu: Pdu) -> None:
        if pdu.flags & CONTINUE:
            raise PduError(PduError.UNSUPPORTED, "text over several PDUs", pdu)
        pairs: list[tuple[str, str]] = []
        for key, value in unpack_text(pdu.data).items():
            if key == "SendTargets" and value in ("All", "", self.front.config.target):
                host, port = self.writer.get_extra_info("sockname")[:2]
                pairs += [("TargetName", self.front.config.target), ("TargetAddress", f"{host}:{port},1")]
            elif key != "SendTargets":
                pairs.append((key, "NotUnderstood"))
        self._send(Pdu(Op.TEXT_RESPONSE, tag=pdu.tag, data=pack_text(pairs),
                       words=[NONE, 0, 0, 0, 0, 0, 0]), status=True)  # fmt: skip

    def _logout(self, pdu: Pdu) -> bool:
        reason = pdu.flags & 0x7F
        response = 0 if reason in (0, 1) else 2  # 2: recovery of a connection is not supported
        self._send(Pdu(Op.LOGOUT_RESPONSE, byte2=response, tag=pdu.tag), status=True)
        return response != 0

    def _manage(self, pdu: Pdu) -> None:
        """Task management. An aborted command gets no response of its own; what it did stays open."""
        function, lun = pdu.flags & 0x7F, unpack_lun(pdu.lun)
        response = 0
        if function == 1:
            task = self.tasks.get(pdu.words[0])
            response = 1 if task is None else 0
            victims = [task] if task else []
        elif function in (2, 4, 5):
            response = 0 if lun in self.front.config.luns else 2
            victims = [task for task in self.tasks.values() if task.command.lun == lun]
        elif function in (6, 7):
            victims = list(self.tasks.values())
        else:
            response, victims = (4 if function == 8 else 5), []
        for task in victims:
            self.front.counters["commands.aborted"] += 1
            self._abort(task)
        self._send(Pdu(Op.TASK_MANAGEMENT_RESPONSE, byte2=response, tag=pdu.tag), status=True)

    def _command(self, pdu: Pdu) -> None:
        """A command arrives: answer here what cannot be carried, else begin its life."""
        config, arrived_us = self.front.config, self.front.clock.now_us()
        if pdu.tag in self.tasks or pdu.tag == NONE:
            raise PduError(PduError.FIELD, "a task tag that is in use", pdu)
        reads, writes = bool(pdu.flags & 0x40), bool(pdu.flags & 0x20)
        lun, length = unpack_lun(pdu.lun), pdu.words[0]
        if not pdu.flags & FINAL:
            raise PduError(PduError.PROTOCOL, "unsolicited data was not agreed on", pdu)
        if pdu.data and (not writes or not self.immediate_data
                         or len(pdu.data) > min(length, self.first_burst)):
            raise PduError(PduError.PROTOCOL, "immediate data that was not agreed on", pdu)
        command = scsi.Command(-1 if lun is None else lun, pdu.cdb, reads, writes, length)
        task = Task(pdu, command, arrived_us, bytearray(pdu.data))
        self.front.counters["commands.taken"] += 1
        reply = self._local(command)
        if reply is None and (self.ending or self.front.buffered + length > config.buffer_bytes):
            reply = scsi.Reply(scsi.Status.BUSY if self.ending else scsi.Status.TASK_SET_FULL)
        if reply is not None:
            self._respond(task, reply)
            return
        self.tasks[pdu.tag] = task
        self.front.buffered += length
        task.runner = asyncio.create_task(self._life(task))
        task.runner.add_done_callback(lambda _: self._over(task))

    def _local(self, command: scsi.Command) -> scsi.Reply | None:
        """The answer to a command that no node is asked for."""
        opcode, config = command.cdb[0], self.front.config
        if opcode == scsi.REPORT_LUNS:
            data = scsi.report_luns([pack_lun(lun) for lun in sorted(config.luns)])
            return scsi.Reply(scsi.Status.GOOD, data[: int.from_bytes(command.cdb[6:10], "big")])
        if command.lun not in config.luns:
            if opcode == scsi.INQUIRY:
                return scsi.Reply(scsi.Status.GOOD, scsi.absent_inquiry()[: command.length])
            return scsi.no_such_lun()
        if opcode not in scsi.READS and opcode not in scsi.WRITES:
            return scsi.invalid_opcode()
        if (command.writes and opcode not in scsi.WRITES) or (command.reads and opcode not in scsi.READS) \
                or (command.reads and command.writes) or command.length > config.max_transfer \
                or (command.length and not command.reads and not command.writes):
            return scsi.invalid_field()
        mapped = self.front.mapped
        return mapped.local(command) if mapped is not None and config.luns[command.lun].mapped else None

    async def _life(self, task: Task) -> None:
        """One command: gather its data, have it carried, respond."""
        front, command = self.front, task.command
        try:
            lun = front.config.luns[command.lun]
            cls = WRITE if command.cdb[0] in scsi.WRITES else READ
            deadline_us = task.arrived_us + front.config.settings.classes[cls].deadline_us
            if command.writes and not await self._gather(task, deadline_us):
                self._respond(task, scsi.data_incomplete())
                return
            command.data = bytes(task.received)
            if lun.mapped and front.mapped is not None:
                self._respond(task, await front.mapped.serve(command, lun, deadline_us))
                await self.writer.drain()
                return
            answer = await front.broker.serve(Request(
                shard=lun.shard, volume=lun.lun, deadline_us=deadline_us, key=scsi.block(command.cdb),
                cls=cls, plan=lun.plan, units=front.config.units(command.length),
                hosts=front.config.settings.hosts, payload=command))  # fmt: skip
            self._respond(task, reply_of(answer))
            await self.writer.drain()
        except ConnectionError:
            pass  # the initiator has gone

    async def _gather(self, task: Task, deadline_us: int) -> bool:
        """Ask for the rest of a write's data burst by burst; False if it does not come in time."""
        sequence = 0
        try:
            async with asyncio.timeout_at(self.front.clock.loop_time(deadline_us)):
                while (offset := len(task.received)) < task.command.length:
                    self.transfers = (self.transfers + 1) % NONE
                    task.transfer_tag, task.data_sn = self.transfers, 0
                    task.burst_end = min(offset + self.burst, task.command.length)
                    task.burst.clear()
                    self._send(Pdu(Op.R2T, lun=task.pdu.lun, tag=task.pdu.tag, words=[
                        task.transfer_tag, 0, 0, 0, sequence, offset, task.burst_end - offset]))  # fmt: skip
                    sequence += 1
                    await task.burst.wait()
        except TimeoutError:
            return False
        return True

    def _data_out(self, pdu: Pdu) -> None:
        task = self.tasks.get(pdu.tag)
        if task is None:
            return  # of a command that was aborted, or whose data came too late
        wrong = (pdu.words[0] != task.transfer_tag or pdu.words[4] != task.data_sn
                 or pdu.words[5] != len(task.received) or len(task.received) + len(pdu.data) > task.burst_end
                 or bool(pdu.flags & FINAL) != (len(task.received) + len(pdu.data) == task.burst_end))
        if wrong:
            raise PduError(PduError.PROTOCOL, "data that was not asked for", pdu)
        task.received += pdu.data
        task.data_sn += 1
        if pdu.flags & FINAL:
            task.transfer_tag = NONE
            task.burst.set()

    def _over(self, task: Task) -> None:
        """A command's life has ended, and its data have left. Not the end of `_life` itself: a command
        that is aborted before its first step never comes there, and would keep its room for ever."""
        self._forget(task)
        self.front.buffered -= task.command.length
        if self.ending and not self.tasks:
            self.writer.close()

    def _abort(self, task: Task) -> None:
        """End a command without a response."""
        self._forget(task)
        if task.runner is not None:
            task.runner.cancel()

    def _forget(self, task: Task) -> None:
        """A command is over; its place in the window is free again."""
        if self.tasks.get(task.pdu.tag) is task:
            del self.tasks[task.pdu.tag]

    def _respond(self, task: Task, reply: scsi.Reply) -> None:
        """The data of a read in sequences of at most a burst, then the one response."""
        length, data, count = task.command.length, reply.data, 0
        self.front.counters[f"commands.status_{reply.status:#04x}"] += 1
        data = data[:length] if task.command.reads else b""
        for offset in range(0, len(data), self.segment):
            # A PDU ends where its burst ends.
            for start, end in _within(offset, min(offset + self.segment, len(data)), self.burst):
                final = end == len(data) or end % self.burst == 0
                self._send(Pdu(Op.DATA_IN, FINAL if final else 0, lun=task.pdu.lun, tag=task.pdu.tag,
                               data=data[start:end], words=[NONE, 0, 0, 0, count, start, 0]))  # fmt: skip
                count += 1
        residual = (length - len(data) or min(0, reply.residual)) if task.command.reads else reply.residual
        flags = FINAL | (0x02 if residual > 0 else 0x04 if residual < 0 else 0)
        sense = len(reply.sense).to_bytes(2, "big") + reply.sense if reply.sense else b""
        self._forget(task)  # it leaves the window with its response
        self._send(Pdu(Op.SCSI_RESPONSE, flags, byte3=reply.status, tag=task.pdu.tag, data=sense,
                       words=[0, 0, 0, 0, count, 0, abs(residual)]), status=True)  # fmt: skip


def _within(start: int, end: int, burst: int) -> list[tuple[int, int]]:
    """The parts of a stretch of data that lie in one burst each."""
    cut = (start // burst + 1) * burst
    return [(start, end)] if cut >= end else [(start, cut), *_within(cut, end, burst)]

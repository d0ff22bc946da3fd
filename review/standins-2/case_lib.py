"""What the cases 6 to 10 share: the broker as a process, the record, and a small iSCSI initiator.

The initiator is written from RFC 7143: several connections in a session, error recovery level 0 or 2, task
management, and logout for recovery. It speaks through the project's encoder of PDUs.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import os
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path

from lemonridge.iscsi.pdu import FINAL, RESERVED_TAG, Op, Pdu, pack_lun, pack_text, read_pdu

ROOT = Path(__file__).resolve().parent.parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
CASE_LIMIT_S = 115.0  # a case that takes longer could not run
TARGET = "iqn.2026-12.org.lemonridge:store"
BLOCK_BYTES = 512
HELD, BROKEN, CANNOT_RUN = 0, 1, 2  # exit statuses

ISCSI_TOML = """
[iscsi]
listen = "127.0.0.1:{port}"
target = "iqn.2026-12.org.lemonridge:store"
connections = 4
recovery_level = 2
time2wait_s = 2
time2retain_s = 20

[initiator]
name = "iqn.2026-12.org.lemonridge:broker"
connect_timeout_ms = 250
idle_s = 60

[classes.read]
aim_ms = 300
deadline_ms = 2500
worth = 2

[classes.write]
aim_ms = 400
deadline_ms = 2000
worth = 2

[rules]
max_attempts = 4
cold_share = 0.2
ramp_s = 17
tip_multiple = 2.5
fall_ms = 1000
cold_units = 8
units_mean = 1

[[plan]]
name = "standard"
rate = 60
reserve = 48
"""  # the figures of deploy/iscsi.toml


class CannotRunError(Exception):
    """The case could not be brought to the point that it tests."""


class Record:
    """The file `record.txt` of a case: what was sent, answered and run, with seconds since the start.

    Args:
        folder: The folder of the case.
    """

    def __init__(self, folder: Path) -> None:
        self._file = open(folder / "record.txt", "w")  # noqa: SIM115
        self._began_s = time.monotonic()

    def note(self, text: str) -> None:
        """Writes one line."""
        self._file.write(f"{time.monotonic() - self._began_s:8.3f} {text}\n")
        self._file.flush()


def free_port() -> int:
    """Returns a free port of loopback."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


class BrokerProcess:
    """The broker, started by the line `run` of the deploy file.

    Attributes:
        folder: A temporary folder for its files.
    """

    def __init__(self) -> None:
        self._temporary = tempfile.TemporaryDirectory()
        self.folder = Path(self._temporary.name)
        self._process: asyncio.subprocess.Process | None = None

    async def start(self, arguments: str = "", **environment: str) -> None:
        """Starts the process; its log goes to `log` in the folder."""
        line = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        with open(self.folder / "log", "ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                "/bin/sh",
                "-c",
                f"{line} {arguments}",
                cwd=ROOT,
                stdout=log,
                stderr=log,
                env={**os.environ, "TMPDIR": str(self.folder), **environment},
                start_new_session=True,
            )

    async def start_iscsi(self, toml: str) -> None:
        """Starts the iSCSI front with an operator's file."""
        (self.folder / "iscsi.toml").write_text(toml)
        await self.start(f"--config {self.folder / 'iscsi.toml'}")

    async def kill(self) -> None:
        """Ends the process and all that it started, with SIGKILL."""
        if self._process is not None and self._process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                os.killpg(self._process.pid, signal.SIGKILL)
            await self._process.wait()

    def has_ended(self) -> bool:
        """Returns whether the process has ended by itself."""
        return self._process is not None and self._process.returncode is not None

    def log_tail(self) -> str:
        """Returns the end of the log."""
        with contextlib.suppress(OSError):
            return (self.folder / "log").read_text(errors="replace")[-3000:]
        return ""

    def clean(self) -> None:
        """Removes the folder."""
        self._temporary.cleanup()


async def wait_for_port(port: int) -> None:
    """Waits until something listens on a port."""
    async with asyncio.timeout(20):
        while True:
            try:
                _, writer = await asyncio.open_connection("127.0.0.1", port)
            except OSError:
                await asyncio.sleep(0.05)
            else:
                writer.close()
                return


def run_case(folder: str, case: Callable[[Record, BrokerProcess], Awaitable[str]]) -> None:
    """Runs a case and exits with its status; `case` returns what was broken, or an empty text.

    Args:
        folder: The file of the case, in its folder.
        case: The case.
    """
    record = Record(Path(folder).resolve().parent)
    record.note(f"trouble={'on' if TROUBLE else 'off'}")
    status = asyncio.run(_guarded(record, case))
    sys.stdout.flush()
    os._exit(status)  # the stand-ins' open connections end with the process


async def _guarded(record: Record, case: Callable[[Record, BrokerProcess], Awaitable[str]]) -> int:
    broker = BrokerProcess()
    running = asyncio.ensure_future(case(record, broker))
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, running.cancel)
    try:
        async with asyncio.timeout(CASE_LIMIT_S):
            broken = await running
    except (Exception, asyncio.CancelledError) as error:
        record.note(f"could not run: {type(error).__name__}: {error}")
        record.note(f"log of the broker: {broker.log_tail()}")
        print(f"could not run: {type(error).__name__}: {error}")
        return CANNOT_RUN
    finally:
        await broker.kill()
        broker.clean()
    verdict = f"BROKEN: {broken}" if broken else "held"
    record.note(verdict)
    print(verdict)
    return BROKEN if broken else HELD


def block_of(text: str) -> bytes:
    """Returns a block filled with a text."""
    return (text.encode() * BLOCK_BYTES)[:BLOCK_BYTES]


def read_cdb(block: int, blocks: int = 1) -> bytes:
    """Returns the CDB of READ (10)."""
    return struct.pack(">BBIBHB", 0x28, 0, block, 0, blocks, 0)


def write_cdb(block: int, blocks: int = 1) -> bytes:
    """Returns the CDB of WRITE (10)."""
    return struct.pack(">BBIBHB", 0x2A, 0, block, 0, blocks, 0)


class Link:
    """One connection of a session.

    Attributes:
        cid: Its number.
        lost: Whether it has ended.
    """

    def __init__(self, session: Session, cid: int) -> None:
        self._session, self.cid, self.lost = session, cid, False
        self._exp_stat_sn = 0

    async def open(self, port: int) -> None:
        """Connects and logs in; joins the session if it has a TSIH."""
        session = self._session
        self._reader, self._writer = await asyncio.open_connection("127.0.0.1", port)
        keys = {
            "InitiatorName": session.name,
            "TargetName": TARGET,
            "SessionType": "Normal",
            "MaxRecvDataSegmentLength": "65536",
        }
        if not session.tsih:
            keys |= {
                "ErrorRecoveryLevel": str(session.level),
                "MaxConnections": "4",
                "InitialR2T": "No",
                "ImmediateData": "Yes",
                "DefaultTime2Wait": "2",
                "DefaultTime2Retain": "20",
            }
        login = Pdu(
            Op.LOGIN,
            FINAL | 1 << 2 | 3,
            lun=session.isid + session.tsih.to_bytes(2, "big"),
            tag=0,
            immediate=True,
            words=[self.cid << 16, session.cmd_sn, 0, 0, 0, 0, 0],
            data=pack_text(keys.items()),
        )
        self._writer.write(login.encode())
        async with asyncio.timeout(10):
            answer = await read_pdu(self._reader)
        if answer.opcode != Op.LOGIN_RESPONSE or answer.words[4] >> 16:
            raise ConnectionError(f"login refused with {answer.words[4] >> 16:#06x}")
        self._exp_stat_sn = answer.words[1] + 1
        session.tsih = int.from_bytes(answer.lun[6:8], "big")
        if f"ErrorRecoveryLevel={session.level}" not in answer.data.decode() and "ErrorRecoveryLevel" in keys:
            raise CannotRunError(f"level {session.level} was not agreed to: {answer.data!r}")
        self._receiver = asyncio.create_task(self._receive())

    def encode(self, pdu: Pdu) -> bytes:
        """Returns the bytes of a PDU with this connection's ExpStatSN."""
        pdu.words[2] = self._exp_stat_sn
        return pdu.encode()

    def write(self, data: bytes) -> None:
        """Sends bytes."""
        if not self.lost:
            self._writer.write(data)

    def close(self) -> None:
        """Closes the connection."""
        self.lost = True
        self._receiver.cancel()
        self._writer.close()

    async def _receive(self) -> None:
        try:
            while True:
                pdu = await read_pdu(self._reader, 1 << 20)
                if pdu.opcode not in (Op.DATA_IN, Op.R2T, Op.NOP_IN) or (
                    pdu.opcode == Op.NOP_IN and pdu.tag != RESERVED_TAG
                ):
                    self._exp_stat_sn = pdu.words[1] + 1
                if pdu.opcode == Op.NOP_IN and pdu.words[0] != RESERVED_TAG:
                    words = [pdu.words[0], self._session.cmd_sn, 0, 0, 0, 0, 0]
                    self.write(self.encode(Pdu(Op.NOP_OUT, immediate=True, words=words)))
                self._session.on_pdu(self, pdu)
        except (OSError, EOFError) as error:
            self.lost = True
            self._session.on_lost(self, error)


class Session:
    """A session of an initiator with the broker.

    Attributes:
        name: The initiator's name.
        level: The error recovery level that it asks for.
        isid: Its half of the session's identifier.
        tsih: The target's half; 0 before the first login.
        cmd_sn: The next CmdSN.
        exp_cmd_sn: ExpCmdSN as the target told it last.
        is_noted: Whether its commands and answers are recorded.
        answers: The answer to each command or request, by task tag.
    """

    _isids = itertools.count(1)

    def __init__(self, record: Record, port: int, name: str, level: int = 0) -> None:
        self.record, self.port, self.level = record, port, level
        self.name = f"iqn.2026-12.org.example:{name}"
        self.isid = b"\x80" + next(self._isids).to_bytes(5, "big")
        self.tsih, self.cmd_sn, self.exp_cmd_sn = 0, 1, 1
        self.is_noted = True
        self.answers: dict[int, asyncio.Future[Pdu]] = {}
        self._data: dict[int, bytearray] = {}
        self._last_tag = 0

    def note(self, text: str) -> None:
        """Records what this initiator does or sees."""
        if self.is_noted:
            self.record.note(f"{self.name.rpartition(':')[2]}: {text}")

    async def connect(self, cid: int = 1, port: int = 0) -> Link:
        """Opens a connection of the session, by default straight to the broker."""
        link = Link(self, cid)
        await link.open(port or self.port)
        self.note(f"connection {cid} logged in, session {self.tsih}")
        return link

    def on_pdu(self, link: Link, pdu: Pdu) -> None:
        """Takes a received PDU."""
        if pdu.opcode not in (Op.REJECT, Op.ASYNC):
            self.exp_cmd_sn = max(self.exp_cmd_sn, pdu.words[2])
        if pdu.opcode == Op.DATA_IN:
            self._data[pdu.tag] += pdu.data
            return
        answer = self.answers.get(pdu.tag)
        if answer is not None and not answer.done():
            self.note(f"tag {pdu.tag} answered on connection {link.cid}: {_show(pdu)}")
            answer.set_result(pdu)
        elif pdu.opcode in (Op.REJECT, Op.ASYNC):
            self.note(f"connection {link.cid}: {_show(pdu)}")

    def on_lost(self, link: Link, error: Exception) -> None:
        """Notes the end of a connection."""
        self.note(f"connection {link.cid} lost: {type(error).__name__}")

    def command(
        self, cdb: bytes, data: bytes = b"", read: int = 0, what: str = "", link_cid: int = 1
    ) -> tuple[int, Pdu]:
        """Returns the task tag and the PDU of a command with the next CmdSN; all its data are immediate."""
        self._last_tag += 1
        tag = self._last_tag
        self.answers[tag] = asyncio.get_running_loop().create_future()
        self._data[tag] = bytearray()
        flags = FINAL | (0x40 if read else 0) | (0x20 if data else 0) | 1
        cdb_words = list(struct.unpack(">4I", cdb.ljust(16, b"\0")))
        words = [read or len(data), self.cmd_sn, 0, *cdb_words]
        self.note(f"tag {tag} CmdSN {self.cmd_sn} on connection {link_cid}: {what}")
        self.cmd_sn += 1
        return tag, Pdu(Op.SCSI_COMMAND, flags, lun=pack_lun(0), tag=tag, data=data, words=words)

    def manage(self, link: Link, function: int, referenced_tag: int, what: str) -> int:
        """Sends an immediate task management request and returns its task tag."""
        self._last_tag += 1
        tag = self._last_tag
        self.answers[tag] = asyncio.get_running_loop().create_future()
        self.note(f"tag {tag} on connection {link.cid}: {what}")
        words = [referenced_tag, self.cmd_sn, 0, 0, 0, 0, 0]
        pdu = Pdu(Op.TASK_MANAGEMENT, FINAL | function, lun=pack_lun(0), tag=tag, immediate=True, words=words)
        link.write(link.encode(pdu))
        return tag

    def log_out_for_recovery(self, link: Link, cid: int) -> int:
        """Sends a logout that removes a lost connection for recovery (reason 2); returns its task tag."""
        self._last_tag += 1
        tag = self._last_tag
        self.answers[tag] = asyncio.get_running_loop().create_future()
        self.note(f"tag {tag} on connection {link.cid}: LOGOUT of connection {cid} for recovery")
        words = [cid << 16, self.cmd_sn, 0, 0, 0, 0, 0]
        link.write(link.encode(Pdu(Op.LOGOUT, FINAL | 2, tag=tag, immediate=True, words=words)))
        return tag

    async def answer(self, tag: int, limit_s: float = 10.0) -> Pdu:
        """Waits for the answer to a command or request."""
        async with asyncio.timeout(limit_s):
            return await asyncio.shield(self.answers[tag])

    def data_of(self, tag: int) -> bytes:
        """Returns the data that a command has read."""
        return bytes(self._data[tag])

    async def run(self, link: Link, cdb: bytes, what: str, data: bytes = b"", read: int = 0) -> int:
        """Sends a command, waits for its answer and returns its SCSI status."""
        tag, pdu = self.command(cdb, data, read, what, link.cid)
        link.write(link.encode(pdu))
        return (await self.answer(tag)).byte3

    async def write_block(self, link: Link, block: int, text: str) -> int:
        """Writes a block and returns the SCSI status."""
        return await self.run(link, write_cdb(block), f"WRITE block {block} = {text}", block_of(text))

    async def read_block(self, link: Link, block: int) -> tuple[int, str]:
        """Reads a block; returns the SCSI status and the first letters of its content."""
        tag, pdu = self.command(read_cdb(block), read=BLOCK_BYTES, what=f"READ block {block}")
        link.write(link.encode(pdu))
        status = (await self.answer(tag)).byte3
        text = bytes(self._data[tag][:4]).rstrip(b"\0").decode("ascii", "replace")
        self.note(f"block {block} reads {text!r}")
        return status, text

    async def until_good(self, attempt: Callable[[], Awaitable[int]], limit_s: float = 20.0) -> None:
        """Repeats a command while it is refused or fails, as a patient initiator does."""
        async with asyncio.timeout(limit_s):
            while await attempt() != 0:
                await asyncio.sleep(0.2)


def _show(pdu: Pdu) -> str:
    if pdu.opcode == Op.SCSI_RESPONSE:
        return f"status {pdu.byte3:#04x} sense {pdu.data[2:].hex()}"
    return f"opcode {pdu.opcode:#04x} response {pdu.byte2}"

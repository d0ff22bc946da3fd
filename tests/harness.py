"""The one helper of the network tests: the real program as a process, and its clients and servers."""

from __future__ import annotations

import asyncio
import contextlib
import copy
import json
import os
import re
import signal
import socket
import struct
import sys
import tempfile
import unittest
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from lemonridge.iscsi.pdu import FINAL, RESERVED_TAG, Op, Pdu, pack_text, read_pdu
from lemonridge.lab.load.initiator import Initiator, cdb
from lemonridge.lab.standins.etcd import Etcd

__all__ = ["Etcd", "Initiator", "cdb"]

ROOT = Path(__file__).resolve().parent.parent
PATIENCE_S = 10.0  # for anything that a test waits for; nothing waits this long unless it fails
FACTS: dict[str, Any] = {
    "fleet-size": 1,
    "discovery": "push",
    "tick-us": 2000,
    "azs": ["hall-a", "hall-b"],
    "classes": [
        {
            "aim-us": 300000,
            "deadline-us": 2500000,
            "gain": 2.0,
            "group": "all",
            "memory-span-us": 5000000,
            "name": "read",
            "semantics": "repeatable",
        },
        {
            "aim-us": 400000,
            "deadline-us": 2000000,
            "gain": 2.0,
            "group": "cell",
            "memory-span-us": 3000000,
            "name": "new-write",
            "semantics": "by_key",
        },
    ],
    "grades": [
        {
            "base-rate": 12.0,
            "burst": 0.0,
            "cap": 0.0,
            "guaranteed": 12.0,
            "limit-slack": 0.0,
            "name": "priority",
            "weight": 1.0,
            "worth-factor": 1.5,
        }
    ],
    "family-info": {
        "class-writes": [False, True],
        "cold-units": 8.0,
        "meter-us": 500000,
        "n-shards": 2,
        "tells-elsewhere": True,
        "unit-mean": 2.08,
        "units-top": 6,
    },
    "limits": {
        "cancelling": True,
        "connect-timeout-us": 250000,
        "keepalive-us": 15000000,
        "max-attempts": 4,
        "max-retry-after-us": 500000,
        "retry-after": True,
    },
    "rules": {
        "cold-share": 0.2,
        "drain-grace-us": 500000,
        "fall-us": 1000000,
        "ramp-time-us": 17000000,
        "tip-multiple": 2.5,
    },
}


@dataclass
class Message:
    """One HTTP message, either way."""

    start: str
    headers: dict[str, str]
    body: bytes
    connection: int = 0

    @property
    def status(self) -> int:
        return int(self.start.split()[1])


async def read_message(reader: asyncio.StreamReader) -> Message:
    head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
    headers = dict(line.lower().split(": ", 1) for line in head[1:-2])
    return Message(head[0], headers, await reader.readexactly(int(headers.get("content-length", 0))))


def reset(writer: asyncio.StreamWriter) -> None:
    """End a connection with RST."""
    linger = struct.pack("ii", 1, 0)
    writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


Script = Callable[["Server", Message, asyncio.StreamWriter], Awaitable[None]]


@dataclass
class Server:
    """A stand-in HTTP server that records what comes; `script` answers it."""

    script: Script
    seen: list[Message] = field(default_factory=list)
    opened: int = 0
    open: set[int] = field(default_factory=set)
    writers: set[asyncio.StreamWriter] = field(default_factory=set)  # of the open connections
    port: int = 0
    news: asyncio.Condition = field(default_factory=asyncio.Condition)

    async def start(self) -> Server:
        self.listener = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        self.port = self.listener.sockets[0].getsockname()[1]
        return self

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.opened += 1
        number = self.opened
        self.open.add(number)
        self.writers.add(writer)
        try:
            while True:
                message = await read_message(reader)
                message.connection = number
                self.seen.append(message)
                await self.tell()
                await self.script(self, message, writer)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass  # the peer has gone, or the test is over
        finally:
            self.open.discard(number)
            self.writers.discard(writer)
            await self.tell()
            writer.close()

    async def tell(self) -> None:
        async with self.news:
            self.news.notify_all()

    async def until(self, test: Callable[[], bool]) -> None:
        """Wait until something that this server sees makes `test` true."""
        async with asyncio.timeout(PATIENCE_S), self.news:
            await self.news.wait_for(test)


def reply(writer: asyncio.StreamWriter, body: bytes = b"", status: int = 200, **headers: str) -> None:
    lines = "".join(f"{name.replace('_', '-')}: {value}\r\n" for name, value in headers.items())
    writer.write(f"HTTP/1.1 {status} X\r\n{lines}Content-Length: {len(body)}\r\n\r\n".encode() + body)


async def serve_ok(_: Server, message: Message, writer: asyncio.StreamWriter) -> None:
    reply(writer, b"data of " + message.start.split()[1].encode())


class Register:
    """Discovery's stand-in: the whole list, and watches that end with a change or with their wait."""

    def __init__(self) -> None:
        self.seq, self.rows = 1, {}
        self.told_by: dict[str, int] = {}  # the version that each row came with
        self.changed = asyncio.Condition()
        self.broken: list[bytes] = []  # answered first, as they are
        self.silent = False  # calls that come now are never answered
        self.muted: list[asyncio.StreamWriter] = []  # the connections of those
        self.watches = 0  # open ones that will be answered

    async def script(self, server: Server, message: Message, writer: asyncio.StreamWriter) -> None:
        if self.silent:
            self.muted.append(writer)
        elif self.broken:
            writer.write(self.broken.pop(0))
        elif (watch := re.search(r"after=([0-9]+)&wait_ms=([0-9]+)", message.start)) is None:
            reply(writer, self.answer(True, list(self.rows.values())))
        else:
            after, wait_s = int(watch[1]), int(watch[2]) / 1000
            self.watches += 1
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait_s), self.changed:
                    await self.changed.wait_for(lambda: self.silent or self.seq > after)
            self.watches -= 1
            if self.silent:  # it fell silent under the watch
                self.muted.append(writer)
                await self.wake()
                return
            reply(
                writer,
                self.answer(False, [row for host, row in self.rows.items() if self.told_by[host] > after]),
            )

    def answer(self, whole: bool, hosts: list[Any], **layout: Any) -> bytes:
        return json.dumps({"seq": self.seq, "whole": whole, "hosts": hosts}, **layout).encode()

    def set(
        self, host: str, port: int, shard: int = 0, health: str = "up", born_ms: int = 0, site: str = "a"
    ) -> None:
        self.seq += 1
        self.rows[host] = self.row(host, port, shard, health, born_ms, site)
        self.told_by[host] = self.seq
        self.wakes = asyncio.get_running_loop().create_task(self.wake())

    def row(
        self, host: str, port: int, shard: int = 0, health: str = "up", born_ms: int = 0, site: str = "a"
    ) -> dict[str, Any]:
        return {
            "host": host,
            "dial": f"127.0.0.1:{port}",
            "site": site,
            "class": "m",
            "block": shard,
            "health": health,
            "share": 1.0,
            "born_ms": born_ms,
        }

    async def wake(self) -> None:
        """Open watches look again."""
        async with self.changed:
            self.changed.notify_all()

    async def fall_silent(self) -> None:
        """Say nothing from now on, on the open watches neither, and without an end of a connection."""
        self.silent = True
        await self.wake()
        async with self.changed:
            await self.changed.wait_for(lambda: not self.watches)


def free_port() -> int:
    """A port that the system chose; the program binds it with SO_REUSEADDR right after."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


class Program:
    """The real program."""

    async def start(self, *arguments: str, passed: int | None = None, **environment: str) -> Program:
        """`passed` is a descriptor that the program inherits under its own number."""
        return await self._start((sys.executable, "-m", "lemonridge", *arguments), passed, environment)

    async def start_shell(self, line: str, **environment: str) -> Program:
        """As the platform does: a line for `/bin/sh -c`."""
        return await self._start(("/bin/sh", "-c", line), None, environment)

    async def _start(
        self, words: tuple[str, ...], passed: int | None, environment: dict[str, str]
    ) -> Program:
        self.lines: list[str] = []
        self.read = 0  # how many lines `line` has been through
        self.news = asyncio.Condition()
        self.process = await asyncio.create_subprocess_exec(
            *words,
            cwd=ROOT,
            stderr=asyncio.subprocess.PIPE,
            pass_fds=() if passed is None else (passed,),
            env={"PATH": os.environ["PATH"], "PYTHONDONTWRITEBYTECODE": "1", **environment},
        )
        self.reader = asyncio.create_task(self._read())
        return self

    async def _read(self) -> None:
        """Take every log line: a pipe that no one reads would stop the program."""
        assert self.process.stderr is not None
        while text := (await self.process.stderr.readline()).decode():
            async with self.news:
                self.lines.append(text)
                self.news.notify_all()
        async with self.news:
            self.lines.append("")
            self.news.notify_all()

    async def line(self, word: str) -> str:
        """The next log line that holds `word`."""
        async with asyncio.timeout(PATIENCE_S), self.news:
            while True:
                await self.news.wait_for(lambda: self.read < len(self.lines))
                text = self.lines[self.read]
                self.read += 1
                if word in text:
                    return text
                if not text:
                    raise AssertionError(f"the program ended without {word!r}: {''.join(self.lines)}")

    async def counters(self) -> dict[str, int]:
        self.process.send_signal(signal.SIGUSR1)
        pairs = (pair.partition("=") for pair in (await self.line("event=counters")).split())
        return {name: int(value) for name, _, value in pairs if value.isdigit()}

    async def counted(self, name: str, count: int = 1) -> None:
        """Wait until the program has counted so many."""
        async with asyncio.timeout(PATIENCE_S):
            while (await self.counters()).get(name, 0) < count:
                pass

    async def end(self, name: signal.Signals = signal.SIGTERM) -> int:
        if self.process.returncode is None:
            self.process.send_signal(name)
        async with asyncio.timeout(PATIENCE_S):
            await self.reader
            return await self.process.wait()


class Client:
    """A client's connection."""

    def __init__(self, port: int) -> None:
        self.port, self.count = port, 0

    async def open(self) -> Client:
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.port)
        return self

    async def raw(self, data: bytes) -> Message:
        self.writer.write(data)
        async with asyncio.timeout(PATIENCE_S):
            return await read_message(self.reader)

    def text(
        self,
        cls: str = "read",
        path: str | None = None,
        method: str | None = None,
        body: bytes = b"",
        shard: int = 0,
        **changes: str | None,
    ) -> bytes:
        """A request; a header given as None is left out."""
        self.count += 1
        write = cls == "new-write"
        headers: dict[str, str | None] = {
            "X-Request-Id": f"{id(self) % 2**32:08x}{self.count:08x}",
            "X-Class": cls,
            "X-Qos-Policy": "priority",
            "X-Deadline-Ms": "2000",
            "X-Placement": f"units=2,shard={shard},hosts=1",
            "Idempotency-Key": "k1" if write else None,
            "Content-Length": str(len(body)) if body else None,
        }
        headers.update({name.replace("_", "-"): value for name, value in changes.items()})
        path = path or f"/{cls}/00000003b4d60021/7f3a9c21e0b4d655"
        lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items() if value is not None)
        method = method or ("PUT" if write else "GET")
        return f"{method} {path} HTTP/1.1\r\nHost: app.svc\r\n{lines}\r\n".encode() + body

    async def ask(self, cls: str = "read", **changes: Any) -> Message:
        return await self.raw(self.text(cls, **changes))


class PlatformCase(unittest.IsolatedAsyncioTestCase):
    """One program, its discovery and one node."""

    facts: dict[str, Any] = {}
    environment: dict[str, str] = {}
    sockets = 1024

    async def asyncSetUp(self) -> None:
        self.register = Register()
        self.discovery = await Server(self.register.script).start()
        self.node = await Server(serve_ok).start()
        self.register.set("s-1", self.node.port)
        await self.launch()
        self.client = await self.connect()

    def passed_fd(self) -> int | None:
        """The descriptor that the program is handed, where the case has one."""
        return int(fd) if (fd := self.environment.get("ROUTER_PASSED_SOCKET")) else None

    async def launch(self, known: dict[str, Any] | None = None) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        facts = copy.deepcopy(FACTS)
        for table, changes in self.facts.items():
            facts[table] = {**facts[table], **changes} if isinstance(changes, dict) else changes
        config = Path(folder.name) / "config.json"
        config.write_text(
            json.dumps(
                {
                    "name": "n1",
                    "listen": "127.0.0.1:0",
                    "discovery": f"127.0.0.1:{self.discovery.port}",
                    "seed": "8c1f30d27a5be964",
                    "known": known or {},
                    "settings": facts,
                    "limits": {"sockets": self.sockets},
                }
            )
        )
        self.config = str(config)
        self.program = await Program().start(
            "serve", passed=self.passed_fd(), ROUTER_CONFIG=self.config, **self.environment
        )
        self.addAsyncCleanup(self.program.end, signal.SIGKILL)
        self.port = int((await self.program.line("event=listening")).rsplit(":", 1)[1])

    async def connect(self, ready: bool = True) -> Client:
        client = await Client(self.port).open()
        async with asyncio.timeout(PATIENCE_S):
            while ready and (await client.raw(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")).status != 200:
                await asyncio.sleep(0)
        self.addCleanup(client.writer.close)
        return client


class Target:
    """A stand-in for a node's iSCSI target. It records each command that begins and how it ended."""

    def __init__(self, name: str = "node") -> None:
        self.name = f"iqn.2026-12.org.lemonridge:{name}"
        self.blocks: dict[int, bytes] = {}
        self.begun: list[tuple[float, int, bool]] = []  # when, which block, whether it writes
        self.now: dict[int, int] = {}  # commands in work, by block
        self.most = 0  # of one block at a time
        self.status = 0
        self.odd: list[Pdu] = []  # sent for commands in place of an answer
        self.pongs: list[Pdu] = []
        self.logouts = 0
        self.delay = 0.0
        self.silent = self.gone = False
        self.hangs_up = False  # each session ends with the last word of its login
        self.writers: set[asyncio.StreamWriter] = set()
        self.writes: dict[int, tuple[int, bytearray, int]] = {}  # by task tag; one session at a time

    async def start(self, made: socket.socket | None = None) -> Target:
        """Listen, at a socket that listens already if one is given."""
        where: dict[str, Any] = {"host": "127.0.0.1", "port": 0} if made is None else {"sock": made}
        self.listener = await asyncio.start_server(self._serve, **where)
        self.port = self.listener.sockets[0].getsockname()[1]
        return self

    def row(self, shard: int, health: str = "up") -> dict[str, Any]:
        return {"address": f"127.0.0.1:{self.port}", "target": self.name, "shard": shard, "health": health}

    def kill(self) -> None:
        self.gone = True
        self.listener.close()
        for writer in self.writers:
            reset(writer)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        numbers = [1, 0]  # StatSN, ExpCmdSN
        tasks = set()
        try:
            while True:
                pdu = await read_pdu(reader, 1 << 20)
                if self.silent:
                    continue
                if not pdu.immediate and pdu.opcode != Op.DATA_OUT:
                    numbers[1] = pdu.words[1] + 1
                if pdu.opcode == Op.LOGIN:
                    numbers[1] = pdu.words[1]
                    answer = Pdu(Op.LOGIN_RESPONSE, pdu.flags, lun=pdu.lun, tag=pdu.tag)
                    sizes = {"MaxRecvDataSegmentLength": "8192", "FirstBurstLength": "4096"}
                    answer.data = pack_text([*sizes.items(), ("MaxBurstLength", "16384")])
                    if self.hangs_up:  # both in one segment: whoever reads one can see the other
                        made = writer.get_extra_info("socket")
                        made.setsockopt(socket.IPPROTO_TCP, socket.TCP_CORK, 1)
                        self._send(writer, numbers, answer)
                        writer.write_eof()
                        return
                    self._send(writer, numbers, answer)
                elif pdu.opcode == Op.SCSI_COMMAND:
                    tasks.add(asyncio.create_task(self._command(pdu, writer, numbers)))
                elif pdu.opcode == Op.DATA_OUT:
                    want, data, _ = self.writes[pdu.tag]
                    data += pdu.data
                    if pdu.flags & FINAL:
                        if len(data) == want:
                            tasks.add(asyncio.create_task(self._end(pdu, writer, numbers)))
                        else:
                            self._r2t(pdu, writer, numbers)
                elif pdu.opcode == Op.NOP_OUT:
                    self.pongs.append(pdu)
                elif pdu.opcode == Op.LOGOUT:
                    self.logouts += 1
                    self._send(writer, numbers, Pdu(Op.LOGOUT_RESPONSE, tag=pdu.tag))
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def _send(self, writer: asyncio.StreamWriter, numbers: list[int], pdu: Pdu, status: bool = True) -> None:
        pdu.words[1:4] = [numbers[0], numbers[1], numbers[1] + 31]
        numbers[0] += status
        if not self.silent and not writer.is_closing():
            writer.write(pdu.encode())

    def _r2t(self, pdu: Pdu, writer: asyncio.StreamWriter, numbers: list[int]) -> None:
        want, data, _ = self.writes[pdu.tag]
        length = min(16384, want - len(data))
        words = [77, 0, 0, 0, 0, len(data), length]
        self._send(writer, numbers, Pdu(Op.R2T, lun=pdu.lun, tag=pdu.tag, words=words), False)

    async def _command(self, pdu: Pdu, writer: asyncio.StreamWriter, numbers: list[int]) -> None:
        block, write = int.from_bytes(pdu.cdb[2:6], "big"), bool(pdu.flags & 0x20)
        if self.status:
            self._send(writer, numbers, Pdu(Op.SCSI_RESPONSE, byte3=self.status, tag=pdu.tag))
            return
        self.begun.append((asyncio.get_running_loop().time(), block, write))
        self.now[block] = self.now.get(block, 0) + 1
        self.most = max(self.most, self.now[block])
        self.writes[pdu.tag] = (pdu.words[0] if write else 0, bytearray(pdu.data), block)
        if self.odd:
            odd = self.odd.pop(0)
            odd.tag = pdu.tag if odd.opcode not in (Op.NOP_IN, Op.ASYNC) else RESERVED_TAG
            self._send(writer, numbers, odd, False)
            if odd.tag != RESERVED_TAG:
                return
        if write and len(pdu.data) < pdu.words[0]:
            self._r2t(pdu, writer, numbers)
        else:
            await self._end(pdu, writer, numbers)

    async def _end(self, pdu: Pdu, writer: asyncio.StreamWriter, numbers: list[int]) -> None:
        want, data, block = self.writes[pdu.tag]
        await asyncio.sleep(self.delay)
        if self.gone or self.silent:
            return
        self.now[block] -= 1
        if want:
            self.blocks[block] = bytes(data)
        else:
            found = self.blocks.get(block, b"")
            for at in range(0, len(found), 4096):
                flags = FINAL if at + 4096 >= len(found) else 0
                part = Pdu(Op.DATA_IN, flags, lun=pdu.lun, tag=pdu.tag, data=found[at : at + 4096])
                part.words = [RESERVED_TAG, 0, 0, 0, at // 4096, at, 0]
                self._send(writer, numbers, part, False)
        self._send(writer, numbers, Pdu(Op.SCSI_RESPONSE, tag=pdu.tag))


class IscsiCase(unittest.IsolatedAsyncioTestCase):
    """One program with the iSCSI front, its node list in etcd, and one target."""

    changes: dict[str, str] = {}

    async def asyncSetUp(self) -> None:
        self.etcd = Etcd()
        await self.etcd.start()
        self.addAsyncCleanup(self.etcd.stop)
        self.target = await Target().start()
        self.etcd.put("/lr/nodes/n1", self.target.row(0))
        self.etcd.put("/lr/plans/basic", {"rate": 1000, "weight": 1})
        text = (ROOT / "deploy" / "iscsi.toml").read_text()
        text = text[: text.index("[[node]]")].replace("127.0.0.1:3260", "127.0.0.1:0")
        for old, new in self.changes.items():
            assert old in text
            text = text.replace(old, new)
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        path = Path(folder.name) / "iscsi.toml"
        path.write_text(f'{text}\n[etcd]\nendpoint = "127.0.0.1:{self.etcd.port}"\nprefix = "/lr/"\n')
        self.config = str(path)
        self.program = await Program().start("serve", "--config", self.config)
        self.addAsyncCleanup(self.program.end, signal.SIGKILL)
        self.port = int((await self.program.line("event=listening")).rsplit(":", 1)[1])
        await self.etcd.wait_until(lambda: len(self.etcd.streams) == 2)  # nodes and plans

    async def session(self) -> Initiator:
        made = await Initiator(self.port).start()
        self.addCleanup(made.writer.close)
        return made

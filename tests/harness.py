"""The harness of the network tests: the real program as a subprocess, test clients and stand-in servers."""

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
TIMEOUT_S = 10.0  # the limit of every wait in a test; only a failing test reaches it
PLATFORM_SETTINGS: dict[str, Any] = {
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
    """An HTTP request or response.

    Attributes:
        start_line: The request line or the status line.
        headers: The header values by name, both in lower case.
        body: The body.
        connection: For a request at a `Server`: the number of its connection, starting at 1.
    """

    start_line: str
    headers: dict[str, str]
    body: bytes
    connection: int = 0

    @property
    def status(self) -> int:
        return int(self.start_line.split()[1])


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Reads one message whose body, if any, has a Content-Length."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
    headers = dict(line.lower().split(": ", 1) for line in head[1:-2])
    return Message(head[0], headers, await reader.readexactly(int(headers.get("content-length", 0))))


def reset(writer: asyncio.StreamWriter) -> None:
    """Closes a connection with RST."""
    linger = struct.pack("ii", 1, 0)
    writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


Script = Callable[["Server", Message, asyncio.StreamWriter], Awaitable[None]]


@dataclass
class Server:
    """A stand-in HTTP server that records the requests and answers them by a script.

    Attributes:
        script: Called for each request; writes the response.
        requests: All requests received so far, in order.
        connection_count: The number of connections accepted so far.
        open_connections: The numbers of the open connections.
        writers: The writers of the open connections.
        port: The port; 0 lets the system choose one at the start.
        changed: Notified after each request and each closed connection.
    """

    script: Script
    requests: list[Message] = field(default_factory=list)
    connection_count: int = 0
    open_connections: set[int] = field(default_factory=set)
    writers: set[asyncio.StreamWriter] = field(default_factory=set)
    port: int = 0
    changed: asyncio.Condition = field(default_factory=asyncio.Condition)

    async def start(self) -> Server:
        """Starts to listen on `port`."""
        self.listener = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        self.port = self.listener.sockets[0].getsockname()[1]
        return self

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connection_count += 1
        number = self.connection_count
        self.open_connections.add(number)
        self.writers.add(writer)
        try:
            while True:
                message = await read_message(reader)
                message.connection = number
                self.requests.append(message)
                await self.notify_changed()
                await self.script(self, message, writer)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass  # the peer closed the connection, or the test has ended
        finally:
            self.open_connections.discard(number)
            self.writers.discard(writer)
            await self.notify_changed()
            writer.close()

    async def notify_changed(self) -> None:
        """Wakes the callers of `wait_until`, which check their conditions again."""
        async with self.changed:
            self.changed.notify_all()

    async def wait_until(self, condition: Callable[[], bool]) -> None:
        """Waits until `condition`, which depends on this server's requests or connections, holds."""
        async with asyncio.timeout(TIMEOUT_S), self.changed:
            await self.changed.wait_for(condition)


def reply(writer: asyncio.StreamWriter, body: bytes = b"", status: int = 200, **headers: str) -> None:
    """Writes a response; an underscore in the name of a header stands for a hyphen."""
    lines = "".join(f"{name.replace('_', '-')}: {value}\r\n" for name, value in headers.items())
    writer.write(f"HTTP/1.1 {status} X\r\n{lines}Content-Length: {len(body)}\r\n\r\n".encode() + body)


async def serve_ok(_: Server, message: Message, writer: asyncio.StreamWriter) -> None:
    """Answers each request with 200 and a body that names its path."""
    reply(writer, b"data of " + message.start_line.split()[1].encode())


class StandInDiscovery:
    """The script of a stand-in discovery server: whole lists, and watches.

    A watch is answered at the next change of the list, or with an empty list when its wait time has passed.

    Attributes:
        seq: The version of the list.
        endpoints: The entries of the list by host.
        endpoint_versions: The version at which each entry was set, by host.
        changed: Notified at each change of the list.
        raw_responses: Sent in order, byte for byte, to the next requests.
        silent: Whether new requests and open watches stay unanswered.
        unanswered: The connections of the requests that were not answered.
        open_watches: The number of open watches, without those that stay unanswered.
    """

    def __init__(self) -> None:
        self.seq, self.endpoints = 1, {}
        self.endpoint_versions: dict[str, int] = {}
        self.changed = asyncio.Condition()
        self.raw_responses: list[bytes] = []
        self.silent = False
        self.unanswered: list[asyncio.StreamWriter] = []
        self.open_watches = 0

    async def script(self, server: Server, message: Message, writer: asyncio.StreamWriter) -> None:
        """Answers one request."""
        if self.silent:
            self.unanswered.append(writer)
        elif self.raw_responses:
            writer.write(self.raw_responses.pop(0))
        elif (watch := re.search(r"after=([0-9]+)&wait_ms=([0-9]+)", message.start_line)) is None:
            reply(writer, self.encode_list(True, list(self.endpoints.values())))
        else:
            after, wait_s = int(watch[1]), int(watch[2]) / 1000
            self.open_watches += 1
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait_s), self.changed:
                    await self.changed.wait_for(lambda: self.silent or self.seq > after)
            self.open_watches -= 1
            if self.silent:  # since the watch was opened
                self.unanswered.append(writer)
                await self.notify_watches()
                return
            reply(
                writer,
                self.encode_list(
                    False,
                    [entry for host, entry in self.endpoints.items() if self.endpoint_versions[host] > after],
                ),
            )

    def encode_list(self, whole: bool, hosts: list[Any], **json_options: Any) -> bytes:
        """Returns the body of a response with these entries; `json_options` go to `json.dumps`."""
        return json.dumps({"seq": self.seq, "whole": whole, "hosts": hosts}, **json_options).encode()

    def set_endpoint(
        self, host: str, port: int, shard: int = 0, health: str = "up", born_ms: int = 0, site: str = "a"
    ) -> None:
        """Adds or changes an endpoint, under a new version of the list."""
        self.seq += 1
        self.endpoints[host] = self.endpoint_entry(host, port, shard, health, born_ms, site)
        self.endpoint_versions[host] = self.seq
        self.notify_task = asyncio.get_running_loop().create_task(self.notify_watches())

    def endpoint_entry(
        self, host: str, port: int, shard: int = 0, health: str = "up", born_ms: int = 0, site: str = "a"
    ) -> dict[str, Any]:
        """Returns the list's entry of an endpoint that listens on `port`."""
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

    async def notify_watches(self) -> None:
        """Makes the open watches compare their versions again."""
        async with self.changed:
            self.changed.notify_all()

    async def go_silent(self) -> None:
        """Stops answering, open watches included, and leaves all connections open."""
        self.silent = True
        await self.notify_watches()
        async with self.changed:
            await self.changed.wait_for(lambda: not self.open_watches)


def free_port() -> int:
    """Returns a port that the system chose; the program binds it with SO_REUSEADDR right after."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


class Program:
    """The real program as a subprocess, whose log is read line by line."""

    async def start(self, *arguments: str, inherited_fd: int | None = None, **environment: str) -> Program:
        """Starts the program.

        Args:
            arguments: The command line.
            inherited_fd: A descriptor that the program inherits under the same number.
            environment: Environment variables beside PATH.
        """
        return await self._start((sys.executable, "-m", "lemonridge", *arguments), inherited_fd, environment)

    async def start_shell(self, line: str, **environment: str) -> Program:
        """Starts a command line by `/bin/sh -c`, as the platform does."""
        return await self._start(("/bin/sh", "-c", line), None, environment)

    async def _start(
        self, command: tuple[str, ...], inherited_fd: int | None, environment: dict[str, str]
    ) -> Program:
        self.lines: list[str] = []
        self.lines_read = 0  # the number of lines that `wait_for_line` has checked
        self.changed = asyncio.Condition()
        self.process = await asyncio.create_subprocess_exec(
            *command,
            cwd=ROOT,
            stderr=asyncio.subprocess.PIPE,
            pass_fds=() if inherited_fd is None else (inherited_fd,),
            env={"PATH": os.environ["PATH"], "PYTHONDONTWRITEBYTECODE": "1", **environment},
        )
        self.reader = asyncio.create_task(self._read())
        return self

    async def _read(self) -> None:
        """Reads all log lines: the program would block on a full pipe. An empty line marks the end."""
        assert self.process.stderr is not None
        while text := (await self.process.stderr.readline()).decode():
            async with self.changed:
                self.lines.append(text)
                self.changed.notify_all()
        async with self.changed:
            self.lines.append("")
            self.changed.notify_all()

    async def wait_for_line(self, text: str) -> str:
        """Returns the next unchecked log line that contains `text`; fails if the program exits before."""
        async with asyncio.timeout(TIMEOUT_S), self.changed:
            while True:
                await self.changed.wait_for(lambda: self.lines_read < len(self.lines))
                line = self.lines[self.lines_read]
                self.lines_read += 1
                if text in line:
                    return line
                if not line:
                    raise AssertionError(f"the program exited without {text!r}: {''.join(self.lines)}")

    async def counters(self) -> dict[str, int]:
        """Requests the counters by SIGUSR1 and returns them from the log."""
        self.process.send_signal(signal.SIGUSR1)
        pairs = (pair.partition("=") for pair in (await self.wait_for_line("event=counters")).split())
        return {name: int(value) for name, _, value in pairs if value.isdigit()}

    async def wait_for_counter(self, name: str, count: int = 1) -> None:
        """Waits until a counter of the program has reached `count`."""
        async with asyncio.timeout(TIMEOUT_S):
            while (await self.counters()).get(name, 0) < count:
                pass

    def anonymous_memory_bytes(self) -> int:
        """Returns the resident memory of the process without its files and libraries."""
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        return int(status.partition("RssAnon:")[2].split()[0]) * 1024

    async def stop(self, signal_number: signal.Signals = signal.SIGTERM) -> int:
        """Sends a signal if the program still runs, waits for its exit and returns the exit status."""
        if self.process.returncode is None:
            self.process.send_signal(signal_number)

        async with asyncio.timeout(TIMEOUT_S):
            await self.reader
            return await self.process.wait()


class Client:
    """A client with one connection to the program.

    Attributes:
        port: The program's port.
        request_count: The number of requests encoded so far, which is part of their ids.
    """

    def __init__(self, port: int) -> None:
        self.port, self.request_count = port, 0

    async def open(self) -> Client:
        """Opens the connection."""
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.port)
        return self

    async def exchange(self, data: bytes) -> Message:
        """Sends bytes and returns the response to them."""
        self.writer.write(data)
        async with asyncio.timeout(TIMEOUT_S):
            return await read_message(self.reader)

    def encode_request(
        self,
        cls: str = "read",
        path: str | None = None,
        method: str | None = None,
        body: bytes = b"",
        shard: int = 0,
        **header_changes: str | None,
    ) -> bytes:
        """Returns the bytes of a valid request with some headers changed.

        Args:
            cls: The class of the request.
            path: The path; by default that of one object of the class.
            method: The method; by default that of the class.
            body: The body, announced by Content-Length.
            shard: The shard in X-Placement.
            header_changes: Headers by name, with underscores for hyphens; one with the value None is omitted.
        """
        self.request_count += 1
        write = cls == "new-write"
        headers: dict[str, str | None] = {
            "X-Request-Id": f"{id(self) % 2**32:08x}{self.request_count:08x}",
            "X-Class": cls,
            "X-Qos-Policy": "priority",
            "X-Deadline-Ms": "2000",
            "X-Placement": f"units=2,shard={shard},hosts=1",
            "Idempotency-Key": "k1" if write else None,
            "Content-Length": str(len(body)) if body else None,
        }
        headers.update({name.replace("_", "-"): value for name, value in header_changes.items()})
        path = path or f"/{cls}/00000003b4d60021/7f3a9c21e0b4d655"
        lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items() if value is not None)
        method = method or ("PUT" if write else "GET")
        return f"{method} {path} HTTP/1.1\r\nHost: app.svc\r\n{lines}\r\n".encode() + body

    async def request(self, cls: str = "read", **changes: Any) -> Message:
        """Sends a request with the arguments of `encode_request` and returns the response."""
        return await self.exchange(self.encode_request(cls, **changes))


class PlatformCase(unittest.IsolatedAsyncioTestCase):
    """A program in front of one node, with a stand-in discovery server and one client.

    Attributes:
        setting_overrides: Changes to PLATFORM_SETTINGS, by table.
        environment: Environment variables of the program.
        max_sockets: The program's limit on sockets.
    """

    setting_overrides: dict[str, Any] = {}
    environment: dict[str, str] = {}
    max_sockets = 1024

    async def asyncSetUp(self) -> None:
        self.discovery = StandInDiscovery()
        self.discovery_server = await Server(self.discovery.script).start()
        self.node = await Server(serve_ok).start()
        self.discovery.set_endpoint("s-1", self.node.port)
        await self.launch()
        self.client = await self.connect()

    def inherited_fd(self) -> int | None:
        """Returns the listening socket that the program inherits, if the environment names one."""
        return int(fd) if (fd := self.environment.get("ROUTER_PASSED_SOCKET")) else None

    def limits(self) -> dict[str, Any]:
        """Returns the program's limits for its configuration."""
        return {"sockets": self.max_sockets}

    async def launch(self, known_list: dict[str, Any] | None = None) -> None:
        """Writes the configuration, starts a program and waits until it listens.

        Args:
            known_list: The endpoint list that the configuration contains.
        """
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        settings = copy.deepcopy(PLATFORM_SETTINGS)
        for table, changes in self.setting_overrides.items():
            settings[table] = {**settings[table], **changes} if isinstance(changes, dict) else changes
        config = Path(folder.name) / "config.json"
        config.write_text(
            json.dumps(
                {
                    "name": "n1",
                    "listen": "127.0.0.1:0",
                    "discovery": f"127.0.0.1:{self.discovery_server.port}",
                    "seed": "8c1f30d27a5be964",
                    "known": known_list or {},
                    "settings": settings,
                    "limits": self.limits(),
                }
            )
        )
        self.config = str(config)
        self.program = await Program().start(
            "serve", inherited_fd=self.inherited_fd(), ROUTER_CONFIG=self.config, **self.environment
        )
        self.addAsyncCleanup(self.program.stop, signal.SIGKILL)
        self.port = int((await self.program.wait_for_line("event=listening")).rsplit(":", 1)[1])

    async def connect(self, wait_until_ready: bool = True) -> Client:
        """Returns a connected client, by default once the program has reported that it is ready."""
        client = await Client(self.port).open()
        async with asyncio.timeout(TIMEOUT_S):
            while (
                wait_until_ready
                and (await client.exchange(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")).status != 200
            ):
                await asyncio.sleep(0)

        self.addCleanup(client.writer.close)
        return client


class Target:
    """A stand-in for a node's iSCSI target that records the commands it starts.

    Attributes:
        name: The target's iSCSI name.
        blocks: The data written, by the number of the first block.
        started_commands: The start time, the first block and whether it is a write, of each command.
        running_by_block: The number of running commands by block.
        max_running: The highest number of commands that ran on one block at the same time.
        status: The SCSI status of all commands; if it is not 0, none is started.
        injected_pdus: Sent in order, one for each command: NOP-In and async messages before the response, all
            others in its place.
        nop_outs: The NOP-Out PDUs received.
        logouts: The number of logout requests received.
        delay_s: The time that each command takes.
        silent: Whether PDUs are read and not answered.
        killed: Whether `kill` was called.
        closes_after_login: Whether each connection is closed together with its login response.
        writers: The writers of the open connections.
        transfers: The length to write, the data received and the block, by task tag. Tags of several sessions
            would collide.
    """

    def __init__(self, name: str = "node") -> None:
        self.name = f"iqn.2026-12.org.lemonridge:{name}"
        self.blocks: dict[int, bytes] = {}
        self.started_commands: list[tuple[float, int, bool]] = []
        self.running_by_block: dict[int, int] = {}
        self.max_running = 0
        self.status = 0
        self.injected_pdus: list[Pdu] = []
        self.nop_outs: list[Pdu] = []
        self.logouts = 0
        self.delay_s = 0.0
        self.silent = self.killed = False
        self.closes_after_login = False
        self.writers: set[asyncio.StreamWriter] = set()
        self.transfers: dict[int, tuple[int, bytearray, int]] = {}

    async def start(self, listening_socket: socket.socket | None = None) -> Target:
        """Starts to listen on a new port, or on a socket that already listens."""
        options: dict[str, Any] = (
            {"host": "127.0.0.1", "port": 0} if listening_socket is None else {"sock": listening_socket}
        )
        self.listener = await asyncio.start_server(self._serve, **options)
        self.port = self.listener.sockets[0].getsockname()[1]
        return self

    def node_entry(self, shard: int, health: str = "up") -> dict[str, Any]:
        """Returns this target's entry in the node list."""
        return {"address": f"127.0.0.1:{self.port}", "target": self.name, "shard": shard, "health": health}

    def kill(self) -> None:
        """Stops to listen and resets all connections."""
        self.killed = True
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
                    if self.closes_after_login:  # one segment holds both the response and the FIN
                        connection_socket = writer.get_extra_info("socket")
                        connection_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_CORK, 1)
                        self._send(writer, numbers, answer)
                        writer.write_eof()
                        return
                    self._send(writer, numbers, answer)
                elif pdu.opcode == Op.SCSI_COMMAND:
                    tasks.add(asyncio.create_task(self._command(pdu, writer, numbers)))
                elif pdu.opcode == Op.DATA_OUT:
                    total_length, data, _ = self.transfers[pdu.tag]
                    data += pdu.data
                    if pdu.flags & FINAL:
                        if len(data) == total_length:
                            tasks.add(asyncio.create_task(self._complete(pdu, writer, numbers)))
                        else:
                            self._r2t(pdu, writer, numbers)
                elif pdu.opcode == Op.NOP_OUT:
                    self.nop_outs.append(pdu)
                elif pdu.opcode == Op.LOGOUT:
                    self.logouts += 1
                    self._send(writer, numbers, Pdu(Op.LOGOUT_RESPONSE, tag=pdu.tag))
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def _send(
        self, writer: asyncio.StreamWriter, numbers: list[int], pdu: Pdu, carries_status: bool = True
    ) -> None:
        pdu.words[1:4] = [numbers[0], numbers[1], numbers[1] + 31]
        numbers[0] += carries_status

        if not self.silent and not writer.is_closing():
            writer.write(pdu.encode())

    def _r2t(self, pdu: Pdu, writer: asyncio.StreamWriter, numbers: list[int]) -> None:
        total_length, data, _ = self.transfers[pdu.tag]
        length = min(16384, total_length - len(data))
        words = [77, 0, 0, 0, 0, len(data), length]
        self._send(writer, numbers, Pdu(Op.R2T, lun=pdu.lun, tag=pdu.tag, words=words), False)

    async def _command(self, pdu: Pdu, writer: asyncio.StreamWriter, numbers: list[int]) -> None:
        block, write = int.from_bytes(pdu.cdb[2:6], "big"), bool(pdu.flags & 0x20)
        if self.status:
            self._send(writer, numbers, Pdu(Op.SCSI_RESPONSE, byte3=self.status, tag=pdu.tag))
            return
        self.started_commands.append((asyncio.get_running_loop().time(), block, write))
        self.running_by_block[block] = self.running_by_block.get(block, 0) + 1
        self.max_running = max(self.max_running, self.running_by_block[block])
        self.transfers[pdu.tag] = (pdu.words[0] if write else 0, bytearray(pdu.data), block)
        if self.injected_pdus:
            injected = self.injected_pdus.pop(0)
            injected.tag = pdu.tag if injected.opcode not in (Op.NOP_IN, Op.ASYNC) else RESERVED_TAG
            self._send(writer, numbers, injected, False)
            if injected.tag != RESERVED_TAG:
                return
        if write and len(pdu.data) < pdu.words[0]:
            self._r2t(pdu, writer, numbers)
        else:
            await self._complete(pdu, writer, numbers)

    async def _complete(self, pdu: Pdu, writer: asyncio.StreamWriter, numbers: list[int]) -> None:
        total_length, data, block = self.transfers[pdu.tag]
        await asyncio.sleep(self.delay_s)
        if self.killed or self.silent:
            return
        self.running_by_block[block] -= 1
        if total_length:
            self.blocks[block] = bytes(data)
        else:
            stored = self.blocks.get(block, b"")
            for offset in range(0, len(stored), 4096):
                flags = FINAL if offset + 4096 >= len(stored) else 0
                part = Pdu(Op.DATA_IN, flags, lun=pdu.lun, tag=pdu.tag, data=stored[offset : offset + 4096])
                part.words = [RESERVED_TAG, 0, 0, 0, offset // 4096, offset, 0]
                self._send(writer, numbers, part, False)
        self._send(writer, numbers, Pdu(Op.SCSI_RESPONSE, tag=pdu.tag))


class IscsiCase(unittest.IsolatedAsyncioTestCase):
    """A program with the iSCSI front in front of one target, with its nodes and plans in etcd.

    Attributes:
        config_replacements: Texts of deploy/iscsi.toml and their replacements.
    """

    config_replacements: dict[str, str] = {}

    async def asyncSetUp(self) -> None:
        self.etcd = Etcd()
        await self.etcd.start()
        self.addAsyncCleanup(self.etcd.stop)
        self.target = await Target().start()
        self.etcd.put("/lr/nodes/n1", self.target.node_entry(0))
        self.etcd.put("/lr/plans/basic", {"rate": 1000, "weight": 1})
        text = (ROOT / "deploy" / "iscsi.toml").read_text()
        text = text[: text.index("[[node]]")].replace("127.0.0.1:3260", "127.0.0.1:0")
        for old, new in self.config_replacements.items():
            assert old in text
            text = text.replace(old, new)
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        path = Path(folder.name) / "iscsi.toml"
        endpoint = f"127.0.0.1:{await self.port_to_etcd()}"
        path.write_text(f'{text}\n[etcd]\nendpoint = "{endpoint}"\nprefix = "/lr/"\n')
        self.config = str(path)
        self.program = await Program().start("serve", "--config", self.config)
        self.addAsyncCleanup(self.program.stop, signal.SIGKILL)
        self.port = int((await self.program.wait_for_line("event=listening")).rsplit(":", 1)[1])
        await self.etcd.wait_until(lambda: len(self.etcd.streams) == 2)  # nodes and plans

    async def port_to_etcd(self) -> int:
        """Returns the port at which the program reaches etcd."""
        return self.etcd.port

    async def open_session(self) -> Initiator:
        """Returns an initiator that is logged in."""
        session = await Initiator(self.port).start()
        self.addCleanup(session.writer.close)
        return session

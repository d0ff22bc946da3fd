"""Stand-ins of the platform, for the cases 6 to 10: disk nodes, discovery, settings and a client."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
from pathlib import Path
from typing import Any

from aiohttp import web
from case_lib import CannotRunError, Record

SETTINGS: dict[str, Any] = {
    "fleet-size": 3,
    "me": 0,
    "discovery": "push",
    "tick-us": 2000,
    "azs": ["hall-a", "hall-b"],
    "clients": {"marks-retry": True},
    "classes": [
        {
            "name": "read",
            "aim-us": 300000,
            "deadline-us": 2500000,
            "gain": 2.0,
            "group": "all",
            "memory-span-us": 5000000,
            "semantics": "repeatable",
        },
        {
            "name": "new-write",
            "aim-us": 400000,
            "deadline-us": 2000000,
            "gain": 2.0,
            "group": "cell",
            "memory-span-us": 3000000,
            "semantics": "by_key",
        },
    ],
    "grades": [
        {
            "name": "priority",
            "base-rate": 12.0,
            "burst": 0.0,
            "cap": 0.0,
            "guaranteed": 12.0,
            "limit-slack": 0.0,
            "weight": 1.0,
            "worth-factor": 1.5,
        }
    ],
    "family-info": {
        "class-writes": [False, True],
        "cold-units": 8.0,
        "meter-us": 500000,
        "n-shards": 5,
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


class DiskNode:
    """A disk node that serves whatever comes, and notes when the first byte of each request came.

    Attributes:
        host: Its name in discovery.
        shard: The shard that it holds.
        work_s: How long a request runs.
        first_bytes_s: The loop's time at the first byte of each request.
    """

    def __init__(self, host: str, shard: int) -> None:
        self.host, self.shard, self.work_s = host, shard, 0.03
        self.first_bytes_s: list[float] = []
        self.port = 0

    async def start(self) -> DiskNode:
        """Starts to listen."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]
        return self

    def entry(self, health: str = "up") -> dict[str, Any]:
        """Returns its entry in discovery's list."""
        return {
            "host": self.host,
            "dial": f"127.0.0.1:{self.port}",
            "site": "a",
            "class": "m2",
            "block": self.shard,
            "health": health,
            "share": 1.0,
            "born_ms": 0,
        }

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, EOFError):
            while True:
                first = await reader.readexactly(1)
                self.first_bytes_s.append(asyncio.get_running_loop().time())
                head = first + await reader.readuntil(b"\r\n\r\n")
                length = [line for line in head.lower().split(b"\r\n") if line.startswith(b"content-length:")]
                if length:
                    await reader.readexactly(int(length[0].split(b":")[1]))
                await asyncio.sleep(self.work_s)
                body = self.host.encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
        writer.close()


class Discovery:
    """The agent of discovery on the broker's machine.

    Attributes:
        port: Its port.
        silent: Whether calls and open watches get no answer.
    """

    def __init__(self, record: Record) -> None:
        self._record, self._seq, self.port, self.silent = record, 40, 0, False
        self._entries: dict[str, tuple[int, dict[str, Any]]] = {}
        self._changed = asyncio.Condition()
        self._first_call_noted = False

    async def start(self) -> Discovery:
        """Starts to listen."""
        runner = web.ServerRunner(web.Server(self._serve))
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        self.port = runner.addresses[0][1]
        return self

    def whole(self) -> dict[str, Any]:
        """Returns the whole list."""
        return {"seq": self._seq, "whole": True, "hosts": [entry for _, entry in self._entries.values()]}

    async def tell(self, *entries: dict[str, Any]) -> None:
        """Changes entries, under a new version."""
        self._seq += 1
        for entry in entries:
            self._entries[entry["host"]] = (self._seq, entry)
            self._record.note(f"agent: version {self._seq}: {entry['host']} {entry['health']}")
        await self._notify()

    async def set_silent(self, silent: bool) -> None:
        """Stops answering, or answers what comes from now on."""
        self.silent = silent
        self._record.note(f"agent: {'silent' if silent else 'answers again'}")
        await self._notify()

    async def _notify(self) -> None:
        async with self._changed:
            self._changed.notify_all()

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        after = request.query.get("after")
        if after is not None and not self.silent:
            wait_s = min(60.0, int(request.query.get("wait_ms", "0")) / 1000)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait_s), self._changed:
                    await self._changed.wait_for(lambda: self.silent or self._seq > int(after))
        if self.silent:
            await asyncio.sleep(3600)  # what was asked in the silence is never answered
        if after is None:
            answer = self.whole()
        else:
            changed = [entry for version, entry in self._entries.values() if version > int(after)]
            answer = {"seq": self._seq, "whole": False, "hosts": changed}
        return web.Response(body=json.dumps(answer).encode(), content_type="application/json")


def write_config(path: Path, listen: int, discovery: int, known: dict[str, Any], **more: Any) -> None:
    """Writes the broker's configuration, as the platform does before each start."""
    content = {
        "name": "n1",
        "listen": f"127.0.0.1:{listen}",
        "discovery": f"127.0.0.1:{discovery}",
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": known,
        "settings": SETTINGS,
        **more,
    }
    new_path = path.with_suffix(".new")
    new_path.write_text(json.dumps(content))
    new_path.replace(path)


class Client:
    """A client of the broker, which keeps its connection."""

    _ids = itertools.count(1)

    def __init__(self, port: int) -> None:
        self._port = port
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def call(self, head: str, body: bytes = b"") -> tuple[int, bytes]:
        """Sends a request and returns the status and the body of its answer; 0 if there is none."""
        try:
            if self._writer is None or self._writer.is_closing():
                self._reader, self._writer = await asyncio.open_connection("127.0.0.1", self._port)
            assert self._reader is not None
            self._writer.write(head.encode() + body)
            answer = (await self._reader.readuntil(b"\r\n\r\n")).lower()
            length = answer.partition(b"content-length:")[2].partition(b"\r\n")[0]
            content = await self._reader.readexactly(int(length or b"0"))
            if b"connection: close" in answer:
                self.close()
            return int(answer.split(b" ")[1]), content
        except (OSError, EOFError):
            self.close()
            return 0, b""

    async def read(self, shard: int) -> tuple[int, bytes]:
        """Sends a read of a piece that a shard holds."""
        number = next(self._ids)
        return await self.call(
            f"GET /read/00000003b4d60021/{number:016x} HTTP/1.1\r\nHost: app.svc\r\n"
            f"X-Request-Id: {number:016x}\r\nX-Class: read\r\nX-Qos-Policy: priority\r\n"
            f"X-Deadline-Ms: 2500\r\nX-Placement: units=2,shard={shard},hosts=1\r\n\r\n"
        )

    def close(self) -> None:
        """Closes the connection."""
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None


async def wait_until_ready(port: int, limit_s: float = 30.0) -> None:
    """Waits until the broker says that it is ready."""
    client = Client(port)
    try:
        async with asyncio.timeout(limit_s):
            while (await client.call("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n"))[0] != 200:
                await asyncio.sleep(0.02)
    except TimeoutError:
        raise CannotRunError("the broker does not become ready") from None
    finally:
        client.close()

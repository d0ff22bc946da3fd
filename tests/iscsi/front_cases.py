"""An iSCSI front in the test's own process, with initiators on socket pairs and a stand-in for the core."""

from __future__ import annotations

import asyncio
import itertools
import socket
import unittest
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path
from types import SimpleNamespace

from lemonridge.config import operator_file
from lemonridge.core.clock import Clock
from lemonridge.core.counters import Counters
from lemonridge.core.model import Answer, AnswerKind, Request
from lemonridge.iscsi import scsi
from lemonridge.iscsi.pdu import FINAL, RESERVED_TAG, Op, Pdu
from lemonridge.iscsi.portal import IscsiFront
from lemonridge.iscsi.session import Session
from lemonridge.lab.conform.peer import Peer
from lemonridge.scheduling.events import EndpointState

CONFIG_FILE = Path(__file__).resolve().parents[2] / "deploy" / "iscsi.toml"
INITIATOR = "iqn.2026-12.org.lemonridge:initiator"
READ_CDB = b"\x28" + bytes(6) + b"\0\1\0"
BLOCK_BYTES = 512
WAIT_LIMIT_S = 10.0


class StubBroker:
    """A core whose requests end when the test says so.

    Attributes:
        finished: Set while requests are served at once.
        request_count: Number of requests so far.
    """

    def __init__(self) -> None:
        self.finished = asyncio.Event()
        self.request_count = 0

    async def serve(self, _: Request) -> Answer:
        """Serves a request once `finished` is set."""
        self.request_count += 1
        await self.finished.wait()
        return Answer(AnswerKind.SERVED, scsi.Reply(scsi.Status.GOOD, bytes(BLOCK_BYTES)))


class FrontCase(unittest.IsolatedAsyncioTestCase):
    """An iSCSI front with the settings of deploy/iscsi.toml and without waits for a lost connection.

    Attributes:
        time2retain_s: DefaultTime2Retain, in seconds.
    """

    time2retain_s = 60

    async def asyncSetUp(self) -> None:
        config, _ = operator_file.load(str(CONFIG_FILE))
        assert config is not None
        preferences = replace(config.target_preferences, time2wait=0, time2retain=self.time2retain_s)
        config = replace(config, target_preferences=preferences, ping_s=0)
        self.broker = StubBroker()
        registry = SimpleNamespace(shard_state=lambda _: EndpointState.ACTIVE)
        clock = Clock(asyncio.get_running_loop())
        self.front = IscsiFront(config, self.broker, clock, registry, Counters())  # type: ignore[arg-type]
        self.connection_tasks: set[asyncio.Task[None]] = set()
        self.addAsyncCleanup(self.end_connections)

    async def end_connections(self) -> None:
        for session in list(self.front.sessions.values()):
            session.end()
        for task in self.connection_tasks:
            task.cancel()
        await asyncio.gather(*self.connection_tasks)

    async def connect(self, isid: bytes | None = None) -> Peer:
        """Returns an initiator's connection that has not logged in."""
        initiator_side, target_side = socket.socketpair()
        peer = Peer("", 0, self.front.config.target, INITIATOR, isid)
        peer.reader, peer.writer = await asyncio.open_connection(sock=initiator_side)
        self.addCleanup(peer.close)
        streams = await asyncio.open_connection(sock=target_side)
        self.connection_tasks.add(asyncio.create_task(self.front._serve_connection(*streams)))
        return peer

    async def open_session(self, level: int, **keys: str) -> Peer:
        """Returns the first connection of a new session, which logs in with additional keys."""
        peer = await self.connect()
        return await peer.login(
            ErrorRecoveryLevel=str(level),
            MaxConnections="4",
            DefaultTime2Wait="0",
            DefaultTime2Retain=str(self.time2retain_s),
            **keys,
        )

    async def join(self, peer: Peer, cid: int, **keys: str) -> Peer:
        """Returns another connection of a peer's session; it replaces an existing one with the CID."""
        joined = await self.connect(peer.isid)
        joined.tsih, joined.cid, joined.cmd_sn, joined.tags = peer.tsih, cid, peer.cmd_sn, peer.tags
        return await joined.login(**keys)

    def session_of(self, peer: Peer) -> Session:
        return self.front.sessions[peer.tsih]

    async def until(self, condition: Callable[[], object]) -> None:
        """Waits until a condition is true."""
        async with asyncio.timeout(WAIT_LIMIT_S):
            while not condition():
                await asyncio.sleep(0.001)

    async def until_time(self, time_s: float) -> None:
        """Waits until a moment of the event loop's clock."""
        await self.until(lambda: asyncio.get_running_loop().time() >= time_s)

    async def start_command(self, peer: Peer, cmd_sn: int | None = None, tag: int | None = None) -> int:
        """Sends a read, by default with the next CmdSN, and waits until the front has it; returns its tag."""
        next_cmd_sn = peer.cmd_sn
        peer.cmd_sn = next_cmd_sn if cmd_sn is None else cmd_sn
        tag = peer.send_command(READ_CDB, read=BLOCK_BYTES, tag=tag)
        if cmd_sn is not None:
            peer.cmd_sn = next_cmd_sn
        await self.receipt(peer)
        return tag

    async def receipt(self, peer: Peer) -> None:
        """Waits until the front has received all that a peer has sent."""
        ping = Pdu(Op.NOP_OUT, tag=next(self.ping_tags), immediate=True)
        ping.words[0], ping.words[2] = RESERVED_TAG, peer.exp_stat_sn
        peer.send(ping, assign_numbers=False)
        while (await peer.receive()).tag != ping.tag:
            pass

    async def manage(self, peer: Peer, function: int, referenced_tag: int = RESERVED_TAG) -> int:
        """Sends an immediate task management request and returns the response code."""
        request = Pdu(Op.TASK_MANAGEMENT, FINAL | function, tag=next(self.ping_tags), immediate=True)
        request.words[0] = referenced_tag
        peer.send(request)
        return (await peer.receive(Op.TASK_MANAGEMENT_RESPONSE)).byte2

    async def log_out(self, peer: Peer, reason: int, cid: int) -> int:
        """Sends an immediate logout request and returns the response code."""
        request = Pdu(Op.LOGOUT, FINAL | reason, tag=next(self.ping_tags), immediate=True)
        request.words[0] = cid << 16
        peer.send(request)
        return (await peer.receive(Op.LOGOUT_RESPONSE)).byte2

    async def lose(self, peer: Peer) -> None:
        """Resets a connection and waits until the front has noticed."""
        lost = self.front.counters["connections.lost"]
        peer.close(reset=True)
        await self.until(lambda: self.front.counters["connections.lost"] > lost)

    ping_tags = itertools.count(10_000)

"""Nothing begins for a client or an initiator that has left."""

from __future__ import annotations

import asyncio
import signal
import socket
import struct

from fault_cases import SUSPENDED_S, sleep_until
from harness import (
    Message,
    PlatformCase,
    Server,
    reply,
)
from test_iscsi_rude import READ, IscsiFrontCase

GONE_S = 0.1  # STANDING: an attempt that begins later after a client's close is a break


class ClientsThatLeave(PlatformCase):
    """STANDING: a client that closes its connection has gone."""

    async def attempts_after(self, behind: bytes, resets: bool) -> list[float]:
        """A node turns requests away; the client leaves while the program is held up. When, after the close,
        attempts begin."""
        loop, begun = asyncio.get_running_loop(), list[float]()

        async def busy(_: Server, message: Message, writer: asyncio.StreamWriter) -> None:
            begun.append(loop.time())
            await asyncio.sleep(0.03)
            reply(writer, status=503, X_Not_Run="1")

        self.node.script = busy
        client = socket.create_connection(("127.0.0.1", self.port))
        client.send(self.client.encode_request() + behind)
        await self.node.wait_until(lambda: bool(begun))
        self.program.process.send_signal(signal.SIGSTOP)
        if resets:
            client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        client.close()
        closed_at = loop.time()
        await sleep_until(closed_at + SUSPENDED_S)
        self.program.process.send_signal(signal.SIGCONT)
        await sleep_until(closed_at + 0.5)
        return [at - closed_at for at in begun if at > closed_at]

    async def test_nothing_begins_for_one_that_has_gone(self) -> None:
        half = self.client.encode_request()[:40]
        for behind in (b"", half, half + b"x" * 60_000, self.client.encode_request() * 400):
            for resets in (False, True):
                with self.subTest(behind=len(behind), resets=resets):
                    late = [at for at in await self.attempts_after(behind, resets) if at > GONE_S]
                    self.assertEqual(late, [])


class InitiatorsThatLeave(IscsiFrontCase):
    """The same on the iSCSI front, at a level at which a command ends with its connection."""

    async def test_nothing_begins_for_one_that_has_gone(self) -> None:
        peer = await self.peer()
        await peer.good(READ, read=4096)
        before = len(self.node.begun)
        self.program.process.send_signal(signal.SIGSTOP)
        peer.command(READ, read=4096)
        await peer.writer.drain()
        peer.close()
        await sleep_until(asyncio.get_running_loop().time() + SUSPENDED_S)
        self.program.process.send_signal(signal.SIGCONT)
        await sleep_until(asyncio.get_running_loop().time() + 0.3)
        self.assertEqual(len(self.node.begun), before)

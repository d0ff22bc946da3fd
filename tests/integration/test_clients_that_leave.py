"""No attempt begins for a client or an initiator that has disconnected."""

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
from test_iscsi_rude import READ_CDB, IscsiFrontCase

MAX_LATE_ATTEMPT_S = 0.1  # STANDING: no attempt may begin later than this after a client's close


class DisconnectingClients(PlatformCase):
    """STANDING: a client that closes its connection no longer expects a response."""

    async def attempt_times_after_disconnect(self, trailing: bytes, reset: bool) -> list[float]:
        """Closes a client's connection while the program is stopped and its node rejects attempts.

        Args:
            trailing: Bytes that the client sends after its request.
            reset: Whether the connection is closed with RST.

        Returns:
            When attempts began at the node, in seconds after the close.
        """
        loop, attempt_times = asyncio.get_running_loop(), list[float]()

        async def reject(_: Server, message: Message, writer: asyncio.StreamWriter) -> None:
            attempt_times.append(loop.time())
            await asyncio.sleep(0.03)
            reply(writer, status=503, X_Not_Run="1")

        self.node.script = reject
        client = socket.create_connection(("127.0.0.1", self.port))
        client.send(self.client.encode_request() + trailing)
        await self.node.wait_until(lambda: bool(attempt_times))
        self.program.process.send_signal(signal.SIGSTOP)
        if reset:
            client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        client.close()
        closed_at = loop.time()
        await sleep_until(closed_at + SUSPENDED_S)
        self.program.process.send_signal(signal.SIGCONT)
        await sleep_until(closed_at + 0.5)
        return [at - closed_at for at in attempt_times if at > closed_at]

    async def test_no_attempt_begins_for_a_disconnected_client(self) -> None:
        partial_request = self.client.encode_request()[:40]
        for trailing in (
            b"",
            partial_request,
            partial_request + b"x" * 60_000,
            self.client.encode_request() * 400,
        ):
            for reset in (False, True):
                with self.subTest(trailing=len(trailing), reset=reset):
                    late = [
                        at
                        for at in await self.attempt_times_after_disconnect(trailing, reset)
                        if at > MAX_LATE_ATTEMPT_S
                    ]
                    self.assertEqual(late, [])


class DisconnectingInitiators(IscsiFrontCase):
    """The iSCSI front at ErrorRecoveryLevel 0, at which a command ends with its connection."""

    async def test_no_attempt_begins_for_a_disconnected_initiator(self) -> None:
        peer = await self.peer()
        await peer.expect_good(READ_CDB, read=4096)
        commands_before = len(self.node.command_start_times)
        self.program.process.send_signal(signal.SIGSTOP)
        peer.send_command(READ_CDB, read=4096)
        await peer.writer.drain()
        peer.close()
        await sleep_until(asyncio.get_running_loop().time() + SUSPENDED_S)
        self.program.process.send_signal(signal.SIGCONT)
        await sleep_until(asyncio.get_running_loop().time() + 0.3)
        self.assertEqual(len(self.node.command_start_times), commands_before)

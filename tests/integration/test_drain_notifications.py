"""Drains that discovery notifies in any way, and around outages."""

from __future__ import annotations

import asyncio
import contextlib
import signal

from fault_cases import SOCKET_SLACK_S, SUSPENDED_S, FaultCase, assert_drain_in_time, sleep_until
from harness import (
    TIMEOUT_S,
    Client,
    Message,
    PlatformCase,
    Server,
    reply,
    serve_ok,
)


class ToldInEachWay(FaultCase):
    """A drain counts as told, whatever happens to the watch around it: 0.5 s, or 6 s after a silence."""

    async def test_after_a_broken_watch(self) -> None:
        for writer in list(self.discovery_server.writers):
            writer.transport.abort()
        await self.within(0.5)

    async def test_by_a_slow_first_byte(self) -> None:
        """Discovery that is crowded: the head of each answer comes 1.2 s late."""
        plain = self.discovery.script

        async def late(server: Server, message: Message, writer: asyncio.StreamWriter) -> None:
            if "wait_ms=1 " in message.start_line or "after" not in message.start_line:
                await asyncio.sleep(1.2)
            await plain(server, message, writer)

        self.discovery_server.script = late
        for writer in list(self.discovery_server.writers):
            writer.transport.abort()
        await assert_drain_in_time(self)

    async def test_twice_in_a_row_and_with_the_program_held_up(self) -> None:
        self.discovery.set_endpoint("s-1", self.node.port, health="draining")
        self.discovery.set_endpoint("s-1", self.node.port)
        await self.within(0.5, held_s=SUSPENDED_S)

    async def within(self, grace_s: float, held_s: float = 0.0) -> None:
        """No attempt begins later than the grace after discovery has written the drain."""
        loop = asyncio.get_running_loop()
        begun: list[float] = []

        async def recorded(_: Server, message: Message, writer: asyncio.StreamWriter) -> None:
            begun.append(loop.time())
            reply(writer)

        self.node.script = recorded
        self.discovery.set_endpoint("s-1", self.node.port, health="draining")
        told_at = loop.time()
        if held_s:
            self.program.process.send_signal(signal.SIGSTOP)
        clients = [await Client(self.port).open() for _ in range(20)]
        for client in clients:
            client.writer.write(client.encode_request())
        if held_s:
            await sleep_until(told_at + held_s)
            self.program.process.send_signal(signal.SIGCONT)
        while loop.time() < told_at + grace_s + 0.3:
            with contextlib.suppress(ConnectionError):
                await self.client.request(X_Deadline_Ms="60")
            await asyncio.sleep(0.01)
        for client in clients:
            client.writer.transport.abort()
        self.assertEqual([at - told_at for at in begun if at > told_at + grace_s + SOCKET_SLACK_S], [])


class Outages(PlatformCase):
    """STANDING: while discovery is down the agent learns nothing; what it gets at its return counts."""

    async def test_a_drain_that_begins_as_an_outage_ends_is_heard_in_time(self) -> None:
        loop = asyncio.get_running_loop()
        for step in range(4):  # at four moments of the pause between two calls
            with self.subTest(step=step):
                self.discovery.set_endpoint("s-1", self.node.port)
                await drained_or_not(self, 200)
                self.discovery_server.listener.close()
                for writer in list(self.discovery_server.writers):
                    writer.transport.abort()
                await sleep_until(loop.time() + 1.0 + 0.07 * step)
                self.discovery.set_endpoint("s-1", self.node.port, health="draining")
                await self.discovery_server.start()
                returned_at, begun = loop.time(), self.record()
                while loop.time() < returned_at + 1.2:
                    with contextlib.suppress(ConnectionError):
                        await self.client.request(X_Deadline_Ms="60")
                    await asyncio.sleep(0.01)
                self.assertEqual([at for at in begun if at - returned_at > 0.5 + SOCKET_SLACK_S], [])
                self.node.script = serve_ok

    def record(self) -> list[float]:
        """When attempts come from now on."""
        loop, begun = asyncio.get_running_loop(), list[float]()

        async def recorded(_: Server, message: Message, writer: asyncio.StreamWriter) -> None:
            begun.append(loop.time())
            reply(writer)

        self.node.script = recorded
        return begun

    async def test_a_drain_after_sigterm_is_kept_up_to_the_end(self) -> None:
        """The watch goes on up to the end of the process, and is opened anew where it breaks."""
        loop, begun = asyncio.get_running_loop(), self.record()
        self.program.process.send_signal(signal.SIGTERM)
        told_at = loop.time() + 0.1
        told = False
        while self.program.process.returncode is None and loop.time() < told_at + 4:
            if not told and loop.time() >= told_at:
                told, told_at = True, loop.time()
                for writer in list(self.discovery_server.writers):
                    writer.transport.abort()
                self.discovery.set_endpoint("s-1", self.node.port, health="draining")
            with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
                client = await Client(self.port).open()
                await client.request(X_Deadline_Ms="60")
                client.writer.close()
            await asyncio.sleep(0.01)
        self.assertTrue(begun)
        self.assertEqual([at for at in begun if at - told_at > 0.5 + SOCKET_SLACK_S], [])


async def drained_or_not(case: PlatformCase, status: int) -> None:
    """Ask until an answer has this status."""
    async with asyncio.timeout(TIMEOUT_S):
        while (await case.client.request(X_Deadline_Ms="300")).status != status:
            await asyncio.sleep(0.01)


class LongPolls(PlatformCase):
    """STANDING: what a silent long poll misses counts as told 2 s after its wait is over."""

    setting_overrides = {"discovery": "ask"}
    WAIT_S, NOTIFICATION_S = 60.0, 2.0

    async def test_a_drain_that_a_silent_long_poll_missed_is_heard_in_time(self) -> None:
        """It takes the whole wait of the page: no shorter one shows what is done at its end."""
        loop = asyncio.get_running_loop()
        for writer in list(self.discovery_server.writers):
            writer.transport.abort()  # the poll that is open may have been there for a while
        before = len(self.discovery_server.requests)
        await self.discovery_server.wait_until(lambda: len(self.discovery_server.requests) > before)
        polled_at = loop.time()
        await self.discovery.go_silent()
        self.discovery.silent = False  # as it is for the calls that come now
        self.discovery.set_endpoint("s-1", self.node.port, health="draining")
        await sleep_until(polled_at + self.WAIT_S + self.NOTIFICATION_S + 0.5)
        client, before = await self.connect(wait_until_ready=False), len(self.node.requests)
        self.assertEqual((await client.request(X_Deadline_Ms="300")).status, 503)
        self.assertEqual(len(self.node.requests), before)

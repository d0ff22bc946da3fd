"""Deadlines while the process is stopped, connects are slow or a client has little time."""

from __future__ import annotations

import asyncio
import signal
import socket
from typing import Any

from fault_cases import SUSPENDED_S, listen_with_full_backlog, sleep_until
from harness import (
    PLATFORM_SETTINGS,
    TIMEOUT_S,
    Message,
    PlatformCase,
    Server,
    read_message,
    reply,
    serve_ok,
)

MARGIN_MS = 20.0  # the test reads its own clock, not the program's


class DeadlinesAndConnects(PlatformCase):
    """PROTOCOL, `X-Deadline-Ms`: how long the client waits; a short value does not mark a client's retry."""

    async def test_client_with_a_short_deadline_is_served_by_an_idle_broker(self) -> None:
        self.assertEqual((await self.client.request(X_Deadline_Ms="2000")).status, 200)
        statuses = [
            (await self.client.request(X_Deadline_Ms=text)).status
            for text in ("1000", "600", "200", "60")
            for _ in range(3)
        ]
        self.assertEqual(statuses, [200] * 12)

    async def test_request_is_sent_again_after_connects_fail_for_longer_than_its_objective(self) -> None:
        """The node refuses connects for 0.6 s; the objective is 0.3 s and the client waits for 2 s."""
        self.assertEqual((await self.client.request()).status, 200)
        port = self.node.port
        self.node.listener.close()
        response_task = asyncio.create_task(self.client.request())
        sent_at = asyncio.get_running_loop().time()
        client = await self.connect()
        del client
        await sleep_until(sent_at + 0.6)
        self.node = Server(serve_ok, port=port)
        await self.node.start()
        self.assertEqual((await response_task).status, 200)

    async def test_deadline_during_a_connect_does_not_close_the_node_to_other_requests(self) -> None:
        """The backlog of the node is full until the deadline of the first request, 60 ms."""
        loop = asyncio.get_running_loop()
        listener = listen_with_full_backlog(self)
        self.assertEqual((await self.client.request(X_Deadline_Ms="60")).status, 503)
        listener.listen(64)
        self.node.listener = await asyncio.start_server(self.node._serve, sock=listener)
        sent_at = loop.time()
        self.assertEqual((await self.client.request()).status, 200)
        self.assertLess(loop.time() - sent_at, PLATFORM_SETTINGS["classes"][0]["aim-us"] / 1e6)


class ForwardedDeadlines(PlatformCase):
    """STANDING: the deadline that an attempt forwards is at most the client's remaining time."""

    setting_overrides = {"limits": {"connect-timeout-us": 1_500_000}}

    async def request_while_stopped(self, **changes: Any) -> tuple[float, Message]:
        """Sends a request while the program is stopped; returns the time of the request and the response."""
        loop = asyncio.get_running_loop()
        self.program.process.send_signal(signal.SIGSTOP)
        sent_at = loop.time()
        self.client.writer.write(self.client.encode_request(X_Deadline_Ms="2000", **changes))
        await sleep_until(sent_at + SUSPENDED_S)
        self.program.process.send_signal(signal.SIGCONT)
        async with asyncio.timeout(TIMEOUT_S):
            return sent_at, await read_message(self.client.reader)

    def record_deadlines(self, node: Server) -> list[tuple[float, int]]:
        """Returns a list to which the time and the forwarded deadline in ms of new attempts are added."""
        forwarded: list[tuple[float, int]] = []
        script = node.script

        async def record_and_reply(server: Server, message: Message, writer: asyncio.StreamWriter) -> None:
            forwarded.append((asyncio.get_running_loop().time(), int(message.headers["x-deadline-ms"])))
            await script(server, message, writer)

        node.script = record_and_reply
        return forwarded

    def assert_within_remaining_time(
        self, sent_at: float, forwarded: list[tuple[float, int]], count: int = 1
    ) -> None:
        """Asserts that no attempt forwarded more than the client's remaining time.

        An attempt that is delayed by another 0.15 s, between reading the clock and writing, then still stays
        within the slack that STANDING allows.
        """
        self.assertEqual(len(forwarded), count)
        for received_at, forwarded_ms in forwarded:
            remaining_ms = 2000 - (received_at - sent_at) * 1000
            self.assertLessEqual(forwarded_ms, remaining_ms + MARGIN_MS)

    async def test_forwarded_deadline_on_a_late_connection_is_within_the_remaining_time(self) -> None:
        """The backlog is full when the program connects; the second SYN, 1 s later, succeeds."""
        with socket.socket() as late_listener, socket.socket() as filler:
            late_listener.bind(("127.0.0.1", 0))
            late_listener.listen(0)
            filler.connect(late_listener.getsockname())
            late_node = Server(serve_ok)
            forwarded = self.record_deadlines(late_node)
            self.discovery.set_endpoint("s-1", self.node.port, health="draining")
            self.discovery.set_endpoint("s-2", late_listener.getsockname()[1])
            await self.program.wait_for_line("endpoint=s-2")
            loop = asyncio.get_running_loop()
            response_task = asyncio.create_task(self.request_while_stopped())
            await sleep_until(loop.time() + 0.5)
            late_node.listener = await asyncio.start_server(late_node._serve, sock=late_listener)
            sent_at, answer = await response_task
            self.assertEqual(answer.status, 200)
            self.assertGreater(forwarded[0][0] - sent_at, 0.9)
            self.assert_within_remaining_time(sent_at, forwarded)
            late_node.listener.close()

    async def test_forwarded_deadline_of_a_retry_on_a_reused_connection_is_within_the_remaining_time(
        self,
    ) -> None:
        attempt_count = 0

        async def reject_every_other(_: Server, message: Message, writer: asyncio.StreamWriter) -> None:
            nonlocal attempt_count
            attempt_count += 1
            if attempt_count % 2:
                reply(writer, status=503, X_Not_Run="1")
            else:
                reply(writer)

        self.node.script = reject_every_other
        for _ in range(2):
            forwarded = self.record_deadlines(self.node)
            sent_at, answer = await self.request_while_stopped()
            self.assertEqual(answer.status, 200)
            self.assert_within_remaining_time(sent_at, forwarded, count=2)

    async def test_forwarded_deadline_of_a_request_with_a_body_is_within_the_remaining_time(self) -> None:
        forwarded = self.record_deadlines(self.node)
        sent_at, answer = await self.request_while_stopped(cls="new-write", shard=-1, body=b"x" * 65536)
        self.assertEqual(answer.status, 200)
        self.assert_within_remaining_time(sent_at, forwarded)

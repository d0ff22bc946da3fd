"""Tests of single attempts at an endpoint over HTTP/1.1."""

from __future__ import annotations

import asyncio
import socket
import unittest
from types import SimpleNamespace
from unittest import mock

from harness import (
    Message,
    Server,
    reply,
    serve_ok,
)

from lemonridge.core.clock import Clock
from lemonridge.core.counters import Counters
from lemonridge.core.errors import AttemptSuppressedError
from lemonridge.core.model import Attempt, Outcome, Request
from lemonridge.net.endpoint_connector import REUSE_DELAY_S
from lemonridge.net.http_client import Payload
from lemonridge.net.http_endpoints import HttpEndpoints
from lemonridge.scheduling.events import AttemptResult


class HttpEndpointsTest(unittest.IsolatedAsyncioTestCase):
    """Runs `HttpEndpoints` without a broker, for tests that make an attempt at a specific moment."""

    async def asyncSetUp(self) -> None:
        self.node = await Server(serve_ok).start()
        self.addresses: list[str | None] = []
        self.clock = Clock(asyncio.get_running_loop())
        platform = SimpleNamespace(connect_us=250_000, keepalive_us=500_000, in_flight_field="busy_reqs")
        self.endpoints = HttpEndpoints(self, self.clock, platform, Counters())  # type: ignore[arg-type]
        self.addAsyncCleanup(self.endpoints.close)

    def address(self, _: str) -> str | None:
        return self.addresses.pop(0) if self.addresses else f"127.0.0.1:{self.node.port}"

    async def attempt(self) -> Outcome:
        payload = Payload("GET", "/read/1/2", {}, b"")
        request = Request(0, 1, self.clock.now_us() + 2_000_000, 2, 0, 0, 2.0, 1, payload)
        return await self.endpoints.attempt(Attempt(request, 0, "s-1"))

    async def test_endpoint_that_drains_or_moves_during_connect_receives_no_byte(self) -> None:
        """The drain rule counts from the first byte, and a connect takes time."""
        # None: the endpoint is draining after the connect; otherwise it has moved to another address.
        for connection_count, address_after_connect in enumerate((None, "127.0.0.1:1"), 1):
            self.addresses = [f"127.0.0.1:{self.node.port}", address_after_connect]
            with self.assertRaises(AttemptSuppressedError):
                await self.attempt()
            await self.node.wait_until(
                lambda count=connection_count: (
                    self.node.connection_count == count and not self.node.open_connections
                )
            )
        self.assertEqual(self.node.requests, [])

    async def test_address_and_decision_are_checked_in_step_that_writes_first_byte(self) -> None:
        """STANDING: a client may leave, a drain begin or a window end in any iteration before the write."""
        loop, recent_checks, checks_at_writes = asyncio.get_running_loop(), set[str](), list[set[str]]()

        def record_check(check: str) -> bool:
            recent_checks.add(check)
            loop.call_soon(recent_checks.discard, check)
            return True

        def address(_: str) -> str:
            record_check("address")
            return f"127.0.0.1:{self.node.port}"

        def send(sock: socket.socket, data: bytes) -> int:
            if bytes(data[:4]) in (b"PUT ", b"GET "):
                checks_at_writes.append(set(recent_checks))
            return original_send(sock, data)

        original_send = socket.socket.send
        self.address = address  # type: ignore[method-assign]
        with mock.patch.object(socket.socket, "send", send):
            for body in (b"", b"x", b"x" * 65_536):
                for _ in range(2):  # on a new connection and on a reused one
                    payload = Payload("PUT" if body else "GET", "/read/1/2", {}, body)
                    request = Request(0, 1, self.clock.now_us() + 2_000_000, 2, 0, 0, 2.0, 1, payload)
                    attempt = Attempt(request, 0, "s-1", may_begin=lambda: record_check("decision"))
                    self.assertEqual((await self.endpoints.attempt(attempt)).result, AttemptResult.OK)
                    self.assertTrue(attempt.begun)
        self.assertEqual(checks_at_writes, [{"address", "decision"}] * 6)

    async def test_nothing_is_sent_if_attempt_is_suppressed_before_body(self) -> None:
        """A body is written one loop iteration after its head is ready; no byte of either may be sent."""
        payload = Payload("PUT", "/read/1/2", {}, b"x" * 65_536)
        request = Request(0, 1, self.clock.now_us() + 2_000_000, 2, 0, 0, 2.0, 1, payload)
        attempt = Attempt(request, 0, "s-1", may_begin=lambda: False)
        with self.assertRaises(AttemptSuppressedError):
            await self.endpoints.attempt(attempt)
        self.assertFalse(attempt.begun)
        await self.node.wait_until(lambda: not self.node.open_connections)
        self.assertEqual(self.node.requests, [])

    async def test_most_recently_used_connection_is_reused_and_expired_one_is_not(self) -> None:
        async def serve_slowly(server: Server, _: Message, writer: asyncio.StreamWriter) -> None:
            await asyncio.sleep(0.5 if len(server.requests) == 4 else 0.01)  # the other one expires meanwhile
            reply(writer, X_Iops_Used="85", X_Rho="3")

        self.node.script = serve_slowly
        await asyncio.gather(self.attempt(), self.attempt())
        for _ in range(2):
            await asyncio.sleep(REUSE_DELAY_S)  # the most recently used connection is past its delay
            outcome = await self.attempt()
        self.assertEqual((outcome.volume_units, outcome.peer_units), (86, 3.0))
        self.assertEqual(self.node.requests[2].connection, self.node.requests[3].connection)
        await asyncio.gather(self.attempt(), self.attempt())
        self.assertEqual(self.node.connection_count, 3)

    async def test_load_report_is_read_from_configured_field(self) -> None:
        for load_report, expected_outstanding in (
            ("pending=3,busy_reqs=7.5", 7.5),
            ("busy_reqs=0", 0.0),
            ("inflight=7", None),
            ("busy_reqs=-1", None),
            ("busy_reqs", None),
        ):

            async def serve_load_report(
                _: Server, __: Message, writer: asyncio.StreamWriter, load_report: str = load_report
            ) -> None:
                reply(writer, X_Load=load_report)

            self.node.script = serve_load_report
            self.assertEqual((await self.attempt()).endpoint_outstanding, expected_outstanding)

    async def test_malformed_response_counts_as_reset_and_its_connection_is_not_reused(self) -> None:
        valid_head = b"HTTP/1.1 200 X\r\nContent-Length: 2\r\n"
        for answer in (
            valid_head.replace(b"2\r", b"9\r") + b"\r\nhalf",
            b"\x16\x03noise\r\n\r\n",
            b"HTTP/1.1 200 X\r\n\r\nok",
            b"HTTP/1.1 101 X\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\nok",
            b"X" * 20000,
            valid_head.replace(b"2\r", b"3000000000\r") + b"\r\nok",
            valid_head.replace(b"2\r", b"-2\r") + b"\r\nok",
            valid_head + b"Content-Length: 3\r\n\r\nokay",
            valid_head + b"Transfer-Encoding: chunked\r\n\r\nok",
            valid_head + b"no colon\r\n\r\nok",
            valid_head + b"X: a\nb\r\n\r\nok",
            b"HTTP/1.1 2000 X" + valid_head[14:] + b"\r\nok",
            b"HTTP/1.1 100 X\r\n\r\n" * 50 + valid_head + b"\r\nok",
        ):
            with self.subTest(answer=answer):
                self.raw_responses = [answer, valid_head + b"\r\nok"]
                self.node.script = self.serve_raw_response
                self.assertEqual((await self.attempt()).result, AttemptResult.RESET)
                outcome = await self.attempt()
                self.assertEqual((outcome.result, outcome.reply), (AttemptResult.OK, b"ok"))
                self.assertNotEqual(self.node.requests[-1].connection, self.node.requests[-2].connection)

    async def serve_raw_response(self, _: Server, __: Message, writer: asyncio.StreamWriter) -> None:
        answer = self.raw_responses.pop(0)
        writer.write(answer)
        if b"half" in answer:
            writer.close()

    async def test_response_followed_by_surplus_is_valid_and_its_connection_is_not_reused(self) -> None:
        """A second copy, immediately after the response or later, must not answer the next request."""
        valid_head = b"HTTP/1.1 200 X\r\nContent-Length: 3\r\nX-Load: ~\r\nX-Iops-Used: ?\r\n\r\n"
        for delay_s in (None, 0.0, 0.004, 0.008):  # None: at once; the bench sends copies up to 3.7 ms later

            async def serve_twice(
                _: Server, __: Message, writer: asyncio.StreamWriter, delay_s: float | None = delay_s
            ) -> None:
                writer.write(
                    b"HTTP/1.1 103 X\r\nLink: x\r\n\r\n"
                    + valid_head
                    + b"one"
                    + valid_head * (delay_s is None)
                )
                if delay_s is not None:  # both sides share one loop, where this timer precedes longer ones
                    asyncio.get_running_loop().call_later(delay_s, writer.write, valid_head + b"two")

            self.node.script = serve_twice
            for _ in range(5):
                outcome = await self.attempt()
                self.assertEqual(
                    (outcome.result, outcome.reply, outcome.volume_units), (AttemptResult.OK, b"one", None)
                )
        self.assertEqual(self.node.connection_count, len(self.node.requests))

    async def test_surplus_before_body_is_written_is_not_read_as_response(self) -> None:
        """Guards against a late copy of a response that acknowledges a write that was never executed."""
        loop, writers = asyncio.get_running_loop(), list[asyncio.StreamWriter]()

        async def serve_and_keep_writer(_: Server, __: Message, writer: asyncio.StreamWriter) -> None:
            writers.append(writer)
            reply(writer, b"one")

        self.node.script = serve_and_keep_writer
        for surplus in (b"HTTP/1.1 200 X\r\nContent-Length: 3\r\n\r\ntwo", b"", b"HTTP/1."):
            with self.subTest(surplus=surplus):
                self.assertEqual((await self.attempt()).reply, b"one")
                requests_before, lookups = len(self.node.requests), []

                def address(_: str, lookups: list[int] = lookups, surplus: bytes = surplus) -> str:
                    lookups.append(1)
                    if len(lookups) == 2:  # has its connection; the body is written one iteration later
                        loop.call_soon(writers[-1].write, surplus) if surplus else writers[-1].close()
                    return f"127.0.0.1:{self.node.port}"

                with mock.patch.object(self, "address", address):
                    payload = Payload("PUT", "/write/1/2", {}, b"x")
                    request = Request(0, 1, self.clock.now_us() + 2_000_000, 2, 0, 0, 2.0, 1, payload)
                    attempt = Attempt(request, 0, "s-1")
                    with self.assertRaises(AttemptSuppressedError):
                        await self.endpoints.attempt(attempt)
                self.assertFalse(attempt.begun)
                self.assertEqual(len(self.node.requests), requests_before)

    async def test_chunked_response_is_read_and_its_connection_is_reused(self) -> None:
        self.raw_responses = [b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"] * 2
        self.node.script = self.serve_raw_response
        for _ in range(2):
            self.assertEqual((await self.attempt()).reply, b"ok")
        self.assertEqual(self.node.connection_count, 1)

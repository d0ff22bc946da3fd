"""Drains that the discovery server notifies around broken watches, slow responses and outages."""

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


class DrainNotifications(FaultCase):
    """Guards against attempts at a node whose drain counts as notified in spite of problems with the watch.

    The limit is 0.5 s, or 6 s after a silence of the discovery server.
    """

    async def test_drain_after_a_broken_watch_is_known_in_time(self) -> None:
        for writer in list(self.discovery_server.writers):
            writer.transport.abort()
        await self.assert_no_attempt_after(0.5)

    async def test_drain_is_known_in_time_though_response_heads_are_late(self) -> None:
        """An overloaded discovery server sends the head of each response 1.2 s late."""
        original_script = self.discovery.script

        async def delay_head(server: Server, message: Message, writer: asyncio.StreamWriter) -> None:
            if "wait_ms=1 " in message.start_line or "after" not in message.start_line:
                await asyncio.sleep(1.2)
            await original_script(server, message, writer)

        self.discovery_server.script = delay_head
        for writer in list(self.discovery_server.writers):
            writer.transport.abort()
        await assert_drain_in_time(self)

    async def test_repeated_drain_during_a_stop_of_the_program_is_known_in_time(self) -> None:
        self.discovery.set_endpoint("s-1", self.node.port, health="draining")
        self.discovery.set_endpoint("s-1", self.node.port)
        await self.assert_no_attempt_after(0.5, stopped_s=SUSPENDED_S)

    async def assert_no_attempt_after(self, grace_s: float, stopped_s: float = 0.0) -> None:
        """Sets a drain under load and asserts that no attempt begins after its grace period.

        Args:
            grace_s: The time from the drain within which attempts may begin, without the slack on sockets.
            stopped_s: How long the program is stopped from the drain on.
        """
        loop = asyncio.get_running_loop()
        attempt_times: list[float] = []

        async def record_and_reply(_: Server, message: Message, writer: asyncio.StreamWriter) -> None:
            attempt_times.append(loop.time())
            reply(writer)

        self.node.script = record_and_reply
        self.discovery.set_endpoint("s-1", self.node.port, health="draining")
        drain_set_at = loop.time()
        if stopped_s:
            self.program.process.send_signal(signal.SIGSTOP)
        clients = [await Client(self.port).open() for _ in range(20)]
        for client in clients:
            client.writer.write(client.encode_request())
        if stopped_s:
            await sleep_until(drain_set_at + stopped_s)
            self.program.process.send_signal(signal.SIGCONT)
        while loop.time() < drain_set_at + grace_s + 0.3:
            with contextlib.suppress(ConnectionError):
                await self.client.request(X_Deadline_Ms="60")
            await asyncio.sleep(0.01)
        for client in clients:
            client.writer.transport.abort()
        self.assertEqual(
            [at - drain_set_at for at in attempt_times if at > drain_set_at + grace_s + SOCKET_SLACK_S], []
        )


class DiscoveryOutages(PlatformCase):
    """STANDING: while discovery is down no change counts; the list at its return does."""

    async def test_drain_set_at_the_end_of_an_outage_is_known_in_time(self) -> None:
        loop = asyncio.get_running_loop()
        for step in range(4):  # at four times between two of the program's connects
            with self.subTest(step=step):
                self.discovery.set_endpoint("s-1", self.node.port)
                await request_until_status(self, 200)
                self.discovery_server.listener.close()
                for writer in list(self.discovery_server.writers):
                    writer.transport.abort()
                await sleep_until(loop.time() + 1.0 + 0.07 * step)
                self.discovery.set_endpoint("s-1", self.node.port, health="draining")
                await self.discovery_server.start()
                recovered_at, attempt_times = loop.time(), record_attempts(self)
                while loop.time() < recovered_at + 1.2:
                    with contextlib.suppress(ConnectionError):
                        await self.client.request(X_Deadline_Ms="60")
                    await asyncio.sleep(0.01)
                self.assertEqual([at for at in attempt_times if at - recovered_at > 0.5 + SOCKET_SLACK_S], [])
                self.node.script = serve_ok

    async def test_drain_set_after_sigterm_is_obeyed_until_the_exit(self) -> None:
        """Guards against a watch that ends, or is not reopened after a failure, while the process exits."""
        loop, attempt_times = asyncio.get_running_loop(), record_attempts(self)
        self.program.process.send_signal(signal.SIGTERM)
        drain_set_at = loop.time() + 0.1
        drain_is_set = False
        while self.program.process.returncode is None and loop.time() < drain_set_at + 4:
            if not drain_is_set and loop.time() >= drain_set_at:
                drain_is_set, drain_set_at = True, loop.time()
                for writer in list(self.discovery_server.writers):
                    writer.transport.abort()
                self.discovery.set_endpoint("s-1", self.node.port, health="draining")
            with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
                client = await Client(self.port).open()
                await client.request(X_Deadline_Ms="60")
                client.writer.close()
            await asyncio.sleep(0.01)
        self.assertTrue(attempt_times)
        self.assertEqual([at for at in attempt_times if at - drain_set_at > 0.5 + SOCKET_SLACK_S], [])


def record_attempts(case: PlatformCase) -> list[float]:
    """Returns a list to which the start times of new attempts at the node are added."""
    loop, attempt_times = asyncio.get_running_loop(), list[float]()

    async def record_and_reply(_: Server, message: Message, writer: asyncio.StreamWriter) -> None:
        attempt_times.append(loop.time())
        reply(writer)

    case.node.script = record_and_reply
    return attempt_times


async def request_until_status(case: PlatformCase, status: int) -> None:
    """Sends requests until a response has this status."""
    async with asyncio.timeout(TIMEOUT_S):
        while (await case.client.request(X_Deadline_Ms="300")).status != status:
            await asyncio.sleep(0.01)


class OutagesOfPolledDiscovery(PlatformCase):
    """Guards against a pause between two polls that outlasts the 6 s after which a drain counts as notified.

    STANDING: whatever else is allowed after a failed call, a change counts as notified at the latest 6 s
    after discovery had it and could be reached.
    """

    setting_overrides = {"discovery": "ask", "fleet-size": 16, "rules": {"ask-within-us": 10_000_000}}
    FAILED_CALLS, NOTIFIED_S = 3, 6.0

    async def test_drain_set_at_the_end_of_an_outage_is_known_in_time(self) -> None:
        """Discovery returns right after a call has failed, so that the whole next pause counts."""
        loop = asyncio.get_running_loop()
        self.discovery_server.listener.close()
        for writer in list(self.discovery_server.writers):
            writer.transport.abort()
        for _ in range(self.FAILED_CALLS):
            await self.program.wait_for_line("discovery failed")
        self.discovery.set_endpoint("s-1", self.node.port, health="draining")
        await self.discovery_server.start()
        attempt_times, limit_s = record_attempts(self), loop.time() + self.NOTIFIED_S + 0.5 + SOCKET_SLACK_S
        while loop.time() < limit_s + 1.0:
            with contextlib.suppress(ConnectionError):
                await self.client.request(X_Deadline_Ms="60")
            await asyncio.sleep(0.05)
        self.assertTrue(attempt_times)
        self.assertEqual([at - limit_s for at in attempt_times if at > limit_s], [])


class StartsBesideASilentAgent(PlatformCase):
    """Guards against a new process that sends by its cached list for as long as the agent is silent.

    STANDING: what an agent has counts as notified from the first moment of a new process; PROTOCOL: 6 s later
    at the latest, whether or not it arrived.
    """

    NOTIFIED_S = 6.0

    async def start_beside_silence(self) -> float:
        """Starts a program with a cached list beside a silent discovery; returns when it was started."""
        await self.discovery.go_silent()
        started_at = asyncio.get_running_loop().time()
        hosts = list(self.discovery.endpoints.values())
        await self.launch(known_list={"seq": self.discovery.seq, "whole": True, "hosts": hosts})
        self.client = await self.connect()
        return started_at

    async def request_until(self, until_s: float) -> None:
        loop = asyncio.get_running_loop()
        while loop.time() < until_s:
            with contextlib.suppress(ConnectionError):
                await self.client.request(X_Deadline_Ms="60")
            await asyncio.sleep(0.02)

    async def test_cached_list_is_used_until_a_drain_counts_as_notified(self) -> None:
        started_at = await self.start_beside_silence()
        limit_s = started_at + self.NOTIFIED_S + 0.5 + SOCKET_SLACK_S
        attempt_times = record_attempts(self)
        await self.request_until(limit_s + 1.0)
        self.assertTrue(attempt_times)
        self.assertEqual([at - limit_s for at in attempt_times if at > limit_s], [])
        not_ready = await self.client.exchange(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
        self.assertEqual(not_ready.status, 503)
        self.discovery.silent = False
        await request_until_status(self, 200)

    async def test_cached_list_of_a_polled_discovery_stays_in_use(self) -> None:
        """What nobody could be told does not count, where discovery must be polled."""
        self.setting_overrides = {"discovery": "ask"}
        started_at = await self.start_beside_silence()
        await sleep_until(started_at + self.NOTIFIED_S + 1.0)
        self.assertEqual((await self.client.request(X_Deadline_Ms="300")).status, 200)


class LongPolls(PlatformCase):
    """STANDING: a change that a silent long poll misses counts as notified 2 s after the end of its wait."""

    setting_overrides = {"discovery": "ask"}
    WAIT_S, NOTIFICATION_S = 60.0, 2.0

    async def test_drain_missed_by_a_silent_long_poll_is_known_in_time(self) -> None:
        """The test lasts for the whole wait of 60 s, as the next request is sent only at its end."""
        loop = asyncio.get_running_loop()
        for writer in list(self.discovery_server.writers):
            writer.transport.abort()  # the open poll may have waited for a while already
        request_count = len(self.discovery_server.requests)
        await self.discovery_server.wait_until(lambda: len(self.discovery_server.requests) > request_count)
        polled_at = loop.time()
        await self.discovery.go_silent()
        self.discovery.silent = False  # new requests are answered, the open poll is not
        self.discovery.set_endpoint("s-1", self.node.port, health="draining")
        await sleep_until(polled_at + self.WAIT_S + self.NOTIFICATION_S + 0.5)
        client, request_count = await self.connect(wait_until_ready=False), len(self.node.requests)
        self.assertEqual((await client.request(X_Deadline_Ms="300")).status, 503)
        self.assertEqual(len(self.node.requests), request_count)


class LongPollsOfALargeFleet(LongPolls):
    """Guards against a pause after a silent long poll that grows with the fleet."""

    setting_overrides = {"discovery": "ask", "fleet-size": 40}

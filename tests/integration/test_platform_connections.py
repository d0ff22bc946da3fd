"""Limits on the clients' connections, and a log that is not read."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import time

from harness import (
    ROOT,
    TIMEOUT_S,
    Client,
    PlatformCase,
    free_port,
)

from lemonridge.net.connection_table import EVICTION_AGE_S, ConnectionState


class ConnectionLimits(PlatformCase):
    max_sockets = 40

    async def test_silent_connections_are_evicted_beyond_half_of_the_sockets(self) -> None:
        """At the limit on sockets the program could neither accept clients nor connect to nodes."""
        active_clients = [await self.connect() for _ in range(5)]
        silent_clients = [await self.connect(wait_until_ready=False) for _ in range(40)]
        self.assertEqual((await (await self.connect(wait_until_ready=False)).request()).status, 200)
        for client in (self.client, *active_clients):
            self.assertEqual((await client.request()).status, 200)
        self.assertEqual(await silent_clients[0].reader.read(), b"")
        self.assertGreater((await self.program.counters())["clients.evicted"], 20)

    async def test_longest_idle_connection_is_evicted_beyond_a_quarter_of_the_sockets(self) -> None:
        """Clients limit themselves to a third of the sockets, idle connections of others included."""
        clients = [await self.connect() for _ in range(12)]
        started_at = time.monotonic()
        while time.monotonic() - started_at < EVICTION_AGE_S[ConnectionState.IDLE] + 0.1:
            await clients[-1].request()
        await self.connect(wait_until_ready=False)
        async with asyncio.timeout(TIMEOUT_S):
            self.assertEqual(await self.client.reader.read(), b"")
        self.assertLess(time.monotonic() - started_at, 1.5)

    async def test_connection_without_a_complete_request_is_closed_within_3_s(self) -> None:
        """Guards against a flood of such connections, which would use up all descriptors."""
        texts = (
            b"",
            b"\r\n",
            self.client.encode_request()[:-2],
            self.client.encode_request("new-write", body=b"x" * 9)[:-1],
        )
        started_at = time.monotonic()
        for text in texts:
            client = await self.connect(wait_until_ready=False)
            client.writer.write(text)
            texts = (*texts, client)  # type: ignore[assignment]
        for client in texts[4:]:
            async with asyncio.timeout(TIMEOUT_S):
                self.assertEqual(await client.reader.read(), b"")  # type: ignore[attr-defined]
        self.assertLess(time.monotonic() - started_at, 3)
        self.assertEqual((await self.program.counters()).get("requests.taken", 0), 0)

    async def test_unread_log_does_not_block_the_program(self) -> None:
        """Guards against a write to the full pipe from the event loop, which would block for ever."""
        entry = self.discovery.endpoints["s-1"]
        hosts = [{**entry, "host": f"s-{number}" * 30} for number in range(2000)]
        self.discovery_server.listener.close()
        await self.launch(known_list={"seq": 1, "whole": True, "hosts": hosts})
        await self.program.stop(signal.SIGKILL)
        port = free_port()
        unread_program = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "lemonridge",
            "serve",
            cwd=ROOT,
            stderr=asyncio.subprocess.PIPE,
            limit=1,
            env={**os.environ, "ROUTER_CONFIG": self.config, "ROUTER_LISTEN": f"127.0.0.1:{port}"},
        )
        try:
            async with asyncio.timeout(TIMEOUT_S):
                while True:
                    try:
                        client = await Client(port).open()
                        break
                    except ConnectionRefusedError:
                        await asyncio.sleep(0.01)
            answer = await client.exchange(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
            self.assertEqual(answer.status, 200)
            client.writer.close()
        finally:
            unread_program.kill()
            await unread_program.communicate()

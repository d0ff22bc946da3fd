"""Limits of the clients' connections, and a log that nobody reads."""

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


class Bounds(PlatformCase):
    max_sockets = 40

    async def test_past_half_of_the_sockets_the_silent_make_room(self) -> None:
        """Past the limit on sockets nothing would be accepted, nor any node reached."""
        kept = [await self.connect() for _ in range(5)]
        silent = [await self.connect(wait_until_ready=False) for _ in range(40)]
        self.assertEqual((await (await self.connect(wait_until_ready=False)).request()).status, 200)
        for client in (self.client, *kept):
            self.assertEqual((await client.request()).status, 200)
        self.assertEqual(await silent[0].reader.read(), b"")
        self.assertGreater((await self.program.counters())["clients.evicted"], 20)

    async def test_past_a_quarter_of_the_sockets_the_longest_idle_makes_room(self) -> None:
        """Clients keep to a third of them, and count what others asked on once and left open."""
        asked = [await self.connect() for _ in range(12)]
        began = time.monotonic()
        while time.monotonic() - began < EVICTION_AGE_S[ConnectionState.IDLE] + 0.1:
            await asked[-1].request()
        await self.connect(wait_until_ready=False)
        async with asyncio.timeout(TIMEOUT_S):
            self.assertEqual(await self.client.reader.read(), b"")
        self.assertLess(time.monotonic() - began, 1.5)

    async def test_who_sends_no_whole_request_is_closed_within_3_s(self) -> None:
        """Each such connection holds a descriptor; those of a flood are all there are."""
        texts = (
            b"",
            b"\r\n",
            self.client.encode_request()[:-2],
            self.client.encode_request("new-write", body=b"x" * 9)[:-1],
        )
        began = time.monotonic()
        for text in texts:
            client = await self.connect(wait_until_ready=False)
            client.writer.write(text)
            texts = (*texts, client)  # type: ignore[assignment]
        for client in texts[4:]:
            async with asyncio.timeout(TIMEOUT_S):
                self.assertEqual(await client.reader.read(), b"")  # type: ignore[attr-defined]
        self.assertLess(time.monotonic() - began, 3)
        self.assertEqual((await self.program.counters()).get("requests.taken", 0), 0)

    async def test_a_log_that_no_one_reads_stops_nothing(self) -> None:
        """Its pipe fills; a write from the event loop would wait for ever."""
        row = self.discovery.endpoints["s-1"]
        hosts = [{**row, "host": f"s-{number}" * 30} for number in range(2000)]
        self.discovery_server.listener.close()
        await self.launch(known_list={"seq": 1, "whole": True, "hosts": hosts})
        await self.program.stop(signal.SIGKILL)
        port = free_port()
        mute = await asyncio.create_subprocess_exec(
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
            mute.kill()
            await mute.communicate()

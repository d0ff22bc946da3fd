"""System calls on sockets and files that fail for a moment."""

from __future__ import annotations

import asyncio
import signal

import test_iscsi_rude as iscsi_cases
from fault_cases import FaultCase, IscsiFaultCase, sleep_until
from harness import (
    PLATFORM_SETTINGS,
    TIMEOUT_S,
    Client,
    read_message,
)


class AcceptFails(FaultCase):
    """accept(2): ENFILE, ENOBUFS and others may come for a moment; who is connected is owed an answer."""

    setting_overrides = {
        "classes": [{**cls, "deadline-us": 1_000_000} for cls in PLATFORM_SETTINGS["classes"]]
    }

    async def test_as_the_program_takes_no_more(self) -> None:
        loop = asyncio.get_running_loop()
        self.program.process.send_signal(signal.SIGTERM)
        told_at = loop.time()
        await sleep_until(told_at + 0.25)
        self.faults.set(accept="ENFILE")
        clients = [await Client(self.port).open() for _ in range(3)]
        for client in clients:
            client.writer.write(client.encode_request())
        await sleep_until(told_at + 0.65)
        self.faults.set()
        for client in clients:
            async with asyncio.timeout(TIMEOUT_S):
                self.assertEqual((await read_message(client.reader)).status, 200)
            client.writer.close()

    async def test_in_the_middle_of_service(self) -> None:
        for name in ("ECONNABORTED", "ENFILE", "EMFILE", "ENOBUFS", "ENOMEM", "EPROTO"):
            with self.subTest(error=name):
                self.faults.set(accept=name)
                client = await Client(self.port).open()
                asked = asyncio.create_task(client.request())
                await sleep_until(asyncio.get_running_loop().time() + 0.1)
                self.faults.set()
                self.assertEqual((await asked).status, 200)
                client.writer.close()


class SetsockoptFails(FaultCase):
    """A connection that is accepted is served, whatever option it lacks."""

    setting_overrides = AcceptFails.setting_overrides

    async def test_in_service_and_at_the_end(self) -> None:
        for end in (False, True):
            if end:
                self.program.process.send_signal(signal.SIGTERM)
                await sleep_until(asyncio.get_running_loop().time() + 0.1)
            self.faults.set(setsockopt="ENOBUFS", setsockopt_port=self.port)
            clients = [await Client(self.port).open() for _ in range(4)]
            answers = await asyncio.gather(*(client.request() for client in clients))
            self.assertEqual([one.status for one in answers], [200] * 4)
            for client in clients:
                client.writer.close()


class KeptReservations(IscsiFaultCase, iscsi_cases.PersistentReservations):
    """Notes: writes and syncs to a folder that lasts may fail for a while; what was taken on is owed."""

    async def test_good_is_said_of_what_is_kept_alone(self) -> None:
        one, two = await self.peer(), await self.peer()
        for name in ("ENOSPC", "EIO"):
            self.faults.set(fsync=name)
            self.assertNotEqual(await self.out(one, 6, 0, 11, flags=1), 0)
            self.faults.set()
            self.assertEqual(await self.out(one, 1, 11, 0, kind=3), 0x18)  # it is not registered
        self.assertEqual(await self.out(one, 6, 0, 11, flags=1), 0)
        self.faults.set(fsync="EIO")
        self.assertNotEqual(await self.out(one, 1, 11, 0, kind=3), 0)
        self.faults.set()
        self.assertEqual((await two.do(iscsi_cases.READ, read=4096))[0], 0)  # nor reserved
        self.assertEqual(await self.out(one, 1, 11, 0, kind=3), 0)
        self.assertEqual((await two.do(iscsi_cases.READ, read=4096))[0], 0x18)

    async def test_a_read_that_fails_for_a_moment_loses_nothing(self) -> None:
        one = await self.peer()
        self.assertEqual(await self.out(one, 6, 0, 11, flags=1), 0)
        self.assertEqual(await self.out(one, 1, 11, 0, kind=3), 0)
        self.assertEqual(await self.program.stop(signal.SIGKILL), -9)
        self.faults.set(read="EIO", read_name=self.file.name)
        launched = asyncio.create_task(self.launch("a", self.node.port, self.front))
        await sleep_until(asyncio.get_running_loop().time() + 1.0)
        self.faults.set()
        self.program, self.port = await launched
        self.assertEqual((await (await self.peer()).do(iscsi_cases.READ, read=4096))[0], 0x18)


class LocalFailures(FaultCase):
    """connect(2) that fails on the broker's own machine says nothing of the node, and spends no attempt."""

    async def test_a_moment_without_ports_or_memory_loses_no_request(self) -> None:
        await self.client.request()
        for name in ("EADDRNOTAVAIL", "ENETUNREACH", "ENOBUFS", "ENFILE"):
            with self.subTest(error=name):
                await self.client.request()
                self.faults.set(connect=name, connect_ports=[self.node.port])
                for server_side in list(self.node.writers):
                    server_side.transport.abort()
                await self.node.wait_until(lambda: not self.node.open_connections)
                asked = asyncio.create_task(self.client.request())
                await sleep_until(asyncio.get_running_loop().time() + 0.4)
                self.faults.set()
                self.assertEqual((await asked).status, 200)

    async def test_a_node_that_refuses_for_a_moment_spends_no_attempts(self) -> None:
        self.faults.set(connect="ECONNREFUSED", connect_ports=[self.node.port])
        asked = asyncio.create_task(self.client.request())
        await sleep_until(asyncio.get_running_loop().time() + 0.3)
        self.faults.set()
        self.assertEqual((await asked).status, 200)

    async def test_those_that_wait_behind_one_that_was_refused_are_served_or_refused_in_half_of_their_time(
        self,
    ) -> None:
        """PROTOCOL: a refusal costs nothing up to half of a request's time. Soon after, the node serves."""
        loop = asyncio.get_running_loop()

        async def timed() -> tuple[int, float]:
            client = await self.connect(wait_until_ready=False)
            began = loop.time()
            status = (await client.request(X_Deadline_Ms="2000")).status
            return status, loop.time() - began

        self.faults.set(connect="ECONNREFUSED", connect_ports=[self.node.port])
        began = loop.time()
        first = asyncio.create_task(self.client.request(X_Deadline_Ms="2000"))
        await sleep_until(began + 0.05)
        waiting = [asyncio.create_task(timed()) for _ in range(6)]
        await sleep_until(began + 0.15)
        self.faults.set()
        self.assertEqual((await first).status, 200)
        for status, took_s in await asyncio.gather(*waiting):
            self.assertIn(status, (200, 503))
            self.assertTrue(status == 200 or took_s < 1.0, took_s)
        self.assertEqual([(await timed())[0] for _ in range(6)], [200] * 6)

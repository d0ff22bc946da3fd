"""System calls on sockets and files that fail for a short time."""

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


class FailingAccept(FaultCase):
    """accept(2) may fail for a short time, for example with ENFILE; connected clients are still served."""

    setting_overrides = {
        "classes": [{**cls, "deadline-us": 1_000_000} for cls in PLATFORM_SETTINGS["classes"]]
    }

    async def test_connected_clients_are_served_though_accept_fails_during_shutdown(self) -> None:
        loop = asyncio.get_running_loop()
        self.program.process.send_signal(signal.SIGTERM)
        signalled_at = loop.time()
        await sleep_until(signalled_at + 0.25)
        self.faults.set(accept="ENFILE")
        clients = [await Client(self.port).open() for _ in range(3)]
        for client in clients:
            client.writer.write(client.encode_request())
        await sleep_until(signalled_at + 0.65)
        self.faults.set()
        for client in clients:
            async with asyncio.timeout(TIMEOUT_S):
                self.assertEqual((await read_message(client.reader)).status, 200)
            client.writer.close()

    async def test_connected_client_is_served_though_accept_fails_in_service(self) -> None:
        for name in ("ECONNABORTED", "ENFILE", "EMFILE", "ENOBUFS", "ENOMEM", "EPROTO"):
            with self.subTest(error=name):
                self.faults.set(accept=name)
                client = await Client(self.port).open()
                response_task = asyncio.create_task(client.request())
                await sleep_until(asyncio.get_running_loop().time() + 0.1)
                self.faults.set()
                self.assertEqual((await response_task).status, 200)
                client.writer.close()


class FailingSetsockopt(FaultCase):
    """An accepted connection is served even if its socket options cannot be set."""

    setting_overrides = FailingAccept.setting_overrides

    async def test_connection_is_served_though_setsockopt_fails(self) -> None:
        for during_shutdown in (False, True):
            if during_shutdown:
                self.program.process.send_signal(signal.SIGTERM)
                await sleep_until(asyncio.get_running_loop().time() + 0.1)
            self.faults.set(setsockopt="ENOBUFS", setsockopt_port=self.port)
            clients = [await Client(self.port).open() for _ in range(4)]
            responses = await asyncio.gather(*(client.request() for client in clients))
            self.assertEqual([response.status for response in responses], [200] * 4)
            for client in clients:
                client.writer.close()


class FailingReservationStore(IscsiFaultCase, iscsi_cases.PersistentReservations):
    """NOTES: writes and syncs of stored files may fail for a while; accepted reservations must still hold."""

    async def test_reservation_has_good_status_only_if_it_is_stored(self) -> None:
        holder, other = await self.peer(), await self.peer()
        for name in ("ENOSPC", "EIO"):
            self.faults.set(fsync=name)
            self.assertNotEqual(await self.reserve_out(holder, 6, 0, 11, aptpl=1), 0)
            self.faults.set()
            # The key is not registered.
            self.assertEqual(await self.reserve_out(holder, 1, 11, 0, reservation_type=3), 0x18)
        self.assertEqual(await self.reserve_out(holder, 6, 0, 11, aptpl=1), 0)
        self.faults.set(fsync="EIO")
        self.assertNotEqual(await self.reserve_out(holder, 1, 11, 0, reservation_type=3), 0)
        self.faults.set()
        self.assertEqual((await other.execute(iscsi_cases.READ_CDB, read=4096))[0], 0)  # nothing is reserved
        self.assertEqual(await self.reserve_out(holder, 1, 11, 0, reservation_type=3), 0)
        self.assertEqual((await other.execute(iscsi_cases.READ_CDB, read=4096))[0], 0x18)

    async def test_reservation_survives_failing_reads_at_a_restart(self) -> None:
        holder = await self.peer()
        self.assertEqual(await self.reserve_out(holder, 6, 0, 11, aptpl=1), 0)
        self.assertEqual(await self.reserve_out(holder, 1, 11, 0, reservation_type=3), 0)
        self.assertEqual(await self.program.stop(signal.SIGKILL), -9)
        self.faults.set(read="EIO", read_name=self.file.name)
        launch_task = asyncio.create_task(self.launch("a", self.node.port, self.front))
        await sleep_until(asyncio.get_running_loop().time() + 1.0)
        self.faults.set()
        self.program, self.port = await launch_task
        self.assertEqual((await (await self.peer()).execute(iscsi_cases.READ_CDB, read=4096))[0], 0x18)


class FailingConnect(FaultCase):
    """Local errors of connect(2) do not concern the node and do not count as attempts."""

    async def test_request_is_served_after_local_connect_errors(self) -> None:
        await self.client.request()
        for name in ("EADDRNOTAVAIL", "ENETUNREACH", "ENOBUFS", "ENFILE"):
            with self.subTest(error=name):
                await self.client.request()
                self.faults.set(connect=name, connect_ports=[self.node.port])
                for node_side in list(self.node.writers):
                    node_side.transport.abort()
                await self.node.wait_until(lambda: not self.node.open_connections)
                response_task = asyncio.create_task(self.client.request())
                await sleep_until(asyncio.get_running_loop().time() + 0.4)
                self.faults.set()
                self.assertEqual((await response_task).status, 200)

    async def test_request_is_served_after_refused_connects(self) -> None:
        self.faults.set(connect="ECONNREFUSED", connect_ports=[self.node.port])
        response_task = asyncio.create_task(self.client.request())
        await sleep_until(asyncio.get_running_loop().time() + 0.3)
        self.faults.set()
        self.assertEqual((await response_task).status, 200)

    async def test_requests_behind_a_refused_connect_are_served_or_rejected_within_half_their_deadline(
        self,
    ) -> None:
        """PROTOCOL: a rejection costs nothing up to half of a request's deadline.

        The node refuses connects for 0.15 s and then serves.
        """

        loop = asyncio.get_running_loop()

        async def request_with_duration() -> tuple[int, float]:
            client = await self.connect(wait_until_ready=False)
            started_at = loop.time()
            status = (await client.request(X_Deadline_Ms="2000")).status
            return status, loop.time() - started_at

        self.faults.set(connect="ECONNREFUSED", connect_ports=[self.node.port])
        started_at = loop.time()
        first_response = asyncio.create_task(self.client.request(X_Deadline_Ms="2000"))
        await sleep_until(started_at + 0.05)
        queued = [asyncio.create_task(request_with_duration()) for _ in range(6)]
        await sleep_until(started_at + 0.15)
        self.faults.set()
        self.assertEqual((await first_response).status, 200)
        for status, duration_s in await asyncio.gather(*queued):
            self.assertIn(status, (200, 503))
            self.assertTrue(status == 200 or duration_s < 1.0, duration_s)
        self.assertEqual([(await request_with_duration())[0] for _ in range(6)], [200] * 6)

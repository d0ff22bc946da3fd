"""System calls that fail for a short time (NOTES), at the iSCSI front and at the operators' address."""

from __future__ import annotations

import asyncio

import test_iscsi_rude as iscsi_cases
from fault_cases import FaultCase, IscsiFaultCase, sleep_until
from test_operators import OperatorsCase, call

FAILURE_S = 0.3
ACCEPT_ERRORS = ("ECONNABORTED", "ENFILE", "EMFILE", "ENOBUFS", "ENOMEM", "EPROTO")
CONNECT_ERRORS = ("EADDRNOTAVAIL", "ENETUNREACH", "ENOBUFS", "ENFILE")
MAX_REPLY_S = 1.0  # OPS: a call has its reply within 1 s


class OperatorCallsWithFaults(FaultCase, OperatorsCase):
    async def test_operator_call_is_answered_in_time_though_accept_fails(self) -> None:
        loop = asyncio.get_running_loop()
        for name in ACCEPT_ERRORS:
            with self.subTest(error=name):
                self.faults.set(accept=name)
                called_at = loop.time()
                reply_task = asyncio.create_task(call(self.admin, "ready"))
                await sleep_until(called_at + FAILURE_S)
                self.faults.set()
                self.assertTrue((await reply_task).startswith("ACK"))
                self.assertLess(loop.time() - called_at, MAX_REPLY_S)


class ReadingCase(IscsiFaultCase):
    async def read(self, peer: iscsi_cases.Peer) -> int:
        """Reads 4 KiB and returns the number of bytes received."""
        return len(await peer.expect_good(iscsi_cases.READ_CDB, read=4096))


class InitiatorSideFaults(ReadingCase):
    async def test_login_succeeds_in_time_though_accept_fails(self) -> None:
        loop = asyncio.get_running_loop()
        for name in ACCEPT_ERRORS:
            with self.subTest(error=name):
                self.faults.set(accept=name)
                started_at = loop.time()
                login = asyncio.create_task(self.peer())
                await sleep_until(started_at + FAILURE_S)
                self.faults.set()
                peer = await login
                self.assertLess(loop.time() - started_at, 2 * FAILURE_S)
                self.assertEqual(await self.read(peer), 4096)

    async def test_initiator_is_served_though_setsockopt_fails(self) -> None:
        self.faults.set(setsockopt="ENOBUFS", setsockopt_port=self.port)
        self.assertEqual(await self.read(await self.peer()), 4096)


class TargetSideFaults(ReadingCase):
    async def test_command_is_served_after_local_connect_errors(self) -> None:
        """The session with the node is closed, and the next connect fails with a local error."""
        peer = await self.peer()
        for name in CONNECT_ERRORS:
            with self.subTest(error=name):
                self.assertEqual(await self.read(peer), 4096)
                self.faults.set(connect=name, connect_ports=[self.node.port])
                for connection in list(self.node._connections):
                    connection.abort()
                command_task = asyncio.create_task(peer.execute(iscsi_cases.READ_CDB, read=4096))
                await sleep_until(asyncio.get_running_loop().time() + FAILURE_S)
                self.faults.set()
                self.assertEqual((await command_task)[0], 0)
        counts = await self.program.counters()
        self.assertEqual(counts.get("attempts.connect_failed", 0), 0)  # local errors do not concern the node

"""System calls fail for a moment (NOTES), on the iSCSI front and at the operators' address."""

from __future__ import annotations

import asyncio

import test_iscsi_rude as iscsi_cases
from fault_cases import FaultCase, IscsiFaultCase, sleep_until
from test_operators import OperatorsCase, call

FAILS_S = 0.3
ACCEPT_ERRORS = ("ECONNABORTED", "ENFILE", "EMFILE", "ENOBUFS", "ENOMEM", "EPROTO")
CONNECT_ERRORS = ("EADDRNOTAVAIL", "ENETUNREACH", "ENOBUFS", "ENFILE")
REPLY_MAX_S = 1.0  # OPS: a call has its reply within 1 s


class Operators(FaultCase, OperatorsCase):
    async def test_a_call_is_answered_in_time_though_accept_fails_for_a_moment(self) -> None:
        loop = asyncio.get_running_loop()
        for name in ACCEPT_ERRORS:
            with self.subTest(error=name):
                self.faults.set(accept=name)
                called_at = loop.time()
                answer = asyncio.create_task(call(self.admin, "ready"))
                await sleep_until(called_at + FAILS_S)
                self.faults.set()
                self.assertTrue((await answer).startswith("ACK"))
                self.assertLess(loop.time() - called_at, REPLY_MAX_S)


class ReadingCase(IscsiFaultCase):
    async def read(self, peer: iscsi_cases.Peer) -> int:
        return len(await peer.good(iscsi_cases.READ, read=4096))


class Initiators(ReadingCase):
    async def test_a_login_is_answered_in_time_though_accept_fails_for_a_moment(self) -> None:
        loop = asyncio.get_running_loop()
        for name in ACCEPT_ERRORS:
            with self.subTest(error=name):
                self.faults.set(accept=name)
                began = loop.time()
                login = asyncio.create_task(self.peer())
                await sleep_until(began + FAILS_S)
                self.faults.set()
                peer = await login
                self.assertLess(loop.time() - began, 2 * FAILS_S)
                self.assertEqual(await self.read(peer), 4096)

    async def test_a_connection_without_its_socket_options_is_served(self) -> None:
        self.faults.set(setsockopt="ENOBUFS", setsockopt_port=self.port)
        self.assertEqual(await self.read(await self.peer()), 4096)


class Targets(ReadingCase):
    async def test_a_moment_without_ports_or_memory_fails_no_command(self) -> None:
        """The node's session ends, and the next connect fails on the broker's own machine."""
        peer = await self.peer()
        for name in CONNECT_ERRORS:
            with self.subTest(error=name):
                self.assertEqual(await self.read(peer), 4096)
                self.faults.set(connect=name, connect_ports=[self.node.port])
                for connection in list(self.node._connections):
                    connection.abort()
                asked = asyncio.create_task(peer.do(iscsi_cases.READ, read=4096))
                await sleep_until(asyncio.get_running_loop().time() + FAILS_S)
                self.faults.set()
                self.assertEqual((await asked)[0], 0)
        counts = await self.program.counters()
        self.assertEqual(counts.get("attempts.connect_failed", 0), 0)  # it says nothing of the node

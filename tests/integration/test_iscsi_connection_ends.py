"""What a session's initiators are told when one of its connections has ended, on the real program."""

from __future__ import annotations

import asyncio
import signal

from harness import TIMEOUT_S
from test_iscsi_rude import READ_CDB, IscsiFrontCase

from lemonridge.iscsi.pdu import FINAL, RESERVED_TAG, ManagementFunction, Op, Pdu
from lemonridge.iscsi.session import REMOVE_FOR_RECOVERY
from lemonridge.lab.conform.peer import Peer

WRITE_CDB = b"\x2a" + bytes(6) + b"\0\x08\0"
LOGOUT_REQUESTED = 1  # AsyncEvent (RFC 7143, section 11.9.1)


class ReplacedConnections(IscsiFrontCase):
    """Connections that are replaced by a login with their CID (RFC 7143, section 6.3.4)."""

    async def replace(self, peer: Peer) -> Peer:
        """Returns the connection that takes the place of a connection, whose initiator has given it up."""
        replacement = await Peer(peer.host, peer.port, peer.target, peer.initiator, peer.isid).open()
        self.addCleanup(replacement.close)
        replacement.tsih, replacement.cid, replacement.cmd_sn = peer.tsih, peer.cid, peer.cmd_sn
        return await replacement.login()

    # Guards against a session that is served on past SIGTERM: below recovery level 2 the replacement of its
    # connection ended the session, which then served the new connection and was in no registry.
    async def test_session_with_a_replaced_connection_is_asked_to_log_out_at_sigterm(self) -> None:
        for level in ("0", "1"):
            with self.subTest(level=level):
                self.program, self.port = await self.launch(f"level-{level}", self.node.port, self.front)
                peer = await self.replace(await self.peer(ErrorRecoveryLevel=level))
                await peer.expect_good(READ_CDB, read=4096)
                self.program.process.send_signal(signal.SIGTERM)
                message = await peer.receive(Op.ASYNC)
                self.assertEqual(message.words[4] >> 24, LOGOUT_REQUESTED)
                peer.send(Pdu(Op.LOGOUT, FINAL, tag=4))
                await peer.receive(Op.LOGOUT_RESPONSE)
                self.assertEqual(await self.program.stop(signal.SIGCONT), 0)


class LostConnections(IscsiFrontCase):
    """Connections at recovery level 2 that are reset (RFC 7143, section 7.4)."""

    async def open_connection(self, session: Peer, cid: int) -> Peer:
        """Returns another connection of a session."""
        peer = await Peer("127.0.0.1", self.port, session.target, session.initiator, session.isid).open()
        self.addCleanup(peer.close)
        peer.tsih, peer.cid, peer.cmd_sn, peer.tags = session.tsih, cid, session.cmd_sn, session.tags
        return await peer.login()

    # Guards against a command that runs and is never answered: it was held for an earlier CmdSN when its
    # connection was reset, and became a task of the closed connection, still allegiant for TASK REASSIGN.
    async def test_command_held_while_its_connection_is_reset_is_answered_once_reassigned(self) -> None:
        steady = await self.peer(ErrorRecoveryLevel="2", MaxConnections="4")
        other = await self.open_connection(steady, cid=1)
        other.cmd_sn = steady.cmd_sn + 1
        held_tag = other.send_command(WRITE_CDB, data=b"H" * 4096, tag=50)
        nop = Pdu(Op.NOP_OUT, FINAL, tag=60, immediate=True, words=[RESERVED_TAG, 0, 0, 0, 0, 0, 0])
        other.send(nop, assign_numbers=False)
        await other.receive(Op.NOP_IN)  # the command has been received
        other.close(reset=True)
        await self.program.wait_for_counter("connections.lost")
        await steady.expect_good(READ_CDB, read=4096)  # the earlier command
        steady.cmd_sn += 1
        third = await self.open_connection(steady, cid=2)
        logout = Pdu(Op.LOGOUT, FINAL | REMOVE_FOR_RECOVERY, tag=61, immediate=True)
        logout.words[0] = 1 << 16  # the lost connection's CID
        third.send(logout)
        self.assertEqual((await third.receive(Op.LOGOUT_RESPONSE)).byte2, 0)
        reassign = Pdu(Op.TASK_MANAGEMENT, FINAL | ManagementFunction.TASK_REASSIGN, tag=62, immediate=True)
        reassign.words[0] = held_tag
        third.send(reassign)
        self.assertEqual((await third.receive(Op.TASK_MANAGEMENT_RESPONSE)).byte2, 0)
        response, _ = await third.receive_response(held_tag)
        self.assertEqual(response.byte3, 0)
        self.assertEqual(await third.expect_good(READ_CDB, read=4096), b"H" * 4096)


class StoppingSessions(IscsiFrontCase):
    # Guards against a program that does not end after SIGTERM: above recovery level 0 a session ended with
    # the acknowledgement of its last status, which an initiator without commands does not send.
    async def test_session_ends_with_the_status_of_its_last_command_at_sigterm(self) -> None:
        for level in ("0", "1", "2"):
            with self.subTest(level=level):
                self.program, self.port = await self.launch(f"level-{level}", self.node.port, self.front)
                peer = await self.peer(ErrorRecoveryLevel=level)
                await peer.expect_good(READ_CDB, read=4096)
                self.node.delay_s = lambda: 0.9  # past the half second in which commands are taken
                commands_before = len(self.node.command_start_times)
                tag = peer.send_command(READ_CDB, read=4096)
                async with asyncio.timeout(TIMEOUT_S):
                    while len(self.node.command_start_times) == commands_before:
                        await asyncio.sleep(0.001)
                self.program.process.send_signal(signal.SIGTERM)
                await peer.receive(Op.ASYNC)
                self.assertEqual((await peer.receive_response(tag))[0].byte3, 0)
                await peer.expect_close()
                self.assertEqual(await self.program.stop(signal.SIGCONT), 0)
                self.node.delay_s = lambda: 0.0

"""What a session's initiators are told when one of its connections has ended, on the real program."""

from __future__ import annotations

import signal

from test_iscsi_rude import READ_CDB, IscsiFrontCase

from lemonridge.iscsi.pdu import FINAL, Op, Pdu
from lemonridge.lab.conform.peer import Peer

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

"""Random ends of a session's connections: each command runs once at most and is answered exactly once."""

from __future__ import annotations

import asyncio
import struct
from collections import Counter
from random import Random

from front_cases import BLOCK_BYTES, WAIT_LIMIT_S, FrontCase, StubBroker

from lemonridge.core.model import Answer, Request
from lemonridge.iscsi import scsi
from lemonridge.iscsi.numbers import serial_distance
from lemonridge.iscsi.pdu import (
    FINAL,
    RESERVED_TAG,
    ManagementFunction,
    ManagementResponse,
    Op,
    Pdu,
    read_pdu,
)
from lemonridge.iscsi.session import CLOSE_CONNECTION, LOGOUT_DONE, REMOVE_FOR_RECOVERY
from lemonridge.lab.conform.peer import Peer

STEPS = 120
SEEDS = 12
COMMANDS_AT_A_TIME = 12  # below the command window
MAX_CID = 3


class CountingBroker(StubBroker):
    """A core that counts the requests by first block, which is the tag of the command."""

    def __init__(self) -> None:
        super().__init__()
        self.runs: Counter[int] = Counter()

    async def serve(self, request: Request) -> Answer:
        """Counts a request, and serves it once `finished` is set."""
        assert isinstance(request.payload, scsi.Command)
        self.runs[scsi.first_block(request.payload.cdb)] += 1
        return await super().serve(request)


class RandomInitiator:
    """An initiator that loses, replaces and logs out connections, and recovers its commands (RFC 7143, 7).

    Attributes:
        responses: The number of responses received, by task tag.
        terminated: Tags of commands that the target aborted, as their connection was logged out for good.
    """

    def __init__(self, case: RandomEndings, level: int, random: Random) -> None:
        self.case, self.level, self.random = case, level, random
        self.connections: dict[int, Peer] = {}
        self.responses: Counter[int] = Counter()
        self.terminated: set[int] = set()
        self.cids: dict[int, int] = {}  # of the commands that are not answered, by tag
        self.pdus: dict[int, Pdu] = {}
        self.unsent: list[tuple[int, int]] = []  # tag and CID of commands that are sent later
        self.replies: dict[int, asyncio.Future[Pdu]] = {}
        self.cmd_sn = self.exp_cmd_sn = 1
        self.last_tag = 0
        self.receivers: set[asyncio.Task[None]] = set()

    async def open(self) -> None:
        """Opens the session."""
        self.leader = await self.case.open_session(self.level)
        self.cmd_sn = self.exp_cmd_sn = self.leader.cmd_sn
        self._add(0, self.leader)

    def _add(self, cid: int, peer: Peer) -> None:
        self.connections[cid] = peer
        receiver = asyncio.create_task(self._receive(peer))
        self.receivers.add(receiver)
        receiver.add_done_callback(self.receivers.discard)

    async def _receive(self, peer: Peer) -> None:
        try:
            while True:
                pdu = await read_pdu(peer.reader, 1 << 20)
                if pdu.opcode not in (Op.DATA_IN, Op.R2T):
                    peer.exp_stat_sn = pdu.words[1] + 1
                if serial_distance(pdu.words[2], self.exp_cmd_sn) > 0:
                    self.exp_cmd_sn = pdu.words[2]
                if pdu.opcode == Op.SCSI_RESPONSE:
                    self.responses[pdu.tag] += 1
                    self.cids.pop(pdu.tag, None)
                elif pdu.opcode == Op.REJECT:
                    raise AssertionError(f"Reject with reason {pdu.byte2:#04x}")
                elif pdu.tag in self.replies:
                    self.replies.pop(pdu.tag).set_result(pdu)
        except (asyncio.IncompleteReadError, ConnectionError):
            return

    def _send(self, peer: Peer, pdu: Pdu) -> None:
        pdu.words[2] = peer.exp_stat_sn
        peer.send(pdu, assign_numbers=False)

    async def _request(self, peer: Peer, pdu: Pdu) -> Pdu:
        """Sends an immediate request and returns its response."""
        self.last_tag += 1
        pdu.tag, pdu.immediate, pdu.words[1] = self.last_tag, True, self.cmd_sn
        reply = self.replies[pdu.tag] = asyncio.get_running_loop().create_future()
        self._send(peer, pdu)
        async with asyncio.timeout(WAIT_LIMIT_S):
            return await reply

    # Steps

    def start_command(self) -> None:
        """Takes the next CmdSN for a command, and sends it now or, beside another connection, later."""
        if len(self.cids) >= COMMANDS_AT_A_TIME:
            return
        self.last_tag += 1
        tag, cid = self.last_tag, self.random.choice(list(self.connections))
        cdb = struct.pack(">BBIBHB6x", 0x28, 0, tag, 0, 1, 0)
        words = [BLOCK_BYTES, self.cmd_sn, 0, *struct.unpack(">4I", cdb)]
        self.pdus[tag] = Pdu(Op.SCSI_COMMAND, FINAL | 0x41, tag=tag, words=words)
        self.cmd_sn += 1
        self.cids[tag] = cid
        if len(self.connections) > 1 and self.random.random() < 0.3:
            self.unsent.append((tag, cid))
        else:
            self._send(self.connections[cid], self.pdus[tag])

    def send_late_commands(self) -> None:
        """Sends the commands that were not sent before, on their connections."""
        for tag, cid in self.unsent:
            if cid in self.connections and tag in self.cids:
                self._send(self.connections[cid], self.pdus[tag])
        self.unsent.clear()

    async def ping(self) -> None:
        """Waits until the target has received all that was sent on one connection."""
        peer = self.random.choice(list(self.connections.values()))
        await self._request(peer, Pdu(Op.NOP_OUT, words=[RESERVED_TAG] + [0] * 6))

    async def join(self) -> None:
        """Opens a connection, or replaces one, and recovers the commands of the one that was replaced."""
        cid = self.random.randint(0, MAX_CID)
        previous = self.connections.pop(cid, None)
        await self._log_in(cid)
        if previous is not None:
            previous.close()
        await self._recover(cid, self.connections[cid], are_kept=self.level == 2)

    async def _log_in(self, cid: int) -> None:
        joined = await self.case.connect(self.leader.isid)
        joined.tsih, joined.cid, joined.cmd_sn = self.leader.tsih, cid, self.cmd_sn
        await joined.login()
        self._add(cid, joined)

    async def lose(self) -> None:
        """At level 2 resets a connection, and replaces it or logs it out for recovery."""
        if self.level < 2:
            return
        cid = self.random.choice(list(self.connections))
        await self.case.lose(self.connections.pop(cid))
        if self.random.random() < 0.5:
            self.send_late_commands()
        if not self.connections or self.random.random() < 0.5:
            await self._log_in(cid)
            await self._recover(cid, self.connections[cid], are_kept=True)
            return
        await self._log_out(REMOVE_FOR_RECOVERY, cid)

    async def log_out(self) -> None:
        """Logs out one of several connections, from another one."""
        if len(self.connections) < 2:
            return
        reason = REMOVE_FOR_RECOVERY if self.level == 2 and self.random.random() < 0.5 else CLOSE_CONNECTION
        cid = self.random.choice(list(self.connections))
        self.connections.pop(cid)
        await self._log_out(reason, cid)

    async def _log_out(self, reason: int, cid: int) -> None:
        peer = self.random.choice(list(self.connections.values()))
        response = await self._request(peer, Pdu(Op.LOGOUT, FINAL | reason, words=[cid << 16] + [0] * 6))
        assert response.byte2 == LOGOUT_DONE, response
        await self._recover(cid, peer, are_kept=reason == REMOVE_FOR_RECOVERY)

    async def _recover(self, lost_cid: int, peer: Peer, are_kept: bool) -> None:
        """Reassigns the acknowledged commands of an ended connection, and sends the others again."""
        await self._request(peer, Pdu(Op.NOP_OUT, words=[RESERVED_TAG] + [0] * 6))  # the newest ExpCmdSN
        new_cid = next(cid for cid, connection in self.connections.items() if connection is peer)
        for tag in [tag for tag, cid in self.cids.items() if cid == lost_cid]:
            self.cids[tag] = new_cid
            if serial_distance(self.pdus[tag].words[1], self.exp_cmd_sn) >= 0:
                self._send(peer, self.pdus[tag])  # discarded, or never received
            elif are_kept:
                pdu = Pdu(Op.TASK_MANAGEMENT, FINAL | ManagementFunction.TASK_REASSIGN, words=[tag] + [0] * 6)
                response = await self._request(peer, pdu)
                assert response.byte2 == ManagementResponse.FUNCTION_COMPLETE or self.responses[tag], (
                    tag,
                    response,
                )
            else:
                self.terminated.add(tag)
                del self.cids[tag]
        self.unsent = [(tag, cid) for tag, cid in self.unsent if cid != lost_cid]


class RandomEndings(FrontCase):
    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.broker = self.front.broker = CountingBroker()  # type: ignore[assignment]

    async def play(self, level: int, seed: int) -> None:
        """Plays one session."""
        random = Random(seed)
        initiator = RandomInitiator(self, level, random)
        await initiator.open()
        session = self.session_of(initiator.leader)
        for _ in range(STEPS):
            step = random.choices(
                ("command", "late", "ping", "join", "lose", "log out", "serve"), (12, 2, 3, 1, 1, 1, 3)
            )[0]
            if step == "command":
                initiator.start_command()
            elif step == "late":
                initiator.send_late_commands()
            elif step == "serve":
                self.broker.finished.set()
                await initiator.ping()
                self.broker.finished.clear()
            else:
                await {
                    "ping": initiator.ping,
                    "join": initiator.join,
                    "lose": initiator.lose,
                    "log out": initiator.log_out,
                }[step]()
            self.assertIs(self.front.sessions.get(initiator.leader.tsih), session)
            for task in session.tasks.values():
                self.assertTrue(task.connection is None or task.connection in session.connections)
        self.broker.finished.set()
        initiator.send_late_commands()
        await self.until(lambda: not initiator.cids)
        answered = set(initiator.pdus) - initiator.terminated
        self.assertEqual({tag: initiator.responses[tag] for tag in answered}, dict.fromkeys(answered, 1))
        self.assertLessEqual(set(self.broker.runs.values()), {1})
        self.broker.runs.clear()
        self.broker.finished.clear()
        session.end()

    async def test_each_command_is_answered_once_at_level_1(self) -> None:
        for seed in range(SEEDS):
            with self.subTest(seed=seed):
                await self.play(1, seed)

    async def test_each_command_is_answered_once_at_level_2(self) -> None:
        for seed in range(SEEDS):
            with self.subTest(seed=seed):
                await self.play(2, seed)

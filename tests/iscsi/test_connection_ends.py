"""What becomes of all that hangs on a connection, for each way in which a connection ends."""

from __future__ import annotations

import asyncio

from front_cases import BLOCK_BYTES, READ_CDB, FrontCase

from lemonridge.iscsi.pdu import CONTINUE, FINAL, RESERVED_TAG, Op, Pdu, pack_text
from lemonridge.iscsi.session import FUNCTION_COMPLETE, TASK_REASSIGN
from lemonridge.lab.conform.peer import Peer


class RetainedTasks(FrontCase):
    """Tasks at recovery level 2 whose connection was lost, and the time for which they are kept."""

    time2retain_s = 2

    # Guards against a command that is never answered: it was reassigned and lost its second connection too,
    # and the timer of the first loss aborted it before the time of the second one was over.
    async def test_task_that_loses_its_second_connection_is_kept_for_the_time_of_that_loss(self) -> None:
        steady = await self.open_session(level=2)
        first = await self.join(steady, cid=1)
        tag = await self.start_command(first)
        steady.cmd_sn = first.cmd_sn
        second = await self.join(steady, cid=2)
        await self.lose(first)
        first_expiry_s = asyncio.get_running_loop().time() + self.time2retain_s
        self.assertEqual(await self.manage(second, TASK_REASSIGN, tag), FUNCTION_COMPLETE)
        await self.until_time(first_expiry_s - 0.5)
        await self.lose(second)
        await self.until_time(first_expiry_s + 0.1)
        third = await self.join(steady, cid=3)
        self.assertEqual(await self.manage(third, TASK_REASSIGN, tag), FUNCTION_COMPLETE)
        self.broker.finished.set()
        self.assertEqual((await third.receive_response(tag))[0].byte3, 0)
        self.assertEqual(self.broker.request_count, 1)


class TextExchanges(FrontCase):
    """Text requests and answers in several PDUs, which belong to one connection."""

    long_request = pack_text(
        (f"X-{'k' * 50}-{number}", "v") for number in range(20)
    )  # answers: NotUnderstood

    async def text(
        self, peer: Peer, data: bytes = b"", transfer_tag: int = RESERVED_TAG, flags: int = FINAL
    ) -> Pdu:
        """Sends a text request and returns the next PDU."""
        request = Pdu(Op.TEXT, flags, tag=9, immediate=True, data=data)
        request.words[0] = transfer_tag
        peer.send(request)
        return await peer.receive()

    # Guards against a session that ends because its connections have long answers at the same time: the rest
    # of one answer took the place of the other's.
    async def test_long_answers_on_two_connections_do_not_replace_each_other(self) -> None:
        first = await self.open_session(level=0, MaxRecvDataSegmentLength="512")
        second = await self.join(first, cid=1, MaxRecvDataSegmentLength="512")
        parts = {peer: await self.text(peer, self.long_request) for peer in (first, second)}
        for peer, part in parts.items():
            text = part.data
            while not part.flags & FINAL:
                part = await self.text(peer, transfer_tag=part.words[0])
                self.assertEqual(part.opcode, Op.TEXT_RESPONSE)
                text += part.data
            self.assertEqual(text.count(b"=NotUnderstood"), 20)

    # Guards against text that outlives its connection, in the session or with a connection of the same CID.
    async def test_partial_request_ends_with_its_connection(self) -> None:
        for level in (0, 1, 2):
            with self.subTest(level=level):
                peer = await self.open_session(level)
                await self.text(peer, b"X-half", flags=CONTINUE)
                replacement = await self.join(peer, cid=peer.cid)
                answer = await self.text(replacement, b"X-whole=1\0")
                self.assertEqual((answer.opcode, answer.data), (Op.TEXT_RESPONSE, b"X-whole=NotUnderstood\0"))

    async def test_rest_of_an_answer_ends_with_its_connection(self) -> None:
        peer = await self.open_session(level=2, MaxRecvDataSegmentLength="512")
        part = await self.text(peer, self.long_request)
        replacement = await self.join(peer, cid=peer.cid)
        answer = await self.text(replacement, transfer_tag=part.words[0])
        self.assertEqual(answer.opcode, Op.REJECT)

    async def test_continued_request_may_copy_the_transfer_tag(self) -> None:
        """The initiator copies the tag of the target's empty response (RFC 7143, section 11.10.4)."""
        peer = await self.open_session(level=0)
        part = await self.text(peer, b"X-a", flags=CONTINUE)
        answer = await self.text(peer, b"b=1\0", transfer_tag=part.words[0])
        self.assertEqual((answer.opcode, answer.data), (Op.TEXT_RESPONSE, b"X-ab=NotUnderstood\0"))


class NumbersOfAFurtherLogin(FrontCase):
    """The command and status numbers of a login that joins a session."""

    # Guards against an initiator that takes lost commands for received ones: the login response acknowledged
    # the CmdSN of the request, whatever the session had received.
    async def test_login_response_has_the_command_numbers_of_the_session(self) -> None:
        peer = await self.open_session(level=2)
        await self.start_command(peer)
        exp_cmd_sn, max_cmd_sn = self.session_of(peer).command_numbers()
        peer.cmd_sn += 3  # commands that got lost
        joining = await self.connect(peer.isid)
        joining.tsih, joining.cid, joining.cmd_sn = peer.tsih, 1, peer.cmd_sn
        response = await joining.login_step(FINAL | 1 << 2 | 3, joining.login_keys())
        self.assertEqual(response.words[2:4], [exp_cmd_sn, max_cmd_sn])

    # Guards against statuses that are kept though the initiator has acknowledged them: the login that
    # restarts a connection carries the ExpStatSN of the lost one (RFC 7143, section 11.12.9).
    async def test_login_that_restarts_a_connection_acknowledges_its_statuses(self) -> None:
        for is_lost in (False, True):
            with self.subTest(is_lost=is_lost):
                peer = await self.open_session(level=2)
                self.broker.finished.set()
                tag = peer.send_command(READ_CDB, read=BLOCK_BYTES)
                await peer.receive_response(tag)
                session = self.session_of(peer)
                self.assertIn(tag, session.tasks)
                if is_lost:
                    await self.lose(peer)
                restarting = await self.connect(peer.isid)
                data = pack_text((key, value or "") for key, value in peer.login_keys().items())
                request = Pdu(Op.LOGIN, FINAL | 1 << 2 | 3, immediate=True, data=data)
                request.lun = peer.isid + peer.tsih.to_bytes(2, "big")
                request.words[:3] = [peer.cid << 16, peer.cmd_sn, peer.exp_stat_sn]
                restarting.send(request, assign_numbers=False)
                await restarting.receive(Op.LOGIN_RESPONSE)
                await self.until(lambda session=session: session.connections)
                self.assertNotIn(tag, session.tasks)


class TagsOfLostConnections(FrontCase):
    # Guards against a rejected command: its tag was that of a command whose status had arrived before its
    # connection was lost, so that nothing could acknowledge it.
    async def test_tag_of_a_command_with_a_status_is_free_after_the_loss_of_its_connection(self) -> None:
        steady = await self.open_session(level=2)
        other = await self.join(steady, cid=1)
        self.broker.finished.set()
        tag = other.send_command(READ_CDB, read=BLOCK_BYTES)
        await other.receive_response(tag)
        await self.lose(other)
        steady.cmd_sn = other.cmd_sn
        steady.send_command(READ_CDB, read=BLOCK_BYTES, tag=tag)
        self.assertEqual((await steady.receive_response(tag))[0].byte3, 0)

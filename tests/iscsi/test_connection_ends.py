"""What becomes of all that hangs on a connection, for each way in which a connection ends."""

from __future__ import annotations

import asyncio
import struct

from front_cases import BLOCK_BYTES, READ_CDB, FrontCase

from lemonridge.iscsi.pdu import (
    CONTINUE,
    FINAL,
    RESERVED_TAG,
    ManagementFunction,
    ManagementResponse,
    Op,
    Pdu,
    pack_text,
)
from lemonridge.iscsi.session import (
    CLOSE_CONNECTION,
    CLOSE_SESSION,
    LOGOUT_DONE,
    MAX_RETAINED_CONNECTIONS,
    REMOVE_FOR_RECOVERY,
    SessionEndedError,
)
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
        self.assertEqual(
            await self.manage(second, ManagementFunction.TASK_REASSIGN, tag),
            ManagementResponse.FUNCTION_COMPLETE,
        )
        await self.until_time(first_expiry_s - 0.5)
        await self.lose(second)
        await self.until_time(first_expiry_s + 0.1)
        third = await self.join(steady, cid=3)
        self.assertEqual(
            await self.manage(third, ManagementFunction.TASK_REASSIGN, tag),
            ManagementResponse.FUNCTION_COMPLETE,
        )
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

    async def test_login_that_has_not_succeeded_is_told_no_numbers_of_the_session(self) -> None:
        peer = await self.open_session(level=2)
        await self.start_command(peer)
        joining = await self.connect(peer.isid)
        joining.tsih, joining.cid, joining.cmd_sn = peer.tsih, 1, 40
        keys = joining.login_keys(AuthMethod="None")
        response = await joining.login_step(FINAL | 1, keys)  # from the security to the operational stage
        self.assertEqual(response.words[2:5], [40, 40 + self.front.config.queue_depth - 1, 0])

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


class ReplacedBelowLevel2(FrontCase):
    """Sessions at levels 0 and 1 whose connection was replaced (RFC 7143, section 6.3.4)."""

    async def open_and_replace(self, level: int) -> Peer:
        peer = await self.open_session(level)
        return await self.join(peer, cid=peer.cid)

    # Guards against a forgotten session: a reset of the unit did not abort its commands, nor tell it.
    async def test_reset_of_the_unit_reaches_the_session(self) -> None:
        for level in (0, 1):
            with self.subTest(level=level):
                peer = await self.open_and_replace(level)
                tag = await self.start_command(peer)
                task = self.session_of(peer).tasks[tag]
                other = await self.open_session(level)
                self.assertEqual(
                    await self.manage(other, ManagementFunction.LOGICAL_UNIT_RESET),
                    ManagementResponse.FUNCTION_COMPLETE,
                )
                self.assertTrue(task.aborted)
                status, _, sense = await peer.execute(READ_CDB, read=BLOCK_BYTES)
                self.assertEqual((status, sense[12:14]), (2, b"\x29\x03"))

    # Guards against two sessions of one nexus: a login that replaces the session did not find it.
    async def test_login_that_replaces_the_session_ends_it(self) -> None:
        for level in (0, 1):
            with self.subTest(level=level):
                peer = await self.open_and_replace(level)
                session = self.session_of(peer)
                await (await self.connect(peer.isid)).login()
                await peer.expect_close()
                self.assertTrue(session.ended)
                self.assertEqual(len(self.front.sessions), 1)
                self.assertEqual(len(self.front.device.nexuses), 1)
                self.front.sessions.popitem()[1].end()

    # Guards against an ended session that is served: it took a connection whose login it had not seen end.
    async def test_ended_session_refuses_a_connection(self) -> None:
        peer = await self.open_session(level=2)
        session = self.session_of(peer)
        connection = session.connections[0]
        session.end()
        with self.assertRaises(SessionEndedError):
            session.add_connection(connection)
        self.assertEqual(session.connections, [])


class HeldPdus(FrontCase):
    """PDUs that are held for an earlier CmdSN while a connection ends."""

    async def open_two(self, level: int) -> tuple[Peer, Peer]:
        first = await self.open_session(level)
        second = await self.join(first, cid=1)
        return first, second

    def request_logout(self, peer: Peer, reason: int, cid: int, cmd_sn: int) -> None:
        """Sends a logout that is not immediate."""
        request = Pdu(Op.LOGOUT, FINAL | reason, tag=next(self.ping_tags))
        request.words[:3] = [cid << 16, cmd_sn, peer.exp_stat_sn]
        peer.send(request, assign_numbers=False)

    # Guards against a command that runs in an ended session: it stood behind the logout in one batch.
    async def test_command_behind_the_logout_of_its_session_does_not_run(self) -> None:
        for level in (0, 1, 2):
            with self.subTest(level=level):
                first, second = await self.open_two(level)
                requests_before = self.broker.request_count
                await self.start_command(second, cmd_sn=first.cmd_sn + 1)
                self.request_logout(first, CLOSE_SESSION, 0, first.cmd_sn)
                response = await first.receive(Op.LOGOUT_RESPONSE)
                self.assertEqual((response.byte2, response.words[2]), (LOGOUT_DONE, first.cmd_sn + 1))
                await second.expect_close()
                self.assertEqual(self.broker.request_count, requests_before)

    # Guards against a command that is never answered: it was held as its connection was logged out, ran
    # without a connection, and its repetition on another one was dropped.
    async def test_command_that_a_logout_discarded_is_taken_again(self) -> None:
        for level, reason in ((1, CLOSE_CONNECTION), (2, CLOSE_CONNECTION), (2, REMOVE_FOR_RECOVERY)):
            with self.subTest(level=level, reason=reason):
                first, second = await self.open_two(level)
                held_cmd_sn, requests_before = first.cmd_sn + 1, self.broker.request_count
                tag = await self.start_command(second, cmd_sn=held_cmd_sn)
                self.assertEqual(await self.log_out(first, reason, second.cid), LOGOUT_DONE)
                self.broker.finished.set()
                await first.receive_response(first.send_command(READ_CDB, read=BLOCK_BYTES))
                self.assertEqual(self.session_of(first).window.exp_cmd_sn, held_cmd_sn)
                first.send_command(READ_CDB, read=BLOCK_BYTES, tag=tag)
                self.assertEqual((await first.receive_response(tag))[0].byte3, 0)
                self.assertEqual(self.broker.request_count, requests_before + 2)
                self.broker.finished.clear()

    # Guards against the end of a connection that did nothing wrong: a held PDU that broke the protocol ended
    # the one whose PDU released it, and the PDUs behind it were acknowledged and never processed.
    async def test_held_pdu_that_breaks_the_protocol_ends_its_own_connection(self) -> None:
        first, second = await self.open_two(level=2)
        self.broker.finished.set()
        malformed = Pdu(Op.TEXT, FINAL, tag=70, data=b"no value\0")
        malformed.words[:3] = [RESERVED_TAG, first.cmd_sn + 1, second.exp_stat_sn]
        second.send(malformed, assign_numbers=False)
        await self.receipt(second)
        behind = await self.start_command(first, cmd_sn=first.cmd_sn + 2)
        tag = first.send_command(READ_CDB, read=BLOCK_BYTES)
        answered = {await self.response_tag(first) for _ in range(2)}
        self.assertEqual(answered, {tag, behind})
        await second.expect_reject(0x04)
        await second.expect_close()

    async def response_tag(self, peer: Peer) -> int:
        """Returns the tag of the next SCSI Response."""
        while (pdu := await peer.receive()).opcode != Op.SCSI_RESPONSE:
            pass
        return pdu.tag

    # Guards against a task of a closed connection: its PDU had been read when another one logged it out.
    async def test_pdu_that_was_read_as_its_connection_was_logged_out_is_dropped(self) -> None:
        for level in (0, 1, 2):
            with self.subTest(level=level):
                first, second = await self.open_two(level)
                session = self.session_of(first)
                connection = session.allegiances[second.cid].connection
                assert connection is not None
                self.assertEqual(await self.log_out(first, CLOSE_CONNECTION, second.cid), LOGOUT_DONE)
                words = [BLOCK_BYTES, first.cmd_sn, 0, *struct.unpack(">4I", READ_CDB.ljust(16, b"\0"))]
                session.receive(connection, Pdu(Op.SCSI_COMMAND, FINAL | 0x40, tag=80, words=words))
                self.assertEqual((session.tasks, session.window.exp_cmd_sn), ({}, first.cmd_sn))


class RetentionBounds(FrontCase):
    """How many lost connections a session at level 2 keeps, and for how long."""

    # Guards against state without a bound: each lost connection keeps tasks for 22 s.
    async def test_earliest_lost_connection_gives_way(self) -> None:
        steady = await self.open_session(level=2)
        session = self.session_of(steady)
        lost_count = MAX_RETAINED_CONNECTIONS + 1
        tags = []
        for cid in range(1, lost_count + 1):
            peer = await self.join(steady, cid=cid)
            tags.append(await self.start_command(peer))
            steady.cmd_sn = peer.cmd_sn
            await self.lose(peer)
        self.assertEqual(sorted(session.allegiances), [0, *range(2, lost_count + 1)])
        self.assertEqual(sorted(session.tasks), tags[1:])

    # Guards against tasks that expire within the time that the response to their logout promises.
    async def test_logout_of_a_lost_connection_begins_its_time_anew(self) -> None:
        steady = await self.open_session(level=2)
        peer = await self.join(steady, cid=1)
        await self.start_command(peer)
        await self.lose(peer)
        (timer,) = self.session_of(steady)._retention_timers.values()
        self.assertEqual(await self.log_out(steady, REMOVE_FOR_RECOVERY, 1), LOGOUT_DONE)
        (new_timer,) = self.session_of(steady)._retention_timers.values()
        self.assertTrue(timer.cancelled())
        self.assertGreater(new_timer.when(), timer.when())


class StoppingSessions(FrontCase):
    # Guards against a PREEMPT AND ABORT that fails: the session that it leaves idle ends, and left the table
    # of sessions while that was gone over.
    async def test_abort_of_a_nexus_may_end_its_session(self) -> None:
        holder, other = await self.open_session(level=1), await self.open_session(level=1)
        session = self.session_of(holder)
        await self.start_command(holder)
        session.end_when_idle()
        self.front._abort_nexus_tasks(session.nexus.name, 0)
        self.assertTrue(session.ended)
        self.assertEqual(list(self.front.sessions.values()), [self.session_of(other)])

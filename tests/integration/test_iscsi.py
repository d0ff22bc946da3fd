"""The iSCSI front as a process between initiators and targets."""

from __future__ import annotations

import asyncio
import signal
import struct
from random import Random

import pytest
from harness import TIMEOUT_S, Initiator, IscsiCase, Target, cdb

from lemonridge.iscsi.pdu import FINAL, RESERVED_TAG, Op, Pdu, pack_text, read_pdu, unpack_text

TASK_SET_FULL = 0x28
DATA = bytes(range(256)) * 160  # 40 KiB: immediate data, several bursts and several PDUs


class Commands(IscsiCase):
    async def test_write_and_read_in_many_pdus(self) -> None:
        session = await self.open_session()
        self.assertEqual((await session.write(7, DATA))[0], 0)
        self.assertEqual(self.target.blocks[7], DATA)
        self.assertEqual((await session.read(7, len(DATA)))[:2], (0, DATA))

    async def test_each_pipelined_command_gets_one_response(self) -> None:
        session = await self.open_session()
        tags = [session.command(cdb(0x28, block, 512), read=512) for block in range(20)]
        answers = await asyncio.gather(*(session.answer(tag) for tag in tags))
        self.assertEqual({status for status, _, _ in answers}, {0})
        self.assertEqual(session.answer_counts, {tag: 1 for tag in tags})

    async def test_pdus_split_at_every_byte_are_answered(self) -> None:
        session = await Initiator(self.port).open()
        await session.login()
        words = struct.unpack(">4I", cdb(0x28, 3, 512).ljust(16, b"\0"))
        read = Pdu(Op.SCSI_COMMAND, FINAL | 0x40, tag=1, words=[512, 0, 0, *words])
        text = (
            read.encode()
            + Pdu(Op.NOP_OUT, tag=2, words=[RESERVED_TAG, 1, 0, 0, 0, 0, 0], data=b"ping!").encode()
        )
        session.receiver = asyncio.create_task(session._receive())
        session.pending[1] = (asyncio.get_running_loop().create_future(), bytearray(), b"")
        for offset in range(len(text)):
            session.writer.write(text[offset : offset + 1])
            await session.writer.drain()
            await asyncio.sleep(0)
        self.assertEqual((await session.answer(1))[0], 0)
        self.assertEqual((await session.other_pdus.get()).data, b"ping!")

    async def test_commands_answered_by_the_front_reach_no_target(self) -> None:
        session = await self.open_session()
        status, data, _ = await session.answer(session.command(b"\xa0" + bytes(5) + b"\0\0\1\0", read=256))
        self.assertEqual((status, data), (0, b"\0\0\0\x10" + bytes(4) + bytes(8) + b"\0\1" + bytes(6)))
        absent = await session.answer(session.command(b"\x12\0\0\0\x24", read=36, lun=9))
        self.assertEqual(absent[1][:1], b"\x7f")
        for command, lun, read, expected_sense in (
            (b"\x28", 9, 512, b"\x05\x25"),
            (b"\xff", 0, 0, b"\x05\x20"),
            (b"\x28", 0, 1 << 20, b"\x05\x24"),
        ):
            status, _, sense = await session.answer(session.command(command, read=read, lun=lun))
            self.assertEqual((status, sense[2:3] + sense[12:13]), (2, expected_sense))
        self.assertEqual(self.target.started_commands, [])

    async def test_rejected_command_is_busy_and_failed_command_is_check_condition(self) -> None:
        session = await self.open_session()
        self.target.status = 0x08
        self.assertEqual((await session.write(1, DATA))[0], 0x08)
        self.target.status, self.target.delay_s = 0, 9.0
        status, _, sense = await session.write(2, DATA)
        self.assertEqual((status, sense[2:3] + sense[12:13]), (2, b"\x04\x08"))
        self.assertEqual([block for _, block, _ in self.target.started_commands], [2])

    async def test_reads_but_not_writes_are_sent_again_after_a_target_fails(self) -> None:
        """The target is killed while it executes a write and a read; the write may have run."""
        session = await self.open_session()
        self.target.delay_s = 9.0
        write = session.command(cdb(0x2A, 5, 512), data=bytes(512))
        read = session.command(cdb(0x28, 6, 512), read=512)
        while len(self.target.started_commands) < 2:
            await asyncio.sleep(0)
        new_target = await Target().start()
        self.target.kill()
        self.etcd.put("/lr/nodes/n1", new_target.node_entry(0))
        self.assertEqual((await session.answer(write))[0], 2)
        self.assertEqual((await session.answer(read))[0], 0)
        self.assertEqual([block for _, block, _ in new_target.started_commands], [6])

    async def test_task_management_functions_get_their_responses(self) -> None:
        session = await self.open_session()
        self.target.delay_s = 0.2
        tag = session.command(cdb(0x28, 5, 512), read=512)
        for function, reference, lun, response in (
            (1, tag, 0, 0),
            (1, 999, 0, 1),
            (5, 0, 9, 2),
            (8, 0, 0, 4),
            (5, 0, 0, 0),
            (9, 0, 0, 5),
        ):
            session.send(
                Pdu(
                    Op.TASK_MANAGEMENT,
                    FINAL | function,
                    lun=struct.pack(">H6x", lun),
                    tag=5000,
                    immediate=True,
                    words=[reference, 0, 0, 0, 0, 0, 0],
                )
            )
            answer = await session.other_pdus.get()
            self.assertEqual((answer.opcode, answer.byte2), (Op.TASK_MANAGEMENT_RESPONSE, response))
        self.target.delay_s = 0.0
        status, _, sense = await session.read(6, 512)  # the unit attention of the reset comes first
        self.assertEqual((status, sense[2], sense[12:14]), (2, 0x06, b"\x29\x03"))
        self.assertEqual((await session.read(6, 512))[0], 0)
        self.assertNotIn(tag, session.answer_counts)

    async def test_commands_beyond_the_buffer_limit_get_task_set_full(self) -> None:
        self.target.delay_s = 9.0
        sessions = [await self.open_session() for _ in range(7)]
        tags = [
            (session, session.command(cdb(0x28, n, 1 << 18), read=1 << 18))
            for session in sessions
            for n in range(30)
        ]
        responses = await asyncio.gather(*(session.answer(tag) for session, tag in tags))
        self.assertIn(0x28, {status for status, _, _ in responses})
        self.assertLess(len(self.target.started_commands), 193)

    async def test_discovery_session_lists_the_target_and_logs_out(self) -> None:
        session = await Initiator(self.port).open()
        await session.login(SessionType="Discovery", TargetName=None)
        session.receiver = asyncio.create_task(session._receive())
        session.send(
            Pdu(
                Op.TEXT,
                tag=4,
                data=pack_text([("SendTargets", "All"), ("X-odd", "1")]),
                words=[RESERVED_TAG, 0, 0, 0, 0, 0, 0],
            )
        )
        keys = unpack_text((await session.other_pdus.get()).data)
        self.assertEqual(
            keys,
            {
                "TargetName": "iqn.2026-12.org.lemonridge:store",
                "TargetAddress": f"127.0.0.1:{self.port},1",
                "X-odd": "NotUnderstood",
            },
        )
        session.send(Pdu(Op.LOGOUT, FINAL | 2, tag=5))
        self.assertEqual((await session.other_pdus.get()).byte2, 2)
        session.send(Pdu(Op.LOGOUT, FINAL, tag=6))
        self.assertEqual((await session.other_pdus.get()).byte2, 0)
        self.assertEqual(
            (await session.other_pdus.get()).opcode, Op.ASYNC
        )  # announces the end of the connection

    async def test_invalid_logins_are_rejected_and_valid_keys_are_negotiated(self) -> None:
        operational_to_full = FINAL | 1 << 2 | 3
        for flags, keys, status in (
            (operational_to_full, {"InitiatorName": None}, 0x0207),
            (operational_to_full, {"TargetName": None}, 0x0207),
            (operational_to_full, {"TargetName": "iqn.2026-12.org.lemonridge:other"}, 0x0203),
            (operational_to_full, {"SessionType": "Odd"}, 0x0209),
            (FINAL | 1, {"AuthMethod": "CHAP"}, 0x0201),
            (FINAL | 2 << 2 | 3, {}, 0x020B),
            (FINAL | 1 << 2 | 1, {}, 0x020B),
        ):
            with self.subTest(status=hex(status), keys=keys):
                session = await Initiator(self.port).open()
                self.assertEqual((await session.login(flags, **keys)).words[4] >> 16, status)
                self.assertEqual(await session.reader.read(), b"")
        session = await Initiator(self.port).open()
        response = await session.login(FINAL | 1, AuthMethod="CHAP,None")
        self.assertEqual((response.words[4], unpack_text(response.data)["AuthMethod"]), (0, "None"))
        omitted_keys = dict.fromkeys(
            ("InitiatorName", "TargetName", "SessionType", "MaxRecvDataSegmentLength")
        )
        negotiated = unpack_text(
            (
                await session.login(
                    **omitted_keys,
                    HeaderDigest="CRC32C,None",
                    MaxConnections="8",
                    X="1",
                    MaxBurstLength="4096",
                    FirstBurstLength="1",
                )
            ).data
        )
        self.assertEqual(
            [negotiated[key] for key in ("HeaderDigest", "MaxConnections", "X", "MaxBurstLength")],
            ["CRC32C", "4", "NotUnderstood", "4096"],
        )
        self.assertEqual(negotiated["FirstBurstLength"], "Reject")

    async def test_malformed_pdus_are_rejected_and_end_the_session(self) -> None:
        for pdu, reason in (
            (Pdu(0x1E, tag=1), 0x05),
            (Pdu(Op.SNACK, tag=1), 0x04),
            (Pdu(Op.SCSI_COMMAND, tag=RESERVED_TAG), 0x09),
            (Pdu(Op.SCSI_COMMAND, 0x20, tag=1), 0x04),
            (Pdu(Op.SCSI_COMMAND, FINAL | 0x40, tag=1, data=b"x"), 0x04),
            (Pdu(Op.TEXT, tag=1, data=b"no value\0"), 0x04),
        ):
            with self.subTest(pdu=pdu):
                session = await self.open_session()
                session.send(pdu)
                answer = await session.other_pdus.get()
                self.assertEqual((answer.opcode, answer.byte2), (Op.REJECT, reason))
                self.assertEqual((await session.other_pdus.get()).opcode, Op.ASYNC)
        session = await self.open_session()
        session.writer.write(struct.pack(">BBBBI", 0, 0x80, 0, 0, 0xFFFFFF) + bytes(40))
        self.assertEqual((await session.other_pdus.get()).byte2, 0x04)

    async def test_response_has_the_bytes_that_the_rfc_requires(self) -> None:
        session = await Initiator(self.port).open()
        await session.login()
        session.writer.write(
            bytes.fromhex(
                "01c00000 00000000 0000000000000000 00000009 00000200 00000000 00000002"
                "28000000 00030000 01000000 00000000"
            )
        )
        self.assertEqual(
            (await session.reader.readexactly(48)).hex(" ", 4),
            (
                "21820000 00000000 00000000 00000000 00000009 00000000 00000002 00000001"
                " 00000020 00000000 00000000 00000200"
            ),
        )

    async def test_sigterm_requests_a_logout_and_finishes_running_commands(self) -> None:
        session = await self.open_session()
        self.target.delay_s = 0.9
        tag = session.command(cdb(0x28, 5, 512), read=512)
        while not self.target.started_commands:
            await asyncio.sleep(0)
        self.program.process.send_signal(signal.SIGTERM)
        message = await session.other_pdus.get()
        self.assertEqual((message.opcode, message.words[4] >> 24), (Op.ASYNC, 1))
        self.assertEqual((await session.answer(tag))[0], 0)
        self.assertEqual(await self.program.stop(signal.SIGCONT), 0)

    async def test_session_of_a_target_that_violates_the_protocol_is_closed(self) -> None:
        session = await self.open_session()
        for count, invalid_pdu in enumerate(
            (
                Pdu(Op.R2T, words=[7, 0, 0, 0, 0, 1 << 20, 512]),
                Pdu(Op.R2T, words=[7, 0, 0, 0, 0, 0, 1 << 20]),
                Pdu(Op.DATA_IN, words=[RESERVED_TAG, 0, 0, 0, 0, 99, 0], data=b"x"),
                Pdu(0x3D),
            ),
            1,
        ):
            with self.subTest(invalid_pdu=invalid_pdu):
                self.target.injected_pdus = [invalid_pdu]
                self.assertEqual((await session.write(count, DATA))[0], 2)
                self.assertEqual((await session.write(count + 10, DATA))[0], 0)
                self.assertEqual(len(self.target.started_commands), count * 2)

    async def test_target_gets_a_response_to_its_nop_in_and_the_logout_that_it_requests(self) -> None:
        session = await self.open_session()
        self.target.injected_pdus = [
            Pdu(Op.NOP_IN, words=[5, 0, 0, 0, 0, 0, 0], data=b"ping"),
            Pdu(Op.ASYNC, words=[0, 0, 0, 0, 1 << 24, 0, 0]),
        ]
        for block in (1, 2, 3):
            self.assertEqual((await session.read(block, 512))[0], 0)
        self.assertEqual(
            [(nop_out.words[0], nop_out.data) for nop_out in self.target.nop_outs], [(5, b"ping")]
        )
        self.assertEqual(self.target.logouts, 1)
        self.assertEqual((await self.program.counters())["connections.opened"], 2)


class BufferLimit(IscsiCase):
    config_replacements = {
        "buffer_mib = 48": "buffer_mib = 1",
        "max_transfer_kib = 256": "max_transfer_kib = 1024",
    }

    # Guards against buffers over their limit: data of departed initiators was not counted while being sent.
    async def test_data_of_a_departed_initiator_counts_until_its_attempt_ends(self) -> None:
        self.target.delay_s = 1.0
        leaving = await self.open_session()
        leaving.command(cdb(0x28, 0, 1 << 20), read=1 << 20)
        async with asyncio.timeout(TIMEOUT_S):
            while not self.target.started_commands:
                await asyncio.sleep(0)
        leaving.writer.close()
        await self.program.wait_for_counter("answers.client_gone")
        session = await self.open_session()
        self.assertEqual((await session.read(0, 512))[0], TASK_SET_FULL)
        async with asyncio.timeout(TIMEOUT_S):
            while (status := (await session.read(0, 512))[0]) == TASK_SET_FULL:
                pass
        self.assertEqual(status, 0)

    # Guards against buffers over their limit: data that a slow initiator had not taken was not counted.
    async def test_data_that_an_initiator_does_not_read_counts(self) -> None:
        self.target.blocks[0] = bytes(1 << 20)
        unread = await self.open_session()
        unread.writer.transport.pause_reading()  # type: ignore[attr-defined]
        unread.command(cdb(0x28, 0, 1 << 20), read=1 << 20)
        await self.program.wait_for_counter("commands.status_0x00")
        session = await self.open_session()
        self.assertEqual((await session.read(0, 512))[0], TASK_SET_FULL)


SLOW_S = 6.0
SLOW_BYTES_PER_S = 200_000
READ_BYTES = 1 << 18
READS = 30


@pytest.mark.serial
class SlowInitiators(IscsiCase):
    """Initiators that read their data slowly, or not at all."""

    config_replacements = {"ping_s = 30": "ping_s = 1"}

    async def request_reads(self) -> Initiator:
        """Returns an initiator that has sent `READS` commands and has not read anything."""
        self.target.blocks[0] = bytes(READ_BYTES)
        session = await Initiator(self.port).open()
        await session.login()
        for _ in range(READS):
            session.command(cdb(0x28, 0, READ_BYTES), read=READ_BYTES)
        return session

    # Guards against slow initiators cut off as silent: the ping waited behind data that they still read.
    async def test_slow_initiator_receives_all_data(self) -> None:
        session = await self.request_reads()
        loop, received_bytes, responses = asyncio.get_running_loop(), 0, 0
        start_s = loop.time()
        async with asyncio.timeout(4 * SLOW_S):
            while responses < READS:
                pdu = await read_pdu(session.reader)
                received_bytes += len(pdu.data)
                responses += pdu.opcode == Op.SCSI_RESPONSE
                if pdu.opcode == Op.NOP_IN:
                    words = [pdu.words[0], 0, 0, 0, 0, 0, 0]
                    session.send(Pdu(Op.NOP_OUT, tag=RESERVED_TAG, immediate=True, words=words))
                if loop.time() < start_s + SLOW_S:
                    await asyncio.sleep(start_s + received_bytes / SLOW_BYTES_PER_S - loop.time())
        self.assertGreater(loop.time(), start_s + SLOW_S)
        self.assertEqual(received_bytes, READS * READ_BYTES)
        session.writer.close()

    async def test_initiator_that_does_not_read_loses_its_connection(self) -> None:
        session = await self.request_reads()
        session.writer.transport.pause_reading()  # type: ignore[attr-defined]
        async with asyncio.timeout(3 * TIMEOUT_S):  # LONGEST_WAIT_S of the progress is 21.4 s
            while not (await self.program.counters()).get("connections.unread"):
                await asyncio.sleep(0.1)
        session.writer.close()


class DrainingTarget(IscsiCase):
    async def test_no_new_command_is_sent_to_a_draining_target(self) -> None:
        session = await self.open_session()
        self.assertEqual((await session.read(1, 512))[0], 0)
        self.etcd.put("/lr/nodes/n1", self.target.node_entry(0, "draining"))
        await self.program.wait_for_line("state=draining")
        self.assertEqual((await session.read(2, 512))[0], 0x08)
        self.assertEqual([block for _, block, _ in self.target.started_commands], [1])


RUNS, LANES = 1000, 4  # each lane uses its own shard and makes its runs one after another


class FailingTargets(IscsiCase):
    """Targets that are killed, stop responding or drain at random times."""

    config_replacements = {
        "deadline_ms = 2500": "deadline_ms = 300",
        "deadline_ms = 2000": "deadline_ms = 300",
        "aim_ms = 300": "aim_ms = 100",
        "aim_ms = 400": "aim_ms = 100",
        "cold_units = 8 ": "cold_units = 100000 ",
        'plan = "basic"': 'plan = "standard"',
        "shard = 1\n": "shard = 1\n"
        + "".join(f'\n[[lun]]\nlun = {lun}\nplan = "standard"\nshard = {lun}\n' for lun in (2, 3)),
    }

    async def test_every_rule_holds_over_a_thousand_runs(self) -> None:
        self.etcd.delete("/lr/nodes/n1")
        session = await self.open_session()
        status_counts: dict[int, int] = {}
        await asyncio.gather(*(self.run_lane(session, lane, status_counts) for lane in range(LANES)))
        self.assertEqual(set(session.answer_counts.values()), {1})
        self.assertEqual(len(session.answer_counts), sum(status_counts.values()))
        # The runs must have produced enough commands that were served, rejected and failed.
        for status in (0x00, 0x08, 0x02):
            self.assertGreater(status_counts.get(status, 0), 50, status_counts)

    async def run_lane(self, session: Initiator, lane: int, status_counts: dict[int, int]) -> None:
        """Makes the runs of a lane, each with a new target on the lane's shard, and checks each of them."""
        name = f"/lr/nodes/lane{lane}"
        for run in range(lane, RUNS, LANES):
            random = Random(run)
            target = await Target(f"n{run}").start()
            target.delay_s = random.uniform(0, 0.004)
            self.etcd.put(name, target.node_entry(lane))
            blocks = range(run * 10, run * 10 + random.randint(2, 5))
            writes = {block: random.random() < 0.6 for block in blocks}
            tags = {
                block: session.command(cdb(0x2A, block, len(DATA)), data=DATA, lun=lane)
                if writes[block]
                else session.command(cdb(0x28, block, 512), read=512, lun=lane)
                for block in blocks
            }
            await asyncio.sleep(random.uniform(0, 0.02))  # so that the event comes at a random time
            event, drained_at = random.random(), 0.0
            if event < 0.6:
                target.kill()
                self.etcd.delete(name)
            elif event < 0.63:
                target.silent = True
            elif event < 0.9:
                self.etcd.put(name, target.node_entry(lane, "draining"))
                drained_at = asyncio.get_running_loop().time()
            statuses = {block: (await session.answer(tag))[0] for block, tag in tags.items()}
            for block, status in statuses.items():
                status_counts[status] = status_counts.get(status, 0) + 1
                start_times = [
                    time for time, command_block, _ in target.started_commands if command_block == block
                ]
                if writes[block]:
                    self.assertLessEqual(len(start_times), 1, (run, block))  # once, or never
                    if status == 0x08:
                        self.assertEqual(start_times, [], (run, block))  # BUSY means that it never ran
                    if status == 0:
                        self.assertEqual(target.blocks[block], DATA, (run, block))
                if drained_at:
                    self.assertLess(max(start_times, default=0.0), drained_at + 0.5, (run, block))
            self.assertLessEqual(target.max_running, 1, run)  # never two attempts of a command at once
            target.kill()

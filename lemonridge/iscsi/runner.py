"""The commands of a session in work: their data in, their life in the core, their data and status out, and
their recovery within a command, within a connection and across connections (RFC 7143, chapter 7).
"""

from __future__ import annotations

import asyncio
from dataclasses import replace
from functools import partial
from typing import TYPE_CHECKING

from lemonridge.iscsi import scsi
from lemonridge.iscsi.device import LOCAL_DATA_OUT_COMMANDS
from lemonridge.iscsi.keys import NegotiatedParameters
from lemonridge.iscsi.mapped import class_of, reply_of, request_of
from lemonridge.iscsi.pdu import FINAL, RESERVED_TAG, Op, Pdu, PduError, unpack_lun
from lemonridge.iscsi.task import Task
from lemonridge.iscsi.task_order import TaskOrder
from lemonridge.iscsi.transfer import DataInPdu, Inbound, Outbound, ReadyToTransfer, TransferError
from lemonridge.net.sockets import peer_has_closed

if TYPE_CHECKING:
    from lemonridge.iscsi.connection import Connection
    from lemonridge.iscsi.session import Session

ATTRIBUTE = 0x07  # of a SCSI Command's flags: its task attribute (11.3.1)
STALL_S = 0.2  # without data that were asked for, at a level that may ask again
DATA_SNACK, STATUS_SNACK, DATA_ACK, RDATA_SNACK = range(4)  # 11.16.1


class Runner:
    """Runs the commands of one session."""

    def __init__(self, session: Session) -> None:
        self._session, self._front = session, session.front
        self._transfers = 0
        self._orders: dict[int, TaskOrder] = {}  # by LUN
        self._turns: dict[Task, asyncio.Event] = {}  # of the commands that wait for earlier ones

    # A command comes

    def begin(self, connection: Connection, pdu: Pdu) -> None:
        """Answer here what cannot be carried, else begin its life."""
        session, front, config = self._session, self._front, self._front.config
        agreed = session.agreed
        old = session.tasks.get(pdu.tag)
        if pdu.tag == RESERVED_TAG or (
            old is not None and (old.status is None or session.agreed.recovery_level)
        ):
            raise PduError(PduError.FIELD, "a task tag that is in use", pdu)
        reads, writes = bool(pdu.flags & 0x40), bool(pdu.flags & 0x20)
        lun, length = unpack_lun(pdu.lun), pdu.words[0]
        more = not pdu.flags & FINAL
        if more and (agreed.initial_r2t or not writes):
            raise PduError(PduError.PROTOCOL, "unsolicited data was not agreed on", pdu)
        if pdu.data and (
            not writes or not agreed.immediate_data or len(pdu.data) > min(length, agreed.first_burst)
        ):
            raise PduError(PduError.PROTOCOL, "immediate data that was not agreed on", pdu)
        command = scsi.Command(-1 if lun is None else lun, pdu.cdb, reads, writes, length)
        task = Task(pdu, command, front.clock.now_us(), connection)
        front.counters["commands.taken"] += 1
        reply = front.local(session, command)
        if reply is None and session.ending:
            reply = scsi.Reply(scsi.Status.BUSY)
        if reply is None and front.buffered + length > config.buffer_bytes:
            front.counters["commands.no_room"] += 1
            reply = scsi.Reply(scsi.Status.TASK_SET_FULL)
        session.tasks[pdu.tag] = task
        if reply is not None:
            if more:  # data that are on their way have nowhere to go: they are dropped as they come
                task.inbound = Inbound(0, b"", agreed, False, 0)
            self.respond(task, reply)
            return
        task.buffered_bytes = length
        front.buffered += length
        if writes:
            task.inbound = Inbound(length, pdu.data, agreed, more, self._transfers)
            task.last_data_s = front.loop.time()
        order = self._orders.setdefault(command.lun, TaskOrder())
        order.add(task, pdu.flags & ATTRIBUTE, command.cdb)
        task.execution = asyncio.create_task(self._life(task))
        task.execution.add_done_callback(lambda _: self._leave(task, order))

    def _leave(self, task: Task, order: TaskOrder) -> None:
        """A command has ended: those that waited for it alone go on."""
        order.remove(task)
        for waiting, turn in self._turns.items():
            if waiting.command.lun == task.command.lun and order.may_run(waiting):
                turn.set()

    async def _wait_for_turn(self, task: Task, deadline_us: int) -> bool:
        """Wait for the earlier commands that this one must not pass; False where they take too long."""
        if self._orders[task.command.lun].may_run(task):
            return True
        turn = self._turns[task] = asyncio.Event()
        try:
            async with asyncio.timeout_at(self._front.clock.loop_time(deadline_us)):
                await turn.wait()
        except TimeoutError:
            return False
        finally:
            del self._turns[task]
        return True

    async def _life(self, task: Task) -> None:
        """One command: gather its data, have it carried, respond."""
        front, command = self._front, task.command
        try:
            lun = front.config.luns[command.lun]
            deadline_us = task.arrived_us + front.config.settings.classes[class_of(command)].deadline_us
            if task.inbound is not None:
                if not await self._gather(task, task.inbound, deadline_us):
                    self.respond(task, scsi.data_incomplete())
                    return
                command.data = bytes(task.inbound.data)
                task.inbound = None
            if not await self._wait_for_turn(task, deadline_us):
                self.respond(task, scsi.Reply(scsi.Status.BUSY))
                return
            if command.cdb[0] in LOCAL_DATA_OUT_COMMANDS:
                self.respond(task, front.device.execute_with_data(self._session.nexus, command))
            elif lun.mapped and front.mapped is not None:
                self.respond(
                    task, await front.mapped.serve(command, lun, deadline_us, partial(self._abandoned, task))
                )
            else:
                request = request_of(
                    front.config, command, lun, lun.shard, deadline_us, partial(self._abandoned, task)
                )
                self.respond(task, reply_of(await front.broker.serve(request)))
            self._leave(task, self._orders[command.lun])
            if task.connection is not None:
                await task.connection.writer.drain()
        except ConnectionError:
            pass  # the initiator has gone
        finally:
            if task.status is None and not task.aborted and task.reply is None:
                self._session.abort(task)

    def _abandoned(self, task: Task) -> bool:
        """Whether its initiator has ended the connection; at level 2 the command may go on on another."""
        connection = task.connection
        if connection is None or self._session.agreed.recovery_level >= 2:
            return False
        return peer_has_closed(connection.writer.transport)

    # Its data in

    async def _gather(self, task: Task, inbound: Inbound, deadline_us: int) -> bool:
        """Ask for a write's data, burst by burst; False if they do not come in time."""
        loop, recovers = self._front.loop, self._session.agreed.recovery_level > 0
        end = self._front.clock.loop_time(deadline_us)
        while not inbound.complete:
            self.ask(task, inbound.next_r2ts())
            task.progress.clear()
            stall = task.last_data_s + STALL_S if recovers and inbound.awaits_data else end
            try:
                async with asyncio.timeout_at(min(end, stall)):
                    await task.progress.wait()
            except TimeoutError:
                if loop.time() >= end:
                    return False
                task.last_data_s = loop.time()
                self.ask(task, inbound.recovery_r2ts_after_stall())
        return True

    def ask(self, task: Task, asks: list[ReadyToTransfer]) -> None:
        for one in asks:
            self._transfers = max(self._transfers, one.transfer_tag)
            if task.connection is not None:
                self._front.counters["r2ts"] += 1
                task.connection.send(
                    Pdu(
                        Op.R2T,
                        lun=task.pdu.lun,
                        tag=task.tag,
                        words=[one.transfer_tag, 0, 0, 0, one.r2t_sn, one.offset, one.length],
                    )
                )

    def data_out(self, connection: Connection, pdu: Pdu) -> None:
        task = self._session.tasks.get(pdu.tag)
        if task is None or task.inbound is None or task.connection is not connection:
            return  # of a command that was aborted, or whose data came too late
        if not task.inbound.length:
            return
        try:
            task.inbound.receive(pdu.words[0], pdu.words[4], pdu.words[5], pdu.data, bool(pdu.flags & FINAL))
        except TransferError as error:
            if self._session.agreed.recovery_level and pdu.words[0] != RESERVED_TAG:
                self._front.counters["data.ignored"] += 1  # of a burst that was asked for anew
                return
            raise PduError(PduError.PROTOCOL, str(error), pdu) from None
        task.last_data_s = self._front.loop.time()
        if pdu.flags & FINAL and self._session.agreed.recovery_level:
            self._recover(task, task.inbound.recovery_r2ts())
        task.progress.set()

    def stalled(self, tag: int) -> None:
        """Data of a command were discarded: what is missing is asked for again."""
        task = self._session.tasks.get(tag)
        if task is not None and task.inbound is not None and task.inbound.length:
            self._recover(task, task.inbound.recovery_r2ts_after_stall())

    def _recover(self, task: Task, asks: list[ReadyToTransfer]) -> None:
        self._front.counters["r2ts.recovery"] += len(asks)
        self.ask(task, asks)

    # Its data and status out

    def respond(self, task: Task, reply: scsi.Reply) -> None:
        """The command's end is known. Without a connection it is kept until the command is reassigned."""
        if task.aborted:
            return
        task.reply = reply
        self._front.counters[f"commands.status_{reply.status:#04x}"] += 1
        if task.command.reads:
            data = reply.data[: task.command.length]
            agreed = task.connection.agreed if task.connection is not None else self._session.agreed
            task.outbound = Outbound(data, agreed.send_segment, self._session.agreed.max_burst)
        if task.connection is not None:
            self._send(task, 0)

    def _send(self, task: Task, first: int) -> None:
        """Data from DataSN `first` on, and the status, on the command's own connection."""
        connection, reply = task.connection, task.reply
        assert connection is not None
        assert reply is not None
        outbound = task.outbound
        if outbound is not None:
            for part in outbound.data_in_pdus():
                if part.data_sn >= first:
                    self._data_in(connection, task, outbound, part)
        length, moved = task.command.length, len(outbound.data) if outbound is not None else 0
        residual = reply.residual
        if task.command.reads:
            residual = length - moved or min(0, reply.residual)
        flags = FINAL | (0x02 if residual > 0 else 0x04 if residual < 0 else 0)
        sense = len(reply.sense).to_bytes(2, "big") + reply.sense if reply.sense else b""
        count = outbound.pdu_count if outbound is not None else 0
        task.status = Pdu(
            Op.SCSI_RESPONSE,
            flags,
            byte3=reply.status,
            tag=task.tag,
            data=sense,
            words=[0, 0, 0, 0, count, 0, abs(residual)],
        )
        connection.send(task.status, status=True)
        if not self._session.agreed.recovery_level:
            self._session.forget(task)

    def _data_in(self, connection: Connection, task: Task, outbound: Outbound, part: DataInPdu) -> None:
        data = outbound.data[part.offset : part.offset + part.length]
        connection.send(
            Pdu(
                Op.DATA_IN,
                FINAL if part.final else 0,
                lun=task.pdu.lun,
                tag=task.tag,
                data=data,
                words=[RESERVED_TAG, 0, 0, 0, part.data_sn, part.offset, 0],
            )
        )

    def release(self, task: Task) -> None:
        """Its status is known to the initiator: nothing of it can be asked for again."""
        self._session.forget(task)

    # Recovery

    def snack(self, connection: Connection, pdu: Pdu) -> None:
        """What the initiator missed is sent again (7.3, 11.16); what is not kept gets a Reject."""
        kind, first, run = pdu.flags & 0x0F, pdu.words[5], pdu.words[6]
        self._front.counters["snacks"] += 1
        if not self._session.agreed.recovery_level:
            raise PduError(PduError.PROTOCOL, "a SNACK at recovery level 0", pdu)
        if kind == STATUS_SNACK:
            statuses = connection.statuses.find_retained(first, run)
            if statuses is not None:
                for _, status in statuses:
                    connection.again(status)
                return
        task = self._session.tasks.get(pdu.tag)
        if task is not None and task.connection is connection and kind != STATUS_SNACK:
            if kind == DATA_ACK and task.outbound is not None:
                task.outbound.acknowledged = max(task.outbound.acknowledged, first)
                return
            if kind == RDATA_SNACK and task.outbound is not None and not first and not run:
                task.outbound = Outbound(
                    task.outbound.data, connection.agreed.send_segment, self._session.agreed.max_burst
                )
            if task.outbound is not None and (parts := task.outbound.find_for_snack(first, run)) is not None:
                for part in parts:
                    self._data_in(connection, task, task.outbound, part)
                return
            if task.inbound is not None and kind == DATA_SNACK:  # R2Ts were missed
                self._recover(task, task.inbound.recovery_r2ts_after_stall())
                return
        connection.reject(pdu, PduError.SNACK)

    def resize(self, connection: Connection, segment: int) -> NegotiatedParameters:
        """The initiator takes another length of data segments from now on."""
        return replace(connection.agreed, send_segment=segment)

    def reassign(self, connection: Connection, pdu: Pdu) -> int:
        """TASK REASSIGN (7.4, 11.5): a command whose connection was lost goes on on this one. It was not run
        again: its life went on, and its end was kept.
        """
        if self._session.agreed.recovery_level < 2:
            return 4
        task = self._session.tasks.get(pdu.words[0])
        if task is None:
            return 1
        if task.connection is not None:
            return 3
        self._front.counters["tasks.reassigned"] += 1
        task.connection = connection
        # The response goes first; what follows belongs to the new connection.
        kept = task.reply is not None
        self._front.loop.call_soon(self._resume, task, connection, pdu.words[4], kept)
        return 0

    def _resume(self, task: Task, connection: Connection, expected: int, kept: bool) -> None:
        """Go on with a reassigned command. One whose end was `kept` is answered now; one that has ended since
        it was reassigned has been answered by `respond`.
        """
        if task.connection is not connection or connection.over:
            return
        if kept:
            first = 0
            if task.outbound is not None:
                if connection.agreed.send_segment == task.outbound.max_segment:
                    first = expected
                else:
                    task.outbound = Outbound(
                        task.outbound.data, connection.agreed.send_segment, self._session.agreed.max_burst
                    )
            self._send(task, first)
        elif task.inbound is not None:
            self._recover(task, task.inbound.recovery_r2ts_after_stall())

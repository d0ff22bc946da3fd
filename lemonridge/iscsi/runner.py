"""Runs the SCSI commands of a session (RFC 7143, chapter 7).

For each command: receives its data, passes it to the core, sends its data and status, and recovers PDUs that
were lost, within a command, within a connection and across connections.
"""

from __future__ import annotations

import asyncio
from functools import partial
from typing import Protocol

from lemonridge.core.broker import Broker
from lemonridge.core.clock import Clock
from lemonridge.core.counters import Counters
from lemonridge.core.memory_budget import MemoryBudget, Reservation
from lemonridge.iscsi import scsi
from lemonridge.iscsi.allegiance import Allegiance, InitiatorConnection
from lemonridge.iscsi.config import IscsiConfig
from lemonridge.iscsi.device import LOCAL_DATA_OUT_COMMANDS, Device, Nexus, aborts_commands
from lemonridge.iscsi.keys import NegotiatedParameters
from lemonridge.iscsi.mapped import MappedLuns, make_request, reply_from_answer, request_class_of
from lemonridge.iscsi.pdu import FINAL, RESERVED_TAG, ManagementResponse, Op, Pdu, PduError, unpack_lun
from lemonridge.iscsi.task import Task
from lemonridge.iscsi.task_order import TaskOrder
from lemonridge.iscsi.transfer import DataInPdu, Inbound, Outbound, ReadyToTransfer, TransferError
from lemonridge.iscsi.unfinished_commands import NodeActivity, UnfinishedCommands
from lemonridge.net.sockets import peer_has_closed

TASK_ATTRIBUTE_MASK = 0x07  # in the flags of a SCSI Command PDU (RFC 7143, section 11.3.1)
R2T_RETRY_INTERVAL_S = 0.2  # without Data-Out before missing data is requested again
DATA_SNACK, STATUS_SNACK, DATA_ACK, RDATA_SNACK = range(4)  # SNACK types (RFC 7143, section 11.16.1)


class CommandFront(Protocol):
    """The front of a session's commands; see `portal.IscsiFront`."""

    loop: asyncio.AbstractEventLoop
    clock: Clock
    config: IscsiConfig
    counters: Counters
    device: Device
    broker: Broker
    buffer_budget: MemoryBudget
    mapped_luns: MappedLuns | None
    unfinished_commands: UnfinishedCommands

    def answer_locally(self, nexus: Nexus, command: scsi.Command) -> scsi.Reply | None:
        """Returns the reply to a command that the broker answers itself; None if a node has to execute it."""
        ...


class CommandSession(Protocol):
    """The session of a runner's commands; see `session.Session`."""

    agreed: NegotiatedParameters
    tasks: dict[int, Task]
    nexus: Nexus
    ends_when_idle: bool

    @property
    def front(self) -> CommandFront:
        """The front."""
        ...

    def status_sent(self, task: Task) -> None:
        """Takes note that the status of a task was sent."""
        ...

    def remove_task(self, task: Task) -> None:
        """Removes a task, which frees its task tag."""
        ...

    def abort(self, task: Task) -> None:
        """Ends a task without a response."""
        ...


class TaskRunner:
    """Runs the commands of one session.

    Args:
        session: The session.
    """

    def __init__(self, session: CommandSession) -> None:
        self._session, self._front = session, session.front
        self._last_transfer_tag = 0  # the highest target transfer tag issued
        self._task_orders: dict[int, TaskOrder] = {}  # by LUN
        self._run_events: dict[Task, asyncio.Event] = {}  # of commands that wait for earlier ones

    # Receiving commands

    def receive_command(self, allegiance: Allegiance, pdu: Pdu) -> None:
        """Responds to commands that the broker handles itself; starts a task for every other command.

        A command that arrives while the session is ending is answered with BUSY, and one whose transfer
        length exceeds the free part of `buffer_bytes` with TASK SET FULL.

        Args:
            allegiance: The allegiance to the connection that received the command, which may have ended while
                the command was held for an earlier CmdSN; its reply is then kept.
            pdu: The SCSI Command PDU.

        Raises:
            PduError: The task tag is in use, or the command comes with immediate or unsolicited data that was
                not negotiated.
        """
        session, front = self._session, self._front
        agreed = session.agreed
        if pdu.tag == RESERVED_TAG or not self._free_tag(pdu.tag):
            raise PduError(PduError.FIELD, "task tag is reserved or in use", pdu)
        reads, writes = bool(pdu.flags & 0x40), bool(pdu.flags & 0x20)  # R and W bits
        lun, length = unpack_lun(pdu.lun), pdu.words[0]
        more_data_follows = not pdu.flags & FINAL
        if more_data_follows and (agreed.initial_r2t or not writes):
            raise PduError(PduError.PROTOCOL, "unsolicited data was not negotiated", pdu)
        if pdu.data and (
            not writes or not agreed.immediate_data or len(pdu.data) > min(length, agreed.first_burst)
        ):
            raise PduError(PduError.PROTOCOL, "immediate data was not negotiated or is too long", pdu)
        command = scsi.Command(-1 if lun is None else lun, pdu.cdb, reads, writes, length)
        task = Task(pdu, command, front.clock.now_us(), allegiance)
        front.counters["commands.taken"] += 1
        reply = front.answer_locally(session.nexus, command)
        if reply is None and session.ends_when_idle:
            reply = scsi.Reply(scsi.Status.BUSY)
        if reply is None and not front.buffer_budget.fits(length):
            front.counters["commands.no_room"] += 1
            reply = scsi.Reply(scsi.Status.TASK_SET_FULL)
        session.tasks[pdu.tag] = task
        if reply is not None:
            if more_data_follows:  # the data that follows is dropped as it arrives
                task.inbound = Inbound(0, b"", agreed, False, 0)
            self.respond(task, reply)
            return
        task.reservation = Reservation(front.buffer_budget, length)
        task.activity = NodeActivity(command.lun, command.cdb, task.reservation)
        if writes:
            task.inbound = Inbound(length, pdu.data, agreed, more_data_follows, self._last_transfer_tag)
            task.last_data_s = front.loop.time()
        order = self._task_orders.setdefault(command.lun, TaskOrder())
        order.add(task, pdu.flags & TASK_ATTRIBUTE_MASK, command.cdb)
        task.reservation.hold()  # until `_run` ends: the initiator has taken nearly all of the reply's data
        task.execution = asyncio.create_task(self._run(task))
        task.execution.add_done_callback(partial(self._execution_ended, task, order))

    def _free_tag(self, tag: int) -> bool:
        """Frees a task tag for a new command; returns False if the tag is in use.

        A command keeps its tag until its status is acknowledged, where that can be requested again. After the
        loss of its connection it cannot be acknowledged: an initiator that uses the tag again has the status.
        """
        previous = self._session.tasks.get(tag)
        if previous is None:
            return True
        is_kept = bool(self._session.agreed.recovery_level) and previous.connection is not None
        if previous.status is None or is_kept:
            return False
        self._session.remove_task(previous)
        return True

    def _execution_ended(self, task: Task, order: TaskOrder, _: asyncio.Task[None]) -> None:
        """Lets later commands run, and releases the hold of `_run` on the reservation."""
        assert task.activity is not None
        assert task.reservation is not None
        self._front.unfinished_commands.abandon(task.activity)
        self._remove_from_order(task, order)
        task.reservation.release()

    def _remove_from_order(self, task: Task, order: TaskOrder) -> None:
        """Removes a finished command from the order and wakes the commands that were waiting only for it."""
        order.remove(task)
        for waiting, run_event in self._run_events.items():
            if waiting.command.lun == task.command.lun and order.may_run(waiting):
                run_event.set()

    async def _wait_for_earlier_tasks(self, task: Task, deadline_us: int) -> bool:
        """Waits until the task order and the abandoned writes at the command's blocks let it run.

        Returns:
            False if earlier commands still hold it back at the deadline.
        """
        if not await self._wait_for_task_order(task, deadline_us):
            return False
        deadline_s = self._front.clock.loop_time(deadline_us)
        command = task.command
        return await self._front.unfinished_commands.wait_for_blocks(command.lun, command.cdb, deadline_s)

    async def _wait_for_task_order(self, task: Task, deadline_us: int) -> bool:
        """Waits until the task order lets a command run; returns False if it does not by the deadline."""
        if self._task_orders[task.command.lun].may_run(task):
            return True
        run_event = self._run_events[task] = asyncio.Event()
        try:
            async with asyncio.timeout_at(self._front.clock.loop_time(deadline_us)):
                await run_event.wait()
        except TimeoutError:
            return False
        finally:
            del self._run_events[task]
        return True

    async def _run(self, task: Task) -> None:
        """Runs one command: receives its data, waits for earlier commands, executes it and responds.

        A command whose data does not arrive by the deadline is not executed.
        """
        front, command = self._front, task.command
        try:
            lun = front.config.luns[command.lun]
            deadline_us = (
                task.arrived_us + front.config.settings.classes[request_class_of(command)].deadline_us
            )
            if task.inbound is not None:
                if not await self._receive_data(task, task.inbound, deadline_us):
                    self.respond(task, scsi.data_incomplete())
                    return
                command.data = bytes(task.inbound.data)
                task.inbound = None
            if not await self._wait_for_earlier_tasks(task, deadline_us):
                self.respond(task, scsi.Reply(scsi.Status.BUSY))
                return
            if command.cdb[0] in LOCAL_DATA_OUT_COMMANDS:
                self.respond(task, await self._execute_with_data(command))
            elif lun.mapped and front.mapped_luns is not None:
                reply = await front.mapped_luns.serve(
                    command,
                    lun,
                    deadline_us,
                    partial(self._has_initiator_disconnected, task),
                    task.activity,
                )
                self.respond(task, self._with_unit_attention(command, reply))
            else:
                request = make_request(
                    front.config,
                    command,
                    lun,
                    lun.shard,
                    deadline_us,
                    partial(self._has_initiator_disconnected, task),
                    task.activity,
                )
                reply = reply_from_answer(await front.broker.serve(request))
                self.respond(task, self._with_unit_attention(command, reply))
            self._remove_from_order(task, self._task_orders[command.lun])
            if task.connection is not None:
                await task.connection.writer.drain()
        except ConnectionError:
            pass  # the initiator has disconnected
        finally:
            if task.status is None and not task.aborted and task.reply is None:
                self._session.abort(task)

    def _with_unit_attention(self, command: scsi.Command, reply: scsi.Reply) -> scsi.Reply:
        """Returns the reply to a command that a node has executed.

        A unit attention in it need not be reported to this nexus again. A cache that was synchronized after
        its node lost power does not have what this nexus has written, so that the loss is reported instead.

        Args:
            command: The command.
            reply: The node's reply.
        """
        nexus = self._session.nexus
        reported = scsi.unit_attention_of(reply)
        if reported is not None:
            nexus.discard_unit_attention(command.lun, reported)
        elif reply.status == scsi.Status.GOOD and command.cdb[0] in scsi.SYNCHRONIZE:
            loss_of_power = nexus.take_loss_of_power(command.lun)
            if loss_of_power is not None:
                return scsi.check_condition(scsi.UNIT_ATTENTION, *loss_of_power)
        return reply

    async def _execute_with_data(self, command: scsi.Command) -> scsi.Reply:
        """Executes a command that the broker answers itself once it has the command's data.

        PREEMPT AND ABORT ends when the commands that it has aborted have no further effect (SPC-4, section
        5.13.11.5).
        """
        front = self._front
        reply = front.device.execute_with_data(self._session.nexus, command)
        if aborts_commands(command.cdb):
            await front.unfinished_commands.wait_for(front.unfinished_commands.at_lun(command.lun))
        return reply

    def _has_initiator_disconnected(self, task: Task) -> bool:
        """Returns whether the initiator has closed the task's connection.

        At recovery level 2 this is always False, since the task may be reassigned to another connection.
        """
        connection = task.connection
        if connection is None or self._session.agreed.recovery_level >= 2:
            return False
        return peer_has_closed(connection.writer.transport)

    # Receiving data

    async def _receive_data(self, task: Task, inbound: Inbound, deadline_us: int) -> bool:
        """Requests a write's data with R2Ts, burst by burst, and waits for it.

        Where the recovery level allows it, missing data is requested again after `R2T_RETRY_INTERVAL_S`
        without Data-Out PDUs.

        Returns:
            False if data is still missing at the deadline.
        """
        loop, may_retry = self._front.loop, self._session.agreed.recovery_level > 0
        deadline_s = self._front.clock.loop_time(deadline_us)
        while not inbound.complete:
            self.send_r2ts(task, inbound.next_r2ts())
            task.progress.clear()
            retry_at_s = (
                task.last_data_s + R2T_RETRY_INTERVAL_S if may_retry and inbound.awaits_data else deadline_s
            )
            try:
                async with asyncio.timeout_at(min(deadline_s, retry_at_s)):
                    await task.progress.wait()
            except TimeoutError:
                if loop.time() >= deadline_s:
                    return False
                task.last_data_s = loop.time()
                self.send_r2ts(task, inbound.recovery_r2ts_after_stall())
        return True

    def send_r2ts(self, task: Task, r2ts: list[ReadyToTransfer]) -> None:
        """Sends R2Ts for a task on its connection; sends nothing while the task has no connection.

        Args:
            task: The task.
            r2ts: The R2Ts, whose transfer tags are recorded as used also when they are not sent.
        """
        for r2t in r2ts:
            self._last_transfer_tag = max(self._last_transfer_tag, r2t.transfer_tag)
            if task.connection is not None:
                self._front.counters["r2ts"] += 1
                task.connection.send(
                    Pdu(
                        Op.R2T,
                        lun=task.pdu.lun,
                        tag=task.tag,
                        words=[r2t.transfer_tag, 0, 0, 0, r2t.r2t_sn, r2t.offset, r2t.length],
                    )
                )

    def receive_data_out(self, connection: InitiatorConnection, pdu: Pdu) -> None:
        """Adds the data of a Data-Out PDU to its task.

        Data for a task that was aborted, that has already been answered or that belongs to another connection
        is dropped. Data that does not fit an outstanding R2T is counted as `data.ignored` where the recovery
        level allows R2Ts to be sent again.

        Args:
            connection: The connection that received the PDU.
            pdu: The Data-Out PDU.

        Raises:
            PduError: The data breaks the protocol and the recovery level does not allow it to be ignored.
        """
        task = self._session.tasks.get(pdu.tag)
        if task is None or task.inbound is None or task.connection is not connection:
            return  # the task was aborted, or its data arrived after the deadline
        if not task.inbound.length:
            return
        try:
            task.inbound.receive(pdu.words[0], pdu.words[4], pdu.words[5], pdu.data, bool(pdu.flags & FINAL))
        except TransferError as error:
            if self._session.agreed.recovery_level and pdu.words[0] != RESERVED_TAG:
                self._front.counters["data.ignored"] += 1  # its burst was requested again under another R2T
                return
            raise PduError(PduError.PROTOCOL, str(error), pdu) from None
        task.last_data_s = self._front.loop.time()
        if pdu.flags & FINAL and self._session.agreed.recovery_level:
            self._send_recovery_r2ts(task, task.inbound.recovery_r2ts())
        task.progress.set()

    def request_missing_data(self, tag: int) -> None:
        """Sends recovery R2Ts for the missing data of a task, after a Data-Out PDU of it was discarded.

        Args:
            tag: The task tag.
        """
        task = self._session.tasks.get(tag)
        if task is not None and task.inbound is not None and task.inbound.length:
            self._send_recovery_r2ts(task, task.inbound.recovery_r2ts_after_stall())

    def _send_recovery_r2ts(self, task: Task, r2ts: list[ReadyToTransfer]) -> None:
        """Sends R2Ts for data that was requested before, and counts them as `r2ts.recovery`."""
        self._front.counters["r2ts.recovery"] += len(r2ts)
        self.send_r2ts(task, r2ts)

    # Sending data and status

    def respond(self, task: Task, reply: scsi.Reply) -> None:
        """Records a task's reply and sends its data and status.

        If the task has no connection, the reply is kept until the task is reassigned. Does nothing for an
        aborted task.

        Args:
            task: The task.
            reply: Its status, with data and sense data if there are any.
        """
        if task.aborted:
            return
        task.reply = reply
        self._front.counters[f"commands.status_{reply.status:#04x}"] += 1
        if task.command.reads:
            data = reply.data[: task.command.length]
            agreed = task.connection.agreed if task.connection is not None else self._session.agreed
            task.outbound = Outbound(data, agreed.send_segment, self._session.agreed.max_burst)
        if task.connection is not None:
            self._send_data_and_status(task, 0)

    def _send_data_and_status(self, task: Task, first_data_sn: int) -> None:
        """Sends the Data-In PDUs from DataSN `first_data_sn` on, and then the SCSI Response."""
        connection, reply = task.connection, task.reply
        assert connection is not None
        assert reply is not None
        outbound = task.outbound
        if outbound is not None:
            for part in outbound.data_in_pdus():
                if part.data_sn >= first_data_sn:
                    self._send_data_in(connection, task, outbound, part)
        length, transferred = task.command.length, len(outbound.data) if outbound is not None else 0
        residual = reply.residual
        if task.command.reads:
            residual = length - transferred or min(0, reply.residual)
        flags = FINAL | (0x02 if residual > 0 else 0x04 if residual < 0 else 0)  # U (underflow), O (overflow)
        sense = len(reply.sense).to_bytes(2, "big") + reply.sense if reply.sense else b""
        data_in_count = outbound.pdu_count if outbound is not None else 0
        task.status = Pdu(
            Op.SCSI_RESPONSE,
            flags,
            byte3=reply.status,
            tag=task.tag,
            data=sense,
            words=[0, 0, 0, 0, data_in_count, 0, abs(residual)],
        )
        connection.send(task.status, status=True)
        self._session.status_sent(task)

    def _send_data_in(
        self, connection: InitiatorConnection, task: Task, outbound: Outbound, part: DataInPdu
    ) -> None:
        """Sends one Data-In PDU of a task."""
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

    # Recovery

    def handle_snack(self, connection: InitiatorConnection, pdu: Pdu) -> None:
        """Sends the requested PDUs again (RFC 7143, sections 7.3 and 11.16).

        A request for PDUs that are no longer kept is answered with a Reject.

        Args:
            connection: The connection that received the SNACK.
            pdu: The SNACK PDU.

        Raises:
            PduError: The session runs at recovery level 0.
        """
        snack_type, begin_run, run_length = pdu.flags & 0x0F, pdu.words[5], pdu.words[6]
        self._front.counters["snacks"] += 1
        if not self._session.agreed.recovery_level:
            raise PduError(PduError.PROTOCOL, "SNACK at recovery level 0", pdu)
        if snack_type == STATUS_SNACK:
            statuses = connection.statuses.find_retained(begin_run, run_length)
            if statuses is not None:
                for _, status in statuses:
                    connection.write(status)
                return
        task = self._session.tasks.get(pdu.tag)
        if task is not None and task.connection is connection and snack_type != STATUS_SNACK:
            if snack_type == DATA_ACK and task.outbound is not None:
                task.outbound.acknowledged = max(task.outbound.acknowledged, begin_run)
                return
            if snack_type == RDATA_SNACK and task.outbound is not None and not begin_run and not run_length:
                task.outbound = Outbound(
                    task.outbound.data, connection.agreed.send_segment, self._session.agreed.max_burst
                )
            if (
                task.outbound is not None
                and (parts := task.outbound.find_for_snack(begin_run, run_length)) is not None
            ):
                for part in parts:
                    self._send_data_in(connection, task, task.outbound, part)
                return
            # For a write, a Data SNACK means that the initiator did not receive some R2Ts.
            if task.inbound is not None and snack_type == DATA_SNACK:
                self._send_recovery_r2ts(task, task.inbound.recovery_r2ts_after_stall())
                return
        connection.reject(pdu, PduError.SNACK)

    def reassign(self, allegiance: Allegiance, pdu: Pdu) -> ManagementResponse:
        """Reassigns a task whose connection was lost to another connection (RFC 7143, sections 7.4 and 11.5).

        The command is not executed again: it kept running without a connection, and its reply was kept.

        Args:
            allegiance: The allegiance to the connection that received the request, which the task gets.
            pdu: The TASK REASSIGN request.

        Returns:
            The result of the function.
        """
        if self._session.agreed.recovery_level < 2:
            return ManagementResponse.REASSIGNMENT_NOT_SUPPORTED
        task = self._session.tasks.get(pdu.words[0])
        if task is None:
            return ManagementResponse.TASK_DOES_NOT_EXIST
        if task.connection is not None:
            return ManagementResponse.TASK_STILL_ALLEGIANT
        self._front.counters["tasks.reassigned"] += 1
        task.allegiance = allegiance
        # The task management response is sent before anything else of the task on the new connection.
        has_reply = task.reply is not None
        self._front.loop.call_soon(self._resume, task, allegiance, pdu.words[4], has_reply)
        return ManagementResponse.FUNCTION_COMPLETE

    def _resume(self, task: Task, allegiance: Allegiance, exp_data_sn: int, has_reply: bool) -> None:
        """Continues a reassigned task on its new connection.

        Args:
            task: The task.
            allegiance: The allegiance that it was reassigned to.
            exp_data_sn: The first DataSN that the initiator has not received.
            has_reply: Whether the task had its reply when it was reassigned. That reply is sent here;
                `respond` has sent a reply that came after the reassignment.
        """
        connection = allegiance.connection
        if task.allegiance is not allegiance or connection is None:
            return
        if has_reply:
            first_data_sn = 0
            if task.outbound is not None:
                if connection.agreed.send_segment == task.outbound.max_segment:
                    first_data_sn = exp_data_sn
                else:
                    task.outbound = Outbound(
                        task.outbound.data, connection.agreed.send_segment, self._session.agreed.max_burst
                    )
            self._send_data_and_status(task, first_data_sn)
        elif task.inbound is not None:
            self._send_recovery_r2ts(task, task.inbound.recovery_r2ts_after_stall())

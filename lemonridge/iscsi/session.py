"""A session of an initiator with a target, across all its connections (RFC 7143, chapters 4 and 7).

It holds the command window and the tasks, dispatches the received PDUs in the order of CmdSN, answers text
requests, logouts and task management, and decides what happens to tasks whose connection is lost.
"""

from __future__ import annotations

import asyncio
from typing import Protocol

from lemonridge.iscsi.allegiance import Allegiance, InitiatorConnection, ReceivedPdu
from lemonridge.iscsi.device import Nexus
from lemonridge.iscsi.login import TargetLogin
from lemonridge.iscsi.numbers import ArrivalResult, CommandWindow, StatusLog
from lemonridge.iscsi.pdu import RESERVED_TAG, Op, Pdu, PduError
from lemonridge.iscsi.runner import TaskRunner
from lemonridge.iscsi.task import Task
from lemonridge.iscsi.task_management import TaskManager, TaskManagerFront
from lemonridge.iscsi.text_requests import TextRequestHandler

MAX_RETAINED_CONNECTIONS = 16  # of a session, which have ended and whose tasks may still be reassigned
ACCEPTED_OPCODES = frozenset((Op.NOP_OUT, Op.SCSI_COMMAND, Op.TASK_MANAGEMENT, Op.TEXT, Op.LOGOUT))
# Logout reason and response codes (RFC 7143, sections 11.14.1 and 11.15.1)
CLOSE_SESSION, CLOSE_CONNECTION, REMOVE_FOR_RECOVERY = range(3)
LOGOUT_DONE, CID_NOT_FOUND, RECOVERY_NOT_SUPPORTED = range(3)


class SessionEndedError(ConnectionError):
    """A connection cannot be added to a session that has ended or is about to end."""


class SessionFront(TaskManagerFront, Protocol):
    """The front of a session; see `portal.IscsiFront`."""

    def remove_session(self, session: Session) -> None:
        """Removes a session that has ended."""
        ...


class Session:
    """One session, identified by its TSIH.

    Args:
        front: The iSCSI front that the session belongs to.
        login: The completed login of the session's first connection.
        exp_cmd_sn: The first CmdSN that the session expects.

    Attributes:
        front: The iSCSI front.
        loop: The event loop.
        initiator: The initiator's iSCSI name.
        target: The target's iSCSI name; empty in a discovery session.
        isid: The initiator's part of the session identifier.
        tsih: The target's session identifying handle.
        discovery: Whether this is a discovery session.
        agreed: The parameters negotiated for the session.
        window: The command window, which puts the received PDUs in the order of CmdSN.
        allegiances: The allegiances, by CID, to the connections that have not been logged out. At recovery
            level 2 those to lost connections are among them, until their tasks can no longer be reassigned.
        tasks: The tasks, by task tag, until their status is sent or, where the recovery level allows a SNACK,
            acknowledged.
        nexus: The I_T nexus, with its pending unit attentions.
        runner: Runs the SCSI commands.
        ended: Whether the session has ended.
        ends_when_idle: Whether the session ends once no task is left without a status.
    """

    def __init__(self, front: SessionFront, login: TargetLogin, exp_cmd_sn: int) -> None:
        self.front, self.loop = front, front.loop
        self.initiator, self.target, self.isid = login.initiator, login.target, login.isid
        self.tsih, self.discovery, self.agreed = login.tsih, login.discovery, login.parameters
        self.window: CommandWindow[ReceivedPdu] = CommandWindow(exp_cmd_sn, front.config.queue_depth)
        self.allegiances: dict[int, Allegiance] = {}
        self.tasks: dict[int, Task] = {}
        self.nexus = Nexus(self.initiator + "," + self.isid.hex(), front.device)
        self.runner = TaskRunner(self)
        self._text_requests = TextRequestHandler(front.config, self.initiator, self.target, self.discovery)
        self._task_manager = TaskManager(self)
        self.ended = self.ends_when_idle = False
        # of ended connections whose tasks may be reassigned, the earliest expiry first
        self._retention_timers: dict[Allegiance, asyncio.TimerHandle] = {}

    # Connections

    def add_connection(self, connection: InitiatorConnection) -> None:
        """Adds a connection whose login has succeeded.

        An existing connection with the same CID is logged out implicitly (RFC 7143, section 6.3.4).

        Args:
            connection: The connection.

        Raises:
            SessionEndedError: The session has ended, or ends once its open commands are answered.
        """
        if self.ended or self.ends_when_idle:
            raise SessionEndedError
        previous = self.allegiances.get(connection.cid)
        if previous is not None:
            self.front.counters["connections.reinstated"] += 1
            self._acknowledge(previous.statuses, connection.login_exp_stat_sn)
            self._log_out(previous, keeps_tasks=self._recovers_connections)
        self.allegiances[connection.cid] = Allegiance(connection.cid, connection, connection.statuses)

    @property
    def connections(self) -> list[InitiatorConnection]:
        """The connections that are logged in."""
        return [
            allegiance.connection
            for allegiance in self.allegiances.values()
            if allegiance.connection is not None
        ]

    def _allegiance_to(self, connection: InitiatorConnection) -> Allegiance | None:
        """Returns the allegiance to a connection; None if the session has no such connection any more."""
        allegiance = self.allegiances.get(connection.cid)
        return allegiance if allegiance is not None and allegiance.connection is connection else None

    @property
    def _recovers_connections(self) -> bool:
        """Whether the tasks of an ended connection may be reassigned (RFC 7143, section 7.4)."""
        return self.agreed.recovery_level >= 2 and not self.discovery

    def connection_lost(self, connection: InitiatorConnection) -> None:
        """Ends the allegiance to a connection that has ended without a logout.

        At recovery level 2 its tasks wait to be reassigned, for DefaultTime2Wait plus DefaultTime2Retain
        seconds, and PDUs that are held for an earlier CmdSN become such tasks in their turn. At lower levels,
        and in a discovery session, the session ends (RFC 7143, section 7.1.4).

        Args:
            connection: The connection; nothing changes if it has been logged out.
        """
        allegiance = self._allegiance_to(connection)
        if allegiance is None:
            return
        self.front.counters["connections.lost"] += 1
        if not self._recovers_connections:
            self.end()
            return
        allegiance.connection = None
        self._retain_tasks(allegiance)
        self._end_if_nothing_recovers()

    def _log_out(self, allegiance: Allegiance, keeps_tasks: bool) -> None:
        """Removes a connection that has been logged out, explicitly or by its replacement, and closes it.

        PDUs that it received and that are held for an earlier CmdSN are discarded; their initiator sends them
        again on another connection (RFC 7143, section 11.14).

        Args:
            allegiance: The allegiance to the connection, which may have been lost before.
            keeps_tasks: Whether its tasks wait to be reassigned; otherwise they are aborted.
        """
        del self.allegiances[allegiance.cid]
        self._discard_held_pdus(allegiance)
        connection = allegiance.connection
        allegiance.connection = None
        if connection is not None:
            connection.close()
        if keeps_tasks:
            self._retain_tasks(allegiance)
        else:
            self._abort_tasks(allegiance)

    def _discard_held_pdus(self, allegiance: Allegiance) -> None:
        """Discards the PDUs that are held for an earlier CmdSN and bound by an allegiance."""
        self.window.discard(lambda received: received.allegiance is allegiance)

    def _tasks_of(self, allegiance: Allegiance) -> list[Task]:
        """Returns the tasks that are bound by an allegiance."""
        return [task for task in self.tasks.values() if task.allegiance is allegiance]

    def _retain_tasks(self, allegiance: Allegiance) -> None:
        """Lets the tasks of an ended connection wait to be reassigned, for a limited time.

        The time is DefaultTime2Wait plus DefaultTime2Retain. It begins anew with the logout of a connection
        that was lost, whose response promises it (RFC 7143, sections 11.15.3, 11.15.4 and 13.16).
        """
        if allegiance not in self._retention_timers:
            self.front.counters["tasks.orphaned"] += len(self._tasks_of(allegiance))
        self._stop_retaining(allegiance)
        if len(self._retention_timers) >= MAX_RETAINED_CONNECTIONS:
            self._expire(next(iter(self._retention_timers)))
        retention_s = self.agreed.time2wait + self.agreed.time2retain
        self._retention_timers[allegiance] = self.loop.call_later(retention_s, self._expire, allegiance)

    def _stop_retaining(self, allegiance: Allegiance) -> None:
        """Stops the timer of an ended connection, if it has one."""
        timer = self._retention_timers.pop(allegiance, None)
        if timer is not None:
            timer.cancel()

    def _expire(self, allegiance: Allegiance) -> None:
        """Aborts the tasks of an ended connection that were not reassigned in time, and forgets its CID.

        A task that was reassigned has another allegiance, and is not among them. A session without
        connections ends when there is nothing left that could be recovered.
        """
        self.front.counters["tasks.expired"] += len(self._tasks_of(allegiance))
        if self.allegiances.get(allegiance.cid) is allegiance:
            self._log_out(allegiance, keeps_tasks=False)
        else:  # logged out before
            self._abort_tasks(allegiance)
        self._end_if_nothing_recovers()

    def _abort_tasks(self, allegiance: Allegiance) -> None:
        """Aborts the tasks of a connection that has ended for good."""
        self._stop_retaining(allegiance)
        for task in self._tasks_of(allegiance):
            self.abort(task)

    def _end_if_nothing_recovers(self) -> None:
        """Ends a session without connections, at level 2 once no task can be reassigned any more."""
        if self.connections:
            return
        if not self._recovers_connections or not self.agreed.time2retain or not self._retention_timers:
            self.end()

    def end(self) -> None:
        """Ends the session: aborts its tasks and closes its connections. A second call has no effect."""
        if self.ended:
            return
        self.ended = True
        for allegiance in list(self.allegiances.values()):
            self._log_out(allegiance, keeps_tasks=False)
        for allegiance in list(self._retention_timers):
            self._stop_retaining(allegiance)
        for task in list(self.tasks.values()):
            self.abort(task)
        self.nexus.close()
        self.front.remove_session(self)

    def request_logout(self) -> None:
        """Asks the initiator to log out within one second, by an Asynchronous Message on each connection.

        The message carries AsyncEvent 1 (RFC 7143, section 11.9.1).
        """
        for connection in self.connections:
            connection.send(Pdu(Op.ASYNC, words=[0, 0, 0, 0, 1 << 24, 1, 0]), status=True)

    def end_when_idle(self) -> None:
        """Ends the session as soon as every task has its status.

        Until then new commands are answered with BUSY.
        """
        self.ends_when_idle = True
        self._end_if_idle()

    def _end_if_idle(self) -> None:
        """Ends the session if it is to end when idle and every task has its status."""
        if self.ends_when_idle and not any(task.status is None for task in self.tasks.values()):
            self.end()

    # Command numbers

    def command_numbers(self) -> tuple[int, int]:
        """Returns the current ExpCmdSN and MaxCmdSN.

        Each task without a status occupies a slot of the command window. Where the kept statuses fill more
        than half of `max_unacknowledged_statuses`, the free slots are also bounded by the number of statuses
        that can still be kept.
        """
        occupied = sum(task.status is None for task in self.tasks.values())
        kept_statuses = sum(connection.statuses.unacknowledged_count for connection in self.connections)
        spare_statuses = max(0, self.front.config.max_unacknowledged_statuses - kept_statuses)
        occupied = (
            max(occupied, self.window.size - spare_statuses)
            if kept_statuses * 2 > self.front.config.max_unacknowledged_statuses
            else occupied
        )
        return self.window.exp_cmd_sn, self.window.advertise_max_cmd_sn(occupied)

    def is_executing(self, tag: int) -> bool:
        """Returns whether a node executes, or is to execute, the command with a task tag.

        Args:
            tag: The task tag.
        """
        task = self.tasks.get(tag)
        return task is not None and task.execution is not None and not task.execution.done()

    # Receiving PDUs

    def receive(self, connection: InitiatorConnection, pdu: Pdu) -> None:
        """Processes a received PDU.

        PDUs with a CmdSN are processed in the order of their numbers. One that arrives early is held until
        the earlier ones have arrived, on whichever connection. A PDU of a connection that has been logged out
        while the PDU was read is dropped.

        Args:
            connection: The connection that received the PDU.
            pdu: The PDU.

        Raises:
            PduError: The PDU breaks the protocol.
        """
        allegiance = self._allegiance_to(connection)
        if allegiance is None:
            return
        if pdu.opcode != Op.DATA_OUT or connection.agreed.recovery_level:
            self._acknowledge(connection.statuses, pdu.words[2])
        if pdu.opcode == Op.DATA_OUT:
            self.runner.receive_data_out(connection, pdu)
            return
        if pdu.opcode == Op.SNACK:
            self.runner.handle_snack(connection, pdu)
            return
        if pdu.opcode not in ACCEPTED_OPCODES:
            raise PduError(PduError.UNSUPPORTED, f"opcode {pdu.opcode:#04x}", pdu)
        if pdu.immediate:
            open_tasks = sum(task.status is None for task in self.tasks.values())
            if pdu.opcode == Op.SCSI_COMMAND and open_tasks >= self.window.size * 2:
                connection.reject(pdu, PduError.TOO_MANY)
                return
            self._dispatch(ReceivedPdu(allegiance, pdu))
            return
        self.command_numbers()  # updates MaxCmdSN in the window, which bounds the accepted CmdSN
        arrival = self.window.receive(pdu.words[1], ReceivedPdu(allegiance, pdu))
        if arrival is ArrivalResult.REPEATED and connection.agreed.recovery_level:
            self._resend_status(connection, pdu)
        if (
            arrival is ArrivalResult.NEXT
            and self.window.exp_cmd_sn != pdu.words[1]
            and len(self.connections) == 1
            and not self.agreed.recovery_level
        ):
            # A single connection at level 0 delivers in order, so the missing command will never arrive.
            raise PduError(PduError.PROTOCOL, "gap in CmdSN on a single connection", pdu)
        self.dispatch_in_order()

    def dispatch_in_order(self) -> None:
        """Processes the received PDUs that are next in the order of CmdSN.

        One that breaks the protocol ends the connection that received it.
        """
        while (received := self.window.take_next()) is not None:
            try:
                self._dispatch(received)
            except PduError as error:
                if received.allegiance.connection is not None:
                    received.allegiance.connection.end_for_protocol_error(error)

    def _acknowledge(self, statuses: StatusLog[Pdu], exp_stat_sn: int) -> None:
        """Releases the tasks whose status, on one connection, is acknowledged by an ExpStatSN."""
        for status in statuses.acknowledge(exp_stat_sn):
            task = self.tasks.get(status.tag)
            if task is not None and task.status is status:
                self.remove_task(task)

    def _resend_status(self, connection: InitiatorConnection, pdu: Pdu) -> None:
        """Handles a command that was received before (RFC 7143, section 7.2.1).

        If the first command has its status, the status is sent again. Otherwise the repeated command is
        dropped, since the first one is still being processed.
        """
        task = self.tasks.get(pdu.tag)
        self.front.counters["commands.repeated"] += 1
        if task is not None and task.status is not None and task.connection is connection:
            connection.write(task.status)

    def data_digest_failed(self, connection: InitiatorConnection, pdu: Pdu) -> None:
        """Requests data again after a PDU was discarded because of its data digest (RFC 7143, section 7.2).

        Args:
            connection: The connection that received the PDU.
            pdu: The PDU. Only the data of a Data-Out PDU is requested again.
        """
        if pdu.opcode == Op.DATA_OUT:
            self.runner.request_missing_data(pdu.tag)

    def _dispatch(self, received: ReceivedPdu) -> None:
        """Processes a PDU that is immediate or next in the order of CmdSN.

        A PDU whose connection was lost while it was held is executed, but its answer is not sent.
        """
        allegiance, pdu = received.allegiance, received.pdu
        if pdu.opcode == Op.LOGOUT:
            self._receive_logout(allegiance, pdu)
        elif pdu.opcode in (Op.NOP_OUT, Op.TEXT):
            if allegiance.connection is None:
                return
            if pdu.opcode == Op.NOP_OUT:
                self._receive_nop_out(allegiance.connection, pdu)
            else:
                self._text_requests.receive(allegiance.connection, pdu)
        elif self.discovery:
            raise PduError(PduError.PROTOCOL, "SCSI command or task management in a discovery session", pdu)
        elif pdu.opcode == Op.TASK_MANAGEMENT:
            self._task_manager.execute(allegiance, pdu)
        else:
            self.runner.receive_command(allegiance, pdu)

    def _receive_nop_out(self, connection: InitiatorConnection, pdu: Pdu) -> None:
        """Records the answer to a ping of the target, or answers a ping of the initiator."""
        if pdu.words[0] != RESERVED_TAG:  # the answer to a ping of the target
            connection.unanswered_pings.discard(pdu.words[0])
        if pdu.tag != RESERVED_TAG:
            words = [RESERVED_TAG, 0, 0, 0, 0, 0, 0]
            data = pdu.data[: connection.agreed.send_segment]
            connection.send(Pdu(Op.NOP_IN, lun=pdu.lun, tag=pdu.tag, words=words, data=data), status=True)

    # Logout

    def _receive_logout(self, allegiance: Allegiance, pdu: Pdu) -> None:
        """Executes a logout request and sends its response (RFC 7143, sections 11.14 and 11.15).

        A connection that was lost can be logged out too, from another connection of the session.
        """
        reason, cid = pdu.flags & 0x7F, pdu.words[0] >> 16
        if reason > REMOVE_FOR_RECOVERY:
            if allegiance.connection is not None:
                allegiance.connection.reject(pdu, PduError.FIELD)
            return
        times = self.agreed.time2wait << 16 | self.agreed.time2retain
        logged_out = self.allegiances.get(cid)
        response = LOGOUT_DONE
        if reason == REMOVE_FOR_RECOVERY and not self._recovers_connections:
            response = RECOVERY_NOT_SUPPORTED
        elif reason != CLOSE_SESSION and logged_out is None:
            response = CID_NOT_FOUND
        allegiance.send(
            Pdu(Op.LOGOUT_RESPONSE, byte2=response, tag=pdu.tag, words=[0, 0, 0, 0, 0, times, 0]), status=True
        )
        if response != LOGOUT_DONE:
            return
        if reason == CLOSE_SESSION:
            self.end()
        elif logged_out is not None:
            self._log_out(logged_out, keeps_tasks=reason == REMOVE_FOR_RECOVERY)
            self._end_if_nothing_recovers()

    # Tasks

    def abort(self, task: Task) -> None:
        """Ends a task without a response; a node that has begun to execute it goes on.

        Args:
            task: A task of this session.
        """
        task.aborted = True
        if task.execution is not None:
            task.execution.cancel()
        if task.activity is not None:
            self.front.unfinished_commands.abandon(task.activity)
        self.remove_task(task)

    def status_sent(self, task: Task) -> None:
        """Removes a task whose status was sent, at recovery level 0, where it cannot be requested again.

        Args:
            task: A task of this session.
        """
        if not self.agreed.recovery_level:
            self.remove_task(task)
        self._end_if_idle()

    def remove_task(self, task: Task) -> None:
        """Removes a task, which frees its task tag; its status will not be sent again.

        Args:
            task: The task; nothing changes if it has been removed already.
        """
        if self.tasks.get(task.tag) is task:
            del self.tasks[task.tag]
            if task.reservation is not None:
                task.reservation.release()
        self._end_if_idle()

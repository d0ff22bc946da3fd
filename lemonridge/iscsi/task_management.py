"""Executes task management requests (RFC 7143, sections 11.5 and 11.6)."""

from __future__ import annotations

from typing import Protocol

from lemonridge.iscsi.allegiance import Allegiance, ReceivedPdu
from lemonridge.iscsi.device import Nexus
from lemonridge.iscsi.numbers import CommandWindow, serial_distance
from lemonridge.iscsi.pdu import RESERVED_TAG, Op, Pdu, unpack_lun
from lemonridge.iscsi.runner import CommandFront, TaskRunner
from lemonridge.iscsi.task import Task

# Task management function and response codes (RFC 7143, sections 11.5.1 and 11.6.1)
(
    ABORT_TASK,
    ABORT_TASK_SET,
    CLEAR_ACA,
    CLEAR_TASK_SET,
    LOGICAL_UNIT_RESET,
    TARGET_WARM_RESET,
    TARGET_COLD_RESET,
    TASK_REASSIGN,
) = range(1, 9)
(
    FUNCTION_COMPLETE,
    TASK_DOES_NOT_EXIST,
    LUN_DOES_NOT_EXIST,
    TASK_STILL_ALLEGIANT,
    REASSIGNMENT_NOT_SUPPORTED,
    FUNCTION_NOT_SUPPORTED,
) = range(6)


class TaskManagerFront(CommandFront, Protocol):
    """The front whose tasks are managed; see `portal.IscsiFront`."""

    def tasks_of_lun(self, lun: int | None) -> list[Task]:
        """Returns the tasks of all sessions at a LUN."""
        ...

    def all_tasks(self) -> list[Task]:
        """Returns the tasks of all sessions."""
        ...

    def abort_task(self, task: Task) -> None:
        """Ends a task of any session without a response."""
        ...

    def end_sessions(self) -> None:
        """Ends all sessions."""
        ...


class ManagedSession(Protocol):
    """The session of a task manager; see `session.Session`."""

    tasks: dict[int, Task]
    window: CommandWindow[ReceivedPdu]
    nexus: Nexus
    runner: TaskRunner

    @property
    def front(self) -> TaskManagerFront:
        """The front."""
        ...

    def dispatch_in_order(self) -> None:
        """Processes the received PDUs that are next in the order of CmdSN."""
        ...


class TaskManager:
    """Executes the task management requests of one session.

    Args:
        session: The session.
    """

    def __init__(self, session: ManagedSession) -> None:
        self._session = session

    def execute(self, allegiance: Allegiance, pdu: Pdu) -> None:
        """Executes a task management request and sends its response (RFC 7143, sections 11.5 and 11.6).

        An aborted task gets no SCSI Response, and whether its command had an effect is unknown.

        Args:
            allegiance: The allegiance to the connection that received the request.
            pdu: The Task Management Function Request.
        """
        session, front = self._session, self._session.front
        function, lun = pdu.flags & 0x7F, unpack_lun(pdu.lun)
        response, tasks_to_abort = FUNCTION_COMPLETE, list[Task]()
        if function == ABORT_TASK:
            response, tasks_to_abort = self._abort_referenced_task(pdu)
        elif function in (ABORT_TASK_SET, CLEAR_TASK_SET, LOGICAL_UNIT_RESET):
            if lun not in front.config.luns:
                response = LUN_DOES_NOT_EXIST
            elif function == ABORT_TASK_SET:
                tasks_to_abort = [task for task in session.tasks.values() if task.command.lun == lun]
            else:
                tasks_to_abort = front.tasks_of_lun(lun)
        elif function in (TARGET_WARM_RESET, TARGET_COLD_RESET):
            tasks_to_abort = front.all_tasks()
        elif function == TASK_REASSIGN:
            response = session.runner.reassign(allegiance, pdu)
        else:
            response = FUNCTION_NOT_SUPPORTED
        for task in [task for task in tasks_to_abort if task.status is None]:
            front.counters["commands.aborted"] += 1
            front.abort_task(task)
        if response == FUNCTION_COMPLETE and function in (
            CLEAR_TASK_SET,
            LOGICAL_UNIT_RESET,
            TARGET_WARM_RESET,
            TARGET_COLD_RESET,
        ):
            luns = (
                list(front.config.luns) if function in (TARGET_WARM_RESET, TARGET_COLD_RESET) else [lun or 0]
            )
            front.device.report_reset(session.nexus, luns, cleared=function == CLEAR_TASK_SET)
        allegiance.send(Pdu(Op.TASK_MANAGEMENT_RESPONSE, byte2=response, tag=pdu.tag), status=True)
        if function == TARGET_COLD_RESET:
            front.end_sessions()

    def _abort_referenced_task(self, pdu: Pdu) -> tuple[int, list[Task]]:
        """Executes ABORT TASK (RFC 7143, sections 11.5.1 and 11.6.1).

        A command that has not been received, but whose CmdSN lies in the command window, counts as received
        and aborted: a placeholder takes its number.

        Returns:
            The response code, and the tasks to abort.
        """
        task = self._session.tasks.get(pdu.words[0])
        if task is not None and task.status is None:
            return FUNCTION_COMPLETE, [task]
        window, cmd_sn = self._session.window, pdu.words[3]
        distance = serial_distance(cmd_sn, window.exp_cmd_sn)
        if task is None and 0 <= distance < window.size and cmd_sn not in window.pending:
            placeholder = Pdu(Op.NOP_OUT, tag=RESERVED_TAG, words=[RESERVED_TAG, cmd_sn, 0, 0, 0, 0, 0])
            window.receive(cmd_sn, ReceivedPdu(Allegiance(0, connection=None), placeholder))
            self._session.dispatch_in_order()
            return FUNCTION_COMPLETE, []
        return TASK_DOES_NOT_EXIST, []

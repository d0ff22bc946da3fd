"""Executes task management requests (RFC 7143, sections 11.5 and 11.6)."""

from __future__ import annotations

import asyncio
from typing import Protocol

from lemonridge.iscsi.allegiance import Allegiance, ReceivedPdu
from lemonridge.iscsi.device import Nexus
from lemonridge.iscsi.numbers import CommandWindow, serial_distance
from lemonridge.iscsi.pdu import (
    RESERVED_TAG,
    ManagementFunction,
    ManagementResponse,
    Op,
    Pdu,
    unpack_lun,
)
from lemonridge.iscsi.runner import CommandFront, TaskRunner
from lemonridge.iscsi.task import Task
from lemonridge.iscsi.unfinished_commands import NodeActivity

RESPONSES_WAITING_MAX = 64  # of one session, for writes that a node still executes
TARGET_RESETS = frozenset((ManagementFunction.TARGET_WARM_RESET, ManagementFunction.TARGET_COLD_RESET))
LUN_FUNCTIONS = frozenset(  # which name a LUN
    (
        ManagementFunction.ABORT_TASK_SET,
        ManagementFunction.CLEAR_TASK_SET,
        ManagementFunction.LOGICAL_UNIT_RESET,
    )
)


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
        self._waiting_responses: set[asyncio.Task[None]] = set()

    def execute(self, allegiance: Allegiance, pdu: Pdu) -> None:
        """Executes a task management request and sends its response (RFC 7143, sections 11.5 and 11.6).

        An aborted task gets no SCSI Response, and whether its command had an effect is unknown. The response
        to the request is sent when the aborted commands have no further effect. A request that would have to
        wait beside `RESPONSES_WAITING_MAX` others is rejected, though it has aborted its tasks.

        Args:
            allegiance: The allegiance to the connection that received the request.
            pdu: The Task Management Function Request.
        """
        front, function = self._session.front, pdu.flags & 0x7F
        response, tasks_to_abort = self._result(function, allegiance, pdu)
        for task in [task for task in tasks_to_abort if task.status is None]:
            front.counters["commands.aborted"] += 1
            front.abort_task(task)
        if response is ManagementResponse.FUNCTION_COMPLETE:
            self._report_reset(function, unpack_lun(pdu.lun))
        unfinished = self._unfinished_commands(function, unpack_lun(pdu.lun), tasks_to_abort)
        if not unfinished:
            self._respond(function, response, allegiance, pdu)
        elif len(self._waiting_responses) >= RESPONSES_WAITING_MAX:
            self._respond(function, ManagementResponse.FUNCTION_REJECTED, allegiance, pdu)
        else:
            waiting = asyncio.create_task(
                self._respond_after(unfinished, function, response, allegiance, pdu)
            )
            self._waiting_responses.add(waiting)
            waiting.add_done_callback(self._waiting_responses.discard)

    def _unfinished_commands(
        self, function: int, lun: int | None, aborted_tasks: list[Task]
    ) -> list[NodeActivity]:
        """Returns the abandoned writes that must end before the response to a function."""
        unfinished_commands = self._session.front.unfinished_commands
        if function in TARGET_RESETS:
            return unfinished_commands.all()
        if function in LUN_FUNCTIONS:
            return unfinished_commands.at_lun(lun)
        activities = [task.activity for task in aborted_tasks if task.activity is not None]
        return [activity for activity in activities if activity.ended is not None]

    async def _respond_after(
        self,
        unfinished: list[NodeActivity],
        function: int,
        response: ManagementResponse,
        allegiance: Allegiance,
        pdu: Pdu,
    ) -> None:
        """Sends the response to a request after abandoned writes have ended."""
        await self._session.front.unfinished_commands.wait_for(unfinished)
        self._respond(function, response, allegiance, pdu)

    def _respond(self, function: int, response: ManagementResponse, allegiance: Allegiance, pdu: Pdu) -> None:
        """Sends the response to a request; TARGET COLD RESET then ends all sessions."""
        allegiance.send(Pdu(Op.TASK_MANAGEMENT_RESPONSE, byte2=response, tag=pdu.tag), status=True)
        if function == ManagementFunction.TARGET_COLD_RESET:
            self._session.front.end_sessions()

    def _result(
        self, function: int, allegiance: Allegiance, pdu: Pdu
    ) -> tuple[ManagementResponse, list[Task]]:
        """Returns the response to a request, and the tasks that it aborts, if they are still open."""
        session, front, lun = self._session, self._session.front, unpack_lun(pdu.lun)
        if function == ManagementFunction.ABORT_TASK:
            return self._abort_referenced_task(pdu)
        if function == ManagementFunction.TASK_REASSIGN:
            return session.runner.reassign(allegiance, pdu), []
        if function in TARGET_RESETS:
            return ManagementResponse.FUNCTION_COMPLETE, front.all_tasks()
        if function not in LUN_FUNCTIONS:
            return ManagementResponse.FUNCTION_NOT_SUPPORTED, []
        if lun not in front.config.luns:
            return ManagementResponse.LUN_DOES_NOT_EXIST, []
        if function == ManagementFunction.ABORT_TASK_SET:
            own_tasks = [task for task in session.tasks.values() if task.command.lun == lun]
            return ManagementResponse.FUNCTION_COMPLETE, own_tasks
        return ManagementResponse.FUNCTION_COMPLETE, front.tasks_of_lun(lun)

    def _report_reset(self, function: int, lun: int | None) -> None:
        """Queues the unit attentions of a function that aborts tasks of several nexuses."""
        front, is_clear = self._session.front, function == ManagementFunction.CLEAR_TASK_SET
        if function in TARGET_RESETS:
            luns = list(front.config.luns)
        elif is_clear or function == ManagementFunction.LOGICAL_UNIT_RESET:
            luns = [lun or 0]
        else:
            return
        front.device.report_reset(self._session.nexus, luns, cleared=is_clear)

    def _abort_referenced_task(self, pdu: Pdu) -> tuple[ManagementResponse, list[Task]]:
        """Executes ABORT TASK (RFC 7143, sections 11.5.1 and 11.6.1).

        A command that has not been received, but whose CmdSN lies in the command window, counts as received
        and aborted: a placeholder takes its number.

        Returns:
            The response code, and the tasks to abort.
        """
        task = self._session.tasks.get(pdu.words[0])
        if task is not None and task.status is None:
            return ManagementResponse.FUNCTION_COMPLETE, [task]
        window, cmd_sn = self._session.window, pdu.words[3]
        distance = serial_distance(cmd_sn, window.exp_cmd_sn)
        if task is None and 0 <= distance < window.size and cmd_sn not in window.pending:
            placeholder = Pdu(Op.NOP_OUT, tag=RESERVED_TAG, words=[RESERVED_TAG, cmd_sn, 0, 0, 0, 0, 0])
            window.receive(cmd_sn, ReceivedPdu(Allegiance(0, connection=None), placeholder))
            self._session.dispatch_in_order()
            return ManagementResponse.FUNCTION_COMPLETE, []
        return ManagementResponse.TASK_DOES_NOT_EXIST, []

"""A session: its command window over all its connections, its commands, and what happens to them when a
connection is lost (RFC 7143, chapters 4 and 7).
"""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

from lemonridge.iscsi.connection import Connection
from lemonridge.iscsi.device import Nexus
from lemonridge.iscsi.keys import NegotiationError, Responder, parse_text
from lemonridge.iscsi.login import TargetLogin
from lemonridge.iscsi.numbers import ArrivalResult, CommandWindow, serial_distance
from lemonridge.iscsi.pdu import CONTINUE, FINAL, RESERVED_TAG, Op, Pdu, PduError, pack_text, unpack_lun
from lemonridge.iscsi.runner import Runner
from lemonridge.iscsi.task import Task

if TYPE_CHECKING:
    from lemonridge.iscsi.portal import IscsiFront

log = logging.getLogger(__name__)

TEXT_MAX = 16 * 1024  # of one text exchange, either way
ORDERED = frozenset((Op.NOP_OUT, Op.SCSI_COMMAND, Op.TASK_MANAGEMENT, Op.TEXT, Op.LOGOUT))
# Task management: functions, and responses (11.5, 11.6)
ABORT_TASK, ABORT_SET, CLEAR_ACA, CLEAR_SET, LUN_RESET, WARM_RESET, COLD_RESET, REASSIGN = range(1, 9)
COMPLETE, NO_TASK, NO_LUN, ALLEGIANT, NO_REASSIGN, UNSUPPORTED = range(6)

Item = tuple[Connection, Pdu]


class Session:
    """What an initiator has with this target under one TSIH."""

    def __init__(self, front: IscsiFront, login: TargetLogin, expected: int) -> None:
        self.front, self.loop = front, front.loop
        self.initiator, self.target, self.isid = login.initiator, login.target, login.isid
        self.tsih, self.discovery, self.agreed = login.tsih, login.discovery, login.parameters
        self.window: CommandWindow[Item] = CommandWindow(expected, front.config.queue_depth)
        self.connections: dict[int, Connection] = {}
        self.tasks: dict[int, Task] = {}
        self.nexus = Nexus(self.initiator + "," + self.isid.hex(), front.device)
        self.runner = Runner(self)
        self.over = self.ending = False
        self._text: dict[int, bytes] = {}  # long answers, by transfer tag
        self._asked: dict[Connection, bytes] = {}  # text requests that are not complete
        self._tags = 0
        self._expiry: asyncio.TimerHandle | None = None

    # Connections

    def join(self, connection: Connection) -> None:
        """A connection's login is over. One under a CID that is in use takes its place (6.3.4)."""
        before = self.connections.get(connection.cid)
        if before is not None:
            self.front.counters["connections.reinstated"] += 1
            self.lost(before)
            before.close()
        if self._expiry is not None:
            self._expiry.cancel()
            self._expiry = None
        self.connections[connection.cid] = connection
        if self.ending:
            connection.close()

    def lost(self, connection: Connection) -> None:
        """A connection is gone. At level 2 its commands wait to be reassigned; below, the session is over."""
        self._asked.pop(connection, None)
        if self.connections.get(connection.cid) is not connection:
            return
        del self.connections[connection.cid]
        if self.over:
            return
        if self.discovery or (self.agreed.recovery_level < 2 and not connection.over):
            self.end()
            return
        orphans = [task for task in self.tasks.values() if task.connection is connection]
        if self.agreed.recovery_level < 2:  # it logged out: what it had is over
            for task in orphans:
                self.abort(task)
        else:
            self.front.counters["tasks.orphaned"] += len(orphans)
            for task in orphans:
                task.connection = None
            wait = self.agreed.time2wait + self.agreed.time2retain
            self.loop.call_later(wait, self._expire, orphans)
        if not self.connections:
            if self.agreed.recovery_level < 2 or not self.agreed.time2retain:
                self.end()
            else:
                wait = self.agreed.time2wait + self.agreed.time2retain
                self._expiry = self.loop.call_later(wait, self.end)

    def _expire(self, orphans: list[Task]) -> None:
        """Commands that nobody reassigned in time are over (DefaultTime2Retain, 13.16)."""
        for task in orphans:
            if task.connection is None and self.tasks.get(task.tag) is task:
                self.front.counters["tasks.expired"] += 1
                self.abort(task)

    def end(self) -> None:
        """The session is over: its commands have no one left to answer."""
        if self.over:
            return
        self.over = True
        if self._expiry is not None:
            self._expiry.cancel()
        for task in list(self.tasks.values()):
            self.abort(task)
        for connection in list(self.connections.values()):
            connection.close()
        self.connections.clear()
        self.nexus.close()
        self.front.forget(self)

    def ask_logout(self) -> None:
        """Async Message 1: log out within the tail (11.9.1)."""
        for connection in self.connections.values():
            connection.send(Pdu(Op.ASYNC, words=[0, 0, 0, 0, 1 << 24, 1, 0]), status=True)

    def end_when_idle(self) -> None:
        self.ending = True
        self._look()

    def _look(self) -> None:
        if self.ending and not any(task.status is None for task in self.tasks.values()):
            self.end()

    # Numbers

    def numbers(self) -> tuple[int, int]:
        """ExpCmdSN and MaxCmdSN of this moment. A command in work takes a place, and so does a status that is
        kept for the initiator beyond half of the room for such.
        """
        busy = sum(task.status is None for task in self.tasks.values())
        kept = sum(one.statuses.unacknowledged_count for one in self.connections.values())
        spare = max(0, self.front.config.max_unacknowledged_statuses - kept)
        busy = (
            max(busy, self.window.size - spare)
            if kept * 2 > self.front.config.max_unacknowledged_statuses
            else busy
        )
        return self.window.exp_cmd_sn, self.window.advertise_max_cmd_sn(busy)

    # What comes in

    def take(self, connection: Connection, pdu: Pdu) -> bool:
        """Take one PDU; False ends the connection."""
        if pdu.opcode != Op.DATA_OUT or connection.agreed.recovery_level:
            self._acknowledge(connection, pdu)
        if pdu.opcode == Op.DATA_OUT:
            self.runner.data_out(connection, pdu)
            return True
        if pdu.opcode == Op.SNACK:
            self.runner.snack(connection, pdu)
            return True
        if pdu.opcode not in ORDERED:
            raise PduError(PduError.UNSUPPORTED, f"opcode {pdu.opcode:#04x}", pdu)
        if pdu.immediate:
            busy = sum(task.status is None for task in self.tasks.values())
            if pdu.opcode == Op.SCSI_COMMAND and busy >= self.window.size * 2:
                connection.reject(pdu, PduError.TOO_MANY)
                return True
            return self._one(connection, pdu)
        self.numbers()
        place, ready = self.window.receive(pdu.words[1], (connection, pdu))
        if place is ArrivalResult.REPEATED and connection.agreed.recovery_level:
            self._again(connection, pdu)
        if (
            place is ArrivalResult.NEXT
            and not ready
            and len(self.connections) == 1
            and not self.agreed.recovery_level
        ):
            # One connection at level 0 delivers in order: what is missing will never come.
            raise PduError(PduError.PROTOCOL, "a command number was left out", pdu)
        goes_on = True
        for origin, one in ready:
            goes_on = self._one(origin, one) and goes_on
        return goes_on

    def _acknowledge(self, connection: Connection, pdu: Pdu) -> None:
        for status in connection.statuses.acknowledge(pdu.words[2]):
            task = self.tasks.get(status.tag)
            if task is not None and task.status is status:
                self.runner.release(task)

    def _again(self, connection: Connection, pdu: Pdu) -> None:
        """A command that came before (7.2.1): it joins the one in work, or gets the status that it got."""
        task = self.tasks.get(pdu.tag)
        self.front.counters["commands.repeated"] += 1
        if task is not None and task.status is not None and task.connection is connection:
            connection.again(task.status)

    def spoilt(self, connection: Connection, pdu: Pdu) -> None:
        """A PDU was discarded for its data: data that were asked for are asked for again (7.2)."""
        if pdu.opcode == Op.DATA_OUT:
            self.runner.stalled(pdu.tag)

    def _one(self, connection: Connection, pdu: Pdu) -> bool:
        """A PDU whose turn has come."""
        if pdu.opcode == Op.NOP_OUT:
            self._ping(connection, pdu)
        elif pdu.opcode == Op.TEXT:
            self._text_request(connection, pdu)
        elif pdu.opcode == Op.LOGOUT:
            return self._logout(connection, pdu)
        elif self.discovery:
            raise PduError(PduError.PROTOCOL, "a discovery session carries no commands", pdu)
        elif pdu.opcode == Op.TASK_MANAGEMENT:
            self._manage(connection, pdu)
        else:
            self.runner.begin(connection, pdu)
        return True

    def _ping(self, connection: Connection, pdu: Pdu) -> None:
        if pdu.words[0] != RESERVED_TAG:  # the answer to a ping of this side's
            connection.unseen.discard(pdu.words[0])
        if pdu.tag != RESERVED_TAG:
            words = [RESERVED_TAG, 0, 0, 0, 0, 0, 0]
            data = pdu.data[: connection.agreed.send_segment]
            connection.send(Pdu(Op.NOP_IN, lun=pdu.lun, tag=pdu.tag, words=words, data=data), status=True)

    # Text and logout

    def _text_request(self, connection: Connection, pdu: Pdu) -> None:
        """Text in the full feature phase, in as many PDUs as it takes either way (11.10, 11.11)."""
        if pdu.words[0] != RESERVED_TAG:  # the initiator wants the rest of a long answer
            rest = self._text.pop(pdu.words[0], None)
            if rest is None or pdu.data:
                raise PduError(PduError.PROTOCOL, "no such text exchange", pdu)
            self._tell(connection, pdu, rest)
            return
        text = self._asked.pop(connection, b"") + pdu.data
        if len(text) > TEXT_MAX:
            raise PduError(PduError.PROTOCOL, "too much text", pdu)
        if pdu.flags & CONTINUE:
            self._asked[connection] = text
            connection.send(
                Pdu(Op.TEXT_RESPONSE, 0, lun=pdu.lun, tag=pdu.tag, words=[self._tag(), 0, 0, 0, 0, 0, 0]),
                status=True,
            )
            return
        try:
            pairs = parse_text(text)
        except NegotiationError as error:
            raise PduError(PduError.PROTOCOL, str(error), pdu) from None
        told: list[tuple[str, str]] = []
        rest_of = [(key, value) for key, value in pairs if key != "SendTargets"]
        for key, value in pairs:
            if key == "SendTargets":
                told += self._targets(connection, value)
        responder = Responder(self.front.config.target_preferences, leading=False)
        told += [
            (key, value)
            for key, value in responder.answer(rest_of)
            if key != "MaxRecvDataSegmentLength" or value == "Reject"
        ]
        if "MaxRecvDataSegmentLength" in dict(rest_of) and ("MaxRecvDataSegmentLength", "Reject") not in told:
            connection.agreed = self.runner.resize(connection, responder.parameters.send_segment)
        self._tell(connection, pdu, pack_text(told))

    def _tag(self) -> int:
        self._tags = (self._tags + 1) % RESERVED_TAG
        return self._tags

    def _tell(self, connection: Connection, pdu: Pdu, text: bytes) -> None:
        part, rest = text[: connection.agreed.send_segment], text[connection.agreed.send_segment :]
        tag = RESERVED_TAG
        if rest:
            tag = self._tag()
            self._text = {tag: rest}  # one exchange at a time (11.10.2)
        flags = CONTINUE if rest else FINAL
        connection.send(
            Pdu(Op.TEXT_RESPONSE, flags, lun=pdu.lun, tag=pdu.tag, data=part, words=[tag, 0, 0, 0, 0, 0, 0]),
            status=True,
        )

    def _targets(self, connection: Connection, value: str) -> list[tuple[str, str]]:
        """SendTargets (Appendix C): the targets that this initiator may see."""
        host, port = connection.writer.get_extra_info("sockname")[:2]
        host = f"[{host}]" if ":" in host else host
        pairs: list[tuple[str, str]] = []
        for rule in self.front.config.targets.values():
            asked = value == "All" and self.discovery or value in ("", rule.name)
            if (
                asked
                and rule.admits(self.initiator)
                and (value != "" or rule.name == self.target or self.discovery)
            ):
                pairs += [("TargetName", rule.name), ("TargetAddress", f"{host}:{port},1")]
        return pairs

    def _logout(self, connection: Connection, pdu: Pdu) -> bool:
        """Close the session, or a connection, or give one up for recovery (11.14, 11.15)."""
        reason, cid = pdu.flags & 0x7F, pdu.words[0] >> 16
        times = self.agreed.time2wait << 16 | self.agreed.time2retain
        victim = connection if reason == 0 else self.connections.get(cid)
        response = 0
        if reason > 2:
            connection.reject(pdu, PduError.FIELD)
            return True
        if reason == 2 and self.agreed.recovery_level < 2:
            response = 2
        elif victim is None and not (reason == 2 and any(t.connection is None for t in self.tasks.values())):
            response = 1
        connection.send(
            Pdu(Op.LOGOUT_RESPONSE, byte2=response, tag=pdu.tag, words=[0, 0, 0, 0, 0, times, 0]), status=True
        )
        if response:
            return True
        if reason == 0:
            self.end()
            return False
        if victim is None:
            return True
        if reason == 1:
            for task in [task for task in self.tasks.values() if task.connection is victim]:
                self.abort(task)
        victim.close()
        self.lost(victim)
        return victim is not connection

    # Task management

    def _manage(self, connection: Connection, pdu: Pdu) -> None:
        """An aborted command gets no response of its own; what it did stays open."""
        function, lun = pdu.flags & 0x7F, unpack_lun(pdu.lun)
        response, victims = COMPLETE, list[Task]()
        if function == ABORT_TASK:
            response, victims = self._abort_one(pdu)
        elif function in (ABORT_SET, CLEAR_SET, LUN_RESET):
            if lun not in self.front.config.luns:
                response = NO_LUN
            elif function == ABORT_SET:
                victims = [task for task in self.tasks.values() if task.command.lun == lun]
            else:
                victims = self.front.tasks_of(lun)
        elif function in (WARM_RESET, COLD_RESET):
            victims = [task for one in list(self.front.sessions.values()) for task in one.tasks.values()]
        elif function == REASSIGN:
            response = self.runner.reassign(connection, pdu)
        else:
            response = UNSUPPORTED
        for task in [task for task in victims if task.status is None]:
            self.front.counters["commands.aborted"] += 1
            self.front.abort(task)
        if response == COMPLETE and function in (CLEAR_SET, LUN_RESET, WARM_RESET, COLD_RESET):
            luns = list(self.front.config.luns) if function in (WARM_RESET, COLD_RESET) else [lun or 0]
            self.front.device.report_reset(self.nexus, luns, cleared=function == CLEAR_SET)
        connection.send(Pdu(Op.TASK_MANAGEMENT_RESPONSE, byte2=response, tag=pdu.tag), status=True)
        if function == COLD_RESET:
            for session in list(self.front.sessions.values()):
                session.end()

    def _abort_one(self, pdu: Pdu) -> tuple[int, list[Task]]:
        """ABORT TASK. A command that has not come yet, but whose number is in the window, is taken for come
        and aborted (11.5.1, 11.6.1).
        """
        task = self.tasks.get(pdu.words[0])
        if task is not None and task.status is None:
            return COMPLETE, [task]
        number = pdu.words[3]
        ahead = serial_distance(number, self.window.exp_cmd_sn)
        if task is None and 0 <= ahead < self.window.size and number not in self.window.pending:
            nothing = Pdu(Op.NOP_OUT, tag=RESERVED_TAG, words=[RESERVED_TAG, number, 0, 0, 0, 0, 0])
            if not self.connections:
                return NO_TASK, []
            origin = next(iter(self.connections.values()))
            for connection, one in self.window.receive(number, (origin, nothing))[1]:
                self._one(connection, one)
            return COMPLETE, []
        return NO_TASK, []

    def abort(self, task: Task) -> None:
        """End a command without a response."""
        task.aborted = True
        if task.execution is not None:
            task.execution.cancel()
        self.forget(task)

    def forget(self, task: Task) -> None:
        """A command is over; its tag and its bytes are free again."""
        if self.tasks.get(task.tag) is task:
            del self.tasks[task.tag]
        self.front.buffered -= task.buffered_bytes
        task.buffered_bytes = 0
        self._look()

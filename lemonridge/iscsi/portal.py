"""The iSCSI front: accepts connections from initiators and holds their sessions."""

from __future__ import annotations

import asyncio
import logging
import secrets

from lemonridge.config.address import Address
from lemonridge.core.broker import Broker
from lemonridge.core.clock import Clock
from lemonridge.core.counters import Counters
from lemonridge.core.endpoint_registry import EndpointRegistry
from lemonridge.core.memory_budget import MemoryBudget
from lemonridge.iscsi import scsi
from lemonridge.iscsi.allegiance import InitiatorConnection
from lemonridge.iscsi.config import IscsiConfig
from lemonridge.iscsi.connection import Connection
from lemonridge.iscsi.device import Device, Nexus
from lemonridge.iscsi.login import ExistingSession, FailedLoginLimiter, LoginPolicy, TargetLogin
from lemonridge.iscsi.mapped import MappedLuns
from lemonridge.iscsi.pdu import keep_alive
from lemonridge.iscsi.reservation_file import ReservationFile
from lemonridge.iscsi.session import Session, SessionEndedError
from lemonridge.iscsi.task import Task
from lemonridge.iscsi.unfinished_commands import UnfinishedCommands
from lemonridge.net.listener import Listener, listening_socket
from lemonridge.net.parsing_queue import ParsingQueue
from lemonridge.scheduling.events import EndpointState

log = logging.getLogger(__name__)

LOGOUT_GRACE_S = 0.5  # after SIGTERM, during which new commands are still accepted
READ_BUFFER_BYTES = 64 * 1024  # of a connection's unparsed input


class IscsiFront:
    """Serves initiators over iSCSI.

    Args:
        config: The configuration of the iSCSI front.
        broker: The core, which carries commands to the nodes.
        clock: The broker's clock.
        registry: The endpoints, whose states determine the access state of a LUN.
        counters: Counters of the front and its sessions.
        mapped_luns: Serves the LUNs whose data lies in extents; None if there are none.
        reservation_file: Stores persistent reservations; its file has been read. None keeps none on disk.

    Attributes:
        device: The device server of all LUNs.
        config: The configuration.
        broker: The core.
        clock: The broker's clock.
        counters: The counters.
        mapped_luns: Serves the LUNs whose data lies in extents.
        loop: The event loop.
        connections: All connections, also those whose login is in progress.
        sessions: The sessions, by TSIH.
        buffer_budget: Bounds the data of the commands of all sessions, by their transfer lengths, from their
            receipt until nothing needs the data any more.
        parsing_queue: Shares the event loop among the connections.
        unfinished_commands: Writes that have ended for their initiators while a node may execute them.
        stopping: Whether the front no longer accepts logins.
        login_attempts: Bounds the failed logins of each IP address.
        login_rules: What logins are checked against.
    """

    def __init__(
        self,
        config: IscsiConfig,
        broker: Broker,
        clock: Clock,
        registry: EndpointRegistry,
        counters: Counters,
        mapped_luns: MappedLuns | None = None,
        reservation_file: ReservationFile | None = None,
    ) -> None:
        self._registry = registry
        self.device = Device(config, self._access_state, self._abort_nexus_tasks, reservation_file)
        self.config, self.broker, self.clock, self.counters = config, broker, clock, counters
        self.mapped_luns, self.loop = mapped_luns, asyncio.get_running_loop()
        self.connections: set[Connection] = set()
        self.sessions: dict[int, Session] = {}
        self.buffer_budget = MemoryBudget(config.buffer_bytes)
        self.unfinished_commands = UnfinishedCommands()
        self.parsing_queue = ParsingQueue(counters)
        self.stopping = False
        self.login_attempts = FailedLoginLimiter(config.login_failures)
        self.login_rules = LoginPolicy(
            config.targets,
            config.target_preferences,
            self._find_session,
            self._has_room,
            lambda: self.stopping,
            secrets.token_bytes,
        )
        self._last_tsih = 0
        self._listener: Listener | None = None

    async def start(self, address: Address) -> None:
        """Listens for connections.

        Args:
            address: The address of the portal.

        Raises:
            OSError: The address cannot be used.
        """
        self._listener = Listener(listening_socket(address), self._make_protocol, self.counters)
        self._listener.listen()
        log.info("listening", extra={"front": "iscsi", "address": self._listener.address})

    def _make_protocol(self) -> asyncio.StreamReaderProtocol:
        """Returns the protocol of an accepted connection, which `_serve_connection` then serves."""
        return asyncio.StreamReaderProtocol(
            asyncio.StreamReader(limit=READ_BUFFER_BYTES), self._serve_connection
        )

    async def stop(self) -> None:
        """Asks every initiator to log out, accepts commands for `LOGOUT_GRACE_S`, then ends idle sessions.

        The remaining sessions end as soon as their open commands have been answered. Logins in progress are
        aborted.
        """
        assert self._listener is not None
        self.stopping = True
        for session in self.sessions.values():
            session.request_logout()
        await asyncio.sleep(LOGOUT_GRACE_S)
        self._listener.close()
        for session in list(self.sessions.values()):
            session.end_when_idle()
        for connection in list(self.connections):
            if connection.session is None:
                connection.close()

    @property
    def listens(self) -> bool:
        """Whether initiators can connect."""
        return self._listener is not None and self._listener.is_listening

    @property
    def busy(self) -> bool:
        """Whether there are connections, or tasks without one."""
        return bool(self.connections) or any(session.tasks for session in self.sessions.values())

    # Sessions

    def _find_session(self, tsih: int) -> ExistingSession | None:
        """Returns the session with a TSIH in the form that a login needs; None if there is none."""
        session = self.sessions.get(tsih)
        if session is None or session.ended:
            return None
        return ExistingSession(
            tsih,
            session.isid,
            session.initiator,
            session.target,
            session.agreed,
            frozenset(connection.cid for connection in session.connections),
            session.discovery,
        )

    def _has_room(self) -> bool:
        """Returns whether another session may be opened."""
        return len(self.sessions) < self.config.max_sessions

    def tsih_for(self, login: TargetLogin) -> int:
        """Returns the TSIH for the last login response.

        It is that of the session to join, or a free one for a new session.

        Args:
            login: A login that has succeeded; its TSIH is set if it opens a session.
        """
        if login.existing_session is None:
            self._last_tsih = self._last_tsih % 0xFFFF + 1
            while self._last_tsih in self.sessions:
                self._last_tsih = self._last_tsih % 0xFFFF + 1
            login.tsih = self._last_tsih
        return login.tsih

    def joined_command_numbers(self, login: TargetLogin) -> tuple[int, int] | None:
        """Returns ExpCmdSN and MaxCmdSN of the session that a login joins.

        Args:
            login: A login that has succeeded.

        Returns:
            The numbers; None if the login opens a session, or the session has ended.
        """
        joined = self.sessions.get(login.tsih) if login.existing_session is not None else None
        return joined.command_numbers() if joined is not None else None

    def admit(self, connection: InitiatorConnection, login: TargetLogin) -> Session:
        """Adds a connection whose login has succeeded to a new session or to the one that it joins.

        A new session replaces one of the same initiator, ISID and target (RFC 7143, section 6.3.5).

        Args:
            connection: The connection.
            login: Its login.

        Raises:
            SessionEndedError: The session to join has ended.
        """
        if login.existing_session is not None:
            joined = self.sessions.get(login.tsih)
            if joined is None:
                raise SessionEndedError
            joined.add_connection(connection)
            return joined
        for previous in list(self.sessions.values()):
            if (previous.initiator, previous.isid, previous.target) == (
                login.initiator,
                login.isid,
                login.target,
            ):
                self.counters["sessions.reinstated"] += 1
                previous.end()
        session = Session(self, login, connection.login_cmd_sn)
        self.sessions[login.tsih] = session
        self.counters["sessions.opened"] += 1
        session.add_connection(connection)
        return session

    # Commands

    def answer_locally(self, nexus: Nexus, command: scsi.Command) -> scsi.Reply | None:
        """Returns the reply to a command that the broker answers itself; None if a node has to execute it.

        Args:
            nexus: The I_T nexus of the session that received the command.
            command: The command, whose data has not been received.
        """
        reply = self.device.answer_locally(nexus, command)
        if reply is None and self.mapped_luns is not None and self.config.luns[command.lun].mapped:
            return self.mapped_luns.answer_locally(command)
        return reply

    def tasks_of_lun(self, lun: int | None) -> list[Task]:
        """Returns the tasks of all sessions at a LUN.

        Args:
            lun: The LUN; None for an invalid one, which has no tasks.
        """
        return [task for task in self.all_tasks() if task.command.lun == lun]

    def all_tasks(self) -> list[Task]:
        """Returns the tasks of all sessions."""
        return [task for session in self.sessions.values() for task in session.tasks.values()]

    def end_sessions(self) -> None:
        """Ends all sessions, for TARGET COLD RESET."""
        for session in list(self.sessions.values()):
            session.end()

    def abort_task(self, task: Task) -> None:
        """Ends a task of any session without a response.

        Args:
            task: The task.
        """
        for session in self.sessions.values():
            if session.tasks.get(task.tag) is task:
                session.abort(task)
                return

    def _abort_nexus_tasks(self, nexus: str, lun: int) -> None:
        """Aborts the tasks of a nexus at a LUN, for PREEMPT AND ABORT."""
        for session in list(self.sessions.values()):  # a session that becomes idle may end
            if session.nexus.name == nexus:
                for task in [task for task in session.tasks.values() if task.command.lun == lun]:
                    session.abort(task)

    def _access_state(self, lun: int) -> int:
        """Returns the asymmetric access state of a LUN (SPC-4, table 166).

        Active, transitioning while every node of its shard drains, otherwise unavailable. A LUN whose data
        lies in extents is always active.
        """
        lun_config = self.config.luns[lun]
        if lun_config.mapped:
            return 0
        return {EndpointState.ACTIVE: 0, EndpointState.DRAINING: 15}.get(
            self._registry.shard_state(lun_config.shard), 3
        )

    def remove_session(self, session: Session) -> None:
        """Removes a session that has ended, unless another one has its TSIH.

        Args:
            session: The session.
        """
        if self.sessions.get(session.tsih) is session:
            del self.sessions[session.tsih]

    async def _serve_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serves an accepted connection until it ends."""
        keep_alive(writer)
        if len(self.connections) >= self.config.max_connections:  # closed without a login response
            self.counters["connections.refused"] += 1
            writer.transport.abort()
            return
        connection = Connection(self, reader, writer)
        self.connections.add(connection)
        self.counters["connections.taken"] += 1
        try:
            await connection.run()
        except (OSError, asyncio.IncompleteReadError):
            pass  # the initiator has disconnected
        except asyncio.CancelledError:
            pass  # the process is exiting
        except Exception:
            log.exception("connection failed")
        finally:
            self.connections.discard(connection)
            if connection.session is not None:
                connection.session.connection_lost(connection)
            connection.close()

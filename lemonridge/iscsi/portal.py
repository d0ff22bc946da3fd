"""The iSCSI front: where initiators connect, and the sessions that there are."""

from __future__ import annotations

import asyncio
import logging
import secrets

from lemonridge.config.address import Address
from lemonridge.core.broker import Broker
from lemonridge.core.clock import Clock
from lemonridge.core.counters import Counters
from lemonridge.core.endpoint_registry import EndpointRegistry
from lemonridge.iscsi import scsi
from lemonridge.iscsi.config import IscsiConfig
from lemonridge.iscsi.connection import Connection
from lemonridge.iscsi.device import Device
from lemonridge.iscsi.login import ExistingSession, FailedLoginLimiter, LoginPolicy, TargetLogin
from lemonridge.iscsi.mapped import MappedLuns
from lemonridge.iscsi.pdu import keep_alive
from lemonridge.iscsi.reservation_file import ReservationFile
from lemonridge.iscsi.session import Session
from lemonridge.iscsi.task import Task
from lemonridge.net.listener import Listener, listening_socket
from lemonridge.scheduling.events import EndpointState

log = logging.getLogger(__name__)

TAIL_S = 0.5  # after SIGTERM: commands are still taken so long
AHEAD = 64 * 1024  # of a connection's input held before it is parsed


class IscsiFront:
    """Serves initiators."""

    def __init__(
        self,
        config: IscsiConfig,
        broker: Broker,
        clock: Clock,
        directory: EndpointRegistry,
        counters: Counters,
        mapped: MappedLuns | None = None,
        keeper: ReservationFile | None = None,
    ) -> None:
        """`keeper` has been read."""
        self._directory = directory
        self.device = Device(config, self._state, self._abort_all, keeper)
        self.config, self.broker, self.clock, self.counters = config, broker, clock, counters
        self.mapped, self.loop = mapped, asyncio.get_running_loop()
        self.connections: set[Connection] = set()
        self.sessions: dict[int, Session] = {}  # by TSIH
        self.expected: dict[Connection, int] = {}  # ExpCmdSN of logins
        self.buffered = 0  # bytes of data that commands of all sessions may hold at this moment
        self.stopping = False
        self.attempts = FailedLoginLimiter(config.login_failures)
        self.rules = LoginPolicy(
            config.targets,
            config.target_preferences,
            self._known,
            self._room,
            lambda: self.stopping,
            secrets.token_bytes,
        )
        self._tsih = 0
        self._listener: Listener | None = None

    async def start(self, address: Address) -> None:
        self._listener = Listener(listening_socket(address), self._protocol, self.counters)
        self._listener.listen()
        log.info("listening", extra={"front": "iscsi", "address": self._listener.address})

    def _protocol(self) -> asyncio.StreamReaderProtocol:
        """Of a connection that was accepted: `_connected` serves it."""
        return asyncio.StreamReaderProtocol(asyncio.StreamReader(limit=AHEAD), self._connected)

    async def stop(self) -> None:
        """Ask every initiator to log out, take commands through the tail, then only finish what is held."""
        assert self._listener is not None
        self.stopping = True
        for session in self.sessions.values():
            session.ask_logout()
        await asyncio.sleep(TAIL_S)
        self._listener.close()
        for session in list(self.sessions.values()):
            session.end_when_idle()
        for connection in list(self.connections):
            if connection.session is None:
                connection.close()

    @property
    def listens(self) -> bool:
        """Whether initiators can connect."""
        return self._listener is not None and self._listener.listens

    @property
    def busy(self) -> bool:
        return bool(self.connections) or any(session.tasks for session in self.sessions.values())

    # Sessions

    def _known(self, tsih: int) -> ExistingSession | None:
        session = self.sessions.get(tsih)
        if session is None or session.over:
            return None
        return ExistingSession(
            tsih,
            session.isid,
            session.initiator,
            session.target,
            session.agreed,
            frozenset(session.connections),
            session.discovery,
        )

    def _room(self) -> bool:
        return len(self.sessions) < self.config.max_sessions

    def tsih_for(self, login: TargetLogin) -> int:
        """The session's handle: its own where a connection joins, a free one where it leads."""
        if login.existing_session is None:
            self._tsih = self._tsih % 0xFFFF + 1
            while self._tsih in self.sessions:
                self._tsih = self._tsih % 0xFFFF + 1
            login.tsih = self._tsih
        return login.tsih

    def admit(self, connection: Connection, login: TargetLogin) -> Session:
        """A login is over: the connection leads a session, or joins one. Nothing is awaited since its last
        answer was made, so that its session is still there.
        """
        expected = self.expected.pop(connection, 0)
        if login.existing_session is not None:
            joined = self.sessions.get(login.tsih)
            if joined is None:
                raise ConnectionError("the session ended under the login")
            joined.join(connection)
            return joined
        for other in list(self.sessions.values()):  # the same initiator anew: session reinstatement (6.3.5)
            if (other.initiator, other.isid, other.target) == (login.initiator, login.isid, login.target):
                self.counters["sessions.reinstated"] += 1
                other.end()
        session = Session(self, login, expected)
        self.sessions[login.tsih] = session
        self.counters["sessions.opened"] += 1
        session.join(connection)
        return session

    # Commands

    def local(self, session: Session, command: scsi.Command) -> scsi.Reply | None:
        """The answer to a command that no node is asked for."""
        reply = self.device.answer_locally(session.nexus, command)
        if reply is None and self.mapped is not None and self.config.luns[command.lun].mapped:
            return self.mapped.local(command)
        return reply

    def tasks_of(self, lun: int | None) -> list[Task]:
        return [
            task
            for session in self.sessions.values()
            for task in session.tasks.values()
            if task.command.lun == lun
        ]

    def abort(self, task: Task) -> None:
        """End a command of any session without a response."""
        for session in self.sessions.values():
            if session.tasks.get(task.tag) is task:
                session.abort(task)
                return

    def _abort_all(self, nexus: str, lun: int) -> None:
        for session in self.sessions.values():
            if session.nexus.name == nexus:
                for task in [one for one in session.tasks.values() if one.command.lun == lun]:
                    session.abort(task)

    def _state(self, lun: int) -> int:
        """The asymmetric access state (SPC-4, table 166): transitioning while every node drains."""
        row = self.config.luns[lun]
        if row.mapped:
            return 0
        return {EndpointState.ACTIVE: 0, EndpointState.DRAINING: 15}.get(
            self._directory.shard_state(row.shard), 3
        )

    def forget(self, session: Session) -> None:
        if self.sessions.get(session.tsih) is session:
            del self.sessions[session.tsih]

    async def _connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        keep_alive(writer)
        if len(self.connections) >= self.config.max_connections:  # up to here a login gets a word
            self.counters["connections.refused"] += 1
            writer.transport.abort()
            return
        connection = Connection(self, reader, writer)
        self.connections.add(connection)
        self.counters["connections.taken"] += 1
        try:
            await connection.run()
        except (OSError, asyncio.IncompleteReadError):
            pass  # the initiator has gone
        except asyncio.CancelledError:
            pass  # the program ends
        except Exception:
            log.exception("connection failed")
        finally:
            self.expected.pop(connection, None)
            self.connections.discard(connection)
            if connection.session is not None:
                connection.session.lost(connection)
            connection.close()

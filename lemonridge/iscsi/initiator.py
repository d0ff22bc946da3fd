"""The iSCSI initiator towards the nodes: makes attempts at their targets, over one session to each."""

from __future__ import annotations

import asyncio
import logging
from collections import Counter
from collections.abc import Callable

from lemonridge.config.address import Address
from lemonridge.core.counters import Counters
from lemonridge.core.endpoint_registry import EndpointRegistry
from lemonridge.core.errors import AttemptSuppressedError, ConnectFailedError, LocalFailureError
from lemonridge.core.model import Attempt, Outcome
from lemonridge.core.tracebacks import release_frames
from lemonridge.extents.routing import Route
from lemonridge.iscsi import scsi, versions
from lemonridge.iscsi.config import IscsiConfig
from lemonridge.iscsi.endpoint_session import EndpointSession, SessionLostError
from lemonridge.iscsi.pdu import (
    PduError,
    keep_alive,
)
from lemonridge.net.sockets import LOCAL_ERRORS
from lemonridge.scheduling.events import AttemptResult

log = logging.getLogger(__name__)

IDLE_LIMIT_FRACTION = 0.9  # of the idle time after which a node may end a session
NOT_EXECUTED_STATUSES = frozenset((scsi.Status.BUSY, scsi.Status.TASK_SET_FULL))


class IscsiEndpoints:
    """Makes attempts at the nodes' targets.

    Counters: `connections.opened`, `digests.node`.

    Args:
        config: The configuration of the iSCSI front.
        registry: The endpoints, with their addresses and shards.
        counters: The counters.

    Attributes:
        on_unit_attention: Called with the LUN and the ASC and ASCQ of a unit attention that a node has
            reported. A node has one I_T nexus for all initiators, so it reports each to one command alone.
    """

    def __init__(self, config: IscsiConfig, registry: EndpointRegistry, counters: Counters) -> None:
        self.on_unit_attention: Callable[[int, tuple[int, int]], None] = lambda lun, code: None
        self._config, self._registry, self._counters = config, registry, counters
        self._loop = asyncio.get_running_loop()
        self._sessions: dict[str, asyncio.Task[EndpointSession]] = {}
        # Number of commands that wait for each login. A command is counted until it resumes, which is some
        # iterations of the event loop after the end of the login.
        self._login_waiters: Counter[asyncio.Task[EndpointSession]] = Counter()

    async def attempt(self, attempt: Attempt) -> Outcome:
        """Sends a command to a node once and waits for its status.

        Args:
            attempt: The attempt, whose request's payload is a SCSI command.

        Returns:
            The outcome, with a SCSI reply if the node has executed the command.

        Raises:
            AttemptSuppressedError: The endpoint has no address any more or another one, or the data has moved
                to another shard.
            ConnectFailedError: There is no session with the node, or the node does not check extent versions.
            LocalFailureError: This host could not open a connection.
        """
        command = attempt.request.payload
        assert isinstance(command, scsi.Command)
        address, route = self._registry.address(attempt.endpoint_id), attempt.request.route
        if address is None or (
            route is not None and self._registry.shard(attempt.endpoint_id) != route.shard
        ):
            raise AttemptSuppressedError  # the endpoint is gone, or the data has moved since the decision
        session = await self._session(address)
        if self._registry.address(attempt.endpoint_id) != address:  # the list changed during the login
            raise AttemptSuppressedError
        if session.is_unavailable:  # a command written now would be lost, yet count as possibly executed
            raise ConnectFailedError
        if not session.has_room:
            return Outcome(AttemptResult.QUEUE_FULL)
        ahs = b""
        if isinstance(route, Route):
            if not session.checks_versions:
                log.error("node does not check versions", extra={"node": attempt.endpoint_id})
                raise ConnectFailedError
            ahs = versions.pack_ahs(route.piece.extent_first, route.piece.version)
        attempt.begin()  # the command may run from here on: there is no await between this and the write
        try:
            reply = await session.execute(command, ahs)
        except (SessionLostError, ConnectionError) as error:
            release_frames(error)
            return Outcome(AttemptResult.RESET)
        if reply.status in NOT_EXECUTED_STATUSES:
            return Outcome(AttemptResult.QUEUE_FULL)
        if reply.status == scsi.Status.TASK_ABORTED:
            return Outcome(AttemptResult.ERROR)
        if (unit_attention := scsi.unit_attention_of(reply)) is not None:
            self.on_unit_attention(attempt.request.volume, unit_attention)
        if ahs and (redirect := versions.unpack_redirect_sense(reply.sense)) is not None:
            return Outcome(AttemptResult.DATA_MIGRATED, redirect)
        return Outcome(AttemptResult.OK, reply)

    async def close(self) -> None:
        """Logs out of every session."""
        for login_task in self._sessions.values():
            if login_task.done() and not login_task.cancelled() and login_task.exception() is None:
                login_task.result().end()
            login_task.cancel()
        self._sessions.clear()

    async def _session(self, address: str) -> EndpointSession:
        """Returns the session with a node, and opens one if there is none.

        Commands that arrive during the login wait for it. They resume in the order of their arrival, because
        commands are delivered to the device in the order of CmdSN (RFC 7143, section 4.2.2.1).

        Raises:
            ConnectFailedError: The connection or the login failed.
            LocalFailureError: This host could not open a connection.
        """
        login_task = self._sessions.get(address)
        if (
            login_task is not None
            and login_task.done()
            and not _is_usable(login_task, self._config.keepalive_us)
        ):
            login_task = None
        if login_task is None:
            self._counters["connections.opened"] += 1
            for known_address in [address for address, task in self._sessions.items() if task.done()]:
                if not _is_usable(self._sessions[known_address], self._config.keepalive_us):
                    del self._sessions[known_address]
            login_task = self._sessions[address] = asyncio.create_task(self._open(address))
        try:
            if not login_task.done() or self._login_waiters[login_task]:
                await self._wait_for_login(login_task)
            return login_task.result()
        except OSError as error:  # includes TimeoutError of a connect that took too long
            raise (LocalFailureError if error.errno in LOCAL_ERRORS else ConnectFailedError) from None
        except (EOFError, PduError):
            raise ConnectFailedError from None

    async def _wait_for_login(self, login_task: asyncio.Task[EndpointSession]) -> None:
        """Waits for the end of a login, behind every command that already waits for it.

        A callback runs after those that were added before it, also once the login has ended. Awaiting a
        shield of a login that has ended would not suspend, so that a later command would overtake the waiting
        ones.
        """
        login_ended: asyncio.Future[None] = self._loop.create_future()

        def on_login_ended(ended: asyncio.Task[EndpointSession]) -> None:
            if not ended.cancelled():
                ended.exception()  # asyncio logs exceptions that are never retrieved
            if not login_ended.done():
                login_ended.set_result(None)

        login_task.add_done_callback(on_login_ended)
        self._login_waiters[login_task] += 1
        try:
            await login_ended
        finally:
            self._login_waiters[login_task] -= 1
            if not self._login_waiters[login_task]:
                del self._login_waiters[login_task]

    async def _open(self, address: str) -> EndpointSession:
        """Connects to a node's target and logs in."""
        portal, _, target = address.partition("/")
        portal_address = Address.parse(portal, "a node's address")
        loop = asyncio.get_running_loop()
        async with asyncio.timeout_at(loop.time() + self._config.connect_us / 1e6):
            reader, writer = await asyncio.open_connection(portal_address.host, portal_address.port)
            keep_alive(writer)
            session = EndpointSession(reader, writer, self._counters)
            try:
                await session.login(self._config, target)
            except BaseException:
                writer.close()
                raise
        return session


def _is_usable(login_task: asyncio.Task[EndpointSession], keepalive_us: int) -> bool:
    """Returns whether an ended login has left a session that accepts commands.

    A session that has been idle for too long is ended, before the node may end it.
    """
    if login_task.cancelled() or login_task.exception() is not None:
        return False
    session = login_task.result()
    if session.idle_s > keepalive_us * IDLE_LIMIT_FRACTION / 1e6:
        session.end()
    return not session.closing

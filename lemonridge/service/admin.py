"""Handles operators' calls and the handover between two processes of one broker."""

from __future__ import annotations

import asyncio
import contextlib
import logging
from collections.abc import Callable

import orjson

from lemonridge.config.address import Address
from lemonridge.core.endpoint_registry import EndpointAddress
from lemonridge.net.admin_server import AdminServer
from lemonridge.net.http_front import HttpFront
from lemonridge.net.process_handover import ProcessHandover
from lemonridge.operate.admin_calls import POLICY_CALLS, AdminCall, AdminReply, AdminRequest, ReplyText
from lemonridge.operate.handover import FIRST_LIST_TIMEOUT_US, HandedOverEndpoint, HandoverState
from lemonridge.operate.lifecycle import Lifecycle, Phase
from lemonridge.operate.maintenance import Bans
from lemonridge.service.service import Service

log = logging.getLogger(__name__)


def fleet_reply(service: Service) -> AdminReply:
    """Returns this broker's view of the fleet as JSON."""
    if service.peers is None:
        return AdminReply(False, ReplyText.NO_PEERS)
    return AdminReply(True, orjson.dumps(service.peers.report()).decode())


def policy_reply(service: Service, request: AdminRequest) -> AdminReply:
    """Returns the reply to a call about the fleet's policy."""
    if service.coordinator is None:
        return AdminReply(False, ReplyText.NO_FLEET_POLICY)
    return service.coordinator.act(request)


class AdminService:
    """Handles calls from operators and from the other process of this broker.

    Args:
        service: The platform's service.
        front: Its HTTP front.
        lifecycle: The drain, handover and stop state of this process.
    """

    def __init__(self, service: Service, front: HttpFront, lifecycle: Lifecycle) -> None:
        self._service = service
        self._registry, self._decision_host = service.registry, service.decision_host
        self._clock = service.clock
        self._front, self._lifecycle = front, lifecycle
        self._handover: ProcessHandover | None = None
        self._taking_over = False

    # Operators' calls

    async def handle(self, request: AdminRequest) -> AdminReply:
        """Carries out a call and returns the reply.

        During a handover, a successful ban or drain call is forwarded to the other process, so that it takes
        effect in both.
        """
        if request.call is AdminCall.READY:
            return self._ready()
        if request.call is AdminCall.FLEET:
            return fleet_reply(self._service)
        if request.call in POLICY_CALLS:
            return policy_reply(self._service, request)
        if self._taking_over:
            return AdminReply(False, ReplyText.TAKING_OVER)
        reply = self.apply(request)
        if reply.done and self._handover is not None and not await self._handover.forward(request):
            return AdminReply(False, ReplyText.OTHER_PROCESS_SILENT)
        return reply

    def apply(self, request: AdminRequest) -> AdminReply:
        """Sets or lifts a ban, or starts or ends a drain, in this process only."""
        if request.call is AdminCall.DISABLE:
            done = self._registry.disable(request.endpoint_id)
            return AdminReply(done, ReplyText.BANNED if done else ReplyText.BAN_REJECTED)
        if request.call is AdminCall.ENABLE:
            done = self._registry.enable(request.endpoint_id)
            return AdminReply(done, ReplyText.BAN_ENDED if done else ReplyText.UNKNOWN_ENDPOINT)
        if request.call is AdminCall.DRAIN:
            done = self._lifecycle.drain(self._clock.now_us())
        else:
            done = self._lifecycle.resume()
        self._front.on_lifecycle_changed()
        return AdminReply(done, self._lifecycle.phase.value)

    def _ready(self) -> AdminReply:
        """Returns the reply to `ready`: whether this process can serve. A draining process still can."""
        phase = self._lifecycle.phase
        if phase is Phase.STOPPING:
            return AdminReply(False, phase.value)
        if not self._registry.has_list:
            return AdminReply(False, ReplyText.NO_ENDPOINT_LIST)
        return AdminReply(self._front.listener.is_listening or phase is Phase.HANDED_OVER, phase.value)

    # Handover: this process is the successor

    async def take_over(self, handover: ProcessHandover) -> None:
        """Takes over from the serving process, if there is one, and listens for the next successor.

        Waits up to `FIRST_LIST_TIMEOUT_US` for a list from discovery first, so that the first request uses
        that list and not a cached one. If discovery does not answer, the predecessor's list is used, since it
        is newer than the cached one.
        """
        self._taking_over = True
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout_at(
                self._clock.loop_time(self._clock.now_us() + FIRST_LIST_TIMEOUT_US)
            ):
                await self._registry.source_has_answered.wait()
        state = await handover.take_over()
        if state is not None:
            self._import_state(state.rebased(self._clock.base_us))
        await handover.listen()
        self._handover, self._taking_over = handover, False

    def _import_state(self, state: HandoverState) -> None:
        """Applies the predecessor's state, with its endpoint list only if discovery has not answered yet."""
        self._registry.import_list(
            [EndpointAddress(listed.endpoint, listed.address) for listed in state.endpoints]
        )
        self._registry.import_start_times(state.start_times)
        self._registry.import_bans(Bans(state.banned, state.returned))
        if state.drain_began_us is not None:
            self._lifecycle.drain(state.drain_began_us)
        self._decision_host.import_limits(state.limit_levels)
        if self._service.peers is not None:
            self._service.peers.resume_lending()
        log.info(
            "taken over",
            extra={
                "banned": len(state.banned),
                "limits": len(state.limit_levels),
                "draining": state.drain_began_us is not None,
            },
        )

    # Handover: this process is the predecessor

    def export_state(self) -> HandoverState:
        """Stops accepting connections and returns the state for the successor.

        Both happen in one step, with the end of its membership in the fleet: otherwise both processes would
        spend from the same limits, or one would lend what the other one uses.
        """
        self._front.listener.stop_accepting()
        self._lifecycle.hand_over(self._clock.now_us())
        self._front.on_lifecycle_changed()
        if self._service.peers is not None:
            self._service.peers.hand_over()
        bans = self._registry.export_bans()
        log.info("handed over", extra={"open_requests": self._decision_host.open_requests})
        return HandoverState(
            banned=bans.banned,
            returned=bans.returned,
            drain_began_us=self._lifecycle.drain_began_us,
            limit_levels=self._decision_host.export_limits(),
            endpoints=tuple(
                HandedOverEndpoint(listed.endpoint, listed.address) for listed in self._registry.source_list()
            ),
            start_times=self._registry.export_start_times(),
            clock_base_us=self._clock.base_us,
        )

    def undo_handover(self) -> None:
        """Resumes serving after the successor has gone, unless this process is stopping."""
        if not self._lifecycle.undo_handover():
            return
        log.warning("successor gone, serving again")
        self._decision_host.import_limits({})
        if self._service.peers is not None:
            self._service.follow(self._service.peers.rejoin(), "peers")
        self._front.on_lifecycle_changed()
        self._listen_task = asyncio.create_task(self._resume_listening())

    def set_processes(self, processes: int) -> None:
        """Sets the number of running processes, which share the broker's limit of open requests."""
        self._decision_host.set_processes(processes)

    async def _resume_listening(self) -> None:
        """Accepts clients and a successor again."""
        await self._front.listen()
        if self._handover is not None:
            await self._handover.listen()

    def stop(self) -> None:
        """Closes the connection to the other process."""
        if self._handover is not None:
            self._handover.stop()


async def listen_for_fleet_calls(
    service: Service, address: Address, front_listens: Callable[[], bool]
) -> None:
    """Starts the operators' server of a broker without the platform's front; it handles fleet calls only.

    Args:
        service: The service of the broker's only front.
        address: The address to listen on for operators' calls.
        front_listens: Returns whether the front accepts client connections.

    Raises:
        OSError: The server cannot listen on the address.
    """

    async def handle_call(request: AdminRequest) -> AdminReply:
        """Returns the reply to one call."""
        if request.call is AdminCall.FLEET:
            return fleet_reply(service)
        if request.call is AdminCall.READY:
            if service.coordinator is not None and not service.coordinator.has_lease():
                return AdminReply(False, ReplyText.NO_POLICY)
            if not front_listens():
                return AdminReply(False, ReplyText.NOT_LISTENING)
            has_list = service.registry.has_list
            return AdminReply(has_list, ReplyText.SERVING if has_list else ReplyText.NO_ENDPOINT_LIST)
        if request.call in POLICY_CALLS:
            return policy_reply(service, request)
        return AdminReply(False, ReplyText.NOT_ANSWERED_HERE)

    server = AdminServer(handle_call, service.counters)
    await server.start(address)
    service.on_stop.append(server.stop)

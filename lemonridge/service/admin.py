"""Carries out the operators' calls, and the handover to the successor process."""

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
from lemonridge.scheduling.events import EndpointListUpdate
from lemonridge.service.service import Service

log = logging.getLogger(__name__)


def fleet_reply(service: Service) -> AdminReply:
    """The fleet as this broker sees it, in JSON."""
    if service.peers is None:
        return AdminReply(False, ReplyText.NO_PEERS)
    return AdminReply(True, orjson.dumps(service.peers.report()).decode())


def policy_reply(service: Service, request: AdminRequest) -> AdminReply:
    """The reply to a call about the fleet's policy."""
    if service.coordinator is None:
        return AdminReply(False, ReplyText.NO_FLEET_POLICY)
    return service.coordinator.act(request)


class AdminService:
    """Carries out calls of operators and of the other process of this broker."""

    def __init__(self, service: Service, front: HttpFront, lifecycle: Lifecycle) -> None:
        self._service = service
        self._registry, self._decision_host = service.registry, service.decision_host
        self._clock = service.clock
        self._front, self._lifecycle = front, lifecycle
        self._handover: ProcessHandover | None = None
        self._taking_over = False

    # Operators' calls

    async def handle(self, request: AdminRequest) -> AdminReply:
        """The reply to one call; a call that is done holds in the other process too, if there is one."""
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
        """Carries out a ban, the end of one, a drain or a resume, in this process alone."""
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
        """Whether this process can serve; one that drains could, it only asks not to be used."""
        phase = self._lifecycle.phase
        if phase is Phase.STOPPING:
            return AdminReply(False, phase.value)
        if not self._registry.has_list:
            return AdminReply(False, ReplyText.NO_ENDPOINT_LIST)
        return AdminReply(self._front.listener.is_listening or phase is Phase.HANDED_OVER, phase.value)

    # Handover: this process as the successor

    async def take_over(self, handover: ProcessHandover) -> None:
        """Takes over from the process that serves, if there is one, and becomes the one to ask.

        It waits for discovery's own list first, so that the first request goes by that and not by a cached
        list; where discovery is silent, the predecessor's list is newer than the cached one.
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
        if not self._registry.source_has_answered.is_set():
            endpoints = [EndpointAddress(one.endpoint, one.address) for one in state.endpoints]
            self._registry.update(EndpointListUpdate.CACHED, endpoints)
        self._registry.import_start_times(state.start_times)
        self._registry.import_bans(Bans(state.banned, state.returned))
        if state.drain_began_us is not None:
            self._lifecycle.drain(state.drain_began_us)
        self._decision_host.import_limits(state.limit_levels)
        log.info(
            "taken over",
            extra={
                "banned": len(state.banned),
                "limits": len(state.limit_levels),
                "draining": state.drain_began_us is not None,
            },
        )

    # Handover: this process as the predecessor

    def export_state(self) -> HandoverState:
        """Stops accepting connections and returns what the successor goes on from.

        Both in one step, or two processes would draw on the same limit.
        """
        self._front.listener.stop_accepting()
        self._lifecycle.hand_over(self._clock.now_us())
        self._front.on_lifecycle_changed()
        bans = self._registry.export_bans()
        log.info("handed over", extra={"open_requests": self._decision_host.open_requests})
        return HandoverState(
            banned=bans.banned,
            returned=bans.returned,
            drain_began_us=self._lifecycle.drain_began_us,
            limit_levels=self._decision_host.export_limits(),
            endpoints=tuple(
                HandedOverEndpoint(one.endpoint, one.address) for one in self._registry.source_list()
            ),
            start_times=self._registry.export_start_times(),
            clock_base_us=self._clock.base_us,
        )

    def undo_handover(self) -> None:
        """Serves again, as the successor is gone, unless this process is to stop."""
        if not self._lifecycle.undo_handover():
            return
        log.warning("successor gone, serving again")
        self._decision_host.import_limits({})
        self._front.on_lifecycle_changed()
        self._listen_task = asyncio.create_task(self._listen_again())

    def set_processes(self, processes: int) -> None:
        """The processes share what clients may hold of the broker."""
        self._decision_host.set_processes(processes)

    async def _listen_again(self) -> None:
        await self._front.listen()
        if self._handover is not None:
            await self._handover.listen()

    def stop(self) -> None:
        """Ends the connection to the other process."""
        if self._handover is not None:
            self._handover.stop()


async def listen_for_fleet_calls(
    service: Service, address: Address, front_listens: Callable[[], bool]
) -> None:
    """Answers calls about the fleet at a broker without the platform's front.

    Args:
        service: The broker's one front.
        address: Where operators call.
        front_listens: Whether clients can connect.

    Raises:
        OSError: The address cannot be had.
    """

    async def reply_to(request: AdminRequest) -> AdminReply:
        """The reply to one call."""
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

    server = AdminServer(reply_to, service.counters)
    await server.start(address)
    service.on_stop.append(server.stop)

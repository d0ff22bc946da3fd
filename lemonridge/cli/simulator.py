"""Adapter between the simulator's wire protocol and the scheduler; it makes no decisions itself.

Reads one JSON batch per line from standard input and writes one JSON reply per line to standard output
(WIRE). This module alone knows the event names, order names and field positions of the protocol: it has a
decoder for each event and an encoder for each action.
"""

from __future__ import annotations

import json
import sys
from collections.abc import Callable, Iterable
from typing import Any, TextIO

from lemonridge.config.scheduler_settings import SettingsError, parse_settings
from lemonridge.fleet.actions import SendDatagram
from lemonridge.fleet.member_list import MEMBERS_MAX, MemberList
from lemonridge.fleet.scheduler_bridge import SchedulerBridge, handle_batch
from lemonridge.scheduling import Scheduler
from lemonridge.scheduling.actions import (
    Action,
    Cancel,
    Fail,
    Reject,
    Send,
    SetTimer,
    SlowStartBegan,
    Subscribe,
)
from lemonridge.scheduling.context import ANY_SHARD
from lemonridge.scheduling.events import (
    AttemptEnded,
    AttemptResult,
    ClientDisconnected,
    Endpoint,
    EndpointListUpdate,
    EndpointsChanged,
    EndpointState,
    Event,
    RequestArrived,
    ResponseStarted,
    TimerFired,
)

WireItem = list[Any]  # an event or an order: its name, the number of an instance or page, its values
Datagram = tuple[int, bytes]  # the sending instance's number, and the payload

ATTEMPT_RESULTS = {
    0: AttemptResult.OK,
    255: AttemptResult.ERROR,
    254: AttemptResult.QUEUE_FULL,
    253: AttemptResult.TIMEOUT,
    252: AttemptResult.CONNECT_FAILED,
    251: AttemptResult.RESET,
    250: AttemptResult.CANCELLED,
    249: AttemptResult.NOT_SENT,
}
LIST_UPDATES = {
    "patch": EndpointListUpdate.DELTA,
    "whole": EndpointListUpdate.SNAPSHOT,
    "stale_copy": EndpointListUpdate.CACHED,
    "broken": EndpointListUpdate.WATCH_FAILED,
}
ENDPOINT_STATES = {
    "active": EndpointState.ACTIVE,
    "leaving": EndpointState.DRAINING,
    "left": EndpointState.REMOVED,
}
CLIENT_RETRY_FLAG = 2  # bit of `opts` in `inbound`


class WireError(Exception):
    """A line that violates the wire protocol; the message is a single line."""


# Events


def decode_endpoint(entry: WireItem) -> Endpoint:
    """Decodes an entry of a page of the endpoint list."""
    return Endpoint(
        endpoint_id=entry[5],
        shard=entry[4],
        zone=entry[6],
        state=ENDPOINT_STATES[entry[1]],
        started_us=entry[3] or 0,
    )


def decode_request_arrived(item: WireItem) -> RequestArrived:
    """Decodes `inbound`: a request arrived."""
    return RequestArrived(
        request=item[2],
        shard=ANY_SHARD if item[3] is None else int(item[3]),
        volume=item[4],
        deadline_us=item[6],
        key=item[7],
        cls=item[8],
        plan=item[9],
        units=item[10],
        hosts=item[11],
        repeat=bool((item[5] or 0) & CLIENT_RETRY_FLAG),
    )


def decode_attempt_ended(item: WireItem) -> AttemptEnded:
    """Decodes `completed`: an attempt ended. Its last three values are optional."""
    return AttemptEnded(
        request=item[2],
        attempt=item[3],
        endpoint_id=item[4],
        result=ATTEMPT_RESULTS[item[5]],
        latency_us=item[6],
        finished=bool(item[7]),
        volume_units=item[8] if len(item) > 8 else None,
        peer_units=item[9] if len(item) > 9 else None,
        endpoint_outstanding=_outstanding(item[10]) if len(item) > 10 else None,
    )


def _outstanding(load_report: Any) -> float | None:
    """Returns the number of requests at the endpoint from its load report; None if the report lacks it."""
    requests = load_report.get("busy_reqs") if isinstance(load_report, dict) else None
    if isinstance(requests, (int, float)) and not isinstance(requests, bool):
        return float(requests)
    return None


EVENT_DECODERS: dict[str, Callable[[WireItem], Event]] = {
    "completed": decode_attempt_ended,
    "inbound": decode_request_arrived,
    "wake": lambda item: TimerFired(),
    "left": lambda item: ClientDisconnected(item[2]),
    "first": lambda item: ResponseStarted(item[2], item[3]),
}

# Actions

ACTION_ENCODERS: dict[type[Action], Callable[[int, Any], WireItem]] = {
    Send: lambda instance_id, send: ["issue", instance_id, send.request, send.endpoint_id, 0],
    Cancel: lambda instance_id, cancel: ["undo-send", instance_id, cancel.request, cancel.attempt],
    Reject: lambda instance_id, reject: ["push-back", instance_id, reject.request, reject.backoff_us],
    Fail: lambda instance_id, fail: ["drop-request", instance_id, fail.request],
    SetTimer: lambda instance_id, timer: ["schedule", instance_id, 0, timer.at_us],
    Subscribe: lambda instance_id, subscribe: ["stream-changes", instance_id, True],
}


def encode_actions(instance_id: int, actions: Iterable[Action]) -> list[WireItem]:
    """Encodes an instance's actions as orders; `SlowStartBegan` has no order and is left out."""
    return [
        ACTION_ENCODERS[type(action)](instance_id, action)
        for action in actions
        if not isinstance(action, SlowStartBegan)
    ]


class Instance:
    """One simulated broker: its scheduler and, if it exchanges datagrams, its fleet membership.

    Args:
        raw_settings: The settings in the `provision` event.
        seed: The random seed of the `provision` event.
        now_us: The simulator's time in microseconds.
        peers: Whether the instance exchanges datagrams with the others, if its settings allow it.

    Raises:
        SettingsError: The settings cannot be used.
    """

    def __init__(self, raw_settings: Any, seed: int, now_us: int, peers: bool) -> None:
        settings = parse_settings(raw_settings)
        self.scheduler = Scheduler(settings, seed)
        self.bridge: SchedulerBridge | None = None
        if peers and raw_settings["limits"].get("peers") and 2 <= settings.hosts <= MEMBERS_MAX:
            member_list = MemberList(tuple(map(str, range(settings.hosts))), int(raw_settings["me"]))
            self.bridge = SchedulerBridge(member_list, now_us // 1000, seed, now_us, settings)

    def handle(
        self, now_us: int, events: list[Event], datagrams: list[Datagram]
    ) -> tuple[list[Action], list[SendDatagram]]:
        """Handles the events of one batch.

        Args:
            now_us: The simulator's time in microseconds.
            events: The events of the batch, in their order.
            datagrams: The datagrams received from other instances.

        Returns:
            The scheduler's actions, and the datagrams to send.
        """
        if self.bridge is None:
            return self.scheduler.handle(now_us, events), []
        actions, sends = handle_batch(self.scheduler.handle, self.bridge, now_us, events, datagrams)
        return [*actions, SetTimer(self.bridge.next_timer_us)], sends


class Host:
    """All simulated brokers of one process; they share only the pages of the endpoint list.

    Args:
        peers: Whether the instances exchange datagrams.

    Attributes:
        instances: The instances by number.
        pages: The pages of the endpoint list by number.
        datagrams: Received datagrams that are not handled yet, by instance.
    """

    def __init__(self, peers: bool = False) -> None:
        self.instances: dict[int, Instance] = {}
        self.pages: dict[int, tuple[Endpoint, ...]] = {}
        self.datagrams: dict[int, list[Datagram]] = {}
        self._peers = peers
        self._now_us = 0
        self._events: dict[int, list[Event]] = {}  # of the current batch, by instance

    def batch(self, line: str) -> str:
        """Handles one batch and returns the reply, without a line end.

        Raises:
            WireError: The line is not a batch, or one of its events is malformed or unknown.
            SettingsError: The settings of a new instance cannot be used.
        """
        try:
            message = json.loads(line)
            now_us, items = message["time-us"], message["happened"]
            if type(now_us) is not int or not isinstance(items, list):
                raise TypeError
        except (ValueError, KeyError, TypeError):
            raise WireError("a batch must be an object with 'time-us' and 'happened'") from None
        self._now_us, self._events = now_us, {}
        for item in items:
            try:
                self._apply(item)
            except (WireError, SettingsError):
                raise
            except (ValueError, KeyError, TypeError, IndexError, AttributeError):
                raise WireError(f"malformed event: {str(item)[:120]}") from None
        orders: list[WireItem] = []
        for instance_id, events in self._events.items():
            orders.extend(self._decide(instance_id, events))
        return json.dumps({"orders": orders}, separators=(",", ":"))

    def _apply(self, item: WireItem) -> None:
        """Applies one event of a batch to the pages, to the instances, or to the events of an instance."""
        event_name, number = item[0], item[1]  # of the page for `page`, else of the instance
        if event_name == "page":
            self.pages[number] = tuple(map(decode_endpoint, item[2]))
        elif event_name == "provision":
            self.instances[number] = Instance(item[3], int(item[2]), self._now_us, self._peers)
            self.datagrams.pop(number, None)
            self._events[number] = []
        elif number not in self.instances:
            raise WireError(f"event '{event_name}' for an unknown instance: {number}")
        elif event_name == "kill":
            del self.instances[number]
            self._events.pop(number, None)
        else:
            self._apply_to_instance(event_name, number, item)

    def _apply_to_instance(self, event_name: Any, instance_id: int, item: WireItem) -> None:
        """Queues an event or a datagram for an instance; it is handled at the end of the batch."""
        if event_name == "peer-data":
            self.datagrams.setdefault(instance_id, []).append((int(item[2]), bytes.fromhex(item[3])))
            self._events.setdefault(instance_id, [])
        elif event_name == "pong":
            self._events.setdefault(instance_id, [])
        elif event_name == "discovery":
            event = self._endpoints_changed(item)
            self._events.setdefault(instance_id, []).append(event)
        elif isinstance(event_name, str) and event_name in EVENT_DECODERS:
            decoded = EVENT_DECODERS[event_name](item)
            self._events.setdefault(instance_id, []).append(decoded)
        else:
            raise WireError(f"unknown event '{event_name}'")

    def _endpoints_changed(self, item: WireItem) -> EndpointsChanged:
        """Decodes `discovery`, which refers to a page, except when the watch has failed."""
        update_kind = LIST_UPDATES[item[2]]
        failed = update_kind is EndpointListUpdate.WATCH_FAILED
        return EndpointsChanged(update_kind, () if failed else self.pages[item[4]])

    def _decide(self, instance_id: int, events: list[Event]) -> list[WireItem]:
        """Returns the orders of an instance; an exception is reported as a `fault`, as WIRE requires."""
        try:
            actions, sends = self.instances[instance_id].handle(
                self._now_us, events, self.datagrams.pop(instance_id, [])
            )
        except Exception as error:
            return [["fault", instance_id, f"{type(error).__name__}: {error}"]]
        datagram_orders: list[WireItem] = [
            ["memo-to", instance_id, send.to, send.data.hex()] for send in sends
        ]
        return encode_actions(instance_id, actions) + datagram_orders


def run(source: TextIO, sink: TextIO, peers: bool = False) -> None:
    """Handles every line of `source` until it ends; `peers` is whether the instances exchange datagrams."""
    host = Host(peers)
    for line in source:
        sink.write(host.batch(line) + "\n")
        sink.flush()


def main() -> int:
    """Handles standard input; exits with status 2 and a one-line error at the first malformed line."""
    try:
        run(sys.stdin, sys.stdout, sys.argv[1:] == ["--peers"])
    except (WireError, SettingsError) as error:
        print(f"lemonridge: {error}", file=sys.stderr)
        return 2
    except UnicodeDecodeError:
        print("lemonridge: a line is not UTF-8", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())

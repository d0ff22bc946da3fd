"""Adapter between the simulator's wire and the scheduler. It decides nothing.

One JSON batch a line on standard input, one JSON reply a line on standard output (WIRE). The wire's words and
positions stand in this module alone: a decoder for each event, an encoder for each action.
"""

from __future__ import annotations

import json
import sys
from collections.abc import Callable, Iterable
from typing import Any, TextIO

from lemonridge.config.scheduler_settings import SettingsError, parse_settings
from lemonridge.fleet.actions import SendDatagram
from lemonridge.fleet.member_list import MEMBERS_MAX, MemberList
from lemonridge.fleet.scheduler_bridge import SchedulerBridge, decide
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

WireItem = list[Any]  # an event or an order of a batch: its word, its instance, its values
Datagram = tuple[int, bytes]  # the sending instance's number, and what it sent

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
CLIENT_RETRY_FLAG = 2  # of a request's `opts`


class WireError(Exception):
    """A line that the wire does not allow; the message is one plain line."""


# Events


def decode_endpoint(row: WireItem) -> Endpoint:
    """Decodes a row of a page of the endpoint list."""
    return Endpoint(
        endpoint_id=row[5],
        shard=row[4],
        zone=row[6],
        state=ENDPOINT_STATES[row[1]],
        started_us=row[3] or 0,
    )


def decode_request_arrived(item: WireItem) -> RequestArrived:
    """Decodes `inbound`."""
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
    """Decodes `completed`, whose last three values may be left out."""
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
    """The requests at the endpoint by its load report; None where it does not say."""
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
    Send: lambda who, send: ["issue", who, send.request, send.endpoint_id, 0],
    Cancel: lambda who, cancel: ["undo-send", who, cancel.request, cancel.attempt],
    Reject: lambda who, reject: ["push-back", who, reject.request, reject.backoff_us],
    Fail: lambda who, fail: ["drop-request", who, fail.request],
    SetTimer: lambda who, timer: ["schedule", who, 0, timer.at_us],
    Subscribe: lambda who, subscribe: ["stream-changes", who, True],
}


def encode_actions(who: int, actions: Iterable[Action]) -> list[WireItem]:
    """Encodes an instance's actions as orders; the wire has no word for the start of a slow start."""
    return [
        ACTION_ENCODERS[type(action)](who, action)
        for action in actions
        if not isinstance(action, SlowStartBegan)
    ]


class Instance:
    """One broker of the simulator: its scheduler, and its part in the fleet where it speaks to the others."""

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
        """Handles the events of one moment.

        Args:
            now_us: The simulator's time in microseconds.
            events: The events.
            datagrams: What other instances have sent.

        Returns:
            The scheduler's actions, and the datagrams to send.
        """
        if self.bridge is None:
            return self.scheduler.handle(now_us, events), []
        actions, sends = decide(self.scheduler.handle, self.bridge, now_us, events, datagrams)
        return [*actions, SetTimer(self.bridge.next_timer_us)], sends


class Host:
    """All instances of one process; they share nothing but the pages of the endpoint list.

    Args:
        peers: Lets the instances speak to each other.

    Attributes:
        instances: By their numbers.
        pages: The pages of the endpoint list, by their numbers.
        datagrams: Received for each instance, and not handled yet.
    """

    def __init__(self, peers: bool = False) -> None:
        self.instances: dict[int, Instance] = {}
        self.pages: dict[int, tuple[Endpoint, ...]] = {}
        self.datagrams: dict[int, list[Datagram]] = {}
        self._peers = peers
        self._now_us = 0
        self._events: dict[int, list[Event]] = {}  # of the batch that is read, by instance

    def batch(self, line: str) -> str:
        """Answers one line.

        Raises:
            WireError: The line is no batch, or one of its events is malformed.
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
        for who, events in self._events.items():
            orders.extend(self._decide(who, events))
        return json.dumps({"orders": orders}, separators=(",", ":"))

    def _apply(self, item: WireItem) -> None:
        """Applies one item of a batch: to the pages, the instances, or the events of an instance."""
        word, who = item[0], item[1]
        if word == "page":
            self.pages[who] = tuple(map(decode_endpoint, item[2]))
        elif word == "provision":
            self.instances[who] = Instance(item[3], int(item[2]), self._now_us, self._peers)
            self.datagrams.pop(who, None)
            self._events[who] = []
        elif who not in self.instances:
            raise WireError(f"event '{word}' for an unknown instance: {who}")
        elif word == "kill":
            del self.instances[who]
            self._events.pop(who, None)
        else:
            self._apply_to_instance(word, who, item)

    def _apply_to_instance(self, word: Any, who: int, item: WireItem) -> None:
        """Adds an event or a datagram for an instance, which is handled at the end of the batch."""
        if word == "peer-data":
            self.datagrams.setdefault(who, []).append((int(item[2]), bytes.fromhex(item[3])))
            self._events.setdefault(who, [])
        elif word == "pong":
            self._events.setdefault(who, [])
        elif word == "discovery":
            event = self._endpoints_changed(item)
            self._events.setdefault(who, []).append(event)
        elif isinstance(word, str) and word in EVENT_DECODERS:
            decoded = EVENT_DECODERS[word](item)
            self._events.setdefault(who, []).append(decoded)
        else:
            raise WireError(f"unknown event '{word}'")

    def _endpoints_changed(self, item: WireItem) -> EndpointsChanged:
        """Decodes `discovery`, which names a page; a failed watch has none."""
        kind = LIST_UPDATES[item[2]]
        failed = kind is EndpointListUpdate.WATCH_FAILED
        return EndpointsChanged(kind, () if failed else self.pages[item[4]])

    def _decide(self, who: int, events: list[Event]) -> list[WireItem]:
        """Lets an instance decide; an exception is reported, as the wire wants a broken policy reported."""
        try:
            actions, sends = self.instances[who].handle(self._now_us, events, self.datagrams.pop(who, []))
        except Exception as error:
            return [["fault", who, f"{type(error).__name__}: {error}"]]
        memos: list[WireItem] = [["memo-to", who, send.to, send.data.hex()] for send in sends]
        return encode_actions(who, actions) + memos


def run(source: TextIO, sink: TextIO, peers: bool = False) -> None:
    """Answers every line of `source` until it ends; `peers` lets the instances speak to each other."""
    host = Host(peers)
    for line in source:
        sink.write(host.batch(line) + "\n")
        sink.flush()


def main() -> int:
    """Serves standard input; a malformed line ends it with one plain line on standard error."""
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

"""Adapter between the simulator's wire and the decision module. It decides nothing.

One JSON batch a line on standard input, one JSON reply a line on standard output.
"""

from __future__ import annotations

import json
import sys
from collections.abc import Iterable
from typing import Any, TextIO

from lemonridge.config.scheduler_settings import SettingsError, settings_from
from lemonridge.fleet.fleet_member import SendDatagram
from lemonridge.fleet.member_list import MEMBERS_MAX, MemberList
from lemonridge.fleet.scheduler_bridge import SchedulerBridge, decide
from lemonridge.scheduling import Scheduler
from lemonridge.scheduling.actions import Action, Cancel, Fail, Reject, Send, SetTimer, SlowStartBegan
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

RESULTS = {
    0: AttemptResult.OK,
    255: AttemptResult.ERROR,
    254: AttemptResult.QUEUE_FULL,
    253: AttemptResult.TIMEOUT,
    252: AttemptResult.CONNECT_FAILED,
    251: AttemptResult.RESET,
    250: AttemptResult.CANCELLED,
    249: AttemptResult.NOT_SENT,
}
LIST_KINDS = {
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


REPEAT = 2  # of `opts`: a client's repeat


class WireError(Exception):
    """A line that the wire does not allow; the text is fit to print."""


def _entry(row: list[Any]) -> Endpoint:
    return Endpoint(
        endpoint_id=row[5],
        shard=row[4],
        zone=row[6],
        condition=ENDPOINT_STATES[row[1]],
        started_us=row[3] or 0,
    )


def _arrived(item: list[Any]) -> RequestArrived:
    return RequestArrived(
        request=item[2],
        shard=-1 if item[3] is None else int(item[3]),
        volume=item[4],
        deadline_us=item[6],
        key=item[7],
        cls=item[8],
        plan=item[9],
        units=item[10],
        hosts=item[11],
        repeat=bool((item[5] or 0) & REPEAT),
    )


def _ended(item: list[Any]) -> AttemptEnded:
    return AttemptEnded(
        request=item[2],
        attempt=item[3],
        endpoint_id=item[4],
        result=RESULTS[item[5]],
        latency_us=item[6],
        finished=bool(item[7]),
        volume_units=item[8] if len(item) > 8 else None,
        peer_units=item[9] if len(item) > 9 else None,
        endpoint_outstanding=_held(item[10]) if len(item) > 10 else None,
    )


def _held(report: Any) -> float | None:
    """The requests that a load report says the node holds; None where it does not say."""
    held = report.get("busy_reqs") if isinstance(report, dict) else None
    return float(held) if isinstance(held, (int, float)) and not isinstance(held, bool) else None


def _order(who: int, action: Action) -> list[Any]:
    if isinstance(action, Send):
        return ["issue", who, action.request, action.endpoint_id, 0]
    if isinstance(action, Cancel):
        return ["undo-send", who, action.request, action.attempt]
    if isinstance(action, Reject):
        return ["push-back", who, action.request, action.backoff_us]
    if isinstance(action, Fail):
        return ["drop-request", who, action.request]
    if isinstance(action, SetTimer):
        return ["schedule", who, 0, action.at_us]
    return ["stream-changes", who, True]


class Instance:
    """One broker: its scheduler, and its part in the fleet where it speaks to the others."""

    def __init__(self, facts: Any, seed: int, now: int, peers: bool) -> None:
        settings = settings_from(facts)
        self.scheduler = Scheduler(settings, seed)
        self.bridge: SchedulerBridge | None = None
        if peers and facts["limits"].get("peers") and 2 <= settings.hosts <= MEMBERS_MAX:
            member_list = MemberList(tuple(map(str, range(settings.hosts))), int(facts["me"]))
            self.bridge = SchedulerBridge(member_list, now // 1000, seed, now, settings)

    def handle(
        self, now: int, events: list[Event], heard: list[tuple[int, bytes]]
    ) -> tuple[list[Action], list[SendDatagram]]:
        """Decide: the decisions go by what the fleet's machine has before they are told anything else."""
        bridge = self.bridge
        if bridge is None:
            return self.scheduler.handle(now, events), []
        actions, tells = decide(self.scheduler.handle, bridge, now, events, heard)
        return [*actions, SetTimer(bridge.next_timer_us)], tells


class Host:
    """All instances of one process; they share nothing but the pages of list entries."""

    def __init__(self, peers: bool = False) -> None:
        self.instances: dict[int, Instance] = {}
        self.pages: dict[int, tuple[Endpoint, ...]] = {}
        self.heard: dict[int, list[tuple[int, bytes]]] = {}
        self.peers, self.now = peers, 0

    def batch(self, line: str) -> str:
        """Answer one line."""
        try:
            message = json.loads(line)
            now, happened = message["time-us"], message["happened"]
            if type(now) is not int or not isinstance(happened, list):
                raise TypeError
        except (ValueError, KeyError, TypeError):
            raise WireError("a batch must be an object with 'time-us' and 'happened'") from None
        waiting: dict[int, list[Event]] = {}
        self.now = now
        for item in happened:
            try:
                self._take(item, waiting)
            except (WireError, SettingsError):
                raise
            except (ValueError, KeyError, TypeError, IndexError, AttributeError):
                raise WireError(f"malformed event: {str(item)[:120]}") from None
        orders: list[list[Any]] = []
        for who, events in waiting.items():
            orders.extend(self._decide(who, now, events))
        return json.dumps({"orders": orders}, separators=(",", ":"))

    def _take(self, item: list[Any], waiting: dict[int, list[Event]]) -> None:
        name, who = item[0], item[1]
        if name == "page":
            self.pages[who] = tuple(map(_entry, item[2]))
            return
        if name == "provision":
            self.instances[who] = Instance(item[3], int(item[2]), self.now, self.peers)
            self.heard.pop(who, None)
            waiting[who] = []
            return
        if who not in self.instances:
            raise WireError(f"event '{name}' for an unknown instance: {who}")
        if name == "kill":
            del self.instances[who]
            waiting.pop(who, None)
            return
        event: Event
        if name == "completed":
            event = _ended(item)
        elif name == "inbound":
            event = _arrived(item)
        elif name == "wake":
            event = TimerFired()
        elif name == "left":
            event = ClientDisconnected(item[2])
        elif name == "first":
            event = ResponseStarted(item[2], item[3])
        elif name == "discovery":
            kind = LIST_KINDS[item[2]]
            broken = kind is EndpointListUpdate.WATCH_FAILED
            event = EndpointsChanged(kind, () if broken else self.pages[item[4]])
        elif name == "peer-data":
            self.heard.setdefault(who, []).append((int(item[2]), bytes.fromhex(item[3])))
            waiting.setdefault(who, [])
            return
        elif name == "pong":
            waiting.setdefault(who, [])
            return
        else:
            raise WireError(f"unknown event '{name}'")
        waiting.setdefault(who, []).append(event)

    def _decide(self, who: int, now: int, events: list[Event]) -> Iterable[list[Any]]:
        try:
            actions, tells = self.instances[who].handle(now, events, self.heard.pop(who, []))
        except Exception as error:  # the wire wants a broken policy reported, whatever broke
            return [["fault", who, f"{type(error).__name__}: {error}"]]
        orders = [_order(who, action) for action in actions if not isinstance(action, SlowStartBegan)]
        return [*orders, *(["memo-to", who, one.to, one.data.hex()] for one in tells)]


def run(source: TextIO, sink: TextIO, peers: bool = False) -> None:
    """Answer every line of `source` until it ends; `peers` lets the instances speak to each other."""
    host = Host(peers)
    for line in source:
        sink.write(host.batch(line) + "\n")
        sink.flush()


def main() -> int:
    """Serve standard input; a malformed line ends it with one plain line on standard error."""
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

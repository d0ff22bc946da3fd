"""Faults to plant in the real program, for the soak that has to find them; `cli/mutant.py` plants one."""

from __future__ import annotations

import signal
from collections.abc import Callable

from lemonridge.scheduling.actions import Reject, RejectReason
from lemonridge.scheduling.events import EndpointListUpdate, EndpointState


def _loses_answers() -> None:
    from lemonridge.net.http_connection import Connection

    real, count = Connection._next_request, [0]

    def next_request(self: Connection) -> None:
        count[0] += 1
        if count[0] % 50 == 0:
            self._drops_input = True
        real(self)

    Connection._next_request = next_request  # type: ignore[method-assign]


def _repeats_anything() -> None:
    from lemonridge.scheduling.retries import RetryRules

    RetryRules.repeatable = lambda self, request, endpoint: True  # type: ignore[method-assign]


def _sends_to_draining() -> None:
    from lemonridge.core.endpoint_registry import EndpointAddress, EndpointRegistry

    real = EndpointRegistry._publish

    def tell(self: EndpointRegistry, kind: EndpointListUpdate, changes: list[EndpointAddress]) -> None:
        real(self, kind, [one for one in changes if one.endpoint.state is EndpointState.ACTIVE])

    EndpointRegistry._publish = tell  # type: ignore[method-assign]


def _floods_cold_nodes() -> None:
    from lemonridge.scheduling.slow_start import SlowStart

    SlowStart.in_slow_start = lambda self, endpoint: False  # type: ignore[method-assign]


def _knows_no_limit() -> None:
    from lemonridge.scheduling.token_bucket import TokenBucket

    TokenBucket.wait_us = lambda self, units, now_us: 0  # type: ignore[method-assign]


def _sends_for_the_gone() -> None:
    from lemonridge.core.broker import Broker
    from lemonridge.core.decision_host import DecisionHost

    Broker.disconnect = lambda self, mailbox: None  # type: ignore[method-assign]
    DecisionHost.may_begin = lambda self, mailbox, number: True  # type: ignore[method-assign]


def _tells_the_whole_deadline() -> None:
    from lemonridge.net import http_endpoints

    http_endpoints.forwarded_deadline_ms = lambda left_us: left_us // 1000 + 400


def _refuses_anything() -> None:
    from lemonridge.scheduling import Request
    from lemonridge.scheduling.request_lifecycle import RequestLifecycle

    def reject(self: RequestLifecycle, request: Request, reason: RejectReason) -> None:
        self._context.actions.append(Reject(request.id, 0, reason))
        self.finish(request)

    RequestLifecycle.reject = reject  # type: ignore[method-assign]


def _dies_of_a_signal() -> None:
    from lemonridge.service import signals

    def handle(self: signals.SignalReceiver, number: int, action: Callable[[], object]) -> None:
        signal.signal(number, signal.SIG_DFL)

    signals.SignalReceiver.handle = handle  # type: ignore[method-assign]


MUTANTS: dict[str, tuple[Callable[[], None], str]] = {  # with the figure that has to find it
    "loses-answers": (_loses_answers, "lost"),
    "repeats-anything": (_repeats_anything, "duplicate"),
    "sends-to-draining": (_sends_to_draining, "late_drain"),
    "floods-cold-nodes": (_floods_cold_nodes, "cold_overloads"),
    "knows-no-limit": (_knows_no_limit, "limit_excess"),
    "sends-for-the-gone": (_sends_for_the_gone, "sent_after_leave"),
    "tells-the-whole-deadline": (_tells_the_whole_deadline, "deadline_over"),
    "refuses-anything": (_refuses_anything, "bad_refusals"),
    "dies-of-a-signal": (_dies_of_a_signal, "crashes"),
}

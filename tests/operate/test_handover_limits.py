"""Tests of the volume limits during a handover."""

from __future__ import annotations

import unittest

from conftest import LIMITED, SETTINGS, START, Rig

from lemonridge.scheduling.actions import Send
from lemonridge.scheduling.events import (
    AttemptEnded,
    AttemptResult,
    Endpoint,
    EndpointListUpdate,
    EndpointsChanged,
    EndpointState,
    RequestArrived,
)


class LimitHandoverTest(unittest.TestCase):
    def test_two_processes_together_stay_within_volume_limit(self) -> None:
        """Guards against a limit that counts twice after a handover.

        Neither the units saved by the predecessor nor the units refilled since the handover may be available
        in both processes.
        """

        def send_requests(rig: Rig, prefix: str, count: int) -> int:
            events = [
                RequestArrived(f"{prefix}{number}", 0, 9, rig.now_us + 1_400_000, None, 0, 1, 2.0, 1)
                for number in range(count)
            ]
            actions, sent = rig.handle(*events), 0
            while sends := [action for action in actions if isinstance(action, Send)]:
                sent += len(sends)
                actions = rig.handle(
                    *(
                        AttemptEnded(
                            send.request, 0, send.endpoint_id, AttemptResult.OK, 1000, True, None, None, None
                        )
                        for send in sends
                    )
                )
            return sent

        endpoint = Endpoint("s-1", 0, 0, EndpointState.ACTIVE, 0)
        predecessor, successor = Rig(SETTINGS), Rig(SETTINGS)
        for rig in (predecessor, successor):
            rig.handle(EndpointsChanged(EndpointListUpdate.SNAPSHOT, (endpoint,)))
        self.assertEqual(LIMITED.limit, 20.0)
        predecessor.now_us = successor.now_us = START + 30_000_000  # the bucket of 44 units is full
        send_requests(predecessor, "a", 1)
        successor.scheduler.import_limits(successor.now_us, predecessor.scheduler.export_limits())
        sent = 0
        for step in range(40):  # two seconds, in which 40 more units are refilled
            predecessor.now_us = successor.now_us = START + 30_000_000 + step * 50_000
            sent += send_requests(predecessor, f"b{step}-", 4) + send_requests(successor, f"c{step}-", 4)
        self.assertLessEqual(sent * 2.0, 42 + 40)
        self.assertGreater(sent * 2.0, 60)
        predecessor, successor = Rig(SETTINGS), Rig(SETTINGS)
        for rig in (predecessor, successor):
            rig.handle(EndpointsChanged(EndpointListUpdate.SNAPSHOT, (endpoint,)))
        predecessor.now_us = successor.now_us = START + 30_000_000
        send_requests(predecessor, "a", 1)
        successor.scheduler.import_limits(successor.now_us, predecessor.scheduler.export_limits())
        successor.now_us = predecessor.now_us = START + 31_300_000  # a single bucket would be full by now
        self.assertLessEqual(
            (send_requests(predecessor, "e", 20) + send_requests(successor, "f", 20)) * 2.0, 44
        )
        predecessor.scheduler.import_limits(predecessor.now_us, {})  # the successor has exited
        predecessor.now_us += 3_000_000
        self.assertGreater(send_requests(predecessor, "d", 4), 0)

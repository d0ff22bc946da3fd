"""The limits of volumes over a handover."""

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


class Limits(unittest.TestCase):
    def test_two_processes_together_draw_no_more_than_the_limit(self) -> None:
        """Guards the limit over a handover: what the one before saved up and what fills from then on must not
        be there twice."""

        def asked(rig: Rig, prefix: str, count: int) -> int:
            events = [
                RequestArrived(f"{prefix}{number}", 0, 9, rig.now_us + 1_400_000, None, 0, 1, 2.0, 1)
                for number in range(count)
            ]
            actions, sent = rig.handle(*events), 0
            while sends := [one for one in actions if isinstance(one, Send)]:
                sent += len(sends)
                actions = rig.handle(
                    *(
                        AttemptEnded(
                            one.request, 0, one.endpoint_id, AttemptResult.OK, 1000, True, None, None, None
                        )
                        for one in sends
                    )
                )
            return sent

        node = Endpoint("s-1", 0, 0, EndpointState.ACTIVE, 0)
        before, after = Rig(SETTINGS), Rig(SETTINGS)
        for rig in (before, after):
            rig.handle(EndpointsChanged(EndpointListUpdate.SNAPSHOT, (node,)))
        self.assertEqual(LIMITED.limit, 20.0)
        before.now_us = after.now_us = START + 30_000_000  # its bucket is full, of 44 units
        asked(before, "a", 1)
        after.scheduler.import_limits(after.now_us, before.scheduler.export_limits())
        sent = 0
        for step in range(40):  # two seconds: 40 more units fill
            before.now_us = after.now_us = START + 30_000_000 + step * 50_000
            sent += asked(before, f"b{step}-", 4) + asked(after, f"c{step}-", 4)
        self.assertLessEqual(sent * 2.0, 42 + 40)
        self.assertGreater(sent * 2.0, 60)
        before, after = Rig(SETTINGS), Rig(SETTINGS)
        for rig in (before, after):
            rig.handle(EndpointsChanged(EndpointListUpdate.SNAPSHOT, (node,)))
        before.now_us = after.now_us = START + 30_000_000
        asked(before, "a", 1)
        after.scheduler.import_limits(after.now_us, before.scheduler.export_limits())
        after.now_us = before.now_us = START + 31_300_000  # one store would be full by now
        self.assertLessEqual((asked(before, "e", 20) + asked(after, "f", 20)) * 2.0, 44)
        before.scheduler.import_limits(before.now_us, {})  # the successor is gone
        before.now_us += 3_000_000
        self.assertGreater(asked(before, "d", 4), 0)

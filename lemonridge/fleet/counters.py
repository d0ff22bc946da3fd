"""The counters of a fleet member, by the names that operators see in `fleet status` and on SIGUSR1."""

from __future__ import annotations

from collections import defaultdict

Counters = defaultdict[str, int]  # ordered by the first increment

DATAGRAMS_SENT = "datagrams.sent"
DATAGRAMS_RECEIVED = "datagrams.taken"  # accepted; rejected ones are counted by fault
BYTES_SENT = "bytes.sent"
ITEMS_DROPPED = "items.left_out"  # exceeding the byte budget or the length of an answer
ROLLOUT_DATAGRAMS_DROPPED = "posts.left_out"  # exceeding the rollout's datagram budget
LOANS_GRANTED = "loans.given"
LOANS_REFUSED = "loans.refused"
LOANS_RECEIVED = "loans.taken"
LOANS_RETURNED = "loans.returned"
FLOORS_LIFTED = "floors.over"  # by acknowledgements, before a previous incarnation's loans must have ended
HEALTH_REPORTS_AGREED = "judgements.agreed"
HEALTH_REPORTS_SINGLE = "judgements.lone"
STALLS = "stalls"  # times that this process was stalled

"""The counters of a fleet member, each with the name that operators see in `fleet status` and at SIGUSR1."""

from __future__ import annotations

from collections import defaultdict

Counters = defaultdict[str, int]  # in the order in which they were first counted

DATAGRAMS_SENT = "datagrams.sent"
DATAGRAMS_RECEIVED = "datagrams.taken"  # accepted; the others are counted by their fault
BYTES_SENT = "bytes.sent"
ITEMS_DROPPED = "items.left_out"  # over the budget of bytes, or too long for an answer
ROLLOUT_DATAGRAMS_DROPPED = "posts.left_out"  # over their budget of datagrams
LOANS_GRANTED = "loans.given"
LOANS_REFUSED = "loans.refused"
LOANS_RECEIVED = "loans.taken"
LOANS_RETURNED = "loans.returned"
FLOORS_LIFTED = "floors.over"  # before the longest loan of a previous incarnation had to end
HEALTH_REPORTS_AGREED = "judgements.agreed"
HEALTH_REPORTS_SINGLE = "judgements.lone"
STALLS = "stalls"  # times that this process did not run

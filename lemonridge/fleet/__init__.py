"""What the brokers of a fleet share, decided by pure machines: time and events in, actions out.

`wire` is the datagram, `members` who is up, `escrow` the budgets that are dealt in slices, `demand` what is
wanted of them, `counts` and `judgements` what is told of nodes, `machine` all of it for one broker.
docs/fleet-state.md states what is promised, and the argument for it.
"""

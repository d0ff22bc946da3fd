"""What the brokers of a fleet share, as pure state machines: time and events in, actions out.

`fleet_member` is one broker's part, in front of `membership` (who is up), `quota_ledger` and `quota_lending`
(budgets and loans of them), `limit_registry` (who uses a limit), `gossip` with `health_gossip` and
`usage_totals` (health of endpoints, usage), `datagram_receiver` and `datagram_sender`. `datagrams` is the
format on the wire, `scheduler_bridge` connects a member with the scheduler, `status_report` is what operators
are shown. docs/fleet-state.md states what is promised, and the argument for it.
"""

"""The state that the brokers of a fleet share, as state machines without I/O: events in, actions out.

`fleet_member` is the member of one broker. It combines `membership` with `failure_detector` (which members
are up), `quota_ledger` and `quota_lending` (budgets and their loans), `limit_registry` (which members use a
limit), `gossip` with `health_gossip` and `usage_totals` (endpoint health and usage), `datagram_receiver` and
`datagram_sender`. `datagrams` defines the wire format, `scheduler_bridge` connects a member to the scheduler,
and `status_report` builds the operators' view. docs/fleet-state.md states the guarantees and their proof.
"""

"""Fault injection: cut connections, flipped bits, lost datagrams, drains, and schedules of faults."""

"""Checkers: they verify a drill by the records of nodes and clients, never by the broker's own counters."""

"""Checkers: they judge a drill by what nodes and clients saw, never by the broker's own counters."""

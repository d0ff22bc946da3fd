"""Drills: runs of the real program under faults drawn from a seed, verified by a checker."""

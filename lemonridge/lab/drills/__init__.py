"""Drills: the real program among faults drawn from a seed, judged by a checker."""

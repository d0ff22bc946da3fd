"""Measurements: each compares its figures within one run with a baseline of its own."""

"""Measurements: a figure within one run, against a baseline of our own."""

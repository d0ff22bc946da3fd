"""The error of every configuration that cannot be used."""

from __future__ import annotations


class ConfigError(Exception):
    """Bad configuration; the message is one plain line for the operator."""

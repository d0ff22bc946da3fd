"""The exception for configuration that cannot be used."""

from __future__ import annotations


class ConfigError(Exception):
    """Configuration that cannot be used; the message is a single line for the operator."""

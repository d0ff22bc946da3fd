"""The errors of the coordination package. Operators see their messages unchanged."""

from __future__ import annotations


class CoordinationError(Exception):
    """Base class of the errors in this package."""


class VoteStoreError(CoordinationError):
    """A vote store is damaged, locked by another process, or exists already."""

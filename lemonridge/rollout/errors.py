"""The errors of the rollout package. Operators see their messages unchanged."""

from __future__ import annotations


class RolloutError(Exception):
    """Base class of the errors in this package."""


class PolicyError(RolloutError, ValueError):
    """A policy or a state is malformed, or a broker cannot decide by it."""


class FloorError(PolicyError):
    """A policy allows less than the floor."""


class VoterChangeError(PolicyError):
    """The voters of a state may not follow those of the previous state."""


class ChangeRejectedError(RolloutError):
    """A change cannot begin at this broker now."""


class EmergencyRejectedError(RolloutError):
    """The conditions of an emergency call do not hold."""

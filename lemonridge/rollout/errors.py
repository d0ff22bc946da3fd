"""The errors of the rollout package. Each one's text is shown to operators as it is."""

from __future__ import annotations


class RolloutError(Exception):
    """Base of the package's errors."""


class PolicyError(RolloutError, ValueError):
    """A policy or a state that is malformed, or that a broker cannot decide by."""


class FloorError(PolicyError):
    """A policy that allows less than the floor, which every policy has to contain."""


class VoterChangeError(PolicyError):
    """A state whose set of voters does not follow from the state before it."""


class ChangeRejectedError(RolloutError):
    """A change that cannot begin at this broker at this moment."""


class EmergencyRejectedError(RolloutError):
    """An emergency call whose conditions do not hold."""

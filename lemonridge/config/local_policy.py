"""The policy in a broker's own configuration, which a policy that the fleet agrees on can replace."""

from __future__ import annotations

from typing import Protocol

from lemonridge.scheduling.settings import Settings


class LocalPolicy(Protocol):
    """A front's settings, plan names and class names; both fronts' configuration types implement it."""

    @property
    def settings(self) -> Settings:
        """The scheduler's settings."""
        ...

    @property
    def plans(self) -> tuple[str, ...]:
        """The names of the plans, in the order of `settings.plans`."""
        ...

    @property
    def classes(self) -> tuple[str, ...]:
        """The names of the classes, in the order of `settings.classes`."""
        ...

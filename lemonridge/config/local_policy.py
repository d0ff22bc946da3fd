"""The part of a broker's own configuration that is policy: what the fleet may agree on in its place."""

from __future__ import annotations

from typing import Protocol

from lemonridge.scheduling.settings import Settings


class LocalPolicy(Protocol):
    """The settings of a front, with the names that its clients use; both fronts' configurations are one."""

    @property
    def settings(self) -> Settings:
        """The scheduler's settings."""
        ...

    @property
    def plans(self) -> tuple[str, ...]:
        """The names of the settings' plans, in their order."""
        ...

    @property
    def classes(self) -> tuple[str, ...]:
        """The names of the settings' classes, in their order."""
        ...

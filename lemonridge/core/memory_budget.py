"""Bounds the memory of the data that requests carry, as long as anything in the process needs that data."""

from __future__ import annotations

from typing import Protocol


class MemoryBudget:
    """A number of bytes that reservations share.

    Args:
        max_bytes: The limit, which `fits` checks.

    Attributes:
        max_bytes: The limit.
        reserved_bytes: The sum of all reservations.
    """

    def __init__(self, max_bytes: int = 0) -> None:
        self.max_bytes = max_bytes
        self.reserved_bytes = 0

    def fits(self, count: int) -> bool:
        """Whether `count` further bytes are within the limit."""
        return self.reserved_bytes + count <= self.max_bytes


class Hold(Protocol):
    """What is kept while a request is open."""

    def hold(self) -> None:
        """Takes note that a request was opened."""
        ...

    def release(self) -> None:
        """Takes note that a request was closed; called once for each call of `hold`."""
        ...


class Reservation:
    """The part of a budget that belongs to the data of one request.

    It has one holder at first. The bytes go back to the budget when the last holder has released it.

    Args:
        budget: The budget.
        reserved_bytes: The initial size.

    Attributes:
        reserved_bytes: The size.
    """

    def __init__(self, budget: MemoryBudget, reserved_bytes: int = 0) -> None:
        self._budget, self._holders = budget, 1
        self.reserved_bytes = 0
        self.extend(reserved_bytes)

    def extend(self, count: int) -> None:
        """Adds bytes; the caller has checked that they fit, or exempts them from the limit."""
        self.reserved_bytes += count
        self._budget.reserved_bytes += count

    def hold(self) -> None:
        """Adds a holder, which must call `release` once."""
        self._holders += 1

    def release(self) -> None:
        """Removes a holder; called once by each."""
        self._holders -= 1
        if not self._holders:
            self._budget.reserved_bytes -= self.reserved_bytes
            self.reserved_bytes = 0

"""The settings of a fleet member, from the operators' file and the platform's settings."""

from __future__ import annotations

from dataclasses import dataclass

SEND_BUDGET_BYTES_S = 8192.0  # default
CLOCK_ERROR_US = 50_000  # default


@dataclass(frozen=True, slots=True)
class MemberSettings:
    """The settings of one fleet member.

    Attributes:
        send_budget_bytes_s: The bytes that may be sent in a second.
        clock_error_us: How far two clocks may diverge over the duration of a loan.
        shares_usage: Whether usage totals are sent; needed if endpoint responses do not report usage.
        retry_rate: The retries a second of all brokers together; 0 if they share no retry budget.
    """

    send_budget_bytes_s: float = SEND_BUDGET_BYTES_S
    clock_error_us: int = CLOCK_ERROR_US
    shares_usage: bool = False
    retry_rate: float = 0.0

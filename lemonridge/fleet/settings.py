"""What the operators' file and the platform's settings say about the fleet."""

from __future__ import annotations

from dataclasses import dataclass

SEND_BUDGET_BYTES_S = 8192.0  # where the file does not say
CLOCK_ERROR_US = 50_000  # where the file does not say


@dataclass(frozen=True, slots=True)
class MemberSettings:
    """The settings of one fleet member.

    Attributes:
        send_budget_bytes_s: bytes that may be sent within a second.
        clock_error_us: by which two clocks may differ over the duration of a loan.
        shares_usage: whether totals of usage are sent, where endpoints' answers do not tell them.
        retry_rate: retries a second of all brokers together; 0: they share no budget of retries.
    """

    send_budget_bytes_s: float = SEND_BUDGET_BYTES_S
    clock_error_us: int = CLOCK_ERROR_US
    shares_usage: bool = False
    retry_rate: float = 0.0

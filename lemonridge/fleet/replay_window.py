"""Accepts each datagram of a sender once (a window as in RFC 4303, section 3.4.3). Performs no I/O."""

from __future__ import annotations

from dataclasses import dataclass

from lemonridge.fleet.datagrams import WRAP_MODULUS, DatagramHeader
from lemonridge.fleet.errors import DatagramFault, StaleDatagramError

DATAGRAM_MAX_AGE_MS = 5_000  # by the sender's clock, which may be ahead by the same amount
WINDOW_SEQUENCES = 64
_WINDOW_MASK = (1 << WINDOW_SEQUENCES) - 1


def age_ms(header: DatagramHeader, now_us: int) -> int:
    """Returns the age in milliseconds by the sender's clock; negative if that clock is ahead."""
    half = WRAP_MODULUS // 2
    return (now_us // 1000 - header.sent_ms + half) % WRAP_MODULUS - half


@dataclass(slots=True)
class ReplayWindow:
    """The sequence numbers received from one sender's incarnation, and the state of its link.

    Attributes:
        incarnation: The sender's incarnation.
        first_sequence: The first sequence number received from the incarnation.
        highest_sequence: The highest sequence number received; -1 if none.
        received_count: The number of accepted datagrams.
        received_bits: One bit for each of the last WINDOW_SEQUENCES numbers; bit 0 is the highest number.
        min_age_ms: The smallest age of a datagram, which bounds the difference of the clocks; None if none.
    """

    incarnation: int = 0
    first_sequence: int = 0
    highest_sequence: int = -1
    received_count: int = 0
    received_bits: int = 0
    min_age_ms: int | None = None

    def accept(self, header: DatagramHeader, now_us: int) -> None:
        """Records a datagram of this sender.

        Raises:
            StaleDatagramError: The datagram is too old, from a previous incarnation or a duplicate.
        """
        datagram_age_ms = age_ms(header, now_us)
        if not -DATAGRAM_MAX_AGE_MS <= datagram_age_ms <= DATAGRAM_MAX_AGE_MS:
            raise StaleDatagramError(DatagramFault.OLD)
        if header.incarnation < self.incarnation:
            raise StaleDatagramError(DatagramFault.OLD)
        if header.incarnation > self.incarnation:
            self._restart(header)
        advance = header.sequence - self.highest_sequence
        if advance > 0:
            self.received_bits = (
                (self.received_bits << advance | 1) & _WINDOW_MASK if advance < WINDOW_SEQUENCES else 1
            )
            self.highest_sequence = header.sequence
        elif advance <= -WINDOW_SEQUENCES or self.received_bits >> -advance & 1:
            raise StaleDatagramError(DatagramFault.REPLAYED)
        else:
            self.received_bits |= 1 << -advance
        self.received_count += 1
        if self.min_age_ms is None or datagram_age_ms < self.min_age_ms:
            self.min_age_ms = datagram_age_ms

    def loss_fraction(self) -> float | None:
        """Returns the fraction of the sender's datagrams that were lost; None before the first datagram."""
        sent = self.highest_sequence - self.first_sequence + 1
        return 1 - self.received_count / sent if self.received_count and sent > 0 else None

    def _restart(self, header: DatagramHeader) -> None:
        self.incarnation, self.first_sequence = header.incarnation, header.sequence
        self.highest_sequence, self.received_count, self.received_bits, self.min_age_ms = -1, 0, 0, None

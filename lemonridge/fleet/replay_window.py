"""Accepts each datagram of a sender once (a window as in RFC 4303, section 3.4.3). Pure."""

from __future__ import annotations

from dataclasses import dataclass

from lemonridge.fleet.datagrams import WRAP_MODULUS, DatagramHeader
from lemonridge.fleet.errors import DatagramFault, StaleDatagramError

DATAGRAM_MAX_AGE_MS = 5_000  # by the sender's clock, which may be ahead by as much
WINDOW_SEQUENCES = 64
_WINDOW_MASK = (1 << WINDOW_SEQUENCES) - 1


def age_ms(header: DatagramHeader, now_us: int) -> int:
    """How long ago the datagram was sent by its sender's clock, in milliseconds; negative: clocks differ."""
    half = WRAP_MODULUS // 2
    return (now_us // 1000 - header.sent_ms + half) % WRAP_MODULUS - half


@dataclass(slots=True)
class ReplayWindow:
    """The sequence numbers received from one sender's incarnation, and how its link is."""

    incarnation: int = 0
    first_sequence: int = 0
    highest_sequence: int = -1
    received: int = 0  # datagrams
    seen: int = 0  # a bit for each of the WINDOW_SEQUENCES numbers up to the highest one
    min_age_ms: int | None = None  # the least age of a datagram: it bounds the difference of the clocks

    def accept(self, header: DatagramHeader, now_us: int) -> None:
        """Record a datagram of this sender.

        Raises:
            StaleDatagramError: it is too old, of a previous incarnation, or was received before.
        """
        datagram_age_ms = age_ms(header, now_us)
        if not -DATAGRAM_MAX_AGE_MS <= datagram_age_ms <= DATAGRAM_MAX_AGE_MS:
            raise StaleDatagramError(DatagramFault.OLD)
        if header.incarnation < self.incarnation:
            raise StaleDatagramError(DatagramFault.OLD)
        if header.incarnation > self.incarnation:
            self._restart(header)
        ahead = header.sequence - self.highest_sequence
        if ahead > 0:
            self.seen = (self.seen << ahead | 1) & _WINDOW_MASK if ahead < WINDOW_SEQUENCES else 1
            self.highest_sequence = header.sequence
        elif ahead <= -WINDOW_SEQUENCES or self.seen >> -ahead & 1:
            raise StaleDatagramError(DatagramFault.REPLAYED)
        else:
            self.seen |= 1 << -ahead
        self.received += 1
        if self.min_age_ms is None or datagram_age_ms < self.min_age_ms:
            self.min_age_ms = datagram_age_ms

    def loss_fraction(self) -> float | None:
        """The part of the sender's datagrams that was not received; None before the first one."""
        sent = self.highest_sequence - self.first_sequence + 1
        return 1 - self.received / sent if self.received and sent > 0 else None

    def _restart(self, header: DatagramHeader) -> None:
        self.incarnation, self.first_sequence = header.incarnation, header.sequence
        self.highest_sequence, self.received, self.seen, self.min_age_ms = -1, 0, 0, None

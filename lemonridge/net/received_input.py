"""The bytes that were received on a client connection and are not parsed yet. Performs no I/O."""

from __future__ import annotations

from collections import deque

READS_AHEAD_MAX = 256  # reads that are remembered one by one: a client may send single bytes


class ReceivedInput:
    """Received bytes with the times at which they arrived.

    Times are in microseconds of the broker's clock.

    Args:
        read_ahead_bytes: The number of bytes beyond which `is_full` asks to pause reading.

    Attributes:
        data: The bytes that are not parsed yet; the parser removes what it consumes.
        received_bytes: The number of bytes received since the connection began.
    """

    def __init__(self, read_ahead_bytes: int) -> None:
        self.data = bytearray()
        self.received_bytes = 0
        self._read_ahead_bytes = read_ahead_bytes
        # The value of `received_bytes` after each read, with the time of the read: they give the arrival time
        # of a pipelined request, which is that of its last byte.
        self._arrivals: deque[tuple[int, int]] = deque()

    def append(self, data: bytes, arrived_us: int) -> None:
        """Adds the bytes of one read."""
        self.received_bytes += len(data)
        self._arrivals.append((self.received_bytes, arrived_us))
        self.data += data

    @property
    def is_full(self) -> bool:
        """Whether enough is buffered that reading must pause until some of it is parsed."""
        return len(self.data) > self._read_ahead_bytes or len(self._arrivals) > READS_AHEAD_MAX

    def consumed_until_us(self) -> int:
        """Returns when the last byte that was consumed so far arrived."""
        consumed_bytes = self.received_bytes - len(self.data)
        while self._arrivals and self._arrivals[0][0] < consumed_bytes:
            self._arrivals.popleft()
        return self._arrivals[0][1]

    def forget_arrivals(self) -> None:
        """Drops the times of the bytes received so far, if the last byte of the request is still to come."""
        self._arrivals.clear()

    def clear(self) -> None:
        """Drops all bytes."""
        self.data = bytearray()
        self._arrivals.clear()

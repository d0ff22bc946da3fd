"""Decides from the progress of a connection's output whether its peer still reads. Performs no I/O."""

from __future__ import annotations

from lemonridge.net.http_limits import BODY_MIN_BYTES_PER_S

READ_PAUSE_MAX_S = 5.0  # how long a peer may leave its input unread
UNREAD_BY_PEER_MAX_BYTES = 1 << 20  # that count as not read yet by the peer, in its system's buffer


class ReadingProgress:
    """Follows how many bytes a peer's system has taken, which is all that is seen of the peer's reading.

    The system of a peer takes bytes ahead, and makes room for more only once a part of its buffer is empty.
    So a pause says nothing while the peer may still be reading what its system has taken. A peer has stopped
    once `READ_PAUSE_MAX_S` have passed since a reader at `BODY_MIN_BYTES_PER_S` would have read all of that,
    or since the last bytes were taken. `UNREAD_BY_PEER_MAX_BYTES` bounds what it is credited with, and so the
    whole wait.

    Times are in seconds of the event loop's clock.

    Attributes:
        read_by_s: When a reader at the lowest rate has read all that its system has taken, within the bound.
    """

    def __init__(self) -> None:
        self._taken_bytes = 0
        self.read_by_s = 0.0

    def restart(self, now_s: float) -> None:
        """Notes that bytes begin to wait for the peer, so that time without output does not count."""
        self.read_by_s = max(self.read_by_s, now_s)

    def update(self, taken_bytes: int, now_s: float) -> None:
        """Notes how many bytes the peer's system has taken since the connection began.

        Args:
            taken_bytes: The number of bytes.
            now_s: The present time.
        """
        newly_taken_bytes, self._taken_bytes = taken_bytes - self._taken_bytes, taken_bytes
        if newly_taken_bytes > 0:
            read_by_s = max(self.read_by_s, now_s) + newly_taken_bytes / BODY_MIN_BYTES_PER_S
            self.read_by_s = min(read_by_s, now_s + UNREAD_BY_PEER_MAX_BYTES / BODY_MIN_BYTES_PER_S)

    def has_stopped(self, now_s: float) -> bool:
        """Whether the peer has stopped reading, if bytes wait for it."""
        return now_s > self.read_by_s + READ_PAUSE_MAX_S

"""By when a client must send the rest of a request. Performs no I/O.

Times are in seconds of the event loop's clock.
"""

from __future__ import annotations

from lemonridge.net.http_limits import BODY_MIN_BYTES_PER_S

# A client may take 2 s for a head; an error response or a close is due within 3 s.
HEAD_MAX_S = 2.3
BODY_MARGIN_S = 1.0  # time for a body in addition to its transfer time at the lowest rate
BODY_PAUSE_MAX_S = 5.0  # how long a client may stop within a body whose time is not over


class ReceiveDeadline:
    """Follows the progress of a request that is being received.

    The whole head must arrive within `HEAD_MAX_S`, and the body within its transfer time at
    `BODY_MIN_BYTES_PER_S`. The memory for a body is reserved by its announced length, so a long body that
    never ends would keep it from other clients: a body must also not stop for `BODY_PAUSE_MAX_S`, nor fall
    behind the lowest rate by as much.

    Attributes:
        at_s: When the client counts as too slow, unless more arrives.
    """

    def __init__(self) -> None:
        self.at_s = 0.0
        self._head_by_s = 0.0
        self._body_began_s: float | None = None
        self._body_length: int | None = None
        self._body_wire_bytes = 0

    def begin_head(self, now_s: float) -> None:
        """Notes that the first byte of a request has arrived."""
        self.at_s = self._head_by_s = now_s + HEAD_MAX_S
        self._body_began_s = None

    def begin_body(self, now_s: float, length: int | None) -> None:
        """Notes that the head is complete and its body is not.

        Args:
            now_s: The present time.
            length: The announced length of the body in bytes; None if it is chunked.
        """
        self._body_began_s, self._body_length, self._body_wire_bytes = now_s, length, 0
        self.note_received(now_s, 0)

    def note_received(self, now_s: float, count: int) -> None:
        """Notes that `count` further bytes have arrived."""
        if self._body_began_s is None:
            return
        self._body_wire_bytes += count
        received_s = self._body_began_s + self._body_wire_bytes / BODY_MIN_BYTES_PER_S
        whole_s = self._body_began_s + (self._body_length or 0) / BODY_MIN_BYTES_PER_S
        self.at_s = min(
            max(self._head_by_s, max(received_s, whole_s) + BODY_MARGIN_S),
            received_s + BODY_PAUSE_MAX_S,
            now_s + BODY_PAUSE_MAX_S,
        )

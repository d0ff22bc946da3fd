"""The text exchange of a connection in full feature phase (RFC 7143, sections 11.10 and 11.11). No I/O.

A request, and its answer, may be split over several PDUs. What has been received of a request, or remains to
be sent of an answer, belongs to the connection and ends with it.
"""

from __future__ import annotations

from dataclasses import dataclass

from lemonridge.iscsi.keys import TEXT_MAX_BYTES

TRANSFER_TAG_COUNT = 0xFFFF_FFFF  # the tag beyond is reserved (RFC 7143, section 11.10.4)


class TextExchangeError(Exception):
    """A text request breaks the protocol; the message states how."""


@dataclass(frozen=True, slots=True)
class TextPart:
    """What one Text Response carries of an answer.

    Attributes:
        data: The text.
        transfer_tag: Target transfer tag by which the rest is requested; None for the last part.
    """

    data: bytes
    transfer_tag: int | None = None


class TextExchange:
    """The one text exchange that a connection may have open (RFC 7143, section 11.10.2)."""

    def __init__(self) -> None:
        self._received_text: bytes | None = None  # of a request that is continued
        self._unsent_text = b""
        self._transfer_tag = 0  # the last one issued

    def receive(self, transfer_tag: int | None, data: bytes, is_continued: bool) -> bytes | None:
        """Receives a part of a request.

        Args:
            transfer_tag: Target transfer tag of the PDU: that of the part before, or None.
            data: The text of the PDU.
            is_continued: Whether more PDUs follow, which the C bit says.

        Returns:
            The whole text; None if more PDUs follow.

        Raises:
            TextExchangeError: The tag is another one, or the request is longer than `TEXT_MAX_BYTES`.
        """
        is_continuation = self._received_text is not None and transfer_tag == self._transfer_tag
        if transfer_tag is not None and not is_continuation:
            raise TextExchangeError("unknown target transfer tag in a text request")
        text = (self._received_text or b"") + data
        if len(text) > TEXT_MAX_BYTES:
            raise TextExchangeError("text request is too long")
        self._received_text = text if is_continued else None
        return None if is_continued else text

    def request_rest(self) -> TextPart:
        """Returns the empty response that requests the rest of a continued request."""
        return TextPart(b"", self._next_transfer_tag())

    def first_part(self, text: bytes, segment_bytes: int) -> TextPart:
        """Returns the first part of an answer, and keeps the rest; that of an earlier answer is dropped.

        Args:
            text: The answer.
            segment_bytes: Maximum length of the part, in bytes.
        """
        self._unsent_text = text[segment_bytes:]
        tag = self._next_transfer_tag() if self._unsent_text else None
        return TextPart(text[:segment_bytes], tag)

    def next_part(self, transfer_tag: int | None, segment_bytes: int) -> TextPart | None:
        """Returns the next part of an answer; None if no answer has a rest under this tag.

        Args:
            transfer_tag: Target transfer tag of the part before.
            segment_bytes: Maximum length of the part, in bytes.
        """
        if not self._unsent_text or transfer_tag != self._transfer_tag:
            return None
        return self.first_part(self._unsent_text, segment_bytes)

    def _next_transfer_tag(self) -> int:
        """Returns a new target transfer tag, which replaces the one before."""
        self._transfer_tag = (self._transfer_tag + 1) % TRANSFER_TAG_COUNT
        return self._transfer_tag

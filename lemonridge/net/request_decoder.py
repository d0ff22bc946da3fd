"""Decodes requests from a connection's input, in steps of bounded cost. Performs no I/O."""

from __future__ import annotations

import re
from enum import Enum

from lemonridge.core.memory_budget import MemoryBudget, Reservation
from lemonridge.net import http_headers
from lemonridge.net.errors import BuffersFullError, MessageRejectedError
from lemonridge.net.http_chunks import ChunkedBodyDecoder
from lemonridge.net.http_limits import BODY_MAX_BYTES, HEAD_MAX_BYTES
from lemonridge.net.http_request import USED_FIELDS
from lemonridge.net.received_input import ReceivedInput

SHORT_BODY_BYTES = 16 * 1024  # bodies up to this size do not count against the limit for long bodies
REQUEST_FIELDS = (*USED_FIELDS, b"expect")  # the header fields that are kept of a request
CHUNK_LINES_PER_STEP = 256  # chunk sizes, chunk ends and trailer fields that one step decodes
# What a step is estimated to cost, in microseconds of the event loop's time.
STEP_COST_US = 5.0
REQUEST_COST_US = 100.0  # to parse a head and to submit or reject its request
BYTE_COST_US = 0.01
CHUNK_LINE_COST_US = 1.5
_EMPTY_LINES = re.compile(rb"(?:\r\n)+")


class DecodeStatus(Enum):
    """The result of one step."""

    INCOMPLETE = "incomplete"  # more input is needed
    CAN_CONTINUE = "can continue"  # the bound of one step was reached
    COMPLETE = "complete"  # a request is complete


class RequestDecoder:
    """Decodes one request at a time from the input of a connection.

    Args:
        received: The input.
        body_budget: Bounds the long bodies of all connections.

    Attributes:
        head: The head of the request whose body is being received, or that is complete; None before.
        body: The part of the body that has been received.
        reservation: The memory reserved for the body.
        step_cost_us: The estimated cost of the last step, in microseconds of the event loop's time.
    """

    def __init__(self, received: ReceivedInput, body_budget: MemoryBudget) -> None:
        self._received, self._body_budget = received, body_budget
        self.head: http_headers.RequestHead | None = None
        self.body = bytearray()
        self.reservation = Reservation(body_budget)
        self.step_cost_us = 0.0
        self._chunks: ChunkedBodyDecoder | None = None  # set if the body being received is chunked
        self._searched_bytes = 0  # prefix of the input already searched for the end of a head
        self._empty_line_bytes = 0  # before the head being received

    def step(self) -> DecodeStatus:
        """Decodes a bounded part of the input.

        Raises:
            MessageRejectedError: The input does not begin with a valid request, or there is no memory for its
                body.
        """
        data = self._received.data
        bytes_before = len(data)
        self.step_cost_us = STEP_COST_US
        try:
            if self.head is None and not self._decode_head(data):
                return DecodeStatus.INCOMPLETE
            return self._decode_body(data)
        finally:
            self.step_cost_us += BYTE_COST_US * (bytes_before - len(data))

    @property
    def only_appends(self) -> bool:
        """Whether received bytes are added to a body without any parsing."""
        return self.head is not None and self._chunks is None

    def begin_next(self) -> None:
        """Drops the complete request, so that the next step begins another one."""
        self.head, self._chunks, self.body = None, None, bytearray()
        self._searched_bytes = self._empty_line_bytes = 0

    def release_body(self) -> None:
        """Drops the body; the broker may hold its reservation for longer."""
        self.body = bytearray()
        self.reservation.release()
        self.reservation = Reservation(self._body_budget)

    def expects_continue(self) -> bool:
        """Whether the client waits for `100 Continue` before it sends the body (RFC 9110, 10.1.1)."""
        head = self.head
        return (
            head is not None
            and head.fields.get(b"expect") == [b"100-continue"]
            and head.body_length != 0
            and not self.body
            and not self._received.data
        )

    def _decode_head(self, data: bytearray) -> bool:
        """Decodes the head of the next request; returns False if it is not complete yet."""
        self._skip_empty_lines(data)
        end = data.find(http_headers.HEAD_END, max(0, self._searched_bytes - 3))
        if end < 0 or end > HEAD_MAX_BYTES:
            self._searched_bytes = len(data)
            if len(data) + self._empty_line_bytes > HEAD_MAX_BYTES:
                raise MessageRejectedError(431, "the head is too long")
            return False
        self.step_cost_us += REQUEST_COST_US
        head = http_headers.parse_request_head(bytes(data[: end + 4]), REQUEST_FIELDS)
        length = head.body_length or 0
        if length > BODY_MAX_BYTES:
            raise MessageRejectedError(413, "a body holds 32 MiB at most")
        self._reserve(length)
        del data[: end + 4]
        self.head, self._chunks = head, ChunkedBodyDecoder() if head.body_length is None else None
        return True

    def _skip_empty_lines(self, data: bytearray) -> None:
        """Removes empty lines before a head (RFC 9112, 2.2), which count as a part of it."""
        empty_lines = _EMPTY_LINES.match(data)
        # One line end stays in place while nothing follows it.
        skipped_bytes = 0 if empty_lines is None else min(empty_lines.end(), len(data) - 2)
        if skipped_bytes > 0:
            del data[:skipped_bytes]
            self._empty_line_bytes += skipped_bytes
            self._searched_bytes = 0

    def _decode_body(self, data: bytearray) -> DecodeStatus:
        """Consumes received bytes of the body."""
        assert self.head is not None
        if self._chunks is not None:
            is_complete = self._decode_chunks(data, self._chunks)
            can_continue = self._chunks.has_reached_bound
        else:
            missing_bytes = (self.head.body_length or 0) - len(self.body)
            if missing_bytes > 0:
                self.body += data[:missing_bytes]
                del data[:missing_bytes]
            is_complete, can_continue = len(self.body) == self.head.body_length, False
        if not is_complete and len(self.body) > BODY_MAX_BYTES:
            raise MessageRejectedError(413, "a body holds 32 MiB at most")
        if is_complete:
            return DecodeStatus.COMPLETE
        return DecodeStatus.CAN_CONTINUE if can_continue else DecodeStatus.INCOMPLETE

    def _decode_chunks(self, data: bytearray, chunks: ChunkedBodyDecoder) -> bool:
        """Decodes a bounded number of chunks; returns whether the body is complete."""
        decoded_before = len(self.body)
        lines = chunks.feed(data, self.body, CHUNK_LINES_PER_STEP)
        self.step_cost_us += CHUNK_LINE_COST_US * lines
        self._reserve(len(self.body) - decoded_before)
        return chunks.is_complete

    def _reserve(self, count: int) -> None:
        """Adds expected body bytes to the total, or rejects the request if they exceed the limit.

        Short bodies are not subject to the limit: there is memory for one on each possible connection beside
        the long ones.
        """
        is_long = self.reservation.reserved_bytes + count > SHORT_BODY_BYTES
        if is_long and not self._body_budget.fits(count):
            raise BuffersFullError
        self.reservation.extend(count)

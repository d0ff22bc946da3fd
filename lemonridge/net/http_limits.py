"""Limits of the platform's protocol and of this broker: sizes in bytes, and the rate of a body."""

from __future__ import annotations

HEAD_MAX_BYTES = 16 * 1024  # of the head of a request or response, and of the trailer of a chunked body
CHUNK_LINE_MAX_BYTES = 4096  # of a chunk size with its extensions, or of a trailer field
BUFFERED_BODY_MAX_BYTES = 64 * 1024  # longer responses are streamed to the client
READ_BYTES = 32 * 1024  # per read from a connection; asyncio's default is 256 KiB
UNSENT_BYTES = 64 * 1024  # of a connection's output that the system keeps beside what is in flight
BODY_MAX_BYTES = 32 * 2**20  # of the body of any request or response
BODY_MIN_BYTES_PER_S = 64_000  # DAYS, "Hard days": the lowest rate of a body, either way

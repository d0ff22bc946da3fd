"""Sizes that the platform's protocol bounds or that this broker does, in bytes."""

from __future__ import annotations

HEAD_MAX_BYTES = 16 * 1024  # of a request's or a response's head, and of a chunked body's trailer
CHUNK_LINE_MAX_BYTES = 4096  # of a chunk's size with its extensions, or of a trailer's field
BUFFERED_BODY_MAX_BYTES = 64 * 1024  # a longer response is forwarded as it arrives
BODY_MAX_BYTES = 32 * 2**20  # of any body

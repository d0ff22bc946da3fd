"""Limits of the platform's protocol and of this broker: sizes in bytes, and the rate of a body."""

from __future__ import annotations

HEAD_MAX_BYTES = 16 * 1024  # of the head of a request or response, and of the trailer of a chunked body
CHUNK_LINE_MAX_BYTES = 4096  # of a chunk size with its extensions, or of a trailer field
BUFFERED_BODY_MAX_BYTES = 64 * 1024  # longer responses are streamed to the client
READ_MIN_BYTES = 4 * 1024  # per read from a connection, however many connections share the memory
READ_MAX_BYTES = 32 * 1024  # per read from a connection; asyncio's default is 256 KiB
CONNECTION_MEMORY_FRACTION = 1 / 4  # of the process's memory limit, for the buffers of clients' connections
READS_PER_CONNECTION = 4  # that a client's connection and that of its attempt hold at the most
UNSENT_BYTES = 64 * 1024  # of a connection's output that the system keeps beside what is in flight
BODY_MAX_BYTES = 32 * 2**20  # of the body of any request or response
BODY_MIN_BYTES_PER_S = 64_000  # DAYS, "Hard days": the lowest rate of a body, either way


def read_bytes(memory_bytes: int, connections: int) -> int:
    """Returns how many bytes may be read from a connection at once, which bounds what it holds.

    Args:
        memory_bytes: The process's memory limit.
        connections: The maximum number of connections of clients.
    """
    share = int(memory_bytes * CONNECTION_MEMORY_FRACTION / connections / READS_PER_CONNECTION)
    return max(READ_MIN_BYTES, min(READ_MAX_BYTES, share))

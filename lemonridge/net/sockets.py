"""Questions to the operating system about a connection, and whose fault a socket's error is."""

from __future__ import annotations

import asyncio
import errno
import select

# Errors of socket(2) and connect(2) that this machine causes, whatever endpoint was meant.
LOCAL_ERRORS = frozenset(
    (
        errno.EMFILE,
        errno.ENFILE,
        errno.ENOBUFS,
        errno.ENOMEM,
        errno.EADDRNOTAVAIL,
        errno.EADDRINUSE,
        errno.EAGAIN,
        errno.ENETUNREACH,
        errno.ENETDOWN,
        errno.EINTR,
    )
)


def input_is_empty(transport: asyncio.BaseTransport) -> bool:
    """Whether nothing waits to be read on a connection, not even its end.

    The system is asked, since a busy event loop has not read yet what arrived.
    """
    return not _poll(transport, select.POLLIN)


def peer_has_closed(transport: asyncio.BaseTransport) -> bool:
    """Whether the other side has closed a connection, also where that lies behind bytes that are not read."""
    return transport.is_closing() or _poll(transport, select.POLLRDHUP)


def _poll(transport: asyncio.BaseTransport, events: int) -> bool:
    descriptor = transport.get_extra_info("socket").fileno()
    if descriptor < 0:
        return True  # closed
    poll = select.poll()
    poll.register(descriptor, events)
    return bool(poll.poll(0))

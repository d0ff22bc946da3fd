"""Queries the operating system about a connection, and classifies socket errors by their cause."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import select
import socket

# Errors of socket(2) and connect(2) that are caused by this machine, whichever endpoint is connected to.
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


def limit_unsent_bytes(transport: asyncio.BaseTransport, count: int) -> None:
    """Lets the operating system keep at most about `count` bytes of output that it cannot send yet.

    Without the limit it keeps some MB, and reports room for more only once a third of them has been sent:
    a slow peer's reading would not be seen for many seconds. A system without this option keeps its default.

    Args:
        transport: The connection.
        count: The number of bytes; output that is in flight does not count.
    """
    with contextlib.suppress(OSError):
        transport.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NOTSENT_LOWAT, count)


def input_is_empty(transport: asyncio.BaseTransport) -> bool:
    """Whether a connection has no unread bytes and has not ended.

    The operating system is asked, because a busy event loop may not have read received bytes yet.
    """
    return not _poll(transport, select.POLLIN)


def peer_has_closed(transport: asyncio.BaseTransport) -> bool:
    """Whether the other side has closed a connection, even if unread bytes precede the close."""
    return transport.is_closing() or _poll(transport, select.POLLRDHUP)


def _poll(transport: asyncio.BaseTransport, events: int) -> bool:
    """Returns whether one of these poll(2) events is set on the connection's socket, or it is closed."""
    descriptor = transport.get_extra_info("socket").fileno()
    if descriptor < 0:
        return True  # closed
    poll = select.poll()
    poll.register(descriptor, events)
    return bool(poll.poll(0))

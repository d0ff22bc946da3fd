"""What the fronts and the sides to nodes share: the payload of an HTTP request, limits, questions to the
system.
"""

from __future__ import annotations

import asyncio
import errno
import select
from dataclasses import dataclass

import aiohttp

BODY_MAX = 64 * 1024  # a longer answer is passed on as it comes
LONG_MAX = 32 * 2**20
# Errors of socket(2) and connect(2) that are the broker's own machine's, whatever node was meant.
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


@dataclass(slots=True)
class Payload:
    """What passes on unchanged from the client to a node."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


def has_no_unread_data(transport: asyncio.BaseTransport) -> bool:
    """Whether nothing waits to be read on a connection, not even its end. It is asked of the system, since a
    busy event loop has not read yet what came.
    """
    return not _poll(transport, select.POLLIN)


def peer_has_closed(transport: asyncio.BaseTransport) -> bool:
    """Whether the other side has ended a connection, also where that lies behind what is not read."""
    return transport.is_closing() or _poll(transport, select.POLLRDHUP)


def _poll(transport: asyncio.BaseTransport, events: int) -> bool:
    descriptor = transport.get_extra_info("socket").fileno()
    if descriptor < 0:
        return True  # closed
    poll = select.poll()
    poll.register(descriptor, events)
    return bool(poll.poll(0))


class BrokenError(aiohttp.ClientError):
    """A connection broke, or brought what is no answer. Not one of the errors after which aiohttp sends a
    request again.
    """


async def _once(request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType) -> aiohttp.ClientResponse:
    """Let a request reach a server once.

    Guards against aiohttp's own resend: when a reused connection breaks it repeats GET, PUT and others
    without a word: an attempt that no one has decided on, or a watch where the list is wanted at once.
    """
    try:
        return await handler(request)
    except aiohttp.ClientConnectorError:
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise BrokenError(str(error)) from error


def session(connector: aiohttp.BaseConnector, **options: object) -> aiohttp.ClientSession:
    """A client that does nothing of its own: it sends nothing twice, keeps no cookies, asks no proxy, adds no
    header, decompresses nothing and knows no time-out, since every deadline is the caller's.
    """
    return aiohttp.ClientSession(
        connector=connector,
        middlewares=(_once,),
        cookie_jar=aiohttp.DummyCookieJar(),
        timeout=aiohttp.ClientTimeout(total=None, connect=None, sock_read=None, sock_connect=None),
        trust_env=False,
        auto_decompress=False,
        skip_auto_headers=("Accept", "Accept-Encoding", "User-Agent", "Content-Type"),
        **options,  # type: ignore[arg-type]
    )

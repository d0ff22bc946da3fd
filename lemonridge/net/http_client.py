"""An HTTP client session that does nothing on its own."""

from __future__ import annotations

from dataclasses import dataclass

import aiohttp

from lemonridge.net.errors import ConnectionBrokenError


@dataclass(slots=True)
class Payload:
    """The parts of a client's request that are forwarded unchanged to an endpoint."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


async def _send_once(
    request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """Let a request reach a server once.

    When a reused connection breaks, aiohttp silently repeats GET, PUT and other idempotent methods (as RFC
    9110, 9.2.2 allows): that would be an attempt that nobody decided on, or a watch where the list is wanted
    at once.
    """
    try:
        return await handler(request)
    except aiohttp.ClientConnectorError:
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise ConnectionBrokenError(str(error)) from error


def plain_session(connector: aiohttp.BaseConnector, **options: object) -> aiohttp.ClientSession:
    """A session that sends nothing twice, keeps no cookies, uses no proxy and adds no header.

    It decompresses nothing and has no time limit, since every deadline is the caller's.
    """
    return aiohttp.ClientSession(
        connector=connector,
        middlewares=(_send_once,),
        cookie_jar=aiohttp.DummyCookieJar(),
        timeout=aiohttp.ClientTimeout(total=None, connect=None, sock_read=None, sock_connect=None),
        trust_env=False,
        auto_decompress=False,
        skip_auto_headers=("Accept", "Accept-Encoding", "User-Agent", "Content-Type"),
        **options,  # type: ignore[arg-type]
    )

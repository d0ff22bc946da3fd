"""An HTTP client session without automatic behaviour such as retries, cookies or proxies."""

from __future__ import annotations

from dataclasses import dataclass

import aiohttp

from lemonridge.net.errors import ConnectionBrokenError


@dataclass(slots=True)
class Payload:
    """The parts of a client's request that are forwarded to an endpoint unchanged.

    Attributes:
        method: The method.
        target: The request target, in origin form.
        headers: The forwarded headers.
        body: The body.
    """

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


async def _send_once(
    request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """Sends a request at most once.

    When a reused connection breaks, aiohttp silently repeats GET, PUT and other idempotent methods (as RFC
    9110, 9.2.2 allows). That would be an attempt that the scheduler did not decide on, or a repeated watch
    where the current list is needed immediately.
    """
    try:
        return await handler(request)
    except aiohttp.ClientConnectorError:
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise ConnectionBrokenError(str(error)) from error


def plain_session(connector: aiohttp.BaseConnector, **options: object) -> aiohttp.ClientSession:
    """Returns a session that sends no request twice, keeps no cookies, uses no proxy and adds no headers.

    It does not decompress bodies and has no timeouts, because every caller sets its own.

    Args:
        connector: The connection pool.
        **options: Further arguments of `aiohttp.ClientSession`.
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

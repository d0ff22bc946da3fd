"""Operators' calls to brokers, from the command line."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable

import orjson

from lemonridge.config.address import Address

REPLY_MAX = 4 << 20  # bytes of a reply
REPLY_WAIT_S = 2.0  # a broker replies within 1 s


class CallError(Exception):
    """A call that was not done; the text is fit to print."""


async def call(address: Address, line: str) -> str:
    """The text behind the ACK.

    Raises:
        CallError: The reply is a NAK, or there is none in time.
    """
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout_at(loop.time() + REPLY_WAIT_S):
            reader, writer = await asyncio.open_connection(address.host, address.port, limit=REPLY_MAX)
            try:
                writer.write(line.encode() + b"\n")
                reply = (await reader.readline()).decode("utf-8", "replace").strip()
            finally:
                writer.close()
    except TimeoutError:
        raise CallError(f"{address} does not answer") from None
    except (OSError, ValueError) as error:
        raise CallError(f"{address}: {error}") from None
    word, _, text = reply.partition(" ")
    if word != "ACK":
        raise CallError(f"{address}: {text or 'no answer'}")
    return text


async def fetch_fleet_views(addresses: Iterable[Address]) -> tuple[list[dict[str, object]], list[str]]:
    """Each broker's view of the fleet, and the errors of those that gave none."""
    results = await asyncio.gather(*(call(one, "fleet") for one in addresses), return_exceptions=True)
    found: list[dict[str, object]] = []
    errors: list[str] = []
    for result in results:
        if isinstance(result, CallError):
            errors.append(str(result))
        elif isinstance(result, BaseException):
            raise result
        else:
            found.append(orjson.loads(result))
    return found, errors

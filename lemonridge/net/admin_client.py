"""The client side of operators' calls to brokers; used by the command line."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable

import orjson

from lemonridge.config.address import Address

REPLY_MAX = 4 << 20  # maximum size of a reply, in bytes
REPLY_WAIT_S = 2.0  # timeout of a call; a broker replies within 1 s


class CallError(Exception):
    """A call failed; the message can be printed to the operator as it is."""


async def call(address: Address, line: str) -> str:
    """Sends a call to a broker and returns the text after ACK.

    Args:
        address: The broker's address for operators' calls.
        line: The call, without a newline.

    Raises:
        CallError: The reply is a NAK, or no reply was received within `REPLY_WAIT_S`.
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
    status, _, text = reply.partition(" ")
    if status != "ACK":
        raise CallError(f"{address}: {text or 'no answer'}")
    return text


async def fetch_fleet_views(addresses: Iterable[Address]) -> tuple[list[dict[str, object]], list[str]]:
    """Returns each broker's view of the fleet, and the errors of the brokers that returned none.

    Args:
        addresses: The brokers' addresses for operators' calls.
    """
    results = await asyncio.gather(*(call(address, "fleet") for address in addresses), return_exceptions=True)
    fleet_views: list[dict[str, object]] = []
    errors: list[str] = []
    for result in results:
        if isinstance(result, CallError):
            errors.append(str(result))
        elif isinstance(result, BaseException):
            raise result
        else:
            fleet_views.append(orjson.loads(result))
    return fleet_views, errors

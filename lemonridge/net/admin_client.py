"""Calls to brokers' operators' addresses, from the command line."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable

import orjson

from lemonridge.config.address import Address

REPLY_MAX = 4 << 20  # of a line that comes back
ANSWER_S = 2.0  # a broker answers within 1 s


class CallError(Exception):
    """A call without a yes; the text is fit to print."""


async def call(address: Address, line: str) -> str:
    """What stands behind the ACK; CallError where there is none in time."""
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout_at(loop.time() + ANSWER_S):
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
    word, _, rest = reply.partition(" ")
    if word != "ACK":
        raise CallError(f"{address}: {rest or 'no answer'}")
    return rest


async def views(addresses: Iterable[Address]) -> tuple[list[dict[str, object]], list[str]]:
    """Each broker's view of the fleet, and why there is none of some."""
    told = await asyncio.gather(*(call(one, "fleet") for one in addresses), return_exceptions=True)
    good: list[dict[str, object]] = []
    bad: list[str] = []
    for one in told:
        if isinstance(one, CallError):
            bad.append(str(one))
        elif isinstance(one, BaseException):
            raise one
        else:
            good.append(orjson.loads(one))
    return good, bad

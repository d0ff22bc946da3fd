"""The errors of the platform's HTTP/1.1 and of its discovery."""

from __future__ import annotations

import aiohttp


class NetError(Exception):
    """Base of this package's errors about what the other side sent."""


class MessageRejectedError(NetError):
    """An HTTP message that goes no further.

    Attributes:
        status: the status code that a client is answered with.
    """

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status


class ConnectionBrokenError(NetError, aiohttp.ClientError):
    """A connection to a server broke, or brought what is no response.

    It is none of the errors after which aiohttp sends a request again by itself.
    """


class DiscoveryError(NetError):
    """A call of discovery without an endpoint list."""


class MalformedListError(DiscoveryError):
    """Discovery's response holds no endpoint list that can be used."""


class DiscoveryStatusError(DiscoveryError):
    """Discovery answered with another status than 200."""

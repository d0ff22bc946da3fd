"""The errors of the HTTP/1.1 implementation and of discovery."""

from __future__ import annotations

import aiohttp


class NetError(Exception):
    """Base of this package's errors about received data."""


class MessageRejectedError(NetError):
    """An HTTP message is malformed or not acceptable.

    If a client sent the message, it receives the status code and the reason.

    Args:
        status: The status code.
        reason: The reason; the body of the error response to a client.

    Attributes:
        status: The status code.
    """

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status


class BuffersFullError(MessageRejectedError):
    """The buffered bodies of all clients have reached their limit, so the client gets 503."""

    def __init__(self) -> None:
        super().__init__(503, "too much is on its way")


class ConnectionBrokenError(NetError, aiohttp.ClientError):
    """A connection to a server broke, or the server sent something other than a valid response.

    It is not one of the errors after which aiohttp repeats a request automatically.
    """


class DiscoveryError(NetError):
    """A call to discovery returned no endpoint list."""


class MalformedListError(DiscoveryError):
    """Discovery's response does not contain a valid endpoint list."""


class DiscoveryStatusError(DiscoveryError):
    """Discovery responded with a status other than 200."""


class AnswerCutError(NetError):
    """The answer of a server ended while more was expected."""


class AnswerTooLongError(NetError):
    """The answer of a server, or one line of it, is longer than its limit."""

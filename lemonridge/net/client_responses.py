"""Encodes responses to clients (RFC 9110, RFC 9112)."""

from __future__ import annotations

import functools
import time
from dataclasses import dataclass
from email.utils import formatdate
from enum import Enum
from http import HTTPStatus

LAST_CHUNK = b"0\r\n\r\n"
BYTES_CONTENT_TYPE = "application/octet-stream"
TEXT_CONTENT_TYPE = "text/plain; charset=utf-8"


@dataclass(frozen=True, slots=True)
class ClientResponse:
    """A response whose complete body is known.

    Attributes:
        status: The status code.
        body: The body.
        content_type: The media type of the body.
        retry_after_us: How long the client is advised to wait before a retry, in microseconds; 0 for no
            advice.
    """

    status: int
    body: bytes = b""
    content_type: str = BYTES_CONTENT_TYPE
    retry_after_us: int = 0


def text_response(status: int, text: str) -> ClientResponse:
    """Returns a response with a plain-text message."""
    return ClientResponse(status, f"{text}\n".encode(), TEXT_CONTENT_TYPE)


class ConnectionOption(Enum):
    """What a response announces about its connection (RFC 9112, 9.3); the value is the header line."""

    PERSISTS = ""
    PERSISTS_FOR_HTTP_1_0 = "Connection: keep-alive\r\n"
    CLOSES = "Connection: close\r\n"


def encode_response(response: ClientResponse, option: ConnectionOption) -> bytes:
    """Encodes the head and the body of a response."""
    fields = f"Content-Length: {len(response.body)}\r\n"
    if response.body:
        fields += f"Content-Type: {response.content_type}\r\n"
    if response.retry_after_us:
        fields += f"Retry-After: {response.retry_after_us / 1e6:.3f}\r\n"
    return _encode_head(response.status, fields, option) + response.body


def encode_stream_head(length: int | None, is_chunked: bool, option: ConnectionOption) -> bytes:
    """Encodes the head of a 200 response whose body is sent separately.

    Args:
        length: The length of the body in bytes; None if it is not known.
        is_chunked: Whether a body of unknown length is chunked; otherwise it ends with the connection.
        option: What the response announces about its connection.
    """
    fields = f"Content-Type: {BYTES_CONTENT_TYPE}\r\n"
    if length is not None:
        fields += f"Content-Length: {length}\r\n"
    elif is_chunked:
        fields += "Transfer-Encoding: chunked\r\n"
    return _encode_head(HTTPStatus.OK, fields, option)


def encode_chunk(data: bytes) -> bytes:
    """Encodes one chunk of a chunked body."""
    return b"%x\r\n%b\r\n" % (len(data), data)


def _encode_head(status: int, fields: str, option: ConnectionOption) -> bytes:
    return (
        f"HTTP/1.1 {status} {HTTPStatus(status).phrase}\r\n{fields}"
        f"Date: {_date(int(time.time()))}\r\n{option.value}\r\n"
    ).encode()


@functools.lru_cache(maxsize=1)
def _date(unix_s: int) -> str:
    return formatdate(unix_s, usegmt=True)

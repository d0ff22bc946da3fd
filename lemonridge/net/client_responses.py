"""The bytes of responses to clients (RFC 9110, RFC 9112)."""

from __future__ import annotations

import functools
import time
from dataclasses import dataclass
from email.utils import formatdate
from enum import Enum
from http import HTTPStatus

LAST_CHUNK = b"0\r\n\r\n"
BYTES_TYPE = "application/octet-stream"
TEXT_TYPE = "text/plain; charset=utf-8"


@dataclass(frozen=True, slots=True)
class ClientResponse:
    """A response whose body is known.

    Attributes:
        status: its code.
        body: its content.
        content_type: of the body.
        retry_after_us: when the client should come back; 0: no advice.
    """

    status: int
    body: bytes = b""
    content_type: str = BYTES_TYPE
    retry_after_us: int = 0


def text_response(status: int, text: str) -> ClientResponse:
    """A response that says something to a person."""
    return ClientResponse(status, f"{text}\n".encode(), TEXT_TYPE)


class ConnectionOption(Enum):
    """What a response says of its connection (RFC 9112, 9.3); the value is the field."""

    PERSISTS = ""
    PERSISTS_FOR_HTTP_1_0 = "Connection: keep-alive\r\n"
    CLOSES = "Connection: close\r\n"


def encode_response(response: ClientResponse, option: ConnectionOption) -> bytes:
    """Head and body of a response."""
    fields = f"Content-Length: {len(response.body)}\r\n"
    if response.body:
        fields += f"Content-Type: {response.content_type}\r\n"
    if response.retry_after_us:
        fields += f"Retry-After: {response.retry_after_us / 1e6:.3f}\r\n"
    return _encode_head(response.status, fields, option) + response.body


def encode_stream_head(length: int | None, is_chunked: bool, option: ConnectionOption) -> bytes:
    """The head of a good response whose body follows: with its length, in chunks, or up to its end."""
    fields = f"Content-Type: {BYTES_TYPE}\r\n"
    if length is not None:
        fields += f"Content-Length: {length}\r\n"
    elif is_chunked:
        fields += "Transfer-Encoding: chunked\r\n"
    return _encode_head(HTTPStatus.OK, fields, option)


def encode_chunk(data: bytes) -> bytes:
    """A part of a chunked body."""
    return b"%x\r\n%b\r\n" % (len(data), data)


def _encode_head(status: int, fields: str, option: ConnectionOption) -> bytes:
    return (
        f"HTTP/1.1 {status} {HTTPStatus(status).phrase}\r\n{fields}"
        f"Date: {_date(int(time.time()))}\r\n{option.value}\r\n"
    ).encode()


@functools.lru_cache(maxsize=1)
def _date(unix_s: int) -> str:
    return formatdate(unix_s, usegmt=True)

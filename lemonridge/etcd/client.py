"""A client of etcd's v3 API over its JSON gateway: ranges, single keys and watches below one prefix."""

from __future__ import annotations

import asyncio
import base64
from collections.abc import AsyncGenerator, Callable, Sequence
from contextlib import aclosing
from dataclasses import dataclass
from typing import Any

import aiohttp
import orjson

from lemonridge.config.etcd import EtcdConfig
from lemonridge.core.counters import Counters
from lemonridge.etcd.errors import CompactedError, EtcdResponseError

WATCH_DURATION_S = 60.0  # a new watch begins this often, since a connection may break without notice
CALL_DEADLINE_S = 5.0  # of a call other than a watch
MESSAGE_BYTES_MAX = 8 << 20  # maximum length of one message of a watch
GRPC_OUT_OF_RANGE = 11  # the error code for a compacted revision
HTTP_OK = 200
# The errors after which a call is repeated, after a pause.
RETRYABLE_ERRORS = (aiohttp.ClientError, OSError, ValueError, KeyError, TypeError)


@dataclass(frozen=True, slots=True)
class Event:
    """A key that was set or deleted.

    Attributes:
        key: The key without the operators' prefix.
        value: The value; None if the key was deleted.
        revision: The revision of the change.
    """

    key: str
    value: bytes | None
    revision: int


def _base64(text: str) -> str:
    return base64.b64encode(text.encode()).decode()


class EtcdClient:
    """A client of one endpoint, for the keys below one prefix; `page_size` is in keys.

    A failed call raises one of RETRYABLE_ERRORS, or CompactedError if its revision is compacted.
    """

    def __init__(self, etcd: EtcdConfig, counters: Counters, page_size: int) -> None:
        self._url, self._prefix = f"http://{etcd.endpoint}/v3", etcd.prefix
        self._counters, self._page_size = counters, page_size

    async def range(
        self, http: aiohttp.ClientSession, kind: str, on_page: Callable[[Sequence[Event]], None]
    ) -> int:
        """Reads all keys that begin with `kind`, in pages of one revision, and returns that revision."""
        key_range = self._key_range(kind)
        request: dict[str, Any] = {**key_range, "limit": str(self._page_size)}
        revision = 0
        while True:
            answer = await self._post(http, "kv/range", request)
            revision = revision or int(answer["header"]["revision"])
            page = answer.get("kvs", [])
            on_page([self._parse_key_value(key_value) for key_value in page])
            if not answer.get("more") or not page:
                self._counters["etcd.ranges"] += 1
                return revision
            next_key = base64.b64encode(base64.b64decode(page[-1]["key"]) + b"\0").decode()
            request = {
                **key_range,
                "key": next_key,
                "limit": str(self._page_size),
                "revision": str(revision),
            }

    async def get(self, http: aiohttp.ClientSession, keys: Sequence[str]) -> list[Event]:
        """Reads single keys, all at one revision; omits those that do not exist."""
        requests = [{"request_range": {"key": _base64(self._prefix + key)}} for key in keys]
        answer = await self._post(http, "kv/txn", {"success": requests})
        ranges = [response["response_range"] for response in answer["responses"]]
        return [
            self._parse_key_value(key_value)
            for response_range in ranges
            for key_value in response_range.get("kvs", ())
        ]

    async def watch(
        self, http: aiohttp.ClientSession, kind: str, revision: int
    ) -> AsyncGenerator[list[Event], None]:
        """Yields the events from `revision` on, one list per message, until WATCH_DURATION_S is over."""
        create = {"create_request": {**self._key_range(kind), "start_revision": str(revision)}}
        deadline_s = asyncio.get_running_loop().time() + WATCH_DURATION_S
        async with http.post(f"{self._url}/watch", data=orjson.dumps(create)) as response:
            if response.status != HTTP_OK:
                raise EtcdResponseError(f"status {response.status}")
            self._counters["etcd.watches"] += 1
            async with aclosing(_read_lines(response, deadline_s)) as lines:
                async for line in lines:
                    yield self._parse_watch_message(orjson.loads(line))

    def _parse_watch_message(self, message: dict[str, Any]) -> list[Event]:
        if "error" in message:
            raise EtcdResponseError(f"the watch failed: {message['error']}")
        result = message["result"]
        if int(result.get("compact_revision", 0)):
            raise CompactedError
        if result.get("canceled"):
            raise EtcdResponseError(f"the watch was cancelled: {result.get('cancel_reason', '')}")
        events = result.get("events", ())
        return [self._parse_key_value(event["kv"], event.get("type") == "DELETE") for event in events]

    def _parse_key_value(self, key_value: dict[str, Any], is_deleted: bool = False) -> Event:
        key = base64.b64decode(key_value["key"]).decode()[len(self._prefix) :]
        value = None if is_deleted else base64.b64decode(key_value.get("value", ""))
        return Event(key, value, int(key_value.get("mod_revision", 0)))

    def _key_range(self, kind: str) -> dict[str, str]:
        """Returns the range of all keys that begin with `kind`."""
        first = self._prefix + kind
        return {"key": _base64(first), "range_end": _base64(first[:-1] + chr(ord(first[-1]) + 1))}

    async def _post(self, http: aiohttp.ClientSession, path: str, request: dict[str, Any]) -> dict[str, Any]:
        async with asyncio.timeout_at(asyncio.get_running_loop().time() + CALL_DEADLINE_S):
            async with http.post(f"{self._url}/{path}", data=orjson.dumps(request)) as response:
                answer = orjson.loads(await response.read())
        if response.status != HTTP_OK:
            if isinstance(answer, dict) and answer.get("code") == GRPC_OUT_OF_RANGE:
                raise CompactedError
            raise EtcdResponseError(f"status {response.status}: {answer}")
        if not isinstance(answer, dict):
            raise EtcdResponseError("the answer is not a JSON object")
        return answer


async def _read_lines(response: aiohttp.ClientResponse, deadline_s: float) -> AsyncGenerator[bytes, None]:
    """Yields the lines of a response until `deadline_s` (loop time).

    Raises:
        EtcdResponseError: The response ends before the deadline, or a line is too long.
    """
    buffer = bytearray()
    while True:
        try:
            async with asyncio.timeout_at(deadline_s):
                chunk = await response.content.readany()
        except TimeoutError:
            return
        if not chunk:
            raise EtcdResponseError("the watch ended")
        buffer += chunk
        *complete, remainder = buffer.split(b"\n")
        buffer = bytearray(remainder)
        if len(buffer) > MESSAGE_BYTES_MAX:
            raise EtcdResponseError("a watch message is too long")
        for line in filter(None, map(bytes.strip, map(bytes, complete))):
            yield line

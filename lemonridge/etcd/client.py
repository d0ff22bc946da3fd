"""A client of etcd's v3 API over its JSON gateway: ranges, single keys and watches below one prefix."""

from __future__ import annotations

import asyncio
import base64
from collections.abc import AsyncGenerator, Callable, Sequence
from contextlib import aclosing
from typing import Any

import orjson

from lemonridge.config.etcd import EtcdConfig
from lemonridge.core.counters import Counters
from lemonridge.etcd.errors import CompactedError, EtcdResponseError
from lemonridge.etcd.events import ChangesRead, Event
from lemonridge.net.deadline_session import CALL_ERRORS, DeadlineSession, HttpCall
from lemonridge.net.errors import AnswerCutError

WATCH_DURATION_S = 60.0  # a new watch begins this often, since a connection may break without notice
CALL_HEAD_MAX_S = 2.5  # until the answer to a range begins, or the first message of a watch
READ_MAX_S = 2.0  # for the whole answer to a read of single keys or of changes
MESSAGE_BYTES_MAX = 8 << 20  # maximum length of one message of a watch
ANSWER_BYTES_MAX = 64 << 20  # of another answer; a page of extents has at most 100,000 keys
GRPC_OUT_OF_RANGE = 11  # the error code for a compacted revision
HTTP_OK = 200
# The errors after which a call is repeated, after a pause.
RETRYABLE_ERRORS = (*CALL_ERRORS, ValueError, KeyError, TypeError)


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
        self, http: DeadlineSession, kind: str, on_page: Callable[[Sequence[Event]], None]
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
            if base64.b64decode(next_key) <= base64.b64decode(request["key"]):
                raise EtcdResponseError(f"a page after {request['key']} ends at {next_key}")
            request = {
                **key_range,
                "key": next_key,
                "limit": str(self._page_size),
                "revision": str(revision),
            }

    async def get(self, http: DeadlineSession, keys: Sequence[str]) -> list[Event]:
        """Reads single keys, all at one revision; omits those that do not exist.

        The read is linearizable: it shows the newest revision that the members of etcd have agreed on.
        """
        answer = await self._read(http, [{"key": _base64(self._prefix + key)} for key in keys])
        ranges = [response["response_range"] for response in answer["responses"]]
        return [
            self._parse_key_value(key_value)
            for response_range in ranges
            for key_value in response_range.get("kvs", ())
        ]

    async def read_changes(self, http: DeadlineSession, kind: str, revision: int) -> ChangesRead:
        """Reads the keys that begin with `kind` and were set after `revision`, and the number of all.

        The read is linearizable. Its `count` is that of all keys of the range, whatever `min_mod_revision`
        filters (etcd API v3, RangeResponse), so it shows deletions too.
        """
        changed_range = {**self._key_range(kind), "min_mod_revision": str(revision + 1)}
        answer = await self._read(http, [changed_range])
        response_range = answer["responses"][0]["response_range"]
        events = (self._parse_key_value(key_value) for key_value in response_range.get("kvs", ()))
        return ChangesRead(
            int(answer["header"]["revision"]),
            tuple(event for event in events if event.revision > revision),
            int(response_range.get("count", 0)),
        )

    async def watch(
        self, http: DeadlineSession, kind: str, revision: int
    ) -> AsyncGenerator[list[Event], None]:
        """Yields the events from `revision` on, one list per message, until WATCH_DURATION_S is over."""
        create = {"create_request": {**self._key_range(kind), "start_revision": str(revision)}}
        call = HttpCall(f"{self._url}/watch", MESSAGE_BYTES_MAX, orjson.dumps(create))
        now_s = asyncio.get_running_loop().time()
        stream = http.stream_lines(
            call, now_s + CALL_HEAD_MAX_S, now_s + WATCH_DURATION_S, self._on_watch_head
        )
        try:
            async with aclosing(stream) as lines:
                async for line in lines:
                    yield self._parse_watch_message(orjson.loads(line))
        except AnswerCutError:
            raise EtcdResponseError("the watch ended") from None

    def _on_watch_head(self, status: int) -> None:
        if status != HTTP_OK:
            raise EtcdResponseError(f"status {status}")
        self._counters["etcd.watches"] += 1

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

    async def _read(self, http: DeadlineSession, ranges: Sequence[dict[str, str]]) -> dict[str, Any]:
        """Reads several ranges in one transaction; the whole answer arrives within READ_MAX_S."""
        requests = [{"request_range": key_range} for key_range in ranges]
        async with asyncio.timeout_at(asyncio.get_running_loop().time() + READ_MAX_S):
            return await self._post(http, "kv/txn", {"success": requests})

    async def _post(self, http: DeadlineSession, path: str, request: dict[str, Any]) -> dict[str, Any]:
        call = HttpCall(f"{self._url}/{path}", ANSWER_BYTES_MAX, orjson.dumps(request))
        response = await http.call(call, asyncio.get_running_loop().time() + CALL_HEAD_MAX_S)
        answer = orjson.loads(response.body)
        if response.status != HTTP_OK:
            if isinstance(answer, dict) and answer.get("code") == GRPC_OUT_OF_RANGE:
                raise CompactedError
            raise EtcdResponseError(f"status {response.status}: {answer}")
        if not isinstance(answer, dict):
            raise EtcdResponseError("the answer is not a JSON object")
        return answer

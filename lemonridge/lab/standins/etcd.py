"""A stand-in for etcd's v3 JSON gateway: ranges by pages and revisions, transactions, watches, compaction.

Published form: etcd API v3 (KV.Range, KV.Txn, Watch.Watch) as its gateway maps it to JSON. Faults are made
on the way to the watchers: a `mangle` function says what becomes of each revision's events.
"""

from __future__ import annotations

import asyncio
import base64
import bisect
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from typing import Any

import orjson
from aiohttp import web

from lemonridge.lab.standins.platform import listen

CHUNK = 7  # bytes of a watch's stream that are written together


@dataclass(frozen=True, slots=True)
class ReceivedCall:
    """One call."""

    path: str
    body: dict[str, Any]


Events = list[dict[str, Any]]
DeliveryPlan = Callable[[int, Events], list[tuple[float, Events]]]  # revision, events -> (delay in s, events)


class WatchStream:
    """A watch: what it was created for, and what it is still to be told, in order."""

    def __init__(self, request: web.BaseRequest, first: bytes, end: bytes) -> None:
        self.request, self.first, self.end = request, first, end
        self.queue: asyncio.Queue[dict[str, Any] | None] = asyncio.Queue()

    def enqueue(self, events: Events) -> None:
        if part := [event for event in events if self.first <= _key(event["kv"]["key"]) < self.end]:
            self.queue.put_nowait({"events": part})


def b64(text: str | bytes) -> str:
    return base64.b64encode(text.encode() if isinstance(text, str) else text).decode()


def _key(text: str) -> bytes:
    return base64.b64decode(text)


class Etcd:
    """One member, which always agrees with itself."""

    def __init__(self) -> None:
        self.revision, self.compacted, self.chunk_bytes, self.port = 1, 0, CHUNK, 0
        self.history: dict[bytes, list[tuple[int, bytes | None]]] = {}
        self.log: list[tuple[int, Events]] = []
        self.received_calls: list[ReceivedCall] = []
        self.streams: set[WatchStream] = set()
        self.blocked_prefix = ""  # ranges of keys that begin so wait until it is empty
        self.plan_delivery: DeliveryPlan = lambda revision, events: [(0.0, events)]
        self.silent = False  # takes calls and answers none
        self.transactions = 0
        self._news = asyncio.Condition()

    async def start(self) -> Etcd:
        self._runner, self.port = await listen(self._serve, self.port)
        return self

    async def stop(self) -> None:
        self.break_watches()
        await self._runner.cleanup()

    # What an operator, or a mover, does

    def transact(self, puts: Mapping[str, Any], deletes: Iterable[str] = ()) -> int:
        """Set and delete keys at one revision, which is returned."""
        self.revision += 1
        events: Events = []
        for key, value in puts.items():
            text = orjson.dumps(value)
            self.history.setdefault(key.encode(), []).append((self.revision, text))
            events.append({"kv": {"key": b64(key), "value": b64(text), "mod_revision": str(self.revision)}})
        for key in deletes:
            self.history[key.encode()].append((self.revision, None))
            events.append({"type": "DELETE", "kv": {"key": b64(key), "mod_revision": str(self.revision)}})
        self.log.append((self.revision, events))
        for delay, part in self.plan_delivery(self.revision, events):
            asyncio.get_running_loop().call_later(delay, self._tell, part)
        return self.revision

    def put(self, key: str, value: Any) -> None:
        self.transact({key: value})

    def delete(self, key: str) -> None:
        self.transact({}, [key])

    def compact(self) -> None:
        self.compacted, self.log = self.revision, []

    def break_watches(self) -> None:
        """Break every watch."""
        for stream in self.streams:
            stream.queue.put_nowait(None)
            if stream.request.transport is not None:
                stream.request.transport.abort()
        self.streams.clear()

    async def wait_until(self, test: Callable[[], bool]) -> None:
        async with self._news:
            await self._news.wait_for(test)

    # What it answers

    def _tell(self, events: Events) -> None:
        for stream in list(self.streams):
            stream.enqueue(events)

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        body = orjson.loads(await request.read())
        self.received_calls.append(ReceivedCall(request.path, body))
        async with self._news:
            self._news.notify_all()
        while (
            self.silent or self.blocked_prefix and self.blocked_prefix.encode() in _key(body.get("key", ""))
        ):
            await asyncio.sleep(0.02)
        if request.path == "/v3/kv/range":
            told = self._range(body)
            return _json(told, 400 if "code" in told else 200)
        if request.path == "/v3/kv/txn":
            self.transactions += 1
            answers = [{"response_range": self._range(one["request_range"])} for one in body["success"]]
            return _json(
                {"header": {"revision": str(self.revision)}, "succeeded": True, "responses": answers}
            )
        return await self._watch(request, body["create_request"])

    def _range(self, asked: dict[str, Any]) -> dict[str, Any]:
        at = int(asked.get("revision", 0)) or self.revision
        if at < self.compacted:
            return {"code": 11, "message": "etcdserver: mvcc: required revision has been compacted"}
        first = _key(asked["key"])
        end = _key(asked["range_end"]) if "range_end" in asked else first + b"\0"
        rows = []
        for key in sorted(key for key in self.history if first <= key < end):
            versions = self.history[key]
            place = bisect.bisect_right(versions, at, key=lambda one: one[0])
            value = versions[place - 1][1] if place else None
            if value is not None:
                rows.append(
                    {"key": b64(key), "value": b64(value), "mod_revision": str(versions[place - 1][0])}
                )
        limit = int(asked.get("limit", 0)) or len(rows)
        told = {"header": {"revision": str(self.revision)}, "kvs": rows[:limit], "count": str(len(rows))}
        return {**told, "more": True} if len(rows) > limit else told

    async def _watch(self, request: web.BaseRequest, asked: dict[str, Any]) -> web.StreamResponse:
        response = web.StreamResponse()
        response.enable_chunked_encoding()
        await response.prepare(request)
        stream = WatchStream(request, _key(asked["key"]), _key(asked["range_end"]))
        start = int(asked["start_revision"])
        stream.queue.put_nowait({"created": True})
        if start <= self.compacted:
            stream.queue.put_nowait({"canceled": True, "compact_revision": str(self.compacted)})
            stream.queue.put_nowait(None)
        else:
            for revision, events in self.log:
                if revision >= start:
                    stream.enqueue(events)
            self.streams.add(stream)
        async with self._news:
            self._news.notify_all()
        try:
            while (result := await stream.queue.get()) is not None:
                while self.silent:
                    await asyncio.sleep(0.02)
                header = {"header": {"revision": str(self.revision)}}
                text = orjson.dumps({"result": {**header, **result}}) + b"\n"
                for at in range(0, len(text), self.chunk_bytes):
                    await response.write(text[at : at + self.chunk_bytes])
        except (ConnectionError, RuntimeError):
            pass  # the watcher has gone
        finally:
            self.streams.discard(stream)
        return response


def _json(told: dict[str, Any], status: int = 200) -> web.Response:
    return web.Response(body=orjson.dumps(told), status=status, content_type="application/json")

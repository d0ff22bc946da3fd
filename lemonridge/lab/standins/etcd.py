"""A stand-in for etcd's v3 JSON gateway: ranges by pages and revisions, transactions, watches, compaction.

It implements etcd API v3 (KV.Range, KV.Txn, Watch.Watch) as etcd's gateway maps it to JSON. Faults are
injected in the delivery to watchers: `plan_delivery` decides which events of each revision are delivered,
and when.
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

DEFAULT_CHUNK_BYTES = 7  # size of each write to a watch's stream


@dataclass(frozen=True, slots=True)
class ReceivedCall:
    """One call that the server received: its path and its decoded JSON body."""

    path: str
    body: dict[str, Any]


Events = list[dict[str, Any]]
# Takes a revision and its events; returns deliveries, each a delay in seconds and events.
DeliveryPlan = Callable[[int, Events], list[tuple[float, Events]]]


class WatchStream:
    """One watch.

    Attributes:
        request: The HTTP request of the watch.
        first: First key of the watched range.
        end: End of the range; the range does not include it.
        queue: Results to send, in order; None ends the watch.
    """

    def __init__(self, request: web.BaseRequest, first: bytes, end: bytes) -> None:
        self.request, self.first, self.end = request, first, end
        self.queue: asyncio.Queue[dict[str, Any] | None] = asyncio.Queue()

    def enqueue(self, events: Events) -> None:
        """Queues the events whose keys are in the watched range."""
        if matching := [event for event in events if self.first <= _key(event["kv"]["key"]) < self.end]:
            self.queue.put_nowait({"events": matching})


def b64(text: str | bytes) -> str:
    """Returns text or bytes in base64, as the gateway encodes keys and values."""
    return base64.b64encode(text.encode() if isinstance(text, str) else text).decode()


def _key(text: str) -> bytes:
    return base64.b64decode(text)


class Etcd:
    """An etcd server of one member.

    Attributes:
        revision: Current revision.
        compacted: Revision up to which the history is compacted.
        chunk_bytes: Size of each write to a watch's stream.
        port: Port of the server, once started.
        history: Revisions and values of each key; a value of None is a deletion.
        log: Revisions since the last compaction, with their events.
        received_calls: All calls so far.
        streams: Open watches.
        blocked_prefix: Calls for keys that contain this text wait until it is empty.
        plan_delivery: Decides which events are delivered to watches, and when.
        silent: Whether calls and watches get no answer.
        transactions: Number of KV.Txn calls so far.
    """

    def __init__(self) -> None:
        self.revision, self.compacted, self.chunk_bytes, self.port = 1, 0, DEFAULT_CHUNK_BYTES, 0
        self.history: dict[bytes, list[tuple[int, bytes | None]]] = {}
        self.log: list[tuple[int, Events]] = []
        self.received_calls: list[ReceivedCall] = []
        self.streams: set[WatchStream] = set()
        self.blocked_prefix = ""
        self.plan_delivery: DeliveryPlan = lambda revision, events: [(0.0, events)]
        self.silent = False
        self.transactions = 0
        self._changed = asyncio.Condition()

    async def start(self) -> Etcd:
        """Starts to listen, at the same port as before if the server was already started once."""
        self._runner, self.port = await listen(self._serve, self.port)
        return self

    async def stop(self) -> None:
        """Breaks all watches and stops listening."""
        self.break_watches()
        await self._runner.cleanup()

    # Changes by operators and movers

    def transact(self, puts: Mapping[str, Any], deletes: Iterable[str] = ()) -> int:
        """Sets and deletes keys in one transaction.

        Args:
            puts: Values to set, by key; they are encoded as JSON.
            deletes: Keys to delete.

        Returns:
            The revision of the transaction.
        """
        self.revision += 1
        events: Events = []
        for key, value in puts.items():
            encoded = orjson.dumps(value)
            self.history.setdefault(key.encode(), []).append((self.revision, encoded))
            events.append(
                {"kv": {"key": b64(key), "value": b64(encoded), "mod_revision": str(self.revision)}}
            )
        for key in deletes:
            self.history[key.encode()].append((self.revision, None))
            events.append({"type": "DELETE", "kv": {"key": b64(key), "mod_revision": str(self.revision)}})
        self.log.append((self.revision, events))
        for delay, delivered in self.plan_delivery(self.revision, events):
            asyncio.get_running_loop().call_later(delay, self._deliver, delivered)
        return self.revision

    def put(self, key: str, value: Any) -> None:
        """Sets one key."""
        self.transact({key: value})

    def delete(self, key: str) -> None:
        """Deletes one key."""
        self.transact({}, [key])

    def compact(self) -> None:
        """Compacts the history up to the current revision."""
        self.compacted, self.log = self.revision, []

    def break_watches(self) -> None:
        """Resets the connection of every watch."""
        for stream in self.streams:
            stream.queue.put_nowait(None)
            if stream.request.transport is not None:
                stream.request.transport.abort()
        self.streams.clear()

    async def wait_until(self, condition: Callable[[], bool]) -> None:
        """Waits until a condition holds; it is checked at each call and each new watch."""
        async with self._changed:
            await self._changed.wait_for(condition)

    # Calls

    def _deliver(self, events: Events) -> None:
        for stream in list(self.streams):
            stream.enqueue(events)

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        body = orjson.loads(await request.read())
        self.received_calls.append(ReceivedCall(request.path, body))
        async with self._changed:
            self._changed.notify_all()
        while (
            self.silent or self.blocked_prefix and self.blocked_prefix.encode() in _key(body.get("key", ""))
        ):
            await asyncio.sleep(0.02)
        if request.path == "/v3/kv/range":
            response = self._range(body)
            return _json(response, 400 if "code" in response else 200)
        if request.path == "/v3/kv/txn":
            self.transactions += 1
            answers = [
                {"response_range": self._range(operation["request_range"])} for operation in body["success"]
            ]
            return _json(
                {"header": {"revision": str(self.revision)}, "succeeded": True, "responses": answers}
            )
        return await self._watch(request, body["create_request"])

    def _range(self, request: dict[str, Any]) -> dict[str, Any]:
        revision = int(request.get("revision", 0)) or self.revision
        if revision < self.compacted:
            return {"code": 11, "message": "etcdserver: mvcc: required revision has been compacted"}
        first = _key(request["key"])
        end = _key(request["range_end"]) if "range_end" in request else first + b"\0"
        entries = []
        for key in sorted(key for key in self.history if first <= key < end):
            versions = self.history[key]
            position = bisect.bisect_right(versions, revision, key=lambda version: version[0])
            value = versions[position - 1][1] if position else None
            if value is not None:
                entries.append(
                    {"key": b64(key), "value": b64(value), "mod_revision": str(versions[position - 1][0])}
                )
        # The count is that of the whole range, whatever the filter and the limit leave of it.
        min_mod_revision = int(request.get("min_mod_revision", 0))
        filtered = [entry for entry in entries if int(entry["mod_revision"]) >= min_mod_revision]
        limit = int(request.get("limit", 0)) or len(filtered)
        response = {
            "header": {"revision": str(self.revision)},
            "kvs": filtered[:limit],
            "count": str(len(entries)),
        }
        return {**response, "more": True} if len(filtered) > limit else response

    async def _watch(self, request: web.BaseRequest, create_request: dict[str, Any]) -> web.StreamResponse:
        response = web.StreamResponse()
        response.enable_chunked_encoding()
        await response.prepare(request)
        stream = WatchStream(request, _key(create_request["key"]), _key(create_request["range_end"]))
        start = int(create_request["start_revision"])
        stream.queue.put_nowait({"created": True})
        if start <= self.compacted:
            stream.queue.put_nowait({"canceled": True, "compact_revision": str(self.compacted)})
            stream.queue.put_nowait(None)
        else:
            for revision, events in self.log:
                if revision >= start:
                    stream.enqueue(events)
            self.streams.add(stream)
        async with self._changed:
            self._changed.notify_all()
        try:
            while (result := await stream.queue.get()) is not None:
                while self.silent:
                    await asyncio.sleep(0.02)
                header = {"header": {"revision": str(self.revision)}}
                line = orjson.dumps({"result": {**header, **result}}) + b"\n"
                for offset in range(0, len(line), self.chunk_bytes):
                    await response.write(line[offset : offset + self.chunk_bytes])
        except (ConnectionError, RuntimeError):
            pass  # the watcher has disconnected
        finally:
            self.streams.discard(stream)
        return response


def _json(body: dict[str, Any], status: int = 200) -> web.Response:
    return web.Response(body=orjson.dumps(body), status=status, content_type="application/json")

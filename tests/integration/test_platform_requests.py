"""Requests of the platform, from a client to an endpoint and back."""

from __future__ import annotations

import asyncio
import gzip
import socket
import time
from pathlib import Path

from harness import (
    TIMEOUT_S,
    Message,
    PlatformCase,
    Server,
    read_message,
    reply,
    reset,
)


class Requests(PlatformCase):
    async def test_read_and_write_are_forwarded_unchanged(self) -> None:
        path = "/read/00000003b4d60021/7f3a9c21e0b4d655?part=%2F1"
        answer = await self.client.request(path=path)
        self.assertEqual((answer.status, answer.body), (200, b"data of " + path.encode()))
        body = bytes(range(256)) * 256
        self.assertEqual((await self.client.request("new-write", body=body)).status, 200)
        read, write = self.node.requests
        self.assertEqual((read.start_line, write.body), (f"GET {path} HTTP/1.1", body))
        self.assertEqual(set(read.headers), {"host", "x-request-id", "x-deadline-ms"})
        self.assertEqual(set(write.headers) - set(read.headers), {"idempotency-key", "content-length"})
        # The remaining time, less the 0.15 s for which the process may be delayed (STANDING).
        self.assertTrue(1750 < int(read.headers["x-deadline-ms"]) < 1850)

    async def test_malformed_requests_are_rejected_and_reach_no_node(self) -> None:
        valid_path = "/read/00000003b4d60021/7f3a9c21e0b4d655"
        for changes, status in (
            ({"path": "/read/3/4"}, 404),
            ({"path": "http://a b" + valid_path}, 400),
            ({"path": valid_path.replace("7f", "zz")}, 404),
            ({"path": valid_path + "/1"}, 404),
            ({"path": valid_path.replace("read", "nap")}, 400),
            ({"X_Class": "new-write"}, 400),
            ({"X_Class": None}, 400),
            ({"X_Qos_Policy": "gold"}, 400),
            ({"X_Request_Id": None}, 400),
            ({"X_Request_Id": "12"}, 400),
            ({"X_Deadline_Ms": None}, 400),
            ({"X_Deadline_Ms": "0"}, 400),
            ({"X_Deadline_Ms": "-5"}, 400),
            ({"X_Deadline_Ms": "1e3"}, 400),
            ({"X_Placement": None}, 400),
            ({"X_Placement": "units=2"}, 400),
            ({"X_Placement": "units=0,shard=0,hosts=1"}, 400),
            ({"X_Placement": "units=2,shard=0,hosts=0"}, 400),
            ({"X_Placement": "units=nan,shard=0,hosts=1"}, 400),
            ({"method": "POST"}, 405),
            ({"method": "PUT"}, 405),
            ({"body": b"x"}, 400),
            ({"cls": "new-write", "method": "GET"}, 405),
            ({"cls": "new-write", "Idempotency_Key": None}, 400),
            ({"X_Placement": "units=7,shard=0,hosts=1"}, 400),  # above the largest request of the settings
            ({"X_Placement": "units=2,shard=2,hosts=1"}, 400),
            ({"X_Placement": "units=2,shard=0,hosts=2"}, 400),
            ({"X_Placement": "units=" + "9" * 400 + ",shard=0,hosts=1"}, 400),
            ({"X_Deadline_Ms": "9" * 5000}, 400),
            ({"x_class": "read"}, 400),
            ({"cls": "new-write", "Idempotency_Key": "é"}, 400),
            ({"path": valid_path + "#1"}, 400),
            ({"path": valid_path.replace("read", "r%65ad")}, 400),
            ({"cls": "new-write", "Transfer_Encoding": "gzip, chunked"}, 501),
            ({"cls": "new-write", "Transfer_Encoding": "chunked", "X": "\r\n\r\nfive"}, 400),
            ({"cls": "new-write", "body": b"0\r\n\r\n", "Transfer_Encoding": "chunked"}, 400),
            ({"Content_Length": "+0"}, 400),
            ({"Content_Length": "-1"}, 400),
            ({"Content_Length": "0, 0"}, 400),
            ({"Content_Length": "9" * 30}, 400),
            ({"cls": "new-write", "Content_Length": "60000000"}, 413),
            ({"content_length": "0", "Content_Length": "0"}, 400),
            ({"X": "p" * 20000}, 431),
            ({"X": "a\nb"}, 400),
            ({"X": "a\0"}, 400),
            ({"method": "CONNECT"}, 405),
        ):
            with self.subTest(changes=changes):
                client = await self.connect()
                self.assertEqual((await client.request(**changes)).status, status)
        self.assertEqual((await (await self.connect()).exchange(b"nonsense\r\n\r\n")).status, 400)
        self.assertEqual(self.node.requests, [])
        self.assertEqual((await self.program.counters()).get("requests.taken", 0), 0)
        self.assertEqual((await self.client.request()).status, 200)

    async def test_request_with_the_id_of_an_open_request_gets_409(self) -> None:
        """Guards against an id of another client's open request, which nodes would receive twice."""
        may_reply = asyncio.Event()

        async def reply_late(_: Server, __: Message, writer: asyncio.StreamWriter) -> None:
            await may_reply.wait()
            reply(writer)

        self.node.script = reply_late
        first_response = asyncio.create_task(self.client.request(X_Request_Id="abcd000000000001"))
        await self.node.wait_until(lambda: bool(self.node.requests))
        other_client = await self.connect()
        self.assertEqual((await other_client.request(X_Request_Id="ABCD000000000001")).status, 409)
        may_reply.set()
        self.assertEqual((await first_response).status, 200)
        self.assertEqual(len(self.node.requests), 1)

    async def test_pipelined_requests_are_answered_in_order_up_to_a_malformed_one(self) -> None:
        self.client.writer.write(
            b"".join(self.client.encode_request() for _ in range(40)) + b"nonsense\r\n\r\n"
        )
        async with asyncio.timeout(TIMEOUT_S):
            responses = [await read_message(self.client.reader) for _ in range(41)]
            self.assertEqual(await self.client.reader.read(), b"")
        self.assertEqual([response.status for response in responses], [200] * 40 + [400])
        self.assertEqual((len(self.node.requests), self.node.connection_count), (40, 1))

    async def test_reset_on_a_reused_connection_causes_one_retry(self) -> None:
        """Guards against aiohttp's client, which resends GET and PUT when a reused connection breaks."""

        async def script(server: Server, message: Message, writer: asyncio.StreamWriter) -> None:
            if len(server.requests) > 1 and not server.requests[-2].headers.get("reset"):
                message.headers["reset"] = "1"
                reset(writer)
            else:
                reply(writer)

        self.node.script = script
        for cls in ("read", "new-write"):
            self.node.requests.clear()
            for status in (200, 200):
                self.assertEqual((await self.client.request(cls)).status, status)
            # Two requests, and the one retry that the scheduler decided on.
            self.assertEqual(len(self.node.requests), 3)
            self.assertEqual(self.node.requests[0].connection, self.node.requests[1].connection)
        counters = await self.program.counters()
        self.assertEqual((counters["attempts.sent"], counters["attempts.reset"]), (6, 2))

    async def test_client_of_the_nodes_follows_no_redirect_and_changes_no_body(self) -> None:
        """Nor does it keep a cookie or use a proxy."""
        compressed = gzip.compress(b"data")

        async def script(server: Server, _: Message, writer: asyncio.StreamWriter) -> None:
            if len(server.requests) == 1:
                reply(writer, status=302, Location=f"http://127.0.0.1:{server.port}/elsewhere")
            else:
                reply(writer, compressed, Content_Encoding="gzip", Set_Cookie="a=b")

        self.node.script = script
        for _ in range(2):
            self.assertEqual((await self.client.request()).body, compressed)
        paths = {message.start_line.split()[1] for message in self.node.requests}
        # The 302 counts as an error and is retried.
        self.assertEqual((len(self.node.requests), len(paths)), (3, 1))
        self.assertNotIn("cookie", self.node.requests[-1].headers)

    async def test_attempt_rejected_with_not_run_is_retried(self) -> None:
        async def script(server: Server, _: Message, writer: asyncio.StreamWriter) -> None:
            if len(server.requests) == 1:
                reply(writer, status=503, X_Not_Run="1")
            else:
                reply(writer, b"x", X_Iops_Used="85", X_Rho="3")

        self.node.script = script
        self.assertEqual((await self.client.request("new-write")).status, 200)
        counters = await self.program.counters()
        self.assertEqual((counters["attempts.queue_full"], counters["attempts.ok"]), (1, 1))

    async def test_abandoned_request_is_rejected_at_once_with_a_decimal_retry_after(self) -> None:
        self.node.listener.close()
        sent_at = time.monotonic()
        response = await self.client.request(X_Deadline_Ms="9000")
        self.assertLess(time.monotonic() - sent_at, 4)
        self.assertEqual(response.status, 503)
        self.assertIn(".", response.headers["retry-after"])
        self.assertGreater(float(response.headers["retry-after"]), 0)

    async def test_request_at_a_silent_node_is_answered_by_its_deadline(self) -> None:
        async def never_reply(*_: object) -> None:
            await asyncio.Event().wait()

        self.node.script = never_reply
        sent_at = time.monotonic()
        self.assertEqual((await self.client.request("new-write", X_Deadline_Ms="400")).status, 502)
        self.assertLess(time.monotonic() - sent_at, 0.45)  # PROTOCOL adds 50 ms to time limits on sockets

    async def test_attempt_of_a_disconnected_client_is_completed(self) -> None:
        may_reply = asyncio.Event()

        async def reply_late(_: Server, __: Message, writer: asyncio.StreamWriter) -> None:
            await may_reply.wait()
            reply(writer)

        self.node.script = reply_late
        disconnecting = await self.connect()
        disconnecting.writer.write(disconnecting.encode_request())
        await self.node.wait_until(lambda: bool(self.node.requests))
        disconnecting.writer.close()
        while (await self.program.counters()).get("answers.client_gone", 0) < 1:
            pass
        may_reply.set()
        while (await self.program.counters()).get("attempts.ok", 0) < 1:
            pass
        self.assertEqual((await self.client.request()).status, 200)
        counters = await self.program.counters()
        self.assertEqual(
            (counters["attempts.ok"], counters["answers.served"], self.node.connection_count), (2, 1, 1)
        )

    async def test_draining_node_receives_no_new_request(self) -> None:
        self.assertEqual((await self.client.request()).status, 200)
        self.discovery.set_endpoint("s-1", self.node.port, health="draining")
        await self.program.wait_for_line("state=draining")
        self.assertEqual((await self.client.request(X_Deadline_Ms="600")).status, 503)
        self.assertEqual(len(self.node.requests), 1)


class ConnectTimeouts(PlatformCase):
    async def test_write_is_rejected_after_a_connect_timeout(self) -> None:
        with socket.socket() as listener:  # with a full backlog, so that a further connect gets no response
            listener.bind(("127.0.0.1", 0))
            listener.listen(0)
            fillers = [socket.socket() for _ in range(3)]
            for filler in fillers:
                filler.setblocking(False)
                filler.connect_ex(listener.getsockname())
            self.discovery.set_endpoint("s-2", listener.getsockname()[1], shard=1)
            await self.program.wait_for_line("endpoint=s-2")
            self.assertEqual(
                (await self.client.request("new-write", shard=1, X_Deadline_Ms="800")).status, 503
            )
            self.assertGreater((await self.program.counters())["attempts.connect_failed"], 0)
            for filler in fillers:
                filler.close()


class ProcessStart(PlatformCase):
    async def test_start_does_not_load_openssl(self) -> None:
        """Guards against slow starts: brokers start together with part of a core each and need no TLS."""
        maps = Path(f"/proc/{self.program.process.pid}/maps").read_text()
        self.assertIn("_http_parser", maps)  # aiohttp is loaded
        self.assertNotIn("libssl", maps)
        self.assertEqual((await self.client.request()).status, 200)

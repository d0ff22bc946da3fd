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


class Serving(PlatformCase):
    async def test_a_read_and_a_write_pass_through_unchanged(self) -> None:
        path = "/read/00000003b4d60021/7f3a9c21e0b4d655?part=%2F1"
        answer = await self.client.request(path=path)
        self.assertEqual((answer.status, answer.body), (200, b"data of " + path.encode()))
        body = bytes(range(256)) * 256
        self.assertEqual((await self.client.request("new-write", body=body)).status, 200)
        read, write = self.node.requests
        self.assertEqual((read.start_line, write.body), (f"GET {path} HTTP/1.1", body))
        self.assertEqual(set(read.headers), {"host", "x-request-id", "x-deadline-ms"})
        self.assertEqual(set(write.headers) - set(read.headers), {"idempotency-key", "content-length"})
        # What is left, less the 0.15 s for which the process may be held up (STANDING).
        self.assertTrue(1750 < int(read.headers["x-deadline-ms"]) < 1850)

    async def test_malformed_requests_get_4xx_and_reach_no_node(self) -> None:
        good = "/read/00000003b4d60021/7f3a9c21e0b4d655"
        for changes, status in (
            ({"path": "/read/3/4"}, 404),
            ({"path": "http://a b" + good}, 400),
            ({"path": good.replace("7f", "zz")}, 404),
            ({"path": good + "/1"}, 404),
            ({"path": good.replace("read", "nap")}, 400),
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
            ({"X_Placement": "units=7,shard=0,hosts=1"}, 400),  # more than the settings know of
            ({"X_Placement": "units=2,shard=2,hosts=1"}, 400),
            ({"X_Placement": "units=2,shard=0,hosts=2"}, 400),
            ({"X_Placement": "units=" + "9" * 400 + ",shard=0,hosts=1"}, 400),
            ({"X_Deadline_Ms": "9" * 5000}, 400),
            ({"x_class": "read"}, 400),
            ({"cls": "new-write", "Idempotency_Key": "é"}, 400),
            ({"path": good + "#1"}, 400),
            ({"path": good.replace("read", "r%65ad")}, 400),
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

    async def test_an_id_that_is_open_is_not_taken_again(self) -> None:
        """A client may send the id of another's open request, and the nodes would see it twice."""
        hold = asyncio.Event()

        async def held(_: Server, __: Message, writer: asyncio.StreamWriter) -> None:
            await hold.wait()
            reply(writer)

        self.node.script = held
        one = asyncio.create_task(self.client.request(X_Request_Id="abcd000000000001"))
        await self.node.wait_until(lambda: bool(self.node.requests))
        other = await self.connect()
        self.assertEqual((await other.request(X_Request_Id="ABCD000000000001")).status, 409)
        hold.set()
        self.assertEqual((await one).status, 200)
        self.assertEqual(len(self.node.requests), 1)

    async def test_requests_sent_ahead_are_answered_in_turn_up_to_a_bad_one(self) -> None:
        self.client.writer.write(
            b"".join(self.client.encode_request() for _ in range(40)) + b"nonsense\r\n\r\n"
        )
        async with asyncio.timeout(TIMEOUT_S):
            answers = [await read_message(self.client.reader) for _ in range(41)]
            self.assertEqual(await self.client.reader.read(), b"")
        self.assertEqual([answer.status for answer in answers], [200] * 40 + [400])
        self.assertEqual((len(self.node.requests), self.node.connection_count), (40, 1))

    async def test_reset_on_a_reused_connection_reaches_the_node_once(self) -> None:
        """aiohttp's client resends GET and PUT by itself when a reused connection breaks."""

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
            # Two requests, and the one further attempt that the module decided on.
            self.assertEqual(len(self.node.requests), 3)
            self.assertEqual(self.node.requests[0].connection, self.node.requests[1].connection)
        counted = await self.program.counters()
        self.assertEqual((counted["attempts.sent"], counted["attempts.reset"]), (6, 2))

    async def test_the_client_towards_nodes_does_nothing_of_its_own(self) -> None:
        """No redirect is followed, no cookie kept, no proxy asked, no body decompressed."""
        packed = gzip.compress(b"data")

        async def script(server: Server, _: Message, writer: asyncio.StreamWriter) -> None:
            if len(server.requests) == 1:
                reply(writer, status=302, Location=f"http://127.0.0.1:{server.port}/elsewhere")
            else:
                reply(writer, packed, Content_Encoding="gzip", Set_Cookie="a=b")

        self.node.script = script
        for _ in range(2):
            self.assertEqual((await self.client.request()).body, packed)
        paths = {message.start_line.split()[1] for message in self.node.requests}
        self.assertEqual(
            (len(self.node.requests), len(paths)), (3, 1)
        )  # the 302 was an error, and tried again
        self.assertNotIn("cookie", self.node.requests[-1].headers)

    async def test_turned_away_is_tried_again_and_an_error_may_have_run(self) -> None:
        async def script(server: Server, _: Message, writer: asyncio.StreamWriter) -> None:
            if len(server.requests) == 1:
                reply(writer, status=503, X_Not_Run="1")
            else:
                reply(writer, b"x", X_Iops_Used="85", X_Rho="3")

        self.node.script = script
        self.assertEqual((await self.client.request("new-write")).status, 200)
        counted = await self.program.counters()
        self.assertEqual((counted["attempts.queue_full"], counted["attempts.ok"]), (1, 1))

    async def test_what_is_given_up_is_refused_at_once_with_decimal_advice(self) -> None:
        self.node.listener.close()
        began = time.monotonic()
        answer = await self.client.request(X_Deadline_Ms="9000")
        self.assertLess(time.monotonic() - began, 4)
        self.assertEqual(answer.status, 503)
        self.assertIn(".", answer.headers["retry-after"])
        self.assertGreater(float(answer.headers["retry-after"]), 0)

    async def test_a_silent_node_is_answered_for_before_the_client_gives_up(self) -> None:
        async def silent(*_: object) -> None:
            await asyncio.Event().wait()

        self.node.script = silent
        began = time.monotonic()
        self.assertEqual((await self.client.request("new-write", X_Deadline_Ms="400")).status, 502)
        self.assertLess(time.monotonic() - began, 0.45)  # the rules give 50 ms more on sockets

    async def test_client_gone_leaves_the_attempt_to_its_end(self) -> None:
        hold = asyncio.Event()

        async def held(_: Server, __: Message, writer: asyncio.StreamWriter) -> None:
            await hold.wait()
            reply(writer)

        self.node.script = held
        gone = await self.connect()
        gone.writer.write(gone.encode_request())
        await self.node.wait_until(lambda: bool(self.node.requests))
        gone.writer.close()
        while (await self.program.counters()).get("answers.client_gone", 0) < 1:
            pass
        hold.set()
        while (await self.program.counters()).get("attempts.ok", 0) < 1:
            pass
        self.assertEqual((await self.client.request()).status, 200)
        counted = await self.program.counters()
        self.assertEqual(
            (counted["attempts.ok"], counted["answers.served"], self.node.connection_count), (2, 1, 1)
        )

    async def test_a_draining_node_gets_nothing_new(self) -> None:
        self.assertEqual((await self.client.request()).status, 200)
        self.discovery.set_endpoint("s-1", self.node.port, health="draining")
        await self.program.wait_for_line("state=draining")
        self.assertEqual((await self.client.request(X_Deadline_Ms="600")).status, 503)
        self.assertEqual(len(self.node.requests), 1)


class Connecting(PlatformCase):
    async def test_a_connect_past_its_limit_never_ran(self) -> None:
        with socket.socket() as deaf:  # its backlog is full, so a further connect gets no word
            deaf.bind(("127.0.0.1", 0))
            deaf.listen(0)
            fill = [socket.socket() for _ in range(3)]
            for one in fill:
                one.setblocking(False)
                one.connect_ex(deaf.getsockname())
            self.discovery.set_endpoint("s-2", deaf.getsockname()[1], shard=1)
            await self.program.wait_for_line("endpoint=s-2")
            self.assertEqual(
                (await self.client.request("new-write", shard=1, X_Deadline_Ms="800")).status, 503
            )
            self.assertGreater((await self.program.counters())["attempts.connect_failed"], 0)
            for one in fill:
                one.close()


class Starting(PlatformCase):
    async def test_a_start_loads_no_openssl(self) -> None:
        """Most brokers of a fleet start together, on a part of a core each; the platform speaks plain TCP."""
        maps = Path(f"/proc/{self.program.process.pid}/maps").read_text()
        self.assertIn("_http_parser", maps)  # aiohttp is there
        self.assertNotIn("libssl", maps)
        self.assertEqual((await self.client.request()).status, 200)

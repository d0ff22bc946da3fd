"""The base class of the tests of crossing events."""

from __future__ import annotations

from harness import (
    Client,
    PlatformCase,
)


class CrossingCase(PlatformCase):
    """A program in which two events are made to cross."""

    async def wait_until_processed(self) -> None:
        """Waits until the program has read and handled everything sent to it before this call.

        The program handles a new round trip in a later iteration of its event loop than data that arrived
        before; the second round trip comes after the callbacks that were scheduled in that iteration.
        """
        client = await Client(self.port).open()
        for _ in range(2):
            await client.exchange(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
        client.writer.close()

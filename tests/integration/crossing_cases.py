"""What the tests of crossing events share."""

from __future__ import annotations

from harness import (
    Client,
    PlatformCase,
)


class CrossingCase(PlatformCase):
    async def settled(self) -> None:
        """All that has come to the program so far has been read and acted on: a round trip that begins now
        takes a later turn of its loop, and the second one a turn after what that turn began."""
        other = await Client(self.port).open()
        for _ in range(2):
            await other.raw(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
        other.writer.close()

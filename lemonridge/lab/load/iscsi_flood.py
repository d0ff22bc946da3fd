"""Initiators that send commands at full speed and read all answers.

One process opens a number of sessions with an iSCSI front. It is the load beside which tests measure what
other initiators get.

    python -m lemonridge.lab.load.iscsi_flood inquiries --port 3260 --sessions 8 --seconds 5
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import itertools
from enum import Enum

from lemonridge.iscsi.pdu import FINAL, Op, Pdu, pack_lun
from lemonridge.lab.load.initiator import Initiator

COMMANDS_PER_WRITE = 300
INQUIRY_BYTES, BLOCK_BYTES = 96, 512
INQUIRY_CDB = bytes((0x12, 0, 0, 0, INQUIRY_BYTES)) + bytes(11)
READ_CDB = bytes((0x28, 0, 0, 0, 0, 3, 0, 0, 1)) + bytes(7)
READ_BYTES = 1 << 18


class CommandKind(Enum):
    """What the initiators send; the values are the names on the command line."""

    INQUIRIES = "inquiries"  # which the front answers by itself
    READS = "reads"  # which a node executes


class IscsiFlood:
    """One flood.

    Args:
        kind: What the initiators send.
        port: The port of the front on loopback.

    Attributes:
        commands: The number of commands written.
        received_bytes: The length of all answers.
    """

    def __init__(self, kind: CommandKind, port: int) -> None:
        self._kind, self._port = kind, port
        self._batches = itertools.count(1)
        self.commands = self.received_bytes = 0
        self._inquiries = self._encode(1)

    async def run(self, sessions: int, seconds: float) -> None:
        """Floods until the time is over."""
        ends_at_s = asyncio.get_running_loop().time() + seconds
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout_at(ends_at_s):
                await asyncio.gather(*(self._flood(number) for number in range(sessions)))

    async def _flood(self, number: int) -> None:
        """Logs in, sends immediate commands without a pause and reads the answers; again after a reset."""
        while True:
            with contextlib.suppress(OSError):
                await self._flood_once(number)

    async def _flood_once(self, number: int) -> None:
        """Floods over one connection until it ends."""
        initiator = Initiator(self._port)
        initiator.isid = b"\x80" + (1000 + number).to_bytes(5, "big")
        await initiator.open()
        await initiator.login(InitiatorName=f"iqn.2026-12.org.lemonridge:flood-{number}")
        reading = asyncio.create_task(self._read_answers(initiator.reader))
        try:
            while not reading.done():
                initiator.writer.write(self._next_commands())
                self.commands += COMMANDS_PER_WRITE
                await initiator.writer.drain()
        finally:
            reading.cancel()
            initiator.writer.close()

    def _next_commands(self) -> bytes:
        """Returns the commands of one write.

        An INQUIRY is answered at once, so its tag is free again; the tag of a read is not.
        """
        if self._kind is CommandKind.INQUIRIES:
            return self._inquiries
        return self._encode(next(self._batches) * COMMANDS_PER_WRITE)

    def _encode(self, first_tag: int) -> bytes:
        """Returns immediate commands, which take no CmdSN, with consecutive tags."""
        is_read = self._kind is CommandKind.READS
        cdb, length = (READ_CDB, BLOCK_BYTES) if is_read else (INQUIRY_CDB, INQUIRY_BYTES)
        cdb_words = [int.from_bytes(cdb[offset : offset + 4], "big") for offset in range(0, 16, 4)]
        return b"".join(
            Pdu(
                Op.SCSI_COMMAND,
                FINAL | 0x40 | 1,  # reads; simple task
                lun=pack_lun(0),
                tag=first_tag + offset,
                immediate=True,
                words=[length, 1, 1, *cdb_words],
            ).encode()
            for offset in range(COMMANDS_PER_WRITE)
        )

    async def _read_answers(self, reader: asyncio.StreamReader) -> None:
        """Reads answers until the front closes the connection."""
        with contextlib.suppress(OSError):
            while data := await reader.read(READ_BYTES):
                self.received_bytes += len(data)


async def _run(options: argparse.Namespace) -> None:
    """Runs the flood of the command line and prints its counts."""
    flood = IscsiFlood(CommandKind(options.kind), options.port)
    await flood.run(options.sessions, options.seconds)
    print(f"commands={flood.commands} received_bytes={flood.received_bytes}")


def main() -> None:
    """Runs a flood from the command line."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("kind", choices=[kind.value for kind in CommandKind])
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--sessions", type=int, default=8)
    parser.add_argument("--seconds", type=float, default=5.0)
    asyncio.run(_run(parser.parse_args()))


if __name__ == "__main__":
    main()

"""Initiators that send at full speed and read what they are sent: `flood.py PORT CONNECTIONS`."""

from __future__ import annotations

import asyncio
import sys

from lemonridge.iscsi.pdu import FINAL, Op, Pdu, pack_lun, pack_text, read_pdu

CHUNK_PDUS = 300  # "hundreds of requests at once"
INQUIRY = (0x12 << 24, 96 << 8, 0, 0)  # words of the CDB: 96 bytes of the standard data


async def flood(port: int, number: int) -> None:
    """Logs in and sends INQUIRY, marked immediate, as fast as the target takes it."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    keys = {
        "InitiatorName": f"iqn.2026-12.org.example:flood-{number}",
        "TargetName": "iqn.2026-12.org.lemonridge:store",
        "SessionType": "Normal",
    }
    login = Pdu(
        Op.LOGIN,
        FINAL | 1 << 2 | 3,
        lun=b"\x80" + (1000 + number).to_bytes(5, "big") + bytes(2),
        tag=0,
        immediate=True,
        words=[0, 1, 0, 0, 0, 0, 0],
        data=pack_text(keys.items()),
    )
    writer.write(login.encode())
    await read_pdu(reader)
    chunk = b"".join(
        Pdu(
            Op.SCSI_COMMAND,
            FINAL | 0x40 | 1,
            lun=pack_lun(0),
            tag=tag,
            immediate=True,
            words=[96, 1, 1, *INQUIRY],
        ).encode()
        for tag in range(1, CHUNK_PDUS + 1)
    )

    async def send() -> None:
        """Sends without a pause but for the target's own."""
        while True:
            writer.write(chunk)
            await writer.drain()

    sending = asyncio.create_task(send())
    while await reader.read(1 << 18):
        pass
    sending.cancel()


async def main() -> None:
    """Floods over all connections."""
    port, connections = (int(word) for word in sys.argv[1:3])
    await asyncio.gather(*(flood(port, number) for number in range(connections)))


asyncio.run(main())

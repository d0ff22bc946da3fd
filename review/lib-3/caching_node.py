"""A stand-in node with a volatile write cache: the project's own, and what SBC-3 says of such a cache.

SBC-3, 4.15: written blocks may stand in a volatile cache until SYNCHRONIZE CACHE has ended with GOOD; a loss
of power loses the rest. The mode page of the broker tells initiators of a write cache (WCE).
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from lemonridge.iscsi import scsi
from lemonridge.iscsi.pdu import Pdu, unpack_lun
from lemonridge.lab.standins import node as standin

SYNCHRONIZE_CACHES = (0x35, 0x91)


class CachingNode(standin.ExtentNode):
    """A node that holds written blocks in a volatile cache until it is told to synchronize it.

    Attributes:
        durable: The content of the medium, by LUN and block.
        synchronized: The number of SYNCHRONIZE CACHE commands that it has executed.
        reports_power_on: Whether the first command of each session is answered with the unit attention
            POWER ON (SAM-5, 5.14; SPC-4, 29h/00h) and not executed.
        on_event: Called with a line for each command that it executes.
    """

    def __init__(self, *arguments: Any, **options: Any) -> None:
        super().__init__(*arguments, **options)
        self.durable: dict[tuple[int, int], bytes] = {}
        self.synchronized = 0
        self.reports_power_on = False
        self.on_event: Callable[[str], None] = lambda line: None

    def add_extent(
        self, key: standin.ExtentKey, extent: standin.HeldExtent, blocks: dict[int, bytes]
    ) -> None:
        """Takes an extent over; its content is durable."""
        super().add_extent(key, extent, blocks)
        self.durable.update({(key[0], block): data for block, data in blocks.items()})

    def synchronize(self, lun: int) -> None:
        """Makes all written blocks of a LUN durable."""
        self.synchronized += 1
        self.durable.update({place: data for place, data in self.blocks.items() if place[0] == lun})
        self.on_event(f"{self.name}: executed SYNCHRONIZE CACHE")

    def lose_power(self) -> None:
        """Dies, and loses what is in the cache alone."""
        self.kill()
        self.blocks = dict(self.durable)

    async def _connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connection = _CachingConnection(self, reader, writer)
        self._connections.add(connection)
        try:
            await connection.run()
        except (OSError, EOFError, asyncio.CancelledError):
            pass
        finally:
            self._connections.discard(connection)
            connection.abort()


class _CachingConnection(standin._Connection):
    """A session that executes SYNCHRONIZE CACHE too."""

    node: CachingNode
    _told_of_power_on = False

    def _on_command(self, pdu: Pdu) -> None:
        lun, opcode = unpack_lun(pdu.lun), pdu.cdb[0]
        if self.node.reports_power_on and not self._told_of_power_on:
            self._told_of_power_on = True
            self.node.on_event(
                f"{self.node.name}: answers {opcode:#04x} with POWER ON, RESET, OR BUS DEVICE RESET"
            )
            self._send_status(pdu, scsi.check_condition(0x06, 0x29))
            return
        if lun is not None and opcode in SYNCHRONIZE_CACHES:
            self.node.synchronize(lun)
        elif opcode in scsi.READ_WRITE_CDB_BYTES:
            first, count = scsi.block_range(pdu.cdb)
            kind = "WRITE" if opcode in scsi.WRITES else "READ"
            self.node.on_event(f"{self.node.name}: received {kind} of blocks {first} to {first + count - 1}")
        super()._on_command(pdu)

"""A simple iSCSI initiator with one connection, which counts the responses to each command."""

from __future__ import annotations

import asyncio
import itertools
import struct

from lemonridge.iscsi.pdu import FINAL, Op, Pdu, pack_lun, pack_text, read_pdu

ANSWER_TIMEOUT_S = 10.0  # a response takes this long only if the broker fails
SEGMENT_BYTES = 8192
_isids = itertools.count(1)


def cdb(opcode: int, block: int, length: int) -> bytes:
    """Returns the CDB of a READ or WRITE (10) of `length` bytes in blocks of 512 bytes."""
    return struct.pack(">BBIBHB", opcode, 0, block, 0, length // 512, 0)


class Initiator:
    """An initiator's session.

    Attributes:
        port: Port of the target.
        segment: MaxRecvDataSegmentLength that the initiator declares.
        last_tag: Task tag of the latest command.
        next_cmd_sn: Next CmdSN.
        pending: Future response, data read and data to write of each command, by task tag.
        answer_counts: Number of responses to each command, by task tag.
        other_pdus: Received PDUs that are no response, data or R2T; an ASYNC PDU marks the end of the
            connection.
        receiver: Task that receives PDUs.
        isid: ISID of the session.
    """

    def __init__(self, port: int, segment: int = SEGMENT_BYTES) -> None:
        self.port, self.segment, self.last_tag, self.next_cmd_sn = port, segment, 0, 0
        self.pending: dict[int, tuple[asyncio.Future[Pdu], bytearray, bytes]] = {}
        self.answer_counts: dict[int, int] = {}
        self.other_pdus: asyncio.Queue[Pdu] = asyncio.Queue()
        self.receiver: asyncio.Task[None] | None = None
        self.isid = b"\x80" + next(_isids).to_bytes(5, "big")

    async def open(self) -> Initiator:
        """Connects without logging in."""
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.port)
        return self

    def send(self, pdu: Pdu) -> None:
        """Sends a PDU with the next CmdSN."""
        if pdu.opcode != Op.DATA_OUT:
            pdu.words[1] = self.next_cmd_sn
            self.next_cmd_sn += not pdu.immediate
        self.writer.write(pdu.encode())

    async def login(self, flags: int = FINAL | 1 << 2 | 3, **keys: str | None) -> Pdu:
        """Sends one login request and returns the response.

        Args:
            flags: Flags of the request.
            **keys: Login keys to add or change; None removes a key.
        """
        login_keys: dict[str, str | None] = {
            "InitiatorName": "iqn.2026-12.org.lemonridge:test",
            "TargetName": "iqn.2026-12.org.lemonridge:store",
            "SessionType": "Normal",
            "MaxRecvDataSegmentLength": str(self.segment),
            **keys,
        }
        data = pack_text((key, value) for key, value in login_keys.items() if value is not None)
        self.send(Pdu(Op.LOGIN, flags, lun=self.isid + bytes(2), tag=0, immediate=True, data=data))
        async with asyncio.timeout(ANSWER_TIMEOUT_S):
            return await read_pdu(self.reader)

    async def start(self) -> Initiator:
        """Connects, logs in and starts to receive.

        Raises:
            ConnectionError: The login was rejected.
        """
        await self.open()
        answer = await self.login()
        if answer.words[4]:
            raise ConnectionError(f"login refused with {answer.words[4] >> 16:#06x}")
        self.receiver = asyncio.create_task(self._receive())
        return self

    async def _receive(self) -> None:
        try:
            while True:
                pdu = await read_pdu(self.reader)
                if pdu.opcode == Op.DATA_IN:
                    self.pending[pdu.tag][1].extend(pdu.data)
                elif pdu.opcode == Op.R2T:
                    self._data_out(pdu)
                elif pdu.opcode == Op.SCSI_RESPONSE:
                    self.answer_counts[pdu.tag] = self.answer_counts.get(pdu.tag, 0) + 1
                    if not self.pending[pdu.tag][0].done():
                        self.pending[pdu.tag][0].set_result(pdu)
                else:
                    self.other_pdus.put_nowait(pdu)
        except (asyncio.IncompleteReadError, ConnectionError):
            for future, _, _ in self.pending.values():
                if not future.done():
                    future.set_exception(ConnectionResetError())
            self.other_pdus.put_nowait(Pdu(Op.ASYNC, tag=0))

    def _data_out(self, pdu: Pdu) -> None:
        start, length = pdu.words[5:7]
        data = self.pending[pdu.tag][2]
        for data_sn, offset in enumerate(range(start, start + length, 8192)):
            end = min(offset + 8192, start + length)
            flags = FINAL if end == start + length else 0
            self.send(
                Pdu(
                    Op.DATA_OUT,
                    flags,
                    lun=pdu.lun,
                    tag=pdu.tag,
                    data=data[offset:end],
                    words=[pdu.words[0], 0, 0, 0, data_sn, offset, 0],
                )
            )

    def command(self, cdb: bytes, read: int = 0, data: bytes = b"", lun: int = 0, attribute: int = 0) -> int:
        """Sends a command and returns its task tag.

        The first half of a write's data, up to 4096 bytes, is sent as immediate data.

        Args:
            cdb: The CDB.
            read: Number of bytes to read.
            data: Data to write.
            lun: The LUN.
            attribute: Task attribute.
        """
        self.last_tag += 1
        immediate_data = data[: min(4096, len(data) // 2)]
        words = list(struct.unpack(">4I", cdb.ljust(16, b"\0")))
        flags = FINAL | (0x40 if read else 0) | (0x20 if data else 0) | attribute
        self.pending[self.last_tag] = (asyncio.get_running_loop().create_future(), bytearray(), data)
        self.send(
            Pdu(
                Op.SCSI_COMMAND,
                flags,
                lun=pack_lun(lun),
                tag=self.last_tag,
                data=immediate_data,
                words=[read or len(data), 0, 0, *words],
            )
        )
        return self.last_tag

    async def answer(self, tag: int) -> tuple[int, bytes, bytes]:
        """Waits for the response to a command; returns its status, the data read and the sense data."""
        async with asyncio.timeout(ANSWER_TIMEOUT_S):
            pdu = await self.pending[tag][0]
        return pdu.byte3, bytes(self.pending[tag][1]), pdu.data[2:]

    async def read(self, block: int, length: int, lun: int = 0) -> tuple[int, bytes, bytes]:
        """Reads `length` bytes; returns status, data and sense data."""
        return await self.answer(self.command(cdb(0x28, block, length), read=length, lun=lun))

    async def write(self, block: int, data: bytes, lun: int = 0) -> tuple[int, bytes, bytes]:
        """Writes data; returns status, no data and sense data."""
        return await self.answer(self.command(cdb(0x2A, block, len(data)), data=data, lun=lun))

    def forget(self, tag: int) -> None:
        """Frees the data of a command; further responses to it are still counted."""
        future, _, _ = self.pending[tag]
        self.pending[tag] = (future, bytearray(), b"")

    def close(self) -> None:
        """Closes the connection without logging out."""
        if self.receiver is not None:
            self.receiver.cancel()
        self.writer.close()

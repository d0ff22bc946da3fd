"""The suite's own initiator: it sends what a case says, right or wrong, and takes one PDU after the other."""

from __future__ import annotations

import asyncio
import itertools
import struct
from typing import Any

from lemonridge.iscsi.pdu import FINAL, RESERVED_TAG, Op, Pdu, pack_lun, pack_text, read_pdu, unpack_text

PATIENCE_S = 4.0  # for a PDU that must come
QUIET_S = 0.15  # for one that must not
_isids = itertools.count(1)


class CaseError(AssertionError):
    """What a case expected did not hold; the text says what came instead."""


def expect(holds: bool, what: object) -> None:
    if not holds:
        raise CaseError(str(what))


def expect_equal(got: object, want: object, what: str = "") -> None:
    if got != want:
        raise CaseError(f"{what + ': ' if what else ''}{got!r}, not {want!r}")


class Peer:
    """One connection."""

    def __init__(self, host: str, port: int, target: str, initiator: str, isid: bytes | None = None) -> None:
        self.host, self.port, self.target, self.initiator = host, port, target, initiator
        self.isid = isid or b"\x80" + next(_isids).to_bytes(5, "big")
        self.cmd_sn, self.exp_stat_sn, self.tags = 1, 0, itertools.count(1)
        self.header_digest = self.data_digest = False
        self.tsih = self.cid = 0
        self.negotiated: dict[str, str] = {}

    async def open(self) -> Peer:
        self.reader, self.writer = await asyncio.open_connection(self.host, self.port)
        return self

    def close(self, reset: bool = False) -> None:
        if reset:
            self.writer.transport.abort()
        else:
            self.writer.close()

    # PDUs

    def send(self, pdu: Pdu, number: bool = True) -> Pdu:
        """Send; with the next command number and what was seen of the statuses, unless the case sets them."""
        if number and pdu.opcode != Op.DATA_OUT and pdu.opcode != Op.SNACK:
            pdu.words[1] = self.cmd_sn
            self.cmd_sn = (self.cmd_sn + (not pdu.immediate)) % (1 << 32)
        if number:
            pdu.words[2] = self.exp_stat_sn
        self.writer.write(pdu.encode(self.header_digest, self.data_digest))
        return pdu

    def send_bytes(self, data: bytes) -> None:
        self.writer.write(data)

    async def receive(self, opcode: int | None = None) -> Pdu:
        """The next PDU, which must be of `opcode` if that is given."""
        try:
            async with asyncio.timeout_at(asyncio.get_running_loop().time() + PATIENCE_S):
                pdu = await read_pdu(self.reader, 1 << 24, self.header_digest, self.data_digest)
        except TimeoutError:
            raise CaseError("nothing came") from None
        except (asyncio.IncompleteReadError, ConnectionError):
            raise CaseError("the connection ended") from None
        takes = pdu.opcode not in (Op.R2T, Op.DATA_IN) and not (
            pdu.opcode == Op.NOP_IN and pdu.tag == RESERVED_TAG
        )
        if takes:
            expect_equal(pdu.words[1], self.exp_stat_sn, "StatSN") if self.exp_stat_sn else None
            self.exp_stat_sn = (pdu.words[1] + 1) % (1 << 32)
        if opcode is not None:
            expect_equal(pdu.opcode, opcode, "opcode")
        return pdu

    async def expect_silence(self) -> None:
        """Nothing may come now."""
        try:
            async with asyncio.timeout_at(asyncio.get_running_loop().time() + QUIET_S):
                pdu = await read_pdu(self.reader, 1 << 24, self.header_digest, self.data_digest)
        except TimeoutError:
            return
        except (asyncio.IncompleteReadError, ConnectionError):
            raise CaseError("the connection ended") from None
        raise CaseError(f"opcode {pdu.opcode:#04x} came")

    async def expect_close(self) -> None:
        """The connection must end, whatever is said before."""
        try:
            async with asyncio.timeout_at(asyncio.get_running_loop().time() + PATIENCE_S):
                while await self.reader.read(65536):
                    pass
        except TimeoutError:
            raise CaseError("the connection goes on") from None
        except ConnectionError:
            pass

    # Login

    async def login_step(
        self, flags: int, pairs: dict[str, str | None] | bytes, tsih: int | None = None, **changes: Any
    ) -> Pdu:
        """One login request, and its response."""
        data = (
            pairs
            if isinstance(pairs, bytes)
            else pack_text((key, value) for key, value in pairs.items() if value is not None)
        )
        lun = self.isid + (self.tsih if tsih is None else tsih).to_bytes(2, "big")
        pdu = Pdu(Op.LOGIN, flags, lun=lun, tag=7, immediate=True, data=data)
        for name, value in changes.items():
            setattr(pdu, name, value)
        pdu.words[0] = self.cid << 16
        self.send(pdu)
        return await self.receive(Op.LOGIN_RESPONSE)

    def login_keys(self, **keys: str | None) -> dict[str, str | None]:
        return {"InitiatorName": self.initiator, "TargetName": self.target, "SessionType": "Normal", **keys}

    async def login(self, **keys: str | None) -> Peer:
        """DirectLink to the full feature phase; the answers are kept in `told`."""
        answer = await self.login_step(FINAL | 1 << 2 | 3, self.login_keys(**keys))
        expect_equal(answer.words[4] >> 16, 0, "login status")
        self.negotiated = unpack_text(answer.data)
        self.tsih = int.from_bytes(answer.lun[6:], "big")
        self.header_digest = self.negotiated.get("HeaderDigest") == "CRC32C"
        self.data_digest = self.negotiated.get("DataDigest") == "CRC32C"
        return self

    # Commands

    def send_command(
        self,
        cdb: bytes,
        read: int = 0,
        data: bytes = b"",
        lun: int = 0,
        along: int | None = None,
        final: bool = True,
        tag: int | None = None,
        length: int | None = None,
        immediate: bool = False,
    ) -> int:
        """Send a command; `along` bytes of its data go with it (all by default). Its tag is returned."""
        tag = next(self.tags) if tag is None else tag
        words = list(struct.unpack(">4I", cdb.ljust(16, b"\0")))
        flags = (FINAL if final else 0) | (0x40 if read else 0) | (0x20 if data else 0) | 1
        part = data if along is None else data[:along]
        self.send(
            Pdu(
                Op.SCSI_COMMAND,
                flags,
                lun=pack_lun(lun),
                tag=tag,
                data=part,
                immediate=immediate,
                words=[read or (len(data) if length is None else length), 0, 0, *words],
            )
        )
        return tag

    def send_data_out(
        self, tag: int, transfer: int, data_sn: int, offset: int, data: bytes, final: bool = True
    ) -> None:
        self.send(
            Pdu(
                Op.DATA_OUT,
                FINAL if final else 0,
                tag=tag,
                data=data,
                words=[transfer, 0, 0, 0, data_sn, offset, 0],
            )
        )

    async def receive_response(self, tag: int) -> tuple[Pdu, bytes]:
        """The response of a command and its data, which must come in order; R2Ts must not come."""
        data, count = b"", 0
        while True:
            pdu = await self.receive()
            expect_equal(pdu.tag, tag, "task tag")
            if pdu.opcode == Op.DATA_IN:
                expect_equal((pdu.words[4], pdu.words[5]), (count, len(data)), "DataSN and offset")
                data, count = data + pdu.data, count + 1
                continue
            expect_equal(pdu.opcode, Op.SCSI_RESPONSE, "opcode")
            expect_equal(pdu.words[4], count, "ExpDataSN")
            return pdu, data

    async def execute(
        self, cdb: bytes, read: int = 0, data: bytes = b"", lun: int = 0
    ) -> tuple[int, bytes, bytes]:
        """A command from end to end: status, data and sense."""
        response, found = await self.receive_response(self.send_command(cdb, read, data, lun))
        return response.byte3, found, response.data[2:]

    async def expect_good(self, cdb: bytes, read: int = 0, data: bytes = b"", lun: int = 0) -> bytes:
        status, found, sense = await self.execute(cdb, read, data, lun)
        expect_equal(status, 0, f"status of {cdb[0]:#04x} with sense {sense.hex()}")
        return found

    async def expect_sense(
        self,
        cdb: bytes,
        key: int,
        code: int,
        qualifier: int = 0,
        read: int = 0,
        data: bytes = b"",
        lun: int = 0,
    ) -> None:
        status, _, sense = await self.execute(cdb, read, data, lun)
        expect_equal(
            (status, sense[2:3].hex(), sense[12:14].hex()),
            (2, f"{key:02x}", f"{code:02x}{qualifier:02x}"),
            f"sense of {cdb[0]:#04x}",
        )

    async def expect_reject(self, reason: int) -> Pdu:
        pdu = await self.receive(Op.REJECT)
        expect_equal(pdu.byte2, reason, "reason")
        return pdu

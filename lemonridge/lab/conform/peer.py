"""The initiator of the conformance suite.

It sends PDUs exactly as a case specifies them, valid or not, and receives one PDU at a time. Apart from the
checks of StatSN and of the order of Data-In PDUs, a case checks the received PDUs itself.

Header words of a PDU are `Pdu.words`, numbered from 0 at byte 20 of the header; in a login response, word 4
begins with the status class and the status detail.
"""

from __future__ import annotations

import asyncio
import itertools
import struct
from typing import Any

from lemonridge.iscsi.pdu import FINAL, RESERVED_TAG, Op, Pdu, pack_lun, pack_text, read_pdu, unpack_text

RECEIVE_TIMEOUT_S = 4.0  # for a PDU or a close that must arrive
SILENCE_S = 0.15  # time in which no PDU may arrive
_isid_numbers = itertools.count(1)


class CaseError(AssertionError):
    """The target behaved otherwise than a case expects; the message states how."""


def expect(condition: bool, message: object) -> None:
    """Raises a CaseError with the message unless the condition is true."""
    if not condition:
        raise CaseError(str(message))


def expect_equal(actual: object, expected: object, description: str = "") -> None:
    """Raises a CaseError unless both values are equal; `description` names the value in its message."""
    if actual != expected:
        raise CaseError(f"{description + ': ' if description else ''}{actual!r}, not {expected!r}")


class Peer:
    """One connection of an initiator.

    Attributes:
        host: Host of the target's portal.
        port: Port of the target's portal.
        target: Name of the target.
        initiator: Name of the initiator.
        isid: ISID of the session.
        cmd_sn: Next CmdSN.
        exp_stat_sn: Next expected StatSN; 0 turns the check of the next StatSN off.
        tags: Task tags of future commands.
        header_digest: Whether PDUs have header digests.
        data_digest: Whether PDUs have data digests.
        tsih: TSIH of the session; 0 before the first login.
        cid: CID of the connection.
        negotiated: Keys of the target's login response.
        reader: Stream of received bytes, once open.
        writer: Stream of bytes to send, once open.
    """

    def __init__(self, host: str, port: int, target: str, initiator: str, isid: bytes | None = None) -> None:
        self.host, self.port, self.target, self.initiator = host, port, target, initiator
        self.isid = isid or b"\x80" + next(_isid_numbers).to_bytes(5, "big")
        self.cmd_sn, self.exp_stat_sn, self.tags = 1, 0, itertools.count(1)
        self.header_digest = self.data_digest = False
        self.tsih = self.cid = 0
        self.negotiated: dict[str, str] = {}

    async def open(self) -> Peer:
        """Connects to the portal and returns this peer."""
        self.reader, self.writer = await asyncio.open_connection(self.host, self.port)
        return self

    def close(self, reset: bool = False) -> None:
        """Closes the connection; `reset` closes it at once and discards unsent data."""
        if reset:
            self.writer.transport.abort()
        else:
            self.writer.close()

    # PDUs

    def send(self, pdu: Pdu, assign_numbers: bool = True) -> Pdu:
        """Sends a PDU and returns it.

        Args:
            pdu: The PDU.
            assign_numbers: Whether to set CmdSN and ExpStatSN to the connection's next numbers. Data-Out and
                SNACK PDUs have no CmdSN.
        """
        if assign_numbers and pdu.opcode != Op.DATA_OUT and pdu.opcode != Op.SNACK:
            pdu.words[1] = self.cmd_sn
            self.cmd_sn = (self.cmd_sn + (not pdu.immediate)) % (1 << 32)
        if assign_numbers:
            pdu.words[2] = self.exp_stat_sn
        self.writer.write(pdu.encode(self.header_digest, self.data_digest))
        return pdu

    def send_bytes(self, data: bytes) -> None:
        """Sends raw bytes."""
        self.writer.write(data)

    async def receive(self, opcode: int | None = None) -> Pdu:
        """Receives the next PDU and checks its StatSN.

        Args:
            opcode: Expected opcode; None for any.

        Raises:
            CaseError: No PDU arrived in time, the connection closed, or the StatSN or opcode is wrong.
        """
        try:
            async with asyncio.timeout_at(asyncio.get_running_loop().time() + RECEIVE_TIMEOUT_S):
                pdu = await read_pdu(self.reader, 1 << 24, self.header_digest, self.data_digest)
        except TimeoutError:
            raise CaseError("nothing came") from None
        except (asyncio.IncompleteReadError, ConnectionError):
            raise CaseError("the connection ended") from None
        has_stat_sn = pdu.opcode not in (Op.R2T, Op.DATA_IN) and not (
            pdu.opcode == Op.NOP_IN and pdu.tag == RESERVED_TAG
        )
        if has_stat_sn:
            expect_equal(pdu.words[1], self.exp_stat_sn, "StatSN") if self.exp_stat_sn else None
            self.exp_stat_sn = (pdu.words[1] + 1) % (1 << 32)
        if opcode is not None:
            expect_equal(pdu.opcode, opcode, "opcode")
        return pdu

    async def expect_silence(self) -> None:
        """Checks that no PDU arrives within SILENCE_S and that the connection stays open."""
        try:
            async with asyncio.timeout_at(asyncio.get_running_loop().time() + SILENCE_S):
                pdu = await read_pdu(self.reader, 1 << 24, self.header_digest, self.data_digest)
        except TimeoutError:
            return
        except (asyncio.IncompleteReadError, ConnectionError):
            raise CaseError("the connection ended") from None
        raise CaseError(f"opcode {pdu.opcode:#04x} came")

    async def expect_close(self) -> None:
        """Checks that the target closes the connection; PDUs that arrive before are ignored."""
        try:
            async with asyncio.timeout_at(asyncio.get_running_loop().time() + RECEIVE_TIMEOUT_S):
                while await self.reader.read(65536):
                    pass
        except TimeoutError:
            raise CaseError("the connection goes on") from None
        except ConnectionError:
            pass

    # Login

    async def login_step(
        self, flags: int, pairs: dict[str, str | None] | bytes, tsih: int | None = None, **fields: Any
    ) -> Pdu:
        """Sends a login request and returns the response.

        Args:
            flags: Flags and stages of the request.
            pairs: Text keys, those with value None left out, or the raw text.
            tsih: TSIH of the request; None for the peer's.
            fields: Fields of the PDU to override.
        """
        data = (
            pairs
            if isinstance(pairs, bytes)
            else pack_text((key, value) for key, value in pairs.items() if value is not None)
        )
        lun = self.isid + (self.tsih if tsih is None else tsih).to_bytes(2, "big")
        pdu = Pdu(Op.LOGIN, flags, lun=lun, tag=7, immediate=True, data=data)
        for name, value in fields.items():
            setattr(pdu, name, value)
        pdu.words[0] = self.cid << 16
        self.send(pdu)
        return await self.receive(Op.LOGIN_RESPONSE)

    def login_keys(self, **keys: str | None) -> dict[str, str | None]:
        """Returns the keys of the first login request of a normal session, with changes and additions."""
        return {"InitiatorName": self.initiator, "TargetName": self.target, "SessionType": "Normal", **keys}

    async def login(self, **keys: str | None) -> Peer:
        """Logs in without authentication, in one request, and returns this peer.

        The target's answers are stored in `negotiated`, and the negotiated digests apply from then on.
        """
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
        immediate_length: int | None = None,
        final: bool = True,
        tag: int | None = None,
        length: int | None = None,
        immediate: bool = False,
    ) -> int:
        """Sends a SCSI command.

        Args:
            cdb: The CDB.
            read: Number of bytes to read; 0 for no read.
            data: Data to write.
            lun: The LUN.
            immediate_length: Number of data bytes to send as immediate data; None for all.
            final: Whether the F bit is set, so that no unsolicited Data-Out PDUs follow.
            tag: Task tag; None for a new one.
            length: Expected data transfer length; None for the length of the data. Ignored if `read` is set.
            immediate: Whether the command is immediate, so that CmdSN does not advance.

        Returns:
            The task tag.
        """
        tag = next(self.tags) if tag is None else tag
        words = list(struct.unpack(">4I", cdb.ljust(16, b"\0")))
        flags = (FINAL if final else 0) | (0x40 if read else 0) | (0x20 if data else 0) | 1
        immediate_data = data if immediate_length is None else data[:immediate_length]
        self.send(
            Pdu(
                Op.SCSI_COMMAND,
                flags,
                lun=pack_lun(lun),
                tag=tag,
                data=immediate_data,
                immediate=immediate,
                words=[read or (len(data) if length is None else length), 0, 0, *words],
            )
        )
        return tag

    def send_data_out(
        self, tag: int, transfer_tag: int, data_sn: int, offset: int, data: bytes, final: bool = True
    ) -> None:
        """Sends a Data-Out PDU.

        Args:
            tag: Task tag of the command.
            transfer_tag: Transfer tag of the R2T; the reserved tag for unsolicited data.
            data_sn: DataSN.
            offset: Buffer offset in bytes.
            data: The data segment.
            final: Whether the F bit is set.
        """
        self.send(
            Pdu(
                Op.DATA_OUT,
                FINAL if final else 0,
                tag=tag,
                data=data,
                words=[transfer_tag, 0, 0, 0, data_sn, offset, 0],
            )
        )

    async def receive_response(self, tag: int) -> tuple[Pdu, bytes]:
        """Receives the Data-In PDUs and the response of a command.

        Args:
            tag: Task tag of the command.

        Returns:
            The response and the data read.

        Raises:
            CaseError: The Data-In PDUs are out of order, or another PDU arrives, for example an R2T.
        """
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
        """Executes a command, with its data as immediate data; returns status, data read and sense data."""
        response, received = await self.receive_response(self.send_command(cdb, read, data, lun))
        return response.byte3, received, response.data[2:]

    async def expect_good(self, cdb: bytes, read: int = 0, data: bytes = b"", lun: int = 0) -> bytes:
        """Executes a command, checks that its status is GOOD and returns the data read."""
        status, received, sense = await self.execute(cdb, read, data, lun)
        expect_equal(status, 0, f"status of {cdb[0]:#04x} with sense {sense.hex()}")
        return received

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
        """Executes a command and checks that it ends with CHECK CONDITION and the given sense.

        Args:
            cdb: The CDB.
            key: Expected sense key.
            code: Expected additional sense code.
            qualifier: Expected additional sense code qualifier.
            read: Number of bytes to read.
            data: Data to write.
            lun: The LUN.
        """
        status, _, sense = await self.execute(cdb, read, data, lun)
        expect_equal(
            (status, sense[2:3].hex(), sense[12:14].hex()),
            (2, f"{key:02x}", f"{code:02x}{qualifier:02x}"),
            f"sense of {cdb[0]:#04x}",
        )

    async def expect_reject(self, reason: int) -> Pdu:
        """Receives a Reject, checks its reason and returns it."""
        pdu = await self.receive(Op.REJECT)
        expect_equal(pdu.byte2, reason, "reason")
        return pdu

"""Fault injection: a proxy between the suite and a target that corrupts one kind of response PDU.

The suite must detect each fault. This shows that its cases can fail.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from lemonridge.iscsi.pdu import FINAL, Op, Pdu, read_pdu, unpack_text

PduChange = Callable[[Pdu], None]


@dataclass(frozen=True, slots=True)
class Fault:
    """A fault to inject into the target's PDUs.

    Attributes:
        name: Name of the fault.
        cases: Glob pattern of the cases of which at least one must fail.
        corrupt: Changes a PDU of the target; called for every PDU.
    """

    name: str
    cases: str
    corrupt: PduChange


def _on_opcode(opcode: int, change: PduChange) -> PduChange:
    """Returns a change that applies only to PDUs of one opcode."""

    def corrupt(pdu: Pdu) -> None:
        if pdu.opcode == opcode:
            change(pdu)

    return corrupt


def _change_word(index: int, change: Callable[[int], int]) -> PduChange:
    """Returns a change of one 32-bit header word, modulo 2^32."""

    def corrupt(pdu: Pdu) -> None:
        pdu.words[index] = change(pdu.words[index]) % (1 << 32)

    return corrupt


def _change_data(change: Callable[[bytes], bytes]) -> PduChange:
    """Returns a change of the data segment."""

    def corrupt(pdu: Pdu) -> None:
        pdu.data = change(pdu.data)

    return corrupt


def _clear_residual(pdu: Pdu) -> None:
    pdu.flags &= ~0x06
    pdu.words[6] = 0


def _increment_task_tag(pdu: Pdu) -> None:
    pdu.tag += 1


def _clear_final_bit(pdu: Pdu) -> None:
    pdu.flags &= ~FINAL


def _clear_tsih(pdu: Pdu) -> None:
    pdu.lun = pdu.lun[:6] + bytes(2)


def _set_byte2_to_1(pdu: Pdu) -> None:
    """Sets the reason of a Reject, or the response of a task management response, to 1."""
    pdu.byte2 = 0x01


def _set_byte2_to_3(pdu: Pdu) -> None:
    """Sets the response of a logout response to 3 (cleanup failed)."""
    pdu.byte2 = 0x03


FAULTS = (
    Fault(
        "StatSN does not advance",
        "numbers.status",
        _on_opcode(Op.SCSI_RESPONSE, _change_word(1, lambda sn: 2)),
    ),
    Fault("wrong task tag", "unit.*", _on_opcode(Op.SCSI_RESPONSE, _increment_task_tag)),
    Fault("missing residual count", "read.residual.*", _on_opcode(Op.SCSI_RESPONSE, _clear_residual)),
    Fault(
        "missing sense data",
        "opcodes.unknown-*",
        _on_opcode(Op.SCSI_RESPONSE, _change_data(lambda data: b"")),
    ),
    Fault("DataSN starts at 1", "read.512.*", _on_opcode(Op.DATA_IN, _change_word(4, lambda sn: sn + 1))),
    Fault(
        "flipped bit in the data",
        "blocks.write-10.*",
        _on_opcode(Op.DATA_IN, _change_data(lambda data: bytes([data[0] ^ 1]) + data[1:] if data else data)),
    ),
    Fault(
        "negotiated value exceeds the offer",
        "negotiate.MaxBurstLength.*",
        _on_opcode(
            Op.LOGIN_RESPONSE, _change_data(lambda data: data.replace(b"Length=512\0", b"Length=1024\0"))
        ),
    ),
    Fault(
        "login response without stage transition",
        "login.response",
        _on_opcode(Op.LOGIN_RESPONSE, _clear_final_bit),
    ),
    Fault("missing TSIH", "login.response", _on_opcode(Op.LOGIN_RESPONSE, _clear_tsih)),
    Fault("wrong NOP-In data", "nop.*", _on_opcode(Op.NOP_IN, _change_data(lambda data: data[::-1]))),
    Fault("wrong Reject reason", "connections.opcode-*", _on_opcode(Op.REJECT, _set_byte2_to_1)),
    Fault(
        "R2T exceeds MaxBurstLength",
        "write.131072.initial-r2t-Yes.*",
        _on_opcode(Op.R2T, _change_word(6, lambda length: length * 2)),
    ),
    Fault("failed logout", "logout.session", _on_opcode(Op.LOGOUT_RESPONSE, _set_byte2_to_3)),
    Fault(
        "ABORT TASK of an unknown task",
        "manage.abort-*",
        _on_opcode(Op.TASK_MANAGEMENT_RESPONSE, _set_byte2_to_1),
    ),
)


class Proxy:
    """Forwards the initiators' bytes unchanged and corrupts the target's PDUs."""

    def __init__(self, corrupt: PduChange) -> None:
        self._corrupt, self._target_port = corrupt, 0
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self, target_port: int) -> int:
        """Starts the proxy in front of the target's port and returns the proxy's port."""
        self._target_port = target_port
        self._listener = await asyncio.start_server(self._forward_requests, "127.0.0.1", 0)
        return int(self._listener.sockets[0].getsockname()[1])

    def stop(self) -> None:
        """Stops listening and cancels the forwarding of responses."""
        self._listener.close()
        for task in self._tasks:
            task.cancel()

    async def _forward_requests(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        target_reader, target_writer = await asyncio.open_connection("127.0.0.1", self._target_port)
        task = asyncio.create_task(self._forward_responses(target_reader, writer))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        try:
            while data := await reader.read(65536):
                target_writer.write(data)
        except ConnectionError:
            pass  # the initiator closed the connection
        finally:
            target_writer.close()

    async def _forward_responses(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Corrupts and forwards the target's PDUs, with digests from the last login response on.

        The negotiated digests are taken from the response before it is corrupted.
        """
        header_digest = data_digest = False
        try:
            while True:
                pdu = await read_pdu(reader, 1 << 24, header_digest, data_digest)
                is_login_response = pdu.opcode == Op.LOGIN_RESPONSE
                is_last_response = is_login_response and pdu.flags & 0x83 == FINAL | 3
                negotiated = unpack_text(pdu.data) if is_last_response else {}
                self._corrupt(pdu)
                writer.write(pdu.encode(header_digest, data_digest))
                if is_last_response:
                    header_digest, data_digest = (
                        negotiated.get("HeaderDigest") == "CRC32C",
                        negotiated.get("DataDigest") == "CRC32C",
                    )
        except (asyncio.IncompleteReadError, ConnectionError):
            pass  # the target closed the connection
        finally:
            writer.close()

"""Planted faults: something between the suite and a target that answers one thing wrongly.

The suite must find each; a suite that cannot fail shows nothing.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from lemonridge.iscsi.pdu import FINAL, Op, Pdu, read_pdu, unpack_text

PduChange = Callable[[Pdu], None]


@dataclass(frozen=True, slots=True)
class Fault:
    """What is done to the target's PDUs, and the cases that must notice."""

    name: str
    cases: str
    corrupt: PduChange


def _on(opcode: int, change: PduChange) -> PduChange:
    def corrupt(pdu: Pdu) -> None:
        if pdu.opcode == opcode:
            change(pdu)

    return corrupt


def _word(place: int, change: Callable[[int], int]) -> PduChange:
    def corrupt(pdu: Pdu) -> None:
        pdu.words[place] = change(pdu.words[place]) % (1 << 32)

    return corrupt


def _data(change: Callable[[bytes], bytes]) -> PduChange:
    def corrupt(pdu: Pdu) -> None:
        pdu.data = change(pdu.data)

    return corrupt


def _no_residual(pdu: Pdu) -> None:
    pdu.flags &= ~0x06
    pdu.words[6] = 0


def _tag(pdu: Pdu) -> None:
    pdu.tag += 1


def _not_final(pdu: Pdu) -> None:
    pdu.flags &= ~FINAL


def _no_tsih(pdu: Pdu) -> None:
    pdu.lun = pdu.lun[:6] + bytes(2)


def _reason(pdu: Pdu) -> None:
    pdu.byte2 = 0x01


def _response(pdu: Pdu) -> None:
    pdu.byte2 = 0x03


FAULTS = (
    Fault(
        "a status number that stands still", "numbers.status", _on(Op.SCSI_RESPONSE, _word(1, lambda sn: 2))
    ),
    Fault("another task's tag", "unit.*", _on(Op.SCSI_RESPONSE, _tag)),
    Fault("no residual", "read.residual.*", _on(Op.SCSI_RESPONSE, _no_residual)),
    Fault("no sense", "opcodes.unknown-*", _on(Op.SCSI_RESPONSE, _data(lambda data: b""))),
    Fault("data numbered from one", "read.512.*", _on(Op.DATA_IN, _word(4, lambda sn: sn + 1))),
    Fault(
        "a bit flipped in the data",
        "blocks.write-10.*",
        _on(Op.DATA_IN, _data(lambda data: bytes([data[0] ^ 1]) + data[1:] if data else data)),
    ),
    Fault(
        "an answer past the offer",
        "negotiate.MaxBurstLength.*",
        _on(Op.LOGIN_RESPONSE, _data(lambda data: data.replace(b"Length=512\0", b"Length=1024\0"))),
    ),
    Fault("a stage that is not left", "login.response", _on(Op.LOGIN_RESPONSE, _not_final)),
    Fault("no session handle", "login.response", _on(Op.LOGIN_RESPONSE, _no_tsih)),
    Fault("another echo", "nop.*", _on(Op.NOP_IN, _data(lambda data: data[::-1]))),
    Fault("another reason", "connections.opcode-*", _on(Op.REJECT, _reason)),
    Fault(
        "a burst that is too long",
        "write.131072.initial-r2t-Yes.*",
        _on(Op.R2T, _word(6, lambda length: length * 2)),
    ),
    Fault("a logout that fails", "logout.session", _on(Op.LOGOUT_RESPONSE, _response)),
    Fault("an aborted task that was not there", "manage.abort-*", _on(Op.TASK_MANAGEMENT_RESPONSE, _reason)),
)


class Proxy:
    """Passes what initiators say through, and spoils what the target answers."""

    def __init__(self, corrupt: PduChange) -> None:
        self._corrupt, self._behind = corrupt, 0
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self, behind: int) -> int:
        """The port to connect to, in front of another."""
        self._behind = behind
        self._listener = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return int(self._listener.sockets[0].getsockname()[1])

    def stop(self) -> None:
        self._listener.close()
        for task in self._tasks:
            task.cancel()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        inner, outer = await asyncio.open_connection("127.0.0.1", self._behind)
        task = asyncio.create_task(self._out(inner, writer))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        try:
            while data := await reader.read(65536):
                outer.write(data)
        except ConnectionError:
            pass  # the initiator has gone
        finally:
            outer.close()

    async def _out(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        header = data = False
        try:
            while True:
                pdu = await read_pdu(reader, 1 << 24, header, data)
                login = pdu.opcode == Op.LOGIN_RESPONSE
                final = login and pdu.flags & 0x83 == FINAL | 3
                told = unpack_text(pdu.data) if final else {}
                self._corrupt(pdu)
                writer.write(pdu.encode(header, data))
                if final:
                    header, data = told.get("HeaderDigest") == "CRC32C", told.get("DataDigest") == "CRC32C"
        except (asyncio.IncompleteReadError, ConnectionError):
            pass  # the target has ended it
        finally:
            writer.close()

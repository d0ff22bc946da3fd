"""A stretch of network between initiators and the broker that cuts connections and flips bits, PDU by PDU."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from random import Random

from lemonridge.iscsi.pdu import (
    FINAL,
    DataDigestError,
    HeaderDigestError,
    Op,
    Pdu,
    PduError,
    read_pdu,
    unpack_text,
)

LOGINS = frozenset((Op.LOGIN, Op.LOGIN_RESPONSE))


class DirectLink:
    """No link at all: where the clients connect."""

    def __init__(self, port: int) -> None:
        self.port = port


@dataclass(eq=False)
class _Pipe:
    """One connection through the link; the digests are those that its login agreed on."""

    writers: tuple[asyncio.StreamWriter, asyncio.StreamWriter]
    header: bool = False
    data: bool = False
    logged_in: bool = False
    answered: asyncio.Event = field(default_factory=asyncio.Event)  # the login request passed on last
    cut_after: int = -1  # bytes that still pass
    flip: bool = False  # a bit of the next data segment

    def abort(self) -> None:
        for writer in self.writers:
            writer.transport.abort()


class FaultyLink:
    """Listens, and passes on to `behind`."""

    def __init__(self, random: Random) -> None:
        self.random, self.upstream_port, self.port = random, 0, 0
        self.cut_connections = self.flipped_bits = 0
        self._pipes: set[_Pipe] = set()
        self._calm = False

    async def start(self) -> None:
        self._listener = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._listener.sockets[0].getsockname()[1]

    def stop(self) -> None:
        self._listener.close()
        for pipe in list(self._pipes):
            pipe.abort()

    def schedule_cut(self) -> None:
        """Some connection ends within the next bytes, wherever in a PDU that is."""
        pipes = [pipe for pipe in self._pipes if pipe.logged_in and pipe.cut_after < 0]
        if pipes:
            self.random.choice(pipes).cut_after = self.random.choice((0, 20, 47, 49, 3000, 30000))

    def cut_all(self) -> None:
        """Every connection ends now."""
        for pipe in list(self._pipes):
            self.cut_connections += 1
            pipe.abort()

    def schedule_bit_flip(self) -> None:
        """Some digested data segment comes spoilt, either way."""
        pipes = [pipe for pipe in self._pipes if pipe.logged_in and pipe.data]
        if pipes:
            self.random.choice(pipes).flip = True

    def stop_faults(self) -> None:
        """No more of it."""
        self._calm = True
        for pipe in self._pipes:
            pipe.cut_after, pipe.flip = -1, False

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            inner, outer = await asyncio.open_connection("127.0.0.1", self.upstream_port)
        except OSError:
            writer.transport.abort()
            return
        pipe = _Pipe((writer, outer))
        self._pipes.add(pipe)
        try:
            await asyncio.gather(self._pass(pipe, reader, outer), self._pass(pipe, inner, writer))
        finally:
            self._pipes.discard(pipe)

    async def _pass(self, pipe: _Pipe, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                pdu = await read_pdu(reader, 1 << 24, pipe.header, pipe.data)
                raw = pdu.encode(pipe.header, pipe.data)
                if pdu.opcode == Op.LOGIN:
                    pipe.answered.clear()
                if pdu.opcode == Op.LOGIN_RESPONSE and pdu.flags & 0x83 == FINAL | 3 and not pdu.words[4]:
                    self._agreed(pipe, pdu)
                if not self._write(pipe, writer, self._spoil(pipe, pdu, raw)):
                    return
                await writer.drain()
                if pdu.opcode == Op.LOGIN_RESPONSE:
                    pipe.answered.set()
                elif pdu.opcode == Op.LOGIN:  # how the next PDU is read depends on the answer
                    await pipe.answered.wait()
        except (asyncio.IncompleteReadError, ConnectionError, HeaderDigestError, DataDigestError, PduError):
            pass
        finally:
            pipe.answered.set()
            writer.close()  # what was written still goes out

    def _agreed(self, pipe: _Pipe, pdu: Pdu) -> None:
        told = unpack_text(pdu.data)
        pipe.header, pipe.data = told.get("HeaderDigest") == "CRC32C", told.get("DataDigest") == "CRC32C"
        pipe.logged_in = True

    def _spoil(self, pipe: _Pipe, pdu: Pdu, raw: bytes) -> bytes:
        if not pipe.flip or not pipe.data or not pdu.data or pdu.opcode in LOGINS:
            return raw
        pipe.flip = False
        self.flipped_bits += 1
        start = 48 + len(pdu.ahs) + 4 * pipe.header
        made = bytearray(raw)
        made[start + self.random.randrange(len(pdu.data))] ^= 1 << self.random.randrange(8)
        return bytes(made)

    def _write(self, pipe: _Pipe, writer: asyncio.StreamWriter, raw: bytes) -> bool:
        if pipe.cut_after < 0:
            writer.write(raw)
            return True
        if len(raw) <= pipe.cut_after:
            pipe.cut_after -= len(raw)
            writer.write(raw)
            return True
        # The first bytes of the PDU still arrive: FIN right behind them, as RST would take them away.
        self.cut_connections += 1
        writer.write(raw[: pipe.cut_after])
        for each in pipe.writers:
            each.close()
        return False

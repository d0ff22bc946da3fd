"""A proxy between iSCSI initiators and the broker that cuts connections and flips bits of PDUs."""

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
    """A direct connection to the broker, without a proxy.

    Attributes:
        port: Port that initiators connect to.
    """

    def __init__(self, port: int) -> None:
        self.port = port


@dataclass(eq=False)
class _Relay:
    """One proxied connection.

    Attributes:
        writers: Writers to the initiator and to the broker.
        header_digest: Whether the login agreed on header digests.
        data_digest: Whether the login agreed on data digests.
        logged_in: Whether the login is complete.
        login_answered: Set once the latest login request has been answered.
        cut_after_bytes: Number of bytes to forward before the connection is cut; -1 for no cut.
        flip_next: Whether to flip a bit of the next data segment.
    """

    writers: tuple[asyncio.StreamWriter, asyncio.StreamWriter]
    header_digest: bool = False
    data_digest: bool = False
    logged_in: bool = False
    login_answered: asyncio.Event = field(default_factory=asyncio.Event)
    cut_after_bytes: int = -1
    flip_next: bool = False

    def abort(self) -> None:
        """Resets both connections."""
        for writer in self.writers:
            writer.transport.abort()


class FaultyLink:
    """A proxy that forwards PDUs to a broker and injects faults.

    Attributes:
        random: Source of the random draws.
        upstream_port: Port of the broker.
        port: Port that the proxy listens on, once started.
        cut_connections: Number of connections that the proxy has cut.
        flipped_bits: Number of bits that the proxy has flipped.
    """

    def __init__(self, random: Random) -> None:
        self.random, self.upstream_port, self.port = random, 0, 0
        self.cut_connections = self.flipped_bits = 0
        self._relays: set[_Relay] = set()
        self._faults_stopped = False

    async def start(self) -> None:
        """Starts to listen on a free port of loopback."""
        self._listener = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._listener.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Stops listening and resets all connections."""
        self._listener.close()
        for relay in list(self._relays):
            relay.abort()

    def schedule_cut(self) -> None:
        """Cuts a random connection after up to 30000 more bytes, at any position in a PDU."""
        relays = [relay for relay in self._relays if relay.logged_in and relay.cut_after_bytes < 0]
        if relays:
            self.random.choice(relays).cut_after_bytes = self.random.choice((0, 20, 47, 49, 3000, 30000))

    def cut_all(self) -> None:
        """Resets every connection immediately."""
        for relay in list(self._relays):
            self.cut_connections += 1
            relay.abort()

    def schedule_bit_flip(self) -> None:
        """Corrupts the next data segment with a digest on a random connection, in either direction."""
        relays = [relay for relay in self._relays if relay.logged_in and relay.data_digest]
        if relays:
            self.random.choice(relays).flip_next = True

    def stop_faults(self) -> None:
        """Cancels all scheduled faults."""
        self._faults_stopped = True
        for relay in self._relays:
            relay.cut_after_bytes, relay.flip_next = -1, False

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            upstream_reader, upstream_writer = await asyncio.open_connection("127.0.0.1", self.upstream_port)
        except OSError:
            writer.transport.abort()
            return
        relay = _Relay((writer, upstream_writer))
        self._relays.add(relay)
        try:
            await asyncio.gather(
                self._forward(relay, reader, upstream_writer), self._forward(relay, upstream_reader, writer)
            )
        finally:
            self._relays.discard(relay)

    async def _forward(
        self, relay: _Relay, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                pdu = await read_pdu(reader, 1 << 24, relay.header_digest, relay.data_digest)
                encoded = pdu.encode(relay.header_digest, relay.data_digest)
                if pdu.opcode == Op.LOGIN:
                    relay.login_answered.clear()
                if pdu.opcode == Op.LOGIN_RESPONSE and pdu.flags & 0x83 == FINAL | 3 and not pdu.words[4]:
                    self._record_digests(relay, pdu)
                if not self._write(relay, writer, self._flip_bit(relay, pdu, encoded)):
                    return
                await writer.drain()
                if pdu.opcode == Op.LOGIN_RESPONSE:
                    relay.login_answered.set()
                elif pdu.opcode == Op.LOGIN:  # the response decides whether the next PDU has digests
                    await relay.login_answered.wait()
        except (asyncio.IncompleteReadError, ConnectionError, HeaderDigestError, DataDigestError, PduError):
            pass
        finally:
            relay.login_answered.set()
            writer.close()  # bytes already written are still sent

    def _record_digests(self, relay: _Relay, pdu: Pdu) -> None:
        keys = unpack_text(pdu.data)
        relay.header_digest, relay.data_digest = (
            keys.get("HeaderDigest") == "CRC32C",
            keys.get("DataDigest") == "CRC32C",
        )
        relay.logged_in = True

    def _flip_bit(self, relay: _Relay, pdu: Pdu, encoded: bytes) -> bytes:
        if not relay.flip_next or not relay.data_digest or not pdu.data or pdu.opcode in LOGINS:
            return encoded
        relay.flip_next = False
        self.flipped_bits += 1
        start = 48 + len(pdu.ahs) + 4 * relay.header_digest
        corrupted = bytearray(encoded)
        corrupted[start + self.random.randrange(len(pdu.data))] ^= 1 << self.random.randrange(8)
        return bytes(corrupted)

    def _write(self, relay: _Relay, writer: asyncio.StreamWriter, encoded: bytes) -> bool:
        if relay.cut_after_bytes < 0:
            writer.write(encoded)
            return True
        if len(encoded) <= relay.cut_after_bytes:
            relay.cut_after_bytes -= len(encoded)
            writer.write(encoded)
            return True
        # The PDU's first bytes must still arrive, so the connection ends with FIN; RST would discard them.
        self.cut_connections += 1
        writer.write(encoded[: relay.cut_after_bytes])
        for endpoint_writer in relay.writers:
            endpoint_writer.close()
        return False

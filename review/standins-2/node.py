"""A stand-in for a node's iSCSI target, with a volatile write cache and a cost for each command.

It runs several commands at once, each for as long as `cost_s` says, as the nodes of the operators' page do
(two cores, several slots). A task management request doesn't stop running work ("A cancel or a time-out does
not stop running work"). Writes stand in the cache until SYNCHRONIZE CACHE, or until the node destages them by
itself; a kill loses what only the cache has. Commands that name an extent run under its very version alone.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from case_lib import BLOCK_BYTES, Record

from lemonridge.extents.routing import Redirect
from lemonridge.iscsi import scsi, versions
from lemonridge.iscsi.pdu import FINAL, RESERVED_TAG, Op, Pdu, pack_text, read_pdu, unpack_text

WINDOW = 64  # commands of one session


class Node:
    """One node with the blocks of LUN 0.

    Attributes:
        name: Its name.
        shard: Its shard.
        cost_s: Returns how long a command runs.
        versions_by_extent: The extents that it holds, by first block; empty for a LUN that never moves.
        redirects: Where extents have gone that it has handed over, by first block.
        visible: The content of the blocks.
        durable: What a kill leaves of it.
        arrivals: The loop's time at which each READ or WRITE came, with its block.
        noted_blocks: The blocks whose commands are recorded; None for all.
    """

    def __init__(self, record: Record, name: str, shard: int) -> None:
        self.record, self.name, self.shard = record, name, shard
        self.iqn = f"iqn.2026-12.org.lemonridge:{name}"
        self.cost_s: Callable[[bytes], float] = lambda cdb: 0.03
        self.checks_versions = False
        self.versions_by_extent: dict[int, int] = {}
        self.redirects: dict[int, Redirect] = {}
        self.visible: dict[int, bytes] = {}
        self.durable: dict[int, bytes] = {}
        self.arrivals: list[tuple[float, int]] = []
        self.noted_blocks: set[int] | None = None
        self.port = 0
        self._writers: set[asyncio.StreamWriter] = set()
        self._running: set[asyncio.Task[None]] = set()

    async def start(self) -> Node:
        """Starts to listen, at the same port as before if it was up once."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    @property
    def address(self) -> str:
        """Where it listens."""
        return f"127.0.0.1:{self.port}"

    def entry(self, health: str = "up", started_ms: int = 0) -> dict[str, object]:
        """Returns its value in etcd."""
        return {
            "address": self.address,
            "target": self.iqn,
            "shard": self.shard,
            "health": health,
            "started_ms": started_ms,
        }

    def toml(self) -> str:
        """Returns its table in an operator's file."""
        return (
            f'\n[[node]]\nname = "{self.name}"\naddress = "{self.address}"\n'
            f'target = "{self.iqn}"\nshard = {self.shard}\n'
        )

    def kill(self) -> None:
        """Dies: connections are reset, running commands end, and what only the cache has is lost."""
        self.record.note(f"{self.name}: killed, {self._undurable()} cached blocks lost")
        self._server.close()
        for task in self._running:
            task.cancel()
        for writer in list(self._writers):
            writer.transport.abort()
        self.visible = dict(self.durable)

    def flush(self, why: str) -> None:
        """Makes the cached blocks durable."""
        self.record.note(f"{self.name}: {why}, {self._undurable()} cached blocks made durable")
        self.durable = dict(self.visible)

    def _undurable(self) -> int:
        return sum(self.durable.get(block) != data for block, data in self.visible.items())

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        connection = _Connection(self, reader, writer)
        try:
            await connection.run()
        except (OSError, EOFError, asyncio.CancelledError):
            pass  # the broker has gone, or the node was killed
        finally:
            self._writers.discard(writer)
            writer.close()

    def begin(self, connection: _Connection, pdu: Pdu) -> None:
        """Runs a command beside the others."""
        task = asyncio.create_task(self._run(connection, pdu))
        self._running.add(task)
        task.add_done_callback(self._running.discard)

    def _refusal(self, pdu: Pdu) -> Redirect | None:
        if not self.checks_versions:
            return None
        named = versions.unpack_ahs(pdu.ahs)
        if named is None:
            return Redirect()
        if self.versions_by_extent.get(named[0]) == named[1]:
            return None
        return self.redirects.get(named[0], Redirect())

    async def _run(self, connection: _Connection, pdu: Pdu) -> None:
        if pdu.cdb[0] in scsi.SYNCHRONIZE:
            self.flush("SYNCHRONIZE CACHE")
            connection.answer(pdu)
            return
        if pdu.cdb[0] not in scsi.READ_WRITE_CDB_BYTES:
            connection.answer(pdu)
            return
        block, _ = scsi.block_range(pdu.cdb)
        writes = pdu.cdb[0] in scsi.WRITES
        is_noted = self.noted_blocks is None or block in self.noted_blocks
        kind = f"{'WRITE' if writes else 'READ'} block {block}"
        redirect = self._refusal(pdu)
        if redirect is not None:
            newest = f"version {redirect.version}, shard {redirect.shard}"
            self.record.note(f"{self.name}: {kind} refused, {newest}")
            sense = versions.pack_redirect_sense(redirect)
            connection.answer(pdu, scsi.Reply(scsi.Status.CHECK_CONDITION, sense=sense))
            return
        self.arrivals.append((asyncio.get_running_loop().time(), block))
        cost_s = self.cost_s(pdu.cdb)
        if is_noted:
            self.record.note(f"{self.name}: {kind} came, it runs {cost_s} s")
        await asyncio.sleep(cost_s)
        data = b""
        if writes:
            self.visible[block] = bytes(pdu.data)
        else:
            data = self.visible.get(block, bytes(BLOCK_BYTES))
        if is_noted:
            self.record.note(f"{self.name}: {kind} has run: {(pdu.data if writes else data)[:4]!r}")
        connection.answer(pdu, data=data)


class _Connection:
    """One session of the broker."""

    def __init__(self, node: Node, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._node, self._reader, self._writer = node, reader, writer
        self._stat_sn, self._exp_cmd_sn = 1, 1

    async def run(self) -> None:
        """Serves PDUs until the connection ends."""
        while True:
            pdu = await read_pdu(self._reader, 1 << 20)
            if not pdu.immediate and pdu.opcode != Op.DATA_OUT:
                self._exp_cmd_sn = pdu.words[1] + 1
            if pdu.opcode == Op.LOGIN:
                self._login(pdu)
            elif pdu.opcode == Op.SCSI_COMMAND:
                self._node.begin(self, pdu)
            elif pdu.opcode == Op.TASK_MANAGEMENT:
                self._send(Pdu(Op.TASK_MANAGEMENT_RESPONSE, byte2=0, tag=pdu.tag))
            elif pdu.opcode == Op.LOGOUT:
                self._send(Pdu(Op.LOGOUT_RESPONSE, tag=pdu.tag))
                return

    def _login(self, pdu: Pdu) -> None:
        self._exp_cmd_sn = pdu.words[1]
        keys = {"MaxRecvDataSegmentLength": "65536", "MaxBurstLength": "65536", "FirstBurstLength": "65536"}
        if self._node.checks_versions and versions.EXTENT_VERSION_KEY in unpack_text(pdu.data):
            keys[versions.EXTENT_VERSION_KEY] = versions.EXTENT_VERSION_VALUE
        self._send(Pdu(Op.LOGIN_RESPONSE, pdu.flags, lun=pdu.lun, tag=pdu.tag, data=pack_text(keys.items())))

    def answer(self, pdu: Pdu, reply: scsi.Reply | None = None, data: bytes = b"") -> None:
        """Sends the data and the status of a command."""
        if data:
            words = [RESERVED_TAG, 0, 0, 0, 0, 0, 0]
            self._send(Pdu(Op.DATA_IN, FINAL, lun=pdu.lun, tag=pdu.tag, data=data, words=words), False)
        reply = reply or scsi.Reply(scsi.Status.GOOD)
        sense = len(reply.sense).to_bytes(2, "big") + reply.sense if reply.sense else b""
        self._send(Pdu(Op.SCSI_RESPONSE, byte3=reply.status, tag=pdu.tag, data=sense))

    def _send(self, pdu: Pdu, has_status: bool = True) -> None:
        pdu.words[1:4] = [self._stat_sn, self._exp_cmd_sn, self._exp_cmd_sn + WINDOW - 1]
        self._stat_sn += has_status
        if not self._writer.is_closing():
            self._writer.write(pdu.encode())

"""A stand-in storage node: an iSCSI target that holds extents, each under a version.

It runs a READ or WRITE only if it holds the extent that the attempt names, unfenced, under that very version;
else it refuses it unrun and tells what it knows (`iscsi/versions.py`). It checks twice for a write: when the
command comes, and when its data are there. What it holds, and what it has given away, outlives a kill, as on
a disk; what it was working on does not.
"""

from __future__ import annotations

import asyncio
import struct
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from random import Random
from typing import Any

from lemonridge.extents.routing import Redirect
from lemonridge.iscsi import scsi, versions
from lemonridge.iscsi.pdu import FINAL, NONE, Op, Pdu, pack_text, read_pdu, unpack_lun, unpack_text
from lemonridge.lab.ticks import Ticks

BLOCK_BYTES = 512
SEGMENT, BURST = 32768, 65536
ExtentKey = tuple[int, int]  # LUN, first block of an extent


@dataclass(slots=True)
class HeldExtent:
    """An extent that this node holds. `running` counts commands between their last check and their end."""

    length: int
    version: int
    fenced: bool = False
    running_commands: int = 0


@dataclass(frozen=True, slots=True)
class ExecutedCommand:
    """A line of the node's own log: a command that it ran, and when its effect took place."""

    tick: int
    at_s: float
    node: str
    extent: ExtentKey
    version: int
    first_block: int
    data: tuple[bytes, ...]  # what was written, block by block; empty for a read
    blocks: int


@dataclass(slots=True)
class _Work:
    """A command whose data are on their way."""

    pdu: Pdu
    lun: int
    first: int
    blocks: int
    named: tuple[int, int]
    data: bytearray = field(default_factory=bytearray)
    asked: int = 0


class ExtentNode:
    """One node; `checked` False switches its version checks off, which no drill may pass."""

    def __init__(
        self,
        name: str,
        shard: int,
        ticks: Ticks,
        random: Random,
        checks_versions: bool = True,
        accepts_unversioned: bool = False,
    ) -> None:
        self.name, self.shard, self.ticks, self.random, self.checks_versions = (
            name,
            shard,
            ticks,
            random,
            checks_versions,
        )
        self.accepts_unversioned = (
            accepts_unversioned  # takes attempts that name no version, for LUNs that never move
        )
        self.iqn = f"iqn.2026-12.org.lemonridge:{name}"
        self.port = 0
        self.alive = self.silent = False
        self.blocks: dict[tuple[int, int], bytes] = {}
        self.extents: dict[ExtentKey, HeldExtent] = {}
        self.redirects: dict[ExtentKey, Redirect] = {}
        self.log: list[ExecutedCommand] = []
        self.command_start_times: list[float] = []  # when each command began that was new to this node
        self.refused = 0
        self.delay_s: Callable[[], float] = lambda: 0.0
        self._connections: set[_Connection] = set()
        self._idle = asyncio.Condition()
        self._tasks: set[asyncio.Task[None]] = set()
        self.incarnation = 0  # rises with each kill

    # Its life

    async def start(self) -> ExtentNode:
        self._listener = await asyncio.start_server(self._connected, "127.0.0.1", 0)
        self.port, self.alive = self._listener.sockets[0].getsockname()[1], True
        return self

    def kill(self) -> None:
        """As SIGKILL does it: connections are reset, and what was in work has no further effect."""
        self.alive, self.incarnation = False, self.incarnation + 1
        self._listener.close()
        for connection in list(self._connections):
            connection.abort()
        for hold in self.extents.values():
            hold.running_commands = 0

    def etcd_entry(self, health: str = "up") -> dict[str, Any]:
        """Its key in etcd."""
        return {
            "address": f"127.0.0.1:{self.port}",
            "target": self.iqn,
            "shard": self.shard,
            "health": health,
        }

    async def _connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connection = _Connection(self, reader, writer)
        self._connections.add(connection)
        try:
            await connection.run()
        except (OSError, EOFError, asyncio.CancelledError):
            pass  # the broker has gone, or the node
        finally:
            self._connections.discard(connection)
            connection.abort()

    # What a mover does

    async def fence(self, key: ExtentKey) -> bool:
        """Run nothing new on an extent, and wait for what runs; False if the node dies meanwhile."""
        self.extents[key].fenced = True
        async with self._idle:
            await self._idle.wait_for(lambda: not self.alive or not self.extents[key].running_commands)
        return self.alive

    def add_extent(self, key: ExtentKey, hold: HeldExtent, blocks: dict[int, bytes]) -> None:
        self.extents[key] = hold
        self.redirects.pop(key, None)
        self.blocks.update({(key[0], block): data for block, data in blocks.items()})

    def remove_extent(self, key: ExtentKey, told: Redirect) -> None:
        del self.extents[key]
        self.redirects[key] = told

    def read_extent(self, key: ExtentKey) -> dict[int, bytes]:
        first, hold = key[1], self.extents[key]
        span = range(first, first + hold.length)
        return {block: self.blocks[key[0], block] for block in span if (key[0], block) in self.blocks}

    def spawn(self, work: Coroutine[None, None, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def notify_fences(self) -> None:
        """Something has ended, or the node has: fences look again."""
        async with self._idle:
            self._idle.notify_all()

    # What an attempt meets

    def refusal(self, work: _Work) -> Redirect | None:
        """What is told to an attempt that must not run here; None if it may."""
        key = (work.lun, work.named[0])
        hold = self.extents.get(key)
        if not self.checks_versions:
            return None
        if hold is None:
            return self.redirects.get(key, Redirect())
        inside = key[1] <= work.first and work.first + work.blocks <= key[1] + hold.length
        if hold.fenced or hold.version != work.named[1] or not inside:
            return Redirect(hold.version, self.shard)
        return None


class _Connection:
    """One session of the broker with the node."""

    def __init__(self, node: ExtentNode, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.node, self.reader, self.writer = node, reader, writer
        self.stat_sn, self.expected, self.transfers = 1, 0, 0
        self.versioned = False
        self.works: dict[int, _Work] = {}
        self.tasks: set[asyncio.Task[None]] = set()

    def abort(self) -> None:
        for task in self.tasks:
            task.cancel()
        self.writer.transport.abort()

    async def run(self) -> None:
        while True:
            pdu = await read_pdu(self.reader, 1 << 20)
            if self.node.silent:
                continue  # it takes what comes, and neither runs nor answers it
            if not pdu.immediate and pdu.opcode != Op.DATA_OUT:
                self.expected = (pdu.words[1] + 1) & NONE
            if pdu.opcode == Op.LOGIN:
                self._login(pdu)
            elif pdu.opcode == Op.SCSI_COMMAND:
                self._command(pdu)
            elif pdu.opcode == Op.DATA_OUT:
                self._data_out(pdu)
            elif pdu.opcode == Op.TASK_MANAGEMENT:
                self.send(Pdu(Op.TASK_MANAGEMENT_RESPONSE, byte2=0, tag=pdu.tag))
            elif pdu.opcode == Op.LOGOUT:
                self.send(Pdu(Op.LOGOUT_RESPONSE, tag=pdu.tag))

    def send(self, pdu: Pdu, status: bool = True) -> None:
        pdu.words[1:4] = [self.stat_sn, self.expected, (self.expected + 63) & NONE]
        self.stat_sn = (self.stat_sn + status) & NONE
        if not self.writer.is_closing():
            self.writer.write(pdu.encode())

    def _login(self, pdu: Pdu) -> None:
        self.expected = pdu.words[1]
        told = {
            "MaxRecvDataSegmentLength": str(SEGMENT),
            "MaxBurstLength": str(BURST),
            "FirstBurstLength": "8192",
        }
        self.versioned = unpack_text(pdu.data).get(versions.KEY) == versions.AGREED
        if self.versioned:
            told[versions.KEY] = versions.AGREED
        self.send(Pdu(Op.LOGIN_RESPONSE, pdu.flags, lun=pdu.lun, tag=pdu.tag, data=pack_text(told.items())))

    def _command(self, pdu: Pdu) -> None:
        lun, opcode = unpack_lun(pdu.lun), pdu.cdb[0]
        if lun is None or opcode not in scsi.BLOCKS:  # TEST UNIT READY and the like: no effect
            if lun is None or not self.node.accepts_unversioned or not self._other(pdu, lun):
                self._status(pdu)
            return
        named = versions.unpack_ahs(pdu.ahs)
        if named is None and self.node.accepts_unversioned:
            named = (0, 1)
        if named is None:  # an attempt that names no version runs nowhere
            self._status(pdu, scsi.check(0x05, 0x24))
            return
        work = _Work(pdu, lun, *scsi.span(pdu.cdb), named, bytearray(pdu.data))
        told = self.node.refusal(work)
        if told is not None:
            self._refuse(pdu, told)
            return
        self.node.command_start_times.append(asyncio.get_running_loop().time())
        if opcode in scsi.WRITES and len(work.data) < work.blocks * BLOCK_BYTES:
            self.works[pdu.tag] = work
            self._ask(work)
        else:
            self._begin(work)

    def _other(self, pdu: Pdu, lun: int) -> bool:
        """Commands that only a plain node knows; False for those that it does nothing for. Their data come
        whole with the command, as the broker's sessions carry them.
        """
        opcode, cdb, blocks = pdu.cdb[0], pdu.cdb, self.node.blocks
        top = sum(hold.length for key, hold in self.node.extents.items() if key[0] == lun)
        if opcode in (scsi.CAPACITY_10, scsi.SERVICE_IN):
            self._data(pdu, scsi.capacity(cdb, top, BLOCK_BYTES))
            return True
        first, count = int.from_bytes(cdb[2:10], "big"), int.from_bytes(cdb[10:14], "big")
        reply = scsi.Reply(scsi.Status.GOOD)
        if opcode == 0x93:
            blocks.update(
                dict.fromkeys(((lun, first + place) for place in range(count)), pdu.data[:BLOCK_BYTES])
            )
        elif opcode == 0x42:
            first, count = struct.unpack(">QI", pdu.data[8:20])
            for place in range(count):
                blocks.pop((lun, first + place), None)
        elif opcode == 0x89:
            if blocks.get((lun, first), bytes(BLOCK_BYTES)) == pdu.data[:BLOCK_BYTES]:
                blocks[lun, first] = pdu.data[BLOCK_BYTES:]
            else:
                reply = scsi.check(0x0E, 0x1D)  # MISCOMPARE
        else:
            return False
        self._status(pdu, reply)
        return True

    def _data(self, pdu: Pdu, data: bytes) -> None:
        self.send(
            Pdu(
                Op.DATA_IN,
                FINAL,
                lun=pdu.lun,
                tag=pdu.tag,
                data=data[: pdu.words[0]],
                words=[NONE, 0, 0, 0, 0, 0, 0],
            ),
            False,
        )
        self._status(pdu)

    def _refuse(self, pdu: Pdu, told: Redirect) -> None:
        self.node.refused += 1
        self._status(pdu, scsi.Reply(scsi.Status.CHECK_CONDITION, sense=versions.pack_moved(told)))

    def _ask(self, work: _Work) -> None:
        self.transfers += 1
        length = min(BURST, work.blocks * BLOCK_BYTES - len(work.data))
        work.asked = len(work.data) + length
        self.send(
            Pdu(
                Op.R2T,
                lun=work.pdu.lun,
                tag=work.pdu.tag,
                words=[self.transfers, 0, 0, 0, 0, len(work.data), length],
            ),
            False,
        )

    def _data_out(self, pdu: Pdu) -> None:
        work = self.works.get(pdu.tag)
        if work is None:
            return
        work.data += pdu.data
        if len(work.data) == work.blocks * BLOCK_BYTES:
            del self.works[pdu.tag]
            self._begin(work)
        elif len(work.data) == work.asked:
            self._ask(work)

    def _begin(self, work: _Work) -> None:
        """All is there: the last check, and from here on a fence waits for it."""
        told = self.node.refusal(work)
        if told is not None:
            self._refuse(work.pdu, told)
            return
        hold = self.node.extents.get((work.lun, work.named[0]))
        if hold is not None:
            hold.running_commands += 1
        task = asyncio.create_task(self._work(work, hold, self.node.incarnation))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _work(self, work: _Work, hold: HeldExtent | None, life: int) -> None:
        """Run it and answer; a fence no longer waits for it, whether it ran or the session ended before."""
        try:
            found = await self._effect(work)
        finally:
            if hold is not None and life == self.node.incarnation:
                hold.running_commands -= 1
                self.node.spawn(self.node.notify_fences())
        await self._answer(work, found)

    async def _effect(self, work: _Work) -> bytes:
        """Take its time, then have its effect in one step: a kill comes before or after it."""
        node, span = self.node, range(work.first, work.first + work.blocks)
        writes = work.pdu.cdb[0] in scsi.WRITES
        await asyncio.sleep(node.delay_s())
        data: tuple[bytes, ...] = ()
        if writes:
            data = tuple(
                bytes(work.data[at : at + BLOCK_BYTES])
                for at in range(0, work.blocks * BLOCK_BYTES, BLOCK_BYTES)
            )
            for block, part in zip(span, data, strict=True):
                node.blocks[work.lun, block] = part
        held = [] if writes else [node.blocks.get((work.lun, block), bytes(BLOCK_BYTES)) for block in span]
        found = b"".join(held)
        node.log.append(
            ExecutedCommand(
                node.ticks(),
                asyncio.get_running_loop().time(),
                node.name,
                (work.lun, work.named[0]),
                work.named[1],
                work.first,
                data,
                work.blocks,
            )
        )
        return found

    async def _answer(self, work: _Work, found: bytes) -> None:
        """Take its time again: a kill may come here too, and then it ran without an answer."""
        await asyncio.sleep(self.node.delay_s() / 2)
        for at in range(0, len(found), 8192):
            part = found[at : at + 8192]
            final = FINAL if at + 8192 >= len(found) or (at + 8192) % BURST == 0 else 0
            self.send(
                Pdu(
                    Op.DATA_IN,
                    final,
                    lun=work.pdu.lun,
                    tag=work.pdu.tag,
                    data=part,
                    words=[NONE, 0, 0, 0, at // 8192, at, 0],
                ),
                False,
            )
        self._status(work.pdu)

    def _status(self, pdu: Pdu, reply: scsi.Reply | None = None) -> None:
        reply = reply or scsi.Reply(scsi.Status.GOOD)
        sense = struct.pack(">H", len(reply.sense)) + reply.sense if reply.sense else b""
        self.send(Pdu(Op.SCSI_RESPONSE, byte3=reply.status, tag=pdu.tag, data=sense))

"""A stand-in storage node: an iSCSI target that holds extents, each at a version.

The node runs a READ or WRITE only if it holds the extent that the attempt names, not fenced and at exactly
that version. Otherwise it refuses the command without running it and returns a redirect
(`iscsi/versions.py`). It checks twice: when the command arrives and, for a write, when all of its data have
arrived. Its extents and redirects survive a kill, as they would on a disk; commands in progress do not.
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
from lemonridge.iscsi.pdu import (
    FINAL,
    RESERVED_TAG,
    UINT32_MASK,
    Op,
    Pdu,
    pack_text,
    read_pdu,
    unpack_lun,
    unpack_text,
)
from lemonridge.lab.ticks import Ticks

BLOCK_BYTES = 512
SEGMENT, BURST = 32768, 65536
ExtentKey = tuple[int, int]  # LUN, first block of an extent


@dataclass(slots=True)
class HeldExtent:
    """An extent that a node holds.

    Attributes:
        length: Length in blocks.
        version: Version of the extent.
        fenced: Whether the node starts no new commands on the extent.
        running_commands: Number of commands that have passed their last check and have not ended.
    """

    length: int
    version: int
    fenced: bool = False
    running_commands: int = 0


@dataclass(frozen=True, slots=True)
class ExecutedCommand:
    """A command that a node has executed, logged at the moment of its effect.

    Attributes:
        tick: Position in the drill's order of events.
        at_s: The loop's time in seconds.
        node: Name of the node.
        extent: The extent that the attempt named.
        version: Version that the attempt named.
        first_block: First block of the command.
        data: Blocks written; empty for a read.
        blocks: Number of blocks.
    """

    tick: int
    at_s: float
    node: str
    extent: ExtentKey
    version: int
    first_block: int
    data: tuple[bytes, ...]
    blocks: int


@dataclass(slots=True)
class _PendingCommand:
    """A READ or WRITE that has not been executed yet.

    Attributes:
        pdu: The command.
        lun: Its LUN.
        first_block: First block of the command.
        blocks: Number of blocks.
        named_version: First block of the extent that the attempt names, and its version.
        data: Data received so far.
        requested_bytes: Number of bytes that must have arrived before the next R2T.
    """

    pdu: Pdu
    lun: int
    first_block: int
    blocks: int
    named_version: tuple[int, int]
    data: bytearray = field(default_factory=bytearray)
    requested_bytes: int = 0


class ExtentNode:
    """One storage node.

    Attributes:
        name: Name of the node.
        shard: Shard of the node.
        ticks: The drill's counter of events.
        random: Source of random draws.
        checks_versions: Whether the node checks versions. Without the checks every drill must fail.
        accepts_unversioned: Whether the node accepts attempts that name no version, for LUNs that never move.
        iqn: Name of the iSCSI target.
        port: Port of the latest start.
        alive: Whether the node is running.
        silent: Whether the node receives commands but neither runs nor answers them.
        blocks: Content, by LUN and block.
        extents: Extents that the node holds.
        redirects: Redirects for extents that the node has released.
        log: Executed commands.
        command_start_times: The loop's time in seconds at which each accepted command arrived.
        refused: Number of refused commands.
        synchronizations: Number of SYNCHRONIZE CACHE commands.
        delay_s: Draws the duration of a command, in seconds.
        incarnation: Number of kills so far.
    """

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
        self.accepts_unversioned = accepts_unversioned
        self.iqn = f"iqn.2026-12.org.lemonridge:{name}"
        self.port = 0
        self.alive = self.silent = False
        self.blocks: dict[tuple[int, int], bytes] = {}
        self.extents: dict[ExtentKey, HeldExtent] = {}
        self.redirects: dict[ExtentKey, Redirect] = {}
        self.log: list[ExecutedCommand] = []
        self.command_start_times: list[float] = []
        self.refused = self.synchronizations = 0
        self.delay_s: Callable[[], float] = lambda: 0.0
        self._connections: set[_Connection] = set()
        self._idle = asyncio.Condition()
        self._tasks: set[asyncio.Task[None]] = set()
        self.incarnation = 0

    # Start and kill

    async def start(self) -> ExtentNode:
        """Starts to listen on a free port of loopback."""
        self._listener = await asyncio.start_server(self._connected, "127.0.0.1", 0)
        self.port, self.alive = self._listener.sockets[0].getsockname()[1], True
        return self

    def kill(self) -> None:
        """Stops the node as SIGKILL would: connections are reset and running commands have no effect."""
        self.alive, self.incarnation = False, self.incarnation + 1
        self._listener.close()
        for connection in list(self._connections):
            connection.abort()
        for extent in self.extents.values():
            extent.running_commands = 0

    def etcd_entry(self, health: str = "up") -> dict[str, Any]:
        """Returns the node's entry in etcd."""
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
            pass  # the broker has disconnected, or the node was killed
        finally:
            self._connections.discard(connection)
            connection.abort()

    # Operations of a mover

    async def fence(self, key: ExtentKey) -> bool:
        """Starts no new commands on an extent and waits until its running commands have ended.

        Returns:
            False if the node was killed meanwhile, else True.
        """
        self.extents[key].fenced = True
        async with self._idle:
            await self._idle.wait_for(lambda: not self.alive or not self.extents[key].running_commands)
        return self.alive

    def add_extent(self, key: ExtentKey, extent: HeldExtent, blocks: dict[int, bytes]) -> None:
        """Adds an extent with its content, by block."""
        self.extents[key] = extent
        self.redirects.pop(key, None)
        self.blocks.update({(key[0], block): data for block, data in blocks.items()})

    def remove_extent(self, key: ExtentKey, redirect: Redirect) -> None:
        """Removes an extent; later attempts on it are answered with `redirect`."""
        del self.extents[key]
        self.redirects[key] = redirect

    def read_extent(self, key: ExtentKey) -> dict[int, bytes]:
        """Returns the written blocks of an extent, by block."""
        first, extent = key[1], self.extents[key]
        span = range(first, first + extent.length)
        return {block: self.blocks[key[0], block] for block in span if (key[0], block) in self.blocks}

    def spawn(self, coroutine: Coroutine[None, None, None]) -> None:
        """Runs a coroutine as a background task."""
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def notify_fences(self) -> None:
        """Wakes waiting fences after a command has ended or the node was killed."""
        async with self._idle:
            self._idle.notify_all()

    # Checks of an attempt

    def refusal(self, command: _PendingCommand) -> Redirect | None:
        """Returns the redirect for a command that must not run on this node, or None if it may run."""
        key = (command.lun, command.named_version[0])
        extent = self.extents.get(key)
        if not self.checks_versions:
            return None
        if extent is None:
            return self.redirects.get(key, Redirect())
        inside = (
            key[1] <= command.first_block and command.first_block + command.blocks <= key[1] + extent.length
        )
        if extent.fenced or extent.version != command.named_version[1] or not inside:
            return Redirect(extent.version, self.shard)
        return None


class _Connection:
    """One session of a broker with the node.

    Attributes:
        node: The node.
        reader: Reader of the connection.
        writer: Writer of the connection.
        stat_sn: Next StatSN.
        exp_cmd_sn: Next expected CmdSN.
        transfers: Number of R2Ts so far; the latest target transfer tag.
        versioned: Whether the login agreed on versions.
        awaiting_data: Writes that wait for data, by task tag.
        tasks: Running commands.
    """

    def __init__(self, node: ExtentNode, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.node, self.reader, self.writer = node, reader, writer
        self.stat_sn, self.exp_cmd_sn, self.transfers = 1, 0, 0
        self.versioned = False
        self.awaiting_data: dict[int, _PendingCommand] = {}
        self.tasks: set[asyncio.Task[None]] = set()

    def abort(self) -> None:
        """Cancels the running commands and resets the connection."""
        for task in self.tasks:
            task.cancel()
        self.writer.transport.abort()

    async def run(self) -> None:
        """Receives PDUs until the connection ends."""
        while True:
            pdu = await read_pdu(self.reader, 1 << 20)
            if self.node.silent:
                continue  # PDUs are read but neither run nor answered
            if not pdu.immediate and pdu.opcode != Op.DATA_OUT:
                self.exp_cmd_sn = (pdu.words[1] + 1) & UINT32_MASK
            if pdu.opcode == Op.LOGIN:
                self._login(pdu)
            elif pdu.opcode == Op.SCSI_COMMAND:
                self._on_command(pdu)
            elif pdu.opcode == Op.DATA_OUT:
                self._on_data_out(pdu)
            elif pdu.opcode == Op.TASK_MANAGEMENT:
                self.send(Pdu(Op.TASK_MANAGEMENT_RESPONSE, byte2=0, tag=pdu.tag))
            elif pdu.opcode == Op.LOGOUT:
                self.send(Pdu(Op.LOGOUT_RESPONSE, tag=pdu.tag))

    def send(self, pdu: Pdu, status: bool = True) -> None:
        """Sends a PDU with the current sequence numbers; one with a status advances StatSN."""
        pdu.words[1:4] = [self.stat_sn, self.exp_cmd_sn, (self.exp_cmd_sn + 63) & UINT32_MASK]
        self.stat_sn = (self.stat_sn + status) & UINT32_MASK
        if not self.writer.is_closing():
            self.writer.write(pdu.encode())

    def _login(self, pdu: Pdu) -> None:
        self.exp_cmd_sn = pdu.words[1]
        keys = {
            "MaxRecvDataSegmentLength": str(SEGMENT),
            "MaxBurstLength": str(BURST),
            "FirstBurstLength": "8192",
        }
        self.versioned = (
            unpack_text(pdu.data).get(versions.EXTENT_VERSION_KEY) == versions.EXTENT_VERSION_VALUE
        )
        if self.versioned:
            keys[versions.EXTENT_VERSION_KEY] = versions.EXTENT_VERSION_VALUE
        self.send(Pdu(Op.LOGIN_RESPONSE, pdu.flags, lun=pdu.lun, tag=pdu.tag, data=pack_text(keys.items())))

    def _on_command(self, pdu: Pdu) -> None:
        lun, opcode = unpack_lun(pdu.lun), pdu.cdb[0]
        self.node.synchronizations += opcode in scsi.SYNCHRONIZE
        if (
            lun is None or opcode not in scsi.READ_WRITE_CDB_BYTES
        ):  # commands without effect, such as TEST UNIT READY
            if lun is None or not self.node.accepts_unversioned or not self._run_other_command(pdu, lun):
                self._send_status(pdu)
            return
        named_version = versions.unpack_ahs(pdu.ahs)
        if named_version is None and self.node.accepts_unversioned:
            named_version = (0, 1)
        if named_version is None:  # an attempt without a version is never run
            self._send_status(pdu, scsi.check_condition(0x05, 0x24))
            return
        command = _PendingCommand(pdu, lun, *scsi.block_range(pdu.cdb), named_version, bytearray(pdu.data))
        redirect = self.node.refusal(command)
        if redirect is not None:
            self._refuse(pdu, redirect)
            return
        self.node.command_start_times.append(asyncio.get_running_loop().time())
        if opcode in scsi.WRITES and len(command.data) < command.blocks * BLOCK_BYTES:
            self.awaiting_data[pdu.tag] = command
            self._request_data(command)
        else:
            self._start(command)

    def _run_other_command(self, pdu: Pdu, lun: int) -> bool:
        """Runs a command other than READ and WRITE on a node that accepts unversioned attempts.

        All data of such a command arrive with the command itself, since the broker's sessions send them so.

        Returns:
            False if the command has no effect on this node and has not been answered, else True.
        """
        opcode, cdb, blocks = pdu.cdb[0], pdu.cdb, self.node.blocks
        capacity_blocks = sum(extent.length for key, extent in self.node.extents.items() if key[0] == lun)
        if opcode in (scsi.READ_CAPACITY_10, scsi.SERVICE_ACTION_IN):
            self._send_data(pdu, scsi.read_capacity_data(cdb, capacity_blocks, BLOCK_BYTES))
            return True
        first, count = int.from_bytes(cdb[2:10], "big"), int.from_bytes(cdb[10:14], "big")
        reply = scsi.Reply(scsi.Status.GOOD)
        if opcode == 0x93:
            blocks.update(
                dict.fromkeys(((lun, first + offset) for offset in range(count)), pdu.data[:BLOCK_BYTES])
            )
        elif opcode == 0x42:
            first, count = struct.unpack(">QI", pdu.data[8:20])
            for offset in range(count):
                blocks.pop((lun, first + offset), None)
        elif opcode == 0x89:
            if blocks.get((lun, first), bytes(BLOCK_BYTES)) == pdu.data[:BLOCK_BYTES]:
                blocks[lun, first] = pdu.data[BLOCK_BYTES:]
            else:
                reply = scsi.check_condition(0x0E, 0x1D)  # MISCOMPARE
        else:
            return False
        self._send_status(pdu, reply)
        return True

    def _send_data(self, pdu: Pdu, data: bytes) -> None:
        self.send(
            Pdu(
                Op.DATA_IN,
                FINAL,
                lun=pdu.lun,
                tag=pdu.tag,
                data=data[: pdu.words[0]],
                words=[RESERVED_TAG, 0, 0, 0, 0, 0, 0],
            ),
            False,
        )
        self._send_status(pdu)

    def _refuse(self, pdu: Pdu, redirect: Redirect) -> None:
        self.node.refused += 1
        self._send_status(
            pdu, scsi.Reply(scsi.Status.CHECK_CONDITION, sense=versions.pack_redirect_sense(redirect))
        )

    def _request_data(self, command: _PendingCommand) -> None:
        self.transfers += 1
        length = min(BURST, command.blocks * BLOCK_BYTES - len(command.data))
        command.requested_bytes = len(command.data) + length
        self.send(
            Pdu(
                Op.R2T,
                lun=command.pdu.lun,
                tag=command.pdu.tag,
                words=[self.transfers, 0, 0, 0, 0, len(command.data), length],
            ),
            False,
        )

    def _on_data_out(self, pdu: Pdu) -> None:
        command = self.awaiting_data.get(pdu.tag)
        if command is None:
            return
        command.data += pdu.data
        if len(command.data) == command.blocks * BLOCK_BYTES:
            del self.awaiting_data[pdu.tag]
            self._start(command)
        elif len(command.data) == command.requested_bytes:
            self._request_data(command)

    def _start(self, command: _PendingCommand) -> None:
        """Runs the last check of a complete command; from here on, fences wait for the command."""
        redirect = self.node.refusal(command)
        if redirect is not None:
            self._refuse(command.pdu, redirect)
            return
        extent = self.node.extents.get((command.lun, command.named_version[0]))
        if extent is not None:
            extent.running_commands += 1
        task = asyncio.create_task(self._run_command(command, extent, self.node.incarnation))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _run_command(
        self, command: _PendingCommand, extent: HeldExtent | None, incarnation: int
    ) -> None:
        """Runs and answers a command.

        Fences stop waiting for the command when its effect is applied or its session has ended.
        """
        try:
            data_read = await self._apply(command)
        finally:
            if extent is not None and incarnation == self.node.incarnation:
                extent.running_commands -= 1
                self.node.spawn(self.node.notify_fences())
        await self._answer(command, data_read)

    async def _apply(self, command: _PendingCommand) -> bytes:
        """Waits for the drawn duration, then applies the effect in one step that a kill cannot interrupt."""
        node, span = self.node, range(command.first_block, command.first_block + command.blocks)
        writes = command.pdu.cdb[0] in scsi.WRITES
        await asyncio.sleep(node.delay_s())
        data: tuple[bytes, ...] = ()
        if writes:
            data = tuple(
                bytes(command.data[at : at + BLOCK_BYTES])
                for at in range(0, command.blocks * BLOCK_BYTES, BLOCK_BYTES)
            )
            for block, block_data in zip(span, data, strict=True):
                node.blocks[command.lun, block] = block_data
        blocks_read = (
            [] if writes else [node.blocks.get((command.lun, block), bytes(BLOCK_BYTES)) for block in span]
        )
        data_read = b"".join(blocks_read)
        node.log.append(
            ExecutedCommand(
                node.ticks(),
                asyncio.get_running_loop().time(),
                node.name,
                (command.lun, command.named_version[0]),
                command.named_version[1],
                command.first_block,
                data,
                command.blocks,
            )
        )
        return data_read

    async def _answer(self, command: _PendingCommand, data_read: bytes) -> None:
        """Answers after another delay; a kill during that delay leaves an executed command unanswered."""
        await asyncio.sleep(self.node.delay_s() / 2)
        for offset in range(0, len(data_read), 8192):
            segment = data_read[offset : offset + 8192]
            final = FINAL if offset + 8192 >= len(data_read) or (offset + 8192) % BURST == 0 else 0
            self.send(
                Pdu(
                    Op.DATA_IN,
                    final,
                    lun=command.pdu.lun,
                    tag=command.pdu.tag,
                    data=segment,
                    words=[RESERVED_TAG, 0, 0, 0, offset // 8192, offset, 0],
                ),
                False,
            )
        self._send_status(command.pdu)

    def _send_status(self, pdu: Pdu, reply: scsi.Reply | None = None) -> None:
        reply = reply or scsi.Reply(scsi.Status.GOOD)
        sense = struct.pack(">H", len(reply.sense)) + reply.sense if reply.sense else b""
        self.send(Pdu(Op.SCSI_RESPONSE, byte3=reply.status, tag=pdu.tag, data=sense))

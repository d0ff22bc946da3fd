"""Checks a drill by the nodes' logs, the mover's record of owners and the outcomes of the commands.

Each written block begins with the number of its write, so the data of a read identifies the write that it
comes from. A read may return what the block held when the read began, or any write that took effect before
the read ended.
"""

from __future__ import annotations

import struct
from bisect import bisect_right
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field

from lemonridge.lab.standins.mover import Ownership
from lemonridge.lab.standins.node import BLOCK_BYTES, ExecutedCommand, ExtentKey

STAMP = struct.Struct(">QQ")  # the number of the write and the number of the block


def stamp(write_number: int, block: int) -> bytes:
    """Returns the content of a block: the number of the write and of the block, repeated."""
    return STAMP.pack(write_number, block) * (BLOCK_BYTES // STAMP.size)


def read_stamp(data: bytes, block: int) -> int:
    """Returns the write that a block's content comes from; 0 for an unwritten block, -1 for corrupt data."""
    if data == bytes(BLOCK_BYTES):
        return 0
    write_number, stamped_block = STAMP.unpack_from(data)
    return int(write_number) if stamped_block == block and data == stamp(write_number, block) else -1


def stamped_data(write_number: int, first: int, blocks: int) -> bytes:
    """Returns the data of a write of `blocks` blocks from block `first`."""
    return b"".join(stamp(write_number, first + offset) for offset in range(blocks))


def read_stamps(data: bytes, first: int, blocks: int) -> tuple[int, ...]:
    """Returns the write that each block of a read's data comes from; -1 for all if the length is wrong."""
    if len(data) != blocks * BLOCK_BYTES:
        return (-1,) * blocks
    return tuple(
        read_stamp(data[offset * BLOCK_BYTES : (offset + 1) * BLOCK_BYTES], first + offset)
        for offset in range(blocks)
    )


def outcome_of(status: int) -> str:
    """Returns the outcome of a command with a SCSI status: served, refused or failed."""
    return {0x00: "served", 0x08: "refused", 0x28: "refused"}.get(status, "failed")


@dataclass(frozen=True, slots=True)
class CommandRecord:
    """One command of an initiator and its outcome.

    Attributes:
        started_tick: The tick at which the command was sent.
        ended_tick: The tick at which its answer arrived.
        lun: The LUN.
        first_block: The first block.
        blocks: The number of blocks.
        write_number: The number of the write; 0 for a read.
        outcome: `served`, `refused` or `failed`.
        found_writes: For a served read, the write that each block's content comes from.
    """

    started_tick: int
    ended_tick: int
    lun: int
    first_block: int
    blocks: int
    write_number: int
    outcome: str
    found_writes: tuple[int, ...] = ()


@dataclass(slots=True)
class Findings:
    """The number of violations of each rule, with notes on the first ones.

    Attributes:
        misdirected_writes: Writes that ran at a node that did not own the extent in that version.
        wrong_reads: Blocks for which a read returned data that it may not return.
        lost_writes: Acknowledged writes that did not run in time, and blocks whose last write is missing.
        run_twice: Writes that ran more than once.
        refused_ran: Writes that ran although they were refused.
        notes: Descriptions of the first violations.
    """

    misdirected_writes: int = 0
    wrong_reads: int = 0
    lost_writes: int = 0
    run_twice: int = 0
    refused_ran: int = 0
    notes: list[str] = field(default_factory=list)

    def note(self, text: str) -> None:
        """Adds the description of a violation, up to 20 of them."""
        if len(self.notes) < 20:
            self.notes.append(text)


def check(
    executed_commands: Iterable[ExecutedCommand],
    ownership_log: Mapping[ExtentKey, Sequence[Ownership]],
    commands: Iterable[CommandRecord],
    final_writes: Mapping[tuple[int, int], int],
) -> Findings:
    """Checks the commands and the final content of the blocks against the order in which writes ran.

    Args:
        executed_commands: The commands that the nodes ran.
        ownership_log: For each extent, its owners in order of time.
        commands: The initiators' commands with their outcomes.
        final_writes: The write that each block (LUN and number) held at the end, as a read returned it.
    """
    findings = Findings()
    history: dict[tuple[int, int], list[tuple[int, int]]] = {}
    for executed in sorted(
        (command for command in executed_commands if command.data), key=lambda command: command.tick
    ):
        owners = ownership_log[executed.extent]
        owner = owners[bisect_right(owners, executed.tick, key=lambda ownership: ownership.tick) - 1]
        if (owner.node, owner.version) != (executed.node, executed.version):
            findings.misdirected_writes += 1
            findings.note(
                f"write at {executed.node} of block {executed.first_block} under {executed.extent} "
                f"version {executed.version}, tick {executed.tick}, but the owner is {owner}"
            )
            continue
        for offset, data in enumerate(executed.data):
            block = executed.first_block + offset
            history.setdefault((executed.extent[0], block), []).append(
                (executed.tick, read_stamp(data, block))
            )
    for command in commands:
        for offset in range(command.blocks):
            _check_block(
                findings, command, offset, history.get((command.lun, command.first_block + offset), [])
            )
    for block_key, write_number in final_writes.items():
        writes = history.get(block_key, [])
        if write_number != (writes[-1][1] if writes else 0):
            findings.lost_writes += 1
            findings.note(f"block {block_key} holds write {write_number} at the end, after {writes[-3:]}")
    return findings


def _check_block(
    findings: Findings, command: CommandRecord, offset: int, writes: list[tuple[int, int]]
) -> None:
    """Checks one block of a command against the block's writes, which are pairs of tick and write number."""
    if not command.write_number:
        if command.outcome == "served":
            start = bisect_right(writes, (command.started_tick, 0)) - 1
            allowed = {writes[start][1] if start >= 0 else 0}
            allowed |= {
                write_number for tick, write_number in writes[start + 1 :] if tick < command.ended_tick
            }
            if command.found_writes[offset] not in allowed:
                findings.wrong_reads += 1
                findings.note(
                    f"the read of ticks {command.started_tick}..{command.ended_tick} returned write "
                    f"{command.found_writes[offset]}, allowed are {sorted(allowed)}"
                )
        return
    execution_ticks = [tick for tick, write_number in writes if write_number == command.write_number]
    if len(execution_ticks) > 1:
        findings.run_twice += 1
        findings.note(f"write {command.write_number} ran {len(execution_ticks)} times")
    if command.outcome == "refused" and execution_ticks:
        findings.refused_ran += 1
        findings.note(f"write {command.write_number} ran although it was refused")
    if command.outcome == "served" and not (execution_ticks and execution_ticks[0] < command.ended_tick):
        findings.lost_writes += 1
        findings.note(f"write {command.write_number} was acknowledged but had not run")

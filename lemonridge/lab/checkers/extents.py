"""Checks a drill by the nodes' own logs, the mover's ledger and what the initiators were answered.

Each block that is written begins with the number of its write, so that what a read found names the write that
put it there. A read may find what the block held when the read began, or anything that took effect until it
ended.
"""

from __future__ import annotations

import struct
from bisect import bisect_right
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field

from lemonridge.lab.standins.mover import Ownership
from lemonridge.lab.standins.node import BLOCK_BYTES, ExecutedCommand, ExtentKey

STAMP = struct.Struct(">QQ")


def stamp(ident: int, block: int) -> bytes:
    """A block's content: the write's number and the block's, over and over."""
    return STAMP.pack(ident, block) * (BLOCK_BYTES // STAMP.size)


def read_stamp(data: bytes, block: int) -> int:
    """The write that a block's content comes from; 0 where nothing was written, -1 for spoilt content."""
    if data == bytes(BLOCK_BYTES):
        return 0
    ident, where = STAMP.unpack_from(data)
    return int(ident) if where == block and data == stamp(ident, block) else -1


def stamped_data(ident: int, first: int, blocks: int) -> bytes:
    """The data of a write of some blocks."""
    return b"".join(stamp(ident, first + place) for place in range(blocks))


def read_stamps(data: bytes, first: int, blocks: int) -> tuple[int, ...]:
    """What a read of some blocks found, block by block; -1 throughout if it is of another length."""
    if len(data) != blocks * BLOCK_BYTES:
        return (-1,) * blocks
    return tuple(
        read_stamp(data[place * BLOCK_BYTES : (place + 1) * BLOCK_BYTES], first + place)
        for place in range(blocks)
    )


def outcome_of(status: int) -> str:
    """A command's end by its SCSI status."""
    return {0x00: "served", 0x08: "refused", 0x28: "refused"}.get(status, "failed")


@dataclass(frozen=True, slots=True)
class CommandRecord:
    """One command of an initiator and its end; `ident` is a write's number, `found` what a read brought."""

    begun: int
    ended: int
    lun: int
    first: int
    blocks: int
    ident: int
    end: str  # served, refused or failed
    found: tuple[int, ...] = ()


@dataclass(slots=True)
class Findings:
    """Broken rules, by kind."""

    misdirected_writes: int = 0
    wrong_reads: int = 0
    lost_writes: int = 0
    run_twice: int = 0
    refused_ran: int = 0
    notes: list[str] = field(default_factory=list)

    def note(self, text: str) -> None:
        if len(self.notes) < 20:
            self.notes.append(text)


def check(
    logs: Iterable[ExecutedCommand],
    ledger: Mapping[ExtentKey, Sequence[Ownership]],
    asked: Iterable[CommandRecord],
    final: Mapping[tuple[int, int], int],
) -> Findings:
    """Hold everything against everything. `final` is what each block held at the end, by a read."""
    found = Findings()
    history: dict[tuple[int, int], list[tuple[int, int]]] = {}
    for ran in sorted((one for one in logs if one.data), key=lambda one: one.tick):
        owners = ledger[ran.extent]
        owner = owners[bisect_right(owners, ran.tick, key=lambda one: one.tick) - 1]
        if (owner.node, owner.version) != (ran.node, ran.version):
            found.misdirected_writes += 1
            found.note(
                f"write at {ran.node} of block {ran.first_block} under {ran.extent} version {ran.version}, "
                f"tick {ran.tick}, but {owner}"
            )
            continue
        for place, data in enumerate(ran.data):
            block = ran.first_block + place
            history.setdefault((ran.extent[0], block), []).append((ran.tick, read_stamp(data, block)))
    for one in asked:
        for place in range(one.blocks):
            _block(found, one, place, history.get((one.lun, one.first + place), []))
    for spot, ident in final.items():
        held = history.get(spot, [])
        if ident != (held[-1][1] if held else 0):
            found.lost_writes += 1
            found.note(f"block {spot} holds {ident} at the end, after {held[-3:]}")
    return found


def _block(found: Findings, one: CommandRecord, place: int, held: list[tuple[int, int]]) -> None:
    """One block of one command against the block's history."""
    if not one.ident:
        if one.end == "served":
            start = bisect_right(held, (one.begun, 0)) - 1
            may = {held[start][1] if start >= 0 else 0}
            may |= {ident for tick, ident in held[start + 1 :] if tick < one.ended}
            if one.found[place] not in may:
                found.wrong_reads += 1
                found.note(f"{one.found[place]} was read by {one.begun}..{one.ended}, allowed {sorted(may)}")
        return
    ran = [tick for tick, ident in held if ident == one.ident]
    if len(ran) > 1:
        found.run_twice += 1
        found.note(f"write {one.ident} ran {len(ran)} times")
    if one.end == "refused" and ran:
        found.refused_ran += 1
        found.note(f"write {one.ident} ran and was refused")
    if one.end == "served" and not (ran and ran[0] < one.ended):
        found.lost_writes += 1
        found.note(f"write {one.ident} was acknowledged and did not run")

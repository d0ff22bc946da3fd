"""The device server of the broker's logical units: what it answers itself, and what it keeps of each
initiator.

SPC-4 and SBC-3. Commands that move or change data are the nodes'; identity, mode pages, reservations, unit
attentions and the states of the target ports are the broker's own, so that an initiator sees one device
whichever node serves it. All of it is synchronous and knows no socket.
"""

from __future__ import annotations

import hashlib
import struct
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

from lemonridge.iscsi import scsi
from lemonridge.iscsi.config import IscsiConfig
from lemonridge.iscsi.pdu import pack_lun
from lemonridge.iscsi.reservation_file import ReservationFile, ReservationsNotSavedError
from lemonridge.iscsi.reservations import Action, ActionResult, Effect, Refusal, Reservations, UnitAttention

ATTENTIONS_MAX = 8  # that wait for one nexus and LUN; past it the newest is left out, as SAM-5 allows
POWER_ON, RESET, CLEARED, CAPACITY_CHANGED = ((0x29, 0x00), (0x29, 0x03), (0x2F, 0x00), (0x2A, 0x09))
VENDOR, PRODUCT, REVISION = b"LEMONRDG", b"BROKERED DISK   ", b"0003"

INQUIRY, REQUEST_SENSE, MODE_SENSE_6, MODE_SENSE_10, MODE_SELECT_6, MODE_SELECT_10 = (
    0x12,
    0x03,
    0x1A,
    0x5A,
    0x15,
    0x55,
)
START_STOP, RESERVE_IN, RESERVE_OUT, REPORT_LUNS, MAINTENANCE_IN = 0x1B, 0x5E, 0x5F, 0xA0, 0xA3
PORT_GROUPS, OPCODES = 0x0A, 0x0C
LOCAL_DATA_OUT_COMMANDS = frozenset(
    (MODE_SELECT_6, MODE_SELECT_10, RESERVE_OUT)
)  # answered here once their data are there
UNASKED = frozenset((INQUIRY, REQUEST_SENSE, REPORT_LUNS))  # they leave unit attentions alone (SAM-5, 5.14)
FREE = UNASKED | {0x00, 0x25, 0x9E, RESERVE_IN, RESERVE_OUT, MAINTENANCE_IN}

# (opcode, service action or -1, CDB length): what REPORT SUPPORTED OPERATION CODES tells
SUPPORTED = (
    (0x00, -1, 6),
    (0x03, -1, 6),
    (0x08, -1, 6),
    (0x0A, -1, 6),
    (0x12, -1, 6),
    (0x15, -1, 6),
    (0x1A, -1, 6),
    (0x1B, -1, 6),
    (0x25, -1, 10),
    (0x28, -1, 10),
    (0x2A, -1, 10),
    (0x2F, -1, 10),
    (0x35, -1, 10),
    (0x41, -1, 10),
    (0x42, -1, 10),
    (0x55, -1, 10),
    (0x5A, -1, 10),
    (0x5E, 0, 10),
    (0x5E, 1, 10),
    (0x5E, 2, 10),
    (0x5E, 3, 10),
    (0x5F, 0, 10),
    (0x5F, 1, 10),
    (0x5F, 2, 10),
    (0x5F, 3, 10),
    (0x5F, 4, 10),
    (0x5F, 5, 10),
    (0x5F, 6, 10),
    (0x88, -1, 16),
    (0x89, -1, 16),
    (0x8A, -1, 16),
    (0x8F, -1, 16),
    (0x91, -1, 16),
    (0x93, -1, 16),
    (0x9E, 0x10, 16),
    (0xA0, -1, 12),
    (0xA3, 0x0A, 12),
    (0xA3, 0x0C, 12),
)

Reply = scsi.Reply


@dataclass(slots=True, eq=False)
class Nexus:
    """An initiator port's side of every logical unit: the attentions that wait for it."""

    name: str
    device: Device
    unit_attentions: dict[int, deque[tuple[int, int]]] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.device.nexuses.add(self)
        if self.device.config.power_on_attention:
            for lun in self.device.config.luns:
                self.add_unit_attention(lun, POWER_ON)

    def add_unit_attention(self, lun: int, what: tuple[int, int]) -> None:
        queue = self.unit_attentions.setdefault(lun, deque())
        if what not in queue and len(queue) < ATTENTIONS_MAX:
            queue.append(what)

    def close(self) -> None:
        self.device.nexuses.discard(self)


HARDWARE_ERROR = 0x04  # sense key (SPC-4, table 27)


class Device:
    """Every logical unit of the front. `state` tells a LUN's asymmetric access state."""

    def __init__(
        self,
        config: IscsiConfig,
        state: Callable[[int], int],
        abort: Callable[[str, int], None],
        keeper: ReservationFile | None = None,
    ) -> None:
        """`abort` ends the commands of a nexus at a LUN, for PREEMPT AND ABORT; `keeper` is the disk."""
        self._keeper = keeper
        self.config, self._state, self._abort = config, state, abort
        self.nexuses: set[Nexus] = set()
        self.reservations: dict[int, Reservations] = keeper.load() if keeper is not None else {}
        self._fixed = {lun: self._identity(lun) for lun in config.luns}

    def answer_locally(self, nexus: Nexus, command: scsi.Command) -> Reply | None:
        """The answer to a command that no node is asked for, before any of its data; None if it goes on."""
        opcode, lun = command.cdb[0], command.lun
        if opcode == REPORT_LUNS:
            return self._report_luns(command)
        if lun not in self.config.luns:
            if opcode == INQUIRY:
                return self._data(command, scsi.absent_lun_inquiry_data())
            return scsi.no_such_lun()
        queue = nexus.unit_attentions.get(lun)
        if queue and opcode not in UNASKED:
            return scsi.check_condition(0x06, *queue.popleft())
        if not self._known(command):
            return scsi.invalid_opcode()
        if not self._shaped(command):
            return scsi.invalid_field()
        reservation = self.reservations.get(lun)
        if reservation is not None and reservation.conflicts(nexus.name, _effect(command)):
            return Reply(scsi.Status.RESERVATION_CONFLICT)
        if opcode == INQUIRY:
            return self._inquiry(command)
        if opcode == REQUEST_SENSE:
            key, code = (0x06, queue.popleft()) if queue else (0, (0, 0))
            return self._data(command, scsi.check_condition(key, *code).sense[: command.cdb[4]])
        if opcode in (MODE_SENSE_6, MODE_SENSE_10):
            return self._mode_sense(command)
        if opcode == START_STOP:
            return scsi.invalid_field() if command.cdb[4] & 0x02 else Reply(scsi.Status.GOOD)
        if opcode == RESERVE_IN:
            return self._reserve_in(command)
        if opcode == MAINTENANCE_IN:
            return self._maintenance(command)
        return None

    def execute_with_data(self, nexus: Nexus, command: scsi.Command) -> Reply:
        """A command of `LOCAL_DATA_OUT_COMMANDS`, now that its data are there."""
        if command.cdb[0] == RESERVE_OUT:
            return self._reserve_out(nexus, command)
        return self._mode_select(nexus, command)

    def report_reset(self, nexus: Nexus, luns: list[int], cleared: bool) -> None:
        """Tell the others that a LUN was reset, or their commands were cleared."""
        for other in self.nexuses:
            for lun in luns:
                if not cleared:
                    other.add_unit_attention(lun, RESET)
                elif other is not nexus:
                    other.add_unit_attention(lun, CLEARED)

    def report_unit_attention(self, what: tuple[int, int], luns: list[int]) -> None:
        """An attention for every initiator."""
        for nexus in self.nexuses:
            for lun in luns:
                nexus.add_unit_attention(lun, what)

    # What may come at all

    def _known(self, command: scsi.Command) -> bool:
        opcode, action = command.cdb[0], command.cdb[1] & 0x1F
        if opcode in (RESERVE_IN, RESERVE_OUT):
            return self.config.settings.hosts == 1  # several brokers do not share what is reserved
        if opcode == MAINTENANCE_IN:
            return action in (PORT_GROUPS, OPCODES)
        if opcode in (MODE_SELECT_6, MODE_SELECT_10, START_STOP):
            return True
        if self.config.luns[command.lun].mapped and opcode in scsi.UNSUPPORTED_ON_MAPPED_LUNS:
            return False
        return opcode in scsi.READS or opcode in scsi.WRITES

    def _shaped(self, command: scsi.Command) -> bool:
        """The direction and the length of the transfer."""
        opcode = command.cdb[0]
        out = opcode in scsi.WRITES or opcode in LOCAL_DATA_OUT_COMMANDS or opcode in scsi.VERIFIES
        into = opcode not in scsi.WRITES and opcode not in LOCAL_DATA_OUT_COMMANDS
        return not (
            (command.writes and not out)
            or (command.reads and not into)
            or (command.reads and command.writes)
            or command.length > self.config.max_transfer
            or (command.length and not command.reads and not command.writes)
        )

    def _data(self, command: scsi.Command, data: bytes) -> Reply:
        return Reply(scsi.Status.GOOD, data[: command.length])

    def _report_luns(self, command: scsi.Command) -> Reply:
        room = int.from_bytes(command.cdb[6:10], "big")
        if command.cdb[2] not in (0, 1, 2) or room < 16:
            return scsi.invalid_field()
        luns = [] if command.cdb[2] == 1 else sorted(self.config.luns)
        return self._data(command, scsi.report_luns_data([pack_lun(lun) for lun in luns])[:room])

    # Identity

    def _identity(self, lun: int) -> bytes:
        """Sixteen bytes that name a LUN, the same from every broker of the target."""
        return hashlib.sha256(f"{self.config.target}/{lun}".encode()).digest()[:16]

    def _inquiry(self, command: scsi.Command) -> Reply:
        cdb = command.cdb
        room = int.from_bytes(cdb[3:5], "big")
        if not cdb[1] & 1:
            if cdb[2]:
                return scsi.invalid_field()
            # Type 0, SPC-4, response format 2 with HISUP, TPGS implicit, CMDQUE; SAM-5, SPC-4, SBC-3, iSCSI
            head = (0, 0, 6, 0x12, 91, 0x10, 0, 0x02)
            data = struct.pack(">8B8s16s4s", *head, VENDOR, PRODUCT, REVISION)
            data += bytes(22) + struct.pack(">4H", 0x00A0, 0x0460, 0x04C0, 0x0960)
            return self._data(command, data.ljust(96, b"\0")[:room])
        pages = {
            0x00: self._pages,
            0x80: self._serial,
            0x83: self._names,
            0xB0: self._limits,
            0xB1: self._characteristics,
            0xB2: self._provisioning,
        }
        page = pages.get(cdb[2])
        if page is None:
            return scsi.invalid_field()
        body = page(command.lun)
        return self._data(command, (struct.pack(">BBH", 0, cdb[2], len(body)) + body)[:room])

    def _pages(self, _: int) -> bytes:
        return bytes((0x00, 0x80, 0x83, 0xB0, 0xB1, 0xB2))

    def _serial(self, lun: int) -> bytes:
        return self._fixed[lun].hex()[:16].encode()

    def _names(self, lun: int) -> bytes:
        """83h: a T10 name, an NAA name, the target's own, its port and its port group (SPC-4, 7.8.6)."""
        naa = bytes([0x60 | self._fixed[lun][0] & 0x0F]) + self._fixed[lun][1:]
        text = self.config.target.encode() + b",t,0x0001\0"
        text += bytes(-len(text) % 4)
        rows = (
            (2, 0x01, VENDOR + self._serial(lun)),
            (1, 0x03, naa),
            (3, 0x98, text),
            (1, 0x94, struct.pack(">HH", 0, 1)),
            (1, 0x95, struct.pack(">HH", 0, 1)),
        )
        made = b""
        for code, kind, value in rows:
            protocol = 0x50 if kind & 0x80 else 0
            made += struct.pack(">BBxB", protocol | code, kind, len(value)) + value
        return made

    def _limits(self, _: int) -> bytes:
        """B0h: one COMPARE AND WRITE block, transfers up to the bound, UNMAP within one transfer."""
        blocks = self.config.max_transfer // self.config.extents.block_bytes
        return struct.pack(">BBHIIIIIIIQ", 1, 1, 0, blocks, blocks, 0, 0xFFFFFFFF, 256, 0, 0, blocks).ljust(
            60, b"\0"
        )

    def _characteristics(self, _: int) -> bytes:
        return struct.pack(">HBB", 1, 0, 0).ljust(60, b"\0")  # no rotation

    def _provisioning(self, _: int) -> bytes:
        return struct.pack(">BBBB", 0, 0xE0, 2, 0)  # UNMAP, WRITE SAME (16) and (10) with the bit; thin

    # Mode pages (SPC-4, 7.5; SBC-3, 6.4)

    def _mode_pages(self, page: int, changeable: bool) -> bytes | None:
        """Caching (WCE, since SYNCHRONIZE CACHE is carried) and control (QErr 0, restricted reordering)."""
        caching = struct.pack(">BB", 0x08, 18) + (bytes(18) if changeable else b"\x04" + bytes(17))
        control = struct.pack(">BB", 0x0A, 10) + bytes(10)
        return {0x08: caching, 0x0A: control, 0x3F: caching + control}.get(page)

    def _mode_sense(self, command: scsi.Command) -> Reply:
        cdb = command.cdb
        page, control = cdb[2] & 0x3F, cdb[2] >> 6
        body = self._mode_pages(page, control == 1) if cdb[3] in (0, 0xFF) else None
        if control == 3:
            return scsi.check_condition(0x05, 0x39)  # saving parameters is not supported
        if body is None:
            return scsi.invalid_field()
        if cdb[0] == MODE_SENSE_6:
            return self._data(command, (struct.pack(">BBBB", 3 + len(body), 0, 0x10, 0) + body)[: cdb[4]])
        room = int.from_bytes(cdb[7:9], "big")
        return self._data(command, (struct.pack(">HBBBBH", 6 + len(body), 0, 0x10, 0, 0, 0) + body)[:room])

    def _mode_select(self, nexus: Nexus, command: scsi.Command) -> Reply:
        """Nothing can be changed: what says what holds is taken, the rest is refused."""
        cdb, data = command.cdb, command.data
        if not cdb[1] & 0x10 or cdb[1] & 0x01:  # PF is wanted, SP is not supported
            return scsi.invalid_field()
        head = 4 if cdb[0] == MODE_SELECT_6 else 8
        if data and len(data) < head:
            return scsi.check_condition(0x05, 0x1A)  # parameter list length error
        descriptors = data[3] if head == 4 and data else int.from_bytes(data[6:8], "big")
        pages = data[head + descriptors :]
        while pages:
            held = self._mode_pages(pages[0] & 0x3F, False)
            if held is None or pages[0] & 0x3F == 0x3F or len(pages) < len(held) or pages[1] != held[1]:
                return scsi.check_condition(0x05, 0x26)
            if pages[2 : len(held)] != held[2:]:
                return scsi.check_condition(0x05, 0x26)
            pages = pages[len(held) :]
        return Reply(scsi.Status.GOOD)

    # Reservations

    def _reserve_in(self, command: scsi.Command) -> Reply:
        held = self.reservations.get(command.lun) or Reservations()
        parts: dict[int, Callable[[], bytes]] = {
            0: held.read_keys,
            1: held.read_reservation,
            3: held.read_full_status,
            2: partial(held.capabilities, self._keeper is not None),
        }
        made = parts.get(command.cdb[1] & 0x1F)
        if made is None:
            return scsi.invalid_field()
        return self._data(command, made()[: int.from_bytes(command.cdb[7:9], "big")])

    def _reserve_out(self, nexus: Nexus, command: scsi.Command) -> Reply:
        cdb, data = command.cdb, command.data
        if len(data) != 24 or int.from_bytes(cdb[5:9], "big") != 24:
            return scsi.check_condition(0x05, 0x1A)
        key, new, flags = struct.unpack(">QQ4xBxxx", data)
        # SPEC_I_PT and ALL_TG_PT are not supported; APTPL wants a disk.
        if flags & 0x0C or (flags & 0x01 and self._keeper is None):
            return scsi.check_condition(0x05, 0x26)
        held = self.reservations.setdefault(command.lun, Reservations())
        before = held.copy()
        done: ActionResult = held.persistent_reserve_out(
            nexus.name, cdb[1] & 0x1F, cdb[2] >> 4, cdb[2] & 0x0F, key, new
        )
        if done.refusal is None and cdb[1] & 0x1F in (Action.REGISTER, Action.REGISTER_AND_IGNORE):
            held.persistent = bool(flags & 0x01)
        if done.refusal is None and not self._kept(before.persistent or held.persistent):
            self.reservations[command.lun] = before  # nothing of it is in force, and nobody is told
            return scsi.check_condition(HARDWARE_ERROR, 0x44)  # internal target failure
        for name, attention in done.attentions:
            self._attend(name, command.lun, attention)
        for name in done.aborts:
            self._abort(name, command.lun)
        return _refusal(done.refusal)

    def _kept(self, lasting: bool) -> bool:
        """Keep the reservations that are to last, where a change touches those; whether that went well."""
        if self._keeper is None or not (lasting or self._keeper.may_differ):
            return True
        try:
            self._keeper.save({lun: one for lun, one in self.reservations.items() if one.persistent})
        except ReservationsNotSavedError:
            return not lasting
        return True

    def _attend(self, name: str, lun: int, attention: UnitAttention) -> None:
        for nexus in self.nexuses:
            if nexus.name == name:
                nexus.add_unit_attention(lun, attention.value)

    # Maintenance in

    def _maintenance(self, command: scsi.Command) -> Reply:
        cdb = command.cdb
        room = int.from_bytes(cdb[6:10], "big")
        if cdb[1] & 0x1F == PORT_GROUPS:
            state = self._state(command.lun)
            group = struct.pack(">BBHBBBBHH", state, 0x0F, 1, 0, 2, 0, 1, 0, 1)
            return self._data(command, (struct.pack(">I", len(group)) + group)[:room])
        options, wanted, action = cdb[2] & 7, cdb[3], int.from_bytes(cdb[4:6], "big")
        if options == 0:
            rows = b"".join(
                struct.pack(">BxHxBH", code, max(0, one), one >= 0, size) for code, one, size in SUPPORTED
            )
            return self._data(command, (struct.pack(">I", len(rows)) + rows)[:room])
        row = next((row for row in SUPPORTED if row[0] == wanted and (row[1] < 0 or row[1] == action)), None)
        if options > 3 or (options == 1 and row is not None and row[1] >= 0):
            return scsi.invalid_field()
        if row is None:
            return self._data(command, struct.pack(">BBH", 0, 1, 0)[:room])
        usage = bytes([wanted]) + bytes([0xFF] * (row[2] - 1))
        return self._data(command, (struct.pack(">BBH", 0, 3, row[2]) + usage)[:room])


def _effect(command: scsi.Command) -> Effect:
    opcode = command.cdb[0]
    if opcode in FREE:
        return Effect.NONE
    writes = opcode in scsi.WRITES or opcode in (MODE_SELECT_6, MODE_SELECT_10, START_STOP)
    return Effect.WRITES if writes else Effect.READS


def _refusal(why: Refusal | None) -> Reply:
    if why is None:
        return Reply(scsi.Status.GOOD)
    if why is Refusal.CONFLICT:
        return Reply(scsi.Status.RESERVATION_CONFLICT)
    return {
        Refusal.FIELD: scsi.invalid_field(),
        Refusal.PARAMETER: scsi.check_condition(0x05, 0x26),
        Refusal.RELEASE: scsi.check_condition(0x05, 0x26, 0x04),
        Refusal.RESOURCES: scsi.check_condition(0x05, 0x55, 0x04),
    }[why]

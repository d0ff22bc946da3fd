"""The SCSI device server of the broker's logical units, and the unit attentions of each I_T nexus.

Implements the parts of SPC-4 and SBC-3 that the broker answers itself: identity, mode pages, persistent
reservations, unit attentions and the states of the target ports. Commands that read or write data go to the
nodes. An initiator therefore sees one device, whichever node serves it. All functions are synchronous and use
no sockets.
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

MAX_UNIT_ATTENTIONS = 8  # pending per nexus and LUN; the newest beyond it is dropped, as SAM-5 allows
# Additional sense code and qualifier of unit attentions (SPC-4)
POWER_ON, RESET_OCCURRED, COMMANDS_CLEARED, CAPACITY_CHANGED = (
    (0x29, 0x00),
    (0x29, 0x03),
    (0x2F, 0x00),
    (0x2A, 0x09),
)
VENDOR, PRODUCT, REVISION = b"LEMONRDG", b"BROKERED DISK   ", b"0003"

INQUIRY, REQUEST_SENSE, MODE_SENSE_6, MODE_SENSE_10, MODE_SELECT_6, MODE_SELECT_10 = (
    0x12,
    0x03,
    0x1A,
    0x5A,
    0x15,
    0x55,
)
START_STOP, PERSISTENT_RESERVE_IN, PERSISTENT_RESERVE_OUT, REPORT_LUNS, MAINTENANCE_IN = (
    0x1B,
    0x5E,
    0x5F,
    0xA0,
    0xA3,
)
REPORT_TARGET_PORT_GROUPS, REPORT_SUPPORTED_OPCODES = 0x0A, 0x0C
# Commands with Data-Out that the broker executes itself, once it has received their data
LOCAL_DATA_OUT_COMMANDS = frozenset((MODE_SELECT_6, MODE_SELECT_10, PERSISTENT_RESERVE_OUT))
# Commands that are executed despite a pending unit attention (SAM-5, 5.14)
EXEMPT_FROM_UNIT_ATTENTION = frozenset((INQUIRY, REQUEST_SENSE, REPORT_LUNS))
# Commands that a reservation of another nexus allows
EXEMPT_FROM_RESERVATION = EXEMPT_FROM_UNIT_ATTENTION | {
    0x00,  # TEST UNIT READY
    0x25,  # READ CAPACITY (10)
    0x9E,  # SERVICE ACTION IN (16)
    PERSISTENT_RESERVE_IN,
    PERSISTENT_RESERVE_OUT,
    MAINTENANCE_IN,
}

# Data of REPORT SUPPORTED OPERATION CODES: (opcode, service action or -1, CDB length in bytes)
SUPPORTED_COMMANDS = (
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
    """An I_T nexus: one initiator port and the unit attentions that are pending for it.

    Attributes:
        name: Name of the initiator port: iSCSI name, a comma and the ISID in hexadecimal.
        device: The device server; the nexus registers itself there on creation.
        unit_attentions: Pending unit attentions by LUN, oldest first, as ASC and ASCQ.
    """

    name: str
    device: Device
    unit_attentions: dict[int, deque[tuple[int, int]]] = field(default_factory=dict)

    def __post_init__(self) -> None:
        """Registers the nexus, and queues the power-on unit attention if it is configured."""
        self.device.nexuses.add(self)
        if self.device.config.power_on_attention:
            for lun in self.device.config.luns:
                self.add_unit_attention(lun, POWER_ON)

    def add_unit_attention(self, lun: int, code: tuple[int, int]) -> None:
        """Queues a unit attention, unless the same one is pending already or the queue is full.

        Args:
            lun: The logical unit.
            code: ASC and ASCQ.
        """
        queue = self.unit_attentions.setdefault(lun, deque())
        if code not in queue and len(queue) < MAX_UNIT_ATTENTIONS:
            queue.append(code)

    def discard_unit_attention(self, lun: int, code: tuple[int, int]) -> None:
        """Removes a pending unit attention, which the initiator is told of in another way.

        Args:
            lun: The logical unit.
            code: ASC and ASCQ.
        """
        queue = self.unit_attentions.get(lun)
        if queue and code in queue:
            queue.remove(code)

    def take_loss_of_power(self, lun: int) -> tuple[int, int] | None:
        """Removes and returns a pending unit attention after a loss of power or a reset; None without one.

        Args:
            lun: The logical unit.
        """
        for code in self.unit_attentions.get(lun, ()):
            if code[0] == POWER_ON[0]:
                self.discard_unit_attention(lun, code)
                return code
        return None

    def close(self) -> None:
        """Removes the nexus from the device server."""
        self.device.nexuses.discard(self)


HARDWARE_ERROR = 0x04  # sense key (SPC-4, table 27)


def aborts_commands(cdb: bytes) -> bool:
    """Returns whether a command is PERSISTENT RESERVE OUT with PREEMPT AND ABORT."""
    return cdb[0] == PERSISTENT_RESERVE_OUT and cdb[1] & 0x1F == Action.PREEMPT_AND_ABORT


class Device:
    """The device server of all logical units of the front.

    Attributes:
        config: Configuration of the iSCSI front.
        nexuses: All current I_T nexuses.
        reservations: Persistent reservations by LUN.
    """

    def __init__(
        self,
        config: IscsiConfig,
        access_state: Callable[[int], int],
        abort: Callable[[str, int], None],
        reservation_file: ReservationFile | None = None,
    ) -> None:
        """Creates the device server with the reservations of the file.

        Args:
            config: Configuration of the iSCSI front.
            access_state: Returns the asymmetric access state of a LUN (SPC-4, table 166).
            abort: Aborts the commands of a nexus at a LUN, for PREEMPT AND ABORT.
            reservation_file: Stores persistent reservations on disk; it must have been read. None if
                reservations are kept in memory only.
        """
        self._reservation_file = reservation_file
        self.config, self._access_state, self._abort = config, access_state, abort
        self.nexuses: set[Nexus] = set()
        self.reservations: dict[int, Reservations] = (
            reservation_file.load() if reservation_file is not None else {}
        )
        self._identities = {lun: self._identity(lun) for lun in config.luns}

    def answer_locally(self, nexus: Nexus, command: scsi.Command) -> Reply | None:
        """Returns the response to a command that the broker answers before any Data-Out is received.

        Returns:
            The response, or None if the command needs its data first or must be sent to a node.
        """
        opcode, lun = command.cdb[0], command.lun
        if opcode == REPORT_LUNS:
            return self._report_luns(command)
        if lun not in self.config.luns:
            if opcode == INQUIRY:
                return self._data(command, scsi.absent_lun_inquiry_data())
            return scsi.no_such_lun()
        queue = nexus.unit_attentions.get(lun)
        if queue and opcode not in EXEMPT_FROM_UNIT_ATTENTION:
            return scsi.check_condition(0x06, *queue.popleft())
        if not self._is_supported(command):
            return scsi.invalid_opcode()
        if not self._has_valid_transfer(command):
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
        if opcode == PERSISTENT_RESERVE_IN:
            return self._persistent_reserve_in(command)
        if opcode == MAINTENANCE_IN:
            return self._maintenance_in(command)
        return None

    def execute_with_data(self, nexus: Nexus, command: scsi.Command) -> Reply:
        """Executes one of `LOCAL_DATA_OUT_COMMANDS` whose Data-Out was received, and returns its response."""
        if command.cdb[0] == PERSISTENT_RESERVE_OUT:
            return self._persistent_reserve_out(nexus, command)
        return self._mode_select(nexus, command)

    def report_reset(self, nexus: Nexus, luns: list[int], cleared: bool) -> None:
        """Queues the unit attentions that follow a reset or CLEAR TASK SET.

        Args:
            nexus: The nexus that requested the task management function.
            luns: The logical units concerned.
            cleared: Whether the task set was cleared, which is reported to all nexuses except `nexus`;
                otherwise the logical units were reset, which is reported to every nexus.
        """
        for other in self.nexuses:
            for lun in luns:
                if not cleared:
                    other.add_unit_attention(lun, RESET_OCCURRED)
                elif other is not nexus:
                    other.add_unit_attention(lun, COMMANDS_CLEARED)

    def report_unit_attention(self, code: tuple[int, int], luns: list[int]) -> None:
        """Queues a unit attention for every nexus.

        Args:
            code: ASC and ASCQ.
            luns: The logical units concerned.
        """
        for nexus in self.nexuses:
            for lun in luns:
                nexus.add_unit_attention(lun, code)

    # Validation of commands

    def _is_supported(self, command: scsi.Command) -> bool:
        """Returns whether the logical unit supports the operation code and service action."""
        opcode, action = command.cdb[0], command.cdb[1] & 0x1F
        if opcode in (PERSISTENT_RESERVE_IN, PERSISTENT_RESERVE_OUT):
            return self.config.settings.hosts == 1  # brokers do not share their reservations
        if opcode == MAINTENANCE_IN:
            return action in (REPORT_TARGET_PORT_GROUPS, REPORT_SUPPORTED_OPCODES)
        if opcode in (MODE_SELECT_6, MODE_SELECT_10, START_STOP):
            return True
        if self.config.luns[command.lun].mapped and opcode in scsi.UNSUPPORTED_ON_MAPPED_LUNS:
            return False
        return opcode in scsi.READS or opcode in scsi.WRITES

    def _has_valid_transfer(self, command: scsi.Command) -> bool:
        """Returns whether the command allows the direction and the length of its transfer."""
        opcode = command.cdb[0]
        may_write = opcode in scsi.WRITES or opcode in LOCAL_DATA_OUT_COMMANDS or opcode in scsi.VERIFIES
        may_read = opcode not in scsi.WRITES and opcode not in LOCAL_DATA_OUT_COMMANDS
        return not (
            (command.writes and not may_write)
            or (command.reads and not may_read)
            or (command.reads and command.writes)
            or command.length > self.config.max_transfer
            or (command.length and not command.reads and not command.writes)
        )

    def _data(self, command: scsi.Command, data: bytes) -> Reply:
        """Returns GOOD status with `data`, truncated to the expected transfer length."""
        return Reply(scsi.Status.GOOD, data[: command.length])

    def _report_luns(self, command: scsi.Command) -> Reply:
        """Executes REPORT LUNS."""
        allocation_length = int.from_bytes(command.cdb[6:10], "big")
        if command.cdb[2] not in (0, 1, 2) or allocation_length < 16:
            return scsi.invalid_field()
        luns = [] if command.cdb[2] == 1 else sorted(self.config.luns)
        return self._data(command, scsi.report_luns_data([pack_lun(lun) for lun in luns])[:allocation_length])

    # Identity

    def _identity(self, lun: int) -> bytes:
        """Returns the 16 bytes that identify a LUN; every broker of the target derives the same ones."""
        return hashlib.sha256(f"{self.config.target}/{lun}".encode()).digest()[:16]

    def _inquiry(self, command: scsi.Command) -> Reply:
        """Executes INQUIRY: returns the standard data or a page of vital product data."""
        cdb = command.cdb
        allocation_length = int.from_bytes(cdb[3:5], "big")
        if not cdb[1] & 1:
            if cdb[2]:
                return scsi.invalid_field()
            # Device type 0, SPC-4, response data format 2 with HISUP, implicit TPGS, CMDQUE. The version
            # descriptors are SAM-5, SPC-4, SBC-3 and iSCSI.
            head = (0, 0, 6, 0x12, 91, 0x10, 0, 0x02)
            data = struct.pack(">8B8s16s4s", *head, VENDOR, PRODUCT, REVISION)
            data += bytes(22) + struct.pack(">4H", 0x00A0, 0x0460, 0x04C0, 0x0960)
            return self._data(command, data.ljust(96, b"\0")[:allocation_length])
        pages = {
            0x00: self._supported_pages,
            0x80: self._serial_number,
            0x83: self._device_identification,
            0xB0: self._block_limits,
            0xB1: self._block_characteristics,
            0xB2: self._logical_block_provisioning,
        }
        page = pages.get(cdb[2])
        if page is None:
            return scsi.invalid_field()
        body = page(command.lun)
        return self._data(command, (struct.pack(">BBH", 0, cdb[2], len(body)) + body)[:allocation_length])

    def _supported_pages(self, _: int) -> bytes:
        """Returns the body of page 00h: the codes of the supported pages."""
        return bytes((0x00, 0x80, 0x83, 0xB0, 0xB1, 0xB2))

    def _serial_number(self, lun: int) -> bytes:
        """Returns the body of page 80h."""
        return self._identities[lun].hex()[:16].encode()

    def _device_identification(self, lun: int) -> bytes:
        """Returns page 83h (SPC-4, 7.8.6).

        Its designators are a T10 and an NAA name, the name of the target port, and the numbers of the port
        and its group.
        """
        naa = bytes([0x60 | self._identities[lun][0] & 0x0F]) + self._identities[lun][1:]
        port_name = self.config.target.encode() + b",t,0x0001\0"
        port_name += bytes(-len(port_name) % 4)
        designators = (
            (2, 0x01, VENDOR + self._serial_number(lun)),
            (1, 0x03, naa),
            (3, 0x98, port_name),
            (1, 0x94, struct.pack(">HH", 0, 1)),
            (1, 0x95, struct.pack(">HH", 0, 1)),
        )
        page = b""
        for code_set, designator_type, value in designators:
            protocol = 0x50 if designator_type & 0x80 else 0
            page += struct.pack(">BBxB", protocol | code_set, designator_type, len(value)) + value
        return page

    def _block_limits(self, _: int) -> bytes:
        """Returns page B0h: one block per COMPARE AND WRITE, the maximum transfer, UNMAP up to that size."""
        blocks = self.config.max_transfer // self.config.extents.block_bytes
        return struct.pack(">BBHIIIIIIIQ", 1, 1, 0, blocks, blocks, 0, 0xFFFFFFFF, 256, 0, 0, blocks).ljust(
            60, b"\0"
        )

    def _block_characteristics(self, _: int) -> bytes:
        """Returns the body of page B1h."""
        return struct.pack(">HBB", 1, 0, 0).ljust(60, b"\0")  # non-rotating medium

    def _logical_block_provisioning(self, _: int) -> bytes:
        """Returns the body of page B2h."""
        return struct.pack(">BBBB", 0, 0xE0, 2, 0)  # UNMAP; WRITE SAME (16), (10) with UNMAP; thin

    # Mode pages (SPC-4, 7.5; SBC-3, 6.4)

    def _mode_pages(self, page: int, changeable: bool) -> bytes | None:
        """Returns the caching and control mode pages that `page` selects; None if it is not supported.

        Caching has WCE set, since SYNCHRONIZE CACHE is supported; control has QErr 0 and restricted
        reordering.

        Args:
            page: Page code; 3Fh selects all pages.
            changeable: Whether to return the mask of changeable values, of which there are none.
        """
        caching = struct.pack(">BB", 0x08, 18) + (bytes(18) if changeable else b"\x04" + bytes(17))
        control = struct.pack(">BB", 0x0A, 10) + bytes(10)
        return {0x08: caching, 0x0A: control, 0x3F: caching + control}.get(page)

    def _mode_sense(self, command: scsi.Command) -> Reply:
        """Executes MODE SENSE (6) and (10)."""
        cdb = command.cdb
        page, page_control = cdb[2] & 0x3F, cdb[2] >> 6
        body = self._mode_pages(page, page_control == 1) if cdb[3] in (0, 0xFF) else None
        if page_control == 3:
            return scsi.check_condition(0x05, 0x39)  # saving parameters is not supported
        if body is None:
            return scsi.invalid_field()
        if cdb[0] == MODE_SENSE_6:
            return self._data(command, (struct.pack(">BBBB", 3 + len(body), 0, 0x10, 0) + body)[: cdb[4]])
        allocation_length = int.from_bytes(cdb[7:9], "big")
        return self._data(
            command, (struct.pack(">HBBBBH", 6 + len(body), 0, 0x10, 0, 0, 0) + body)[:allocation_length]
        )

    def _mode_select(self, nexus: Nexus, command: scsi.Command) -> Reply:
        """Executes MODE SELECT. No value can be changed: only the current values are accepted."""
        cdb, data = command.cdb, command.data
        if not cdb[1] & 0x10 or cdb[1] & 0x01:  # PF is required, SP is not supported
            return scsi.invalid_field()
        header_length = 4 if cdb[0] == MODE_SELECT_6 else 8
        if data and len(data) < header_length:
            return scsi.check_condition(0x05, 0x1A)  # parameter list length error
        descriptors_length = data[3] if header_length == 4 and data else int.from_bytes(data[6:8], "big")
        pages = data[header_length + descriptors_length :]
        while pages:
            current = self._mode_pages(pages[0] & 0x3F, False)
            if (
                current is None
                or pages[0] & 0x3F == 0x3F
                or len(pages) < len(current)
                or pages[1] != current[1]
            ):
                return scsi.check_condition(0x05, 0x26)  # invalid field in parameter list
            if pages[2 : len(current)] != current[2:]:
                return scsi.check_condition(0x05, 0x26)
            pages = pages[len(current) :]
        return Reply(scsi.Status.GOOD)

    # Persistent reservations

    def _persistent_reserve_in(self, command: scsi.Command) -> Reply:
        """Executes PERSISTENT RESERVE IN."""
        reservations = self.reservations.get(command.lun) or Reservations()
        service_actions: dict[int, Callable[[], bytes]] = {
            0: reservations.read_keys,
            1: reservations.read_reservation,
            3: reservations.read_full_status,
            2: partial(reservations.capabilities, self._reservation_file is not None),
        }
        service_action = service_actions.get(command.cdb[1] & 0x1F)
        if service_action is None:
            return scsi.invalid_field()
        return self._data(command, service_action()[: int.from_bytes(command.cdb[7:9], "big")])

    def _persistent_reserve_out(self, nexus: Nexus, command: scsi.Command) -> Reply:
        """Executes PERSISTENT RESERVE OUT, and saves the change if reservations persist."""
        cdb, data = command.cdb, command.data
        if len(data) != 24 or int.from_bytes(cdb[5:9], "big") != 24:
            return scsi.check_condition(0x05, 0x1A)  # parameter list length error
        key, action_key, flags = struct.unpack(">QQ4xBxxx", data)
        # SPEC_I_PT and ALL_TG_PT are not supported; APTPL requires a reservation file.
        if flags & 0x0C or (flags & 0x01 and self._reservation_file is None):
            return scsi.check_condition(0x05, 0x26)  # invalid field in parameter list
        reservations = self.reservations.setdefault(command.lun, Reservations())
        previous = reservations.copy()
        result: ActionResult = reservations.persistent_reserve_out(
            nexus.name, cdb[1] & 0x1F, cdb[2] >> 4, cdb[2] & 0x0F, key, action_key
        )
        if result.refusal is None and cdb[1] & 0x1F in (Action.REGISTER, Action.REGISTER_AND_IGNORE):
            reservations.persistent = bool(flags & 0x01)
        if result.refusal is None and not self._save_reservations(
            previous.persistent or reservations.persistent
        ):
            self.reservations[command.lun] = previous  # the change has no effect and is not reported
            return scsi.check_condition(HARDWARE_ERROR, 0x44)  # internal target failure
        for name, attention in result.attentions:
            self._add_unit_attention(name, command.lun, attention)
        for name in result.aborts:
            self._abort(name, command.lun)
        return _reply_to_refusal(result.refusal)

    def _save_reservations(self, persistent: bool) -> bool:
        """Saves all persistent reservations if the file must change.

        Args:
            persistent: Whether the changed reservations are, or were, to persist through a power loss.

        Returns:
            False if a persistent change could not be saved.
        """
        if self._reservation_file is None or not (persistent or self._reservation_file.may_differ):
            return True
        try:
            self._reservation_file.save(
                {
                    lun: reservations
                    for lun, reservations in self.reservations.items()
                    if reservations.persistent
                }
            )
        except ReservationsNotSavedError:
            return not persistent
        return True

    def _add_unit_attention(self, name: str, lun: int, attention: UnitAttention) -> None:
        """Queues a unit attention for the nexus of this name."""
        for nexus in self.nexuses:
            if nexus.name == name:
                nexus.add_unit_attention(lun, attention.value)

    # MAINTENANCE IN

    def _maintenance_in(self, command: scsi.Command) -> Reply:
        """Executes REPORT TARGET PORT GROUPS and REPORT SUPPORTED OPERATION CODES."""
        cdb = command.cdb
        allocation_length = int.from_bytes(cdb[6:10], "big")
        if cdb[1] & 0x1F == REPORT_TARGET_PORT_GROUPS:
            state = self._access_state(command.lun)
            group = struct.pack(">BBHBBBBHH", state, 0x0F, 1, 0, 2, 0, 1, 0, 1)
            return self._data(command, (struct.pack(">I", len(group)) + group)[:allocation_length])
        options, requested, action = cdb[2] & 7, cdb[3], int.from_bytes(cdb[4:6], "big")
        if options == 0:
            descriptors = b"".join(
                struct.pack(">BxHxBH", opcode, max(0, service_action), service_action >= 0, cdb_length)
                for opcode, service_action, cdb_length in SUPPORTED_COMMANDS
            )
            return self._data(
                command, (struct.pack(">I", len(descriptors)) + descriptors)[:allocation_length]
            )
        supported = next(
            (
                entry
                for entry in SUPPORTED_COMMANDS
                if entry[0] == requested and (entry[1] < 0 or entry[1] == action)
            ),
            None,
        )
        if options > 3 or (options == 1 and supported is not None and supported[1] >= 0):
            return scsi.invalid_field()
        if supported is None:
            return self._data(command, struct.pack(">BBH", 0, 1, 0)[:allocation_length])
        cdb_usage = bytes([requested]) + bytes([0xFF] * (supported[2] - 1))
        return self._data(command, (struct.pack(">BBH", 0, 3, supported[2]) + cdb_usage)[:allocation_length])


def _effect(command: scsi.Command) -> Effect:
    """Returns how the command accesses the medium, which decides whether a reservation allows it."""
    opcode = command.cdb[0]
    if opcode in EXEMPT_FROM_RESERVATION:
        return Effect.NONE
    writes = opcode in scsi.WRITES or opcode in (MODE_SELECT_6, MODE_SELECT_10, START_STOP)
    return Effect.WRITES if writes else Effect.READS


def _reply_to_refusal(refusal: Refusal | None) -> Reply:
    """Returns the response to PERSISTENT RESERVE OUT."""
    if refusal is None:
        return Reply(scsi.Status.GOOD)
    if refusal is Refusal.CONFLICT:
        return Reply(scsi.Status.RESERVATION_CONFLICT)
    return {
        Refusal.FIELD: scsi.invalid_field(),
        Refusal.PARAMETER: scsi.check_condition(0x05, 0x26),
        Refusal.RELEASE: scsi.check_condition(0x05, 0x26, 0x04),
        Refusal.RESOURCES: scsi.check_condition(0x05, 0x55, 0x04),
    }[refusal]

"""Persistent reservations of one logical unit (SPC-4, sections 5.13, 6.15 and 6.16). No I/O.

Records which nexus registered which key and which nexus holds the reservation, and decides which commands of
other nexuses conflict with it. The state lasts as long as the program, or longer if the caller saves it and
the initiator requests persistence (APTPL).
"""

from __future__ import annotations

import struct
from dataclasses import dataclass, field, replace
from enum import Enum, IntEnum

MAX_REGISTRATIONS = 64  # per logical unit; beyond it REGISTER fails: INSUFFICIENT REGISTRATION RESOURCES


class ReservationType(IntEnum):
    """Persistent reservation types (SPC-4, table 57)."""

    WRITE_EXCLUSIVE = 1
    EXCLUSIVE_ACCESS = 3
    WRITE_REGISTRANTS = 5
    ACCESS_REGISTRANTS = 6
    WRITE_ALL = 7
    ACCESS_ALL = 8


# Types that also allow the access of registered nexuses
REGISTRANTS_TYPES = frozenset(
    (
        ReservationType.WRITE_REGISTRANTS,
        ReservationType.ACCESS_REGISTRANTS,
        ReservationType.WRITE_ALL,
        ReservationType.ACCESS_ALL,
    )
)
# Types for which every registered nexus is a holder
ALL_REGISTRANTS_TYPES = frozenset((ReservationType.WRITE_ALL, ReservationType.ACCESS_ALL))
# Types that allow reads by other nexuses
WRITE_EXCLUSIVE_TYPES = frozenset(
    (ReservationType.WRITE_EXCLUSIVE, ReservationType.WRITE_REGISTRANTS, ReservationType.WRITE_ALL)
)


class Action(IntEnum):
    """Service actions of PERSISTENT RESERVE OUT."""

    REGISTER = 0
    RESERVE = 1
    RELEASE = 2
    CLEAR = 3
    PREEMPT = 4
    PREEMPT_AND_ABORT = 5
    REGISTER_AND_IGNORE = 6


class Effect(Enum):
    """How a command accesses the medium, as reservations distinguish it (SPC-4 table 59, SBC-3 table 13)."""

    NONE = "none"  # allowed for every nexus
    READS = "reads"
    WRITES = "writes"


class UnitAttention(Enum):
    """Unit attentions for other nexuses, as ASC and ASCQ."""

    RESERVATIONS_PREEMPTED = (0x2A, 0x03)
    RESERVATIONS_RELEASED = (0x2A, 0x04)
    REGISTRATIONS_PREEMPTED = (0x2A, 0x05)


class Refusal(Enum):
    """Reason for which a service action was refused."""

    CONFLICT = "conflict"  # RESERVATION CONFLICT status
    FIELD = "field"  # INVALID FIELD IN CDB
    PARAMETER = "parameter"  # INVALID FIELD IN PARAMETER LIST
    RELEASE = "release"  # INVALID RELEASE OF PERSISTENT RESERVATION
    RESOURCES = "resources"  # INSUFFICIENT REGISTRATION RESOURCES


@dataclass(frozen=True, slots=True)
class ActionResult:
    """Result of a service action.

    Attributes:
        refusal: Reason for a refusal; None if the action was executed.
        attentions: Unit attentions to establish, with the names of their nexuses.
        aborts: Names of the nexuses whose commands are to be aborted.
    """

    refusal: Refusal | None = None
    attentions: tuple[tuple[str, UnitAttention], ...] = ()
    aborts: tuple[str, ...] = ()


def _refused(reason: Refusal) -> ActionResult:
    """Returns the result of a refused service action."""
    return ActionResult(reason)


@dataclass(slots=True)
class Reservations:
    """Registrations and reservation of one logical unit.

    Attributes:
        generation: PRGENERATION, which counts the changes of registrations.
        keys: Reservation key by nexus name, in the order of registration.
        holder: Name of the nexus that reserved; empty if there is no reservation.
        type: Type of the reservation; None if there is none.
        persistent: Whether the state survives a restart, as the last REGISTER requested (APTPL, 6.16.3).
    """

    generation: int = 0
    keys: dict[str, int] = field(default_factory=dict)
    holder: str = ""
    type: ReservationType | None = None
    persistent: bool = False

    def copy(self) -> Reservations:
        """Returns an independent copy."""
        return replace(self, keys=dict(self.keys))

    def state(self) -> dict[str, object]:
        """Returns the state that is stored for a restart, as plain values."""
        return {"keys": dict(self.keys), "holder": self.holder, "type": int(self.type) if self.type else 0}

    @classmethod
    def from_state(cls, state: dict[str, object]) -> Reservations:
        """Returns the reservations with a stored state; the generation starts at 0 (SPC-4, 5.13.7).

        Args:
            state: Result of the method `state`.

        Raises:
            ValueError: The state is malformed or contradictory.
        """
        keys, holder, type_code = state.get("keys"), state.get("holder"), state.get("type")
        if not isinstance(keys, dict) or not isinstance(holder, str) or not isinstance(type_code, int):
            raise ValueError("reservation state is malformed")
        if not all(isinstance(name, str) and isinstance(key, int) for name, key in keys.items()):
            raise ValueError("registration is malformed")
        reservations = cls(
            keys=dict(keys),
            holder=holder,
            type=ReservationType(type_code) if type_code else None,
            persistent=True,
        )
        if (
            reservations.type is not None
            and reservations.type not in ALL_REGISTRANTS_TYPES
            and holder not in keys
        ):
            raise ValueError("the holder is not registered")
        return reservations

    def conflicts(self, nexus: str, effect: Effect) -> bool:
        """Returns whether a command must end with RESERVATION CONFLICT.

        Args:
            nexus: Name of the nexus that sent the command.
            effect: How the command accesses the medium.
        """
        if self.type is None or effect is Effect.NONE or self._is_holder(nexus):
            return False
        if self.type in REGISTRANTS_TYPES and nexus in self.keys:
            return False
        return effect is Effect.WRITES or self.type not in WRITE_EXCLUSIVE_TYPES

    def persistent_reserve_out(
        self, nexus: str, action: int, scope: int, type_code: int, key: int, action_key: int
    ) -> ActionResult:
        """Executes PERSISTENT RESERVE OUT.

        Args:
            nexus: Name of the nexus that sent the command.
            action: Service action.
            scope: Scope; only 0 (logical unit) is supported.
            type_code: Reservation type.
            key: Reservation key of the parameter list.
            action_key: Service action reservation key of the parameter list.
        """
        try:
            service_action = Action(action)
        except ValueError:
            return _refused(Refusal.FIELD)
        if service_action in (Action.REGISTER, Action.REGISTER_AND_IGNORE):
            return self._register(nexus, key, action_key, service_action is Action.REGISTER_AND_IGNORE)
        if self.keys.get(nexus) != key:
            return _refused(Refusal.CONFLICT)
        if service_action is Action.CLEAR:
            others = tuple(
                (other, UnitAttention.RESERVATIONS_PREEMPTED) for other in self.keys if other != nexus
            )
            self.keys.clear()
            self._clear_reservation()
            self._increment_generation()
            return ActionResult(attentions=others)
        try:
            reservation_type = ReservationType(type_code)
        except ValueError:
            return _refused(Refusal.FIELD)
        if scope:
            return _refused(Refusal.FIELD)
        if service_action is Action.RESERVE:
            return self._reserve(nexus, reservation_type)
        if service_action is Action.RELEASE:
            return self._release(nexus, reservation_type)
        return self._preempt(nexus, reservation_type, action_key, service_action is Action.PREEMPT_AND_ABORT)

    # Service actions

    def _register(self, nexus: str, key: int, action_key: int, ignore: bool) -> ActionResult:
        """Executes REGISTER, or REGISTER AND IGNORE EXISTING KEY if `ignore` is set."""
        registered_key = self.keys.get(nexus)
        if not ignore and key != (registered_key or 0):
            return _refused(Refusal.CONFLICT)
        if registered_key is None:
            if not action_key:
                return ActionResult()  # the nexus is not registered and does not register
            if len(self.keys) >= MAX_REGISTRATIONS:
                return _refused(Refusal.RESOURCES)
        self._increment_generation()
        if action_key:
            self.keys[nexus] = action_key
            return ActionResult()
        return ActionResult(attentions=self._unregister(nexus))

    def _unregister(self, nexus: str) -> tuple[tuple[str, UnitAttention], ...]:
        """Removes a registration and returns the unit attentions that result.

        The reservation is released with the registration of its holder, or, for an all registrants type, with
        the last registration (SPC-4, 5.13.11.2).
        """
        del self.keys[nexus]
        if self.type is None:
            return ()
        if self.type in ALL_REGISTRANTS_TYPES:
            if not self.keys:
                self._clear_reservation()
            return ()
        if self.holder != nexus:
            return ()
        notified = self.keys if self.type in REGISTRANTS_TYPES else ()
        self._clear_reservation()
        return tuple((other, UnitAttention.RESERVATIONS_RELEASED) for other in notified)

    def _reserve(self, nexus: str, reservation_type: ReservationType) -> ActionResult:
        """Executes RESERVE."""
        if self.type is None:
            self.holder, self.type = nexus, reservation_type
            return ActionResult()
        if not self._is_holder(nexus) or self.type is not reservation_type:
            return _refused(Refusal.CONFLICT)
        return ActionResult()

    def _release(self, nexus: str, reservation_type: ReservationType) -> ActionResult:
        """Executes RELEASE."""
        if self.type is None or not self._is_holder(nexus):
            return ActionResult()  # the nexus holds no reservation
        if self.type is not reservation_type:
            return _refused(Refusal.RELEASE)
        notified = (
            [other for other in self.keys if other != nexus] if reservation_type in REGISTRANTS_TYPES else []
        )
        self._clear_reservation()
        return ActionResult(
            attentions=tuple((other, UnitAttention.RESERVATIONS_RELEASED) for other in notified)
        )

    def _preempt(
        self, nexus: str, reservation_type: ReservationType, victim_key: int, abort: bool
    ) -> ActionResult:
        """Removes registrations by key, and takes the reservation if it is theirs (SPC-4, 5.13.11.4).

        Args:
            nexus: Name of the preempting nexus.
            reservation_type: Type of the new reservation.
            victim_key: Key of the registrations to remove; 0 removes all registrations of other nexuses,
                which is permitted for an all registrants reservation.
            abort: Whether to abort the commands of the removed registrations.
        """
        preempts_all = self.type in ALL_REGISTRANTS_TYPES and not victim_key
        if not victim_key and not preempts_all:
            return _refused(Refusal.PARAMETER)
        removed = [
            other
            for other, key in self.keys.items()
            if other != nexus and (preempts_all or key == victim_key)
        ]
        takes_reservation = (
            self.type is not None
            and self.type not in ALL_REGISTRANTS_TYPES
            and self.keys.get(self.holder) == victim_key
        )
        if not removed and not takes_reservation:
            return _refused(Refusal.CONFLICT)
        self._increment_generation()
        attentions = [(other, UnitAttention.REGISTRATIONS_PREEMPTED) for other in removed]
        for other in removed:
            del self.keys[other]
        if takes_reservation or preempts_all:
            changed = self.type is not reservation_type
            self.holder, self.type = nexus, reservation_type
            if changed:
                attentions += [
                    (other, UnitAttention.RESERVATIONS_RELEASED) for other in self.keys if other != nexus
                ]
        return ActionResult(attentions=tuple(attentions), aborts=tuple(removed) if abort else ())

    def _is_holder(self, nexus: str) -> bool:
        return self.type is not None and (
            nexus in self.keys if self.type in ALL_REGISTRANTS_TYPES else self.holder == nexus
        )

    def _clear_reservation(self) -> None:
        self.holder, self.type = "", None

    def _increment_generation(self) -> None:
        self.generation = (self.generation + 1) % (1 << 32)

    # PERSISTENT RESERVE IN

    def read_keys(self) -> bytes:
        """Returns the parameter data of READ KEYS."""
        keys = b"".join(struct.pack(">Q", key) for key in self.keys.values())
        return struct.pack(">II", self.generation, len(keys)) + keys

    def read_reservation(self) -> bytes:
        """Returns the parameter data of READ RESERVATION."""
        if self.type is None:
            return struct.pack(">II", self.generation, 0)
        key = 0 if self.type in ALL_REGISTRANTS_TYPES else self.keys[self.holder]
        return struct.pack(">IIQIBBH", self.generation, 16, key, 0, 0, self.type, 0)

    def read_full_status(self) -> bytes:
        """Returns the parameter data of READ FULL STATUS.

        Each registration has the holder bit and the TransportID of the initiator port (SPC-4, 7.5.4, iSCSI
        format 01b).
        """
        descriptors = b""
        for nexus, key in self.keys.items():
            name, _, isid = nexus.partition(",")
            port_name = f"{name},i,0x{isid}".encode() + b"\0"
            port_name += bytes(-len(port_name) % 4)
            is_holder = self._is_holder(nexus)
            type_code = self.type if is_holder and self.type is not None else 0
            transport_id = struct.pack(">BBH", 0x45, 0, len(port_name)) + port_name
            descriptors += (
                struct.pack(">Q4xBB4xHI", key, is_holder, type_code, 1, len(transport_id)) + transport_id
            )
        return struct.pack(">II", self.generation, len(descriptors)) + descriptors

    def capabilities(self, persistence_available: bool) -> bytes:
        """Returns the parameter data of REPORT CAPABILITIES; every type is supported.

        Args:
            persistence_available: Whether reservations can persist through a power loss, which requires a
                reservation file.
        """
        return struct.pack(">HBBHxx", 8, int(persistence_available), 0x80 | int(self.persistent), 0xEA01)

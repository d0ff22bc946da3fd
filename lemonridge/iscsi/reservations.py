"""Persistent reservations of one logical unit (SPC-4, sections 5.13, 6.15 and 6.16). Pure.

Who registered which key, who holds the reservation, and what a command of another may do beside it. State
lives as long as the program, or longer where the caller keeps it and the initiator asks for that (APTPL).
"""

from __future__ import annotations

import struct
from dataclasses import dataclass, field, replace
from enum import Enum, IntEnum

REGISTRATIONS_MAX = 64  # of one logical unit; past it REGISTER ends with INSUFFICIENT REGISTRATION RESOURCES


class ReservationType(IntEnum):
    """Table 57 of SPC-4: what a reservation keeps others from."""

    WRITE_EXCLUSIVE = 1
    EXCLUSIVE_ACCESS = 3
    WRITE_REGISTRANTS = 5
    ACCESS_REGISTRANTS = 6
    WRITE_ALL = 7
    ACCESS_ALL = 8


REGISTRANTS = frozenset(
    (
        ReservationType.WRITE_REGISTRANTS,
        ReservationType.ACCESS_REGISTRANTS,
        ReservationType.WRITE_ALL,
        ReservationType.ACCESS_ALL,
    )
)
ALL = frozenset((ReservationType.WRITE_ALL, ReservationType.ACCESS_ALL))
WRITES_ONLY = frozenset(
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
    """What a command does, as far as a reservation asks (SPC-4 table 59, SBC-3 table 13)."""

    NONE = "none"  # allowed to everyone
    READS = "reads"
    WRITES = "writes"


class UnitAttention(Enum):
    """Unit attentions for others, as ASC and ASCQ."""

    RESERVATIONS_PREEMPTED = (0x2A, 0x03)
    RESERVATIONS_RELEASED = (0x2A, 0x04)
    REGISTRATIONS_PREEMPTED = (0x2A, 0x05)


class Refusal(Enum):
    """Why a service action was not done."""

    CONFLICT = "conflict"  # RESERVATION CONFLICT status
    FIELD = "field"  # INVALID FIELD IN CDB
    PARAMETER = "parameter"  # INVALID FIELD IN PARAMETER LIST
    RELEASE = "release"  # INVALID RELEASE OF PERSISTENT RESERVATION
    RESOURCES = "resources"  # INSUFFICIENT REGISTRATION RESOURCES


@dataclass(frozen=True, slots=True)
class ActionResult:
    """What a service action led to: attentions by nexus, and whose commands are to be aborted."""

    refusal: Refusal | None = None
    attentions: tuple[tuple[str, UnitAttention], ...] = ()
    aborts: tuple[str, ...] = ()


def _refused(why: Refusal) -> ActionResult:
    return ActionResult(why)


@dataclass(slots=True)
class Reservations:
    """One logical unit's registrations and its reservation."""

    generation: int = 0
    keys: dict[str, int] = field(default_factory=dict)  # nexus -> key, in the order of their registration
    holder: str = ""
    type: ReservationType | None = None
    persistent: bool = False  # through a restart, as the last REGISTER asked (APTPL, 6.16.3)

    def copy(self) -> Reservations:
        """As it is now, whatever is changed later."""
        return replace(self, keys=dict(self.keys))

    def state(self) -> dict[str, object]:
        """What a restart needs, as plain values."""
        return {"keys": dict(self.keys), "holder": self.holder, "type": int(self.type) if self.type else 0}

    @classmethod
    def from_state(cls, state: dict[str, object]) -> Reservations:
        """From `state`; the generation begins anew (5.13.7). ValueError on what cannot be."""
        keys, holder, kind = state.get("keys"), state.get("holder"), state.get("type")
        if not isinstance(keys, dict) or not isinstance(holder, str) or not isinstance(kind, int):
            raise ValueError("a reservation's state is malformed")
        if not all(isinstance(name, str) and isinstance(key, int) for name, key in keys.items()):
            raise ValueError("a registration is malformed")
        made = cls(
            keys=dict(keys), holder=holder, type=ReservationType(kind) if kind else None, persistent=True
        )
        if made.type is not None and made.type not in ALL and holder not in keys:
            raise ValueError("the holder is not registered")
        return made

    def conflicts(self, nexus: str, effect: Effect) -> bool:
        """Whether a command must end with RESERVATION CONFLICT."""
        if self.type is None or effect is Effect.NONE or self._holds(nexus):
            return False
        if self.type in REGISTRANTS and nexus in self.keys:
            return False
        return effect is Effect.WRITES or self.type not in WRITES_ONLY

    def persistent_reserve_out(
        self, nexus: str, action: int, scope: int, kind: int, key: int, new: int
    ) -> ActionResult:
        """One PERSISTENT RESERVE OUT; `key` is the reservation key, `new` the service action's."""
        try:
            what = Action(action)
        except ValueError:
            return _refused(Refusal.FIELD)
        if what in (Action.REGISTER, Action.REGISTER_AND_IGNORE):
            return self._register(nexus, key, new, what is Action.REGISTER_AND_IGNORE)
        if self.keys.get(nexus) != key:
            return _refused(Refusal.CONFLICT)
        if what is Action.CLEAR:
            others = tuple((one, UnitAttention.RESERVATIONS_PREEMPTED) for one in self.keys if one != nexus)
            self.keys.clear()
            self._free()
            self._count()
            return ActionResult(attentions=others)
        try:
            wanted = ReservationType(kind)
        except ValueError:
            return _refused(Refusal.FIELD)
        if scope:
            return _refused(Refusal.FIELD)
        if what is Action.RESERVE:
            return self._reserve(nexus, wanted)
        if what is Action.RELEASE:
            return self._release(nexus, wanted)
        return self._preempt(nexus, wanted, new, what is Action.PREEMPT_AND_ABORT)

    # The service actions

    def _register(self, nexus: str, key: int, new: int, ignore: bool) -> ActionResult:
        held = self.keys.get(nexus)
        if not ignore and key != (held or 0):
            return _refused(Refusal.CONFLICT)
        if held is None:
            if not new:
                return ActionResult()  # nothing is registered, and nothing is asked for
            if len(self.keys) >= REGISTRATIONS_MAX:
                return _refused(Refusal.RESOURCES)
        self._count()
        if new:
            self.keys[nexus] = new
            return ActionResult()
        return ActionResult(attentions=self._leave(nexus))

    def _leave(self, nexus: str) -> tuple[tuple[str, UnitAttention], ...]:
        """Unregister; a reservation goes with its holder, and for all registrants with the last
        (5.13.11.2).
        """
        del self.keys[nexus]
        if self.type is None:
            return ()
        if self.type in ALL:
            if not self.keys:
                self._free()
            return ()
        if self.holder != nexus:
            return ()
        told = self.keys if self.type in REGISTRANTS else ()
        self._free()
        return tuple((one, UnitAttention.RESERVATIONS_RELEASED) for one in told)

    def _reserve(self, nexus: str, kind: ReservationType) -> ActionResult:
        if self.type is None:
            self.holder, self.type = nexus, kind
            return ActionResult()
        if not self._holds(nexus) or self.type is not kind:
            return _refused(Refusal.CONFLICT)
        return ActionResult()

    def _release(self, nexus: str, kind: ReservationType) -> ActionResult:
        if self.type is None or not self._holds(nexus):
            return ActionResult()  # there is nothing of its own to release
        if self.type is not kind:
            return _refused(Refusal.RELEASE)
        told = [one for one in self.keys if one != nexus] if kind in REGISTRANTS else []
        self._free()
        return ActionResult(attentions=tuple((one, UnitAttention.RESERVATIONS_RELEASED) for one in told))

    def _preempt(self, nexus: str, kind: ReservationType, victim: int, abort: bool) -> ActionResult:
        """5.13.11.4: take away registrations by key, and the reservation where the victim holds it."""
        everyone = self.type in ALL and not victim
        if not victim and not everyone:
            return _refused(Refusal.PARAMETER)
        gone = [one for one, key in self.keys.items() if one != nexus and (everyone or key == victim)]
        holds = self.type is not None and self.type not in ALL and self.keys.get(self.holder) == victim
        if not gone and not holds:
            return _refused(Refusal.CONFLICT)
        self._count()
        attentions = [(one, UnitAttention.REGISTRATIONS_PREEMPTED) for one in gone]
        for one in gone:
            del self.keys[one]
        if holds or everyone:
            changed = self.type is not kind
            self.holder, self.type = nexus, kind
            if changed:
                attentions += [
                    (one, UnitAttention.RESERVATIONS_RELEASED) for one in self.keys if one != nexus
                ]
        return ActionResult(attentions=tuple(attentions), aborts=tuple(gone) if abort else ())

    def _holds(self, nexus: str) -> bool:
        return self.type is not None and (nexus in self.keys if self.type in ALL else self.holder == nexus)

    def _free(self) -> None:
        self.holder, self.type = "", None

    def _count(self) -> None:
        self.generation = (self.generation + 1) % (1 << 32)

    # PERSISTENT RESERVE IN

    def read_keys(self) -> bytes:
        keys = b"".join(struct.pack(">Q", key) for key in self.keys.values())
        return struct.pack(">II", self.generation, len(keys)) + keys

    def read_reservation(self) -> bytes:
        if self.type is None:
            return struct.pack(">II", self.generation, 0)
        key = 0 if self.type in ALL else self.keys[self.holder]
        return struct.pack(">IIQIBBH", self.generation, 16, key, 0, 0, self.type, 0)

    def read_full_status(self) -> bytes:
        """Each registration with its holder bit and the initiator port's name (SPC-4, 7.5.4, iSCSI format
        01b).
        """
        rows = b""
        for nexus, key in self.keys.items():
            name, _, isid = nexus.partition(",")
            text = f"{name},i,0x{isid}".encode() + b"\0"
            text += bytes(-len(text) % 4)
            holds = self._holds(nexus)
            kind = self.type if holds and self.type is not None else 0
            identity = struct.pack(">BBH", 0x45, 0, len(text)) + text
            rows += struct.pack(">Q4xBB4xHI", key, holds, kind, 1, len(identity)) + identity
        return struct.pack(">II", self.generation, len(rows)) + rows

    def capabilities(self, may_last: bool) -> bytes:
        """REPORT CAPABILITIES: every type; persistence over a power loss where there is a disk for it."""
        return struct.pack(">HBBHxx", 8, int(may_last), 0x80 | int(self.persistent), 0xEA01)

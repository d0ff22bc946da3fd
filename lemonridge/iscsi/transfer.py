"""A command's data, either way, as PDUs and offsets (RFC 7143, sections 4.2.5, 11.7, 11.8 and 7.2). Pure.

`Inbound` gathers a write's data: immediate and unsolicited data first, then what is asked for by R2T, several
at a time, in any order that was agreed on; what is missing is asked for again where the recovery level allows
it. `Outbound` cuts a read's data into Data-In PDUs, and knows them again by their numbers.
"""

from __future__ import annotations

from bisect import insort
from collections.abc import Iterator
from dataclasses import dataclass, field

from lemonridge.iscsi.keys import NegotiatedParameters

NO_TAG = 0xFFFFFFFF


class TransferError(Exception):
    """Data that break the protocol; the text says how."""


@dataclass(frozen=True, slots=True)
class ReadyToTransfer:
    """An R2T to send."""

    transfer_tag: int
    r2t_sn: int
    offset: int
    length: int


@dataclass(slots=True)
class _Burst:
    """What one R2T, or the right to unsolicited data, covers."""

    start: int
    end: int
    data_sn: int = 0
    at: int = 0  # where the next data begin, if they come in order
    over: bool = False  # its last PDU has come


class Inbound:
    """A write's data on their way in."""

    def __init__(
        self, length: int, immediate: bytes, agreed: NegotiatedParameters, unsolicited: bool, first_tag: int
    ) -> None:
        """`length` bytes are expected; `unsolicited` says that more follow the command unasked."""
        self.length, self.data, self._agreed = length, bytearray(length), agreed
        self._have: list[tuple[int, int]] = []  # ranges, ordered and apart
        self._bursts: dict[int, _Burst] = {}
        self._tag, self._r2t_sn, self._asked = first_tag, 0, 0
        self._take(0, immediate)
        self._asked = len(immediate)
        if unsolicited and len(immediate) < min(agreed.first_burst, length):
            end = min(agreed.first_burst, length)
            self._bursts[NO_TAG] = _Burst(len(immediate), end, at=len(immediate))
            self._asked = end

    @property
    def complete(self) -> bool:
        return not self.length or self._have == [(0, self.length)]

    @property
    def awaits_data(self) -> bool:
        """Whether the initiator owes data that were asked for, or that it announced."""
        return any(not burst.over for burst in self._bursts.values())

    def next_r2ts(self) -> list[ReadyToTransfer]:
        """The R2Ts that may be sent now: none before the unsolicited data are over (11.8)."""
        made: list[ReadyToTransfer] = []
        if NO_TAG in self._bursts:
            return made
        while self._asked < self.length and len(self._bursts) < self._agreed.max_r2t:
            end = min(self._asked + self._agreed.max_burst, self.length)
            made.append(self._ask(self._asked, end))
            self._asked = end
        return made

    def _ask(self, start: int, end: int) -> ReadyToTransfer:
        self._tag = (self._tag + 1) % NO_TAG
        self._bursts[self._tag] = _Burst(start, end, at=start)
        self._r2t_sn += 1
        return ReadyToTransfer(self._tag, self._r2t_sn - 1, start, end - start)

    def receive(self, tag: int, data_sn: int, offset: int, data: bytes, final: bool) -> None:
        """One Data-Out PDU. TransferError where it breaks what was agreed."""
        burst = self._bursts.get(tag)
        if burst is None:
            raise TransferError("data that were not asked for")
        recovery = self._agreed.recovery_level > 0
        if offset < burst.start or offset + len(data) > burst.end:
            raise TransferError("data outside their burst")
        if data_sn != burst.data_sn and not (recovery and data_sn > burst.data_sn):
            raise TransferError(f"DataSN {data_sn} after {burst.data_sn}")
        if self._agreed.data_pdu_in_order and offset != burst.at and not (recovery and offset > burst.at):
            raise TransferError("data out of order")
        burst.data_sn, burst.at = data_sn + 1, offset + len(data)
        self._take(offset, data)
        if final:
            burst.over = True
            missing = self._missing(burst.start, burst.end)
            if missing and tag == NO_TAG:
                # Fewer unsolicited data than could have come are no fault: the rest is asked for.
                tail = missing[-1]
                if tail[1] == burst.end and len(missing) == 1:
                    self._asked, missing = tail[0], []
            if missing and not recovery:
                raise TransferError("a burst ended before its data")
            if not missing:
                del self._bursts[tag]

    def recovery_r2ts(self) -> list[ReadyToTransfer]:
        """Recovery R2Ts for what is missing of bursts that are over (7.2)."""
        made: list[ReadyToTransfer] = []
        for tag, burst in list(self._bursts.items()):
            if burst.over:
                del self._bursts[tag]
                made += [self._ask(*part) for part in self._missing(burst.start, burst.end)]
        return made

    def recovery_r2ts_after_stall(self) -> list[ReadyToTransfer]:
        """The same for bursts whose last PDU does not come: it may have been lost."""
        for burst in self._bursts.values():
            burst.over = True
        return self.recovery_r2ts()

    def _missing(self, start: int, end: int) -> list[tuple[int, int]]:
        parts, at = list[tuple[int, int]](), start
        for low, high in self._have:
            if high <= at or low >= end:
                continue
            if low > at:
                parts.append((at, low))
            at = max(at, high)
        if at < end:
            parts.append((at, end))
        return parts

    def _take(self, offset: int, data: bytes) -> None:
        if not data:
            return
        self.data[offset : offset + len(data)] = data
        insort(self._have, (offset, offset + len(data)))
        merged = self._have[:1]
        for low, high in self._have[1:]:
            if low <= merged[-1][1]:
                merged[-1] = (merged[-1][0], max(merged[-1][1], high))
            else:
                merged.append((low, high))
        self._have = merged


@dataclass(frozen=True, slots=True)
class DataInPdu:
    """One Data-In PDU."""

    data_sn: int
    offset: int
    length: int
    final: bool  # the last of its burst


@dataclass(slots=True)
class Outbound:
    """A read's data on their way out; they are kept until the command's status is acknowledged."""

    data: bytes
    max_segment: int
    max_burst: int
    acknowledged: int = 0  # DataSN before which all is known (DataACK)
    _count: int = field(default=-1)

    @property
    def pdu_count(self) -> int:
        """How many Data-In PDUs there are, which is the command's ExpDataSN."""
        if self._count < 0:
            self._count = sum(1 for _ in self.data_in_pdus())
        return self._count

    def data_in_pdus(self) -> Iterator[DataInPdu]:
        """Every PDU in order; none goes past the end of its burst."""
        offset, number, end = 0, 0, len(self.data)
        while offset < end:
            until = min(offset + self.max_segment, (offset // self.max_burst + 1) * self.max_burst, end)
            yield DataInPdu(number, offset, until - offset, until == end or until % self.max_burst == 0)
            offset, number = until, number + 1

    def find_for_snack(self, first: int, run: int) -> list[DataInPdu] | None:
        """What a Data SNACK asks for; None if it asks for what was acknowledged, or never sent (11.16)."""
        last = first + run if run else self.pdu_count
        if first < self.acknowledged or last > self.pdu_count or first >= last:
            return None
        return [part for part in self.data_in_pdus() if first <= part.data_sn < last]

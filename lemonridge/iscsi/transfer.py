"""Data transfer of one SCSI command, in both directions, as PDUs and byte offsets. No I/O.

Implements the data transfer rules of RFC 7143, sections 4.2.5, 11.7 and 11.8, and the recovery of lost data
within a command (7.2). `Inbound` collects the data of a write: first the immediate and unsolicited data, then
the data requested by R2Ts, several of which may be outstanding, in any order that the negotiated parameters
allow. If the recovery level permits, missing data is requested again. `Outbound` splits the data of a read
into Data-In PDUs and finds sent PDUs by their DataSN.
"""

from __future__ import annotations

from bisect import insort
from collections.abc import Iterator
from dataclasses import dataclass, field

from lemonridge.iscsi.keys import NegotiatedParameters

UNSOLICITED_TRANSFER_TAG = 0xFFFFFFFF  # Target Transfer Tag of unsolicited Data-Out PDUs (RFC 7143, 11.7.4)


class TransferError(Exception):
    """A Data-Out PDU violates the protocol; the message describes the violation."""


@dataclass(frozen=True, slots=True)
class ReadyToTransfer:
    """An R2T to send to the initiator (RFC 7143, 11.8).

    Attributes:
        transfer_tag: Target Transfer Tag that the requested Data-Out PDUs carry.
        r2t_sn: R2TSN, the number of the R2T within its command.
        offset: Buffer offset of the first requested byte.
        length: Number of requested bytes.
    """

    transfer_tag: int
    r2t_sn: int
    offset: int
    length: int


@dataclass(slots=True)
class _Burst:
    """The byte range [start, end) of one R2T or of the unsolicited data, and its progress."""

    start: int
    end: int
    next_data_sn: int = 0
    next_offset: int = 0  # buffer offset of the next PDU if the data arrives in order
    ended: bool = False  # the PDU with the F bit was received


class Inbound:
    """Collects the data of a write.

    Attributes:
        length: Expected number of bytes.
        data: Buffer of `length` bytes that receives the data.
    """

    def __init__(
        self,
        length: int,
        immediate: bytes,
        parameters: NegotiatedParameters,
        unsolicited: bool,
        last_transfer_tag: int,
    ) -> None:
        """Creates the buffer and stores the immediate data.

        Args:
            length: Expected number of bytes of the whole transfer.
            immediate: Data that the SCSI Command PDU carried.
            parameters: Negotiated parameters of the session.
            unsolicited: Whether unsolicited Data-Out PDUs follow the command.
            last_transfer_tag: Target Transfer Tag after which this transfer numbers its R2Ts.
        """
        self.length, self.data, self._parameters = length, bytearray(length), parameters
        self._received_ranges: list[tuple[int, int]] = []  # [start, end), sorted and disjoint
        self._bursts: dict[int, _Burst] = {}  # by Target Transfer Tag
        self._last_transfer_tag, self._next_r2t_sn, self._requested_end = last_transfer_tag, 0, 0
        self._store(0, immediate)
        self._requested_end = len(immediate)
        if unsolicited and len(immediate) < min(parameters.first_burst, length):
            end = min(parameters.first_burst, length)
            self._bursts[UNSOLICITED_TRANSFER_TAG] = _Burst(len(immediate), end, next_offset=len(immediate))
            self._requested_end = end

    @property
    def complete(self) -> bool:
        """Whether all data was received."""
        return not self.length or self._received_ranges == [(0, self.length)]

    @property
    def awaits_data(self) -> bool:
        """Whether the initiator still has to send requested or announced unsolicited data."""
        return any(not burst.ended for burst in self._bursts.values())

    def next_r2ts(self) -> list[ReadyToTransfer]:
        """Returns the R2Ts to send now, within MaxOutstandingR2T and MaxBurstLength.

        The list is empty until the unsolicited data has ended (RFC 7143, 11.8).
        """
        r2ts: list[ReadyToTransfer] = []
        if UNSOLICITED_TRANSFER_TAG in self._bursts:
            return r2ts
        while self._requested_end < self.length and len(self._bursts) < self._parameters.max_r2t:
            end = min(self._requested_end + self._parameters.max_burst, self.length)
            r2ts.append(self._create_r2t(self._requested_end, end))
            self._requested_end = end
        return r2ts

    def _create_r2t(self, start: int, end: int) -> ReadyToTransfer:
        """Opens a burst for the byte range [start, end) and returns the R2T that requests it."""
        self._last_transfer_tag = (self._last_transfer_tag + 1) % UNSOLICITED_TRANSFER_TAG
        self._bursts[self._last_transfer_tag] = _Burst(start, end, next_offset=start)
        self._next_r2t_sn += 1
        return ReadyToTransfer(self._last_transfer_tag, self._next_r2t_sn - 1, start, end - start)

    def receive(self, transfer_tag: int, data_sn: int, offset: int, data: bytes, final: bool) -> None:
        """Stores the data of one Data-Out PDU.

        Args:
            transfer_tag: Target Transfer Tag of the PDU.
            data_sn: DataSN of the PDU within its burst.
            offset: Buffer offset of the first byte.
            data: Data segment of the PDU.
            final: Whether the PDU has the F bit, which ends its burst.

        Raises:
            TransferError: The PDU belongs to no open burst, lies outside its burst, is out of order, or ends
                a burst with data missing where the recovery level is 0.
        """
        burst = self._bursts.get(transfer_tag)
        if burst is None:
            raise TransferError("data that was not requested")
        recovers = self._parameters.recovery_level > 0
        if offset < burst.start or offset + len(data) > burst.end:
            raise TransferError("data outside its burst")
        if data_sn != burst.next_data_sn and not (recovers and data_sn > burst.next_data_sn):
            raise TransferError(f"DataSN {data_sn}, expected {burst.next_data_sn}")
        if (
            self._parameters.data_pdu_in_order
            and offset != burst.next_offset
            and not (recovers and offset > burst.next_offset)
        ):
            raise TransferError("data out of order")
        burst.next_data_sn, burst.next_offset = data_sn + 1, offset + len(data)
        self._store(offset, data)
        if final:
            burst.ended = True
            missing = self._missing_ranges(burst.start, burst.end)
            if missing and transfer_tag == UNSOLICITED_TRANSFER_TAG:
                # The initiator may send less unsolicited data than allowed: R2Ts request the rest.
                tail = missing[-1]
                if tail[1] == burst.end and len(missing) == 1:
                    self._requested_end, missing = tail[0], []
            if missing and not recovers:
                raise TransferError("burst ended with data missing")
            if not missing:
                del self._bursts[transfer_tag]

    def recovery_r2ts(self) -> list[ReadyToTransfer]:
        """Returns recovery R2Ts for the missing data of bursts that have ended (RFC 7143, 7.2)."""
        r2ts: list[ReadyToTransfer] = []
        for transfer_tag, burst in list(self._bursts.items()):
            if burst.ended:
                del self._bursts[transfer_tag]
                r2ts += [
                    self._create_r2t(*byte_range)
                    for byte_range in self._missing_ranges(burst.start, burst.end)
                ]
        return r2ts

    def recovery_r2ts_after_stall(self) -> list[ReadyToTransfer]:
        """Returns recovery R2Ts for the missing data of all bursts.

        Open bursts are treated as ended, since their last PDU may have been lost.
        """
        for burst in self._bursts.values():
            burst.ended = True
        return self.recovery_r2ts()

    def _missing_ranges(self, start: int, end: int) -> list[tuple[int, int]]:
        """Returns the ranges within [start, end) that were not received."""
        missing, position = list[tuple[int, int]](), start
        for range_start, range_end in self._received_ranges:
            if range_end <= position or range_start >= end:
                continue
            if range_start > position:
                missing.append((position, range_start))
            position = max(position, range_end)
        if position < end:
            missing.append((position, end))
        return missing

    def _store(self, offset: int, data: bytes) -> None:
        """Copies `data` into the buffer and merges its range into the received ranges."""
        if not data:
            return
        self.data[offset : offset + len(data)] = data
        insort(self._received_ranges, (offset, offset + len(data)))
        merged = self._received_ranges[:1]
        for range_start, range_end in self._received_ranges[1:]:
            if range_start <= merged[-1][1]:
                merged[-1] = (merged[-1][0], max(merged[-1][1], range_end))
            else:
                merged.append((range_start, range_end))
        self._received_ranges = merged


@dataclass(frozen=True, slots=True)
class DataInPdu:
    """Number and byte range of one Data-In PDU.

    Attributes:
        data_sn: DataSN within the command.
        offset: Buffer offset of the first byte.
        length: Number of bytes.
        final: Whether the PDU is the last of its burst (F bit).
    """

    data_sn: int
    offset: int
    length: int
    final: bool


@dataclass(slots=True)
class Outbound:
    """The data of a read, retained until the initiator acknowledges the command's status.

    Attributes:
        data: All data of the read.
        max_segment: Largest data segment that the initiator accepts, in bytes.
        max_burst: MaxBurstLength in bytes.
        acknowledged: DataSN up to which, exclusively, the initiator has acknowledged the data (DataACK).
    """

    data: bytes
    max_segment: int
    max_burst: int
    acknowledged: int = 0
    _pdu_count: int = field(default=-1)  # -1 until it is computed

    @property
    def pdu_count(self) -> int:
        """Number of Data-In PDUs, which is the ExpDataSN of the command's SCSI Response."""
        if self._pdu_count < 0:
            self._pdu_count = sum(1 for _ in self.data_in_pdus())
        return self._pdu_count

    def data_in_pdus(self) -> Iterator[DataInPdu]:
        """Yields all Data-In PDUs in order; none crosses the end of its burst."""
        offset, data_sn, length = 0, 0, len(self.data)
        while offset < length:
            end = min(offset + self.max_segment, (offset // self.max_burst + 1) * self.max_burst, length)
            yield DataInPdu(data_sn, offset, end - offset, end == length or end % self.max_burst == 0)
            offset, data_sn = end, data_sn + 1

    def find_for_snack(self, first_data_sn: int, run_length: int) -> list[DataInPdu] | None:
        """Returns the PDUs that a Data SNACK requests (RFC 7143, 11.16).

        Args:
            first_data_sn: BegRun, the DataSN of the first requested PDU.
            run_length: RunLength, the number of requested PDUs; 0 requests all from `first_data_sn` on.

        Returns:
            The PDUs, or None if the request includes acknowledged PDUs or PDUs that were never sent.
        """
        end = first_data_sn + run_length if run_length else self.pdu_count
        if first_data_sn < self.acknowledged or end > self.pdu_count or first_data_sn >= end:
            return None
        return [pdu for pdu in self.data_in_pdus() if first_data_sn <= pdu.data_sn < end]

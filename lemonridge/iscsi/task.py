"""State of one SCSI command, from the receipt of its PDU to the acknowledgement of its status."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

from lemonridge.core.memory_budget import Reservation
from lemonridge.iscsi import scsi
from lemonridge.iscsi.allegiance import Allegiance, InitiatorConnection
from lemonridge.iscsi.pdu import Pdu
from lemonridge.iscsi.transfer import Inbound, Outbound
from lemonridge.iscsi.unfinished_commands import NodeActivity


@dataclass(slots=True, eq=False)
class Task:
    """One SCSI command of a session.

    Attributes:
        pdu: The SCSI Command PDU as received.
        command: The command to execute.
        arrived_us: Arrival time in microseconds of the broker's clock.
        allegiance: The command's allegiance to a connection (RFC 7143, 4.2.5.1).
        inbound: Data of a write that is being received.
        outbound: Data of a read, retained for retransmission.
        reply: Result of the command; None until it is known.
        status: The SCSI Response PDU as sent; None until it is sent.
        execution: asyncio task that executes the command; None for a command that is answered at once.
        progress: Set when data of the command was received.
        aborted: Whether the command was aborted; it gets no response.
        reservation: The command's part of the front's buffer limit; None if it is answered at once.
        activity: Whether nodes may be executing the command; None if it is answered at once.
        outstanding_r2ts: Number of unanswered R2Ts.
        last_data_s: Event loop time in seconds at which data was last received, or a stall was detected.
    """

    pdu: Pdu
    command: scsi.Command
    arrived_us: int
    allegiance: Allegiance
    inbound: Inbound | None = None
    outbound: Outbound | None = None
    reply: scsi.Reply | None = None
    status: Pdu | None = None
    execution: asyncio.Task[None] | None = None
    progress: asyncio.Event = field(default_factory=asyncio.Event)
    aborted: bool = False
    reservation: Reservation | None = None
    activity: NodeActivity | None = None
    outstanding_r2ts: int = 0
    last_data_s: float = 0.0

    @property
    def connection(self) -> InitiatorConnection | None:
        """Connection that the command is allegiant to; None after that connection has ended."""
        return self.allegiance.connection

    @property
    def tag(self) -> int:
        """Initiator Task Tag of the command."""
        return self.pdu.tag

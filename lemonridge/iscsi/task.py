"""One command from its PDU to the acknowledgement of its status."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from lemonridge.iscsi import scsi
from lemonridge.iscsi.pdu import Pdu
from lemonridge.iscsi.transfer import Inbound, Outbound

if TYPE_CHECKING:
    from lemonridge.iscsi.connection import Connection


@dataclass(slots=True, eq=False)
class Task:
    """A command. `connection` is the one that it belongs to (allegiance, 4.2.5.1), None while that is
    lost.
    """

    pdu: Pdu
    command: scsi.Command
    arrived_us: int
    connection: Connection | None
    inbound: Inbound | None = None
    outbound: Outbound | None = None
    reply: scsi.Reply | None = None  # its end, once it is known
    status: Pdu | None = None  # as it was sent
    execution: asyncio.Task[None] | None = None
    progress: asyncio.Event = field(default_factory=asyncio.Event)  # data came, or a stall was noticed
    aborted: bool = False
    buffered_bytes: int = 0  # bytes that it holds of the front's bound
    outstanding_r2ts: int = 0  # R2Ts that are unanswered
    last_data_s: float = 0.0  # when its data last came

    @property
    def tag(self) -> int:
        return self.pdu.tag

"""The connection allegiance of tasks and received PDUs (RFC 7143, section 4.2.5.1). No I/O of its own."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from lemonridge.iscsi.numbers import StatusLog

if TYPE_CHECKING:
    from lemonridge.iscsi.connection import Connection
    from lemonridge.iscsi.pdu import Pdu


@dataclass(slots=True, eq=False)
class Allegiance:
    """Binds what a session has received on one connection to that connection.

    Tasks, and PDUs that are held for an earlier CmdSN, refer to it in place of the connection. Once the
    connection has ended, all of them have none, and neither has a task that is made later of a held PDU.

    Attributes:
        cid: CID of the connection.
        connection: The connection; None once it has ended.
        statuses: The connection's statuses that the initiator has not acknowledged.
    """

    cid: int
    connection: Connection | None
    statuses: StatusLog[Pdu] = field(default_factory=lambda: StatusLog(1, 0))

    def send(self, pdu: Pdu, status: bool = False) -> None:
        """Sends a PDU on the connection; drops it if the connection has ended.

        Args:
            pdu: The PDU.
            status: Whether the PDU carries status and therefore takes a StatSN of its own.
        """
        if self.connection is not None:
            self.connection.send(pdu, status)


@dataclass(frozen=True, slots=True)
class ReceivedPdu:
    """A PDU with a CmdSN, and the allegiance that its task will have.

    Attributes:
        allegiance: The allegiance to the connection that received the PDU.
        pdu: The PDU.
    """

    allegiance: Allegiance
    pdu: Pdu

"""The connection allegiance of tasks and received PDUs (RFC 7143, section 4.2.5.1). No I/O of its own."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import Protocol

from lemonridge.iscsi.keys import NegotiatedParameters
from lemonridge.iscsi.numbers import StatusLog
from lemonridge.iscsi.pdu import Pdu, PduError
from lemonridge.iscsi.text_exchange import TextExchange


class InitiatorConnection(Protocol):
    """What a session and its tasks know of a connection; see `connection.Connection`."""

    cid: int
    login_cmd_sn: int
    login_exp_stat_sn: int
    agreed: NegotiatedParameters
    statuses: StatusLog[Pdu]
    text_exchange: TextExchange
    unanswered_pings: set[int]
    writer: asyncio.StreamWriter

    def send(self, pdu: Pdu, status: bool = False) -> None:
        """Sends a PDU with the current StatSN; one that carries status takes a StatSN of its own."""
        ...

    def write(self, pdu: Pdu) -> None:
        """Writes a PDU with the StatSN that it already has."""
        ...

    def reject(self, pdu: Pdu | None, reason: int) -> None:
        """Sends a Reject."""
        ...

    def end_for_protocol_error(self, error: PduError) -> None:
        """Answers a PDU that breaks the protocol with a Reject and ends the connection without a logout."""
        ...

    def close(self) -> None:
        """Closes the connection; pending output is still sent."""
        ...


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
    connection: InitiatorConnection | None
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

"""One TCP connection of an initiator: login, PDUs in both directions, StatSN and pings."""

from __future__ import annotations

import asyncio
import logging
import secrets
from typing import Protocol

from lemonridge.core.clock import Clock
from lemonridge.core.counters import Counters
from lemonridge.iscsi.allegiance import InitiatorConnection
from lemonridge.iscsi.config import IscsiConfig
from lemonridge.iscsi.keys import NegotiatedParameters
from lemonridge.iscsi.login import AUTHENTICATION_FAILURE, FailedLoginLimiter, LoginPolicy, TargetLogin
from lemonridge.iscsi.loop_share import COMMAND_US, PDU_US, LoopShare
from lemonridge.iscsi.numbers import StatusLog
from lemonridge.iscsi.pdu import (
    RESERVED_TAG,
    UINT32_MASK,
    DataDigestError,
    HeaderDigestError,
    Op,
    Pdu,
    PduError,
    read_pdu,
)
from lemonridge.iscsi.text_exchange import TextExchange
from lemonridge.net.client_output import ClientOutput
from lemonridge.net.parsing_queue import ParsingQueue

log = logging.getLogger(__name__)

LOGIN_TIMEOUT_S = 5.0  # from the accepted connection to the end of its login phase
READ_CHECK_INTERVAL_S = 0.5  # between two looks at whether the initiator takes pending output
CLOSE_GRACE_S = 1.0  # from the close until output is no longer sent to a peer that does not read


class ConnectionOwner(Protocol):
    """The session of a connection; see `session.Session`."""

    def receive(self, connection: InitiatorConnection, pdu: Pdu) -> None:
        """Processes a received PDU; raises a PduError if it breaks the protocol."""
        ...

    def connection_lost(self, connection: InitiatorConnection) -> None:
        """Ends the allegiance to a connection that has ended without a logout."""
        ...

    def data_digest_failed(self, connection: InitiatorConnection, pdu: Pdu) -> None:
        """Requests data again after a PDU was discarded because of its data digest."""
        ...

    def command_numbers(self) -> tuple[int, int]:
        """Returns the current ExpCmdSN and MaxCmdSN."""
        ...

    def is_executing(self, tag: int) -> bool:
        """Returns whether a node executes, or is to execute, the command with a task tag."""
        ...


class ConnectionFront(Protocol):
    """The front of a connection; see `portal.IscsiFront`."""

    loop: asyncio.AbstractEventLoop
    clock: Clock
    config: IscsiConfig
    counters: Counters
    login_attempts: FailedLoginLimiter
    login_rules: LoginPolicy
    parsing_queue: ParsingQueue

    def tsih_for(self, login: TargetLogin) -> int:
        """Returns the TSIH for the last login response."""
        ...

    def joined_command_numbers(self, login: TargetLogin) -> tuple[int, int] | None:
        """Returns ExpCmdSN and MaxCmdSN of the session that a login joins; None if it opens one."""
        ...

    def admit(self, connection: InitiatorConnection, login: TargetLogin) -> ConnectionOwner:
        """Adds a connection whose login has succeeded to a session; raises a ConnectionError if it ended."""
        ...


class Connection:
    """A connection, which belongs to a session once its login has succeeded.

    Args:
        front: The iSCSI front that accepted the connection.
        reader: Its input.
        writer: Its output.

    Attributes:
        front: The iSCSI front.
        reader: The input.
        writer: The output.
        peer: The initiator's IP address.
        cid: The connection's CID; 0 before the first login request.
        login_cmd_sn: CmdSN of the first login request.
        login_exp_stat_sn: ExpStatSN of the first login request; where that restarts a connection, the next
            StatSN that the initiator expected on it (RFC 7143, section 11.12.9).
        agreed: The negotiated parameters; the defaults until the login has succeeded.
        session: The session; None until the login has succeeded.
        statuses: Assigns StatSN, and keeps the PDUs that a Status SNACK may request.
        text_exchange: The text exchange in full feature phase.
        unanswered_pings: Target transfer tags of the pings that the initiator has not answered.
        last_received_s: When the last valid PDU was received, in seconds of the event loop's clock.
        closed: Whether this side has closed the connection.
    """

    def __init__(
        self, front: ConnectionFront, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.front, self.reader, self.writer = front, reader, writer
        peer = writer.get_extra_info("peername") or ("",)
        self.peer = str(peer[0])
        self.cid = self.login_cmd_sn = self.login_exp_stat_sn = 0
        self.agreed = NegotiatedParameters()
        self.session: ConnectionOwner | None = None
        self.statuses: StatusLog[Pdu] = StatusLog(1, 0)
        self.text_exchange = TextExchange()
        self.unanswered_pings: set[int] = set()
        self.last_received_s = front.loop.time()
        self.closed = False
        self._output = ClientOutput(writer.transport)
        self._loop_share = LoopShare(front.parsing_queue)
        self._output_pending_until_s = 0.0  # when a slow initiator had, or will have, read what was pending
        self._ping_timer: asyncio.TimerHandle | None = None
        self._read_check_timer: asyncio.TimerHandle | None = None

    async def run(self) -> None:
        """Runs the login, then processes PDUs until a logout, the end of the connection or a protocol error.

        After the login, a PDU that breaks the protocol is answered with a Reject before the connection ends.

        Raises:
            OSError: The connection is lost.
            asyncio.IncompleteReadError: The initiator has closed the connection.
        """
        try:
            async with asyncio.timeout_at(self.front.loop.time() + LOGIN_TIMEOUT_S):
                login = await self._login()
        except TimeoutError:
            return
        except PduError as error:
            log.warning(
                "protocol error in login, closing connection", extra={"peer": self.peer, "error": str(error)}
            )
            return
        if login is None:
            return
        self.agreed = login.parameters
        self.session = session = self.front.admit(self, login)
        self.statuses.capacity = (
            self.front.config.max_unacknowledged_statuses if self.agreed.recovery_level else 0
        )
        self._check_reading()
        self._check_liveness()
        try:
            while not self.closed:
                pdu = await self._next_pdu(session)
                await self._loop_share.spend(self._process(session, pdu))
                await self.writer.drain()
        except HeaderDigestError:
            self.front.counters["digests.header"] += 1
            log.warning(
                "PDU header digest mismatch, closing connection", extra={"peer": self.peer, "cid": self.cid}
            )
        except PduError as error:
            self.end_for_protocol_error(error)
        await self.writer.drain()

    def _process(self, session: ConnectionOwner, pdu: Pdu) -> float:
        """Passes a PDU to the session; returns the time that it costs the event loop, in microseconds.

        Raises:
            PduError: The PDU breaks the protocol.
        """
        began_s = self.front.loop.time()
        session.receive(self, pdu)
        used_us = PDU_US + 1e6 * (self.front.loop.time() - began_s)
        is_executed = pdu.opcode == Op.SCSI_COMMAND and session.is_executing(pdu.tag)
        return used_us + COMMAND_US if is_executed else used_us

    async def _next_pdu(self, session: ConnectionOwner) -> Pdu:
        """Returns the next PDU whose digests are correct.

        A PDU with a data digest error is rejected; at recovery level 0 the connection then ends, and at
        higher levels its data is requested again (RFC 7143, section 7.8).

        Raises:
            HeaderDigestError: The header digest is wrong.
            PduError: The PDU breaks the protocol, or its data digest is wrong at recovery level 0.
        """
        while True:
            try:
                pdu = await read_pdu(
                    self.reader, self.agreed.recv_segment, self.agreed.header_digest, self.agreed.data_digest
                )
                self.last_received_s = self.front.loop.time()
                return pdu
            except DataDigestError as error:
                self.front.counters["digests.data"] += 1
                if not self.agreed.recovery_level:
                    raise PduError(
                        PduError.DIGEST, "data digest mismatch at recovery level 0", error.pdu
                    ) from None
                self.reject(error.pdu, PduError.DIGEST)
                session.data_digest_failed(self, error.pdu)

    async def _login(self) -> TargetLogin | None:
        """Runs the login phase.

        Returns:
            The successful login; None if it was refused, or if too many logins from this address have failed.

        Raises:
            PduError: A PDU is not a Login Request.
        """
        front = self.front
        if not front.login_attempts.allows(self.peer, front.clock.now_us()):
            front.counters["logins.barred"] += 1
            return None
        login = TargetLogin(front.login_rules)
        is_first_request = True
        while True:
            pdu = await read_pdu(self.reader)
            if pdu.opcode != Op.LOGIN:
                raise PduError(PduError.PROTOCOL, "expected a Login Request", pdu)
            if is_first_request:
                self.cid, is_first_request = pdu.words[0] >> 16, False
                self.login_cmd_sn, self.login_exp_stat_sn = pdu.words[1:3]
            reply = login.answer(pdu)
            if reply.status:
                front.counters["logins.refused"] += 1
                if reply.status == AUTHENTICATION_FAILURE:
                    front.counters["logins.unauthenticated"] += 1
                    front.login_attempts.record_failure(self.peer, front.clock.now_us())
                log.warning(
                    "login refused",
                    extra={"peer": self.peer, "status": f"{reply.status:#06x}", "why": login.refusal_reason},
                )
            lun, exp_cmd_sn = pdu.lun, self.login_cmd_sn
            max_cmd_sn = (exp_cmd_sn + front.config.queue_depth - 1) & UINT32_MASK
            if reply.login_ended and not reply.status:
                lun = lun[:6] + front.tsih_for(login).to_bytes(2, "big")
                if (joined_numbers := front.joined_command_numbers(login)) is not None:
                    exp_cmd_sn, max_cmd_sn = joined_numbers
            response = Pdu(
                Op.LOGIN_RESPONSE,
                reply.flags,
                lun=lun,
                tag=pdu.tag,
                data=reply.data,
                words=[0, 0, exp_cmd_sn, max_cmd_sn, reply.status << 16, 0, 0],
            )
            self._assign_stat_sn(response)
            self._output.write(response.encode())
            await self.writer.drain()
            if reply.login_ended:
                return None if reply.status else login

    # Sending PDUs

    def send(self, pdu: Pdu, status: bool = False) -> None:
        """Sends a PDU with the current StatSN, ExpCmdSN and MaxCmdSN.

        Args:
            pdu: The PDU.
            status: Whether the PDU carries status and therefore takes a StatSN of its own.
        """
        if status:
            self._assign_stat_sn(pdu)
        else:
            pdu.words[1] = self.statuses.next_stat_sn
        self.write(pdu)

    def write(self, pdu: Pdu) -> None:
        """Writes a PDU with the StatSN that it already has and the current ExpCmdSN and MaxCmdSN.

        Args:
            pdu: The PDU.
        """
        if self.session is not None:
            pdu.words[2], pdu.words[3] = self.session.command_numbers()
        if not self.writer.is_closing():
            self._output.write(pdu.encode(self.agreed.header_digest, self.agreed.data_digest))

    def _assign_stat_sn(self, pdu: Pdu) -> None:
        """Gives a PDU the next StatSN."""
        pdu.words[1] = self.statuses.next_stat_sn
        self.statuses.assign_stat_sn(pdu)

    def reject(self, pdu: Pdu | None, reason: int) -> None:
        """Sends a Reject (RFC 7143, section 11.17).

        Args:
            pdu: The rejected PDU, whose header is returned to the initiator; None if there is none.
            reason: The reason code.
        """
        self.front.counters[f"rejects.{reason:#04x}"] += 1
        self.send(Pdu(Op.REJECT, byte2=reason, data=pdu.encode()[:48] if pdu else b""), status=True)

    def end_for_protocol_error(self, error: PduError) -> None:
        """Answers a PDU that breaks the protocol with a Reject and ends the connection without a logout.

        Args:
            error: The violation.
        """
        self.front.counters["pdus.rejected"] += 1
        log.warning("PDU rejected, closing connection", extra={"peer": self.peer, "error": str(error)})
        self.reject(error.pdu, error.reason)
        if self.session is not None:
            self.session.connection_lost(self)
        self.close()

    # Liveness and closing

    def _check_liveness(self) -> None:
        """Pings an initiator that has been silent for `ping_s`; aborts the connection after twice that time.

        The ping is a NOP-In (RFC 7143, section 11.19). An initiator that still reads earlier output, behind
        which the ping waits, is not silent.
        """
        interval_s = self.front.config.ping_s
        if not interval_s or self.closed:
            return
        silence_s = self.front.loop.time() - max(self.last_received_s, self._output_pending_until_s)
        if silence_s >= 2 * interval_s:
            log.info("initiator silent", extra={"peer": self.peer, "cid": self.cid})
            self.front.counters["connections.silent"] += 1
            self.writer.transport.abort()
            return
        if silence_s >= interval_s and not self.unanswered_pings:
            tag = secrets.randbelow(RESERVED_TAG)
            self.unanswered_pings.add(tag)
            self.send(Pdu(Op.NOP_IN, words=[tag, 0, 0, 0, 0, 0, 0]))
        self._ping_timer = self.front.loop.call_later(interval_s / 4, self._check_liveness)

    def _check_reading(self) -> None:
        """Aborts the connection if its initiator has stopped reading, and repeats until it is closed."""
        now_s = self.front.loop.time()
        if self._output.has_stopped_reading(now_s):
            log.info("initiator has stopped reading", extra={"peer": self.peer, "cid": self.cid})
            self.front.counters["connections.unread"] += 1
            self.writer.transport.abort()
            return
        if self._output.unsent_bytes:
            self._output_pending_until_s = max(now_s, self._output.read_by_s)
        self._read_check_timer = self.front.loop.call_later(READ_CHECK_INTERVAL_S, self._check_reading)

    def close(self) -> None:
        """Closes the connection; pending output is still sent to an initiator that reads it.

        A second call has no effect.
        """
        if self.closed:
            return
        self.closed = True
        self._loop_share.end()
        if self._ping_timer is not None:
            self._ping_timer.cancel()
        if self._read_check_timer is not None:
            self._read_check_timer.cancel()
        self.writer.close()
        self.front.loop.call_later(CLOSE_GRACE_S, self._end_output)

    def _end_output(self) -> None:
        """Aborts the closed connection unless the initiator still reads its output."""
        if self._output.unsent_bytes and not self._output.has_stopped_reading(self.front.loop.time()):
            self.front.loop.call_later(READ_CHECK_INTERVAL_S, self._end_output)
        else:
            self.writer.transport.abort()

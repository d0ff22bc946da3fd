"""A session with a node's iSCSI target, over one connection (RFC 7143)."""

from __future__ import annotations

import asyncio
import itertools
import logging
import secrets
from dataclasses import dataclass, field

from lemonridge.core.counters import Counters
from lemonridge.iscsi import chap, scsi, versions
from lemonridge.iscsi.config import IscsiConfig
from lemonridge.iscsi.keys import (
    TEXT_MAX_BYTES,
    NegotiatedParameters,
    NegotiationError,
    TextPairs,
    apply_answers,
    parse_text,
    proposal,
)
from lemonridge.iscsi.numbers import serial_distance
from lemonridge.iscsi.pdu import (
    CONTINUE,
    FINAL,
    MAX_DATA_SEGMENT_BYTES,
    RESERVED_TAG,
    UINT32_MASK,
    DataDigestError,
    HeaderDigestError,
    Op,
    Pdu,
    PduError,
    pack_lun,
    pack_text,
    read_pdu,
)
from lemonridge.net.sockets import peer_has_closed

log = logging.getLogger(__name__)

OFFERED_KEYS = (
    "HeaderDigest",
    "DataDigest",
    "MaxConnections",
    "InitialR2T",
    "ImmediateData",
    "MaxBurstLength",
    "FirstBurstLength",
    "MaxOutstandingR2T",
    "ErrorRecoveryLevel",
)
CLOSE_GRACE_S = 1.0  # from the logout until output is no longer sent to a target that does not read


class SessionLostError(Exception):
    """The session ended while a command was in flight; the command may have run."""


@dataclass(slots=True)
class PendingCommand:
    """A command that was sent to a node and has no status yet.

    Attributes:
        command: The command.
        reply: The node's reply; `SessionLostError` if the session ends first.
        data: The data received so far.
    """

    command: scsi.Command
    reply: asyncio.Future[scsi.Reply]
    data: bytearray = field(default_factory=bytearray)


class EndpointSession:
    """One session, of one connection, with a node's target.

    Args:
        reader: The connection's input.
        writer: The connection's output.
        counters: The counters.

    Attributes:
        closing: Whether the session accepts no new commands.
        checks_versions: Whether the node executes a command only under the extent version that it names.
    """

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, counters: Counters
    ) -> None:
        self._reader, self._writer, self._counters = reader, writer, counters
        self._loop = asyncio.get_running_loop()
        self._task_tags = itertools.count(1)
        self._cmd_sn, self._max_cmd_sn, self._exp_stat_sn = 1, 1, 0
        self._pending_commands: dict[int, PendingCommand] = {}
        self._agreed = NegotiatedParameters()
        self._last_received_s, self._last_used_s = self._loop.time(), self._loop.time()
        self._receiver: asyncio.Task[None] | None = None
        self.closing = False
        self.checks_versions = False

    @property
    def has_room(self) -> bool:
        """Whether the target's command window has room for another command."""
        return serial_distance(self._max_cmd_sn, self._cmd_sn) >= 0

    @property
    def is_unavailable(self) -> bool:
        """Whether the session is closing or the target has closed the connection.

        The operating system is asked, since the event loop may not have read the end of the connection yet.
        """
        return self.closing or peer_has_closed(self._writer.transport)

    @property
    def idle_s(self) -> float:
        """How long no command has been in flight, in seconds."""
        return 0.0 if self._pending_commands else self._loop.time() - self._last_used_s

    async def login(self, config: IscsiConfig, target: str) -> None:
        """Authenticates if there is an account, then negotiates the parameters (RFC 7143, chapter 6).

        Args:
            config: The configuration of the iSCSI front.
            target: The target's iSCSI name.

        Raises:
            PduError: The target refuses the login or breaks the protocol.
            OSError: The connection is lost.
            EOFError: The target has closed the connection.
        """
        names = [("InitiatorName", config.initiator), ("TargetName", target), ("SessionType", "Normal")]
        isid = b"\x80" + next(_isid_counter).to_bytes(5, "big")
        if config.endpoint_account is not None:
            await self._authenticate(isid, names, config.endpoint_account)
            names = []
        preferences = config.endpoint_preferences
        offers = proposal(preferences, OFFERED_KEYS)
        offers.append(("MaxRecvDataSegmentLength", str(MAX_DATA_SEGMENT_BYTES)))
        if config.mapped:
            offers.append((versions.EXTENT_VERSION_KEY, versions.EXTENT_VERSION_VALUE))
        answers, transit = await self._exchange(isid, 1, 3, names + offers)
        if not transit:
            raise PduError(PduError.PROTOCOL, "the target does not end the login")
        try:
            self._agreed, private = apply_answers(offers, answers, MAX_DATA_SEGMENT_BYTES)
        except NegotiationError as error:
            raise PduError(PduError.PROTOCOL, f"negotiation failed: {error}") from None
        self.checks_versions = private.get(versions.EXTENT_VERSION_KEY) == versions.EXTENT_VERSION_VALUE
        self._receiver = asyncio.create_task(self._receive_pdus())

    async def _authenticate(self, isid: bytes, names: TextPairs, account: chap.Account) -> None:
        """Authenticates with CHAP, and the node too if the account has a secret for it.

        RFC 7143, section 12.1.3.

        Raises:
            PduError: The authentication failed.
        """
        chap_initiator = chap.Initiator(account, secrets.token_bytes)
        try:
            answers, _ = await self._exchange(
                isid, 0, 0, [*names, ("AuthMethod", "CHAP"), *chap_initiator.begin()]
            )
            if "CHAP_C" not in dict(answers):  # the target has answered AuthMethod alone
                answers, _ = await self._exchange(isid, 0, 0, chap_initiator.begin())
            answers, transit = await self._exchange(isid, 0, 1, chap_initiator.respond(dict(answers)))
            chap_initiator.check(dict(answers))
        except chap.ChapError as error:
            raise PduError(PduError.PROTOCOL, f"authentication failed: {error}") from None
        if not transit:
            raise PduError(PduError.PROTOCOL, "the target does not leave the security stage")

    async def _exchange(
        self, isid: bytes, current_stage: int, next_stage: int, pairs: TextPairs
    ) -> tuple[TextPairs, bool]:
        """Sends one login request and receives the response, in as many PDUs as it takes.

        Args:
            isid: The ISID of the new session.
            current_stage: The stage of the login.
            next_stage: The stage to move to; `current_stage` to stay.
            pairs: The text keys to send.

        Returns:
            The target's text keys, and whether it moves to the next stage.

        Raises:
            PduError: The target refuses the login or breaks the protocol.
        """
        flags = current_stage << 2 | (FINAL | next_stage if next_stage != current_stage else 0)
        data, text = pack_text(pairs), b""
        while True:
            self._write(
                Pdu(Op.LOGIN, flags, lun=isid + b"\0\0", tag=0, data=data, immediate=True), numbered=True
            )
            response = await read_pdu(self._reader)
            if response.opcode != Op.LOGIN_RESPONSE or response.words[4] >> 16:
                raise PduError(
                    PduError.PROTOCOL, f"login refused with {response.words[4] >> 16:#06x}", response
                )
            self._update_numbers(response, carries_status=True)
            text += response.data
            if len(text) > TEXT_MAX_BYTES or response.flags >> 2 & 3 != current_stage:
                raise PduError(
                    PduError.PROTOCOL, "login response of an unexpected stage or too long", response
                )
            if not response.flags & CONTINUE:
                break
            data = b""
        transit = bool(response.flags & FINAL)
        if transit and response.flags & 3 != next_stage:
            raise PduError(PduError.PROTOCOL, "login response of an unexpected stage or too long", response)
        try:
            return parse_text(text), transit
        except NegotiationError as error:
            raise PduError(PduError.PROTOCOL, str(error), response) from None

    async def execute(self, command: scsi.Command, ahs: bytes = b"") -> scsi.Reply:
        """Sends a command with its immediate data, and the rest of its data as the target requests it.

        If the caller cancels it, the command is aborted with ABORT TASK. If nothing at all has been received
        since the command was sent, the session is aborted instead, since the target may be unreachable and
        later commands would be lost too.

        Args:
            command: The command.
            ahs: Additional header segments.

        Returns:
            The target's reply.

        Raises:
            SessionLostError: The session ended before the reply.
        """
        tag, sent_s = next(self._task_tags) % RESERVED_TAG, self._loop.time()
        pending = self._pending_commands[tag] = PendingCommand(command, self._loop.create_future())
        agreed = self._agreed
        immediate_bytes = min(agreed.send_segment, agreed.first_burst)
        data = command.data[:immediate_bytes] if agreed.immediate_data else b""
        flags = FINAL | (0x40 if command.reads else 0) | (0x20 if command.writes else 0) | 1  # simple task
        cdb_words = [int.from_bytes(command.cdb[offset : offset + 4], "big") for offset in range(0, 16, 4)]
        self._write(
            Pdu(
                Op.SCSI_COMMAND,
                flags,
                lun=pack_lun(command.lun),
                tag=tag,
                data=data,
                ahs=ahs,
                words=[command.length, 0, 0, *cdb_words],
            ),
            numbered=True,
        )
        try:
            return await pending.reply
        except asyncio.CancelledError:
            if self._last_received_s < sent_s:
                self._abort_session("the target sends nothing")
            else:
                self._write(
                    Pdu(
                        Op.TASK_MANAGEMENT,
                        FINAL | 1,  # ABORT TASK
                        lun=pack_lun(command.lun),
                        tag=next(self._task_tags) % RESERVED_TAG,
                        immediate=True,
                        words=[tag, 0, 0, self._cmd_sn, 0, 0, 0],
                    ),
                    numbered=True,
                )
            raise
        finally:
            self._pending_commands.pop(tag, None)
            self._last_used_s = self._loop.time()
            if self.closing and not self._pending_commands:
                self.end()

    def end(self) -> None:
        """Accepts no new commands, and logs out once no command is in flight."""
        self.closing = True
        if not self._pending_commands and not self._writer.is_closing():
            self._write(
                Pdu(Op.LOGOUT, FINAL, tag=next(self._task_tags) % RESERVED_TAG, immediate=True), numbered=True
            )
            self._writer.close()  # pending output is still sent, for some time if the target does not read
            self._loop.call_later(CLOSE_GRACE_S, self._writer.transport.abort)

    def _abort_session(self, reason: str) -> None:
        """Ends the session at once; every command in flight may have run."""
        self.closing = True
        for pending in self._pending_commands.values():
            if not pending.reply.done():
                pending.reply.set_exception(SessionLostError(reason))
        self._writer.transport.abort()  # drops pending output, which an unresponsive target would not read
        if self._receiver is not None and self._receiver is not asyncio.current_task():
            self._receiver.cancel()

    def _write(self, pdu: Pdu, numbered: bool = False) -> None:
        """Writes a PDU with the current ExpStatSN, and with CmdSN if it is `numbered`."""
        if numbered:
            pdu.words[1], pdu.words[2] = self._cmd_sn, self._exp_stat_sn
            if not pdu.immediate:
                self._cmd_sn = (self._cmd_sn + 1) & UINT32_MASK
        else:
            pdu.words[2] = self._exp_stat_sn
        if not self._writer.is_closing():
            self._writer.write(pdu.encode(self._agreed.header_digest, self._agreed.data_digest))

    def _update_numbers(self, pdu: Pdu, carries_status: bool) -> None:
        """Updates ExpStatSN and MaxCmdSN from a received PDU."""
        if carries_status:
            self._exp_stat_sn = (pdu.words[1] + 1) & UINT32_MASK
        if serial_distance(pdu.words[3], self._max_cmd_sn) > 0 or not self._pending_commands:
            self._max_cmd_sn = pdu.words[3]

    async def _receive_pdus(self) -> None:
        """Processes received PDUs until the session ends."""
        reason = "the target closed the connection"
        try:
            while True:
                pdu = await read_pdu(
                    self._reader, MAX_DATA_SEGMENT_BYTES, self._agreed.header_digest, self._agreed.data_digest
                )
                self._last_received_s = self._loop.time()
                self._process_pdu(pdu)
        except (OSError, EOFError):
            pass
        except (HeaderDigestError, DataDigestError):
            reason = "digest mismatch"  # ends a session at recovery level 0 (RFC 7143, section 7.8)
            self._counters["digests.node"] += 1
            log.warning("digest mismatch in a node's PDU, closing session")
        except PduError as error:
            reason = str(error)
            log.warning("protocol error of a node, closing session", extra={"error": reason})
        except asyncio.CancelledError:
            return
        self._abort_session(reason)

    def _process_pdu(self, pdu: Pdu) -> None:
        """Processes one received PDU.

        Raises:
            PduError: The PDU breaks the protocol.
        """
        pending = self._pending_commands.get(pdu.tag)
        if pdu.opcode == Op.SCSI_RESPONSE:
            self._update_numbers(pdu, carries_status=True)
            if pending is not None:
                self._receive_response(pending, pdu)
        elif pdu.opcode == Op.DATA_IN:
            self._update_numbers(pdu, carries_status=bool(pdu.flags & 1))  # S bit
            if pending is not None:
                self._receive_data_in(pending, pdu)
        elif pdu.opcode == Op.R2T:
            self._update_numbers(pdu, carries_status=False)
            if pending is not None:
                self._send_data_out(pending, pdu)
        elif pdu.opcode == Op.NOP_IN:
            self._update_numbers(pdu, carries_status=pdu.tag != RESERVED_TAG)
            if pdu.words[0] != RESERVED_TAG:  # a ping
                self._write(
                    Pdu(
                        Op.NOP_OUT, lun=pdu.lun, immediate=True, words=[pdu.words[0]] + [0] * 6, data=pdu.data
                    ),
                    numbered=True,
                )
        elif pdu.opcode in (Op.TASK_MANAGEMENT_RESPONSE, Op.LOGOUT_RESPONSE):
            self._update_numbers(pdu, carries_status=True)
        elif pdu.opcode == Op.ASYNC:
            self._update_numbers(pdu, carries_status=True)
            if pdu.words[4] >> 24 in (1, 2, 3):  # requests a logout, or drops this connection or all of them
                self.closing = True
                if not self._pending_commands:
                    self.end()
        else:
            raise PduError(PduError.PROTOCOL, f"opcode {pdu.opcode:#04x}", pdu)

    def _receive_response(self, pending: PendingCommand, pdu: Pdu) -> None:
        """Completes a command with the status of its SCSI Response."""
        if pending.reply.done():
            return
        if pdu.byte2 != 0:  # a target failure: the command may have run
            pending.reply.set_result(scsi.Reply(scsi.Status.TASK_ABORTED))
            return
        sense = pdu.data[2 : 2 + int.from_bytes(pdu.data[:2], "big")]
        pending.reply.set_result(scsi.Reply(pdu.byte3, bytes(pending.data), sense, _residual(pdu)))

    def _receive_data_in(self, pending: PendingCommand, pdu: Pdu) -> None:
        """Adds the data of a Data-In PDU to its command; completes the command if the PDU carries its status.

        Raises:
            PduError: The data is out of order or longer than expected.
        """
        if pdu.words[5] != len(pending.data) or len(pending.data) + len(pdu.data) > pending.command.length:
            raise PduError(PduError.PROTOCOL, "Data-In out of order or too long", pdu)
        pending.data += pdu.data
        if pdu.flags & 1 and not pending.reply.done():
            pending.reply.set_result(scsi.Reply(pdu.byte3, bytes(pending.data), b"", _residual(pdu)))

    def _send_data_out(self, pending: PendingCommand, pdu: Pdu) -> None:
        """Sends the data that an R2T requests, split by the length of data segments that the target accepts.

        Raises:
            PduError: The R2T requests data that the command does not have, or more than the negotiated burst.
        """
        start, end = pdu.words[5], pdu.words[5] + pdu.words[6]
        if not start < end <= len(pending.command.data) or end - start > self._agreed.max_burst:
            raise PduError(PduError.PROTOCOL, "R2T outside the command's data or longer than the burst", pdu)
        for data_sn, offset in enumerate(range(start, end, self._agreed.send_segment)):
            segment_end = min(offset + self._agreed.send_segment, end)
            self._write(
                Pdu(
                    Op.DATA_OUT,
                    FINAL if segment_end == end else 0,
                    lun=pdu.lun,
                    tag=pdu.tag,
                    data=pending.command.data[offset:segment_end],
                    words=[pdu.words[0], 0, 0, 0, data_sn, offset, 0],
                )
            )


def _residual(pdu: Pdu) -> int:
    """Returns the residual count of a status in bytes, negative for an overflow."""
    return pdu.words[6] if pdu.flags & 0x02 else -pdu.words[6] if pdu.flags & 0x04 else 0


_isid_counter = itertools.count(1)

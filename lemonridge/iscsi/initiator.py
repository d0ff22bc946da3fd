"""The nodes' side of the iSCSI front: one attempt at a node's target, one outcome."""

from __future__ import annotations

import asyncio
import itertools
import logging
import secrets
from collections import Counter
from dataclasses import dataclass, field

from lemonridge.config.address import Address
from lemonridge.core.counters import Counters
from lemonridge.core.endpoint_registry import EndpointRegistry
from lemonridge.core.errors import AttemptSuppressedError, ConnectFailedError, LocalFailureError
from lemonridge.core.model import Attempt, Outcome
from lemonridge.extents.routing import Route
from lemonridge.iscsi import chap, scsi, versions
from lemonridge.iscsi.config import IscsiConfig
from lemonridge.iscsi.keys import (
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
    TEXT_MAX_BYTES,
    DataDigestError,
    HeaderDigestError,
    Op,
    Pdu,
    PduError,
    keep_alive,
    pack_lun,
    pack_text,
    read_pdu,
)
from lemonridge.net.sockets import LOCAL_ERRORS, peer_has_closed
from lemonridge.scheduling.events import AttemptResult

log = logging.getLogger(__name__)

OFFERED = (
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
RETIRE = 0.9  # of the time after which a node may end an idle session
NEVER_RAN = frozenset((scsi.Status.BUSY, scsi.Status.TASK_SET_FULL))


class LostError(Exception):
    """The session ended under a command."""


@dataclass(slots=True)
class Flight:
    """A command that a node has been sent."""

    command: scsi.Command
    done: asyncio.Future[scsi.Reply]
    data: bytearray = field(default_factory=bytearray)


class IscsiEndpoints:
    """Makes attempts at the nodes' targets, over one session to each."""

    def __init__(self, config: IscsiConfig, directory: EndpointRegistry, counters: Counters) -> None:
        self._config, self._directory, self._counters = config, directory, counters
        self._loop = asyncio.get_running_loop()
        self._sessions: dict[str, asyncio.Task[EndpointSession]] = {}
        # How many commands wait for each login. It counts them until they resume, turns after it has ended.
        self._login_waiters: Counter[asyncio.Task[EndpointSession]] = Counter()

    async def attempt(self, attempt: Attempt) -> Outcome:
        """Send the command once and wait for its status."""
        command = attempt.request.payload
        assert isinstance(command, scsi.Command)
        address, route = self._directory.address(attempt.endpoint_id), attempt.request.route
        if address is None or (
            route is not None and self._directory.shard(attempt.endpoint_id) != route.shard
        ):
            raise AttemptSuppressedError  # or the data has moved since the module chose
        session = await self._session(address)
        if self._directory.address(attempt.endpoint_id) != address:  # the list changed during the login
            raise AttemptSuppressedError
        if session.ended:  # what is written to it now would go nowhere, and count as what may have run
            raise ConnectFailedError
        if not session.has_room:
            return Outcome(AttemptResult.QUEUE_FULL)
        ahs = b""
        if isinstance(route, Route):
            if not session.versioned:
                log.error("node does not check versions", extra={"node": attempt.endpoint_id})
                raise ConnectFailedError
            ahs = versions.pack_ahs(route.piece.extent, route.piece.version)
        attempt.begin()  # from here on it may have run: no await stands between this and the write
        try:
            reply = await session.execute(command, ahs)
        except (LostError, ConnectionError):
            return Outcome(AttemptResult.RESET)
        if reply.status in NEVER_RAN:
            return Outcome(AttemptResult.QUEUE_FULL)
        if reply.status == scsi.Status.TASK_ABORTED:
            return Outcome(AttemptResult.ERROR)
        if ahs and (told := versions.unpack_redirect_sense(reply.sense)) is not None:
            return Outcome(AttemptResult.DATA_MIGRATED, told)
        return Outcome(AttemptResult.OK, reply)

    async def close(self) -> None:
        """Log out of every session."""
        for opening in self._sessions.values():
            if opening.done() and not opening.cancelled() and opening.exception() is None:
                opening.result().end()
            opening.cancel()
        self._sessions.clear()

    async def _session(self, address: str) -> EndpointSession:
        """The session with a node; commands that come while it is being made wait for the same one.

        They go on in the order in which they came (RFC 7143, 4.2.2.1: commands reach the device in the order
        of their numbers).
        """
        opening = self._sessions.get(address)
        if opening is not None and opening.done() and not _usable(opening, self._config.keepalive_us):
            opening = None
        if opening is None:
            self._counters["connections.opened"] += 1
            for other in [name for name, task in self._sessions.items() if task.done()]:
                if not _usable(self._sessions[other], self._config.keepalive_us):
                    del self._sessions[other]
            opening = self._sessions[address] = asyncio.create_task(self._open(address))
        try:
            if not opening.done() or self._login_waiters[opening]:
                await self._wait_in_line(opening)
            return opening.result()
        except OSError as error:  # a connect that took too long is a TimeoutError, an OSError
            raise (LocalFailureError if error.errno in LOCAL_ERRORS else ConnectFailedError) from None
        except (EOFError, PduError):
            raise ConnectFailedError from None

    async def _wait_in_line(self, opening: asyncio.Task[EndpointSession]) -> None:
        """Wait for the end of a login, behind each command that waits for it already.

        A callback takes its turn behind those that were added before, even once the login has ended. A shield
        of a login that has ended would not suspend, and pass them all.
        """
        login_ended: asyncio.Future[None] = self._loop.create_future()

        def on_login_ended(ended: asyncio.Task[EndpointSession]) -> None:
            if not ended.cancelled():
                ended.exception()  # asyncio logs one that nobody has asked for
            if not login_ended.done():
                login_ended.set_result(None)

        opening.add_done_callback(on_login_ended)
        self._login_waiters[opening] += 1
        try:
            await login_ended
        finally:
            self._login_waiters[opening] -= 1
            if not self._login_waiters[opening]:
                del self._login_waiters[opening]

    async def _open(self, address: str) -> EndpointSession:
        portal, _, target = address.partition("/")
        at = Address.parse(portal, "a node's address")
        loop = asyncio.get_running_loop()
        async with asyncio.timeout_at(loop.time() + self._config.connect_us / 1e6):
            reader, writer = await asyncio.open_connection(at.host, at.port)
            keep_alive(writer)
            session = EndpointSession(reader, writer, self._counters)
            try:
                await session.login(self._config, target)
            except BaseException:
                writer.close()
                raise
        return session


def _usable(opening: asyncio.Task[EndpointSession], keepalive_us: int) -> bool:
    if opening.cancelled() or opening.exception() is not None:
        return False
    session = opening.result()
    if session.idle_s > keepalive_us * RETIRE / 1e6:
        session.end()
    return not session.over


class EndpointSession:
    """One session with a node's target."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, counters: Counters
    ) -> None:
        self._reader, self._writer, self._counters = reader, writer, counters
        self._loop = asyncio.get_running_loop()
        self._tags = itertools.count(1)
        self._cmd_sn, self._max_cmd_sn, self._exp_stat_sn = 1, 1, 0
        self._flights: dict[int, Flight] = {}
        self._agreed = NegotiatedParameters()
        self._heard, self._used = self._loop.time(), self._loop.time()
        self._receiver: asyncio.Task[None] | None = None
        self.over = False  # takes no new commands
        self.versioned = False  # runs a command only under the extent's version that it names

    @property
    def has_room(self) -> bool:
        """Whether the target's window takes another command."""
        return serial_distance(self._max_cmd_sn, self._cmd_sn) >= 0

    @property
    def ended(self) -> bool:
        """Whether it is over, or the target has closed it and the event loop has not read that yet."""
        return self.over or peer_has_closed(self._writer.transport)

    @property
    def idle_s(self) -> float:
        return 0.0 if self._flights else self._loop.time() - self._used

    async def login(self, config: IscsiConfig, target: str) -> None:
        """Authentication where there is an account, then operational negotiation (RFC 7143, chapter 6)."""
        names = [("InitiatorName", config.initiator), ("TargetName", target), ("SessionType", "Normal")]
        isid = b"\x80" + next(_isid).to_bytes(5, "big")
        if config.endpoint_account is not None:
            await self._authenticate(isid, names, config.endpoint_account)
            names = []
        wishes = config.endpoint_preferences
        offers = proposal(wishes, OFFERED)
        offers.append(("MaxRecvDataSegmentLength", str(MAX_DATA_SEGMENT_BYTES)))
        if config.mapped:
            offers.append((versions.EXTENT_VERSION_KEY, versions.EXTENT_VERSION_VALUE))
        told, final = await self._exchange(isid, 1, 3, names + offers)
        if not final:
            raise PduError(PduError.PROTOCOL, "the login goes on after all was said")
        try:
            self._agreed, private = apply_answers(offers, told, MAX_DATA_SEGMENT_BYTES)
        except NegotiationError as error:
            raise PduError(PduError.PROTOCOL, f"login answered with {error}") from None
        self.versioned = private.get(versions.EXTENT_VERSION_KEY) == versions.EXTENT_VERSION_VALUE
        self._receiver = asyncio.create_task(self._receive())

    async def _authenticate(self, isid: bytes, names: TextPairs, account: chap.Account) -> None:
        """CHAP, mutual where the account has a secret for the node (RFC 7143, section 12.1.3)."""
        ours = chap.Initiator(account, secrets.token_bytes)
        try:
            told, _ = await self._exchange(isid, 0, 0, [*names, ("AuthMethod", "CHAP"), *ours.begin()])
            if "CHAP_C" not in dict(told):  # the method is agreed on first
                told, _ = await self._exchange(isid, 0, 0, ours.begin())
            told, final = await self._exchange(isid, 0, 1, ours.respond(dict(told)))
            ours.check(dict(told))
        except chap.ChapError as error:
            raise PduError(PduError.PROTOCOL, f"authentication: {error}") from None
        if not final:
            raise PduError(PduError.PROTOCOL, "the node does not leave the security stage")

    async def _exchange(
        self, isid: bytes, now: int, following: int, pairs: TextPairs
    ) -> tuple[TextPairs, bool]:
        """One step of the login: what the node says, in as many PDUs as it takes, and whether the stage is
        left.
        """
        flags = now << 2 | (FINAL | following if following != now else 0)
        data, text = pack_text(pairs), b""
        while True:
            self._write(
                Pdu(Op.LOGIN, flags, lun=isid + b"\0\0", tag=0, data=data, immediate=True), number=True
            )
            answer = await read_pdu(self._reader)
            if answer.opcode != Op.LOGIN_RESPONSE or answer.words[4] >> 16:
                raise PduError(PduError.PROTOCOL, f"login refused with {answer.words[4] >> 16:#06x}", answer)
            self._numbers(answer, status=True)
            text += answer.data
            if len(text) > TEXT_MAX_BYTES or answer.flags >> 2 & 3 != now:
                raise PduError(PduError.PROTOCOL, "a login response out of place", answer)
            if not answer.flags & CONTINUE:
                break
            data = b""
        final = bool(answer.flags & FINAL)
        if final and answer.flags & 3 != following:
            raise PduError(PduError.PROTOCOL, "a login response out of place", answer)
        try:
            return parse_text(text), final
        except NegotiationError as error:
            raise PduError(PduError.PROTOCOL, str(error), answer) from None

    async def execute(self, command: scsi.Command, ahs: bytes = b"") -> scsi.Reply:
        """Send a command, with as much of its data as goes along; the target asks for the rest."""
        tag, sent = next(self._tags) % RESERVED_TAG, self._loop.time()
        flight = self._flights[tag] = Flight(command, self._loop.create_future())
        agreed = self._agreed
        first = min(agreed.send_segment, agreed.first_burst)
        data = command.data[:first] if agreed.immediate_data else b""
        flags = FINAL | (0x40 if command.reads else 0) | (0x20 if command.writes else 0) | 1  # simple task
        cdb = [int.from_bytes(command.cdb[n : n + 4], "big") for n in range(0, 16, 4)]
        self._write(
            Pdu(
                Op.SCSI_COMMAND,
                flags,
                lun=pack_lun(command.lun),
                tag=tag,
                data=data,
                ahs=ahs,
                words=[command.length, 0, 0, *cdb],
            ),
            number=True,
        )
        try:
            return await flight.done
        except asyncio.CancelledError:
            # Called off. Where nothing at all was heard since it was sent the session is lost too: it
            # would swallow what comes after it.
            if self._heard < sent:
                self._fail("silent")
            else:
                self._write(
                    Pdu(
                        Op.TASK_MANAGEMENT,
                        FINAL | 1,
                        lun=pack_lun(command.lun),
                        tag=next(self._tags) % RESERVED_TAG,
                        immediate=True,
                        words=[tag, 0, 0, self._cmd_sn, 0, 0, 0],
                    ),
                    number=True,
                )
            raise
        finally:
            self._flights.pop(tag, None)
            self._used = self._loop.time()
            if self.over and not self._flights:
                self.end()

    def end(self) -> None:
        """No new commands; log out once the last one has ended."""
        self.over = True
        if not self._flights and not self._writer.is_closing():
            self._write(
                Pdu(Op.LOGOUT, FINAL, tag=next(self._tags) % RESERVED_TAG, immediate=True), number=True
            )
            self._writer.close()  # what is written still goes out

    def _fail(self, why: str) -> None:
        """The session is over, now: every command in flight may have run."""
        self.over = True
        for flight in self._flights.values():
            if not flight.done.done():
                flight.done.set_exception(LostError(why))
        self._writer.transport.abort()  # a peer that takes nothing must not hold what was written to it
        if self._receiver is not None and self._receiver is not asyncio.current_task():
            self._receiver.cancel()

    def _write(self, pdu: Pdu, number: bool = False) -> None:
        if number:
            pdu.words[1], pdu.words[2] = self._cmd_sn, self._exp_stat_sn
            if not pdu.immediate:
                self._cmd_sn = (self._cmd_sn + 1) & RESERVED_TAG
        else:
            pdu.words[2] = self._exp_stat_sn
        if not self._writer.is_closing():
            self._writer.write(pdu.encode(self._agreed.header_digest, self._agreed.data_digest))

    def _numbers(self, pdu: Pdu, status: bool) -> None:
        if status:
            self._exp_stat_sn = (pdu.words[1] + 1) & RESERVED_TAG
        if serial_distance(pdu.words[3], self._max_cmd_sn) > 0 or not self._flights:
            self._max_cmd_sn = pdu.words[3]

    async def _receive(self) -> None:
        """Take what the target says until the session ends."""
        why = "the target closed the connection"
        try:
            while True:
                pdu = await read_pdu(
                    self._reader, MAX_DATA_SEGMENT_BYTES, self._agreed.header_digest, self._agreed.data_digest
                )
                self._heard = self._loop.time()
                self._take(pdu)
        except (OSError, EOFError):
            pass
        except (HeaderDigestError, DataDigestError):
            why = "spoilt on the way"  # at recovery level 0 a session ends with it (7.8)
            self._counters["digests.node"] += 1
            log.warning("node's PDU spoilt")
        except PduError as error:
            why = str(error)
            log.warning("node broke the protocol", extra={"error": why})
        except asyncio.CancelledError:
            return
        self._fail(why)

    def _take(self, pdu: Pdu) -> None:
        flight = self._flights.get(pdu.tag)
        if pdu.opcode == Op.SCSI_RESPONSE:
            self._numbers(pdu, status=True)
            if flight is not None:
                self._respond(flight, pdu)
        elif pdu.opcode == Op.DATA_IN:
            self._numbers(pdu, status=bool(pdu.flags & 1))
            if flight is not None:
                self._data_in(flight, pdu)
        elif pdu.opcode == Op.R2T:
            self._numbers(pdu, status=False)
            if flight is not None:
                self._data_out(flight, pdu)
        elif pdu.opcode == Op.NOP_IN:
            self._numbers(pdu, status=pdu.tag != RESERVED_TAG)
            if pdu.words[0] != RESERVED_TAG:  # a ping
                self._write(
                    Pdu(
                        Op.NOP_OUT, lun=pdu.lun, immediate=True, words=[pdu.words[0]] + [0] * 6, data=pdu.data
                    ),
                    number=True,
                )
        elif pdu.opcode in (Op.TASK_MANAGEMENT_RESPONSE, Op.LOGOUT_RESPONSE):
            self._numbers(pdu, status=True)
        elif pdu.opcode == Op.ASYNC:
            self._numbers(pdu, status=True)
            if pdu.words[4] >> 24 in (1, 2, 3):  # asks for a logout, or drops the connection or all
                self.over = True
                if not self._flights:
                    self.end()
        else:
            raise PduError(PduError.PROTOCOL, f"opcode {pdu.opcode:#04x}", pdu)

    def _respond(self, flight: Flight, pdu: Pdu) -> None:
        if flight.done.done():
            return
        if pdu.byte2 != 0:  # the target failed to carry it out, or not
            flight.done.set_result(scsi.Reply(scsi.Status.TASK_ABORTED))
            return
        sense = pdu.data[2 : 2 + int.from_bytes(pdu.data[:2], "big")]
        flight.done.set_result(scsi.Reply(pdu.byte3, bytes(flight.data), sense, _residual(pdu)))

    def _data_in(self, flight: Flight, pdu: Pdu) -> None:
        if pdu.words[5] != len(flight.data) or len(flight.data) + len(pdu.data) > flight.command.length:
            raise PduError(PduError.PROTOCOL, "data out of place", pdu)
        flight.data += pdu.data
        if pdu.flags & 1 and not flight.done.done():
            flight.done.set_result(scsi.Reply(pdu.byte3, bytes(flight.data), b"", _residual(pdu)))

    def _data_out(self, flight: Flight, pdu: Pdu) -> None:
        """What the target asks for, in PDUs that it takes."""
        start, end = pdu.words[5], pdu.words[5] + pdu.words[6]
        if not start < end <= len(flight.command.data) or end - start > self._agreed.max_burst:
            raise PduError(PduError.PROTOCOL, "asks for data that there is not", pdu)
        for count, offset in enumerate(range(start, end, self._agreed.send_segment)):
            until = min(offset + self._agreed.send_segment, end)
            self._write(
                Pdu(
                    Op.DATA_OUT,
                    FINAL if until == end else 0,
                    lun=pdu.lun,
                    tag=pdu.tag,
                    data=flight.command.data[offset:until],
                    words=[pdu.words[0], 0, 0, 0, count, offset, 0],
                )
            )


def _residual(pdu: Pdu) -> int:
    """What a status says was not moved, negative for what there was more."""
    return pdu.words[6] if pdu.flags & 0x02 else -pdu.words[6] if pdu.flags & 0x04 else 0


_isid = itertools.count(1)

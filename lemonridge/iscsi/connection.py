"""One TCP connection of an initiator: its login, its PDUs in and out, its status numbers, its pings."""

from __future__ import annotations

import asyncio
import logging
import secrets
from typing import TYPE_CHECKING

from lemonridge.iscsi.keys import NegotiatedParameters
from lemonridge.iscsi.login import AUTHENTICATION_FAILURE, TargetLogin
from lemonridge.iscsi.numbers import StatusLog
from lemonridge.iscsi.pdu import (
    RESERVED_TAG,
    DataDigestError,
    HeaderDigestError,
    Op,
    Pdu,
    PduError,
    read_pdu,
)

if TYPE_CHECKING:
    from lemonridge.iscsi.portal import IscsiFront
    from lemonridge.iscsi.session import Session

log = logging.getLogger(__name__)

LOGIN_S = 5.0  # from the connection to the end of its login
LINGER_S = 1.0  # for the last words to a peer; one that takes nothing must not hold what was written


class Connection:
    """A connection; with its login it becomes part of a session."""

    def __init__(self, front: IscsiFront, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.front, self.reader, self.writer = front, reader, writer
        peer = writer.get_extra_info("peername") or ("",)
        self.peer = str(peer[0])
        self.cid = 0
        self.agreed = NegotiatedParameters()
        self.session: Session | None = None
        self.statuses: StatusLog[Pdu] = StatusLog(1, 0)
        self.unseen: set[int] = set()  # tags of pings that the initiator has not answered
        self.heard = front.loop.time()
        self.over = False
        self._pinger: asyncio.TimerHandle | None = None

    async def run(self) -> None:
        """Login, then PDU after PDU until logout, the end of the connection or a breach of the protocol."""
        try:
            async with asyncio.timeout_at(self.front.loop.time() + LOGIN_S):
                login = await self._login()
        except TimeoutError:
            return
        except PduError as error:
            log.warning("login broken", extra={"peer": self.peer, "error": str(error)})
            return
        if login is None:
            return
        self.agreed = login.parameters
        self.session = session = self.front.admit(self, login)
        self.statuses.capacity = (
            self.front.config.max_unacknowledged_statuses if self.agreed.recovery_level else 0
        )
        self._watch()
        try:
            while not self.over and session.take(self, await self._read(session)):
                await self.writer.drain()
        except HeaderDigestError:
            self.front.counters["digests.header"] += 1
            log.warning("header spoilt", extra={"peer": self.peer, "cid": self.cid})
        except PduError as error:
            # A breach of the protocol: a word about its cause, and the end of the connection.
            self.front.counters["pdus.rejected"] += 1
            log.warning("rejected", extra={"peer": self.peer, "error": str(error)})
            self.reject(error.pdu, error.reason)
        await self.writer.drain()

    async def _read(self, session: Session) -> Pdu:
        """The next PDU whose data are sound. One that came spoilt is told of, and recovered or not by its
        level (7.8): at level 0 the connection ends.
        """
        while True:
            try:
                pdu = await read_pdu(
                    self.reader, self.agreed.recv_segment, self.agreed.header_digest, self.agreed.data_digest
                )
                self.heard = self.front.loop.time()
                return pdu
            except DataDigestError as error:
                self.front.counters["digests.data"] += 1
                if not self.agreed.recovery_level:
                    raise PduError(PduError.DIGEST, "a data digest at recovery level 0", error.pdu) from None
                self.reject(error.pdu, PduError.DIGEST)
                session.spoilt(self, error.pdu)

    async def _login(self) -> TargetLogin | None:
        front = self.front
        if not front.attempts.allows(self.peer, front.clock.now_us()):
            front.counters["logins.barred"] += 1
            return None
        login = TargetLogin(front.rules)
        first = True
        while True:
            pdu = await read_pdu(self.reader)
            if pdu.opcode != Op.LOGIN:
                raise PduError(PduError.PROTOCOL, "not a login request", pdu)
            if first:
                front.expected[self] = pdu.words[1]
                self.cid, first = pdu.words[0] >> 16, False
            reply = login.answer(pdu)
            if reply.status:
                front.counters["logins.refused"] += 1
                if reply.status == AUTHENTICATION_FAILURE:
                    front.counters["logins.unauthenticated"] += 1
                    front.attempts.record_failure(self.peer, front.clock.now_us())
                log.warning(
                    "login refused",
                    extra={"peer": self.peer, "status": f"{reply.status:#06x}", "why": login.refusal_reason},
                )
            lun = pdu.lun
            if reply.login_ended and not reply.status:
                lun = lun[:6] + front.tsih_for(login).to_bytes(2, "big")
            answer = Pdu(
                Op.LOGIN_RESPONSE,
                reply.flags,
                lun=lun,
                tag=pdu.tag,
                data=reply.data,
                words=[0, 0, front.expected[self], 0, reply.status << 16, 0, 0],
            )
            self._number(answer)
            answer.words[3] = (front.expected[self] + front.config.queue_depth - 1) & RESERVED_TAG
            self.writer.write(answer.encode())
            await self.writer.drain()
            if reply.login_ended:
                return None if reply.status else login

    # What goes out

    def send(self, pdu: Pdu, status: bool = False) -> None:
        """Write with this connection's and its session's numbers; what carries status takes a StatSN."""
        if status:
            self._number(pdu)
        else:
            pdu.words[1] = self.statuses.next_stat_sn
        self.again(pdu)

    def again(self, pdu: Pdu) -> None:
        """Write a PDU under the StatSN that it has, with the command numbers of this moment."""
        if self.session is not None:
            pdu.words[2], pdu.words[3] = self.session.numbers()
        if not self.writer.is_closing():
            self.writer.write(pdu.encode(self.agreed.header_digest, self.agreed.data_digest))

    def _number(self, pdu: Pdu) -> None:
        pdu.words[1] = self.statuses.next_stat_sn
        self.statuses.assign_stat_sn(pdu)

    def reject(self, pdu: Pdu | None, reason: int) -> None:
        self.front.counters[f"rejects.{reason:#04x}"] += 1
        self.send(Pdu(Op.REJECT, byte2=reason, data=pdu.encode()[:48] if pdu else b""), status=True)

    # Its life

    def _watch(self) -> None:
        """Ping a peer that says nothing; one that then still says nothing is gone (11.19)."""
        every = self.front.config.ping_s
        if not every or self.over:
            return
        silent = self.front.loop.time() - self.heard
        if silent >= 2 * every:
            log.info("initiator silent", extra={"peer": self.peer, "cid": self.cid})
            self.front.counters["connections.silent"] += 1
            self.writer.transport.abort()
            return
        if silent >= every and not self.unseen:
            tag = secrets.randbelow(RESERVED_TAG)
            self.unseen.add(tag)
            self.send(Pdu(Op.NOP_IN, words=[tag, 0, 0, 0, 0, 0, 0]))
        self._pinger = self.front.loop.call_later(every / 4, self._watch)

    def close(self) -> None:
        """End it; what is written still goes out, for a while."""
        if self.over:
            return
        self.over = True
        if self._pinger is not None:
            self._pinger.cancel()
        self.writer.close()
        self.front.loop.call_later(LINGER_S, self.writer.transport.abort)

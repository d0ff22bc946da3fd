"""The target's side of the login phase (RFC 7143, chapter 6 and sections 11.12 and 11.13). Pure.

It is fed the login requests of one connection, and says what to answer: text split over PDUs both ways, the
security stage with CHAP, the operational stage, and whether the connection leads a new session, takes the
place of an old one or joins it. It neither reads nor writes a socket, and the caller brings random bytes and
what sessions there are.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field, replace

from lemonridge.iscsi import chap, keys
from lemonridge.iscsi.keys import (
    NegotiatedParameters,
    NegotiationError,
    NegotiationPreferences,
    Responder,
    TextPairs,
)
from lemonridge.iscsi.pdu import CONTINUE, FINAL, Pdu, pack_text

SECURITY, OPERATIONAL, FULL_FEATURE = 0, 1, 3
TEXT_MAX_BYTES = 16 * 1024  # of the text of one exchange
ANSWER_MAX = 8192  # of the data segment of one login response
# Status class and detail (11.13.5)
FAILED, AUTHENTICATION_FAILURE, FORBIDDEN, NOT_FOUND, VERSION = 0x0200, 0x0201, 0x0202, 0x0203, 0x0205
TOO_MANY, MISSING, NOT_INCLUDED, TYPE, NO_SESSION, INVALID = 0x0206, 0x0207, 0x0208, 0x0209, 0x020A, 0x020B
UNAVAILABLE, FULL = 0x0301, 0x0302
_IDENTITY = frozenset(("InitiatorName", "TargetName", "SessionType", "InitiatorAlias", "AuthMethod"))


@dataclass(frozen=True, slots=True)
class TargetRule:
    """One target: who may log in, and by which accounts; no accounts is no authentication."""

    name: str
    initiators: frozenset[str] = frozenset()  # empty: every name
    accounts: Mapping[str, chap.Account] = field(default_factory=dict)

    def admits(self, initiator: str) -> bool:
        return not self.initiators or initiator in self.initiators


@dataclass(frozen=True, slots=True)
class ExistingSession:
    """A session that is there, as a further connection's login needs it."""

    tsih: int
    isid: bytes
    initiator: str
    target: str
    parameters: NegotiatedParameters
    connections: frozenset[int]
    discovery: bool


@dataclass(frozen=True, slots=True)
class LoginPolicy:
    """What a login is held against."""

    targets: Mapping[str, TargetRule]
    preferences: NegotiationPreferences
    session: Callable[[int], ExistingSession | None]  # by TSIH
    room: Callable[[], bool]  # for one session more
    stopping: Callable[[], bool]
    random: Callable[[int], bytes]


@dataclass(frozen=True, slots=True)
class LoginReply:
    """One login response; `status` other than 0 ends the login, and so does `over`."""

    flags: int
    data: bytes = b""
    status: int = 0
    login_ended: bool = False


class _RefusedError(Exception):
    def __init__(self, status: int, why: str) -> None:
        super().__init__(why)
        self.status = status


class TargetLogin:
    """One connection's login."""

    def __init__(self, rules: LoginPolicy) -> None:
        self._rules = rules
        self._stage, self._text, self._out = -1, b"", b""
        self._pending: tuple[bool, int] | None = None  # a transit that waits until all text is out
        self._identified = False
        self._chap: chap.Target | None = None
        self._passed = False  # authenticated, or none is wanted
        self._rule: TargetRule | None = None
        self._responder = Responder(rules.preferences)
        self.initiator = self.target = ""
        self.discovery = False
        self.isid, self.cid, self.tsih = b"", 0, 0
        self.existing_session: ExistingSession | None = None
        self.refusal_reason = ""  # a refusal, in words for the log

    @property
    def parameters(self) -> NegotiatedParameters:
        """What was agreed; of a joining connection, with its session's own figures."""
        made = self._responder.parameters.with_valid_first_burst()
        if self.existing_session is None:
            return made
        return replace(
            self.existing_session.parameters,
            header_digest=made.header_digest,
            data_digest=made.data_digest,
            send_segment=made.send_segment,
            recv_segment=made.recv_segment,
        )

    @property
    def private_keys(self) -> dict[str, str]:
        return self._responder.private_keys

    def answer(self, pdu: Pdu) -> LoginReply:
        """Answer one login request."""
        try:
            return self._take(pdu)
        except _RefusedError as error:
            self.refusal_reason = str(error)
            return LoginReply(0, status=error.status, login_ended=True)
        except chap.ChapError as error:
            self.refusal_reason = str(error)
            return LoginReply(0, status=AUTHENTICATION_FAILURE, login_ended=True)
        except NegotiationError as error:
            self.refusal_reason = str(error)
            return LoginReply(0, status=FAILED, login_ended=True)

    def _take(self, pdu: Pdu) -> LoginReply:
        now, following, transit = pdu.flags >> 2 & 3, pdu.flags & 3, bool(pdu.flags & FINAL)
        self._sane(pdu, now, following, transit)
        self._stage = now
        if self._out:  # the initiator asks for the rest of a long answer
            if pdu.data:
                raise _RefusedError(INVALID, "data while an answer is not complete")
            return self._reply(now)
        self._text += pdu.data
        if len(self._text) > TEXT_MAX_BYTES:
            raise _RefusedError(INVALID, "too much text")
        if pdu.flags & CONTINUE:
            return LoginReply(now << 2)
        told, self._text = keys.parse_text(self._text), b""
        answers = self._answers(now, told)
        if transit and not self._may_leave(now):
            transit = False
        self._pending = (transit, following)
        self._out = pack_text(answers)
        return self._reply(now)

    def _reply(self, now: int) -> LoginReply:
        """The next part of the answer; the stage is left with the last."""
        part, self._out = self._out[:ANSWER_MAX], self._out[ANSWER_MAX:]
        if self._out:
            return LoginReply(CONTINUE | now << 2, part)
        transit, following = self._pending or (False, 0)
        if not transit:
            return LoginReply(now << 2, part)
        self._stage = following
        return LoginReply(FINAL | now << 2 | following, part, login_ended=following == FULL_FEATURE)

    def _sane(self, pdu: Pdu, now: int, following: int, transit: bool) -> None:
        """The rules on stages and flags (11.12.1 to 11.12.4)."""
        if pdu.byte3 > 0:
            raise _RefusedError(VERSION, f"version {pdu.byte3} at least")
        if self._rules.stopping():
            raise _RefusedError(UNAVAILABLE, "stopping")
        first = self._stage < 0
        if first:
            self.isid, self.tsih, self.cid = pdu.lun[:6], int.from_bytes(pdu.lun[6:]), pdu.words[0] >> 16
        elif pdu.lun[:6] != self.isid or pdu.words[0] >> 16 != self.cid:
            raise _RefusedError(INVALID, "ISID or CID changed in the login")
        steps = now in (SECURITY, OPERATIONAL) and (not transit or following in (OPERATIONAL, FULL_FEATURE))
        if (
            not steps
            or (transit and following <= now)
            or (not first and now != self._stage)
            or (transit and pdu.flags & CONTINUE)
        ):
            raise _RefusedError(INVALID, f"stage {now} to {following} after {self._stage}")

    def _answers(self, now: int, told: TextPairs) -> TextPairs:
        values = dict(told)
        answers: TextPairs = []
        if not self._identified:
            self._identify(values)
            self._identified = True
            if not self.discovery:
                answers.append(("TargetPortalGroupTag", "1"))
        elif any(name in values for name in ("InitiatorName", "TargetName", "SessionType")):
            raise NegotiationError("a name is given twice")
        if now == SECURITY:
            answers += self._security(values)
        elif not self._passed:
            raise _RefusedError(AUTHENTICATION_FAILURE, "authentication is wanted")
        skip = _IDENTITY | {name for name in values if name.startswith("CHAP_")}
        return answers + self._responder.answer(told, skip, declare=now == OPERATIONAL)

    def _identify(self, values: dict[str, str]) -> None:
        """Who asks for what; the first request must say so (13.4, 13.5)."""
        self.initiator = values.get("InitiatorName", "")
        if not self.initiator:
            raise _RefusedError(MISSING, "no InitiatorName")
        kind = values.get("SessionType", "Normal")
        if kind not in ("Normal", "Discovery"):
            raise _RefusedError(TYPE, f"session type {kind}")
        self.discovery = kind == "Discovery"
        if self.discovery:
            rules = [rule for rule in self._rules.targets.values() if rule.admits(self.initiator)]
            if not rules:
                raise _RefusedError(FORBIDDEN, f"{self.initiator} may not log in")
            accounts = [rule.accounts for rule in rules]
            self._accounts = {name: one for part in accounts for name, one in part.items()}
            self._passed = not all(accounts)
        else:
            if "TargetName" not in values:
                raise _RefusedError(MISSING, "no TargetName")
            self.target = values["TargetName"]
            rule = self._rules.targets.get(self.target)
            if rule is None:
                raise _RefusedError(NOT_FOUND, f"no target {self.target}")
            if not rule.admits(self.initiator):
                raise _RefusedError(FORBIDDEN, f"{self.initiator} may not log in to {self.target}")
            self._accounts = dict(rule.accounts)
            self._passed = not rule.accounts
        self._join()

    def _join(self) -> None:
        """TSIH 0 leads a session, which may take the place of one with the same names and ISID (6.3.5);
        another names the session to join.
        """
        if not self.tsih:
            if not self._rules.room():
                raise _RefusedError(FULL, "too many sessions")
            return
        known = self._rules.session(self.tsih)
        if known is None or (known.isid, known.initiator) != (self.isid, self.initiator):
            raise _RefusedError(NO_SESSION, f"no session {self.tsih}")
        if known.discovery or self.discovery or known.target != self.target:
            raise _RefusedError(NOT_INCLUDED, "the session is of another kind")
        if self.cid not in known.connections and len(known.connections) >= known.parameters.max_connections:
            raise _RefusedError(TOO_MANY, "too many connections")
        self.existing_session = known
        self._responder = Responder(self._rules.preferences, leading=False)

    def _security(self, values: dict[str, str]) -> TextPairs:
        answers: TextPairs = []
        if "AuthMethod" in values:
            offered = values["AuthMethod"].split(",")
            wanted = keys.NONE if self._passed else "CHAP"
            if wanted not in offered:
                raise _RefusedError(
                    AUTHENTICATION_FAILURE, f"AuthMethod {values['AuthMethod']}, {wanted} is wanted"
                )
            answers.append(("AuthMethod", wanted))
            if not self._passed:
                self._chap = chap.Target(self._accounts, self._rules.random)
                if "CHAP_A" not in values:
                    return answers
        if self._chap is not None:
            if any(name.startswith("CHAP_") for name in values):
                answers += self._chap.answer(values)
                self._passed = self._chap.step is chap.Step.DONE
        elif any(name.startswith("CHAP_") for name in values):
            raise chap.ChapError("CHAP was not agreed on")
        return answers

    def _may_leave(self, now: int) -> bool:
        """Whether the stage may be left as the initiator asks."""
        if now == SECURITY and not self._passed:
            if self._chap is None:
                raise _RefusedError(AUTHENTICATION_FAILURE, "authentication is wanted")
            return False
        return True


class FailedLoginLimiter:
    """Bounds failed logins a peer: past `most` within `span_us` it is refused before it says a word.

    `peers_max` bounds the table; the peer whose failure is oldest makes room.
    """

    def __init__(self, most: int = 10, span_us: int = 60_000_000, peers_max: int = 1024) -> None:
        self._most, self._span_us, self._peers_max = most, span_us, peers_max
        self._failed: OrderedDict[str, list[int]] = OrderedDict()

    def record_failure(self, peer: str, now_us: int) -> None:
        marks = [at for at in self._failed.pop(peer, ()) if at > now_us - self._span_us]
        self._failed[peer] = [*marks, now_us][-self._most :]
        while len(self._failed) > self._peers_max:
            self._failed.popitem(last=False)

    def record_success(self, peer: str) -> None:
        self._failed.pop(peer, None)

    def allows(self, peer: str, now_us: int) -> bool:
        marks = [at for at in self._failed.get(peer, ()) if at > now_us - self._span_us]
        return len(marks) < self._most

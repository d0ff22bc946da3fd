"""The target's side of the login phase (RFC 7143, chapter 6 and sections 11.12 and 11.13). No I/O.

`TargetLogin` receives the login requests of one connection and returns the responses. It handles text that is
split over several PDUs in either direction, the security stage with CHAP, the operational stage, and whether
the connection leads a new session, replaces a session or joins an existing one. The caller provides random
bytes and looks up existing sessions.
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
RESPONSE_DATA_MAX_BYTES = 8192  # data segment of one login response
# Status-Class and Status-Detail of a login response (RFC 7143, 11.13.5)
INITIATOR_ERROR, AUTHENTICATION_FAILURE, AUTHORIZATION_FAILURE, NOT_FOUND, UNSUPPORTED_VERSION = (
    0x0200,
    0x0201,
    0x0202,
    0x0203,
    0x0205,
)
(
    TOO_MANY_CONNECTIONS,
    MISSING_PARAMETER,
    CANNOT_INCLUDE_IN_SESSION,
    SESSION_TYPE_NOT_SUPPORTED,
    SESSION_DOES_NOT_EXIST,
    INVALID_DURING_LOGIN,
) = (0x0206, 0x0207, 0x0208, 0x0209, 0x020A, 0x020B)
SERVICE_UNAVAILABLE, OUT_OF_RESOURCES = 0x0301, 0x0302
# Keys that the responder for operational keys does not answer
_HANDLED_SEPARATELY = frozenset(
    ("InitiatorName", "TargetName", "SessionType", "InitiatorAlias", "AuthMethod")
)


@dataclass(frozen=True, slots=True)
class TargetRule:
    """Access rules of one target.

    Attributes:
        name: iSCSI name of the target.
        initiators: iSCSI names that may log in; empty permits every name.
        accounts: CHAP accounts by name; empty requires no authentication.
    """

    name: str
    initiators: frozenset[str] = frozenset()
    accounts: Mapping[str, chap.Account] = field(default_factory=dict)

    def admits(self, initiator: str) -> bool:
        """Returns whether the initiator may log in, apart from authentication."""
        return not self.initiators or initiator in self.initiators


@dataclass(frozen=True, slots=True)
class ExistingSession:
    """The properties of an existing session that the login of a further connection needs.

    Attributes:
        tsih: TSIH of the session.
        isid: ISID of the session, 6 bytes.
        initiator: iSCSI name of the initiator.
        target: iSCSI name of the target.
        parameters: Negotiated parameters of the session.
        connections: CIDs of its connections.
        discovery: Whether it is a discovery session.
    """

    tsih: int
    isid: bytes
    initiator: str
    target: str
    parameters: NegotiatedParameters
    connections: frozenset[int]
    discovery: bool


@dataclass(frozen=True, slots=True)
class LoginPolicy:
    """The rules and callbacks by which logins are decided.

    Attributes:
        targets: Access rules by target name.
        preferences: Values that this side accepts in the negotiation.
        find_session: Returns the session with a TSIH, or None.
        has_room: Returns whether another session may be opened.
        is_stopping: Returns whether the front is shutting down and refuses logins.
        random_bytes: Returns the given number of random bytes.
    """

    targets: Mapping[str, TargetRule]
    preferences: NegotiationPreferences
    find_session: Callable[[int], ExistingSession | None]
    has_room: Callable[[], bool]
    is_stopping: Callable[[], bool]
    random_bytes: Callable[[int], bytes]


@dataclass(frozen=True, slots=True)
class LoginReply:
    """One login response.

    Attributes:
        flags: Flags byte: T and C bits, current and next stage (RFC 7143, 11.13).
        data: Text of the response.
        status: Status-Class and Status-Detail; a value other than 0 refuses the login.
        login_ended: Whether the login has ended, by success or by refusal.
    """

    flags: int
    data: bytes = b""
    status: int = 0
    login_ended: bool = False


class _RefusedError(Exception):
    """The login is refused with `status`; the message is for the log."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status


class TargetLogin:
    """The login of one connection.

    Attributes:
        initiator: iSCSI name of the initiator.
        target: iSCSI name of the target; empty for a discovery session.
        discovery: Whether the initiator requests a discovery session.
        isid: ISID of the session, 6 bytes.
        cid: CID of the connection.
        tsih: TSIH that the initiator sent, 0 for a new session; the front assigns that session's TSIH.
        existing_session: The session that the connection joins; None if it leads a new one.
        refusal_reason: Reason for a refusal, for the log.
    """

    def __init__(self, policy: LoginPolicy) -> None:
        """Creates the state of a login that has not begun."""
        self._policy = policy
        self._stage, self._received_text, self._unsent_text = -1, b"", b""
        self._pending_transition: tuple[bool, int] | None = None  # takes effect once all text is sent
        self._identified = False
        self._chap: chap.Target | None = None
        self._authenticated = False  # also True if no authentication is required
        self._rule: TargetRule | None = None
        self._responder = Responder(policy.preferences)
        self.initiator = self.target = ""
        self.discovery = False
        self.isid, self.cid, self.tsih = b"", 0, 0
        self.existing_session: ExistingSession | None = None
        self.refusal_reason = ""

    @property
    def parameters(self) -> NegotiatedParameters:
        """The negotiated parameters.

        A connection that joins a session has the session's parameters, except for digests and data segment
        lengths, which are negotiated per connection.
        """
        negotiated = self._responder.parameters.with_valid_first_burst()
        if self.existing_session is None:
            return negotiated
        return replace(
            self.existing_session.parameters,
            header_digest=negotiated.header_digest,
            data_digest=negotiated.data_digest,
            send_segment=negotiated.send_segment,
            recv_segment=negotiated.recv_segment,
        )

    @property
    def private_keys(self) -> dict[str, str]:
        """Supported private keys that the initiator sent, with their values."""
        return self._responder.private_keys

    def answer(self, pdu: Pdu) -> LoginReply:
        """Returns the response to one login request."""
        try:
            return self._answer_request(pdu)
        except _RefusedError as error:
            self.refusal_reason = str(error)
            return LoginReply(0, status=error.status, login_ended=True)
        except chap.ChapError as error:
            self.refusal_reason = str(error)
            return LoginReply(0, status=AUTHENTICATION_FAILURE, login_ended=True)
        except NegotiationError as error:
            self.refusal_reason = str(error)
            return LoginReply(0, status=INITIATOR_ERROR, login_ended=True)

    def _answer_request(self, pdu: Pdu) -> LoginReply:
        """Returns the response to a permitted request; raises on any violation of the rules."""
        stage, next_stage, transit = pdu.flags >> 2 & 3, pdu.flags & 3, bool(pdu.flags & FINAL)
        self._check_stage_and_flags(pdu, stage, next_stage, transit)
        self._stage = stage
        if self._unsent_text:  # an empty request asks for the rest of a long response
            if pdu.data:
                raise _RefusedError(INVALID_DURING_LOGIN, "data sent before the response is complete")
            return self._reply(stage)
        self._received_text += pdu.data
        if len(self._received_text) > keys.TEXT_MAX_BYTES:
            raise _RefusedError(INVALID_DURING_LOGIN, "text is too long")
        if pdu.flags & CONTINUE:
            return LoginReply(stage << 2)
        pairs, self._received_text = keys.parse_text(self._received_text), b""
        answers = self._answer_keys(stage, pairs)
        if transit and not self._may_leave_stage(stage):
            transit = False
        self._pending_transition = (transit, next_stage)
        self._unsent_text = pack_text(answers)
        return self._reply(stage)

    def _reply(self, stage: int) -> LoginReply:
        """Returns the next part of the response; the last part carries the stage transition."""
        part, self._unsent_text = (
            self._unsent_text[:RESPONSE_DATA_MAX_BYTES],
            self._unsent_text[RESPONSE_DATA_MAX_BYTES:],
        )
        if self._unsent_text:
            return LoginReply(CONTINUE | stage << 2, part)
        transit, next_stage = self._pending_transition or (False, 0)
        if not transit:
            return LoginReply(stage << 2, part)
        self._stage = next_stage
        return LoginReply(FINAL | stage << 2 | next_stage, part, login_ended=next_stage == FULL_FEATURE)

    def _check_stage_and_flags(self, pdu: Pdu, stage: int, next_stage: int, transit: bool) -> None:
        """Checks version, stages and flags (RFC 7143, 11.12.1 to 11.12.4).

        Raises:
            _RefusedError: The request violates these rules, or the front is shutting down.
        """
        if pdu.byte3 > 0:
            raise _RefusedError(UNSUPPORTED_VERSION, f"Version-min {pdu.byte3} is not supported")
        if self._policy.is_stopping():
            raise _RefusedError(SERVICE_UNAVAILABLE, "the front is shutting down")
        is_first_request = self._stage < 0
        if is_first_request:
            self.isid, self.tsih, self.cid = pdu.lun[:6], int.from_bytes(pdu.lun[6:]), pdu.words[0] >> 16
        elif pdu.lun[:6] != self.isid or pdu.words[0] >> 16 != self.cid:
            raise _RefusedError(INVALID_DURING_LOGIN, "ISID or CID changed during the login")
        valid_stages = stage in (SECURITY, OPERATIONAL) and (
            not transit or next_stage in (OPERATIONAL, FULL_FEATURE)
        )
        if (
            not valid_stages
            or (transit and next_stage <= stage)
            or (not is_first_request and stage != self._stage)
            or (transit and pdu.flags & CONTINUE)
        ):
            raise _RefusedError(
                INVALID_DURING_LOGIN, f"stage {stage} to {next_stage}, expected {self._stage}"
            )

    def _answer_keys(self, stage: int, pairs: TextPairs) -> TextPairs:
        """Returns the answers to all keys of one complete request."""
        values = dict(pairs)
        answers: TextPairs = []
        if not self._identified:
            self._identify(values)
            self._identified = True
            if not self.discovery:
                answers.append(("TargetPortalGroupTag", "1"))
        elif any(name in values for name in ("InitiatorName", "TargetName", "SessionType")):
            raise NegotiationError("InitiatorName, TargetName or SessionType is sent twice")
        if stage == SECURITY:
            answers += self._answer_security_keys(values)
        elif not self._authenticated:
            raise _RefusedError(AUTHENTICATION_FAILURE, "authentication is required")
        skip = _HANDLED_SEPARATELY | {name for name in values if name.startswith("CHAP_")}
        return answers + self._responder.answer(pairs, skip, declare=stage == OPERATIONAL)

    def _identify(self, values: dict[str, str]) -> None:
        """Stores initiator, target and session type of the first request and checks access.

        RFC 7143, 13.4, 13.5 and 13.21.

        Raises:
            _RefusedError: A name is missing, or the initiator may not log in.
        """
        self.initiator = values.get("InitiatorName", "")
        if not self.initiator:
            raise _RefusedError(MISSING_PARAMETER, "no InitiatorName")
        session_type = values.get("SessionType", "Normal")
        if session_type not in ("Normal", "Discovery"):
            raise _RefusedError(SESSION_TYPE_NOT_SUPPORTED, f"session type {session_type}")
        self.discovery = session_type == "Discovery"
        if self.discovery:
            rules = [rule for rule in self._policy.targets.values() if rule.admits(self.initiator)]
            if not rules:
                raise _RefusedError(AUTHORIZATION_FAILURE, f"{self.initiator} may not log in")
            accounts = [rule.accounts for rule in rules]
            self._accounts = {name: account for by_name in accounts for name, account in by_name.items()}
            # If one of the targets requires no authentication, the list of targets requires none either.
            self._authenticated = not all(accounts)
        else:
            if "TargetName" not in values:
                raise _RefusedError(MISSING_PARAMETER, "no TargetName")
            self.target = values["TargetName"]
            rule = self._policy.targets.get(self.target)
            if rule is None:
                raise _RefusedError(NOT_FOUND, f"no target {self.target}")
            if not rule.admits(self.initiator):
                raise _RefusedError(
                    AUTHORIZATION_FAILURE, f"{self.initiator} may not log in to {self.target}"
                )
            self._accounts = dict(rule.accounts)
            self._authenticated = not rule.accounts
        self._find_session()

    def _find_session(self) -> None:
        """Checks that a new session may be opened, or finds the session to join.

        TSIH 0 requests a new session, which replaces a session with the same names and ISID (RFC 7143,
        6.3.5); any other TSIH names the session to join.

        Raises:
            _RefusedError: There are too many sessions or connections, or the session cannot be joined.
        """
        if not self.tsih:
            if not self._policy.has_room():
                raise _RefusedError(OUT_OF_RESOURCES, "too many sessions")
            return
        session = self._policy.find_session(self.tsih)
        if session is None or (session.isid, session.initiator) != (self.isid, self.initiator):
            raise _RefusedError(SESSION_DOES_NOT_EXIST, f"no session with TSIH {self.tsih}")
        if session.discovery or self.discovery or session.target != self.target:
            raise _RefusedError(CANNOT_INCLUDE_IN_SESSION, "the session has another target or type")
        if (
            self.cid not in session.connections
            and len(session.connections) >= session.parameters.max_connections
        ):
            raise _RefusedError(TOO_MANY_CONNECTIONS, "too many connections")
        self.existing_session = session
        self._responder = Responder(self._policy.preferences, leading=False)

    def _answer_security_keys(self, values: dict[str, str]) -> TextPairs:
        """Returns the answers to AuthMethod and the CHAP keys."""
        answers: TextPairs = []
        if "AuthMethod" in values:
            offered = values["AuthMethod"].split(",")
            required = keys.NONE if self._authenticated else "CHAP"
            if required not in offered:
                raise _RefusedError(
                    AUTHENTICATION_FAILURE, f"AuthMethod {values['AuthMethod']}, {required} is required"
                )
            answers.append(("AuthMethod", required))
            if not self._authenticated:
                self._chap = chap.Target(self._accounts, self._policy.random_bytes)
                if "CHAP_A" not in values:
                    return answers
        if self._chap is not None:
            if any(name.startswith("CHAP_") for name in values):
                answers += self._chap.answer(values)
                self._authenticated = self._chap.step is chap.Step.DONE
        elif any(name.startswith("CHAP_") for name in values):
            raise chap.ChapError("CHAP was not negotiated")
        return answers

    def _may_leave_stage(self, stage: int) -> bool:
        """Returns whether the requested stage transition may take place now."""
        if stage == SECURITY and not self._authenticated:
            if self._chap is None:
                raise _RefusedError(AUTHENTICATION_FAILURE, "authentication is required")
            return False
        return True


class FailedLoginLimiter:
    """Refuses peers with too many failed logins before their login begins.

    The number of peers is bounded; the peer whose last failure is the oldest is removed first.
    """

    def __init__(self, max_failures: int = 10, window_us: int = 60_000_000, max_peers: int = 1024) -> None:
        """Creates a limiter.

        Args:
            max_failures: Failures within `window_us` from which on a peer is refused.
            window_us: Time for which a failure counts, in microseconds.
            max_peers: Maximum number of peers with recorded failures.
        """
        self._max_failures, self._window_us, self._max_peers = max_failures, window_us, max_peers
        self._failures_us: OrderedDict[str, list[int]] = OrderedDict()

    def record_failure(self, peer: str, now_us: int) -> None:
        """Records a failed login of `peer` at `now_us`, in microseconds."""
        times_us = [at_us for at_us in self._failures_us.pop(peer, ()) if at_us > now_us - self._window_us]
        self._failures_us[peer] = [*times_us, now_us][-self._max_failures :]
        while len(self._failures_us) > self._max_peers:
            self._failures_us.popitem(last=False)

    def record_success(self, peer: str) -> None:
        """Forgets the failures of `peer`."""
        self._failures_us.pop(peer, None)

    def allows(self, peer: str, now_us: int) -> bool:
        """Returns whether `peer` may attempt a login at `now_us`, in microseconds."""
        times_us = [at_us for at_us in self._failures_us.get(peer, ()) if at_us > now_us - self._window_us]
        return len(times_us) < self._max_failures

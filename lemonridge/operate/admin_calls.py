"""The operators' calls: one line for the request, one line for the reply. This module performs no I/O."""

from __future__ import annotations

import re
from dataclasses import dataclass
from enum import Enum, StrEnum

from lemonridge.operate.errors import BadCallError

LINE_MAX = 512  # bytes, including the line end; longer lines are rejected without being parsed
POLICY_LINE_MAX = 32_768  # bytes of a line that contains a policy
_ENDPOINT_ID = re.compile(r"[\x21-\x7e]{1,200}")


class AdminCall(Enum):
    """The operators' calls; the value is the first word of the line."""

    READY = "ready"
    DISABLE = "disable-server"
    ENABLE = "enable-server"
    DRAIN = "drain"
    RESUME = "resume"
    FLEET = "fleet"
    POLICY = "policy"
    PROPOSE = "policy-propose"
    ABORT = "policy-abort"
    ADMIT = "policy-admit"
    RETIRE = "policy-retire"
    FORCE = "policy-force"


CALLS_WITH_ID = frozenset((AdminCall.DISABLE, AdminCall.ENABLE, AdminCall.RETIRE))
CALLS_WITH_JSON = {call.value.encode(): call for call in (AdminCall.PROPOSE, AdminCall.FORCE)}
POLICY_CALLS = frozenset(
    (AdminCall.POLICY, AdminCall.PROPOSE, AdminCall.ABORT, AdminCall.ADMIT, AdminCall.RETIRE, AdminCall.FORCE)
)


@dataclass(frozen=True, slots=True)
class AdminRequest:
    """A parsed call.

    Attributes:
        call: The call.
        endpoint_id: The endpoint, or for `RETIRE` the broker; empty if the call has no argument.
        text: JSON argument: the policy and a note for `PROPOSE`, the lost brokers and a note for `FORCE`.
    """

    call: AdminCall
    endpoint_id: str = ""
    text: str = ""


class ReplyText(StrEnum):
    """The fixed texts of replies, as sent."""

    BANNED = "out"
    BAN_REJECTED = "unknown node, or too many are out"
    BAN_ENDED = "in use as discovery says"
    UNKNOWN_ENDPOINT = "unknown node"
    TAKING_OVER = "not in charge yet"
    OTHER_PROCESS_SILENT = "the other process of this broker does not answer"
    NO_ENDPOINT_LIST = "no list of nodes yet"
    NOT_LISTENING = "no client can connect"
    NO_POLICY = "no policy in force yet"
    NO_PEERS = "this broker speaks to no peers"
    NO_FLEET_POLICY = "this broker goes by its own file"
    NOT_ANSWERED_HERE = "only ready, fleet and policies are answered here"
    SERVING = "serving"
    CALL_FAILED = "it failed, see the log"


@dataclass(frozen=True, slots=True)
class AdminReply:
    """The reply to a call.

    Attributes:
        done: Whether the requested change is in force.
        text: The result, or the reason of the failure.
    """

    done: bool
    text: str = ""

    def encode(self) -> bytes:
        """Returns the encoded line, including the line end."""
        status = "ACK" if self.done else "NAK"
        return f"{status} {self.text}".rstrip().encode("ascii", "replace") + b"\n"


def line_max(line: bytes) -> int:
    """Returns the maximum length, in bytes, of a line that begins with `line`."""
    return POLICY_LINE_MAX if line.startswith(AdminCall.PROPOSE.value.encode() + b" ") else LINE_MAX


def parse(line: bytes) -> AdminRequest:
    """Parses a line, with or without its line end (LF or CRLF).

    Raises:
        BadCallError: The line is not a valid call.
    """
    if len(line) > line_max(line):
        raise BadCallError("the line is too long")
    first_word, _, argument = line.partition(b" ")
    if first_word in CALLS_WITH_JSON:
        return AdminRequest(CALLS_WITH_JSON[first_word], text=argument.decode("utf-8", "replace").strip())
    try:
        words = line.decode("ascii").split()
    except UnicodeDecodeError:
        raise BadCallError("the line is not plain text") from None
    if not words:
        raise BadCallError("the line is empty")
    try:
        call = AdminCall(words[0])
    except ValueError:
        raise BadCallError(
            f"unknown call; known are {', '.join(known.value for known in AdminCall)}"
        ) from None
    if call not in CALLS_WITH_ID:
        if len(words) > 1:
            raise BadCallError(f"{call.value} takes no further word")
        return AdminRequest(call)
    if len(words) != 2:
        raise BadCallError(f"{call.value} takes one {'broker' if call is AdminCall.RETIRE else 'node id'}")
    if not _ENDPOINT_ID.fullmatch(words[1]):
        raise BadCallError("the node id cannot be read")
    return AdminRequest(call, words[1])

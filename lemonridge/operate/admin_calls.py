"""The operators' calls: one line in, one line out. Pure."""

from __future__ import annotations

import re
from dataclasses import dataclass
from enum import Enum

LINE_MAX = 512  # bytes of a line, its end included; a longer one is refused unread
LONG_MAX = 32_768  # of one that carries a policy
_IDENT = re.compile(r"[\x21-\x7e]{1,200}")


class AdminCall(Enum):
    """What can be asked; the value is the word on the wire."""

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


NAMING = frozenset((AdminCall.DISABLE, AdminCall.ENABLE, AdminCall.RETIRE))  # these name a node, or a broker
TELLING = {one.value.encode(): one for one in (AdminCall.PROPOSE, AdminCall.FORCE)}  # these carry JSON
OF_POLICY = frozenset(
    (AdminCall.POLICY, AdminCall.PROPOSE, AdminCall.ABORT, AdminCall.ADMIT, AdminCall.RETIRE, AdminCall.FORCE)
)


@dataclass(frozen=True, slots=True)
class AdminRequest:
    """One call as it was read; `node` is empty where none is named."""

    call: AdminCall
    endpoint_id: str = ""  # or the broker
    text: str = ""  # JSON: of a proposal the policy and a note, of the emergency call the lost and a note


@dataclass(frozen=True, slots=True)
class AdminReply:
    """The answer: done and in force, or not, with a reason in plain words."""

    done: bool
    why: str = ""

    def encode(self) -> bytes:
        """The line on the wire, its end included."""
        word = "ACK" if self.done else "NAK"
        return f"{word} {self.why}".rstrip().encode("ascii", "replace") + b"\n"


def longest(line: bytes) -> int:
    """How long a line that begins so may be."""
    return LONG_MAX if line.startswith(AdminCall.PROPOSE.value.encode() + b" ") else LINE_MAX


class BadCallError(Exception):
    """A line that is no call; the text is fit to answer with."""


def parse(line: bytes) -> AdminRequest:
    """The call of a line, with or without its end (LF or CRLF); `BadCallError` says what is wrong."""
    if len(line) > longest(line):
        raise BadCallError("the line is too long")
    word, _, rest = line.partition(b" ")
    if word in TELLING:
        return AdminRequest(TELLING[word], text=rest.decode("utf-8", "replace").strip())
    try:
        words = line.decode("ascii").split()
    except UnicodeDecodeError:
        raise BadCallError("the line is not plain text") from None
    if not words:
        raise BadCallError("the line is empty")
    try:
        call = AdminCall(words[0])
    except ValueError:
        raise BadCallError(f"unknown call; known are {', '.join(one.value for one in AdminCall)}") from None
    if call not in NAMING:
        if len(words) > 1:
            raise BadCallError(f"{call.value} takes no further word")
        return AdminRequest(call)
    if len(words) != 2:
        raise BadCallError(f"{call.value} takes one {'broker' if call is AdminCall.RETIRE else 'node id'}")
    if not _IDENT.fullmatch(words[1]):
        raise BadCallError("the node id cannot be read")
    return AdminRequest(call, words[1])

"""CHAP as RFC 7143, section 12.1.3, and RFC 1994 have it. Pure but for the random bytes that the caller
brings.

The target challenges; the initiator may challenge back (mutual). Algorithms by their numbers of the IANA
registry: 5 MD5, 7 SHA-256, 8 SHA3-256 (RFC 7143 asks for MD5, the others come with RFC 7143's successors in
the registry). Comparison takes constant time; a failure never says which half was wrong; a challenge that is
reflected is refused (12.1.3, and section 9.2.1 on its reasons).
"""

from __future__ import annotations

import base64
import binascii
import hashlib
import hmac
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from enum import Enum

from lemonridge.iscsi.keys import TextPairs

ALGORITHMS = {5: "md5", 7: "sha256", 8: "sha3_256"}
PREFERRED = (8, 7, 5)
SECRET_MIN, SECRET_MAX = 12, 255  # bytes; 12 are 96 bits, below which RFC 7143 asks for IPsec (9.2.1)
CHALLENGE_MIN, CHALLENGE_MAX = 16, 1024
NAME_MAX = 255


class ChapError(Exception):
    """Authentication fails; the text is for the log alone."""


@dataclass(frozen=True, slots=True)
class Account:
    """An initiator's name and secret, and this target's own where it proves itself (mutual)."""

    name: str
    secret: bytes
    own_name: str = ""
    own_secret: bytes = b""


def response(algorithm: int, ident: int, secret: bytes, challenge: bytes) -> bytes:
    """RFC 1994, section 4.1: the digest of identifier, secret and challenge."""
    return hashlib.new(ALGORITHMS[algorithm], bytes([ident]) + secret + challenge).digest()


def encode(raw: bytes) -> str:
    return "0x" + raw.hex()


def decode(text: str) -> bytes:
    """A binary value in hexadecimal or base64 (6.1); ChapError if it is neither, or past every bound."""
    if len(text) > 2 * CHALLENGE_MAX + 2:
        raise ChapError("a value is too long")
    try:
        if text[:2] in ("0x", "0X"):
            digits = text[2:]
            return bytes.fromhex(digits if len(digits) % 2 == 0 else "0" + digits)
        if text[:2] in ("0b", "0B"):
            return base64.b64decode(text[2:], validate=True)
    except (ValueError, binascii.Error):
        pass
    raise ChapError("a binary value is malformed")


class Step(Enum):
    """Where the exchange stands."""

    ALGORITHM = "algorithm"
    RESPONSE = "response"
    DONE = "done"


class Target:
    """The target's half of one exchange."""

    def __init__(self, accounts: Mapping[str, Account], random: Callable[[int], bytes]) -> None:
        self._accounts, self._random = accounts, random
        self.step = Step.ALGORITHM
        self.name = ""  # who has proved to be there, once it is done
        self._algorithm, self._ident, self._challenge = 0, 0, b""

    def answer(self, told: Mapping[str, str]) -> TextPairs:
        """The next keys to send; ChapError ends it."""
        if self.step is Step.ALGORITHM:
            return self._challenge_with(told)
        if self.step is Step.RESPONSE:
            return self._check(told)
        raise ChapError("keys after the end of the exchange")

    def _challenge_with(self, told: Mapping[str, str]) -> TextPairs:
        if "CHAP_A" not in told:
            raise ChapError("no algorithm was offered")
        offered = told["CHAP_A"].split(",")
        chosen = next((one for one in offered if one.isdigit() and int(one) in ALGORITHMS), None)
        if chosen is None:
            raise ChapError(f"none of the algorithms is known: {told['CHAP_A']}")
        self._algorithm = int(chosen)
        self._ident, self._challenge = self._random(1)[0], self._random(32)
        self.step = Step.RESPONSE
        return [("CHAP_A", chosen), ("CHAP_I", str(self._ident)), ("CHAP_C", encode(self._challenge))]

    def _check(self, told: Mapping[str, str]) -> TextPairs:
        if "CHAP_N" not in told or "CHAP_R" not in told:
            raise ChapError("name or response is missing")
        name, given = told["CHAP_N"], decode(told["CHAP_R"])
        account = self._accounts.get(name)
        # An unknown name costs the same time as a wrong secret, and gets the same answer.
        secret = account.secret if account is not None else bytes(SECRET_MIN)
        want = response(self._algorithm, self._ident, secret, self._challenge)
        if not hmac.compare_digest(want, given) or account is None:
            raise ChapError("name or secret is wrong")
        answers: TextPairs = []
        if "CHAP_I" in told or "CHAP_C" in told:
            answers = self._prove(account, told)
        self.step, self.name = Step.DONE, name
        return answers

    def _prove(self, account: Account, told: Mapping[str, str]) -> TextPairs:
        """Mutual: answer the initiator's own challenge."""
        ident, challenge = told.get("CHAP_I", ""), decode(told.get("CHAP_C", ""))
        if not ident.isdigit() or int(ident) > 255 or not CHALLENGE_MIN <= len(challenge) <= CHALLENGE_MAX:
            raise ChapError("the initiator's challenge is malformed")
        if challenge == self._challenge:
            raise ChapError("the challenge was reflected")
        if not account.own_secret:
            raise ChapError("the initiator wants a proof that this target has no secret for")
        proof = response(self._algorithm, int(ident), account.own_secret, challenge)
        return [("CHAP_N", account.own_name), ("CHAP_R", encode(proof))]


class Initiator:
    """The initiator's half, towards a node."""

    def __init__(self, account: Account, random: Callable[[int], bytes]) -> None:
        """`account` has the name and secret that the node knows, and as its own the node's, if that must
        prove itself too.
        """
        self._account, self._random = account, random
        self._algorithm, self._ident, self._challenge = 0, 0, b""

    def begin(self) -> TextPairs:
        return [("CHAP_A", ",".join(map(str, PREFERRED)))]

    def respond(self, told: Mapping[str, str]) -> TextPairs:
        """Answer the node's challenge, and challenge it where it must prove itself."""
        chosen, ident = told.get("CHAP_A", ""), told.get("CHAP_I", "")
        if not chosen.isdigit() or int(chosen) not in PREFERRED or not ident.isdigit() or int(ident) > 255:
            raise ChapError("the node's challenge is malformed")
        self._algorithm, challenge = int(chosen), decode(told.get("CHAP_C", ""))
        if not CHALLENGE_MIN <= len(challenge) <= CHALLENGE_MAX:
            raise ChapError("the node's challenge is malformed")
        proof = response(self._algorithm, int(ident), self._account.secret, challenge)
        answers = [("CHAP_N", self._account.name), ("CHAP_R", encode(proof))]
        if self._account.own_secret:
            self._ident, self._challenge = self._random(1)[0], self._random(32)
            while self._challenge == challenge:
                self._challenge = self._random(32)
            answers += [("CHAP_I", str(self._ident)), ("CHAP_C", encode(self._challenge))]
        return answers

    def check(self, told: Mapping[str, str]) -> None:
        """ChapError if the node had to prove itself and did not."""
        if not self._account.own_secret:
            return
        want = response(self._algorithm, self._ident, self._account.own_secret, self._challenge)
        given = decode(told.get("CHAP_R", ""))
        if not hmac.compare_digest(want, given) or told.get("CHAP_N") != self._account.own_name:
            raise ChapError("the node did not prove itself")

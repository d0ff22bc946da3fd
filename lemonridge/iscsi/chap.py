"""CHAP authentication of an iSCSI login (RFC 7143, section 12.1.3, and RFC 1994).

Pure, except for the random bytes that the caller provides.

The target challenges the initiator; with mutual authentication the initiator also challenges the target.
Algorithms are identified by their numbers in the IANA registry: 5 MD5, 7 SHA-256, 8 SHA3-256. RFC 7143
requires MD5; the others were registered by its successors. Responses are compared in constant time, and a
failure does not reveal whether the name or the secret was wrong. A reflected challenge is refused (RFC 7143,
12.1.3; 9.2.1 gives the reasons).
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

# Hash functions by algorithm number, and the numbers that an initiator offers in the order of preference
ALGORITHMS = {5: "md5", 7: "sha256", 8: "sha3_256"}
PREFERRED = (8, 7, 5)
# Lengths in bytes. Below 96 bits, or 12 bytes, a secret requires IPsec (RFC 7143, 9.2.1).
SECRET_MIN, SECRET_MAX = 12, 255
CHALLENGE_MIN, CHALLENGE_MAX = 16, 1024
NAME_MAX = 255


class ChapError(Exception):
    """Authentication failed; the message is only for the log."""


@dataclass(frozen=True, slots=True)
class Account:
    """Credentials of one initiator.

    Attributes:
        name: CHAP name of the initiator.
        secret: Secret of the initiator.
        own_name: CHAP name of the target, for mutual authentication.
        own_secret: Secret of the target, for mutual authentication; empty if there is none.
    """

    name: str
    secret: bytes
    own_name: str = ""
    own_secret: bytes = b""


def response(algorithm: int, ident: int, secret: bytes, challenge: bytes) -> bytes:
    """Returns the CHAP response: the hash of identifier, secret and challenge (RFC 1994, 4.1).

    Args:
        algorithm: Algorithm number, a key of `ALGORITHMS`.
        ident: Identifier of the challenge, 0 to 255.
        secret: Secret of the side that responds.
        challenge: Challenge bytes.
    """
    return hashlib.new(ALGORITHMS[algorithm], bytes([ident]) + secret + challenge).digest()


def encode(raw: bytes) -> str:
    """Returns a binary value in hexadecimal (RFC 7143, 6.1)."""
    return "0x" + raw.hex()


def decode(text: str) -> bytes:
    """Returns the bytes of a binary value in hexadecimal or base64 (RFC 7143, 6.1).

    Raises:
        ChapError: The value is malformed, or longer than any permitted value.
    """
    if len(text) > 2 * CHALLENGE_MAX + 2:
        raise ChapError("binary value is too long")
    try:
        if text[:2] in ("0x", "0X"):
            digits = text[2:]
            return bytes.fromhex(digits if len(digits) % 2 == 0 else "0" + digits)
        if text[:2] in ("0b", "0B"):
            return base64.b64decode(text[2:], validate=True)
    except (ValueError, binascii.Error):
        pass
    raise ChapError("binary value is malformed")


class Step(Enum):
    """The keys that the target expects next."""

    ALGORITHM = "algorithm"  # CHAP_A
    RESPONSE = "response"  # CHAP_N and CHAP_R
    DONE = "done"  # the initiator is authenticated


class Target:
    """The target's side of one CHAP exchange.

    Attributes:
        step: The keys that are expected next.
        name: CHAP name of the initiator once it is authenticated, else empty.
    """

    def __init__(self, accounts: Mapping[str, Account], random: Callable[[int], bytes]) -> None:
        """Creates an exchange.

        Args:
            accounts: Accounts of the initiators by CHAP name.
            random: Returns the given number of random bytes.
        """
        self._accounts, self._random = accounts, random
        self.step = Step.ALGORITHM
        self.name = ""
        self._algorithm, self._ident, self._challenge = 0, 0, b""

    def answer(self, keys: Mapping[str, str]) -> TextPairs:
        """Returns the keys to send in response to the initiator's.

        Raises:
            ChapError: Authentication failed, which ends the exchange.
        """
        if self.step is Step.ALGORITHM:
            return self._send_challenge(keys)
        if self.step is Step.RESPONSE:
            return self._check_response(keys)
        raise ChapError("keys after the end of the exchange")

    def _send_challenge(self, keys: Mapping[str, str]) -> TextPairs:
        """Chooses an offered algorithm and returns the challenge."""
        if "CHAP_A" not in keys:
            raise ChapError("no algorithm was offered")
        offered = keys["CHAP_A"].split(",")
        chosen = next((number for number in offered if number.isdigit() and int(number) in ALGORITHMS), None)
        if chosen is None:
            raise ChapError(f"no offered algorithm is supported: {keys['CHAP_A']}")
        self._algorithm = int(chosen)
        self._ident, self._challenge = self._random(1)[0], self._random(32)
        self.step = Step.RESPONSE
        return [("CHAP_A", chosen), ("CHAP_I", str(self._ident)), ("CHAP_C", encode(self._challenge))]

    def _check_response(self, keys: Mapping[str, str]) -> TextPairs:
        """Checks the initiator's response; returns this side's own response if it is required too."""
        if "CHAP_N" not in keys or "CHAP_R" not in keys:
            raise ChapError("name or response is missing")
        name, received = keys["CHAP_N"], decode(keys["CHAP_R"])
        account = self._accounts.get(name)
        # An unknown name takes the same time as a wrong secret and gets the same response.
        secret = account.secret if account is not None else bytes(SECRET_MIN)
        expected = response(self._algorithm, self._ident, secret, self._challenge)
        if not hmac.compare_digest(expected, received) or account is None:
            raise ChapError("name or secret is wrong")
        answers: TextPairs = []
        if "CHAP_I" in keys or "CHAP_C" in keys:
            answers = self._respond_to_initiator(account, keys)
        self.step, self.name = Step.DONE, name
        return answers

    def _respond_to_initiator(self, account: Account, keys: Mapping[str, str]) -> TextPairs:
        """Returns the response to the initiator's challenge (mutual authentication)."""
        ident, challenge = keys.get("CHAP_I", ""), decode(keys.get("CHAP_C", ""))
        if not ident.isdigit() or int(ident) > 255 or not CHALLENGE_MIN <= len(challenge) <= CHALLENGE_MAX:
            raise ChapError("the initiator's challenge is malformed")
        if challenge == self._challenge:
            raise ChapError("the challenge was reflected")
        if not account.own_secret:
            raise ChapError("the initiator requires mutual authentication, for which there is no secret")
        proof = response(self._algorithm, int(ident), account.own_secret, challenge)
        return [("CHAP_N", account.own_name), ("CHAP_R", encode(proof))]


class Initiator:
    """The initiator's side of one CHAP exchange, with a node as the target."""

    def __init__(self, account: Account, random: Callable[[int], bytes]) -> None:
        """Creates an exchange.

        Args:
            account: Name and secret of this initiator; `own_name` and `own_secret` are those of the node if
                the node must authenticate itself too.
            random: Returns the given number of random bytes.
        """
        self._account, self._random = account, random
        self._algorithm, self._ident, self._challenge = 0, 0, b""

    def begin(self) -> TextPairs:
        """Returns the key that offers the algorithms."""
        return [("CHAP_A", ",".join(map(str, PREFERRED)))]

    def respond(self, keys: Mapping[str, str]) -> TextPairs:
        """Returns the response to the node's challenge, and a challenge if the node must authenticate itself.

        Args:
            keys: CHAP keys that the node sent.

        Raises:
            ChapError: The node's challenge is malformed.
        """
        chosen, ident = keys.get("CHAP_A", ""), keys.get("CHAP_I", "")
        if not chosen.isdigit() or int(chosen) not in PREFERRED or not ident.isdigit() or int(ident) > 255:
            raise ChapError("the node's challenge is malformed")
        self._algorithm, challenge = int(chosen), decode(keys.get("CHAP_C", ""))
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

    def check(self, keys: Mapping[str, str]) -> None:
        """Checks the node's response if the node must authenticate itself.

        Args:
            keys: CHAP keys that the node sent.

        Raises:
            ChapError: The response is missing or wrong.
        """
        if not self._account.own_secret:
            return
        expected = response(self._algorithm, self._ident, self._account.own_secret, self._challenge)
        received = decode(keys.get("CHAP_R", ""))
        if not hmac.compare_digest(expected, received) or keys.get("CHAP_N") != self._account.own_name:
            raise ChapError("the node did not prove itself")

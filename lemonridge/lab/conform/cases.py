"""The registry of conformance cases, the context in which a case runs, and the names that cases share."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from random import Random

from lemonridge.lab.conform.peer import Peer
from lemonridge.lab.standins.node import ExtentNode

STORE_TARGET, CHAP_TARGET, MUTUAL_CHAP_TARGET, RESTRICTED_TARGET = (
    f"iqn.2026-12.org.lemonridge:{name}" for name in ("store", "guarded", "mutual", "private")
)
INITIATOR = "iqn.2026-12.org.lemonridge:conform"
CHAP_ACCOUNT, CHAP_SECRET, TARGET_CHAP_ACCOUNT, TARGET_CHAP_SECRET = (
    "conform",
    "a secret of ours",
    "store",
    "a secret of theirs",
)
BLOCKS_PER_LUN = 1024  # of 512 bytes
SECRETS_TOML = f"""
[[account]]
name = "{CHAP_ACCOUNT}"
secret = "{CHAP_SECRET}"
[[account]]
name = "mutual"
secret = "{CHAP_SECRET}"
own_name = "{TARGET_CHAP_ACCOUNT}"
own_secret = "{TARGET_CHAP_SECRET}"
"""


class SkipError(Exception):
    """The case does not apply to the target; the message states the reason."""


@dataclass
class CaseContext:
    """The target that a case tests, and the connections that the case opens.

    Attributes:
        host: Host of the target's portal.
        port: Port of the target's portal.
        target: Name of the target that cases log in to by default.
        node: The stand-in node behind the suite's own broker; None if the suite tests an external target.
        random: Source of random choices, seeded for each case.
        peers: Connections opened so far; they are closed after the case.
    """

    host: str
    port: int
    target: str
    node: ExtentNode | None = None
    random: Random = field(default_factory=Random)
    peers: list[Peer] = field(default_factory=list)

    async def connect(
        self, target: str | None = None, isid: bytes | None = None, initiator: str = INITIATOR
    ) -> Peer:
        """Opens a connection without logging in.

        Args:
            target: Name of the target; None for the default target.
            isid: ISID of the session; None for a new one.
            initiator: Name of the initiator.
        """
        peer = await Peer(self.host, self.port, target or self.target, initiator, isid).open()
        self.peers.append(peer)
        return peer

    async def open_session(self, **keys: str | None) -> Peer:
        """Opens a connection to the default target and logs in with additional keys."""
        return await (await self.connect()).login(**keys)

    def own_node(self) -> ExtentNode:
        """Returns the stand-in node.

        Raises:
            SkipError: The suite tests an external target, so that the case does not apply.
        """
        if self.node is None:
            raise SkipError("needs the suite's own node and configuration")
        return self.node


CaseFunction = Callable[[CaseContext], Awaitable[None]]


@dataclass(frozen=True)
class Case:
    """One conformance case.

    Attributes:
        name: Unique name of the case.
        section: Section that defines the checked behaviour; of RFC 7143 unless another standard is named.
        run: Function that runs the case.
    """

    name: str
    section: str
    run: CaseFunction


CASES: dict[str, Case] = {}


def case(name: str, section: str) -> Callable[[CaseFunction], CaseFunction]:
    """Returns a decorator that registers a case.

    Args:
        name: Unique name of the case.
        section: Section that defines the checked behaviour.

    Raises:
        ValueError: Another case has the same name (raised by the decorator).
    """

    def register(function: CaseFunction) -> CaseFunction:
        if name in CASES:
            raise ValueError(f"duplicate case name: {name}")
        CASES[name] = Case(name, section, function)
        return function

    return register

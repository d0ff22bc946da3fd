"""What a case is: its name and section, what it works with, and the list that it goes into."""

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
BLOCKS_PER_LUN = 1024  # of each LUN, of 512 bytes
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
    """The case does not apply; the text says why."""


@dataclass
class CaseContext:
    """What a case works with."""

    host: str
    port: int
    target: str
    node: ExtentNode | None = None  # None before a target that is not ours
    random: Random = field(default_factory=Random)
    peers: list[Peer] = field(default_factory=list)

    async def connect(
        self, target: str | None = None, isid: bytes | None = None, initiator: str = INITIATOR
    ) -> Peer:
        """A connection that has not logged in."""
        made = await Peer(self.host, self.port, target or self.target, initiator, isid).open()
        self.peers.append(made)
        return made

    async def open_session(self, **keys: str | None) -> Peer:
        return await (await self.connect()).login(**keys)

    def own_node(self) -> ExtentNode:
        """The stand-in node; the case is skipped before another target."""
        if self.node is None:
            raise SkipError("needs the suite's own node and configuration")
        return self.node


Run = Callable[[CaseContext], Awaitable[None]]


@dataclass(frozen=True)
class Case:
    """One case; `section` is of the RFC 7143, or names SPC-4, SBC-3 or SAM-5."""

    name: str
    section: str
    run: Run


CASES: dict[str, Case] = {}


def case(name: str, section: str) -> Callable[[Run], Run]:
    """Register a case."""

    def add(run: Run) -> Run:
        if name in CASES:
            raise ValueError(f"two cases are named {name}")
        CASES[name] = Case(name, section, run)
        return run

    return add

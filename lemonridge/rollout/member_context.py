"""The data that all components of one member share: its identity and its queued actions."""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random

from lemonridge.fleet.datagrams import Item
from lemonridge.rollout.policy_document import PolicyState


@dataclass(frozen=True, slots=True)
class PersistVote:
    """Write this complete record to disk before any later action is done."""

    data: bytes


@dataclass(frozen=True, slots=True)
class SendMessage:
    """Send a message to a member, given by its member number."""

    member: int
    item: Item


RolloutAction = PersistVote | SendMessage


def _counts() -> dict[str, int]:
    return {"changes": 0, "taken_over": 0, "refused": 0, "emergencies": 0}


@dataclass(slots=True)
class MemberContext:
    """The identity of this member, and its queued actions.

    Attributes:
        number: This member's number, an index into `names`.
        names: The names of all members, in the order of the operator's file.
        incarnation: This member's incarnation, drawn at each start.
        random: The source of random pauses and choices.
        actions: The queued actions, in the order in which they must be done.
        counts: Counters, by the names that operators see.
    """

    number: int
    names: tuple[str, ...]
    incarnation: int
    random: Random
    actions: list[RolloutAction] = field(default_factory=list)
    counts: dict[str, int] = field(default_factory=_counts)

    @property
    def name(self) -> str:
        """This member's name."""
        return self.names[self.number]

    def send(self, member: int, item: Item) -> None:
        """Queues a message to a member; ignores this member and numbers without a member."""
        if member != self.number and member < len(self.names):
            self.actions.append(SendMessage(member, item))

    def broadcast(self, item: Item) -> None:
        """Queues a message to each other member."""
        for member in range(len(self.names)):
            self.send(member, item)

    def voters_of(self, state: PolicyState) -> dict[int, int]:
        """Returns the store ids of a state's voters, by member number.

        A voter that is not in this broker's file gets a number past those of the members. It counts for the
        quorum but cannot be reached.
        """
        numbers = {name: number for number, name in enumerate(self.names)}
        unknown = sorted(set(state.voters) - set(numbers))
        numbers |= {name: len(self.names) + offset for offset, name in enumerate(unknown)}
        return {numbers[name]: state.voters[name] for name in sorted(state.voters, key=numbers.__getitem__)}

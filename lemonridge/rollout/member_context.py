"""What all parts of one member share: who it is, and the actions that it wants done."""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random

from lemonridge.fleet.datagrams import Item
from lemonridge.rollout.policy_document import PolicyState


@dataclass(frozen=True, slots=True)
class PersistVote:
    """Write this record to disk, complete, before any action that follows is done."""

    data: bytes


@dataclass(frozen=True, slots=True)
class SendMessage:
    """Send a message to a member, by its number."""

    member: int
    item: Item


RolloutAction = PersistVote | SendMessage


def _counts() -> dict[str, int]:
    return {"changes": 0, "taken_over": 0, "refused": 0, "emergencies": 0}


@dataclass(slots=True)
class MemberContext:
    """Who this member is among the members of the file, and its actions that are not done yet."""

    number: int  # this member's place among `names`
    names: tuple[str, ...]
    incarnation: int  # drawn at each start
    random: Random
    actions: list[RolloutAction] = field(default_factory=list)  # in the order in which they must happen
    counts: dict[str, int] = field(default_factory=_counts)  # by the operators' names

    @property
    def name(self) -> str:
        """This member's name."""
        return self.names[self.number]

    def send(self, member: int, item: Item) -> None:
        """Sends to a member; to this one, or to one that is no member here, nothing is sent."""
        if member != self.number and member < len(self.names):
            self.actions.append(SendMessage(member, item))

    def broadcast(self, item: Item) -> None:
        """Sends to all other members."""
        for member in range(len(self.names)):
            self.send(member, item)

    def voters_of(self, state: PolicyState) -> dict[int, int]:
        """The store ids that vote after a state, by member number.

        A voter that is no member here has a number past the members': it counts, and is never heard.
        """
        numbers = {name: number for number, name in enumerate(self.names)}
        unknown = sorted(set(state.voters) - set(numbers))
        numbers |= {name: len(self.names) + offset for offset, name in enumerate(unknown)}
        return {numbers[name]: state.voters[name] for name in sorted(state.voters, key=numbers.__getitem__)}

"""Exchanges the turns of ordering keys between the two processes of a broker.

The scheduler of the predecessor keeps the order of both processes' requests (`scheduling.key_order`). This
module passes the schedulers' decisions to the other process and its messages to the scheduler.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from lemonridge.operate.handover import (
    KeyTurnEnded,
    KeyTurnGranted,
    KeyTurnRequested,
    KeyTurnsReset,
    Message,
    TurnMessage,
)
from lemonridge.scheduling.actions import EndTurn, GrantTurn, RequestTurn, Turn
from lemonridge.scheduling.events import (
    PredecessorGone,
    PredecessorOrdersKeys,
    SuccessorGone,
    SuccessorTurnEnded,
    SuccessorTurnRequested,
    TurnEvent,
    TurnGranted,
)


class MessageSender(Protocol):
    """The connection to another process."""

    def write(self, message: Message) -> None:
        """Sends a message; returns before it is transmitted."""
        ...


class KeyTurnExchange:
    """The exchange of turns; implements the decision host's `TurnExchange`.

    Args:
        deliver: Passes an event to the scheduler.
    """

    def __init__(self, deliver: Callable[[TurnEvent], None]) -> None:
        self._deliver = deliver
        self._predecessor: MessageSender | None = None
        self._successor: MessageSender | None = None

    def on_predecessor(self, predecessor: MessageSender) -> None:
        """Asks the predecessor for turns from now on."""
        self._predecessor = predecessor
        self._deliver(PredecessorOrdersKeys())

    def on_successor(self, successor: MessageSender) -> None:
        """Grants turns to a successor from now on."""
        self._successor = successor

    def on_connection_ended(self, process: MessageSender, may_still_run: bool) -> None:
        """Handles the end of a process.

        Args:
            process: The connection to it.
            may_still_run: Whether attempts of it may still run at endpoints.
        """
        if process is self._predecessor:
            self._predecessor = None
            self._deliver(PredecessorGone(may_still_run))
        elif process is self._successor:
            self._successor = None
            self._deliver(SuccessorGone())

    def handle(self, sender: MessageSender, message: TurnMessage) -> None:
        """Passes a message to the scheduler; one that its sender has no part for is ignored."""
        match message:
            case KeyTurnGranted() if sender is self._predecessor:
                self._deliver(TurnGranted(message.turn))
            case KeyTurnRequested() if sender is self._successor:
                self._deliver(SuccessorTurnRequested(message.key, message.turn))
            case KeyTurnEnded() if sender is self._successor:
                self._deliver(SuccessorTurnEnded(message.turn))
            case KeyTurnsReset() if sender is self._successor:
                self._deliver(SuccessorGone())

    def carry_out(self, action: Turn) -> None:
        """Sends a scheduler's decision about a turn to the process that it concerns."""
        match action:
            case RequestTurn():
                self._write(self._predecessor, KeyTurnRequested(action.key, action.turn))
            case EndTurn():
                self._write(self._predecessor, KeyTurnEnded(action.turn))
            case GrantTurn():
                self._write(self._successor, KeyTurnGranted(action.turn))

    def on_scheduler_restarted(self) -> None:
        """Ends all turns at the predecessor, because the new scheduler numbers its turns anew."""
        if self._predecessor is not None:
            self._predecessor.write(KeyTurnsReset())
            self._deliver(PredecessorOrdersKeys())

    @staticmethod
    def _write(process: MessageSender | None, message: TurnMessage) -> None:
        """Sends a message to a process, unless it has ended meanwhile."""
        if process is not None:
            process.write(message)

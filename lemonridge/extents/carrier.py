"""Serves a command whose blocks lie in several extents: one request to the core for each piece.

The pieces of a read run in parallel; the first piece that does not succeed cancels the others. The pieces of
a write run one after another; the first piece that does not succeed ends the command. `joining` combines the
outcomes of the pieces into the command's outcome.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from lemonridge.core.broker import Broker
from lemonridge.core.model import Answer, AnswerKind, Request
from lemonridge.extents.joining import JoinedOutcome, PieceOutcome, join, may_continue


class PieceExecutor:
    """Serves the pieces of one command through the core.

    Args:
        broker: Runs the request of each piece.
        succeeded: Returns whether a node's reply reports success.
    """

    def __init__(self, broker: Broker, succeeded: Callable[[object], bool]) -> None:
        self._broker, self._succeeded = broker, succeeded

    async def serve(self, pieces: list[Request], writes: bool) -> tuple[JoinedOutcome, list[Answer | None]]:
        """Serves the pieces of a command.

        If this call is cancelled, each piece is handled as if its client had disconnected.

        Args:
            pieces: The requests of the pieces, in the order of their blocks.
            writes: Whether the command writes.

        Returns:
            The command's outcome, and for each piece its answer, or None if it has no answer.
        """
        answers: list[Answer | None] = [None] * len(pieces)
        if writes:
            await self._serve_in_order(pieces, answers)
        else:
            await self._serve_in_parallel(pieces, answers)
        outcomes = [self._outcome(answer) for answer in answers]
        return join(writes, outcomes, (answer.retry_after_us for answer in answers if answer)), answers

    async def _serve_in_order(self, pieces: list[Request], answers: list[Answer | None]) -> None:
        """Serves one piece after another until one does not succeed, and stores the answers in `answers`."""
        for index, piece in enumerate(pieces):
            answers[index] = await self._broker.serve(piece)
            if not may_continue(True, [self._outcome(answers[index])]):
                return

    async def _serve_in_parallel(self, pieces: list[Request], answers: list[Answer | None]) -> None:
        """Serves all pieces at once until one does not succeed, and stores the answers in `answers`."""
        tasks = {asyncio.create_task(self._broker.serve(piece)): index for index, piece in enumerate(pieces)}
        running = set(tasks)
        try:
            while running:
                done, running = await asyncio.wait(running, return_when=asyncio.FIRST_COMPLETED)
                for task in done:
                    answers[tasks[task]] = task.result()
                if any(self._outcome(answers[tasks[task]]) is not PieceOutcome.SUCCEEDED for task in done):
                    return
        finally:
            for task in running:
                task.cancel()
            await asyncio.gather(*running, return_exceptions=True)

    def _outcome(self, answer: Answer | None) -> PieceOutcome:
        """Returns the outcome of a piece with the given answer; None means that the piece has no answer."""
        if answer is None:
            return PieceOutcome.NOT_SENT
        if answer.kind is AnswerKind.SERVED:
            return PieceOutcome.SUCCEEDED if self._succeeded(answer.reply) else PieceOutcome.NODE_ERROR
        return PieceOutcome.REJECTED if answer.kind is AnswerKind.REJECTED else PieceOutcome.UNKNOWN

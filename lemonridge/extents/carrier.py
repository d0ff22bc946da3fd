"""Serves a command that lies in several extents: one core request a piece, one answer for all.

The pieces of a read run in parallel and end together, or as soon as one of them does not succeed. The pieces
of a write run one after another, and one that does not succeed ends the command (`joining`).
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
        broker: The core.
        succeeded: Whether a node's reply reports success.
    """

    def __init__(self, broker: Broker, succeeded: Callable[[object], bool]) -> None:
        self._broker, self._succeeded = broker, succeeded

    async def serve(self, pieces: list[Request], writes: bool) -> tuple[JoinedOutcome, list[Answer | None]]:
        """Serves all pieces. Cancelling it means, for every piece, that the client has disconnected.

        Returns:
            The command's outcome, and each piece's answer; None for a piece that has none.
        """
        answers: list[Answer | None] = [None] * len(pieces)
        if writes:
            await self._serve_in_order(pieces, answers)
        else:
            await self._serve_in_parallel(pieces, answers)
        outcomes = [self._outcome(answer) for answer in answers]
        return join(writes, outcomes, (answer.retry_after_us for answer in answers if answer)), answers

    async def _serve_in_order(self, pieces: list[Request], answers: list[Answer | None]) -> None:
        for index, piece in enumerate(pieces):
            answers[index] = await self._broker.serve(piece)
            if not may_continue(True, [self._outcome(answers[index])]):
                return

    async def _serve_in_parallel(self, pieces: list[Request], answers: list[Answer | None]) -> None:
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
        if answer is None:
            return PieceOutcome.NOT_SENT
        if answer.kind is AnswerKind.SERVED:
            return PieceOutcome.SUCCEEDED if self._succeeded(answer.reply) else PieceOutcome.NODE_ERROR
        return PieceOutcome.REJECTED if answer.kind is AnswerKind.REJECTED else PieceOutcome.UNKNOWN

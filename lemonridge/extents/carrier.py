"""Carries a command that lies in several extents: one core request a piece, one answer for all.

Reads go out side by side and end together, or as soon as one piece decides against the whole. The pieces of a
write go one after another, and a piece that does not end well ends the command there (`joining`).
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from lemonridge.core.broker import Broker
from lemonridge.core.model import Answer, AnswerKind, Request
from lemonridge.extents.joining import End, Joined, goes_on, join


class Carrier:
    """Serves the pieces of one command through the core."""

    def __init__(self, broker: Broker, good: Callable[[object], bool]) -> None:
        """`good` says of a node's reply whether all went well there."""
        self._broker, self._good = broker, good

    async def serve(self, pieces: list[Request], writes: bool) -> tuple[Joined, list[Answer | None]]:
        """The joined end, and each piece's own answer where there is one.

        To cancel this tells that the client has gone, for every piece.
        """
        answers: list[Answer | None] = [None] * len(pieces)
        if writes:
            for number, piece in enumerate(pieces):
                answers[number] = await self._broker.serve(piece)
                if not goes_on(True, [self._end(answers[number])]):
                    break
        else:
            await self._side_by_side(pieces, answers)
        ends = [self._end(answer) for answer in answers]
        return join(writes, ends, (answer.retry_after_us for answer in answers if answer)), answers

    async def _side_by_side(self, pieces: list[Request], answers: list[Answer | None]) -> None:
        tasks = {
            asyncio.create_task(self._broker.serve(piece)): number for number, piece in enumerate(pieces)
        }
        left = set(tasks)
        try:
            while left:
                done, left = await asyncio.wait(left, return_when=asyncio.FIRST_COMPLETED)
                for task in done:
                    answers[tasks[task]] = task.result()
                if any(self._end(answers[tasks[task]]) is not End.GOOD for task in done):
                    return
        finally:
            for task in left:
                task.cancel()
            await asyncio.gather(*left, return_exceptions=True)

    def _end(self, answer: Answer | None) -> End:
        if answer is None:
            return End.UNSENT
        if answer.kind is AnswerKind.SERVED:
            return End.GOOD if self._good(answer.reply) else End.BAD
        return End.REFUSED if answer.kind is AnswerKind.REJECTED else End.FAILED

"""Writes that have ended for their initiators while a node may still execute them.

Neither an abort nor the end of a session stops a write that a node has begun. Until the node has answered, or
the write's deadline has passed, later commands at the same blocks wait for it, and a function that aborts
commands is not reported as complete: an aborted command has no further effect (SAM-5, section 8.6).
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterable

from lemonridge.core.memory_budget import Hold
from lemonridge.iscsi import scsi
from lemonridge.iscsi.task_order import BlockRange, blocks_of


class NodeActivity:
    """Counts the open requests of one command, for which it is the `Hold` of the core.

    Args:
        lun: The LUN that the command is addressed to.
        cdb: The command descriptor block.
        reservation: The memory reserved for the command's data, held while a request is open.

    Attributes:
        lun: The LUN.
        blocks: The blocks that the command reads or writes.
        writes: Whether the command writes.
        ended: Done once no request is open; only of an abandoned command, otherwise None.
    """

    def __init__(self, lun: int, cdb: bytes, reservation: Hold) -> None:
        self.lun, self.blocks, self.writes = lun, blocks_of(cdb), cdb[0] in scsi.WRITES
        self.ended: asyncio.Future[None] | None = None
        self._reservation, self._open_requests = reservation, 0

    @property
    def is_running(self) -> bool:
        """Whether a request of the command is open."""
        return self._open_requests > 0

    def hold(self) -> None:
        """Takes note that a request was opened."""
        self._reservation.hold()
        self._open_requests += 1

    def release(self) -> None:
        """Takes note that a request was closed: it has its answer, and its last attempt has ended."""
        self._reservation.release()
        self._open_requests -= 1
        if self.ended is not None and not self._open_requests:
            self.ended.set_result(None)


class UnfinishedCommands:
    """The abandoned writes of all sessions; bounded by the open requests of the core."""

    def __init__(self) -> None:
        self._abandoned: set[NodeActivity] = set()

    def __len__(self) -> int:
        return len(self._abandoned)

    def abandon(self, activity: NodeActivity) -> None:
        """Adds a command that has ended for its initiator, if it writes and a node may execute it."""
        if not activity.writes or not activity.is_running or activity in self._abandoned:
            return
        activity.ended = asyncio.get_running_loop().create_future()
        activity.ended.add_done_callback(lambda _: self._abandoned.discard(activity))
        self._abandoned.add(activity)

    def all(self) -> list[NodeActivity]:
        """Returns all abandoned writes."""
        return list(self._abandoned)

    def at_lun(self, lun: int | None) -> list[NodeActivity]:
        """Returns the abandoned writes at a LUN; none if `lun` is None."""
        return [activity for activity in self._abandoned if activity.lun == lun]

    async def wait_for(self, activities: Iterable[NodeActivity]) -> None:
        """Waits until abandoned writes have ended, at the latest at their deadlines."""
        ended = [activity.ended for activity in activities if activity.ended is not None]
        if ended:
            await asyncio.wait(ended)

    async def wait_for_blocks(self, lun: int, cdb: bytes, deadline_s: float) -> bool:
        """Waits until no abandoned write concerns the blocks of a command.

        Args:
            lun: The LUN that the command is addressed to.
            cdb: The command descriptor block.
            deadline_s: When to give up, in seconds of the event loop's clock.

        Returns:
            False if a write was still running at the deadline.
        """
        blocks = blocks_of(cdb)
        try:
            async with asyncio.timeout_at(deadline_s):
                while overlapping := self._overlapping(lun, blocks):
                    await self.wait_for(overlapping)
        except TimeoutError:
            return False
        return True

    def _overlapping(self, lun: int, blocks: BlockRange) -> list[NodeActivity]:
        """Returns the abandoned writes that have a block in common with a range."""
        return [activity for activity in self.at_lun(lun) if activity.blocks.overlaps(blocks)]

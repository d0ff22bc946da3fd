"""Frees what the tracebacks of handled errors keep in memory."""

from __future__ import annotations

import traceback


def release_frames(error: BaseException) -> None:
    """Detaches the tracebacks of a handled error and of the errors that led to it.

    A frame that has kept its error in a variable or a future forms a reference cycle with it. The cycle keeps
    the variables of all frames of the traceback, among them the request and its body, until the next
    collection of cycles. Frames that still run are left as they are.

    Args:
        error: An error that is not raised again.
    """
    pending: list[BaseException | None] = [error]
    released: set[int] = set()
    while pending:
        current = pending.pop()
        if current is None or id(current) in released:
            continue
        released.add(id(current))
        traceback.clear_frames(current.__traceback__)
        current.__traceback__ = None
        pending += (current.__cause__, current.__context__)

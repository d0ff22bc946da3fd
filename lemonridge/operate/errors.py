"""Exceptions of the operators' calls and of the handover between processes."""


class OperateError(Exception):
    """Base class of this package's exceptions."""


class BadCallError(OperateError):
    """A line is not a valid operators' call; the text is sent as the reply."""


class BadMessageError(OperateError):
    """A handover message is malformed or of another version.

    The text is logged, and sent to the other process as the reason of a refusal.
    """

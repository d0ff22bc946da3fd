"""Errors of the operators' calls and of the handover between processes."""


class OperateError(Exception):
    """Base class of this package's errors."""


class BadCallError(OperateError):
    """A line that is no operators' call; the text is fit to answer with."""


class BadMessageError(OperateError):
    """A handover message that cannot be read, or of another version; the text is fit for the log."""

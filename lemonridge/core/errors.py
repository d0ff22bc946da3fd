"""Exceptions of the core: requests that are not accepted and attempts that were not made."""


class CoreError(Exception):
    """Base class of the core's exceptions."""


class DuplicateRequestError(CoreError):
    """A request with the same id is already open; endpoints would treat the two as one request."""


class AttemptError(CoreError):
    """An attempt failed before a byte of it was sent, so it cannot have run."""


class ConnectFailedError(AttemptError):
    """The connection to the endpoint failed; this counts against the endpoint."""


class AttemptSuppressedError(AttemptError):
    """The attempt was stopped before its first byte; it does not use up one of the request's attempts."""


class LocalFailureError(AttemptSuppressedError):
    """The local machine could not connect (no port, memory or route); does not count against the endpoint."""

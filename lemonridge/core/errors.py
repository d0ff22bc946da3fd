"""Errors of the core: why a request is not accepted, and why an attempt was not made."""


class CoreError(Exception):
    """Base class of the core's errors."""


class DuplicateRequestError(CoreError):
    """A request with this id is open already; endpoints would take the two for one request."""


class AttemptError(CoreError):
    """An attempt of which no byte was sent, so that it cannot have run."""


class ConnectFailedError(AttemptError):
    """The endpoint could not be connected to; this counts against the endpoint."""


class AttemptSuppressedError(AttemptError):
    """The attempt was stopped before its first byte; it uses up none of its request's attempts."""


class LocalFailureError(AttemptSuppressedError):
    """The broker's own machine could not connect (no port, memory or route); says nothing of the endpoint."""

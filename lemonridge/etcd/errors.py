"""The errors of the etcd package. Operators see their messages unchanged."""

from __future__ import annotations


class EtcdError(Exception):
    """Base class of the errors that end a range or a watch of etcd."""


class EtcdResponseError(EtcdError, ValueError):
    """An answer of etcd is an error or malformed; the call is repeated after a pause."""


class CompactedError(EtcdError):
    """The requested revision is compacted: a new range is needed to read the current keys."""


class MissedChangeError(EtcdError):
    """A change was missed: a new range is needed to read the current keys."""


class SilentWatchError(EtcdError):
    """A watch has not delivered a change that a read has shown: it is opened anew."""

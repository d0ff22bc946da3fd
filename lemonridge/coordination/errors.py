"""The errors of the coordination package. Each one's text is shown to operators as it is."""

from __future__ import annotations


class CoordinationError(Exception):
    """Base of the package's errors."""


class VoteStoreError(CoordinationError):
    """A vote store that is damaged, held by another process, or there already."""


class EtcdError(CoordinationError):
    """Base of what ends a range or a watch of etcd."""


class EtcdResponseError(EtcdError, ValueError):
    """An answer of etcd that is an error, or cannot be read; the call is made again after a pause."""


class CompactedError(EtcdError):
    """The revision asked for is compacted: only a range tells what holds now."""


class MissedChangeError(EtcdError):
    """A change was lost: only a range tells what holds now."""

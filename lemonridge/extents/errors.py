"""The errors of the extents package."""

from __future__ import annotations

from enum import Enum


class ExtentsError(Exception):
    """Base of the package's errors."""


class MapError(ExtentsError, ValueError):
    """Extents that do not make a map, or blocks outside it; the text names the volume and the block."""


class MapRecordError(ExtentsError, ValueError):
    """A key or value of the map in etcd that cannot be read; the text names the key."""


class MapCacheError(ExtentsError):
    """The map on disk cannot be used; the text gives the cause."""


class RouteRejectReason(Enum):
    """Why a route or a command is rejected. The values are parts of counters' names."""

    TOO_MANY_REDIRECTS = "redirects"  # more than `Limits.redirects`
    LOCATION_UNCONFIRMED = "unconfirmed"  # refreshes brought no newer version
    EXTENT_RESHAPED = "reshaped"  # the extent was split or joined under the command
    NOT_MAPPED = "absent"  # the map does not have the blocks
    MAP_TOO_OLD = "old"  # the source's last confirmation is older than allowed
    MAP_MISSING = "mapless"  # no map was loaded yet
    MAP_UNCONFIRMED = "untrusted"  # a write by a cached map that the source has not confirmed
    TOO_MANY_PIECES = "pieces"  # more than `Limits.pieces`


class RouteError(ExtentsError):
    """A command that cannot be routed now; nothing of it ran.

    Attributes:
        reason: Why it is rejected.
    """

    def __init__(self, reason: RouteRejectReason) -> None:
        super().__init__(reason.value)
        self.reason = reason

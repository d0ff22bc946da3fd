"""The errors of the extents package."""

from __future__ import annotations

from enum import Enum


class ExtentsError(Exception):
    """Base class of the errors in this package."""


class MapError(ExtentsError, ValueError):
    """Extents do not form a valid map, or blocks are not in the map.

    The message names the volume and the block where one is at fault.
    """


class MapRecordError(ExtentsError, ValueError):
    """A key or value of the map in etcd is malformed, or the map in etcd is missing or invalid."""


class MapCacheError(ExtentsError):
    """The cached map on disk cannot be used; the message states the cause."""


class RouteRejectReason(Enum):
    """The reason why a route or a command is rejected. The values are parts of counter names."""

    TOO_MANY_REDIRECTS = "redirects"  # more redirects than `Limits.redirects`
    LOCATION_UNCONFIRMED = "unconfirmed"  # `Limits.refreshes` refreshes brought no newer version
    EXTENT_RESHAPED = "reshaped"  # the extent was split or joined while the command was in progress
    NOT_MAPPED = "absent"  # the blocks or the volume are not in the map
    MAP_TOO_OLD = "old"  # the source last confirmed the map longer ago than is allowed
    MAP_MISSING = "mapless"  # no map has been loaded yet
    MAP_UNCONFIRMED = "untrusted"  # a write, while the source has not confirmed the cached map
    TOO_MANY_PIECES = "pieces"  # more pieces than `Limits.pieces`


class RouteError(ExtentsError):
    """A command cannot be routed at present; no part of it has been executed.

    Attributes:
        reason: Why the command is rejected.
    """

    def __init__(self, reason: RouteRejectReason) -> None:
        super().__init__(reason.value)
        self.reason = reason

"""What the operator's file says of the extent map."""

from __future__ import annotations

from dataclasses import dataclass

from lemonridge.extents.extent_map import Extent
from lemonridge.extents.routing import Limits


@dataclass(frozen=True, slots=True)
class ExtentsConfig:
    """How the extent map is followed, cached on disk and trusted."""

    block_bytes: int
    extents_max: int
    page: int  # keys of one answer of etcd
    limits: Limits
    fixed: tuple[Extent, ...]  # of the operator's file itself
    file: str | None  # path of a file of its own that holds the map
    keep: str | None  # path of the cache on disk
    keep_bytes: int  # size limit of that cache
    keep_age_us: int  # an older cache is not used

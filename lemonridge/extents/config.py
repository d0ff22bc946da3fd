"""The settings of the extent map, as parsed from the operator's file."""

from __future__ import annotations

from dataclasses import dataclass

from lemonridge.extents.extent_map import Extent
from lemonridge.extents.routing import Limits


@dataclass(frozen=True, slots=True)
class ExtentsConfig:
    """How the extent map is followed, cached on disk and relied on.

    Attributes:
        block_bytes: Size of a block.
        extents_max: A map with more extents is rejected.
        page_size: Number of keys that one range request to etcd returns at most.
        limits: Bounds of a command, and how old the map may be.
        inline_extents: The extents that the operator's file itself lists; empty if it lists none.
        file: Path of a file of its own that has the map.
        cache_path: Directory of the cache on disk; None turns it off.
        cache_bytes: Size limit of that cache.
        cache_age_max_us: An older cache is not used.
    """

    block_bytes: int
    extents_max: int
    page_size: int
    limits: Limits
    inline_extents: tuple[Extent, ...]
    file: str | None
    cache_path: str | None
    cache_bytes: int
    cache_age_max_us: int

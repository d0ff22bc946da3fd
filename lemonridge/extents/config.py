"""The configuration of the extent map, as parsed from the operator's file."""

from __future__ import annotations

from dataclasses import dataclass

from lemonridge.extents.extent_map import Extent
from lemonridge.extents.routing import Limits


@dataclass(frozen=True, slots=True)
class ExtentsConfig:
    """The configuration of the extent map: its source, its cache on disk and the limits of its use.

    Attributes:
        block_bytes: The size of a block.
        extents_max: The maximum number of extents; a map with more extents is rejected.
        page_size: The maximum number of keys in one response of etcd to a range request.
        limits: The limits for one command, and the maximum age of the map.
        inline_extents: The extents that the operator's file itself lists; empty if it lists none.
        file: The path of a separate file that contains the map; None if there is none.
        cache_path: The directory of the cache on disk; None disables the cache.
        cache_bytes: The maximum size of the cache.
        cache_age_max_us: The maximum age of a cached map; an older one is not used.
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

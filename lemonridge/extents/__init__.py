"""Where the data of a volume lies: a versioned map of extents, and the routing by it.

`extent_map`, `routing`, `refresh` and `joining` decide and are pure: no clock, no I/O, no asyncio. `router`,
`carrier`, `etcd_source`, `file_source` and `map_cache` connect them to the core, to the map's sources and to
the disk (docs/extents.md).
"""

"""Locates the data of volumes: a versioned map of extents to shards, and the routing of commands by it.

`extent_map`, `routing`, `refresh` and `joining` make the decisions and are pure: they use no clock, no I/O
and no asyncio. `router`, `carrier`, `etcd_source`, `file_source` and `map_cache` connect them to the core, to
the sources of the map and to the disk. docs/extents.md describes the design.
"""

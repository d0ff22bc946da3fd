"""Where the data of a volume lies: a versioned map of extents, and the routing by it.

`map`, `routing`, `refresh` and `joining` decide and are pure: no clock, no I/O, no asyncio; `router`, `etcd`,
`file` and `keep` connect them to the core, to the map's sources and to the disk (docs/extents.md).
"""

"""Stand-ins for what the broker talks to: disk nodes, discovery, etcd, and the mover of extents."""

"""Stand-ins for the broker's peers: disk nodes, discovery, etcd, and the mover of extents."""

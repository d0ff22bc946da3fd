"""etcd's v3 API over its JSON gateway: a client, and a follower of the keys of one kind."""

"""Runs the rollout of the fleet's policy in the process: coordinator, vote store and etcd source."""

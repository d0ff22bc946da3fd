"""Rollout of policy changes: a majority of the voters decides each change, which applies fleet-wide."""

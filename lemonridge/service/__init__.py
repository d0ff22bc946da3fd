"""The broker's process: assembly of the fronts, signals, logging, startup and graceful shutdown."""

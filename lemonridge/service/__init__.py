"""The process: assembly of its parts, signals, logging, start and graceful shutdown."""

"""Requests, attempts and outcomes, and the life of a request. Nothing here knows a wire."""

"""A request, its attempts and their outcomes, and the task that runs it. Nothing here knows a protocol."""

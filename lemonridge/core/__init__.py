"""The protocol-independent core of the broker.

It runs each request as a task: it passes events to the scheduler, makes the attempts that the scheduler
decides on, and delivers the final answer.
"""

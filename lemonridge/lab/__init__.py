"""Stand-ins, faults and checkers: what operators drill with, and what the tests start the program between.

Nothing here is loaded by `serve`. Everything binds to loopback, on ports that the system chooses.
"""

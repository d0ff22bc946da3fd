"""Stand-ins, faults and checkers: what operators drill with, and what the tests start the program between.

Nothing here is loaded by `serve`. Everything binds to loopback, on ports that the system chooses. The rooms:
`standins` (what the broker talks to), `links` (faults between them), `load` (clients), `drills`, `checkers`
(their judges), `measure`, `conform` (cases by a protocol's sections) and `model` (virtual time). `program`
starts the real program, `command` is the command line of all of it.
"""

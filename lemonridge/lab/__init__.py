"""Tools for drills, measurements and tests: stand-ins, fault injection, load generators and checkers.

`serve` loads nothing of this package. All servers listen on loopback, on ports that the system chooses.

Packages: `standins` (the broker's peers), `links` (faults between them), `load` (clients), `drills` (fault
drills), `checkers` (the drills' checks), `measure` (measurements), `conform` (protocol conformance, by
sections of a standard) and `model` (a simulation in virtual time). `program` runs the real program, `rig` a
fleet of them; `lemonridge.cli` has the commands.
"""

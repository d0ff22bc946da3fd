"""Operators' calls, maintenance, graceful shutdown and handover, decided without a clock, a loop or I/O.

`admin_calls` parses calls, `maintenance` holds the operators' bans, `lifecycle` the phase of the process,
`handover` what a process passes on to its successor and `handover_format` its form on the socket.
"""

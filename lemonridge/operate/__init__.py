"""Admin calls, maintenance, graceful shutdown and handover, as logic without a clock, an event loop or I/O.

`admin_calls` parses the operators' calls, `maintenance` holds their bans on endpoints, `lifecycle` holds the
phase of the process, `handover` defines the state and messages for a successor process, and `handover_format`
encodes them for the socket.
"""

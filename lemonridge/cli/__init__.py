"""The command line: argument parsers, commands and the simulator's adapter."""

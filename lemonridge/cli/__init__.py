"""The command-line interface: argument parsers, commands and the adapter for the simulator."""

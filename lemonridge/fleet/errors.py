"""Errors of the fleet: why a datagram was rejected, and what cannot be written.

    FleetError
      DatagramError           a received datagram is rejected; `fault` says why
        MalformedDatagramError    its bytes cannot be read
        UntrustedDatagramError    it is not from the member that it names, or from another fleet
        StaleDatagramError        it was received before, or is too old
        DatagramRateError         more datagrams arrive than are read in a second
      DatagramTooLongError    the items passed to the encoder do not fit into one datagram

Nothing here leaves the package: a rejected datagram is counted by its fault and dropped.
"""

from __future__ import annotations

from enum import Enum


class DatagramFault(Enum):
    """Why a datagram was rejected; the value is the word that operators see (`not_taken.*`)."""

    SHORT = "short"
    VERSION = "version"
    CHECKSUM = "checksum"
    FORGED = "forged"  # no tag, or a wrong one
    ROSTER = "roster"  # of a fleet with other members
    ADDRESS = "address"  # not from the address of the member that it names
    MALFORMED = "malformed"
    OLD = "old"  # of an incarnation that has ended, or sent too long ago
    REPLAYED = "replayed"
    OVERRUN = "overrun"  # more than are read in a second


class FleetError(Exception):
    """Base of the package's errors."""


class DatagramError(FleetError):
    """A received datagram is rejected.

    Attributes:
        fault: why, as it is counted.
    """

    def __init__(self, fault: DatagramFault) -> None:
        super().__init__(fault.value)
        self.fault = fault


class MalformedDatagramError(DatagramError):
    """The bytes cannot be read: length, version, checksum, items."""


class UntrustedDatagramError(DatagramError):
    """The tag, the fleet or the sender's address is wrong."""


class StaleDatagramError(DatagramError):
    """A repeat, or older than datagrams may be."""


class DatagramRateError(DatagramError):
    """More datagrams arrived within a second than are read."""


class DatagramTooLongError(FleetError, ValueError):
    """The items do not fit into one datagram."""

    def __init__(self, length: int) -> None:
        super().__init__(f"a datagram of {length} bytes")

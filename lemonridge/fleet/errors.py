"""The exceptions of the fleet package: rejected datagrams and items that cannot be encoded.

    FleetError
      DatagramError           a received datagram is rejected; `fault` is the reason
        MalformedDatagramError    its bytes cannot be decoded
        UntrustedDatagramError    it is not from the member that it names, or is from another fleet
        StaleDatagramError        it was received before, or is too old
        DatagramRateError         more datagrams arrived in a second than are read
      DatagramTooLongError    the items passed to the encoder do not fit into one datagram

None of them leaves the package: a rejected datagram is counted by its fault and dropped.
"""

from __future__ import annotations

from enum import Enum


class DatagramFault(Enum):
    """The reason why a datagram was rejected; its value is the name that operators see (`not_taken.*`)."""

    SHORT = "short"
    VERSION = "version"
    CHECKSUM = "checksum"
    FORGED = "forged"  # the tag is missing or wrong
    ROSTER = "roster"  # from a fleet with another member list
    ADDRESS = "address"  # not sent from the address of the member that it names
    MALFORMED = "malformed"
    OLD = "old"  # from a previous incarnation, or sent too long ago
    REPLAYED = "replayed"
    OVERRUN = "overrun"  # more datagrams than are read in a second


class FleetError(Exception):
    """Base class of the package's exceptions."""


class DatagramError(FleetError):
    """A received datagram is rejected.

    Attributes:
        fault: The reason, by which the datagram is counted.
    """

    def __init__(self, fault: DatagramFault) -> None:
        super().__init__(fault.value)
        self.fault = fault


class MalformedDatagramError(DatagramError):
    """The length, version, checksum or items of the datagram are invalid."""


class UntrustedDatagramError(DatagramError):
    """The tag, the fleet or the sender's address is wrong."""


class StaleDatagramError(DatagramError):
    """The datagram was already received, or it is too old."""


class DatagramRateError(DatagramError):
    """More datagrams arrived within a second than are read."""


class DatagramTooLongError(FleetError, ValueError):
    """The items do not fit into one datagram."""

    def __init__(self, length: int) -> None:
        super().__init__(f"datagram of {length} bytes exceeds the maximum length")

"""Decodes incoming datagrams and accepts each once, up to a maximum rate. Performs no I/O."""

from __future__ import annotations

from collections import defaultdict

from lemonridge.fleet.datagrams import Datagram, DatagramSigner, decode
from lemonridge.fleet.errors import DatagramError, DatagramFault, DatagramRateError, UntrustedDatagramError
from lemonridge.fleet.events import DatagramReceived
from lemonridge.fleet.member_list import MemberList
from lemonridge.fleet.replay_window import ReplayWindow

DATAGRAMS_READ_PER_S = 500


class DatagramReceiver:
    """The receiving side of one member.

    Attributes:
        windows: The replay windows by sender.
        faults: The number of rejected datagrams by fault.

    Args:
        member_list: The configured members of the fleet.
        signer: Verifies the keyed tag; None if no secret is configured.
        now_us: The time of the start.
    """

    def __init__(self, member_list: MemberList, signer: DatagramSigner | None, now_us: int) -> None:
        self.windows = [ReplayWindow() for _ in member_list.names]
        self.faults: defaultdict[DatagramFault, int] = defaultdict(int)
        self._own_id, self._fingerprint, self._signer = member_list.own_id, member_list.fingerprint, signer
        self._count_this_second, self._second_began_us = 0, now_us

    def read(self, event: DatagramReceived, now_us: int) -> Datagram | None:
        """Returns the decoded datagram; None if it was rejected, which is counted."""
        try:
            return self._accept(event, now_us)
        except DatagramError as error:
            self.faults[error.fault] += 1
            return None

    def _accept(self, event: DatagramReceived, now_us: int) -> Datagram:
        if now_us - self._second_began_us >= 1_000_000:
            self._count_this_second, self._second_began_us = 0, now_us
        self._count_this_second += 1
        if self._count_this_second > DATAGRAMS_READ_PER_S:
            raise DatagramRateError(DatagramFault.OVERRUN)
        if event.source is None:
            raise UntrustedDatagramError(DatagramFault.ADDRESS)
        datagram = decode(event.data, self._fingerprint, self._signer)
        sender = datagram.header.sender
        if sender != event.source or sender == self._own_id:
            raise UntrustedDatagramError(DatagramFault.ADDRESS)
        self.windows[sender].accept(datagram.header, now_us)
        return datagram

"""Reads datagrams that arrive and accepts each once, within a rate. Pure."""

from __future__ import annotations

from collections import defaultdict

from lemonridge.fleet.datagrams import Datagram, DatagramSigner, decode
from lemonridge.fleet.errors import DatagramError, DatagramFault, DatagramRateError, UntrustedDatagramError
from lemonridge.fleet.events import DatagramReceived
from lemonridge.fleet.member_list import MemberList
from lemonridge.fleet.replay_window import ReplayWindow

DATAGRAMS_READ_PER_S = 500


class DatagramReceiver:
    """The receiving side of one member: rejected datagrams are counted by their fault."""

    def __init__(self, member_list: MemberList, signer: DatagramSigner | None, now_us: int) -> None:
        self.windows = [ReplayWindow() for _ in member_list.names]  # by member
        self.faults: defaultdict[DatagramFault, int] = defaultdict(int)
        self._me, self._fingerprint, self._signer = member_list.own_id, member_list.fingerprint, signer
        self._read, self._second_began_us = 0, now_us

    def read(self, event: DatagramReceived, now_us: int) -> Datagram | None:
        """The datagram; None where it was rejected and counted."""
        try:
            return self._accept(event, now_us)
        except DatagramError as error:
            self.faults[error.fault] += 1
            return None

    def _accept(self, event: DatagramReceived, now_us: int) -> Datagram:
        if now_us - self._second_began_us >= 1_000_000:
            self._read, self._second_began_us = 0, now_us
        self._read += 1
        if self._read > DATAGRAMS_READ_PER_S:
            raise DatagramRateError(DatagramFault.OVERRUN)
        if event.source is None:
            raise UntrustedDatagramError(DatagramFault.ADDRESS)
        datagram = decode(event.data, self._fingerprint, self._signer)
        sender = datagram.header.sender
        if sender != event.source or sender == self._me:
            raise UntrustedDatagramError(DatagramFault.ADDRESS)
        self.windows[sender].accept(datagram.header, now_us)
        return datagram

"""The durable part of a member: the newest decided state, and its vote in the slot after it."""

from __future__ import annotations

from collections.abc import Callable, Iterable

import msgspec

from lemonridge.rollout import policy_document
from lemonridge.rollout.member_context import MemberContext, PersistVote
from lemonridge.rollout.paxos import Acceptor
from lemonridge.rollout.policy_document import PolicyState

DOCUMENTS_MAX = 8  # encoded states kept in memory


class StoredVote(
    msgspec.Struct,
    frozen=True,
    forbid_unknown_fields=True,
    rename={
        "store_id": "ident",
        "promised_ballot": "promised",
        "accepted_ballot": "took",
        "accepted_state": "taken",
    },
):
    """The record on disk.

    The store's id, the newest state (empty: what the brokers' files say), and the vote in the slot after it.
    The order of the fields is part of the format.
    """

    store_id: int
    state: bytes
    promised_ballot: int = 0
    accepted_ballot: int = 0
    accepted_state: bytes = b""


class DocumentCache:
    """Encoded states by their digest. The oldest are removed, except for those in use."""

    def __init__(self) -> None:
        self._documents: dict[bytes, bytes] = {}
        self.in_use: list[Callable[[], Iterable[bytes]]] = []  # each gives digests that have to stay

    def __contains__(self, digest: bytes) -> bool:
        return digest in self._documents

    def __getitem__(self, digest: bytes) -> bytes:
        return self._documents[digest]

    def get(self, digest: bytes) -> bytes | None:
        """The encoded state of a digest, or None."""
        return self._documents.get(digest)

    def add(self, data: bytes) -> bytes:
        """Keeps an encoded state as the newest; returns its digest."""
        digest = policy_document.digest(data)
        self._documents.pop(digest, None)
        self._documents[digest] = data
        excess = len(self._documents) - DOCUMENTS_MAX
        if excess > 0:
            pinned = {digest}.union(*(digests() for digests in self.in_use))
            for unused in [one for one in self._documents if one not in pinned][:excess]:
                del self._documents[unused]
        return digest


class VoteLog:
    """The newest decided state and the acceptor of the slot after it; `persist` orders the record written.

    Args of the constructor: `genesis` is the state of the brokers' own files, `record` what the store holds.
    Without a record `new_store_id` identifies the new store, and the record is persisted at once.

    Raises:
        PolicyError: The record's state cannot be used.
        msgspec.DecodeError: The record is malformed.
    """

    def __init__(
        self, context: MemberContext, genesis: PolicyState, record: bytes | None, new_store_id: int
    ) -> None:
        self._context, self._record = context, record
        stored = msgspec.msgpack.decode(record, type=StoredVote) if record is not None else None
        self.store_id = stored.store_id if stored is not None else new_store_id
        self.documents = DocumentCache()
        self.documents.in_use.append(lambda: (self.digest, self.acceptor.accepted_value))
        self.state = policy_document.decode(stored.state) if stored is not None and stored.state else genesis
        self.digest = self.documents.add(policy_document.encode(self.state))
        self.previous: PolicyState | None = None  # the one before, while leases of it may be in use
        self.acceptor = Acceptor(self.store_id, self.state.epoch + 1)
        if stored is not None:
            self.acceptor.promised_ballot = stored.promised_ballot
        if stored is not None and stored.accepted_ballot:
            self.acceptor.accepted_ballot = stored.accepted_ballot
            self.acceptor.accepted_value = self.documents.add(stored.accepted_state)
        if record is None:
            self.persist()

    @property
    def is_voter(self) -> bool:
        """Whether this member's votes count: its store is the one that the state names."""
        return self.state.voters.get(self._context.name) == self.store_id

    def decide(self, slot: int, digest: bytes) -> None:
        """Makes the state of a decided slot, which is among the documents, the newest, and persists it."""
        before, self.previous = self.state, None
        self.state, self.digest = policy_document.decode(self.documents[digest]), digest
        if before.epoch == slot - 1:
            self.previous = before
        self.acceptor.close_slot(slot)
        self.persist()

    def persist(self) -> None:
        """Orders the record to be written, where it differs from the one written last."""
        acceptor = self.acceptor
        record = msgspec.msgpack.encode(
            StoredVote(
                self.store_id,
                self.documents[self.digest],
                acceptor.promised_ballot,
                acceptor.accepted_ballot,
                self.documents[acceptor.accepted_value] if acceptor.accepted_ballot else b"",
            )
        )
        if record != self._record:
            self._record = record
            self._context.actions.append(PersistVote(record))

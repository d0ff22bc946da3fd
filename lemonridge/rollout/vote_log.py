"""The durable data of a member: the newest decided state, and the member's vote in the next slot."""

from __future__ import annotations

from collections.abc import Callable, Iterable

import msgspec

from lemonridge.rollout import policy_document
from lemonridge.rollout.member_context import MemberContext, PersistVote
from lemonridge.rollout.paxos import Acceptor
from lemonridge.rollout.policy_document import PolicyState

DOCUMENTS_MAX = 8  # encoded states in memory; those in use are not removed


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
    """The record in the vote store. The order of the fields is part of the format.

    Attributes:
        store_id: The id of the vote store.
        state: The newest decided state, encoded; empty for the genesis state of the brokers' own files.
        promised_ballot: The promised ballot in the slot after that state; 0 for none.
        accepted_ballot: The ballot of the accepted value in that slot; 0 for none.
        accepted_state: The accepted state, encoded; empty for none.
    """

    store_id: int
    state: bytes
    promised_ballot: int = 0
    accepted_ballot: int = 0
    accepted_state: bytes = b""


class DocumentCache:
    """Encoded states by digest. The oldest ones are removed, except for those in use."""

    def __init__(self) -> None:
        self._documents: dict[bytes, bytes] = {}
        self.pinned_digest_sources: list[
            Callable[[], Iterable[bytes]]
        ] = []  # functions that return digests in use

    def __contains__(self, digest: bytes) -> bool:
        return digest in self._documents

    def __getitem__(self, digest: bytes) -> bytes:
        return self._documents[digest]

    def get(self, digest: bytes) -> bytes | None:
        """Returns the encoded state with a digest, or None."""
        return self._documents.get(digest)

    def add(self, data: bytes) -> bytes:
        """Adds an encoded state as the newest entry, and returns its digest."""
        digest = policy_document.digest(data)
        self._documents.pop(digest, None)
        self._documents[digest] = data
        excess = len(self._documents) - DOCUMENTS_MAX
        if excess > 0:
            pinned = {digest}.union(*(digests() for digests in self.pinned_digest_sources))
            for unused in [cached for cached in self._documents if cached not in pinned][:excess]:
                del self._documents[unused]
        return digest


class VoteLog:
    """The newest decided state, and the acceptor of the next slot.

    Args:
        context: The member's identity and action queue.
        genesis: The state of epoch 0, from the brokers' own files.
        record: The record in the vote store. None creates a new record, which is persisted at once.
        new_store_id: The id of the new vote store if `record` is None.

    Raises:
        PolicyError: The state in the record is invalid.
        msgspec.DecodeError: The record is malformed.
    """

    def __init__(
        self, context: MemberContext, genesis: PolicyState, record: bytes | None, new_store_id: int
    ) -> None:
        self._context, self._record = context, record
        stored = msgspec.msgpack.decode(record, type=StoredVote) if record is not None else None
        self.store_id = stored.store_id if stored is not None else new_store_id
        self.documents = DocumentCache()
        self.documents.pinned_digest_sources.append(lambda: (self.digest, self.acceptor.accepted_value))
        self.state = policy_document.decode(stored.state) if stored is not None and stored.state else genesis
        self.digest = self.documents.add(policy_document.encode(self.state))
        # The state of the previous epoch, while its leases may be in use.
        self.previous: PolicyState | None = None
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
        """Whether this member's votes count: the newest state lists it with the id of its store."""
        return self.state.voters.get(self._context.name) == self.store_id

    def record_decision(self, slot: int, digest: bytes) -> None:
        """Makes the state of a decided slot the newest one and persists it.

        The state must be in the document cache.
        """
        previous_state, self.previous = self.state, None
        self.state, self.digest = policy_document.decode(self.documents[digest]), digest
        if previous_state.epoch == slot - 1:
            self.previous = previous_state
        self.acceptor.close_slot(slot)
        self.persist()

    def persist(self) -> None:
        """Queues a write of the record if it differs from the record that was written last."""
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

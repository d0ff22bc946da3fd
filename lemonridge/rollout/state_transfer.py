"""Transfers encoded states between members, in chunks that fit a datagram."""

from __future__ import annotations

from dataclasses import dataclass, field

from lemonridge.fleet.datagrams import CheckRequest, Chunk, ChunkRequest
from lemonridge.rollout import policy_document
from lemonridge.rollout.errors import PolicyError
from lemonridge.rollout.member_context import MemberContext
from lemonridge.rollout.vote_log import DOCUMENTS_MAX, DocumentCache

CHUNK_BYTES = 176
CHUNKS_IN_FLIGHT = 8  # chunks requested at a time
CHUNK_RETRY_US = 60_000  # between two requests for a chunk that did not arrive
# Time without a chunk after which another member that has the state becomes the source.
SOURCE_TIMEOUT_US = 480_000
TRANSFER_TIMEOUT_US = 5_000_000  # of a transfer; a new one begins when the state is needed again


@dataclass(slots=True)
class Transfer:
    """A transfer of a state to this member.

    Attributes:
        decided_slot: The slot in which the state is decided; 0 if it is not known to be decided.
        source: The member that the chunks are requested from.
        chunks: The received chunks, by number.
        chunk_count: The number of chunks of the state; 0 until the first chunk arrives.
        requested_us: When chunks were requested last.
        started_us: When the transfer began.
        progress_us: When the last chunk arrived.
        pending_check: The check request to be answered once the state is complete.
    """

    decided_slot: int
    source: int
    chunks: dict[int, bytes] = field(default_factory=dict)
    chunk_count: int = 0
    requested_us: int = 0
    started_us: int = 0
    progress_us: int = 0
    pending_check: CheckRequest | None = None


class StateTransfer:
    """The transfers of states to one member, and the serving of its states to others."""

    def __init__(self, context: MemberContext, documents: DocumentCache) -> None:
        self._context, self._documents = context, documents
        self.transfers: dict[bytes, Transfer] = {}  # by digest

    def begin(self, digest: bytes, decided_slot: int, source: int, now_us: int) -> Transfer:
        """Begins the transfer of a state from a member that has it, or updates the one under way.

        Args:
            digest: The digest of the state.
            decided_slot: The slot in which the state is decided; 0 if it is not known to be decided.
            source: A member that has the state.
            now_us: The current time.

        Returns:
            The transfer.
        """
        transfer = self.transfers.get(digest)
        if transfer is None:
            if len(self.transfers) >= DOCUMENTS_MAX:
                del self.transfers[next(iter(self.transfers))]
            transfer = Transfer(decided_slot, source, started_us=now_us, progress_us=now_us)
            self.transfers[digest] = transfer
            self._context.send(source, ChunkRequest(digest, 0))
            return transfer
        transfer.decided_slot = max(transfer.decided_slot, decided_slot)
        if now_us - transfer.progress_us > SOURCE_TIMEOUT_US:
            transfer.source, transfer.progress_us = source, now_us
        return transfer

    def serve_chunk(self, member: int, request: ChunkRequest) -> None:
        """Sends the requested chunk of a state if this member has the state."""
        data, offset = self._documents.get(request.digest), request.number * CHUNK_BYTES
        if data is not None and offset < len(data):
            chunk, count = data[offset : offset + CHUNK_BYTES], -(-len(data) // CHUNK_BYTES)
            self._context.send(member, Chunk(request.digest, request.number, count, len(chunk), chunk))

    def add_chunk(self, chunk: Chunk, now_us: int) -> Transfer | None:
        """Adds a chunk.

        Returns:
            The transfer if it is complete and its valid state is in the document cache now, else None.
        """
        transfer = self.transfers.get(chunk.digest)
        chunks_max = policy_document.STATE_BYTES_MAX // CHUNK_BYTES + 1
        if transfer is None or not 0 < chunk.count <= chunks_max or chunk.number >= chunk.count:
            return None
        transfer.chunk_count, transfer.progress_us = chunk.count, now_us
        transfer.chunks[chunk.number] = chunk.data[: chunk.size]
        if len(transfer.chunks) < transfer.chunk_count:
            later_numbers = range(chunk.number + 1, transfer.chunk_count)
            if chunk.number == 0 or not any(number in transfer.chunks for number in later_numbers):
                self._request_chunks(chunk.digest, transfer, now_us)
            return None
        del self.transfers[chunk.digest]
        data = b"".join(transfer.chunks[number] for number in range(transfer.chunk_count))
        if policy_document.digest(data) != chunk.digest:
            return None  # corrupt, or chunks of two states; a new transfer begins when the state is needed
        try:
            policy_document.decode(data)
        except PolicyError:
            return None  # invalid for this version: the source runs another version or sent false data
        self._documents.add(data)
        return transfer

    def _request_chunks(self, digest: bytes, transfer: Transfer, now_us: int) -> None:
        """Requests the next missing chunks, at most CHUNKS_IN_FLIGHT of them."""
        transfer.requested_us = now_us
        missing = [number for number in range(transfer.chunk_count or 1) if number not in transfer.chunks]
        for number in missing[:CHUNKS_IN_FLIGHT]:
            self._context.send(transfer.source, ChunkRequest(digest, number))

    def on_decided(self, slot: int) -> None:
        """Ends the transfers that the decision of a slot makes obsolete."""
        for digest in [
            digest for digest, transfer in self.transfers.items() if transfer.decided_slot <= slot
        ]:
            del self.transfers[digest]

    def tick(self, now_us: int) -> None:
        """Repeats unanswered chunk requests, and ends transfers that exceed TRANSFER_TIMEOUT_US."""
        for digest, transfer in list(self.transfers.items()):
            if now_us - transfer.started_us > TRANSFER_TIMEOUT_US:
                del self.transfers[digest]
            elif now_us - transfer.requested_us >= CHUNK_RETRY_US:
                self._request_chunks(digest, transfer, now_us)

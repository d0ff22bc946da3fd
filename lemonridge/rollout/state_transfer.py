"""Gets encoded states from other members in chunks that fit a datagram, and serves them."""

from __future__ import annotations

from dataclasses import dataclass, field

from lemonridge.fleet.datagrams import CheckRequest, Chunk, ChunkRequest
from lemonridge.rollout import policy_document
from lemonridge.rollout.errors import PolicyError
from lemonridge.rollout.member_context import MemberContext
from lemonridge.rollout.vote_log import DOCUMENTS_MAX, DocumentCache

CHUNK_BYTES = 176
CHUNKS_IN_FLIGHT = 8  # requested at a time
RETRY_US = 60_000  # between two requests of chunks that did not arrive
SOURCE_SILENT_US = 480_000  # without a chunk for so long, another member that has the state is asked
TRANSFER_MAX_US = 5_000_000  # a transfer is given up after this; it begins anew when the state is needed


@dataclass(slots=True)
class Transfer:
    """A state that is being got from a member."""

    decided_slot: int  # 0: it is not known to be decided
    source: int
    chunks: dict[int, bytes] = field(default_factory=dict)
    chunk_count: int = 0
    requested_us: int = 0
    begun_us: int = 0
    progress_us: int = 0  # when the last chunk arrived
    check: CheckRequest | None = None  # to be answered once the state is there


class StateTransfer:
    """The transfers of one member."""

    def __init__(self, context: MemberContext, documents: DocumentCache) -> None:
        self._context, self._documents = context, documents
        self.transfers: dict[bytes, Transfer] = {}  # by digest

    def begin(self, digest: bytes, decided_slot: int, source: int, now_us: int) -> Transfer:
        """Requests a state of a member that has it, or adds to the transfer under way."""
        transfer = self.transfers.get(digest)
        if transfer is None:
            if len(self.transfers) >= DOCUMENTS_MAX:
                del self.transfers[next(iter(self.transfers))]
            transfer = Transfer(decided_slot, source, begun_us=now_us, progress_us=now_us)
            self.transfers[digest] = transfer
            self._context.send(source, ChunkRequest(digest, 0))
            return transfer
        transfer.decided_slot = max(transfer.decided_slot, decided_slot)
        if now_us - transfer.progress_us > SOURCE_SILENT_US:
            transfer.source, transfer.progress_us = source, now_us
        return transfer

    def serve_chunk(self, member: int, request: ChunkRequest) -> None:
        """Sends a chunk of a state, if this member has it."""
        data, offset = self._documents.get(request.digest), request.number * CHUNK_BYTES
        if data is not None and offset < len(data):
            chunk, count = data[offset : offset + CHUNK_BYTES], -(-len(data) // CHUNK_BYTES)
            self._context.send(member, Chunk(request.digest, request.number, count, len(chunk), chunk))

    def add_chunk(self, chunk: Chunk, now_us: int) -> Transfer | None:
        """Adds a chunk. Returns the transfer that it completes, whose state is among the documents then."""
        transfer = self.transfers.get(chunk.digest)
        chunks_max = policy_document.STATE_BYTES_MAX // CHUNK_BYTES + 1
        if transfer is None or not 0 < chunk.count <= chunks_max or chunk.number >= chunk.count:
            return None
        transfer.chunk_count, transfer.progress_us = chunk.count, now_us
        transfer.chunks[chunk.number] = chunk.data[: chunk.size]
        if len(transfer.chunks) < transfer.chunk_count:
            later = range(chunk.number + 1, transfer.chunk_count)
            if chunk.number == 0 or not any(number in transfer.chunks for number in later):
                self._request_chunks(chunk.digest, transfer, now_us)
            return None
        del self.transfers[chunk.digest]
        data = b"".join(transfer.chunks[number] for number in range(transfer.chunk_count))
        if policy_document.digest(data) != chunk.digest:
            return None  # corrupt, or chunks of two states: it is requested anew when it is needed
        try:
            policy_document.decode(data)
        except PolicyError:
            return None  # no state to this program: a member of another version, or one that lies
        self._documents.add(data)
        return transfer

    def _request_chunks(self, digest: bytes, transfer: Transfer, now_us: int) -> None:
        transfer.requested_us = now_us
        missing = [number for number in range(transfer.chunk_count or 1) if number not in transfer.chunks]
        for number in missing[:CHUNKS_IN_FLIGHT]:
            self._context.send(transfer.source, ChunkRequest(digest, number))

    def on_decided(self, slot: int) -> None:
        """Ends the transfers that a decision makes needless."""
        for digest in [one for one, transfer in self.transfers.items() if transfer.decided_slot <= slot]:
            del self.transfers[digest]

    def tick(self, now_us: int) -> None:
        """Repeats requests that were not answered, and gives up old transfers."""
        for digest, transfer in list(self.transfers.items()):
            if now_us - transfer.begun_us > TRANSFER_MAX_US:
                del self.transfers[digest]
            elif now_us - transfer.requested_us >= RETRY_US:
                self._request_chunks(digest, transfer, now_us)

"""Commands to a LUN whose data lies in extents: what is answered from the map, and what becomes which
pieces.
"""

from __future__ import annotations

from collections.abc import Callable

from lemonridge.core.broker import Broker
from lemonridge.core.counters import Counters
from lemonridge.core.model import Answer, AnswerKind, Request
from lemonridge.extents.carrier import Carrier
from lemonridge.extents.errors import RouteError, RouteRejectReason
from lemonridge.extents.joining import JoinResult
from lemonridge.extents.router import Router
from lemonridge.iscsi import scsi
from lemonridge.iscsi.config import READ, WRITE, IscsiConfig, Lun


def _good(reply: object) -> bool:
    assert isinstance(reply, scsi.Reply)
    return reply.status == scsi.Status.GOOD


def reply_of(answer: Answer) -> scsi.Reply:
    """Served: the node's own status. Refused: BUSY. Failed: CHECK CONDITION, its effect unknown."""
    if answer.kind is AnswerKind.SERVED:
        assert isinstance(answer.reply, scsi.Reply)
        return answer.reply
    return scsi.Reply(scsi.Status.BUSY) if answer.kind is AnswerKind.REJECTED else scsi.unreachable()


def request_of(
    config: IscsiConfig,
    command: scsi.Command,
    lun: Lun,
    shard: int,
    deadline_us: int,
    abandoned: Callable[[], bool],
) -> Request:
    """What the core is asked for a command, or for a piece of one; `abandoned`: its initiator has gone."""
    return Request(
        shard=shard,
        volume=lun.lun,
        deadline_us=deadline_us,
        key=scsi.first_block(command.cdb),
        cls=class_of(command),
        plan=lun.plan,
        units=config.units(command.length),
        hosts=config.settings.hosts,
        payload=command,
        has_client_disconnected=abandoned,
    )


def class_of(command: scsi.Command) -> int:
    return WRITE if command.cdb[0] in scsi.WRITES else READ


def _length(request: Request) -> int:
    assert isinstance(request.payload, scsi.Command)
    return request.payload.length


class MappedLuns:
    """Routes commands by the map."""

    def __init__(self, config: IscsiConfig, broker: Broker, router: Router, counters: Counters) -> None:
        self._config, self._router, self._broker, self._counters = config, router, broker, counters
        self._carrier = Carrier(broker, _good)
        self._block = config.extents.block_bytes

    def local(self, command: scsi.Command) -> scsi.Reply | None:
        """The answer that the map alone gives, before any data is asked for."""
        cdb = command.cdb
        if cdb[0] == scsi.READ_CAPACITY_10 or (
            cdb[0] == scsi.SERVICE_ACTION_IN and cdb[1] & 0x1F == scsi.READ_CAPACITY_16
        ):
            blocks = self._router.map.blocks(command.lun)
            if not blocks:
                return scsi.Reply(scsi.Status.BUSY)
            return scsi.Reply(
                scsi.Status.GOOD, scsi.read_capacity_data(cdb, blocks, self._block)[: command.length]
            )
        if cdb[0] not in scsi.READ_WRITE_CDB_BYTES:
            return None
        first, blocks = scsi.block_range(cdb)
        if not blocks:
            return scsi.Reply(scsi.Status.GOOD)
        held = self._router.map.blocks(command.lun)
        if held and first + blocks > held:
            return scsi.out_of_range()
        if blocks * self._block > self._config.max_transfer or (
            command.writes and blocks * self._block > command.length
        ):
            return scsi.invalid_field()
        return None

    async def serve(
        self, command: scsi.Command, lun: Lun, deadline_us: int, abandoned: Callable[[], bool]
    ) -> scsi.Reply:
        """Carry a command by the map; what cannot be routed ends at once, and nothing of it ran."""
        try:
            if command.cdb[0] in scsi.READ_WRITE_CDB_BYTES:
                return await self._blocks(command, lun, deadline_us, abandoned)
            writes = command.cdb[0] in scsi.WRITES
            shards = self._router.shards_of_volume(command.lun, writes)
        except RouteError as error:
            self._counters[f"routes.{error.reason.value}"] += 1
            return (
                scsi.invalid_field()
                if error.reason is RouteRejectReason.TOO_MANY_PIECES
                else scsi.Reply(scsi.Status.BUSY)
            )
        # SYNCHRONIZE CACHE concerns every shard that may hold written blocks: a hand-over makes durable what
        # it hands over, so that a shard which has just lost an extent owes nothing for it. The other commands
        # without blocks are answered alike by every node.
        requests = [request_of(self._config, command, lun, shard, deadline_us, abandoned) for shard in shards]
        return await self._joined(requests if writes else requests[:1], command, writes)

    async def _blocks(
        self, command: scsi.Command, lun: Lun, deadline_us: int, abandoned: Callable[[], bool]
    ) -> scsi.Reply:
        first, blocks = scsi.block_range(command.cdb)
        writes, size = command.cdb[0] in scsi.WRITES, self._block
        requests = []
        for route in self._router.plan_routes(command.lun, first, blocks, writes):
            piece, start = route.piece, (route.piece.first - first) * size
            length = piece.length * size
            data = command.data[start : start + length] if writes else b""
            part = scsi.Command(
                command.lun,
                scsi.with_block_range(command.cdb, piece.first, piece.length),
                command.reads,
                command.writes,
                length,
                data,
            )
            request = request_of(self._config, part, lun, route.shard, deadline_us, abandoned)
            request.route = route
            requests.append(request)
        self._counters["pieces"] += len(requests)
        reply = await self._joined(requests, command, writes)
        if reply.status == scsi.Status.GOOD:
            reply.residual = command.length - blocks * size
        return reply

    async def _joined(self, requests: list[Request], command: scsi.Command, writes: bool) -> scsi.Reply:
        if len(requests) == 1:
            return reply_of(await self._broker.serve(requests[0]))
        joined, answers = await self._carrier.serve(requests, writes)
        self._counters[f"joined.{joined.result.value}"] += 1
        if joined.result is JoinResult.SERVED:
            parts = [reply_of(answer).data for answer in answers if answer is not None]
            wanted = [_length(piece) if command.reads else 0 for piece in requests]
            if [len(part) for part in parts] != wanted:  # joined, they would shift what follows
                return scsi.unreachable()
            return scsi.Reply(scsi.Status.GOOD, b"".join(parts))
        if joined.result is JoinResult.REPORTED:
            answer = answers[joined.piece_index]
            assert answer is not None
            return reply_of(answer)
        return reply_of(
            Answer(AnswerKind.REJECTED if joined.result is JoinResult.REJECTED else AnswerKind.FAILED)
        )

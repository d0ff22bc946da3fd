"""Commands to LUNs whose data lies in extents.

Some are answered from the extent map. The others become one request for each extent, or shard, that they
concern, and the answers to those requests are joined into one reply.
"""

from __future__ import annotations

from collections.abc import Callable

from lemonridge.core.broker import Broker
from lemonridge.core.counters import Counters
from lemonridge.core.memory_budget import Hold
from lemonridge.core.model import Answer, AnswerKind, Request
from lemonridge.extents.carrier import PieceExecutor
from lemonridge.extents.errors import RouteError, RouteRejectReason
from lemonridge.extents.joining import JoinResult
from lemonridge.extents.router import Router
from lemonridge.iscsi import scsi
from lemonridge.iscsi.config import READ, WRITE, IscsiConfig, Lun


def _succeeded(reply: object) -> bool:
    """Returns whether a node's reply reports success."""
    assert isinstance(reply, scsi.Reply)
    return reply.status == scsi.Status.GOOD


def reply_from_answer(answer: Answer) -> scsi.Reply:
    """Returns the SCSI reply for the core's final answer.

    Args:
        answer: The final answer.

    Returns:
        The node's reply if the request was served, BUSY if it was rejected and has not run, otherwise CHECK
        CONDITION, since it is unknown whether the command had an effect.
    """
    if answer.kind is AnswerKind.SERVED:
        assert isinstance(answer.reply, scsi.Reply)
        return answer.reply
    return scsi.Reply(scsi.Status.BUSY) if answer.kind is AnswerKind.REJECTED else scsi.unreachable()


def make_request(
    config: IscsiConfig,
    command: scsi.Command,
    lun: Lun,
    shard: int,
    deadline_us: int,
    has_initiator_disconnected: Callable[[], bool],
    reservation: Hold | None,
) -> Request:
    """Returns the core's request for a command or for one piece of a command.

    Args:
        config: The configuration of the iSCSI front.
        command: The command, or the piece.
        lun: The LUN that it is addressed to.
        shard: The shard that serves it.
        deadline_us: When the initiator gives up, in microseconds of the broker's clock.
        has_initiator_disconnected: Returns whether the initiator has disconnected.
        reservation: Held while a request of the command is open; None if nothing is held.
    """
    return Request(
        shard=shard,
        volume=lun.lun,
        deadline_us=deadline_us,
        key=scsi.first_block(command.cdb),
        cls=request_class_of(command),
        plan=lun.plan,
        units=config.units(command.length),
        hosts=config.settings.hosts,
        payload=command,
        has_client_disconnected=has_initiator_disconnected,
        reservation=reservation,
    )


def request_class_of(command: scsi.Command) -> int:
    """Returns the index of a command's class in the settings: `WRITE` for a command that writes, else `READ`.

    Args:
        command: The command.
    """
    return WRITE if command.cdb[0] in scsi.WRITES else READ


def _transfer_length(request: Request) -> int:
    """Returns the expected transfer length of a request's command, in bytes."""
    assert isinstance(request.payload, scsi.Command)
    return request.payload.length


class MappedLuns:
    """Routes commands by the extent map.

    Counters: `pieces`, `joined.*`, `routes.*`.

    Args:
        config: The configuration of the iSCSI front.
        broker: The core.
        router: The router, which holds the extent map.
        counters: The counters.
    """

    def __init__(self, config: IscsiConfig, broker: Broker, router: Router, counters: Counters) -> None:
        self._config, self._router, self._broker, self._counters = config, router, broker, counters
        self._carrier = PieceExecutor(broker, _succeeded)
        self._block_bytes = config.extents.block_bytes

    def answer_locally(self, command: scsi.Command) -> scsi.Reply | None:
        """Returns the reply that the extent map alone determines, before the command's data is received.

        These are the capacity of the LUN, and the rejection of transfers that are out of range or too long.

        Args:
            command: The command.

        Returns:
            The reply; None if a node has to execute the command.
        """
        cdb = command.cdb
        if cdb[0] == scsi.READ_CAPACITY_10 or (
            cdb[0] == scsi.SERVICE_ACTION_IN and cdb[1] & 0x1F == scsi.READ_CAPACITY_16
        ):
            blocks = self._router.map.blocks(command.lun)
            if not blocks:
                return scsi.Reply(scsi.Status.BUSY)
            return scsi.Reply(
                scsi.Status.GOOD, scsi.read_capacity_data(cdb, blocks, self._block_bytes)[: command.length]
            )
        if cdb[0] not in scsi.READ_WRITE_CDB_BYTES:
            return None
        first, blocks = scsi.block_range(cdb)
        if not blocks:
            return scsi.Reply(scsi.Status.GOOD)
        capacity_blocks = self._router.map.blocks(command.lun)
        if capacity_blocks and first + blocks > capacity_blocks:
            return scsi.out_of_range()
        if blocks * self._block_bytes > self._config.max_transfer or (
            command.writes and blocks * self._block_bytes > command.length
        ):
            return scsi.invalid_field()
        return None

    async def serve(
        self,
        command: scsi.Command,
        lun: Lun,
        deadline_us: int,
        has_initiator_disconnected: Callable[[], bool],
        reservation: Hold | None,
    ) -> scsi.Reply:
        """Serves a command.

        A command that cannot be routed is rejected at once and has not run.

        Args:
            command: The command, with its data.
            lun: The LUN that it is addressed to.
            deadline_us: When the initiator gives up, in microseconds of the broker's clock.
            has_initiator_disconnected: Returns whether the initiator has disconnected.
            reservation: Held while a request of the command is open; None if nothing is held.

        Returns:
            The reply for the initiator.
        """
        try:
            if command.cdb[0] in scsi.READ_WRITE_CDB_BYTES:
                return await self._serve_blocks(
                    command, lun, deadline_us, has_initiator_disconnected, reservation
                )
            writes = command.cdb[0] in scsi.WRITES
            shards = self._router.shards_of_volume(command.lun, writes)
        except RouteError as error:
            self._counters[f"routes.{error.reason.value}"] += 1
            return (
                scsi.invalid_field()
                if error.reason is RouteRejectReason.TOO_MANY_PIECES
                else scsi.Reply(scsi.Status.BUSY)
            )
        # SYNCHRONIZE CACHE goes to every shard that may hold written blocks, including those that served
        # writes ahead of the map. A shard that has handed over an extent is not needed for it, since a
        # handover makes the extent's blocks durable. All other commands without blocks get the same reply
        # from every node.
        requests = [
            make_request(
                self._config, command, lun, shard, deadline_us, has_initiator_disconnected, reservation
            )
            for shard in shards
        ]
        return await self._serve_joined(requests if writes else requests[:1], command, writes)

    async def _serve_blocks(
        self,
        command: scsi.Command,
        lun: Lun,
        deadline_us: int,
        has_initiator_disconnected: Callable[[], bool],
        reservation: Hold | None,
    ) -> scsi.Reply:
        """Serves a READ or WRITE, with one request for each extent that it touches.

        Raises:
            RouteError: The command cannot be routed.
        """
        first, blocks = scsi.block_range(command.cdb)
        writes, block_bytes = command.cdb[0] in scsi.WRITES, self._block_bytes
        requests = []
        for route in self._router.plan_routes(command.lun, first, blocks, writes):
            piece, start = route.piece, (route.piece.first - first) * block_bytes
            length = piece.length * block_bytes
            data = command.data[start : start + length] if writes else b""
            piece_command = scsi.Command(
                command.lun,
                scsi.with_block_range(command.cdb, piece.first, piece.length),
                command.reads,
                command.writes,
                length,
                data,
            )
            request = make_request(
                self._config,
                piece_command,
                lun,
                route.shard,
                deadline_us,
                has_initiator_disconnected,
                reservation,
            )
            request.route = route
            requests.append(request)
        self._counters["pieces"] += len(requests)
        reply = await self._serve_joined(requests, command, writes)
        if reply.status == scsi.Status.GOOD:
            reply.residual = command.length - blocks * block_bytes
        return reply

    async def _serve_joined(self, requests: list[Request], command: scsi.Command, writes: bool) -> scsi.Reply:
        """Serves the requests of a command and joins their answers into one reply."""
        if len(requests) == 1:
            return reply_from_answer(await self._broker.serve(requests[0]))
        outcome, answers = await self._carrier.serve(requests, writes)
        self._counters[f"joined.{outcome.result.value}"] += 1
        if outcome.result is JoinResult.SERVED:
            parts = [reply_from_answer(answer).data for answer in answers if answer is not None]
            expected_lengths = [_transfer_length(piece) if command.reads else 0 for piece in requests]
            # A part that is too short would shift the data of the later ones.
            if [len(part) for part in parts] != expected_lengths:
                return scsi.unreachable()
            return scsi.Reply(scsi.Status.GOOD, b"".join(parts))
        if outcome.result is JoinResult.REPORTED:
            answer = answers[outcome.piece_index]
            assert answer is not None
            return reply_from_answer(answer)
        return reply_from_answer(
            Answer(AnswerKind.REJECTED if outcome.result is JoinResult.REJECTED else AnswerKind.FAILED)
        )

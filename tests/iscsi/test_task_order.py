"""The commands of a session that wait for earlier ones at the same LUN."""

from __future__ import annotations

import pytest

from lemonridge.iscsi.task_order import ALL_BLOCKS, NO_BLOCKS, BlockRange, TaskAttribute, TaskOrder, blocks_of

READ_5, WRITE_5 = bytes([0x28, 0, 0, 0, 0, 5, 0, 0, 2, 0]), bytes([0x2A, 0, 0, 0, 0, 5, 0, 0, 2, 0])
READ_6, WRITE_7 = bytes([0x28, 0, 0, 0, 0, 6, 0, 0, 1, 0]), bytes([0x2A, 0, 0, 0, 0, 7, 0, 0, 1, 0])
SIMPLE, ORDERED, HEAD = TaskAttribute.SIMPLE, TaskAttribute.ORDERED, TaskAttribute.HEAD_OF_QUEUE


def make_order(*commands: tuple[int, bytes]) -> TaskOrder:
    """Returns an order that holds the commands, numbered from 0 in the order of their arrival."""
    order = TaskOrder()
    for number, (attribute, cdb) in enumerate(commands):
        order.add(number, attribute, cdb)
    return order


@pytest.mark.parametrize(
    ("first", "second", "may_run"),
    [
        ((SIMPLE, WRITE_5), (SIMPLE, WRITE_5), False),
        ((SIMPLE, WRITE_5), (SIMPLE, READ_6), False),  # reads the second of the two written blocks
        ((SIMPLE, READ_6), (SIMPLE, WRITE_5), False),
        ((SIMPLE, READ_5), (SIMPLE, READ_5), True),
        ((SIMPLE, WRITE_5), (SIMPLE, WRITE_7), True),
        ((SIMPLE, READ_5), (ORDERED, WRITE_7), False),
        ((ORDERED, READ_5), (SIMPLE, READ_6), False),
        ((HEAD, READ_5), (SIMPLE, READ_6), False),
        ((SIMPLE, WRITE_5), (HEAD, WRITE_5), True),
        ((ORDERED, WRITE_5), (HEAD, READ_5), True),
    ],
)
def test_command_waits_if_its_order_is_observable_or_requested(
    first: tuple[int, bytes], second: tuple[int, bytes], may_run: bool
) -> None:
    order = make_order(first, second)

    assert order.may_run(0)
    assert order.may_run(1) is may_run

    order.remove(0)

    assert order.may_run(1)


def test_waiting_command_holds_back_later_commands() -> None:
    order = make_order((SIMPLE, READ_5), (ORDERED, WRITE_7), (SIMPLE, READ_6))

    assert [order.may_run(number) for number in range(3)] == [True, False, False]

    order.remove(0)

    assert [order.may_run(number) for number in (1, 2)] == [True, False]


@pytest.mark.parametrize(
    ("cdb", "blocks"),
    [
        (
            bytes([0x0A, 0, 0, 9, 0, 0]),
            BlockRange(9, 265),
        ),  # WRITE (6): a transfer length of 0 means 256 blocks
        (bytes([0x8A, 0]) + (9).to_bytes(8, "big") + (3).to_bytes(4, "big") + bytes(2), BlockRange(9, 12)),
        (bytes([0x41, 0, 0, 0, 0, 9, 0, 0, 3, 0]), BlockRange(9, 12)),
        (bytes([0x41, 0, 0, 0, 0, 9, 0, 0, 0, 0]), BlockRange(9, ALL_BLOCKS.end)),
        (bytes([0x89, 0]) + (9).to_bytes(8, "big") + bytes([0, 0, 0, 2, 0, 0]), BlockRange(9, 11)),
        (bytes([0x42]) + bytes(9), ALL_BLOCKS),
        (bytes([0x35]) + bytes(9), NO_BLOCKS),
        (bytes(6), NO_BLOCKS),
    ],
)
def test_blocks_of_each_kind_of_command(cdb: bytes, blocks: BlockRange) -> None:
    assert blocks_of(cdb) == blocks

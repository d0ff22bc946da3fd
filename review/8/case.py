"""A command whose connection is reset while it waits for an earlier one is never answered."""

from __future__ import annotations

import asyncio
import os

from case_lib import (
    ISCSI_TOML,
    TROUBLE,
    BrokerProcess,
    CannotRunError,
    Record,
    Session,
    block_of,
    free_port,
    run_case,
    wait_for_port,
    write_cdb,
)
from node import Node
from proxy import ResettableProxy

TIME2WAIT_S, TIME2RETAIN_S = 2, 20  # as negotiated
REST_AFTER_S = 0.4  # the rest of the first command follows its beginning by so much
# From REST_AFTER_S on the command waits for nothing.
RESET_AFTER_S = float(os.environ.get("RESET_AFTER_S", "0.2"))
TASK_REASSIGN = 8
FIRST_BLOCK, SECOND_BLOCK = 10, 20


async def reassign(session: Session, tag: int, began_s: float) -> str:
    """Logs in anew and asks for the command, as RFC 7143, 7.4 has it, until its time is over."""
    loop = asyncio.get_running_loop()
    link = await session.connect(cid=3)
    await session.answer(session.log_out_for_recovery(link, 2))
    responses: list[int] = []
    while loop.time() < began_s + TIME2WAIT_S + TIME2RETAIN_S + 1:
        request = session.manage(link, TASK_REASSIGN, tag, f"TASK REASSIGN of tag {tag}")
        responses.append((await session.answer(request)).byte2)
        try:
            await session.answer(tag, limit_s=2)
        except TimeoutError:
            continue
        return ""
    return f"TASK REASSIGN got the responses {responses}"


async def case(record: Record, broker: BrokerProcess) -> str:
    """Runs the case; returns what was broken."""
    node = await Node(record, "node-1", 0).start()
    port = free_port()
    lun = '\n[[lun]]\nlun = 0\nplan = "standard"\nshard = 0\n'
    await broker.start_iscsi(ISCSI_TOML.format(port=port) + lun + node.toml())
    await wait_for_port(port)
    proxy = await ResettableProxy(port).start()
    session = Session(record, port, "portal", level=2)
    steady = await session.connect(cid=1)
    other = await session.connect(cid=2, port=proxy.port)
    await session.until_good(lambda: session.write_block(steady, FIRST_BLOCK, "init"))
    await session.until_good(lambda: session.write_block(other, SECOND_BLOCK, "init"))

    first, first_pdu = session.command(write_cdb(FIRST_BLOCK), block_of("one"), what="WRITE, in two segments")
    second, second_pdu = session.command(
        write_cdb(SECOND_BLOCK), block_of("two"), what="WRITE, whole", link_cid=2
    )
    data = steady.encode(first_pdu)
    steady.write(data[:100])
    other.write(other.encode(second_pdu))
    began_s = asyncio.get_running_loop().time()
    await asyncio.sleep(min(RESET_AFTER_S, REST_AFTER_S))
    if TROUBLE and RESET_AFTER_S < REST_AFTER_S:
        proxy.reset()
    await asyncio.sleep(max(0.0, REST_AFTER_S - RESET_AFTER_S))
    steady.write(data[100:])
    record.note("portal: the rest of the first command is sent")
    if TROUBLE and RESET_AFTER_S >= REST_AFTER_S:
        await asyncio.sleep(0.01)
        proxy.reset()
    if (await session.answer(first)).byte3:
        raise CannotRunError("the first command was not served")
    if not TROUBLE:
        await session.answer(second)
        return ""

    await asyncio.sleep(TIME2WAIT_S)
    ran = sum(block == SECOND_BLOCK for _, block in node.arrivals) - 1
    record.note(f"portal: ExpCmdSN is {session.exp_cmd_sn}; the node has run the second command {ran} times")
    if session.exp_cmd_sn <= second_pdu.words[1]:
        raise CannotRunError("the target has not taken the second command")
    missing = await reassign(session, second, began_s)
    if missing:
        return f"the second command was taken, ran {ran} times and was never answered; {missing}"
    return ""


run_case(__file__, case)

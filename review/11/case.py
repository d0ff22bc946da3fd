"""A session whose connection was replaced is forgotten: a planned restart serves it on until the kill."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent.parent
sys.path[:0] = [str(ROOT), str(ROOT / "review" / "lib-3"), str(ROOT / "review" / "standins-2")]

from case_lib import Link, Session, block_of, write_cdb  # noqa: E402
from iscsi_front import start_broker, start_node  # noqa: E402
from lossy_proxy import LossyProxy  # noqa: E402
from support import BROKEN, HELD, TROUBLE, Broker, CannotRunError, Case, Record, run_case  # noqa: E402

from lemonridge.iscsi.pdu import FINAL, Op, Pdu  # noqa: E402
from lemonridge.lab.standins.etcd import Etcd  # noqa: E402

NODE_S = 0.08  # BRIEF: a write needs 56 to 90 ms
LANES = 3  # commands that the initiator has out at a time
SILENT_S = 2.0  # until the initiator gives the silent connection up
KILL_AFTER_TERM_S = 2.5 + 0.7  # PROTOCOL: the longest deadline (2.5 s in deploy/iscsi.toml) and 0.7 s
EARLY_S = 0.7  # PROTOCOL: what came sooner after SIGTERM and is unanswered at SIGKILL is not lost
LOGOUT_ASYNC_EVENT, LOGOUT_TAG = 1, 0x7FFFFFFF
ANSWER_LIMIT_S = 5.0


class Notes:
    """The record, as the initiator of the earlier cases writes it."""

    def __init__(self, record: Record) -> None:
        self.note = record.line


class Portal(Session):
    """An initiator at recovery level 0 that notes when the target asks for a logout."""

    logout_asked = False

    def on_pdu(self, link: Link, pdu: Pdu) -> None:
        """Takes a received PDU."""
        super().on_pdu(link, pdu)
        if pdu.opcode == Op.ASYNC and pdu.words[4] >> 24 == LOGOUT_ASYNC_EVENT:
            self.logout_asked = True


class Writes:
    """Writes one after another in a few lanes, while the connection is open and no logout is asked for."""

    def __init__(self, session: Portal, link: Link) -> None:
        self._session, self._link, self._over = session, link, False
        self._loop = asyncio.get_running_loop()
        self.open: dict[int, tuple[float, int]] = {}  # when it was sent, and CmdSN, by task tag
        self.answered: list[float] = []

    def start(self) -> None:
        """Starts the lanes."""
        self._tasks = [asyncio.create_task(self._lane(number)) for number in range(LANES)]

    async def stop(self) -> None:
        """Ends the lanes at once."""
        self._over = True
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def log_out_when_asked(self) -> None:
        """Logs out once the target has asked for it and the open writes are answered."""
        await asyncio.gather(*self._tasks)
        if self._session.logout_asked:
            words = [self._link.cid << 16, self._session.cmd_sn, 0, 0, 0, 0, 0]
            logout = Pdu(Op.LOGOUT, FINAL, tag=LOGOUT_TAG, immediate=True, words=words)
            self._link.write(self._link.encode(logout))

    async def _lane(self, number: int) -> None:
        session, link = self._session, self._link
        while not (self._over or link.lost or session.logout_asked):
            tag, pdu = session.command(
                write_cdb(number), block_of(f"{number}"), what="WRITE", link_cid=link.cid
            )
            self.open[tag] = self._loop.time(), pdu.words[1]
            link.write(link.encode(pdu))
            with contextlib.suppress(TimeoutError):
                await session.answer(tag, ANSWER_LIMIT_S)
                del self.open[tag]
                self.answered.append(self._loop.time())


async def log_in(case: Case, port: int) -> tuple[Portal, Link]:
    """Opens the session; with TROUBLE its connection falls silent and is replaced (RFC 7143, 6.3.4)."""
    proxy = await LossyProxy(port).start()
    session = Portal(Notes(case.record), port, "portal", level=0)  # type: ignore[arg-type]
    link = await session.connect(cid=1, port=proxy.port)
    await session.until_good(lambda: session.write_block(link, 0, "init"))
    if TROUBLE:
        case.record.line("network: connection 1 falls silent")
        proxy.is_silent = True
        await asyncio.sleep(SILENT_S)
        link.close()
        link = await session.connect(cid=1)
    await session.until_good(lambda: session.write_block(link, 0, "next"))
    return session, link


async def end_broker(case: Case, broker: Broker) -> bool:
    """Ends the broker as at a planned restart; returns whether SIGKILL found it running."""
    broker.process.send_signal(signal.SIGTERM)
    case.record.line("broker: SIGTERM")
    try:
        async with asyncio.timeout(KILL_AFTER_TERM_S):
            await broker.process.wait()
    except TimeoutError:
        return True
    case.record.line(f"broker: ended with {broker.process.returncode}")
    return False


async def play(case: Case) -> int:
    """Plays the case; returns the exit status."""
    loop, etcd = asyncio.get_running_loop(), await Etcd().start()
    node = await start_node(case, etcd)
    broker, port = await start_broker(case, etcd)
    session, link = await log_in(case, port)
    node.delay_s = lambda: NODE_S
    writes = Writes(session, link)
    writes.start()
    await asyncio.sleep(1.0)
    if not writes.answered:
        raise CannotRunError("no write was served")
    term_s = loop.time()
    logging_out = asyncio.create_task(writes.log_out_when_asked())
    was_killed = await end_broker(case, broker)
    taken = session.exp_cmd_sn
    late = [sn for sent_s, sn in writes.open.values() if sent_s > term_s + EARLY_S and sn < taken]
    broker.kill_now()
    case.record.line(f"broker: SIGKILL found it {'running' if was_killed else 'ended'}")
    await writes.stop()
    logging_out.cancel()
    served_late = sum(at_s > term_s + EARLY_S for at_s in writes.answered)
    case.record.say(
        f"logout asked for: {session.logout_asked}; {served_late} writes answered later than {EARLY_S} s "
        f"after SIGTERM; {len(late)} that were taken later than that had no answer at the end"
    )
    return BROKEN if late else HELD


run_case(__file__, play)

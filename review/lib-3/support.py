"""Shared helpers of the scripts of this review: the program as a process, the record, free ports.

The scripts run with `.venv/bin/python` from the root of the repository, as the deploy file builds it, and
need no other library than those that the program itself needs.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent.parent
HELD, BROKEN, NOT_RUN = 0, 1, 2
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
PROGRAM_START_S = 30.0  # DEPLOY: clients come once all brokers are ready, or after 30 s


class CannotRunError(Exception):
    """The case could not be played, so it says nothing about the rule."""


class Record:
    """Writes what was sent, answered and run to `record.txt` beside the script, and to standard output."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w")
        self._began_s = time.monotonic()
        self.line(f"trouble={int(TROUBLE)}")

    def line(self, text: str) -> None:
        """Writes one line with the time since the start in seconds."""
        self._file.write(f"{time.monotonic() - self._began_s:8.3f} {text}\n")
        self._file.flush()

    def say(self, text: str) -> None:
        """Writes one line, and prints it."""
        self.line(text)
        print(text, flush=True)


def free_port(kind: int = socket.SOCK_STREAM) -> int:
    """Returns a port of loopback that is free at the moment."""
    with socket.socket(type=kind) as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


class Broker:
    """One process of the program, started with the line `run` of the deploy file.

    Args:
        name: Its name in the record.
        record: Receives the lines of its log that are asked for.
        folder: The folder for its log.
    """

    def __init__(self, name: str, record: Record, folder: Path) -> None:
        self.name, self._record = name, record
        self._log_path = folder / f"{name}.log"

    async def start(self, arguments: str = "", inherited_fd: int | None = None, **environment: str) -> Broker:
        """Starts the process; `arguments` are appended to the line `run`."""
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        self._log = self._log_path.open("wb")
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh",
            "-c",
            f"{run} {arguments}".strip(),
            cwd=ROOT,
            stdout=self._log,
            stderr=self._log,
            pass_fds=() if inherited_fd is None else (inherited_fd,),
            env={"PATH": os.environ["PATH"], **environment},
        )
        self._record.line(f"{self.name}: started")
        return self

    def log_text(self) -> str:
        """Returns the log so far."""
        return self._log_path.read_text(errors="replace")

    async def wait_for_log(self, text: str, timeout_s: float = PROGRAM_START_S) -> str:
        """Waits for a line of the log that contains `text`, and returns it.

        Raises:
            CannotRunError: The process ended, or the time is over.
        """
        end_s = time.monotonic() + timeout_s
        while time.monotonic() < end_s:
            for line in self.log_text().splitlines():
                if text in line:
                    return line
            if self.process.returncode is not None:
                break
            await asyncio.sleep(0.01)
        raise CannotRunError(f"{self.name}: no line {text!r} in its log:\n{self.log_text()[-2000:]}")

    async def stop(self, number: signal.Signals = signal.SIGTERM, timeout_s: float = 10.0) -> None:
        """Sends a signal and waits for the end; SIGKILL follows after `timeout_s`."""
        if self.process.returncode is None:
            self._record.line(f"{self.name}: {number.name}")
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(number)
            try:
                async with asyncio.timeout(timeout_s):
                    await self.process.wait()
            except TimeoutError:
                with contextlib.suppress(ProcessLookupError):
                    self.process.kill()
                await self.process.wait()
            self._record.line(f"{self.name}: ended with {self.process.returncode}")
        self._log.close()

    def kill_now(self) -> None:
        """Ends the process at once, without waiting; for the end of the script."""
        if self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.kill()


class Case:
    """The frame of a script: temporary folder, record, processes to end, and the exit status."""

    def __init__(self, folder: Path) -> None:
        self.record = Record(folder)
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self._brokers: list[Broker] = []

    async def broker(self, name: str, arguments: str = "", **options: Any) -> Broker:
        """Starts a process that is ended with the script."""
        broker = Broker(name, self.record, self.folder)
        self._brokers.append(broker)
        return await broker.start(arguments, **options)

    async def end(self) -> None:
        """Ends all processes."""
        for broker in self._brokers:
            broker.kill_now()
        await asyncio.gather(*(broker.process.wait() for broker in self._brokers))

    def clean(self) -> None:
        """Removes the temporary folder."""
        shutil.rmtree(self.folder, ignore_errors=True)


def run_case(script: str, play: Callable[[Case], Awaitable[int]], limit_s: float = 110.0) -> None:
    """Plays a case and exits with its status: 0 held, 1 broken, 2 could not run."""
    case = Case(Path(script).resolve().parent)

    async def main() -> int:
        playing = asyncio.ensure_future(play(case))
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, playing.cancel)
        try:
            async with asyncio.timeout(limit_s):
                return await playing
        except CannotRunError as error:
            case.record.say(f"could not run: {error}")
        except TimeoutError:
            case.record.say("could not run: the time is over")
        except (Exception, asyncio.CancelledError) as error:
            case.record.say(f"could not run: {type(error).__name__}: {error}")
        finally:
            await case.end()
        return NOT_RUN

    status = NOT_RUN
    try:
        status = asyncio.run(main())
    finally:
        case.clean()
    case.record.say({HELD: "the rule held", BROKEN: "the rule was broken"}.get(status, "no verdict"))
    sys.stdout.flush()
    os._exit(status)

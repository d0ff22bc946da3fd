"""The real program as a process, with its log read line by line."""

from __future__ import annotations

import asyncio
import os
import re
import signal
import sys
import tempfile
from collections.abc import AsyncGenerator, Callable
from contextlib import asynccontextmanager
from pathlib import Path

START_TIMEOUT_S, STOP_TIMEOUT_S = 15.0, 15.0
PAIR = re.compile(r'(\S+?)=("(?:[^"\\]|\\.)*"|\S*)')  # of a log line; a value with spaces is quoted


class ProgramError(Exception):
    """The program did not start, or not end, as it should."""


class Program:
    """One broker. `heard` gets every log line as a dictionary of its keys, with the time of its arrival."""

    def __init__(
        self,
        *arguments: str,
        cwd: str | None = None,
        environment: dict[str, str] | None = None,
        module: tuple[str, ...] = ("lemonridge",),
    ) -> None:
        """`cwd` is where another checkout of the program lies; None: this one. `environment` adds to ours.
        `module` is what is run, with its first arguments.
        """
        self._module = module
        self._arguments, self._cwd, self._environment = arguments, cwd, environment or {}
        self.log_listeners: list[Callable[[float, dict[str, str]], None]] = []
        self.counters: dict[str, int] = {}
        self.last_log_lines: list[str] = []
        self._listening: asyncio.Future[int] = asyncio.get_running_loop().create_future()

    async def start(self) -> int:
        """The port that it listens on."""
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            *self._module,
            *self._arguments,
            stderr=asyncio.subprocess.PIPE,
            cwd=self._cwd,
            env={**os.environ, "PYTHONDONTWRITEBYTECODE": "1", **self._environment},
        )
        self._reader = asyncio.create_task(self._read())
        async with asyncio.timeout_at(asyncio.get_running_loop().time() + START_TIMEOUT_S):
            return await self._listening

    async def _read(self) -> None:
        assert self.process.stderr is not None
        while text := (await self.process.stderr.readline()).decode():
            self.last_log_lines = [*self.last_log_lines[-30:], text]
            pairs = {key: value.strip('"') for key, value in PAIR.findall(text)}
            for hear in self.log_listeners:
                hear(asyncio.get_running_loop().time(), pairs)
            if pairs.get("event") == "counters":
                self.counters = {name: int(value) for name, value in pairs.items() if value.isdigit()}
            if pairs.get("event") == "listening" and not self._listening.done():
                self._listening.set_result(int(pairs["address"].rpartition(":")[2]))
        if not self._listening.done():
            self._listening.set_exception(ProgramError("".join(self.last_log_lines)))

    @property
    def cpu_s(self) -> float:
        """User and system time so far, by /proc/PID/stat; 0 where there is none."""
        try:
            with open(f"/proc/{self.process.pid}/stat", encoding="ascii") as file:
                fields = file.read().rpartition(")")[2].split()
        except OSError:
            return 0.0
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    async def stop(self) -> None:
        """SIGTERM; ProgramError if it does not end with 0."""
        if self.process.returncode is None:
            self.process.send_signal(signal.SIGTERM)
        try:
            async with asyncio.timeout_at(asyncio.get_running_loop().time() + STOP_TIMEOUT_S):
                status = await self.process.wait()
                await self._reader
        except TimeoutError:
            self.process.kill()
            raise ProgramError(f"it did not end in {STOP_TIMEOUT_S:g} s") from None
        if status:
            raise ProgramError(f"it ended with {status}: {''.join(self.last_log_lines)}")


@asynccontextmanager
async def running_program(
    config_text: str,
    *,
    secrets: str = "",
    cwd: str | None = None,
    stop: bool = True,
    on_log_line: Callable[[float, dict[str, str]], None] | None = None,
) -> AsyncGenerator[tuple[Program, int], None]:
    """The program on an operator's file that holds `text`, and its port, until the block ends; then it is
    stopped, or killed where `stop` is False or the block failed.

    `{folder}` in the text is where the file lies, and beside it `secrets.toml`, if there are `secrets`.
    """
    with tempfile.TemporaryDirectory() as folder:
        if secrets:
            file = Path(folder) / "secrets.toml"
            file.write_text(secrets)
            file.chmod(0o600)
        path = Path(folder) / "operator.toml"
        path.write_text(config_text.replace("{folder}", folder))
        program = Program("serve", "--config", str(path), cwd=cwd)
        if on_log_line is not None:
            program.log_listeners.append(on_log_line)
        try:
            yield program, await program.start()
            if stop:
                await program.stop()
        finally:
            if program.process.returncode is None:
                program.process.kill()
                await program.process.wait()

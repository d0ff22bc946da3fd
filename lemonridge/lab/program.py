"""Runs the real program as a subprocess and reads its log line by line."""

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
LOG_FIELD = re.compile(r'(\S+?)=("(?:[^"\\]|\\.)*"|\S*)')  # key=value; values with spaces are quoted


class ProgramError(Exception):
    """The program failed to start, to become ready or to stop."""


def processor_wait_s(process_id: int) -> float:
    """Returns how long a process's main thread was ready to run and had no processor, in seconds.

    Args:
        process_id: The process; 0 seconds if it has ended.
    """
    try:
        with open(f"/proc/{process_id}/schedstat", encoding="ascii") as file:
            _, waited_ns, _ = file.read().split()
    except (OSError, ValueError):
        return 0.0
    return int(waited_ns) / 1e9


class Program:
    """One broker process.

    Attributes:
        process: The subprocess, once started.
        log_listeners: Called with the loop's time in seconds and the fields of each log line.
        counters: The latest counters that the program has logged.
        last_log_lines: The last 31 log lines.
    """

    def __init__(
        self,
        *arguments: str,
        cwd: str | None = None,
        environment: dict[str, str] | None = None,
        module: tuple[str, ...] = ("lemonridge",),
    ) -> None:
        """Prepares a process; `start` starts it.

        Args:
            *arguments: Command-line arguments.
            cwd: Directory of another checkout of the program; None for this one.
            environment: Variables to add to this process's environment.
            module: Module to run, with its first arguments.
        """
        self._module = module
        self._arguments, self._cwd, self._environment = arguments, cwd, environment or {}
        self.log_listeners: list[Callable[[float, dict[str, str]], None]] = []
        self.counters: dict[str, int] = {}
        self.last_log_lines: list[str] = []
        self._bound_port: asyncio.Future[int] = asyncio.get_running_loop().create_future()

    async def start(self) -> int:
        """Starts the process and returns the port that it listens on.

        Raises:
            ProgramError: The process ended before it listened.
            TimeoutError: It does not listen within START_TIMEOUT_S.
        """
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
            return await self._bound_port

    async def _read(self) -> None:
        assert self.process.stderr is not None
        while line := (await self.process.stderr.readline()).decode():
            self.last_log_lines = [*self.last_log_lines[-30:], line]
            fields = {key: value.strip('"') for key, value in LOG_FIELD.findall(line)}
            for listener in self.log_listeners:
                listener(asyncio.get_running_loop().time(), fields)
            if fields.get("event") == "counters":
                self.counters = {name: int(value) for name, value in fields.items() if value.isdigit()}
            if fields.get("event") == "listening" and not self._bound_port.done():
                self._bound_port.set_result(int(fields["address"].rpartition(":")[2]))
        if not self._bound_port.done():
            self._bound_port.set_exception(ProgramError("".join(self.last_log_lines)))

    @property
    def cpu_s(self) -> float:
        """User and system CPU time in seconds, from /proc/PID/stat; 0 if there is no such file."""
        try:
            with open(f"/proc/{self.process.pid}/stat", encoding="ascii") as file:
                fields = file.read().rpartition(")")[2].split()
        except OSError:
            return 0.0
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    async def stop(self) -> None:
        """Stops the process with SIGTERM.

        Raises:
            ProgramError: It does not exit within STOP_TIMEOUT_S, or its exit status is not 0.
        """
        if self.process.returncode is None:
            self.process.send_signal(signal.SIGTERM)
        try:
            async with asyncio.timeout_at(asyncio.get_running_loop().time() + STOP_TIMEOUT_S):
                exit_status = await self.process.wait()
                await self._reader
        except TimeoutError:
            self.process.kill()
            raise ProgramError(f"the program did not exit within {STOP_TIMEOUT_S:g} s") from None
        if exit_status:
            raise ProgramError(
                f"the program exited with status {exit_status}: {''.join(self.last_log_lines)}"
            )


@asynccontextmanager
async def running_program(
    config_text: str,
    *,
    secrets: str = "",
    cwd: str | None = None,
    stop: bool = True,
    on_log_line: Callable[[float, dict[str, str]], None] | None = None,
) -> AsyncGenerator[tuple[Program, int], None]:
    """Runs the program with an operator's file until the block ends.

    The program is then stopped, or killed if `stop` is False or the block failed.

    Args:
        config_text: Content of the operator's file; `{folder}` stands for the directory of the file.
        secrets: Content of `secrets.toml` in the same directory; empty for no such file.
        cwd: Directory of another checkout of the program; None for this one.
        stop: Whether to stop the program cleanly.
        on_log_line: Called with the loop's time in seconds and the fields of each log line.

    Yields:
        The program and the port that it listens on.
    """
    with tempfile.TemporaryDirectory() as folder:
        if secrets:
            secrets_path = Path(folder) / "secrets.toml"
            secrets_path.write_text(secrets)
            secrets_path.chmod(0o600)
        config_path = Path(folder) / "operator.toml"
        config_path.write_text(config_text.replace("{folder}", folder))
        program = Program("serve", "--config", str(config_path), cwd=cwd)
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

"""Injects failures of system calls into a program that a test has started.

Python imports this module at the start of a program whose PYTHONPATH contains its folder. The environment
variable TEST_FAULTS names a JSON file with the faults. The file is read at each intercepted call, so that a
test can begin and end a fault at any time. Its keys:

    wall_step_s    an offset of the wall clock in seconds; the monotonic clock is not changed
    accept         the name of the errno with which `accept` fails
    setsockopt     the same for `setsockopt`, on sockets whose local port is `setsockopt_port`
    connect        the same for `connect`, to the ports in the list `connect_ports` (to any port without it)
    fsync          the same for `fsync` of files and folders
    read           the same for opening a file for reading whose name contains `read_name`
    recv           the same for `recv` from a peer whose port is in the list `recv_ports`
    send_at_most   the largest number of bytes that one `send` or `recv` transfers
"""

from __future__ import annotations

import errno
import io
import json
import os
import socket
import time
from typing import Any

FILE = os.environ.get("TEST_FAULTS")
_open = io.open


def _faults() -> dict[str, Any]:
    try:
        with _open(FILE) as file:  # type: ignore[arg-type]
            return dict(json.load(file))
    except (OSError, ValueError):
        return {}


def _fail(fault: str) -> None:
    name = _faults().get(fault)
    if name:
        number = getattr(errno, name)
        raise OSError(number, os.strerror(number))


def _wrap(owner: Any, name: str, fault: str) -> None:
    original = getattr(owner, name)

    def wrapped(*args: Any, **options: Any) -> Any:
        _fail(fault)
        return original(*args, **options)

    setattr(owner, name, wrapped)


def _install() -> None:
    original_time_ns = time.time_ns
    time.time_ns = lambda: original_time_ns() + int(_faults().get("wall_step_s", 0) * 1e9)
    time.time = lambda: time.time_ns() / 1e9
    _wrap(socket.socket, "accept", "accept")
    original_setsockopt = socket.socket.setsockopt

    def setsockopt(self: socket.socket, *args: Any) -> None:
        if self.family == socket.AF_INET and self.getsockname()[1] == _faults().get("setsockopt_port"):
            _fail("setsockopt")
        original_setsockopt(self, *args)

    socket.socket.setsockopt = setsockopt  # type: ignore[method-assign]
    _wrap(os, "fsync", "fsync")
    original_connect = socket.socket.connect

    def connect(self: socket.socket, address: Any) -> Any:
        ports = _faults().get("connect_ports")
        if isinstance(address, tuple) and (ports is None or address[1] in ports):
            _fail("connect")
        return original_connect(self, address)

    socket.socket.connect = connect  # type: ignore[method-assign]

    original_send, original_recv = socket.socket.send, socket.socket.recv

    def send(self: socket.socket, data: Any, *args: Any) -> int:
        max_bytes = _faults().get("send_at_most")
        return original_send(self, memoryview(data)[:max_bytes] if max_bytes else data, *args)

    def recv(self: socket.socket, size: int, *args: Any) -> bytes:
        faults = _faults()
        if faults.get("recv") and self.getpeername()[1] in faults["recv_ports"]:
            _fail("recv")
        return original_recv(self, min(size, faults.get("send_at_most") or size), *args)

    socket.socket.send = send  # type: ignore[method-assign]
    socket.socket.recv = recv  # type: ignore[method-assign]

    def open_file(file: Any, mode: str = "r", *args: Any, **options: Any) -> Any:
        if "r" in mode and not isinstance(file, int) and _faults().get("read_name", "\0") in str(file):
            _fail("read")
        return _open(file, mode, *args, **options)

    io.open = open_file  # type: ignore[assignment]


if FILE:
    _install()

"""What the cases of the iSCSI front share: the broker with deploy/iscsi.toml, and its node in etcd."""

from __future__ import annotations

from random import Random

from caching_node import CachingNode
from support import ROOT, Broker, Case, free_port

from lemonridge.lab.standins.etcd import Etcd
from lemonridge.lab.standins.node import HeldExtent
from lemonridge.lab.ticks import Ticks

PREFIX = "/lemonridge/"
NODE_KEY = f"{PREFIX}nodes/n0"
BLOCKS = 64  # of the node


async def start_node(case: Case, etcd: Etcd) -> CachingNode:
    """Starts the node of LUN 0, and lists it in etcd."""
    node = CachingNode("n0", 0, Ticks(), Random(0), accepts_unversioned=True, checks_versions=False)
    node.on_event = case.record.line
    node.add_extent((0, 0), HeldExtent(BLOCKS, 1), {})
    await node.start()
    etcd.put(NODE_KEY, node.etcd_entry())
    return node


async def start_broker(case: Case, etcd: Etcd, **changes: str) -> tuple[Broker, int]:
    """Starts the broker with deploy/iscsi.toml, its nodes in etcd; returns it and its port.

    Args:
        case: The case.
        etcd: The stand-in of etcd.
        **changes: New values of keys that stand in the file.
    """
    port, path = free_port(), case.folder / "iscsi.toml"
    text = (ROOT / "deploy" / "iscsi.toml").read_text()
    text = text[: text.index("[[node]]")].replace("127.0.0.1:3260", f"127.0.0.1:{port}")
    for key, value in changes.items():
        lines = [f"{key} = {value}" if line.startswith(f"{key} =") else line for line in text.splitlines()]
        text = "\n".join(lines)
    path.write_text(f'{text}\n[etcd]\nendpoint = "127.0.0.1:{etcd.port}"\nprefix = "{PREFIX}"\n')
    broker = await case.broker("broker", f"--config {path}")
    await broker.wait_for_log("event=listening")
    await broker.wait_for_log("endpoint=n0")
    return broker, port

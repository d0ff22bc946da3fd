"""Rows that the operator's file and etcd's keys have in common, as the types that the program uses."""

from __future__ import annotations

from lemonridge.config.address import Address
from lemonridge.config.operator_schema import NodeTable, PlanTable
from lemonridge.core.endpoint_registry import EndpointAddress
from lemonridge.scheduling.events import Endpoint, EndpointState
from lemonridge.scheduling.settings import VolumePlan

ENDPOINT_STATES = {"up": EndpointState.ACTIVE, "draining": EndpointState.DRAINING}


def plan_from_table(row: PlanTable) -> VolumePlan:
    """The contract of a volume: rates in units a second, a limit of 0 is none."""
    return VolumePlan(
        base_rate=row.rate,
        reserve=row.reserve,
        weight=row.weight,
        limit=row.limit,
        burst=row.limit if row.burst is None else row.burst,
        slack=0.0,
    )


def endpoint_from_table(row: NodeTable, path: str) -> EndpointAddress:
    """A node of the file or of etcd; its address here is `HOST:PORT/TARGET`.

    Args:
        row: the node's table.
        path: the key that holds it, for an error's message.

    Raises:
        ConfigError: the address is not HOST:PORT.
    """
    address = Address.parse(row.address, f"{path}.address")
    endpoint = Endpoint(
        endpoint_id=row.name,
        shard=row.shard,
        zone=0,
        state=ENDPOINT_STATES[row.health],
        started_us=row.started_ms * 1000,
    )
    return EndpointAddress(endpoint, f"{address}/{row.target}")

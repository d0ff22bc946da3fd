"""Converts tables that both the operator's file and etcd contain (plans, nodes) to the broker's types."""

from __future__ import annotations

from lemonridge.config.address import Address
from lemonridge.config.operator_schema import NodeTable, PlanTable
from lemonridge.core.endpoint_registry import EndpointAddress
from lemonridge.scheduling.events import Endpoint, EndpointState
from lemonridge.scheduling.settings import VolumePlan

ENDPOINT_STATES = {"up": EndpointState.ACTIVE, "draining": EndpointState.DRAINING}


def plan_from_table(table: PlanTable) -> VolumePlan:
    """Returns the contract of a volume: rates are in units per second, a limit of 0 means no limit."""
    return VolumePlan(
        base_rate=table.rate,
        reserve=table.reserve,
        weight=table.weight,
        limit=table.limit,
        burst=table.limit if table.burst is None else table.burst,
        slack=0.0,
    )


def endpoint_from_table(table: NodeTable, path: str) -> EndpointAddress:
    """Returns the endpoint of a node, with the address `HOST:PORT/TARGET`.

    Args:
        table: The node's table.
        path: The table's key, for the error message.

    Raises:
        ConfigError: The address is not HOST:PORT.
    """
    address = Address.parse(table.address, f"{path}.address")
    endpoint = Endpoint(
        endpoint_id=table.name,
        shard=table.shard,
        zone=0,
        state=ENDPOINT_STATES[table.health],
        started_us=table.started_ms * 1000,
    )
    return EndpointAddress(endpoint, f"{address}/{table.target}")

"""Parses the JSON of discovery's endpoint list; the only module that knows its keys.

An answer is `{"seq": VERSION, "whole": BOOL, "hosts": [ENTRY, ...]}`, and an entry has the keys `"host"`,
`"block"`, `"site"`, `"health"`, `"born_ms"` and `"dial"`.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import orjson

from lemonridge.config.address import Address
from lemonridge.config.errors import ConfigError
from lemonridge.core.endpoint_registry import EndpointAddress
from lemonridge.net.errors import MalformedListError
from lemonridge.scheduling.events import Endpoint, EndpointState

ENDPOINT_STATES = {
    "up": EndpointState.ACTIVE,
    "draining": EndpointState.DRAINING,
    "removed": EndpointState.REMOVED,
}


@dataclass(frozen=True, slots=True)
class DiscoveryAnswer:
    """The answer to one call; its entries are not parsed yet.

    Attributes:
        version: The version of the list once the answer is applied.
        is_snapshot: Whether the answer is the complete list; otherwise it holds the changes since the
            requested version.
        content: The decoded JSON object.
    """

    version: int
    is_snapshot: bool
    content: Any

    def endpoints(self, zones: tuple[str, ...]) -> list[EndpointAddress]:
        """Parses the entries; see `parse_endpoint_list`."""
        return parse_endpoint_list(self.content, zones)


def parse_answer(body: bytes) -> DiscoveryAnswer:
    """Parses the version and the kind of an answer.

    Raises:
        MalformedListError: The answer is not JSON, or its version or kind is missing or malformed.
    """
    try:
        content = orjson.loads(body)
        version, is_snapshot = content["seq"], content["whole"]
    except (ValueError, KeyError, TypeError) as error:
        raise MalformedListError(f"{type(error).__name__}: {error}") from None
    if type(version) is not int or type(is_snapshot) is not bool:
        raise MalformedListError("'seq' must be a whole number, and 'whole' true or false")
    return DiscoveryAnswer(version, is_snapshot, content)


def parse_endpoint_list(content: Any, zones: tuple[str, ...]) -> list[EndpointAddress]:
    """Parses the entries of a list.

    Args:
        content: The object with the entries under `hosts`.
        zones: The zones in the settings, in the order of their numbers.

    Raises:
        MalformedListError: An entry is malformed. The list is rejected as a whole, because the other entries
            alone would form a list that discovery never published.
    """
    try:
        if not isinstance(content["hosts"], list):
            raise MalformedListError("'hosts' must be a list")
        return [_parse_entry(entry, zones) for entry in content["hosts"]]
    except (KeyError, TypeError, ValueError, OverflowError, ConfigError) as error:
        raise MalformedListError(f"{type(error).__name__}: {error}") from None


def _parse_entry(entry: Any, zones: tuple[str, ...]) -> EndpointAddress:
    """Returns the endpoint that one entry of the list describes."""
    endpoint_id, shard, started_ms = entry["host"], entry["block"], entry["born_ms"] or 0
    if (
        not isinstance(endpoint_id, str)
        or not endpoint_id
        or type(shard) is not int
        or type(started_ms) not in (int, float)
    ):
        raise MalformedListError("'host' must be a name, 'block' a whole number, 'born_ms' a number")
    endpoint = Endpoint(
        endpoint_id=endpoint_id,
        shard=shard,
        zone=_zone_number(entry["site"], zones),
        state=ENDPOINT_STATES[entry["health"]],
        started_us=int(started_ms) * 1000,
    )
    if endpoint.state is EndpointState.REMOVED:
        return EndpointAddress(endpoint, "")  # no connection is made to it
    return EndpointAddress(endpoint, str(Address.parse(entry["dial"], "'dial'")))


def _zone_number(site: Any, zones: tuple[str, ...]) -> int:
    """Returns the index of a site in the settings' zones, matched by name or by the last part of the name.

    An unknown site gets a number above the zones' that depends only on its name; zone numbers are only
    compared for equality.
    """
    for number, zone in enumerate(zones):
        if site == zone or zone.rpartition("-")[2] == site:
            return number
    return sum(map(ord, str(site))) + len(zones)

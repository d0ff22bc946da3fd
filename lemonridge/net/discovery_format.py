"""The JSON of discovery's endpoint list; the only place that knows its keys.

An answer is `{"seq": VERSION, "whole": BOOL, "hosts": [ROW, ...]}`, a row `{"host", "block", "site",
"health", "born_ms", "dial"}`.
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
    """The answer to one call, with its rows still in discovery's form."""

    version: int  # that the list is at once the answer is applied
    is_snapshot: bool  # the complete list; else the changes since the version that was asked for
    content: Any

    def endpoints(self, zones: tuple[str, ...]) -> list[EndpointAddress]:
        """The rows; see `parse_endpoint_list`."""
        return parse_endpoint_list(self.content, zones)


def parse_answer(body: bytes) -> DiscoveryAnswer:
    """Parse an answer's version and kind.

    Raises:
        MalformedListError: it is not JSON, or lacks one of them.
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
    """Parse the rows of a list.

    Args:
        content: the object that holds them as `hosts`.
        zones: the settings' zones, in the order of their numbers.

    Raises:
        MalformedListError: a row is malformed; the others would then be a list that discovery never had.
    """
    try:
        if not isinstance(content["hosts"], list):
            raise MalformedListError("'hosts' must be a list")
        return [_parse_row(row, zones) for row in content["hosts"]]
    except (KeyError, TypeError, ValueError, OverflowError, ConfigError) as error:
        raise MalformedListError(f"{type(error).__name__}: {error}") from None


def _parse_row(row: Any, zones: tuple[str, ...]) -> EndpointAddress:
    endpoint_id, shard, started_ms = row["host"], row["block"], row["born_ms"] or 0
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
        zone=_zone_number(row["site"], zones),
        state=ENDPOINT_STATES[row["health"]],
        started_us=int(started_ms) * 1000,
    )
    if endpoint.state is EndpointState.REMOVED:
        return EndpointAddress(endpoint, "")  # nobody connects to it
    return EndpointAddress(endpoint, str(Address.parse(row["dial"], "'dial'")))


def _zone_number(site: Any, zones: tuple[str, ...]) -> int:
    """A site's place among the settings' zones, by its name or by the last part of it.

    An unknown site gets a number past them that is the same for the same name, which is all that is compared.
    """
    for number, zone in enumerate(zones):
        if site == zone or zone.rpartition("-")[2] == site:
            return number
    return sum(map(ord, str(site))) + len(zones)

"""Parses the platform's requests; the only module that knows the names of their headers."""

from __future__ import annotations

import re
from collections.abc import Callable
from dataclasses import dataclass

from lemonridge.config.platform import PlatformConfig
from lemonridge.core.model import Request
from lemonridge.net.errors import MessageRejectedError
from lemonridge.net.http_client import Payload
from lemonridge.net.http_headers import Fields, RequestHead
from lemonridge.scheduling.settings import IdempotencyKind

USED_FIELDS = (
    b"x-request-id",
    b"x-class",
    b"x-qos-policy",
    b"x-deadline-ms",
    b"x-placement",
    b"x-retry",
    b"idempotency-key",
)  # the header fields of a request that this module reads
DEADLINE_MARGIN_US = 10_000  # time for the transfer of the request and the response
_REQUEST_ID = re.compile(r"[0-9a-f]{16}", re.I)
_PATH = re.compile(r"/([^/]+)/([0-9a-f]{16})/([0-9a-f]{16})", re.I)
_PLACEMENT = re.compile(r"units=([0-9]{1,9}(?:\.[0-9]{1,9})?),shard=(-1|[0-9]{1,9}),hosts=([0-9]{1,9})")
_DEADLINE_MS = re.compile(r"0*[1-9][0-9]{0,8}")
_FIELD_VALUE = re.compile(r"[\x20-\x7e]{1,256}")


@dataclass(frozen=True, slots=True)
class Placement:
    """The content of `X-Placement`: the size of the request and the endpoints that store its volume.

    Attributes:
        units: The size of the request, in units.
        shard: The shard of the volume; -1 for a new object.
        hosts: The number of endpoints that the request occupies.
    """

    units: float
    shard: int
    hosts: int


class RequestParser:
    """Parses requests according to one configuration.

    Args:
        platform: The platform's configuration.
    """

    def __init__(self, platform: PlatformConfig) -> None:
        self._platform = platform
        self._classes = {name: number for number, name in enumerate(platform.classes)}
        self._plans = {name: number for number, name in enumerate(platform.plans)}

    def parse(
        self, head: RequestHead, body: bytes, arrived_us: int, client_has_left: Callable[[], bool]
    ) -> Request:
        """Returns the request in the form of the core.

        Args:
            head: The head of the request.
            body: The body of the request.
            arrived_us: When the last byte arrived, in microseconds of the broker's clock; the deadline counts
                from there.
            client_has_left: Returns whether the client has closed the connection.

        Raises:
            MessageRejectedError: The request is malformed, or its class, policy, units, hosts or shard are
                not in the settings.
        """
        fields = head.fields
        path = _PATH.fullmatch(head.path)
        if path is None:
            raise MessageRejectedError(
                404, "the path must be /class/volume/key, the last two as 16 hex digits"
            )
        class_number = self._parse_class(path[1], fields)
        plan = self._plans.get(_single_value(fields, "X-Qos-Policy"))
        if plan is None:
            raise MessageRejectedError(400, "unknown X-Qos-Policy")
        if head.method != ("PUT" if self._platform.class_writes[class_number] else "GET"):
            raise MessageRejectedError(405, "a read is GET and a write is PUT")
        forwarded = self._extract_forwarded_headers(class_number, fields)
        wait_us = self._parse_wait_us(class_number, fields)
        placement = self._parse_placement(fields)
        if body and head.method == "GET":
            raise MessageRejectedError(400, "a read has no body")
        return Request(
            shard=placement.shard,
            volume=int(path[2], 16),
            deadline_us=arrived_us + wait_us - DEADLINE_MARGIN_US,
            key=int(path[3], 16),
            cls=class_number,
            plan=plan,
            units=placement.units,
            hosts=placement.hosts,
            payload=Payload(head.method, head.target, forwarded, body),
            request_id=forwarded["X-Request-Id"].lower(),
            repeat=fields.get(b"x-retry", [b""])[0] == b"1",
            has_client_disconnected=client_has_left,
        )

    def _parse_class(self, name: str, fields: Fields) -> int:
        """Returns the number of the class in the path, which `X-Class` must repeat."""
        number = self._classes.get(name)
        if number is None or _single_value(fields, "X-Class") != name:
            raise MessageRejectedError(400, "the class of the path must be known and stand in X-Class")
        return number

    def _extract_forwarded_headers(self, class_number: int, fields: Fields) -> dict[str, str]:
        """Returns the headers that are forwarded to the endpoint unchanged."""
        forwarded = {"X-Request-Id": _single_value(fields, "X-Request-Id")}
        if not _REQUEST_ID.fullmatch(forwarded["X-Request-Id"]):
            raise MessageRejectedError(400, "X-Request-Id must be 16 hex digits")
        idempotency = self._platform.settings.classes[class_number].idempotency
        if idempotency is IdempotencyKind.WITH_IDEMPOTENCY_KEY:
            forwarded["Idempotency-Key"] = _single_value(fields, "Idempotency-Key")
        return forwarded

    def _parse_wait_us(self, class_number: int, fields: Fields) -> int:
        """Returns how long the client waits, in microseconds, limited to the deadline of its class.

        The limit applies because the scheduler plans with the deadline of the class.
        """
        deadline_ms = _DEADLINE_MS.fullmatch(_single_value(fields, "X-Deadline-Ms"))
        if deadline_ms is None:
            raise MessageRejectedError(400, "X-Deadline-Ms must be whole milliseconds")
        return min(int(deadline_ms[0]) * 1000, self._platform.settings.classes[class_number].deadline_us)

    def _parse_placement(self, fields: Fields) -> Placement:
        """Parses `X-Placement`; units or hosts above the settings are rejected.

        They would corrupt the accounting of the volume and of its plan.
        """
        match = _PLACEMENT.fullmatch(_single_value(fields, "X-Placement").replace(" ", ""))
        if match is None:
            raise MessageRejectedError(400, "X-Placement must be units=…,shard=…,hosts=…")
        placement = Placement(float(match[1]), int(match[2]), int(match[3]))
        settings = self._platform.settings
        units_max = settings.largest_request_units or placement.units
        if not 0 < placement.units <= units_max or not 1 <= placement.hosts <= settings.hosts:
            raise MessageRejectedError(
                400, "X-Placement must name some units and hosts, as the settings allow"
            )
        if placement.shard >= (self._platform.shards or placement.shard + 1):
            raise MessageRejectedError(400, "X-Placement names an unknown shard")
        return placement


def _single_value(fields: Fields, name: str) -> str:
    """Returns the value of a header field that must occur exactly once.

    If a field occurred twice, the broker and the endpoint could each use a different value.
    """
    values = fields.get(name.lower().encode(), ())
    text = values[0].decode("latin-1") if len(values) == 1 else ""
    if not _FIELD_VALUE.fullmatch(text):
        raise MessageRejectedError(400, f"{name} must stand there once")
    return text

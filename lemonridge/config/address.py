"""The type of a configured TCP or UDP address."""

from __future__ import annotations

from dataclasses import dataclass

from lemonridge.config.errors import ConfigError

PORT_MAX = 65535


@dataclass(frozen=True, slots=True)
class Address:
    """A host name or IP address and a port; an IPv6 address is stored without brackets."""

    host: str
    port: int

    @classmethod
    def parse(cls, text: object, name: str) -> Address:
        """Parses `HOST:PORT` or `[HOST]:PORT`.

        Args:
            text: The configured value.
            name: The configuration key of the value, for the error message.

        Raises:
            ConfigError: The value has no host, or no port from 0 to 65535.
        """
        host, colon, port = str(text).rpartition(":")
        if not colon or not host or not port.isascii() or not port.isdigit() or int(port) > PORT_MAX:
            raise ConfigError(f"{name} must be HOST:PORT, not {text!r}")
        return cls(host.strip("[]"), int(port))

    def __str__(self) -> str:
        """Returns HOST:PORT, with brackets around an IPv6 address."""
        return f"[{self.host}]:{self.port}" if ":" in self.host else f"{self.host}:{self.port}"

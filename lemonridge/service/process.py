"""The broker's process: startup of the configured fronts, signals, reload and graceful shutdown."""

from __future__ import annotations

import asyncio
import logging
import signal
from typing import TYPE_CHECKING

from lemonridge.config.errors import ConfigError
from lemonridge.config.fleet import FleetConfig
from lemonridge.config.platform import PlatformConfig, load, read_file_content
from lemonridge.service.ignored_signals import STOP_SIGNALS
from lemonridge.service.platform import platform_service
from lemonridge.service.service import Service
from lemonridge.service.signals import SignalReceiver

if TYPE_CHECKING:
    from lemonridge.iscsi.config import IscsiConfig

log = logging.getLogger(__name__)


async def serve(
    platform: PlatformConfig | None, iscsi: IscsiConfig | None, fleet: FleetConfig | None = None
) -> None:
    """Runs all configured fronts until SIGTERM or SIGINT.

    Args:
        platform: The platform's front; None if it is not configured.
        iscsi: The iSCSI front; None if it is not configured.
        fleet: The fleet of a process without the platform's front; otherwise `platform.fleet` applies.

    Raises:
        ConfigError: A part of the configuration cannot be used.
        OSError: The broker cannot listen on a configured address.
    """
    await BrokerProcess(platform, iscsi, fleet).run()


class BrokerProcess:
    """Starts and stops the fronts of one process and handles its signals.

    Args:
        platform: The platform's front; None if it is not configured.
        iscsi: The iSCSI front; None if it is not configured.
        fleet: The fleet of a process without the platform's front; otherwise `platform.fleet` applies.
    """

    def __init__(
        self, platform: PlatformConfig | None, iscsi: IscsiConfig | None, fleet: FleetConfig | None
    ) -> None:
        self._platform, self._iscsi, self._fleet = platform, iscsi, fleet
        self._services: list[Service] = []
        self._stop_requested = asyncio.Event()
        self._signals = SignalReceiver()

    async def run(self) -> None:
        """Starts the fronts, waits for SIGTERM or SIGINT, and stops them."""
        for number in STOP_SIGNALS:
            self._signals.handle(number, self._stop_requested.set)
        self._signals.handle(signal.SIGHUP, self._reload)
        if self._platform is not None and read_file_content() != self._platform.file_content:
            self._reload()  # the file has changed; its SIGHUP may have come before the handler was installed
        self._signals.handle(signal.SIGUSR1, self._print_counters)
        await self._start_until_stop()
        await asyncio.gather(*(service.stop() for service in self._services))
        self._signals.close()

    async def _start_until_stop(self) -> None:
        """Starts the fronts and waits for the stop signal, which also cancels a start that waits for etcd."""
        starting = asyncio.create_task(self._start())
        stopping = asyncio.create_task(self._stop_requested.wait())
        await asyncio.wait((starting, stopping), return_when=asyncio.FIRST_COMPLETED)
        if starting.done():
            starting.result()
        await stopping
        starting.cancel()

    async def _start(self) -> None:
        if self._platform is not None:
            await self._start_platform(self._platform)
        if self._iscsi is not None:
            await self._start_iscsi(self._iscsi)

    async def _start_platform(self, platform: PlatformConfig) -> None:
        service = await platform_service(platform)
        if self._platform is not None and self._platform is not platform and service.configure is not None:
            service.configure(self._platform)  # the file was reloaded during startup
        self._services.append(service)

    async def _start_iscsi(self, iscsi: IscsiConfig) -> None:
        # Imported here so that a broker with the platform's front alone does not load it.
        from lemonridge.service.iscsi import iscsi_service

        # A process is one fleet member. Where the platform's front runs too, that front is the member.
        fleet = self._fleet if self._platform is None else None
        self._services.append(await iscsi_service(iscsi, fleet))

    def _reload(self) -> None:
        """Reloads the platform's file; keeps the present configuration if the file cannot be used."""
        if self._platform is None or self._stop_requested.is_set():
            log.info("reload ignored: no platform configuration, or the process is stopping")
            return
        try:
            self._platform = load(previous=self._platform)
        except ConfigError as error:
            log.error("configuration rejected, the previous one stays in force", extra={"error": str(error)})
            return
        log.info("configuration reloaded", extra={"discovery": str(self._platform.discovery)})
        for service in self._services:
            if service.configure is not None:
                service.configure(self._platform)

    def _print_counters(self) -> None:
        for service in self._services:
            service.print_counters("SIGUSR1")

"""The limits of volumes: this host's slice of each, moved between hosts and handed over between processes."""

from __future__ import annotations

from collections.abc import Mapping

from lemonridge.scheduling.context import DecisionContext
from lemonridge.scheduling.events import LimitLevel, QuotaChanged, RequestArrived
from lemonridge.scheduling.requests import Volume
from lemonridge.scheduling.settings import Settings

IDLE_VOLUME_TTL_US = 30_000_000  # entries of idle volumes live this long


class VolumeLimits:
    """All volumes that have asked, and what is known of the limits of those that have not."""

    def __init__(self, context: DecisionContext) -> None:
        self._context = context
        self.volumes: dict[int, Volume] = {}
        self.levels: dict[int, LimitLevel] = {}  # of limits, taken over for volumes that have not asked yet
        self.slices: dict[int, QuotaChanged] = {}  # as last told, also of volumes that have not asked
        self.refill_sign = 1.0  # of limits: they fill, or ebb once they are handed over
        self._swept_us = 0

    def begin(self, now_us: int) -> None:
        """The host's first moment."""
        self._swept_us = now_us

    def volume_of(self, event: RequestArrived) -> Volume:
        """The volume of a request that comes now."""
        now_us, settings = self._context.now_us, self._context.settings
        if (volume := self.volumes.get(event.volume)) is None:
            volume = Volume(self._context.started_us or 0, self.refill_sign, now_us, settings)
            self.volumes[event.volume] = volume
            self._inherit(event.volume, volume)
        if volume.settings is not settings or max(1, event.hosts) > volume.hosts:
            volume.use_settings(event.plan, max(1, volume.hosts, event.hosts), settings, now_us)
            if told := self.slices.get(event.volume):
                volume.bucket.set_quota(told.since_us, told.part, told.until_us, told.after)
        volume.last_request_us = now_us
        return volume

    def configure(self, settings: Settings) -> list[Volume]:
        """Let each volume keep its plan under new settings; the volumes."""
        for volume in self.volumes.values():
            volume.use_settings(volume.plan_index, volume.hosts, settings, self._context.now_us)
        return list(self.volumes.values())

    def slice(self, event: QuotaChanged) -> Volume | None:
        """Another slice of a limit; its volume, if it has asked."""
        self.slices[int(event.name)] = event
        if volume := self.volumes.get(int(event.name)):
            volume.bucket.set_quota(event.since_us, event.part, event.until_us, event.after)
        return volume

    def export_levels(self) -> dict[int, LimitLevel]:
        """Hand the limits over: half of what is saved goes, the rest is for what is held; nothing refills.

        What is kept may be sent for as long as it has not ebbed away, and come to its node up to the longest
        deadline later, as may what is on its way now.
        """
        self.refill_sign, given = -1.0, {}
        longest_us = max(cls.deadline_us for cls in self._context.settings.classes)
        for name, volume in self.volumes.items():
            bucket = volume.bucket
            saved = max(0.0, bucket.refill(self._context.now_us) - volume.units_not_drawn) / 2
            bucket.tokens, bucket.refill_sign = bucket.tokens - saved, self.refill_sign
            rate = bucket.rate * bucket.quota.at(self._context.now_us)
            ebbs_us = int(bucket.tokens / rate * 1e6) if rate > 0 else 0
            until_us = self._context.now_us + ebbs_us + longest_us
            given[name] = LimitLevel(saved, bucket.in_flight + bucket.tokens, until_us)
        return given

    def import_levels(self, now_us: int, levels: Mapping[int, LimitLevel]) -> None:
        """Be the one whose limits fill, from now on and from these levels."""
        self.refill_sign, self.levels = 1.0, dict(levels)
        for name, volume in self.volumes.items():
            self._inherit(name, volume)
            volume.bucket.refilled_us, volume.bucket.refill_sign = now_us, self.refill_sign

    def _inherit(self, name: int, volume: Volume) -> None:
        """Give a volume what was taken over for it."""
        level = self.levels.pop(name, None)
        if level is not None:
            volume.bucket.tokens += level.saved
            volume.bucket.set_predecessor_debt(level.owed, level.owed_until_us)

    def sweep(self) -> None:
        """Drop idle volumes. A bucket must be full first: dropping it earlier would refill it."""
        now_us = self._context.now_us
        if now_us - self._swept_us < IDLE_VOLUME_TTL_US:
            return
        self._swept_us = now_us
        self.slices = {name: told for name, told in self.slices.items() if name in self.volumes}
        for name, volume in list(self.volumes.items()):
            idle = (
                now_us - volume.last_request_us > IDLE_VOLUME_TTL_US
                and not volume.queued_requests
                and not volume.units_not_drawn
            )
            if idle and (not volume.plan.limit or volume.bucket.refill(now_us) >= volume.bucket.capacity):
                del self.volumes[name]

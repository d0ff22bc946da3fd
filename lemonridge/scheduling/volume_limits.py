"""The limits of volumes: this host's part of each, lent between hosts and handed over between processes."""

from __future__ import annotations

from collections.abc import Mapping

from lemonridge.scheduling.context import DecisionContext
from lemonridge.scheduling.events import LimitLevel, QuotaChanged, RequestArrived
from lemonridge.scheduling.requests import Volume
from lemonridge.scheduling.settings import Settings

IDLE_VOLUME_TTL_US = 30_000_000


class VolumeLimits:
    """The volumes that have had requests of late, and what is known of the limits of others.

    Attributes:
        volumes: By their numbers.
        levels: Limits that were taken over for volumes without a request yet.
        quotas: The last quota of each volume, also of those without a request yet.
        refill_sign: Of all buckets: 1, or -1 after the limits were handed over.
    """

    def __init__(self, context: DecisionContext) -> None:
        self._context = context
        self.volumes: dict[int, Volume] = {}
        self.levels: dict[int, LimitLevel] = {}
        self.quotas: dict[int, QuotaChanged] = {}
        self.refill_sign = 1.0
        self._swept_us = 0

    def begin(self, now_us: int) -> None:
        """Starts at the time of the host's first events."""
        self._swept_us = now_us

    def volume_of(self, event: RequestArrived) -> Volume:
        """The volume of a request that arrives now.

        It takes the request's plan when the settings have changed, or when more hosts serve it than before;
        its quota is then applied again, as the rate is split evenly at first.
        """
        now_us, settings = self._context.now_us, self._context.settings
        volume = self.volumes.get(event.volume)
        if volume is None:
            volume = Volume(self._context.started_us or 0, self.refill_sign, now_us, settings)
            self.volumes[event.volume] = volume
            self._inherit(event.volume, volume)
        if volume.settings is not settings or max(1, event.hosts) > volume.hosts:
            volume.use_settings(event.plan, max(1, volume.hosts, event.hosts), settings, now_us)
            quota = self.quotas.get(event.volume)
            if quota is not None:
                volume.bucket.set_quota(quota.since_us, quota.part, quota.until_us, quota.after)
        volume.last_request_us = now_us
        return volume

    def configure(self, settings: Settings) -> list[Volume]:
        """Gives each volume the plan of new settings that stands where its own stood; returns the volumes."""
        for volume in self.volumes.values():
            volume.use_settings(volume.plan_index, volume.hosts, settings, self._context.now_us)
        return list(self.volumes.values())

    def set_quota(self, event: QuotaChanged) -> Volume | None:
        """Sets this host's part of a limit; returns its volume, if that is known."""
        self.quotas[int(event.name)] = event
        volume = self.volumes.get(int(event.name))
        if volume is not None:
            volume.bucket.set_quota(event.since_us, event.part, event.until_us, event.after)
        return volume

    def export_levels(self) -> dict[int, LimitLevel]:
        """Hands the limits over to the next process: half of what is saved, the rest is for open requests.

        From here on the tokens that are kept drain. They may be sent until they have drained, and reach an
        endpoint up to the longest deadline later, as may what is in flight now: the successor reserves that
        much capacity until then.
        """
        self.refill_sign = -1.0
        levels = {}
        longest_deadline_us = max(cls.deadline_us for cls in self._context.settings.classes)
        for name, volume in self.volumes.items():
            bucket = volume.bucket
            saved = max(0.0, bucket.refill(self._context.now_us) - volume.units_not_drawn) / 2
            bucket.tokens, bucket.refill_sign = bucket.tokens - saved, self.refill_sign
            rate = bucket.rate * bucket.quota.at(self._context.now_us)
            drains_in_us = int(bucket.tokens / rate * 1e6) if rate > 0 else 0
            until_us = self._context.now_us + drains_in_us + longest_deadline_us
            levels[name] = LimitLevel(saved, bucket.in_flight + bucket.tokens, until_us)
        return levels

    def import_levels(self, now_us: int, levels: Mapping[int, LimitLevel]) -> None:
        """Takes limits over from the process before; they refill here from `now_us` on."""
        self.refill_sign = 1.0
        self.levels = dict(levels)
        for name, volume in self.volumes.items():
            self._inherit(name, volume)
            volume.bucket.refilled_us, volume.bucket.refill_sign = now_us, self.refill_sign

    def _inherit(self, name: int, volume: Volume) -> None:
        """Gives a volume the limit that was taken over for it."""
        level = self.levels.pop(name, None)
        if level is not None:
            volume.bucket.tokens += level.saved
            volume.bucket.set_predecessor_debt(level.predecessor_debt, level.predecessor_debt_until_us)

    def sweep(self) -> None:
        """Forgets idle volumes, once in `IDLE_VOLUME_TTL_US`.

        A volume's bucket must be full: a new one fills from the host's start and would be full at once.
        """
        now_us = self._context.now_us
        if now_us - self._swept_us < IDLE_VOLUME_TTL_US:
            return
        self._swept_us = now_us
        self.quotas = {name: quota for name, quota in self.quotas.items() if name in self.volumes}
        for name, volume in list(self.volumes.items()):
            idle = (
                now_us - volume.last_request_us > IDLE_VOLUME_TTL_US
                and not volume.queued_requests
                and not volume.units_not_drawn
            )
            if idle and (not volume.plan.limit or volume.bucket.refill(now_us) >= volume.bucket.capacity):
                del self.volumes[name]

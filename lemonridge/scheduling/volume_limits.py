"""The limits of volumes: this host's part of each limit, its quotas, and the handover between processes."""

from __future__ import annotations

from collections.abc import Mapping

from lemonridge.scheduling.context import DecisionContext
from lemonridge.scheduling.events import LimitLevel, QuotaChanged, RequestArrived
from lemonridge.scheduling.requests import Volume
from lemonridge.scheduling.settings import Settings

IDLE_VOLUME_TTL_US = 30_000_000
ESTABLISHED_AFTER_US = 1_000_000  # between the first and the last request of a volume in steady use
EVICTION_CANDIDATES_MAX = 16  # volumes that are examined for one that can be evicted
EVICTION_TIME_SLOTS = 4096


def _oldest(order: dict[int, int], count: int) -> list[int]:
    """Returns the first numbers of an order, at most `count`."""
    return [number for number, _ in zip(order, range(count), strict=False)]


class VolumeLimits:
    """Keeps the volumes with recent requests, and the limit state of volumes without requests so far.

    Attributes:
        volumes: The volumes by number.
        imported_levels: The limit state received from the previous process for volumes without requests so
            far, by number.
        quotas: The last quota of each volume by number, including volumes without requests so far.
        refill_sign: The refill sign of all buckets: 1, or -1 after the limits were handed over.
        volumes_max: The number of volumes above which a new one evicts another; None if there is no limit.
        evicted: The number of volumes that were evicted.
    """

    def __init__(self, context: DecisionContext) -> None:
        self._context = context
        self.volumes: dict[int, Volume] = {}
        # The volumes in the order of their last requests, oldest first, with the times of their first ones:
        # those in use for less than `ESTABLISHED_AFTER_US`, and the others.
        self._new: dict[int, int] = {}
        self._established: dict[int, int] = {}
        # When a volume whose bucket was not full was last evicted, by the slot of its number.
        self._evicted_us: dict[int, int] = {}
        self.volumes_max: int | None = None
        self.evicted = 0
        self.imported_levels: dict[int, LimitLevel] = {}
        self.quotas: dict[int, QuotaChanged] = {}
        self.refill_sign = 1.0
        self._swept_us = 0

    def begin(self, now_us: int) -> None:
        """Sets the time of the host's first events, from which idle volumes are swept."""
        self._swept_us = now_us

    def volume_for_request(self, event: RequestArrived) -> Volume:
        """Returns the volume of an arriving request, creating it if necessary.

        The volume switches to the plan of the request if the settings have changed or more hosts serve the
        volume than before. Its quota is then applied again, as the rate is initially split equally.
        """
        now_us, settings = self._context.now_us, self._context.settings
        volume = self.volumes.get(event.volume)
        if volume is None:
            self._evict_surplus()
            volume = Volume(self._bucket_since_us(event.volume), self.refill_sign, now_us, settings)
            self.volumes[event.volume] = volume
            self._apply_imported_level(event.volume, volume)
        self._note_use(event.volume)
        if volume.settings is not settings or max(1, event.hosts) > volume.hosts:
            volume.use_settings(event.plan, max(1, volume.hosts, event.hosts), settings, now_us)
            quota = self.quotas.get(event.volume)
            if quota is not None:
                volume.bucket.set_quota(quota.since_us, quota.part, quota.until_us, quota.after)
        volume.last_request_us = now_us
        return volume

    def configure(self, settings: Settings) -> list[Volume]:
        """Applies new settings: each volume gets the plan with the index of its previous plan.

        Returns:
            All volumes.
        """
        for volume in self.volumes.values():
            volume.use_settings(volume.plan_index, volume.hosts, settings, self._context.now_us)
        return list(self.volumes.values())

    def set_quota(self, event: QuotaChanged) -> Volume | None:
        """Sets this host's part of a limit; returns the volume, or None if it has had no requests so far."""
        self.quotas[int(event.name)] = event
        volume = self.volumes.get(int(event.name))
        if volume is not None:
            volume.bucket.set_quota(event.since_us, event.part, event.until_us, event.after)
        return volume

    def export_levels(self) -> dict[int, LimitLevel]:
        """Returns the limit state for the next process, and stops refilling the buckets of this process.

        The successor receives half of the saved tokens; the rest remains for open requests of this process.
        From then on the remaining tokens decrease over time and can be used until none are left. Requests
        sent with them can reach an endpoint up to the longest deadline later, and so can the units in flight.
        The successor reserves capacity for both until that time.
        """
        self.refill_sign = -1.0
        levels = {}
        longest_deadline_us = max(cls.deadline_us for cls in self._context.settings.classes)
        for number, volume in self.volumes.items():
            bucket = volume.bucket
            saved = max(0.0, bucket.refill(self._context.now_us) - volume.units_not_drawn) / 2
            bucket.tokens, bucket.refill_sign = bucket.tokens - saved, self.refill_sign
            rate = bucket.rate * bucket.quota.at(self._context.now_us)
            drain_time_us = int(bucket.tokens / rate * 1e6) if rate > 0 else 0
            until_us = self._context.now_us + drain_time_us + longest_deadline_us
            levels[number] = LimitLevel(saved, bucket.in_flight + bucket.tokens, until_us)
        return levels

    def import_levels(self, now_us: int, levels: Mapping[int, LimitLevel]) -> None:
        """Applies the limit state of the previous process; the buckets are refilled from `now_us` on."""
        self.refill_sign = 1.0
        self.imported_levels = dict(levels)
        for number, volume in self.volumes.items():
            self._apply_imported_level(number, volume)
            volume.bucket.refilled_us, volume.bucket.refill_sign = now_us, self.refill_sign

    def _apply_imported_level(self, number: int, volume: Volume) -> None:
        """Applies the limit state received from the previous process to a volume."""
        level = self.imported_levels.pop(number, None)
        if level is not None:
            volume.bucket.tokens += level.saved
            volume.bucket.set_predecessor_debt(level.predecessor_debt, level.predecessor_debt_until_us)

    def _note_use(self, number: int) -> None:
        """Moves a volume to the end of the order of eviction.

        A volume that is used for a while is evicted after all new ones: names that a client makes up must not
        displace the volumes in use.
        """
        now_us = self._context.now_us
        first_request_us = self._established.pop(number, None)
        if first_request_us is None:
            first_request_us = self._new.pop(number, now_us)
        is_established = now_us - first_request_us >= ESTABLISHED_AFTER_US
        (self._established if is_established else self._new)[number] = first_request_us

    def _bucket_since_us(self, number: int) -> int:
        """Returns from when the bucket of a new volume is refilled.

        A bucket that was not full when its volume was evicted must not be full when the volume returns. Many
        names share a slot, so a name that is new may start with an empty bucket too, never with a fuller one.
        """
        return max(self._context.started_us or 0, self._evicted_us.get(number % EVICTION_TIME_SLOTS, 0))

    def _evict_surplus(self) -> None:
        """Evicts a volume if there is no room for another one.

        A volume with requests is never evicted, so there may be as many volumes more as requests are open.
        """
        if self.volumes_max is None or len(self.volumes) < self.volumes_max:
            return
        order = self._new if len(self._new) > EVICTION_CANDIDATES_MAX else self._established
        self._evict_first(order)

    def _evict_first(self, order: dict[int, int]) -> None:
        """Evicts the first volume of an order that has no requests; examines a few."""
        for number in _oldest(order, EVICTION_CANDIDATES_MAX):
            volume = self.volumes[number]
            if self._is_in_use(volume):
                order[number] = order.pop(number)
                continue
            if volume.plan.limit and not self._is_full(volume):
                self._evicted_us[number % EVICTION_TIME_SLOTS] = self._context.now_us
            self._remove(number)
            self.evicted += 1
            return

    def _is_in_use(self, volume: Volume) -> bool:
        """Whether requests of a volume are queued or sent, or its bucket has a debt."""
        bucket = volume.bucket
        return bool(
            volume.queued_requests or volume.units_not_drawn or bucket.in_flight or bucket.predecessor_debt
        )

    def _is_full(self, volume: Volume) -> bool:
        return volume.bucket.refill(self._context.now_us) >= volume.bucket.capacity

    def _remove(self, number: int) -> None:
        """Forgets a volume."""
        del self.volumes[number]
        self._new.pop(number, None)
        self._established.pop(number, None)

    def sweep(self) -> None:
        """Removes idle volumes, at most once per `IDLE_VOLUME_TTL_US`.

        A volume is only removed while its bucket is full: the bucket of a new volume is refilled from the
        host's start and would be full immediately.
        """
        now_us = self._context.now_us
        if now_us - self._swept_us < IDLE_VOLUME_TTL_US:
            return
        self._swept_us = now_us
        self.quotas = {number: quota for number, quota in self.quotas.items() if number in self.volumes}
        for number, volume in list(self.volumes.items()):
            idle = (
                now_us - volume.last_request_us > IDLE_VOLUME_TTL_US
                and not volume.queued_requests
                and not volume.units_not_drawn
            )
            if idle and (not volume.plan.limit or self._is_full(volume)):
                self._remove(number)

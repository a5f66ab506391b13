"""Track which instances answer permit requests, and skip those that do not."""

from sycamoreferry_core import clock, ids

_SKIP_MS = 2_000
# Another instance that has answered within this time shows that the link of
# this one works.
_RECENT_ANSWER_MS = 120


class IssuerHealth:
    """Skip an instance for a while if only that one does not answer."""

    def __init__(self) -> None:
        self._last_answer_at: dict[ids.InstanceId, clock.Millis] = {}
        self._skipped_until: dict[ids.InstanceId, clock.Millis] = {}

    def record_answer(
        self, instance: ids.InstanceId, now: clock.Millis
    ) -> None:
        """Record that an instance has answered a permit request."""
        self._last_answer_at[instance] = now

    def is_skipped(self, instance: ids.InstanceId, now: clock.Millis) -> bool:
        """Tell whether an instance is to be asked for no permits now."""
        return self._skipped_until.get(instance, clock.LONG_AGO) > now

    def skip(self, instance: ids.InstanceId, now: clock.Millis) -> bool:
        """Skip an instance; return False if no other one answers either."""
        answered_at = [
            at for name, at in self._last_answer_at.items() if name != instance
        ]
        newest = max(answered_at, default=clock.LONG_AGO)
        if newest <= now - _RECENT_ANSWER_MS:
            return False
        self._skipped_until[instance] = clock.later(now, _SKIP_MS)
        return True

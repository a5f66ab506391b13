"""Decide which data centres get no requests, and until when owners there do.

Load pattern: under full load an operator evacuates one data centre, then
another, while servers are replaced. Requests without a key go to other servers
at once. A third of all keys needs new owners; while these are found, requests
may still go to the old ones, but no longer than half of the time within which
the evacuation has to take effect. An instance that may have learned of it late
does not use the old owners at all.
"""

import dataclasses

from sycamoreferry_core import clock, ids

# Owners are used for one part in so many of the time limit. The rest is for
# instances that learn of the evacuation late, and for requests on their way.
_OWNER_TIME_DIVISOR = 2


@dataclasses.dataclass(frozen=True, slots=True)
class _Evacuation:
    since: clock.Millis
    owners_until: clock.Millis
    # Set if the store may have lost the key rather than its operator removed
    # it.
    ends_at: clock.Millis | None = None


class Evacuations:
    """Track the evacuated data centres that an instance knows of."""

    def __init__(self, limit_ms: int | None) -> None:
        """Start without evacuations; a limit of None disables them."""
        self._limit_ms = limit_ms
        self._active: dict[ids.DataCentre, _Evacuation] = {}

    @property
    def is_enabled(self) -> bool:
        """Return whether the deployment has evacuations."""
        return self._limit_ms is not None

    @property
    def active(self) -> list[ids.DataCentre]:
        """Return the evacuated data centres."""
        return list(self._active)

    def is_evacuated(self, data_centre: ids.DataCentre) -> bool:
        """Return whether a data centre gets no requests without a key."""
        return data_centre in self._active

    def since(self, data_centre: ids.DataCentre) -> clock.Millis | None:
        """Return when an evacuation became known; None if there is none."""
        known = self._active.get(data_centre)
        return None if known is None else known.since

    def start(
        self,
        data_centre: ids.DataCentre,
        now: clock.Millis,
        *,
        is_prompt: bool,
    ) -> bool:
        """Record that a data centre is evacuated; return whether that is new.

        `is_prompt` tells whether its key was certainly written just now.
        """
        if self._limit_ms is None:
            return False
        known = self._active.get(data_centre)
        if known is not None:
            self._active[data_centre] = dataclasses.replace(known, ends_at=None)
            return False
        owner_ms = self._limit_ms // _OWNER_TIME_DIVISOR if is_prompt else 0
        self._active[data_centre] = _Evacuation(now, clock.later(now, owner_ms))
        return True

    def end(self, data_centre: ids.DataCentre) -> clock.Millis | None:
        """End an evacuation; return since when it was known, if it was."""
        known = self._active.pop(data_centre, None)
        return None if known is None else known.since

    def postpone_end(
        self, data_centre: ids.DataCentre, now: clock.Millis
    ) -> None:
        """Let an evacuation last for the time limit unless its key is back."""
        known = self._active.get(data_centre)
        if known is not None and known.ends_at is None:
            self._active[data_centre] = dataclasses.replace(
                known, ends_at=clock.later(now, self._limit_ms or 0)
            )

    def due_ends(self, now: clock.Millis) -> list[ids.DataCentre]:
        """Return the evacuations whose postponed end is due."""
        return [
            data_centre
            for data_centre, known in self._active.items()
            if known.ends_at is not None and known.ends_at <= now
        ]

    def may_use_owners(
        self, data_centre: ids.DataCentre, now: clock.Millis
    ) -> bool:
        """Return whether owners of keys in a data centre may get requests."""
        known = self._active.get(data_centre)
        return known is None or now < known.owners_until

    def is_overdue(
        self, data_centre: ids.DataCentre, now: clock.Millis
    ) -> bool:
        """Return whether keys should have left a data centre by now."""
        known = self._active.get(data_centre)
        return known is not None and now - known.since >= (self._limit_ms or 0)

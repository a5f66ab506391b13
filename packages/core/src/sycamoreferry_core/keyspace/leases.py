"""Know until when a backend server may hold keys that were granted to it."""

import dataclasses

from sycamoreferry_core import clock
from sycamoreferry_core.fleet import servers
from sycamoreferry_core.keyspace import owners

# The server's clock that measures a lease may run 2% slow.
DRIFT_SHARE = 0.02
# Covers the way of a grant to the server and coarse timers.
ARRIVAL_SLACK_MS = 150


def longest_hold_ms(hold_ms: int) -> int:
    """Return how long a grant may be held after the last it could arrive."""
    return int(hold_ms * (1 + DRIFT_SHARE)) + ARRIVAL_SLACK_MS


@dataclasses.dataclass(slots=True)
class _Lease:
    keys: owners.KeyRange
    ends_at: clock.Millis
    unanswered_until: clock.Millis


class LeaseBook:
    """Record grants and releases; tell when keys are free of a server.

    A release that was answered ends a lease at once, but a grant without an
    answer may still be applied after the release, so it counts to its end.
    """

    def __init__(self) -> None:
        self._leases: dict[servers.ServerLife, list[_Lease]] = {}
        self._assumed_until = clock.LONG_AGO
        self._confirmed: dict[
            servers.ServerLife,
            list[owners.KeyRange],
        ] = {}

    @property
    def assumed_until(self) -> clock.Millis:
        """Return until when earlier grants may hold any key."""
        return self._assumed_until

    def assume_earlier_grants(self, until: clock.Millis) -> None:
        """Take every key as possibly held until a time, after a take-over."""
        self._assumed_until = max(self._assumed_until, until)

    def confirm_fence(
        self,
        life: servers.ServerLife,
        keys: owners.KeyRange,
    ) -> None:
        """Record that a server took keys under a fence of this term.

        It refuses grants of earlier terms on these keys from then on, so none
        of them can be applied late.
        """
        known = self._confirmed.setdefault(life, [])
        if keys not in known:
            known.append(keys)

    def record_sent(
        self,
        life: servers.ServerLife,
        keys: owners.KeyRange,
        latest_arrival: clock.Millis,
        hold_ms: int,
    ) -> None:
        """Record a grant before it is sent; it may arrive up to a time."""
        until = clock.later(latest_arrival, longest_hold_ms(hold_ms))
        rows = self._leases.setdefault(life, [])
        for row in rows:
            if row.keys == keys:
                row.ends_at = max(row.ends_at, until)
                row.unanswered_until = max(row.unanswered_until, until)
                return
        rows.append(_Lease(keys, until, until))

    def record_answered(
        self,
        life: servers.ServerLife,
        keys: owners.KeyRange,
        *,
        earlier_unanswered: clock.Millis,
    ) -> None:
        """Record that the last grant was answered, so it can't come late."""
        for row in self._leases.get(life, ()):
            if row.keys == keys:
                row.unanswered_until = earlier_unanswered

    def unanswered_until(
        self,
        life: servers.ServerLife,
        keys: owners.KeyRange,
    ) -> clock.Millis:
        """Return until when a grant without an answer may still hold keys."""
        ends = [
            row.unanswered_until
            for row in self._leases.get(life, ())
            if row.keys.overlaps(keys)
        ]
        return max(ends, default=clock.LONG_AGO)

    def free_after_release(
        self,
        life: servers.ServerLife,
        keys: owners.KeyRange,
    ) -> clock.Millis:
        """Return when keys are free once their release was answered."""
        unanswered = self.unanswered_until(life, keys)
        if self._is_confirmed(life, keys):
            return unanswered
        return max(self._assumed_until, unanswered)

    def free_without_release(
        self,
        life: servers.ServerLife,
        keys: owners.KeyRange,
    ) -> clock.Millis:
        """Return when keys are free of a server that can't be reached."""
        ends = [
            row.ends_at
            for row in self._leases.get(life, ())
            if row.keys.overlaps(keys)
        ]
        return max([self._assumed_until, *ends])

    def latest_end(self) -> clock.Millis:
        """Return when the last of all leases is over."""
        ends = [row.ends_at for rows in self._leases.values() for row in rows]
        return max([self._assumed_until, *ends])

    def prune(self, now: clock.Millis) -> None:
        """Drop leases that are over."""
        for life, rows in list(self._leases.items()):
            self._leases[life] = [row for row in rows if row.ends_at > now]
            if not self._leases[life]:
                self._leases.pop(life)

    def _is_confirmed(
        self,
        life: servers.ServerLife,
        keys: owners.KeyRange,
    ) -> bool:
        return any(
            known.first <= keys.first and keys.last <= known.last
            for known in self._confirmed.get(life, ())
        )

"""Track until when a backend server may hold the keys granted to it."""

import dataclasses

from sycamoreferry_core import clock
from sycamoreferry_core.fleet import servers
from sycamoreferry_core.keyspace import owners

# The server's clock that measures a lease may run 2% slow.
CLOCK_DRIFT_RATIO = 0.02
# Covers the transit time of a grant and coarse timers.
ARRIVAL_MARGIN_MS = 150


def longest_hold_ms(hold_ms: int) -> int:
    """Return the longest hold after the latest arrival of a grant, in ms."""
    return int(hold_ms * (1 + CLOCK_DRIFT_RATIO)) + ARRIVAL_MARGIN_MS


@dataclasses.dataclass(slots=True)
class _Lease:
    keys: owners.KeyRange
    ends_at: clock.Millis
    # When each grant that is not answered has expired.
    unanswered: list[clock.Millis]


class LeaseBook:
    """Record granted leases and return when a server no longer holds keys.

    An acknowledged release ends a lease at once, but an unacknowledged grant
    may still be applied after the release, so it counts until it expires.
    """

    def __init__(self) -> None:
        self._leases: dict[servers.ServerIncarnation, list[_Lease]] = {}
        self._assumed_until = clock.LONG_AGO
        self._confirmed: dict[
            servers.ServerIncarnation,
            list[owners.KeyRange],
        ] = {}

    @property
    def earlier_grants_until(self) -> clock.Millis:
        """Return until when grants of earlier terms may hold any key."""
        return self._assumed_until

    def assume_earlier_grants(self, until: clock.Millis) -> None:
        """Treat all keys as held until a time, after coordination changed."""
        self._assumed_until = max(self._assumed_until, until)

    def confirm_fence(
        self,
        incarnation: servers.ServerIncarnation,
        keys: owners.KeyRange,
    ) -> None:
        """Record that a server accepted keys under this term's fencing token.

        From then on the server refuses grants of earlier terms for these keys,
        so none of them can be applied late.
        """
        known = self._confirmed.setdefault(incarnation, [])
        if keys not in known:
            known.append(keys)

    def record_sent(
        self,
        incarnation: servers.ServerIncarnation,
        keys: owners.KeyRange,
        latest_arrival: clock.Millis,
        hold_ms: int,
    ) -> clock.Millis:
        """Record a grant before it is sent; it arrives by latest_arrival.

        Returns when it has expired.
        """
        until = clock.later(latest_arrival, longest_hold_ms(hold_ms))
        rows = self._leases.setdefault(incarnation, [])
        for row in rows:
            if row.keys == keys:
                row.ends_at = max(row.ends_at, until)
                row.unanswered.append(until)
                return until
        rows.append(_Lease(keys, until, [until]))
        return until

    def record_answered(
        self,
        incarnation: servers.ServerIncarnation,
        keys: owners.KeyRange,
        until: clock.Millis,
    ) -> None:
        """Record that a grant was answered and can't be applied late."""
        for row in self._leases.get(incarnation, ()):
            if row.keys == keys and until in row.unanswered:
                row.unanswered.remove(until)

    def unanswered_until(
        self,
        incarnation: servers.ServerIncarnation,
        keys: owners.KeyRange,
    ) -> clock.Millis:
        """Return until when an unacknowledged grant may still hold keys."""
        ends = [
            until
            for row in self._leases.get(incarnation, ())
            if row.keys.overlaps(keys)
            for until in row.unanswered
        ]
        return max(ends, default=clock.LONG_AGO)

    def free_at_after_release(
        self,
        incarnation: servers.ServerIncarnation,
        keys: owners.KeyRange,
    ) -> clock.Millis:
        """Return when a server no longer holds keys that it released."""
        unanswered = self.unanswered_until(incarnation, keys)
        if self._is_confirmed(incarnation, keys):
            return unanswered
        return max(self._assumed_until, unanswered)

    def free_at_without_release(
        self,
        incarnation: servers.ServerIncarnation,
        keys: owners.KeyRange,
    ) -> clock.Millis:
        """Return when a server that is unreachable no longer holds keys."""
        ends = [
            row.ends_at
            for row in self._leases.get(incarnation, ())
            if row.keys.overlaps(keys)
        ]
        return max([self._assumed_until, *ends])

    def latest_end(self) -> clock.Millis:
        """Return when the last of all leases expires."""
        ends = [row.ends_at for rows in self._leases.values() for row in rows]
        return max([self._assumed_until, *ends])

    def prune(self, now: clock.Millis) -> None:
        """Drop expired leases."""
        for incarnation, rows in list(self._leases.items()):
            for row in rows:
                row.unanswered = [
                    until for until in row.unanswered if until > now
                ]
            self._leases[incarnation] = [
                row for row in rows if row.ends_at > now
            ]
            if not self._leases[incarnation]:
                self._leases.pop(incarnation)

    def _is_confirmed(
        self,
        incarnation: servers.ServerIncarnation,
        keys: owners.KeyRange,
    ) -> bool:
        return any(
            known.first <= keys.first and keys.last <= known.last
            for known in self._confirmed.get(incarnation, ())
        )

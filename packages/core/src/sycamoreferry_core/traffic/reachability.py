"""Detect that this instance reaches no backend server.

Load pattern: a network partition separates an instance from all servers, but
not from callers, peers and the store. Established connections may hang or still
work, so failures at several servers only raise a suspicion; probes with new
connections decide.
"""

import collections

from sycamoreferry_core import clock, ids

_FAILURES_TO_SUSPECT = 3
_SERVERS_TO_SUSPECT = 2
_FAILURE_WINDOW_MS = 2_000
_PROBE_INTERVAL_MS = 300


class Reachability:
    """Track failures to reach servers and the results of probes."""

    def __init__(self) -> None:
        self._failures: collections.deque[tuple[clock.Millis, ids.ServerId]] = (
            collections.deque()
        )
        self._probed_at = clock.LONG_AGO
        self._is_cut_off = False

    @property
    def is_cut_off(self) -> bool:
        """Return whether no server could be reached lately."""
        return self._is_cut_off

    def record_failure(self, server: ids.ServerId, now: clock.Millis) -> None:
        """Record that a server did not answer or could not be connected to."""
        self._failures.append((now, server))

    @property
    def is_in_doubt(self) -> bool:
        """Tell whether servers failed lately, or none could be reached."""
        return self._is_cut_off or bool(self._failures)

    def should_probe(self, known_servers: int, now: clock.Millis) -> bool:
        """Return whether to find out now if any server can be reached."""
        if not known_servers or now - self._probed_at < _PROBE_INTERVAL_MS:
            return False
        while self._failures and now - self._failures[0][0] > (
            _FAILURE_WINDOW_MS
        ):
            self._failures.popleft()
        failed = {server for _, server in self._failures}
        return self._is_cut_off or (
            len(self._failures) >= _FAILURES_TO_SUSPECT
            and len(failed) >= min(_SERVERS_TO_SUSPECT, known_servers)
        )

    def record_probe(self, now: clock.Millis, *, has_reached: bool) -> bool:
        """Record the result of a probe; return whether the state changed."""
        was_cut_off = self._is_cut_off
        self._probed_at = now
        self._is_cut_off = not has_reached
        if has_reached:
            self._failures.clear()
        return self._is_cut_off != was_cut_off

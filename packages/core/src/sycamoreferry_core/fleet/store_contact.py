"""Judge whether what an instance knows of the store may be outdated.

Load pattern: an instance is suspended, or cut off from the store and from other
instances, for seconds while the store changes. When it goes on, it finds the
requests that callers sent meanwhile before the changes of the store.
"""

from sycamoreferry_core import clock

# An instance may miss the store's changes for one part in so many of the time
# within which they have to take effect.
_GAP_DIVISOR = 2
# The periodic checks of a busy process are late by up to this time.
_MIN_GAP_MS = 1_000
# The time in which the store or another instance is asked after a suspension.
# One that gets no reply by then does not reach the store.
_READ_TIMEOUT_MS = 1_500


class StoreContact:
    """Track suspensions, and whether news of the store arrive in time."""

    def __init__(self, limit_ms: int | None) -> None:
        """Start out of touch; a limit of None disables the checks."""
        self._gap_ms: int | None = None
        if limit_ms is not None:
            self._gap_ms = max(limit_ms // _GAP_DIVISOR, _MIN_GAP_MS)
        self._checked_at: clock.Millis | None = None
        self._in_touch_since: clock.Millis | None = None
        self._resumed_at: clock.Millis | None = None

    def record_check(self, now: clock.Millis, *, is_in_touch: bool) -> bool:
        """Record a periodic check; return whether a suspension precedes it.

        `is_in_touch` tells whether this instance, or a coordinator that it
        hears, has lately read the store.
        """
        is_resumed = self._is_suspension(now)
        self._checked_at = now
        if is_resumed:
            self._resumed_at = now
            self._in_touch_since = None
        if not is_in_touch:
            self._in_touch_since = None
        elif self._in_touch_since is None:
            self._in_touch_since = now
        return is_resumed

    def record_read(self, asked_at: clock.Millis) -> None:
        """Record the end of a read of the store that began at `asked_at`."""
        if self._resumed_at is not None and asked_at >= self._resumed_at:
            self._resumed_at = None

    def is_outdated(self, now: clock.Millis) -> bool:
        """Return whether requests have to wait until the store is read."""
        if self._is_suspension(now):
            return True
        resumed_at = self._resumed_at
        return resumed_at is not None and now - resumed_at < _READ_TIMEOUT_MS

    def is_prompt(self, now: clock.Millis) -> bool:
        """Return whether a record that arrives now was written just now."""
        since = self._in_touch_since
        if since is None or self._gap_ms is None or self.is_outdated(now):
            return False
        return now - since >= self._gap_ms

    def _is_suspension(self, now: clock.Millis) -> bool:
        if self._checked_at is None or self._gap_ms is None:
            return False
        return now - self._checked_at >= self._gap_ms

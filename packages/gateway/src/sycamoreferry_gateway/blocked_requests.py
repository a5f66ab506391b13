"""Count the crashes of servers, and tell which requests may be sent."""

from sycamoreferry_core import clock, ids
from sycamoreferry_core.fleet import instances, servers
from sycamoreferry_core.traffic import crash_guard, crashes
from sycamoreferry_gateway import event_log


class BlockedRequests:
    """Apply what an instance knows of servers and peers to its guard."""

    def __init__(
        self,
        own: ids.InstanceId,
        guard: crash_guard.CrashGuard,
        peers: instances.Peers,
        time_source: clock.Clock,
        log: event_log.EventLog,
    ) -> None:
        self._own = own
        self._guard = guard
        self._peers = peers
        self._clock = time_source
        self._log = log
        # The last crash of each request whose block is logged.
        self._logged: dict[crashes.Signature, crashes.Crash] = {}

    def confirm_crashes(
        self, ended: servers.ServerIncarnation, *, was_leaving: bool
    ) -> None:
        """Count the crashes of an incarnation that has ended; log new ones."""
        for crash in self._guard.confirm_crashes(
            ended, self._clock.now(), was_leaving=was_leaving
        ):
            self._log.write(
                'crashes',
                'request ended its server',
                signature=crash.signature,
                server=ended.server,
                born=ended.born,
            )

    def is_blocked(self, signature: crashes.Signature) -> bool:
        """Return whether a request may be sent as a trial only."""
        return self._guard.history.is_blocked(signature, self._clock.now())

    def may_send(self, signature: crashes.Signature) -> bool:
        """Return whether a request may be sent, if only as a trial."""
        now = self._clock.now()
        if not self._guard.history.is_blocked(signature, now):
            return True
        self._log_block(signature, now)
        return self._guard.is_trial_due(
            signature, now, self._own, self._peers.trial_members(now)
        )

    def retry_after_ms(self, signature: crashes.Signature) -> int:
        """Return the time until a request may be sent; 0 if it may."""
        return self._guard.retry_after_ms(signature, self._clock.now())

    def update(self) -> None:
        """Note whether most instances are heard; log blocks that ended."""
        now = self._clock.now()
        is_heard = bool(self._peers.trial_members(now))
        self._guard.history.hears_most = is_heard
        for signature in list(self._logged):
            if not self._guard.history.is_blocked(signature, now):
                self._logged.pop(signature)
                self._log.write(
                    'crashes',
                    'request is no longer blocked',
                    signature=signature,
                )

    def _log_block(
        self, signature: crashes.Signature, now: clock.Millis
    ) -> None:
        blocking = self._guard.history.blocking_crashes(signature)
        if self._logged.get(signature) == blocking[-1]:
            return
        self._logged[signature] = blocking[-1]
        self._log.write(
            'crashes',
            'request is blocked',
            signature=signature,
            servers=[crash.incarnation.server for crash in blocking],
            next_trial_ms=self._guard.retry_after_ms(signature, now),
        )

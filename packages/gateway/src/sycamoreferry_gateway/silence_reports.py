"""Report to the coordinator, and tell which instances it no longer hears."""

from sycamoreferry_core import clock
from sycamoreferry_core.fleet import message_intervals
from sycamoreferry_gateway import peer_messages, view


class SilenceReports:
    """Decide when reports are due and what the coordinator tells of others."""

    def __init__(self, cluster_view: view.View) -> None:
        self._view = cluster_view
        self._reported_at = clock.LONG_AGO
        # Since when this instance coordinates without interruption.
        self._authority_since: clock.Millis | None = None

    def is_due(
        self,
        heartbeat: peer_messages.Heartbeat,
        plan: message_intervals.MessageIntervals,
    ) -> bool:
        """Tell whether to send a heartbeat to the coordinator now."""
        now = self._view.clock.now()
        has_news = bool(heartbeat.loads or heartbeat.leaving)
        elapsed_ms = now - self._reported_at
        if not has_news and not plan.is_due(elapsed_ms, plan.liveness_ms):
            return False
        self._reported_at = now
        return True

    def fill(
        self,
        heartbeat: peer_messages.Heartbeat,
        plan: message_intervals.MessageIntervals,
    ) -> None:
        """Add the silent instances, once all know to whom to report."""
        if not heartbeat.has_authority:
            self._authority_since = None
            return
        now = self._view.clock.now()
        if self._authority_since is None:
            self._authority_since = now
        if now - self._authority_since < 2 * plan.silent_ms:
            return
        peers = self._view.peers
        silent = peers.silent_for(plan.silent_ms, now)
        peers.record_silent(silent, plan.silent_ms, now)
        heartbeat.silent = list(silent)
        heartbeat.silent_ms = plan.silent_ms

"""Build the heartbeats that an instance sends to the others."""

import typing

import msgspec

from sycamoreferry_core import ids
from sycamoreferry_core.traffic import server_load
from sycamoreferry_gateway import (
    coordinator,
    crash_reports,
    leaving_reports,
    peer_messages,
    rate_limit_reports,
    slowdown_reports,
    store_client,
    view,
    warm_up_reports,
)

# Durations change slowly, so servers without load are reported only once in so
# many heartbeats.
_DURATION_REPORT_HEARTBEATS = 20


class HeartbeatBuilder:
    """Build heartbeats from what an instance knows."""

    def __init__(
        self,
        cluster_view: view.View,
        loads: server_load.ServerLoads,
        store: store_client.StoreClient,
        incarnation: int,
        get_coordinator: typing.Callable[[], coordinator.Coordinator],
        get_counters: typing.Callable[[], dict[ids.ServerId, ids.InstanceId]],
    ) -> None:
        self._view = cluster_view
        self._loads = loads
        self._store = store
        self._incarnation = incarnation
        self._get_coordinator = get_coordinator
        self._get_counters = get_counters
        self._heartbeat_count = 0

    def load_rows(self, *, with_slowdowns: bool) -> list[peer_messages.LoadRow]:
        """Return the load that this instance causes, by server."""
        now = self._view.clock.now()
        known = self._loads.slowdowns
        self._heartbeat_count += 1
        with_durations = (
            self._heartbeat_count % _DURATION_REPORT_HEARTBEATS == 0
        )
        return [
            peer_messages.LoadRow(
                server,
                row.in_flight,
                row.waiting,
                row.duration_ms,
                row.samples,
                *slowdown_reports.fields_of(
                    known, server if with_slowdowns else None, now
                ),
            )
            for server, row in self._loads.own_report().items()
            if with_durations
            or row.in_flight
            or row.waiting
            or (with_slowdowns and known.own_report(server, now))
        ]

    def build(
        self,
        loads: list[peer_messages.LoadRow] | None,
        *,
        is_leaving: bool,
    ) -> peer_messages.Heartbeat:
        """Return a heartbeat without crashes."""
        now = self._view.clock.now()
        given_up_term, leases_ms = self._get_coordinator().last_given_up()
        has_authority = self._get_coordinator().has_authority
        return peer_messages.Heartbeat(
            instance=self._view.deployment.instance,
            incarnation=self._incarnation,
            is_leaving=is_leaving,
            # Others rely on the reads of the coordinator. Any other instance
            # calls the store rarely, which is no sign of an outage.
            store_age_ms=(
                self._store.silent_ms()
                if has_authority
                else self._store.unanswered_ms()
            ),
            has_authority=has_authority,
            counting_weight=self._view.deployment.counting_weight,
            given_up_term=given_up_term,
            leases_ms=leases_ms,
            ends=list(self._view.offsets.ends().values()),
            loads=loads,
            crashes=[],
            rate_limits=rate_limit_reports.build_rows(
                self._loads.rate_limits.recent(now), now
            ),
            is_cut_off=self._loads.reachability.is_cut_off,
            era=self._view.offsets.era,
            leaving=leaving_reports.build_rows(self._view),
            counters=[
                peer_messages.CounterRow(server, counter)
                for server, counter in self._get_counters().items()
            ],
            sent_at=now,
            reports_often=True,
            warm_ups=warm_up_reports.build_rows(self._loads.warm_ups, now),
        )

    def without_reports(
        self, heartbeat: peer_messages.Heartbeat
    ) -> peer_messages.Heartbeat:
        """Return a heartbeat that tells of the sender alone."""
        return msgspec.structs.replace(
            heartbeat,
            loads=None,
            crashes=[],
            survivals=[],
            trials=[],
            suspects=[],
            rate_limits=[],
            leaving=[],
            counters=[],
            silent=[],
            warm_ups=[],
        )

    def with_crashes(
        self, heartbeat: peer_messages.Heartbeat
    ) -> peer_messages.Heartbeat:
        """Add the crashes to report to a heartbeat that is about to be sent."""
        now = self._view.clock.now()
        crash_reports.fill(heartbeat, self._view.crashes.selection, now)
        return heartbeat

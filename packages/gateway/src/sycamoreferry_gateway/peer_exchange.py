"""Exchange load, records and signs of life with other instances."""

import asyncio
import typing

from sycamoreferry_core import clock, ids
from sycamoreferry_core.fleet import (
    spreading,
    store_records,
)
from sycamoreferry_core.keyspace import owners
from sycamoreferry_core.traffic import server_load
from sycamoreferry_gateway import (
    coordinator,
    event_log,
    peer_inbox,
    peer_link,
    peer_messages,
    store_client,
    store_sync,
    view,
)

# Peers take an instance as down after several of these.
_QUIET_HEARTBEAT_MS = 200
# Durations change slowly, so not every heartbeat has them.
_DURATIONS_EVERY = 20
# The coordinator's reading is trusted while it is this recent.
_RELIEVED_MS = 1_100

_Address = tuple[str, int]
Demanded = dict[tuple[ids.ServiceName, owners.Key], int]


class PeerExchange:
    """Send what peers need to know and take what they say."""

    def __init__(
        self,
        folded: view.View,
        loads: server_load.ServerLoads,
        store: store_client.StoreClient,
        log: event_log.EventLog,
        incarnation: int,
        take_demanded: typing.Callable[[], Demanded],
        coordination: typing.Callable[[], coordinator.Coordinator],
    ) -> None:
        self._view = folded
        self._clock = folded.clock
        self._loads = loads
        self._store = store
        self._incarnation = incarnation
        self._take_demanded = take_demanded
        self._coordination = coordination
        self.inbox = peer_inbox.PeerInbox(
            folded,
            loads,
            store,
            coordination,
            lambda message, to: self._link.send(message, to),
        )
        self.inbox.greet = self._greet
        self._link = peer_link.PeerLink(self.inbox.take, log)
        self._beats = 0
        self._told: tuple[object, ...] = ()
        self._told_at = clock.LONG_AGO
        self._summed_at = clock.LONG_AGO
        self.is_leaving = False

    @property
    def peer_count(self) -> int:
        """Return how many other instances are known."""
        return len(self._view.peer_addresses)

    async def open(self) -> None:
        """Take datagrams on the address of the settings."""
        chosen = self._view.deployment
        await self._link.open(chosen.host, chosen.peer_port)

    def close(self) -> None:
        """Take no more datagrams."""
        self._link.close()

    async def send_forever(self) -> None:
        """Send heartbeats at the pace that the number of peers allows."""
        while True:
            plan = self._spread_plan()
            self._view.peers.silence_ms = plan.silence_ms
            await asyncio.sleep(clock.seconds(plan.report_ms))
            self.send_heartbeat()

    def is_relieved(self) -> bool:
        """Tell whether the coordinator reads the servers' entries for all."""
        name = self._view.assignment.coordinator
        if name is None:
            return False
        status = self._view.peers.status(name)
        if status is None:
            return False
        silent_ms = self._clock.now() - status.heard_at
        return (
            status.has_authority
            and not status.is_leaving
            and silent_ms + status.store_age_ms < _RELIEVED_MS
        )

    def hand_on_servers(
        self,
        records: list[store_records.StoredRecord],
    ) -> None:
        """Tell peers of changed entries while this instance coordinates."""
        if not records or not self._coordination().has_authority:
            return
        rows = [
            peer_messages.RecordRow(record.key, record.offset, record.content)
            for record in records
        ]
        # Peers read on from where they were, so nothing is passed over.
        self.announce(
            peer_messages.Records(
                store_sync.SERVERS_TOPIC,
                ids.FIRST_OFFSET,
                rows,
            ),
        )

    def announce(self, message: peer_messages.PeerMessage) -> None:
        """Send a message to all other instances."""
        self._link.send_all(message, self._view.peer_addresses.values())

    def post(
        self,
        instance: ids.InstanceId,
        message: peer_messages.PeerMessage,
    ) -> None:
        """Send a message to one instance, which may be this one."""
        chosen = self._view.deployment
        if instance == chosen.instance:
            self.inbox.take(message, (chosen.host, chosen.peer_port))
            return
        address = self._view.peer_addresses.get(instance)
        if address is not None:
            self._link.send(message, address)

    def send_heartbeat(self) -> None:
        """Tell peers what changed since the last heartbeat."""
        plan = self._spread_plan()
        self._report_demand()
        beat = self._heartbeat(self._load_rows())
        if plan.is_mesh:
            if self._is_news(beat):
                self.announce(beat)
            return
        if self._coordination().has_authority:
            self._send_summary(plan)
        elif beat.loads:
            self._send_to_coordinator(beat)
        now = self._clock.now()
        is_hub = self._coordination().has_authority or self.is_leaving
        pause = plan.summary_ms if is_hub else plan.life_ms
        state = (beat.is_leaving, beat.has_authority, beat.given_up_term)
        if state != self._told or now - self._told_at >= pause:
            self._told = state
            self._told_at = now
            beat.loads = None
            self.announce(beat)

    def _greet(self, newcomer: _Address) -> None:
        """Tell an instance that has started that this one lives."""
        if not self._spread_plan().is_mesh:
            self._link.send(self._heartbeat(loads=None), newcomer)

    def _spread_plan(self) -> spreading.SpreadPlan:
        return spreading.plan_spreading(len(self._view.peer_addresses))

    def _load_rows(self) -> list[peer_messages.LoadRow]:
        self._beats += 1
        with_durations = self._beats % _DURATIONS_EVERY == 0
        return [
            peer_messages.LoadRow(
                server,
                row.in_flight,
                row.waiting,
                row.duration_ms,
            )
            for server, row in self._loads.own_report().items()
            if with_durations or row.in_flight or row.waiting
        ]

    def _heartbeat(
        self,
        loads: list[peer_messages.LoadRow] | None,
    ) -> peer_messages.Heartbeat:
        given_up_term, leases_ms = self._coordination().given_up()
        return peer_messages.Heartbeat(
            instance=self._view.deployment.instance,
            incarnation=self._incarnation,
            is_leaving=self.is_leaving,
            store_age_ms=self._store.silent_ms(),
            has_authority=self._coordination().has_authority,
            counting_weight=self._view.deployment.counting_weight,
            given_up_term=given_up_term,
            leases_ms=leases_ms,
            ends=list(self._view.ends().values()),
            loads=loads,
            crashes=[
                peer_messages.CrashRow(
                    crash.signature,
                    crash.life.server,
                    crash.life.born,
                )
                for crash in self._view.crashes.recent()
            ],
        )

    def _report_demand(self) -> None:
        """Report demand to the coordinator, which places keys by it."""
        rows = []
        for (service, key), count in self._take_demanded().items():
            rows.append(peer_messages.DemandRow(service, key, count))
            self._coordination().count_demand(service, key, count)
        if rows:
            self._send_to_coordinator(peer_messages.Demand(rows))

    def _send_summary(self, plan: spreading.SpreadPlan) -> None:
        now = self._clock.now()
        if now - self._summed_at < plan.summary_ms:
            return
        self._summed_at = now
        known = self._view.fleet.servers.values()
        rows = [
            peer_messages.LoadRow(
                server,
                row.in_flight,
                row.waiting,
                row.duration_ms,
            )
            for server, row in self._loads.summary(known, now).items()
        ]
        self.announce(
            peer_messages.LoadSummary(self._view.deployment.instance, rows),
        )

    def _is_news(self, beat: peer_messages.Heartbeat) -> bool:
        """Tell whether peers need this heartbeat now."""
        now = self._clock.now()
        state = (beat.is_leaving, beat.has_authority, beat.ends, beat.loads)
        if state == self._told and now - self._told_at < _QUIET_HEARTBEAT_MS:
            return False
        self._told = state
        self._told_at = now
        return True

    def _send_to_coordinator(self, message: peer_messages.PeerMessage) -> None:
        coordinator_id = self._view.assignment.coordinator
        if coordinator_id is None:
            return
        address = self._view.peer_addresses.get(coordinator_id)
        if address is not None:
            self._link.send(message, address)

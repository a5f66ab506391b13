"""Exchange heartbeats, load reports and records with other instances."""

import typing

from sycamoreferry_adapter import store_calls
from sycamoreferry_core import clock, ids
from sycamoreferry_core.fleet import (
    message_intervals,
    store_records,
)
from sycamoreferry_core.keyspace import owners
from sycamoreferry_core.traffic import server_load
from sycamoreferry_gateway import (
    coordinator,
    event_log,
    heartbeats,
    peer_message_handler,
    peer_messages,
    peer_socket,
    silence_reports,
    store_client,
    view,
)

# Interval of heartbeats without changes; peers take an instance as down
# after several of these.
_IDLE_HEARTBEAT_INTERVAL_MS = 200
# The coordinator counts as polling the store if it did so this recently.
_COORDINATOR_READ_MAX_AGE_MS = 1_100

# So many instances, the coordinator among them, follow the store themselves.
_STORE_READERS = 3
# Ranking takes time in proportion to the number of instances.
_RANK_MAX_AGE_MS = 300

_Address = tuple[str, int]
DemandCounts = dict[tuple[ids.ServiceName, owners.Key], int]


class PeerExchange:
    """Send heartbeats and other messages to peers and receive theirs."""

    def __init__(
        self,
        cluster_view: view.View,
        loads: server_load.ServerLoads,
        store: store_client.StoreClient,
        log: event_log.EventLog,
        incarnation: int,
        take_demand: typing.Callable[[], DemandCounts],
        get_coordinator: typing.Callable[[], coordinator.Coordinator],
    ) -> None:
        self._view = cluster_view
        self._clock = cluster_view.clock
        self._loads = loads
        self._heartbeats = heartbeats.HeartbeatBuilder(
            cluster_view,
            loads,
            store,
            incarnation,
            get_coordinator,
            lambda: self.message_handler.counters(),
        )
        self._take_demand = take_demand
        self._get_coordinator = get_coordinator
        self.message_handler = peer_message_handler.PeerMessageHandler(
            cluster_view,
            loads,
            get_coordinator,
            lambda message, to: self._socket.send(message, to),
        )
        self.message_handler.on_new_peer = self._send_heartbeat_to
        self._socket = peer_socket.PeerSocket(self.message_handler.handle, log)
        self._sent_state: tuple[object, ...] = ()
        self._sent_at = clock.LONG_AGO
        self._summary_sent_at = clock.LONG_AGO
        self._silence = silence_reports.SilenceReports(cluster_view)
        self.is_leaving = False
        self._rank = 0
        self._ranked_at = clock.LONG_AGO

    @property
    def peer_count(self) -> int:
        """Return how many other instances are known."""
        return len(self._view.peer_addresses)

    async def open(self) -> None:
        """Receive datagrams on the peer address of the deployment settings."""
        settings = self._view.deployment
        await self._socket.open(settings.host, settings.peer_port)

    def close(self) -> None:
        """Close the socket; no datagrams are received afterwards."""
        self._socket.close()

    async def send_forever(self) -> None:
        """Send heartbeats; the interval depends on the number of peers."""
        while True:
            plan = self._spread_plan()
            self._view.peers.peer_timeout_ms = plan.peer_timeout_ms
            self._view.peers.share_timeout_ms = plan.share_timeout_ms
            await self._view.ticks.wait(plan.report_ms)
            self.send_heartbeat()

    def is_coordinator_polling(self) -> bool:
        """Tell whether the coordinator polls the server entries for all."""
        name = self._view.assignment.coordinator
        if name is None:
            return False
        status = self._view.peers.status(name)
        if status is None:
            return False
        silent_ms = self._clock.now() - status.received_at
        return (
            status.has_authority
            and self._view.offsets.accepts(status.store_era)
            and not status.is_leaving
            and silent_ms + status.store_age_ms < _COORDINATOR_READ_MAX_AGE_MS
        )

    def is_store_reader(self) -> bool:
        """Tell whether this instance follows the store for others."""
        if self._get_coordinator().has_authority:
            return True
        now = self._clock.now()
        if now - self._ranked_at >= _RANK_MAX_AGE_MS:
            self._ranked_at = now
            # The coordinator reads the store whatever its rank is.
            self._rank = self._view.peers.rank(
                now, apart_from=self._view.assignment.coordinator
            )
        return self._rank < _STORE_READERS - 1

    def forward_servers(
        self,
        records: list[store_records.StoredRecord],
    ) -> None:
        """Send changed server entries to peers if this instance coordinates."""
        if not records or not self._get_coordinator().has_authority:
            return
        rows = [
            peer_messages.RecordRow(record.key, record.offset, record.content)
            for record in records
        ]
        # With the first offset as end, peers keep their own read position and
        # miss no record.
        self.announce(
            peer_messages.Records(
                store_calls.SERVERS_TOPIC,
                ids.FIRST_OFFSET,
                rows,
                self._view.mirrors[store_calls.SERVERS_TOPIC].era,
            ),
        )

    def announce(self, message: peer_messages.PeerMessage) -> None:
        """Send a message to all other instances."""
        self._socket.send_all(message, self._view.peer_addresses.values())

    def post(
        self,
        instance: ids.InstanceId,
        message: peer_messages.PeerMessage,
    ) -> None:
        """Send a message to an instance; one for this instance is handled here.

        A message to an instance without a known address is dropped.
        """
        settings = self._view.deployment
        if instance == settings.instance:
            self.message_handler.handle(
                message, (settings.host, settings.peer_port)
            )
            return
        address = self._view.peer_addresses.get(instance)
        if address is not None:
            self._socket.send(message, address)

    def send_heartbeat(self) -> None:
        """Report demand and load, and send a heartbeat if one is due.

        In a full mesh the heartbeat with the load goes to all peers.
        Otherwise the load goes to the coordinator, which sends a summary to
        all, and heartbeats without load are sent less often.
        """
        plan = self._spread_plan()
        self._report_demand()
        heartbeat = self._heartbeats.build(
            self._heartbeats.load_rows(with_slowdowns=plan.is_mesh),
            is_leaving=self.is_leaving,
        )
        if plan.is_mesh:
            if self._is_due(heartbeat, plan):
                self._announce_heartbeat(heartbeat)
            return
        now = self._clock.now()
        self._silence.fill(heartbeat, plan)
        if heartbeat.has_authority:
            self._send_summary(plan)
        elif self._silence.is_due(heartbeat, plan):
            self._send_to_coordinator(heartbeat)
        is_hub = heartbeat.has_authority or self.is_leaving
        interval_ms = plan.hub_ms if is_hub else plan.heartbeat_ms
        state = (
            heartbeat.is_leaving,
            heartbeat.has_authority,
            heartbeat.given_up_term,
            heartbeat.is_cut_off,
            heartbeat.silent,
            # Others learn from readers that there is something to read.
            (
                self._view.mirrors[store_calls.CONFIG_TOPIC].end
                if self.is_store_reader()
                else None
            ),
            self._view.crashes.selection.changes(),
        )
        if state != self._sent_state or plan.is_due(
            now - self._sent_at, interval_ms
        ):
            self._sent_state = state
            self._sent_at = now
            heartbeat.loads = None
            self._announce_heartbeat(heartbeat)

    def _send_heartbeat_to(self, address: _Address) -> None:
        """Send a heartbeat to an instance that has just started.

        Does nothing in a full mesh, where heartbeats are frequent anyway.
        """
        if not self._spread_plan().is_mesh:
            heartbeat = self._heartbeats.with_crashes(
                self._heartbeats.build(None, is_leaving=self.is_leaving)
            )
            self._socket.send(heartbeat, address)

    def _announce_heartbeat(self, heartbeat: peer_messages.Heartbeat) -> None:
        """Send a heartbeat to all; leave reports out that can't be encoded.

        Others take an instance without heartbeats as down.
        """
        try:
            self.announce(self._heartbeats.with_crashes(heartbeat))
        except (OverflowError, ValueError, TypeError) as error:
            self._view.log.write_rate_limited(
                'peers',
                'heartbeat is sent without reports',
                reason=repr(error),
            )
            self.announce(self._heartbeats.without_reports(heartbeat))

    def _spread_plan(self) -> message_intervals.MessageIntervals:
        return message_intervals.choose_intervals(
            len(self._view.peer_addresses)
        )

    def _report_demand(self) -> None:
        """Report demand to the coordinator, which bases key placement on it."""
        rows = []
        for (service, key), count in self._take_demand().items():
            rows.append(peer_messages.DemandRow(service, key, count))
            self._get_coordinator().count_demand(service, key, count)
        if rows:
            self._send_to_coordinator(peer_messages.Demand(rows))

    def _send_summary(self, plan: message_intervals.MessageIntervals) -> None:
        now = self._clock.now()
        if not plan.is_due(now - self._summary_sent_at, plan.summary_ms):
            return
        self._summary_sent_at = now
        known = self._view.fleet.servers.values()
        rows = [
            peer_messages.LoadRow(
                server,
                row.in_flight,
                row.waiting,
                row.duration_ms,
                row.samples,
            )
            for server, row in self._loads.summary(known, now).items()
        ]
        self.announce(
            peer_messages.LoadSummary(self._view.deployment.instance, rows),
        )

    def _is_due(
        self,
        heartbeat: peer_messages.Heartbeat,
        plan: message_intervals.MessageIntervals,
    ) -> bool:
        """Tell whether a heartbeat has changes or the idle interval is over."""
        now = self._clock.now()
        state = (
            heartbeat.is_leaving,
            heartbeat.has_authority,
            heartbeat.is_cut_off,
            heartbeat.ends,
            heartbeat.loads,
            [(row.server, row.requests_per_s) for row in heartbeat.rate_limits],
            heartbeat.leaving,
            heartbeat.counters,
            [(row.server, row.born) for row in heartbeat.warm_ups],
            self._view.crashes.selection.changes(),
        )
        if state == self._sent_state and not plan.is_due(
            now - self._sent_at, _IDLE_HEARTBEAT_INTERVAL_MS
        ):
            return False
        self._sent_state = state
        self._sent_at = now
        return True

    def _send_to_coordinator(self, message: peer_messages.PeerMessage) -> None:
        coordinator_id = self._view.assignment.coordinator
        if coordinator_id is None:
            return
        address = self._view.peer_addresses.get(coordinator_id)
        if address is not None:
            self._socket.send(message, address)

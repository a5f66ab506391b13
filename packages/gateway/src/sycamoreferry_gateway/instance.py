"""Run the parts of an entry instance on one loop."""

import asyncio
import signal
import time
import typing

from sycamoreferry_core import clock, ids
from sycamoreferry_core.fleet import (
    deployment,
    instances,
    leaving,
    servers,
    spreading,
    store_records,
)
from sycamoreferry_core.keyspace import owners
from sycamoreferry_core.traffic import crashes, server_load
from sycamoreferry_gateway import (
    coordinator,
    dispatcher,
    event_log,
    http_client,
    http_server,
    peer_link,
    peer_messages,
    request_path,
    status_pages,
    steady_clock,
    store_client,
    store_sync,
    telemetry,
    view,
)

_LEAVING_BEAT_MS = 50
# Peers take an instance as down after several of these.
_QUIET_HEARTBEAT_MS = 200
# Durations change slowly, so not every heartbeat has them.
_DURATIONS_EVERY = 20
_HOUSEKEEPING_MS = 500
_WANTED_PACE_MS = 250
# The coordinator's reading is trusted while it is this recent.
_RELIEVED_MS = 1_100
# A cut-off instance asks its peers for what the store would tell it.
_STORE_SILENT_MS = 4_000

# What the coordinator hands on, so that others need not read it.
_SHARED_TOPICS = frozenset((store_sync.OWNERS_TOPIC, store_sync.SERVERS_TOPIC))

_Address = tuple[str, int]


class Instance:
    """Connect the parts and pass messages between them."""

    def __init__(
        self,
        chosen: deployment.Deployment,
        log: event_log.EventLog,
    ) -> None:
        self._deployment = chosen
        self._log = log
        self._clock = steady_clock.SteadyClock()
        self._incarnation = time.time_ns()
        self._view = view.View(chosen, self._clock, log)
        self._loads = server_load.ServerLoads()
        self._pool = http_client.ConnectionPool(self._clock)
        self._store = store_client.StoreClient(
            chosen.store_address,
            self._clock,
            log,
        )
        self._sync = store_sync.StoreSync(
            self._store,
            self._view,
            log,
            self._is_relieved,
            self._hand_on_servers,
            lambda: len(self._view.peer_addresses),
        )
        self._queue = dispatcher.Dispatcher(self._view, self._loads)
        self._measures = telemetry.Telemetry()
        self._path = request_path.RequestPath(
            self._view,
            self._loads,
            self._queue,
            self._pool,
            log,
            self._measures,
        )
        self._link = peer_link.PeerLink(self._take_message, log)
        self._coordinator = coordinator.Coordinator(
            self._view,
            self._store,
            http_client.ConnectionPool(self._clock),
            self._loads,
            log,
            self._announce,
        )
        self._server = http_server.HttpServer(self._path.serve, self._clock)
        self._status = http_server.HttpServer(self._answer_status, self._clock)
        self._wanted_at: dict[str, clock.Millis] = {}
        self._recent_crashes: list[peer_messages.CrashRow] = []
        self._stop = asyncio.Event()
        self._was_ready = False
        self._beats = 0
        self._told: tuple[typing.Any, ...] = ()
        self._told_at = clock.LONG_AGO
        self._summed_at = clock.LONG_AGO

    @property
    def is_ready(self) -> bool:
        """Tell whether this instance can serve requests."""
        return (
            not self._server.is_leaving
            and self._view.config is not None
            and bool(self._view.fleet.servers)
        )

    async def run(self) -> None:
        """Serve until SIGTERM."""
        chosen = self._deployment
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self._stop.set)
        loop.add_signal_handler(signal.SIGHUP, self._note_hangup)
        self._view.changed = self._take_change
        await self._link.open(chosen.host, chosen.peer_port)
        await self._listen()
        self._log.write(
            'instance',
            'started',
            instance=chosen.instance,
            data_centre=chosen.data_centre,
            incarnation=self._incarnation,
        )
        tasks = [loop.create_task(self._guard(work)) for work in self._work()]
        await self._stop.wait()
        await self._leave()
        for task in tasks:
            task.cancel()

    def _work(
        self,
    ) -> list[typing.Callable[[], typing.Coroutine[None, None, None]]]:
        return [
            self._sync.follow_config,
            self._sync.follow_servers,
            self._sync.follow_instances,
            self._sync.load_owners,
            self._sync.register,
            self._coordinator.run,
            self._coordinator.prove_forever,
            self._queue.tick_forever,
            self._server.sweep_forever,
            self._send_heartbeats,
            self._keep_house,
        ]

    async def _guard(
        self,
        work: typing.Callable[[], typing.Coroutine[None, None, None]],
    ) -> None:
        """Start a part again that failed, and log why."""
        while True:
            try:
                await work()
            except Exception as error:
                self._log.write(
                    'instance',
                    'part failed and starts again',
                    work=work.__name__,
                    reason=repr(error),
                )
                await asyncio.sleep(clock.seconds(_HOUSEKEEPING_MS))
            else:
                return

    async def _listen(self) -> None:
        chosen = self._deployment
        await self._server.listen(
            chosen.request_address.host,
            chosen.request_address.port,
        )
        await self._status.listen(
            chosen.readiness_address.host,
            chosen.readiness_address.port,
        )
        await self._status.listen(chosen.host, chosen.metrics_port)

    async def _answer_status(
        self,
        request: http_server.CallerRequest,
    ) -> http_server.CallerAnswer:
        if request.path == status_pages.METRICS_PATH:
            return status_pages.metrics(self._measures.render(self._gauges()))
        return status_pages.readiness(is_ready=self.is_ready)

    def _gauges(self) -> dict[str, float]:
        config = self._view.config
        now = self._clock.now()
        return {
            'requests_in_flight': self._path.in_flight,
            'requests_waiting': self._queue.waiting_count,
            'config_version': config.version if config else 0,
            'servers_known': len(self._view.fleet.servers),
            'instances_alive': self._view.peers.count(now),
            'term': self._view.assignment.term,
            'is_coordinating': int(self._coordinator.has_authority),
            'moves_made': self._coordinator.moves_made,
            'store_calls': self._store.calls,
            'store_silent_ms': self._store.silent_ms(),
            'connections_opened': self._pool.opened,
        }

    def _take_change(self) -> None:
        config = self._view.config
        if config is not None:
            self._server.limits = config.limits
        if self.is_ready != self._was_ready:
            self._was_ready = self.is_ready
            self._log.write(
                'instance', 'readiness changed', ready=self.is_ready
            )
        self._queue.wake()

    async def _leave(self) -> None:
        """Let callers go elsewhere and finish what is under way."""
        self._log.write('instance', 'stopping', reason='SIGTERM')
        self._server.is_leaving = True
        self._coordinator.resign()
        self._send_heartbeat()
        asked_at = self._clock.now()
        phase = leaving.LeavePhase.ACCEPTING
        while phase is not leaving.LeavePhase.DONE:
            if phase is leaving.LeavePhase.FINISHING:
                self._server.stop_listening()
                self._server.close_idle()
            self._send_heartbeat()
            await asyncio.sleep(clock.seconds(_LEAVING_BEAT_MS))
            phase = leaving.leave_phase(
                asked_at,
                self._clock.now(),
                grace_ms=self._deployment.bounds.grace_ms,
                is_quiet=self._server.is_quiet and not self._path.in_flight,
            )
        self._server.stop_listening()
        self._server.close_connections()
        self._log.write(
            'instance',
            'stopped',
            in_flight=self._path.in_flight,
        )
        self._log.tell_dropped()

    def _note_hangup(self) -> None:
        self._log.write(
            'instance',
            'settings changed',
            effect='identity and addresses apply at the next start',
        )

    async def _keep_house(self) -> None:
        while True:
            await asyncio.sleep(clock.seconds(_HOUSEKEEPING_MS))
            self._pool.drop_idle()
            self._loads.drop_silent_peers(self._clock.now())
            self._loads.keep_only(self._view.fleet.servers)
            self._view.crashes.prune(self._clock.now())
            self._log.tell_dropped()
            self._take_change()

    async def _send_heartbeats(self) -> None:
        while True:
            plan = self._spread_plan()
            self._view.peers.silence_ms = plan.silence_ms
            await asyncio.sleep(clock.seconds(plan.report_ms))
            self._send_heartbeat()

    def _spread_plan(self) -> spreading.SpreadPlan:
        return spreading.plan_spreading(len(self._view.peer_addresses))

    def _send_heartbeat(self) -> None:
        plan = self._spread_plan()
        self._report_demand()
        beat = self._heartbeat(self._load_rows())
        if plan.is_mesh:
            if self._is_news(beat):
                self._announce(beat)
            return
        if self._coordinator.has_authority:
            self._send_summary(plan)
        elif beat.loads:
            self._send_to_coordinator(beat)
        now = self._clock.now()
        is_hub = self._coordinator.has_authority or self._server.is_leaving
        pause = plan.summary_ms if is_hub else plan.life_ms
        if now - self._told_at >= pause:
            self._told_at = now
            beat.loads = None
            self._announce(beat)

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
        loads: list[peer_messages.LoadRow],
    ) -> peer_messages.Heartbeat:
        given_up_term, leases_ms = self._coordinator.given_up()
        return peer_messages.Heartbeat(
            instance=self._deployment.instance,
            incarnation=self._incarnation,
            is_leaving=self._server.is_leaving,
            store_age_ms=self._store.silent_ms(),
            has_authority=self._coordinator.has_authority,
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
        for (service, key), count in self._path.take_demand().items():
            rows.append(peer_messages.DemandRow(service, key, count))
            self._coordinator.count_demand(service, key, count)
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
        self._announce(
            peer_messages.LoadSummary(self._deployment.instance, rows),
        )

    def _is_news(self, beat: peer_messages.Heartbeat) -> bool:
        """Tell whether peers need this heartbeat now."""
        now = self._clock.now()
        state = (beat.is_leaving, beat.has_authority, beat.ends, beat.loads)
        if state == self._told and now - self._told_at < _QUIET_HEARTBEAT_MS:
            return False
        self._told, self._told_at = state, now
        return True

    def _send_to_coordinator(self, message: peer_messages.PeerMessage) -> None:
        coordinator_id = self._view.assignment.coordinator
        if coordinator_id is None:
            return
        address = self._view.peer_addresses.get(coordinator_id)
        if address is not None:
            self._link.send(message, address)

    def _is_relieved(self) -> bool:
        """Tell whether the coordinator reads the servers' entries for all."""
        name = self._view.assignment.coordinator
        status = self._view.peers.status(name) if name is not None else None
        if status is None:
            return False
        silent_ms = self._clock.now() - status.heard_at
        return (
            status.has_authority
            and not status.is_leaving
            and silent_ms + status.store_age_ms < _RELIEVED_MS
        )

    def _hand_on_servers(
        self,
        records: list[store_records.StoredRecord],
    ) -> None:
        """Tell peers of changed entries while this instance coordinates."""
        if not records or not self._coordinator.has_authority:
            return
        rows = [
            peer_messages.RecordRow(record.key, record.offset, record.content)
            for record in records
        ]
        # Peers read on from where they were, so nothing is passed over.
        self._announce(
            peer_messages.Records(
                store_sync.SERVERS_TOPIC,
                ids.FIRST_OFFSET,
                rows,
            ),
        )

    def _announce(self, message: peer_messages.PeerMessage) -> None:
        self._link.send_all(message, self._view.peer_addresses.values())

    def _take_message(
        self,
        message: peer_messages.PeerMessage,
        sender: _Address,
    ) -> None:
        if isinstance(message, peer_messages.Heartbeat):
            self._take_heartbeat(message, sender)
        elif isinstance(message, peer_messages.Records):
            self._take_records(message)
        elif isinstance(message, peer_messages.RecordsWanted):
            self._send_records(message, sender)
        elif isinstance(message, peer_messages.Demand):
            self._take_demand(message)
        elif isinstance(message, peer_messages.LoadSummary):
            self._loads.take_summary(
                ids.InstanceId(message.coordinator),
                _reports(message.rows),
                self._clock.now(),
            )
            self._queue.wake()
        else:
            keys = owners.KeyRange(
                owners.Key(message.first),
                owners.Key(message.last),
            )
            self._view.mark_moving(
                ids.ServiceName(message.service),
                keys,
                is_over=message.is_over,
            )

    def _take_heartbeat(
        self,
        beat: peer_messages.Heartbeat,
        sender: _Address,
    ) -> None:
        now = self._clock.now()
        instance = ids.InstanceId(beat.instance)
        self._view.peer_addresses.setdefault(instance, sender)
        self._view.peers.hear(
            instances.PeerStatus(
                instance,
                beat.incarnation,
                now,
                beat.is_leaving,
                beat.store_age_ms,
                beat.has_authority,
            ),
        )
        if beat.given_up_term:
            term = ids.Term(beat.given_up_term)
            self._view.given_up[term] = clock.later(now, beat.leases_ms)
        if beat.loads is not None:
            rows = _reports(beat.loads)
            self._loads.take_peer_report(instance, rows, now)
        for crash in beat.crashes:
            life = servers.ServerLife(
                ids.ServerId(crash.server),
                servers.Born(crash.born),
            )
            signature = crashes.Signature(crash.signature)
            self._view.crashes.record(crashes.Crash(signature, life), now)
        self._ask_for_newer(beat, sender)
        self._queue.wake()

    def _take_demand(self, message: peer_messages.Demand) -> None:
        for row in message.rows:
            self._coordinator.count_demand(
                ids.ServiceName(row.service),
                owners.Key(row.key),
                row.count,
            )

    def _ask_for_newer(
        self,
        beat: peer_messages.Heartbeat,
        sender: _Address,
    ) -> None:
        now = self._clock.now()
        is_cut_off = self._store.silent_ms() > _STORE_SILENT_MS
        for topic, end in zip(self._view.mirrors, beat.ends, strict=False):
            mirror = self._view.mirrors.get(topic)
            known = self._view.ends()[topic]
            if mirror is None or end <= max(known, mirror.end):
                continue
            self._sync.peer_read_further(topic, ids.Offset(end))
            wants = topic in _SHARED_TOPICS or is_cut_off
            last = self._wanted_at.get(topic, clock.LONG_AGO)
            if wants and now - last > _WANTED_PACE_MS:
                self._wanted_at[topic] = now
                wanted = peer_messages.RecordsWanted(topic, mirror.end)
                self._link.send(wanted, sender)

    def _take_records(self, message: peer_messages.Records) -> None:
        topic = store_records.TopicName(message.topic)
        if topic not in self._view.mirrors:
            return
        records = tuple(
            store_records.StoredRecord(
                store_records.RecordKey(row.key),
                ids.Offset(row.offset),
                row.content,
            )
            for row in message.rows
        )
        page = store_records.RecordPage(records, ids.Offset(message.end))
        self._view.apply(topic, page)

    def _send_records(
        self,
        wanted: peer_messages.RecordsWanted,
        sender: _Address,
    ) -> None:
        mirror = self._view.mirrors.get(store_records.TopicName(wanted.topic))
        if mirror is None:
            return
        rows = [
            peer_messages.RecordRow(record.key, record.offset, record.content)
            for record in mirror.records.values()
            if record.offset >= wanted.end
        ]
        answer = peer_messages.Records(wanted.topic, mirror.end, rows)
        self._link.send(answer, sender)


def _reports(
    rows: list[peer_messages.LoadRow],
) -> dict[ids.ServerId, server_load.ServerReport]:
    return {
        ids.ServerId(row.server): server_load.ServerReport(
            row.in_flight,
            row.waiting,
            row.duration_ms,
        )
        for row in rows
    }

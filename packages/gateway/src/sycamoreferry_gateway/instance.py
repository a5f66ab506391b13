"""Run the parts of a gateway instance on one event loop."""

import asyncio
import functools
import signal
import time

from sycamoreferry_core import clock
from sycamoreferry_core.fleet import (
    deployment,
    graceful_shutdown,
)
from sycamoreferry_core.traffic import server_load, warm_ups
from sycamoreferry_gateway import (
    caller_servers,
    coordinator,
    dispatcher,
    event_log,
    housekeeping,
    http_client,
    part_runner,
    peer_exchange,
    permit_service,
    request_handler,
    server_monitors,
    status_pages,
    store_client,
    store_sync,
    view,
)
from sycamoreferry_ports import boot_clock

_DRAIN_HEARTBEAT_MS = 50
_LAST_ANSWERS_MS = 100
_LAST_ANSWERS_STEP_MS = 5


class Instance:
    """Build the parts of an instance, connect them and run them."""

    def __init__(
        self,
        settings: deployment.Deployment,
        log: event_log.EventLog,
    ) -> None:
        self._deployment = settings
        self._log = log
        self._parts = part_runner.PartRunner(log)
        self._clock = boot_clock.BootClock()
        self._incarnation = time.time_ns()
        cold = warm_ups.WarmUps(settings.bounds)
        self._view = view.View(settings, self._clock, log, cold)
        self._loads = server_load.ServerLoads(cold)
        self._pool = http_client.ConnectionPool(self._clock, settings.memory_mb)
        reachability, crashes = server_monitors.build(
            self._view, self._loads, self._pool, log
        )
        self._monitor = reachability
        self._crash_monitor = crashes
        self._store = store_client.StoreClient(
            settings.store_address,
            self._clock,
            log,
        )
        self._dispatcher = dispatcher.Dispatcher(self._view, self._loads)
        self._request_handler = request_handler.RequestHandler(
            self._view,
            self._loads,
            self._dispatcher,
            self._pool,
            log,
        )
        self._exchange = peer_exchange.PeerExchange(
            self._view,
            self._loads,
            self._store,
            log,
            self._incarnation,
            self._request_handler.preparer.drain_demand,
            self._coordination,
        )
        self._sync = store_sync.StoreSync(
            self._store,
            self._view,
            log,
            self._exchange,
        )
        self._exchange.message_handler.on_peer_offset = (
            self._sync.note_peer_offset
        )
        self._exchange.message_handler.on_newer_era = self._sync.wake_all
        self._exchange.message_handler.on_unusable_records = self._sync.wake
        self._permit_service = permit_service.PermitService(
            self._view,
            self._loads,
            self._exchange.post,
            self._dispatcher.permits.counting.of_server,
        )
        self._exchange.message_handler.counter = self._permit_service
        self._exchange.message_handler.permits = self._dispatcher.permits
        self._dispatcher.permits.returns.post = self._exchange.post
        self._coordinator: coordinator.Coordinator = coordinator.Coordinator(
            self._view,
            self._store,
            http_client.ConnectionPool(self._clock, settings.memory_mb),
            self._loads,
            log,
            self._exchange.announce,
        )
        pages = status_pages.StatusPages(
            lambda: self.is_ready,
            lambda: self._request_handler.telemetry.render(self._gauges()),
        )
        self._servers = caller_servers.build(
            settings, self._clock, self._request_handler, self._view, pages
        )
        self._server = self._servers.callers
        self._relay_server = self._servers.relays
        self._status = self._servers.pages
        self._housekeeping = housekeeping.Housekeeping(
            self._view,
            self._loads,
            (self._pool, self._request_handler.relay.pool),
            self._parts,
            self._apply_view_change,
            self._servers.budget,
        )
        self._stop = asyncio.Event()
        self._stop_requested_at: clock.Millis | None = None
        self._was_ready = False

    @property
    def is_ready(self) -> bool:
        """Tell whether new requests are accepted, for the readiness page."""
        return (
            not self._server.is_draining
            and self._view.config is not None
            and bool(self._view.fleet.servers)
        )

    async def run(self) -> None:
        """Serve until SIGTERM, then drain and stop."""
        settings = self._deployment
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(self._parts.log_unhandled)
        # Unlike the loop's own handlers it runs also while the loop is busy.
        signal.signal(signal.SIGTERM, lambda *_: self.request_stop(loop))
        loop.add_signal_handler(signal.SIGHUP, self._on_hangup)
        self._view.on_change = self._apply_view_change
        await self._exchange.open()
        await self._listen()
        self._log.write(
            'instance',
            'started',
            instance=settings.instance,
            data_centre=settings.data_centre,
            incarnation=self._incarnation,
        )
        tasks = [
            loop.create_task(self._parts.run_restarting(work))
            for work in self._work()
        ]
        try:
            await self._stop.wait()
            await self._drain(self._stop_requested_at or self._clock.now())
        finally:
            for task in tasks:
                task.cancel()

    def request_stop(self, loop: asyncio.AbstractEventLoop) -> None:
        """Start a shutdown; the grace period begins at the first request."""
        if self._stop_requested_at is None:
            self._stop_requested_at = self._clock.now()
        loop.call_soon_threadsafe(self._stop.set)

    def _coordination(self) -> coordinator.Coordinator:
        return self._coordinator

    def _work(self) -> list[part_runner.Work]:
        return [
            self._sync.follow_config,
            self._sync.follow_servers,
            self._sync.follow_instances,
            self._sync.load_owners,
            self._sync.register,
            self._monitor.watch_forever,
            self._crash_monitor.watch_forever,
            self._sync.evacuations.watch_forever,
            self._coordinator.run,
            self._coordinator.prove_forever,
            self._dispatcher.tick_forever,
            self._permit_service.sweep_forever,
            self._dispatcher.permits.returns.repeat_forever,
            self._server.sweep_forever,
            self._relay_server.sweep_forever,
            self._status.sweep_forever,
            self._exchange.send_forever,
            self._housekeeping.run_forever,
        ]

    async def _listen(self) -> None:
        settings = self._deployment
        await self._server.listen(
            settings.request_address.host,
            settings.request_address.port,
        )
        await self._relay_server.listen(settings.host, settings.peer_port)
        await self._status.listen(
            settings.readiness_address.host,
            settings.readiness_address.port,
        )
        await self._status.listen(settings.host, settings.metrics_port)

    def _gauges(self) -> dict[str, float]:
        config = self._view.config
        now = self._clock.now()
        slowdowns = self._loads.slowdowns.fresh_reports(now)
        return {
            'requests_in_flight': self._request_handler.in_flight,
            'requests_waiting': self._dispatcher.waiting_count,
            'permits_waiting': self._permit_service.waiting_count,
            'config_version': 0 if config is None else config.version,
            'servers_known': len(self._view.fleet.servers),
            'reaches_no_server': int(self._loads.reachability.is_cut_off),
            'servers_limited': self._loads.rate_limits.limited_count,
            'servers_cold': len(
                self._loads.warm_ups.cold_servers(
                    self._view.fleet.servers.values(), now
                )
            ),
            'servers_with_slowdown': len(slowdowns),
            'slowdown_mean': sum(slowdowns) / (len(slowdowns) or 1),
            'servers_leaving': len(self._view.fleet.leaving),
            'servers_backing_off': self._loads.back_offs.count(now),
            'data_centres_evacuated': len(self._view.evacuations.active),
            'requests_blocked': len(self._view.crashes.history.blocked(now)),
            'instances_alive': self._view.peers.count(now),
            'term': self._view.assignment.term,
            'is_coordinating': int(self._coordinator.has_authority),
            'moves_made': self._coordinator.moves_made,
            'store_calls': self._store.calls,
            'store_silent_ms': self._store.silent_ms(),
            'store_era': self._store.era,
            'connections_opened': self._pool.opened_count,
            **self._servers.gauges,
        }

    def _apply_view_change(self) -> None:
        config = self._view.config
        if config is not None:
            self._server.limits = config.limits
        if self.is_ready != self._was_ready:
            self._was_ready = self.is_ready
            self._log.write(
                'instance', 'readiness changed', ready=self.is_ready
            )
        self._dispatcher.schedule_placement()

    async def _drain(self, requested_at: clock.Millis) -> None:
        """Drain: announce the stop, finish requests in flight, then close."""
        self._announce_stop()
        answers_due_at = graceful_shutdown.answers_due_at(
            requested_at, self._deployment.bounds.grace_ms
        )
        open_requests = self._request_handler.open_requests
        self._parts.run_step(
            'limit requests',
            functools.partial(open_requests.finish_by, answers_due_at),
        )
        phase = graceful_shutdown.ShutdownPhase.ACCEPTING
        while phase is not graceful_shutdown.ShutdownPhase.DONE:
            if phase is graceful_shutdown.ShutdownPhase.FINISHING:
                self._stop_listening()
                self._close_unused(answers_due_at)
            self._parts.run_step('heartbeat', self._exchange.send_heartbeat)
            await asyncio.sleep(clock.seconds(_DRAIN_HEARTBEAT_MS))
            phase = graceful_shutdown.shutdown_phase(
                requested_at,
                self._clock.now(),
                grace_ms=self._deployment.bounds.grace_ms,
                is_idle=self._has_sent_answers()
                and not self._request_handler.in_flight,
            )
        self._stop_listening()
        await self._send_last_answers()
        self._parts.run_step('log unanswered', self._log_unanswered)
        self._log.write(
            'instance',
            'stopped',
            in_flight=self._request_handler.in_flight,
            busy_connections=self._server.busy_count,
        )
        for server in (self._server, self._relay_server):
            server.close_connections()
        self._log.report_dropped()

    def _log_unanswered(self) -> None:
        request_log = self._request_handler.request_log
        request_log.log_unanswered()
        for server in (self._server, self._relay_server):
            request_log.log_unsent(server.unsent_answers)

    def _has_sent_answers(self) -> bool:
        return self._server.is_idle and self._relay_server.is_idle

    def _stop_listening(self) -> None:
        self._server.stop_listening()
        self._relay_server.stop_listening()

    def _close_unused(self, answers_due_at: clock.Millis) -> None:
        """Close connections on which no answer can still be due."""
        for server in (self._server, self._relay_server):
            if self._clock.now() >= answers_due_at:
                server.reject_incomplete()
            server.close_idle()

    def _announce_stop(self) -> None:
        self._log.write('instance', 'stopping', reason='SIGTERM')
        self._server.is_draining = True
        self._relay_server.is_draining = True
        self._exchange.is_leaving = True
        self._parts.run_step('resign', self._coordinator.resign)
        self._parts.run_step('heartbeat', self._exchange.send_heartbeat)

    async def _send_last_answers(self) -> None:
        """Let due answers be written if the loop was busy until now."""
        for _ in range(_LAST_ANSWERS_MS // _LAST_ANSWERS_STEP_MS):
            if self._has_sent_answers():
                return
            await asyncio.sleep(clock.seconds(_LAST_ANSWERS_STEP_MS))

    def _on_hangup(self) -> None:
        self._log.write(
            'instance',
            'settings file changed',
            effect='identity and addresses take effect after a restart',
        )

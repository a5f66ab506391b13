"""Build a routing instance from its settings and run it."""

import asyncio
import random
import secrets
import signal

import aiohttp

from sycamoreferry_core import (
    clock,
    ids,
    state,
)
from sycamoreferry_peer import client as peer_client
from sycamoreferry_ports import (
    boot_clock,
    http_forward,
    http_instance_list,
    http_orders,
    http_probe,
    wall_clock,
    wire,
)
from sycamoreferry_router import (
    admission_setup,
    coordination_loop,
    crash_guard,
    http_server,
    load_reports,
    log_follower,
    logs,
    membership_loop,
    metrics,
    peer_server,
    peer_service,
    pipeline,
    settings,
    status_report,
    supervision,
    view,
)
from sycamoreferry_router.filters import admission_gate, forward

PEER_TIMEOUT_MS = 300
LEAVE_NOTICE_MS = 500
# The last part of the shutdown, in which the last answers are sent.
SEND_MS = 500
SEND_SHARE = 0.25
ID_SUFFIX_BYTES = 4

_log = logs.part_logger('instance')


class Instance:
    """Run one routing instance until it is told to leave."""

    def __init__(
        self,
        config: settings.Settings,
        session: aiohttp.ClientSession,
        order_session: aiohttp.ClientSession,
        forwarder: http_forward.HttpForwarder,
    ) -> None:
        self._settings = config
        self._instance_id = ids.InstanceId(
            '.'.join(
                (config.instance.name, secrets.token_hex(ID_SUFFIX_BYTES))
            ),
        )
        self._data_centre = ids.DataCentre(config.instance.data_centre)
        self._clock = boot_clock.BootClock()
        self._view = view.InstanceView()
        self._metrics = metrics.Metrics()
        self._peers = peer_client.PeerClient(PEER_TIMEOUT_MS)
        self._instance_list = http_instance_list.HttpInstanceList(
            session,
            config.platform.instance_list_url,
        )
        self._log_follower = log_follower.LogFollower(
            config,
            session,
            self._instance_id,
            self._view,
            self._peers,
            self._clock,
        )
        self._loads = load_reports.LoadService(self._clock)
        self._load_loop = load_reports.LoadReporter(
            self._instance_id,
            config.services,
            self._view,
            self._loads,
            self._peers,
        )
        self._coordination_loops = {
            service.name: self._build_coordination_loop(service, order_session)
            for service in config.services
            if service.is_keyed
        }
        self._membership = self._build_membership()
        self._admissions = admission_setup.build_partitions(
            config,
            self._instance_id,
            self._view,
            self._peers,
            session,
            self._clock,
        )
        self._admission_gate = admission_gate.AdmissionGate(
            self._admissions, self._clock
        )
        self._pipeline = pipeline.Pipeline(
            pipeline.Dependencies(
                config=config,
                instance_view=self._view,
                clock=self._clock,
                forwarder=forwarder,
                origin=forward.Origin(self._instance_id, self._data_centre),
                guard=crash_guard.CrashGuard(
                    crash_guard.Dependencies(
                        instance_view=self._view,
                        publish=self._log_follower.tail.publish,
                        probe=http_probe.HttpProbe(session).probe,
                        wall_clock=wall_clock.WallClock(),
                    ),
                ),
                metrics=self._metrics,
                rng=random.Random(),
            ),
            gates=(
                self._admission_gate,
                self._load_loop.counter,
            ),
        )
        self._server = http_server.HttpServer(
            config,
            self._pipeline,
            self._view,
            self._metrics,
            self._instance_id,
            self._clock,
        )

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then drain requests and leave."""
        stop_requested = asyncio.Event()
        event_loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            event_loop.add_signal_handler(signal_number, stop_requested.set)
        event_loop.add_signal_handler(signal.SIGHUP, _log_hangup)
        served_peers = peer_server.PeerServer(
            [
                peer_service.PeerService(
                    self._instance_id,
                    self._view,
                    self._coordination_loops,
                    self._log_follower.relay,
                    self._build_reporter(),
                ),
                self._loads,
                admission_setup.build_service(
                    self._instance_id, self._admissions
                ),
            ],
            self._settings.bounds,
            self._metrics,
            self._clock,
        )
        listen = self._settings.listen
        await served_peers.start(str(listen.host), listen.peer_port)
        request_server = await self._server.start(
            str(listen.host),
            listen.request_port,
            is_only_app=True,
        )
        _log.info(
            '{} listens on port {}', self._instance_id, listen.request_port
        )
        tasks = [
            event_loop.create_task(supervision.run_restarting(work))
            for work in self._background_work()
        ]
        await stop_requested.wait()
        await self._leave()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await request_server.close()  # type: ignore[no-untyped-call]
        served_peers.close()
        self._peers.close()

    def _build_reporter(self) -> status_report.StatusReporter:
        return status_report.StatusReporter(
            instance=self._instance_id,
            data_centre=self._data_centre,
            instance_view=self._view,
            loops=self._coordination_loops,
            server=self._server,
            clock=self._clock,
        )

    def _background_work(self) -> list[supervision.Work]:
        return [
            *self._log_follower.parts(),
            self._load_loop.run,
            self._follow_instance_list,
            self._membership.run,
            self._admissions.run,
            *(loop.run for loop in self._coordination_loops.values()),
        ]

    def _build_membership(self) -> membership_loop.MembershipLoop:
        listen = self._settings.listen
        return membership_loop.MembershipLoop(
            state.InstanceState(
                instance=self._instance_id,
                data_centre=self._data_centre,
                peer_host=str(listen.host),
                peer_port=listen.peer_port,
                request_port=listen.request_port,
            ),
            self._view,
            self._log_follower.tail,
            self._peers,
            tuple(self._coordination_loops.values()),
            self._clock,
        )

    def _build_coordination_loop(
        self,
        service: settings.Service,
        session: aiohttp.ClientSession,
    ) -> coordination_loop.CoordinationLoop:
        sender = http_orders.SenderIdentity(
            service=service.service_name,
            instance=self._instance_id,
            data_centre=self._data_centre,
        )
        return coordination_loop.CoordinationLoop(
            service,
            http_orders.HttpOrderClient(session, sender),
            self._instance_id,
            coordination_loop.Dependencies(
                instance_view=self._view,
                tail=self._log_follower.tail,
                peers=self._peers,
                clock=self._clock,
                wall_clock=wall_clock.WallClock(),
                loads=self._loads,
                metrics=self._metrics,
            ),
        )

    async def _follow_instance_list(self) -> None:
        interval = clock.seconds(self._settings.platform.list_interval_ms)
        unusable: tuple[str, ...] = ()
        while True:
            listed = await self._instance_list.read()
            if listed is not None:
                self._apply_instance_list(listed)
            if self._instance_list.unusable != unusable:
                unusable = self._instance_list.unusable
                _log.warning(
                    '{} entries of the instance list cannot be used; first: {}',
                    len(unusable),
                    unusable[:1],
                )
            await asyncio.sleep(interval)

    def _apply_instance_list(
        self, listed: tuple[wire.ListedServer, ...]
    ) -> None:
        self._view.replace_servers(listed)

    async def _leave(self) -> None:
        _log.info('leaving; {} requests in flight', self._server.in_flight)
        shutdown_ms = self._settings.shutdown_ms
        deadline = clock.later(self._clock.now(), shutdown_ms)
        send_ms = min(SEND_MS, int(shutdown_ms * SEND_SHARE))
        self._pipeline.start_draining(clock.later(deadline, -send_ms))
        await asyncio.sleep(clock.seconds(LEAVE_NOTICE_MS))
        await self._server.wait_until_idle(deadline)
        await self._admission_gate.drain()
        await self._admissions.drain()
        await self._membership.leave()


def _log_hangup() -> None:
    _log.info('got SIGHUP; settings take effect after a restart')


async def run_instance(config: settings.Settings) -> None:
    """Run an instance with its own HTTP sessions until it has left."""
    connector = aiohttp.TCPConnector(limit=0)
    async with (
        aiohttp.ClientSession(
            connector=connector,
            auto_decompress=False,
        ) as session,
        http_orders.open_session() as order_session,
        http_forward.open_forwarder(
            config.bounds.whole_answer_bytes,
        ) as forwarder,
    ):
        await Instance(config, session, order_session, forwarder).run()

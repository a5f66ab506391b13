"""Build a routing instance from its settings and run it."""

import asyncio
import random
import secrets
import signal
import typing

import aiohttp
from grpclib import server as grpc_server

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
    admission_service,
    admission_setup,
    coordination_loop,
    crash_guard,
    http_server,
    load_reports,
    log_following,
    logs,
    membership_loop,
    metrics,
    peer_service,
    pipeline,
    settings,
    status_report,
    view,
)
from sycamoreferry_router.filters import admission_gate, forward

PEER_TIMEOUT_MS = 300
LEAVE_NOTICE_MS = 500
EPOCH_BYTES = 4

_log = logs.part_logger('instance')


class Instance:
    """Run one routing instance until it is told to leave."""

    def __init__(
        self,
        chosen: settings.Settings,
        session: aiohttp.ClientSession,
        forwarder: http_forward.HttpForwarder,
    ) -> None:
        self._settings = chosen
        self._me = ids.InstanceId(
            '.'.join((chosen.instance.name, secrets.token_hex(EPOCH_BYTES))),
        )
        self._data_centre = ids.DataCentre(chosen.instance.data_centre)
        self._clock = boot_clock.BootClock()
        self._view = view.InstanceView()
        self._metrics = metrics.Metrics()
        self._peers = peer_client.PeerClients(PEER_TIMEOUT_MS)
        self._list = http_instance_list.HttpInstanceList(
            session,
            chosen.platform.instance_list_url,
        )
        self._following = log_following.LogFollowing(
            chosen,
            session,
            self._me,
            self._view,
            self._peers,
            self._clock,
        )
        self._loads = load_reports.LoadService(self._clock)
        self._load_loop = load_reports.LoadLoop(
            self._me,
            chosen.services,
            self._view,
            self._loads,
            self._peers,
        )
        self._loops = {
            service.name: self._coordination(service, session)
            for service in chosen.services
            if service.is_keyed
        }
        self._membership = self._build_membership()
        self._admissions = admission_setup.build_ring(
            chosen,
            self._me,
            self._view,
            self._peers,
            session,
            self._clock,
        )
        self._pipeline = pipeline.Pipeline(
            pipeline.Parts(
                chosen=chosen,
                seen=self._view,
                clock=self._clock,
                forwarder=forwarder,
                origin=forward.Origin(self._me, self._data_centre),
                guard=crash_guard.CrashGuard(
                    crash_guard.Parts(
                        seen=self._view,
                        publish=self._following.tail.publish,
                        probe=http_probe.HttpProbe(session).probe,
                        wall_clock=wall_clock.WallClock(),
                    ),
                ),
                metrics=self._metrics,
                chance=random.Random(),
            ),
            gates=(
                admission_gate.AdmissionGate(self._admissions, self._clock),
                self._load_loop.counter,
            ),
        )
        self._server = http_server.HttpServer(
            chosen,
            self._pipeline,
            self._view,
            self._metrics,
            self._me,
            self._clock,
        )

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then leave without cutting off."""
        leave = asyncio.Event()
        running = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            running.add_signal_handler(number, leave.set)
        peers = grpc_server.Server(
            [
                peer_service.PeerService(
                    self._me,
                    self._view,
                    self._loops,
                    self._following.relay,
                    self._reporter(),
                ),
                self._loads,
                admission_service.AdmissionService(
                    self._me,
                    self._admissions.loops,
                ),
            ]
        )
        listen = self._settings.listen
        await peers.start(str(listen.host), listen.peer_port)
        server = await self._server.start(
            str(listen.host),
            listen.request_port,
            is_only_app=True,
        )
        _log.info('{} listens on port {}', self._me, listen.request_port)
        tasks = [running.create_task(work) for work in self._background()]
        await leave.wait()
        await self._leave()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await server.close()  # type: ignore[no-untyped-call]
        peers.close()
        self._peers.close()

    def _reporter(self) -> status_report.StatusReporter:
        return status_report.StatusReporter(
            instance=self._me,
            data_centre=self._data_centre,
            seen=self._view,
            loops=self._loops,
            server=self._server,
            clock=self._clock,
        )

    def _background(
        self,
    ) -> list[typing.Coroutine[typing.Any, typing.Any, None]]:
        return [
            *self._following.background(),
            self._load_loop.run(),
            self._follow_instance_list(),
            self._membership.run(),
            self._admissions.run(),
            *(loop.run() for loop in self._loops.values()),
        ]

    def _build_membership(self) -> membership_loop.MembershipLoop:
        listen = self._settings.listen
        return membership_loop.MembershipLoop(
            state.InstanceState(
                instance=self._me,
                data_centre=self._data_centre,
                peer_host=str(listen.host),
                peer_port=listen.peer_port,
                request_port=listen.request_port,
            ),
            self._view,
            self._following.tail,
            self._peers,
            tuple(self._loops.values()),
            self._clock,
        )

    def _coordination(
        self,
        service: settings.Service,
        session: aiohttp.ClientSession,
    ) -> coordination_loop.CoordinationLoop:
        sender = http_orders.Sender(
            service=service.service_name,
            instance=self._me,
            data_centre=self._data_centre,
        )
        return coordination_loop.CoordinationLoop(
            service,
            http_orders.HttpOrders(session, sender),
            self._me,
            coordination_loop.Parts(
                seen=self._view,
                tail=self._following.tail,
                peers=self._peers,
                clock=self._clock,
                wall_clock=wall_clock.WallClock(),
                loads=self._loads,
                metrics=self._metrics,
            ),
        )

    async def _follow_instance_list(self) -> None:
        interval = clock.seconds(self._settings.platform.list_interval_ms)
        while True:
            listed = await self._list.read()
            if listed is not None:
                self._take_list(listed)
            await asyncio.sleep(interval)

    def _take_list(self, listed: tuple[wire.ListedServer, ...]) -> None:
        self._view.replace_servers(listed)

    async def _leave(self) -> None:
        _log.info('leaving; {} requests in flight', self._server.in_flight)
        self._pipeline.start_leaving()
        deadline = clock.later(
            self._clock.now(),
            self._settings.shutdown_ms,
        )
        await asyncio.sleep(clock.seconds(LEAVE_NOTICE_MS))
        await self._server.wait_until_idle(deadline)
        await self._admissions.drain()
        await self._membership.leave()


async def run_instance(chosen: settings.Settings) -> None:
    """Run an instance with sessions of its own."""
    connector = aiohttp.TCPConnector(limit=0)
    async with (
        aiohttp.ClientSession(
            connector=connector,
            auto_decompress=False,
        ) as session,
        http_forward.open_forwarder(
            chosen.bounds.whole_answer_bytes,
        ) as forwarder,
    ):
        await Instance(chosen, session, forwarder).run()

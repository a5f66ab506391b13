"""Build a routing instance from its settings and run it."""

import asyncio
import random
import secrets
import signal
import typing

import aiohttp
from grpclib import server as grpc_server

from sycamoreferry_core import (
    admission_state,
    clock,
    ids,
    records,
    snapshots,
)
from sycamoreferry_peer import admission_client
from sycamoreferry_peer import client as peer_client
from sycamoreferry_platform import (
    boot_clock,
    http_forward,
    http_instance_list,
    http_log,
    http_orders,
    wire,
)
from sycamoreferry_router import (
    admission_ring,
    admission_service,
    coordination_loop,
    http_server,
    logs,
    metrics,
    partition_io,
    partition_loop,
    peer_service,
    pipeline,
    relay,
    settings,
    snapshot_loop,
    status_report,
    tail,
    view,
)
from sycamoreferry_router.filters import admission_gate, forward

PEER_TIMEOUT_MS = 300
ADMISSION_TIMEOUT_MS = 1000
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
        self._relay = relay.Relay(
            self._view,
            self._peers,
            _seeds(chosen),
            random.Random(),
        )
        self._tail = tail.Tail(
            http_log.HttpLog(
                session,
                chosen.platform.log_url,
                chosen.platform.stream,
            ),
            self._view,
            self._relay,
            chosen.platform.tail_wait_ms,
        )
        self._snapshots = snapshot_loop.SnapshotLoop(
            self._me,
            self._view,
            self._tail,
            self._clock,
            snapshots.SnapshotPolicy(
                records=chosen.platform.snapshot_records,
                interval_ms=chosen.platform.snapshot_interval_ms,
                patience_ms=chosen.platform.snapshot_patience_ms,
            ),
        )
        self._loops = {
            service.name: self._coordination(service, session)
            for service in chosen.services
            if service.is_keyed
        }
        admissions = self._admission_parts()
        self._partitions = [
            self._partition(number, session, admissions)
            for number in range(chosen.admission.partitions)
        ]
        self._admissions = admission_ring.AdmissionRing(
            self._partitions,
            admissions,
        )
        self._pipeline = pipeline.Pipeline(
            pipeline.Parts(
                chosen=chosen,
                seen=self._view,
                clock=self._clock,
                forwarder=forwarder,
                origin=forward.Origin(self._me, self._data_centre),
                metrics=self._metrics,
                chance=random.Random(),
            ),
            gates=(
                admission_gate.AdmissionGate(self._admissions, self._clock),
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
                    self._relay,
                    self._reporter(),
                ),
                admission_service.AdmissionService(
                    self._me,
                    self._partitions,
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
            self._tail.run(),
            self._tail.run_relay(),
            self._snapshots.run(),
            self._follow_instance_list(),
            self._join(),
            self._admissions.run(),
            *(loop.run() for loop in self._loops.values()),
        ]

    def _admission_parts(self) -> partition_io.Parts:
        chosen = self._settings.admission
        return partition_io.Parts(
            me=self._me,
            seen=self._view,
            clients=admission_client.AdmissionClients(
                self._peers,
                ADMISSION_TIMEOUT_MS,
                PEER_TIMEOUT_MS,
            ),
            clock=self._clock,
            timing=admission_state.Timing(
                window_ms=chosen.window_ms,
                limit_without_log_ms=chosen.limit_without_log_ms,
                detection_ms=chosen.detection_ms,
                batch_ms=chosen.batch_ms,
            ),
            read_wait_ms=self._settings.platform.tail_wait_ms,
        )

    def _partition(
        self,
        number: int,
        session: aiohttp.ClientSession,
        parts: partition_io.Parts,
    ) -> partition_loop.PartitionLoop:
        platform = self._settings.platform
        stream = http_log.HttpLog(
            session,
            platform.log_url,
            f'{platform.stream}-admission-{number}',
        )
        return partition_loop.PartitionLoop(number, stream, parts)

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
                tail=self._tail,
                peers=self._peers,
                clock=self._clock,
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

    async def _join(self) -> None:
        listen = self._settings.listen
        joined = records.InstanceJoined(
            record_id=tail.new_record_id('join'),
            instance=self._me,
            data_centre=self._data_centre,
            peer_host=str(listen.host),
            peer_port=listen.peer_port,
            request_port=listen.request_port,
        )
        while await self._tail.publish(joined) is None:
            _log.warning('the log took no join record; trying again')
        _log.info('{} joined', self._me)

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
        await self._tail.publish(
            records.InstanceLeft(
                record_id=tail.new_record_id('leave'),
                instance=self._me,
            ),
        )


def _seeds(
    chosen: settings.Settings,
) -> tuple[peer_client.PeerAddress, ...]:
    return tuple(
        peer_client.PeerAddress(str(peer.host), peer.port)
        for peer in chosen.peers
    )


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

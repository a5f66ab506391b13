"""Report request counts per shard to the coordinators."""

import asyncio
import typing

from grpclib import server as grpc_server

from sycamoreferry_core import clock, ids, shard_loads
from sycamoreferry_peer import client as peer_client
from sycamoreferry_peer.generated import load_grpc, load_pb2
from sycamoreferry_router import load_counter, rpc_messages, settings, view

REPORT_INTERVAL_MS = 5000
# The interval grows with the number of instances, so that the rate of reports
# at a coordinator stays bounded.
INSTANCES_PER_INTERVAL = 100
AGGREGATION_INTERVAL_MS = 1000

_AggregatedLoads = tuple[clock.Millis, shard_loads.ShardLoads]
_NEVER_AGGREGATED: _AggregatedLoads = (clock.LONG_AGO, shard_loads.ShardLoads())


class LoadService(load_grpc.LoadBase):  # type: ignore[misc]
    """Receive and aggregate the load reports of instances."""

    def __init__(self, time_source: clock.Clock) -> None:
        self._clock = time_source
        self._books: dict[ids.ServiceName, shard_loads.LoadTable] = {}
        self._aggregated: dict[ids.ServiceName, _AggregatedLoads] = {}

    async def Report(
        self,
        stream: grpc_server.Stream[load_pb2.LoadReport, load_pb2.LoadReply],
    ) -> None:
        """Handle the gRPC call that delivers a report."""
        request = rpc_messages.require_message(await stream.recv_message())
        self.record_report(
            ids.ServiceName(request.service),
            ids.InstanceId(request.instance),
            shard_loads.LoadReport(
                interval_ms=max(1, request.interval_ms),
                busiest={
                    ids.ShardId(counted.shard): counted.requests
                    for counted in request.busiest[
                        : load_counter.MAX_REPORTED_SHARDS
                    ]
                },
                rest=request.rest,
            ),
        )
        await stream.send_message(load_pb2.LoadReply())

    def record_report(
        self,
        service: ids.ServiceName,
        instance: ids.InstanceId,
        report: shard_loads.LoadReport,
    ) -> None:
        """Record the report of one instance."""
        book = self._books.get(service, shard_loads.LoadTable())
        self._books[service] = book.with_report(
            instance, report, self._clock.now()
        )

    def loads_of(
        self,
        service: ids.ServiceName,
        shard_count: int,
    ) -> shard_loads.ShardLoads:
        """Return the load of every shard, summed over the reports."""
        now = self._clock.now()
        aggregated_at, aggregated = self._aggregated.get(
            service, _NEVER_AGGREGATED
        )
        if now >= clock.later(aggregated_at, AGGREGATION_INTERVAL_MS):
            book = self._books.get(service, shard_loads.LoadTable())
            aggregated = book.total_loads(shard_count, now)
            self._aggregated[service] = (now, aggregated)
        return aggregated


class LoadReporter:
    """Send load reports to the coordinator of each keyed service."""

    def __init__(
        self,
        me: ids.InstanceId,
        services: typing.Iterable[settings.Service],
        instance_view: view.InstanceView,
        load_service: LoadService,
        peers: peer_client.PeerClient,
    ) -> None:
        self._me = me
        self._services = tuple(
            service for service in services if service.is_keyed
        )
        self.counter = load_counter.LoadCounter()
        self._view = instance_view
        self._load_service = load_service
        self._peers = peers

    async def run(self) -> None:
        """Send a report at every interval until cancelled."""
        while True:
            interval_ms = self._interval_ms()
            await asyncio.sleep(clock.seconds(interval_ms))
            for service in self._services:
                name = service.service_name
                report = self.counter.take_report(name, interval_ms)
                await self._report(name, report)

    def _interval_ms(self) -> int:
        joined = len(self._view.log_state.instances)
        return REPORT_INTERVAL_MS * (1 + joined // INSTANCES_PER_INTERVAL)

    async def _report(
        self,
        service: ids.ServiceName,
        report: shard_loads.LoadReport,
    ) -> None:
        log_state = self._view.log_state
        coordinator = log_state.term_of(service).coordinator
        if coordinator == self._me:
            self._load_service.record_report(service, self._me, report)
            return
        found = log_state.instances.get(coordinator)
        if found is None:
            return
        await self._peers.report_load(
            peer_client.PeerAddress(found.peer_host, found.peer_port),
            _to_message(self._me, service, report),
        )


def _to_message(
    me: ids.InstanceId,
    service: ids.ServiceName,
    report: shard_loads.LoadReport,
) -> load_pb2.LoadReport:
    return load_pb2.LoadReport(
        instance=me,
        service=service,
        interval_ms=report.interval_ms,
        busiest=[
            load_pb2.ShardCount(shard=shard, requests=requests)
            for shard, requests in report.busiest.items()
        ],
        rest=report.rest,
    )

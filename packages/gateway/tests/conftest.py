"""Provide stand-ins for the platform's store and for backend servers."""

import asyncio
import base64
import collections
import contextlib
import dataclasses
import json
import os
import pathlib
import signal
import struct
import subprocess
import sys
import typing
from urllib import parse as url_parse

import pytest

from gateway_testing import crash_play
from sycamoreferry_core import http_messages, ids
from sycamoreferry_core.fleet import deployment
from sycamoreferry_gateway import (
    caller_messages,
    event_log,
    http_client,
    http_server,
    instance,
)
from sycamoreferry_ports import boot_clock
from sycamoreferry_standins import web

Headers = tuple[tuple[str, str], ...]
LAST_KEY = 65_535
# The platform's LossSlack.
LOSS_SLACK_S = 0.2
# A request may stay unanswered this long after its deadline.
LATE_MS = 500
# These tell a caller that its request has not run and never will.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))


def _answer(
    status: int,
    body: object = None,
    headers: Headers = (),
) -> caller_messages.CallerAnswer:
    content = body if isinstance(body, bytes) else json.dumps(body).encode()
    return caller_messages.CallerAnswer(status, headers, content)


class LoopbackServer:
    """Serve HTTP on a free loopback port."""

    def __init__(self) -> None:
        self.clock = boot_clock.BootClock()
        self._server = http_server.HttpServer(self.handle, self.clock)
        self.port = 0

    async def start(self) -> None:
        await self._server.listen('127.0.0.1', self.port)
        listener = self._server._listener
        assert listener is not None
        self.port = listener.sockets[0].getsockname()[1]

    def stop(self) -> None:
        self._server.stop_listening()
        self._server.close_connections()

    async def handle(
        self,
        request: caller_messages.CallerRequest,
    ) -> caller_messages.CallerAnswer:
        raise NotImplementedError


class StoreStandIn(LoopbackServer):
    """Store keyed topics; can fail, lose replies or return to an older copy."""

    def __init__(self) -> None:
        super().__init__()
        self.topics: dict[str, list[tuple[str, bytes]]] = {}
        # When each record of a topic was written.
        self.written_at: dict[str, list[int]] = {}
        # Grants of all servers, and those whose fence was not above the one
        # with which another server had a key.
        self.grants: set[AcceptedGrant] = set()
        self.low_fences: list[tuple[AcceptedGrant, AcceptedGrant]] = []
        # Rises by one each time the store returns to an older copy.
        self.era = 1
        self.is_down = False
        self.rejects_appends = False
        self.append_replies_to_lose = 0
        self.append_count = 0
        self._record_added = asyncio.Event()

    def put(self, topic: str, key: str, content: bytes) -> int:
        rows = self.topics.setdefault(topic, [])
        rows.append((key, content))
        self.written_at.setdefault(topic, []).append(self.clock.now())
        self._record_added.set()
        self._record_added = asyncio.Event()
        return len(rows) - 1

    async def restore(
        self,
        copy_age_ms: int,
        outage_s: float = 0,
        rewrite_delay_s: float = 0,
    ) -> None:
        """Fail for a time, then return to a copy of some age.

        What the operator and the servers wrote since is written again.
        """
        self.is_down = True
        await asyncio.sleep(outage_s)
        lost = self.return_to_copy(self.clock.now() - copy_age_ms)
        self.is_down = False
        await asyncio.sleep(rewrite_delay_s)
        for topic, key, content in lost:
            if topic in {'keyed.op', 'keyed.servers'}:
                self.put(topic, key, content)

    def record_grant(self, grant: 'AcceptedGrant') -> None:
        """Record a grant that a server accepted, and compare its fence."""
        if grant in self.grants:
            return
        self.low_fences.extend(
            (grant, known)
            for known in self.grants
            if known.server != grant.server
            and known.fence >= grant.fence
            and known.overlaps(grant)
        )
        self.grants.add(grant)

    def return_to_copy(self, taken_at: int) -> list[tuple[str, str, bytes]]:
        """Return to a copy and return the records that it lacks."""
        lost = []
        for topic, rows in self.topics.items():
            times = self.written_at[topic]
            while times and times[-1] > taken_at:
                times.pop()
                lost.append((topic, *rows.pop()))
        lost.reverse()
        self.era += 1
        return lost

    async def handle(
        self,
        request: caller_messages.CallerRequest,
    ) -> caller_messages.CallerAnswer:
        answer = await self._answer(request)
        headers = (*answer.headers, ('Store-Era', str(self.era)))
        return dataclasses.replace(answer, headers=headers)

    async def _answer(
        self,
        request: caller_messages.CallerRequest,
    ) -> caller_messages.CallerAnswer:
        if self.is_down:
            return _answer(503)
        query = dict(url_parse.parse_qsl(request.target.partition('?')[2]))
        topic = self.topics.setdefault(query['Topic'], [])
        self.written_at.setdefault(query['Topic'], [])
        if request.path == '/log-newest':
            return self._newest(topic)
        if request.path == '/log-read':
            return await self._read(query)
        self.append_count += 1
        if self.rejects_appends:
            return _answer(503)
        return await self._append(query, request.body)

    def _newest(
        self,
        topic: list[tuple[str, bytes]],
    ) -> caller_messages.CallerAnswer:
        newest = {key: offset for offset, (key, _) in enumerate(topic)}
        items = [
            {
                'Key': key,
                'Offset': offset,
                'Value': base64.b64encode(topic[offset][1]).decode(),
            }
            for key, offset in newest.items()
            if topic[offset][1]
        ]
        return _answer(
            200,
            {'items': items, 'HasMore': False, 'EndOffset': len(topic)},
        )

    async def _read(
        self,
        query: dict[str, str],
    ) -> caller_messages.CallerAnswer:
        topic = self.topics[query['Topic']]
        start = int(query['From'])
        wait_ms = int(query.get('WaitMs', 0))
        if start > len(topic):
            return _answer(410, {'FirstOffset': 0})
        if start >= len(topic) and wait_ms:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait_ms / 1_000):
                    while start >= len(topic):
                        await self._record_added.wait()
        parts = [struct.pack('>QQ', len(topic), 0)]
        for key, content in topic[start:]:
            record = bytes([len(key)]) + key.encode() + content
            parts.extend((struct.pack('>I', len(record)), record))
        return _answer(200, b''.join(parts))

    async def _append(
        self,
        query: dict[str, str],
        body: bytes,
    ) -> caller_messages.CallerAnswer:
        topic = self.topics[query['Topic']]
        if 'At' in query and int(query['At']) != len(topic):
            return _answer(412, {'EndOffset': len(topic)})
        offset = len(topic)
        for key, content in _split_records(body):
            self.put(query['Topic'], key, content)
        if self.append_replies_to_lose:
            self.append_replies_to_lose -= 1
            await asyncio.sleep(30)
        return _answer(200, {'Offset': offset, 'EndOffset': len(topic)})


def _split_records(body: bytes) -> typing.Iterator[tuple[str, bytes]]:
    position = 0
    while position < len(body):
        (length,) = struct.unpack_from('>I', body, position)
        start = position + 4
        position = start + length
        content = start + 1 + body[start]
        yield body[start + 1 : content].decode(), body[content:position]


@dataclasses.dataclass
class HeldGrant:
    """Hold a grant that a server accepted."""

    first: int
    last: int
    fence: int
    expires_at_ms: float


@dataclasses.dataclass(frozen=True)
class AcceptedGrant:
    """Record that a server accepted a grant."""

    server: str
    first: int
    last: int
    fence: int

    def overlaps(self, other: 'AcceptedGrant') -> bool:
        return self.first <= other.last and other.first <= self.last


class ServerStandIn(LoopbackServer):
    """Accept grants of keys and run requests for keys that it holds."""

    def __init__(self, name: str, store: StoreStandIn) -> None:
        super().__init__()
        self.name = name
        self.born = 1
        self.ran: list[tuple[str, int]] = []
        self.arrived_at: list[int] = []
        # The request IDs and times of arrival, and of those turned away.
        self.arrived: list[tuple[str, int]] = []
        self.turned_away: list[tuple[str, int]] = []
        # Turns requests away and asks for this back-off in s; '' for none.
        self.retry_after = ''
        # The status of the answers to requests that it has run.
        self.status = 200
        # The body of these answers; empty for the name of the server.
        self.answer_body = b''
        # Statuses and headers with which it turns the next requests away.
        self.rejections: list[tuple[int, Headers]] = []
        # The value of the rate limit header of its answers; '' for none.
        self.rate_limit = ''
        # The value of the load header of its answers; '' for none.
        self.load = ''
        # The value of the leaving header of its answers; '' for none.
        self.leaving = ''
        self.granted: list[HeldGrant] = []
        # The grants that this life of the server accepted.
        self.accepted: set[AcceptedGrant] = set()
        self.is_keyed = True
        self.drops = 0
        self.sequence = 0
        self.grant_replies_to_lose = 0
        self.grant_delay_s = 0.0
        # The only range whose grants are delayed; None for all.
        self.delayed_range: tuple[int, int] | None = None
        self.delayed_grants = 0
        self.processing_time_s = 0.0
        self.running = 0
        # The keys of the requests that run.
        self.running_keys: list[int] = []
        self.peak_running = 0
        self.slots = 2
        # Until when its entries tell that it is cold.
        self.cold_until = 0
        self.data_centre = 'here'
        # The port that the server registers, such as a proxy's; 0 for its own.
        self.public_port = 0
        self._store = store

    def register(self, state: str = 'ready') -> None:
        self.sequence += 1
        entry = {
            'Service': 'keys',
            'Address': f'127.0.0.1:{self.public_port or self.port}',
            'Zone': self.data_centre,
            'Version': 'v1',
            'Slots': self.slots,
            'State': state,
            'WarmupLeft': f'{max(0, self.cold_until - self.clock.now())}ms',
            'Seq': self.sequence,
            'born': self.born,
        }
        self._store.put('keyed.servers', self.name, json.dumps(entry).encode())

    def restart(self) -> None:
        self.born += 1
        self.granted.clear()
        self.accepted.clear()
        self.leaving = ''
        self.register()

    def holds(self, key: int) -> bool:
        now = self.clock.now()
        return any(
            row.first <= key <= row.last and row.expires_at_ms > now
            for row in self.granted
        )

    async def handle(
        self,
        request: caller_messages.CallerRequest,
    ) -> caller_messages.CallerAnswer:
        if request.path == '/grant':
            if request.header('expect-instance') not in {None, self.name}:
                return _answer(421, headers=(('Not-Executed', '1'),))
            return await self._grant(json.loads(request.body))
        if request.path == '/release':
            return await self._end_work(json.loads(request.body))
        self.arrived_at.append(self.clock.now())
        answer = await self._run(request)
        stated = (
            ('Server-Limit', self.rate_limit),
            ('Server-Load', self.load),
            ('Server-Leaving', self.leaving),
        )
        headers = tuple(row for row in stated if row[1])
        request_id = request.header('request-id')
        if request_id is not None:
            # Servers name the request in each answer.
            headers = (*headers, ('Request-Id', request_id))
        return dataclasses.replace(answer, headers=(*answer.headers, *headers))

    async def _grant(
        self,
        order: dict[str, typing.Any],
    ) -> caller_messages.CallerAnswer:
        first, last = order['From'], order['To']
        fence = order['fence']
        accepted = AcceptedGrant(self.name, first, last, fence)
        if any(
            known.fence > fence and known.overlaps(accepted)
            for known in self.accepted
        ):
            return _answer(409)
        self._store.record_grant(accepted)
        self.accepted.add(accepted)
        self._release({'From': first, 'To': last})
        hold_ms = int(order['Hold'].removesuffix('ms'))
        expires_at_ms = self.clock.now() + hold_ms
        self.granted.append(HeldGrant(first, last, fence, expires_at_ms))
        if self.grant_replies_to_lose:
            self.grant_replies_to_lose -= 1
            await asyncio.sleep(30)
        if self.grant_delay_s and self.delayed_range in {None, (first, last)}:
            self.delayed_grants += 1
            await asyncio.sleep(self.grant_delay_s)
        return _answer(200)

    async def _end_work(
        self, order: dict[str, int]
    ) -> caller_messages.CallerAnswer:
        """Release keys; answer once the requests in progress have ended."""
        answer = self._release(order)
        keys = range(order['From'], order['To'] + 1)
        while any(key in keys for key in self.running_keys):  # noqa: ASYNC110
            await asyncio.sleep(0.005)
        return answer

    def _release(self, order: dict[str, int]) -> caller_messages.CallerAnswer:
        kept = []
        for row in self.granted:
            if row.first < order['From']:
                last = min(row.last, order['From'] - 1)
                kept.append(dataclasses.replace(row, last=last))
            if row.last > order['To']:
                first = max(row.first, order['To'] + 1)
                kept.append(dataclasses.replace(row, first=first))
        self.granted = kept
        return _answer(200, headers=(('Handover', f'from-{self.name}'),))

    async def _run(
        self,
        request: caller_messages.CallerRequest,
    ) -> caller_messages.CallerAnswer:
        request_id = request.header('request-id') or ''
        key = int(request.header('shard-key') or -1)
        if request.header('expect-instance') != self.name:
            return _answer(421)
        if self.is_keyed and not self.holds(key):
            return _answer(421, headers=(('Not-Executed', '1'),))
        self.arrived.append((request_id, self.clock.now()))
        if self.rejections:
            status, headers = self.rejections.pop(0)
            return _answer(status, headers=headers)
        if self.retry_after:
            self.turned_away.append((request_id, self.clock.now()))
            asked = ('Retry-After', self.retry_after)
            return _answer(503, headers=(('Not-Executed', '1'), asked))
        self.ran.append((request_id, key))
        self.running += 1
        self.running_keys.append(key)
        self.peak_running = max(self.peak_running, self.running)
        try:
            await asyncio.sleep(self.processing_time_s)
        finally:
            self.running -= 1
            self.running_keys.remove(key)
        if self.drops:
            self.drops -= 1
            self.stop()
        return _answer(
            self.status,
            self.answer_body or self.name.encode(),
            (('Response-Seal', 'seal'),),
        )


def configuration(
    version: int,
    kind: str = 'safe',
    timeout_ms: int = 1_500,
    objective_ms: int = 500,
    *,
    is_keyed: bool = True,
) -> bytes:
    """Encode an operator's configuration with one route."""
    path = {
        'Name': 'r',
        'PathPrefix': '/k/',
        'Kind': kind,
        'Timeout': f'{timeout_ms}ms',
        'Slo': f'{objective_ms}ms',
        'Priority': 1,
        'Service': 'keys',
        'MaxAttempts': 2,
    }
    return json.dumps(
        {
            'Version': f'r{version}',
            'Services': [
                {'Name': 'keys', 'MaxConns': 100, 'Sharded': is_keyed}
            ],
            'Limits': {
                'MaxHeaderBytes': 16_384,
                'MaxBodyBytes': 1_000_000,
                'HeaderTimeout': '3000ms',
                'IdleTimeout': '15s',
            },
            'VirtualHosts': [{'Host': 'h', 'Paths': [path]}],
        },
    ).encode()


_SETTINGS = """\
Self.Node={deployment.instance}
Self.Zone=here
Self.Ip={deployment.host}
Self.Limits.CpuShare=1
Self.Limits.Cores=1
Self.Limits.MaxFds=1000
Self.Limits.LinkMbps=100
Network.Listen.Front={deployment.request_address}
Network.Listen.ReadinessAddr={deployment.readiness_address}
Network.InternalPortRange={deployment.peer_port},{deployment.peer_port}
Platform.Heartbeat=870ms
Platform.Platform.Address=127.0.0.1:{store_port}
Terms.Bounds.Drain=2000ms
Terms.Bounds.Grace=3s
Terms.Bounds.RetryBudgetRatio=0.2
Terms.Bounds.BudgetWindow=10s
Terms.Bounds.RetryBudgetExtra=58
Terms.Bounds.HoldMax=10000ms
"""
_STARTED_BEFORE = 'Self.Bootstrap=false\n'


# Toggles on SIGUSR1 whether the ports in FERRY_TEST_CUT_PORTS are reachable.
_WITH_PARTITIONS = """
import asyncio
import os
import signal

from sycamoreferry_gateway import __main__, http_client

ports = [int(port) for port in os.environ['FERRY_TEST_CUT_PORTS'].split(',')]
is_cut = False


def toggle(*_):
    global is_cut
    is_cut = not is_cut


async def open_connection(pool, address, timeout_ms):
    if is_cut and address.port in ports:
        limit_ms = min(timeout_ms, http_client.CONNECT_TIMEOUT_MS)
        await asyncio.sleep(limit_ms / 1_000)
        return http_client.FailedExchange(
            http_client.ExchangeFailure.CONNECT, was_sent=False
        )
    return await opened(pool, address, timeout_ms)


def take_idle(pool, address, identity):
    connection = taken(pool, address, identity)
    if connection is not None and is_cut and address.port in ports:
        connection.exchange = hang
    return connection


async def hang(*_):
    await asyncio.Event().wait()


opened = http_client.ConnectionPool._open
taken = http_client.ConnectionPool._take_idle
http_client.ConnectionPool._open = open_connection
http_client.ConnectionPool._take_idle = take_idle
signal.signal(signal.SIGUSR1, toggle)
__main__.run()
"""

# Names the process in each request that it sends, and hears no peer from one
# SIGUSR2 to the next.
_WITH_SENDER = """
import os
import signal

from sycamoreferry_gateway import __main__, http_client, peer_socket

is_cut = False


def toggle(*_):
    global is_cut
    is_cut = not is_cut


def unless_cut(method):
    return lambda *args: None if is_cut else method(*args)


peers = peer_socket.PeerSocket
peers.send_all = unless_cut(peers.send_all)
peers.datagram_received = unless_cut(peers.datagram_received)
signal.signal(signal.SIGUSR2, toggle)
sender = (('Sent-By', f"{os.environ['FERRY_TEST_NAME']}/{os.getpid()}"),)
encode = http_client.encode_parts
http_client.encode_parts = lambda method, target, headers, body: encode(
    method, target, (*headers, *sender), body
)
__main__.run()
"""

# Makes few instances ask for permits as many would.
_WITH_PERMITS = """
from sycamoreferry_core.fleet import message_intervals
from sycamoreferry_gateway import __main__
message_intervals._MAX_MESH_PEERS = -1
__main__.run()
"""


@dataclasses.dataclass
class InstanceProcess:
    """Start, signal and kill an instance that runs as a process."""

    deployment: deployment.Deployment
    settings: pathlib.Path
    with_permits: bool = False
    # Ports that SIGUSR1 cuts off; none if it is not used.
    cut_ports: tuple[int, ...] = ()
    names_sender: bool = False
    process: subprocess.Popen[bytes] | None = None
    # Processes that were paused or killed.
    disrupted: set[int] = dataclasses.field(default_factory=set)

    @property
    def pid(self) -> int:
        return 0 if self.process is None else self.process.pid

    @property
    def sender(self) -> str:
        """Return what the process calls itself if it names the sender."""
        return f'{self.deployment.instance}/{self.pid}'

    @property
    def is_running(self) -> bool:
        return self.process is not None and self.process.poll() is None

    def start(self) -> None:
        if self.process is not None:
            # The settings in effect tell that the whole system was started
            # before.
            text = self.settings.read_text()
            if _STARTED_BEFORE not in text:
                self.settings.write_text(text + _STARTED_BEFORE)
        program = ('-m', 'sycamoreferry_gateway')
        if self.with_permits:
            program = ('-c', _WITH_PERMITS)
        elif self.cut_ports:
            program = ('-c', _WITH_PARTITIONS)
        elif self.names_sender:
            program = ('-c', _WITH_SENDER)
        with self.settings.with_suffix('.log').open('ab') as log:
            self.process = subprocess.Popen(
                (sys.executable, *program),
                env={
                    **os.environ,
                    'SYCAMOREFERRY_CONFIG': str(self.settings),
                    'SYCAMOREFERRY_METRICS_PORT': str(
                        self.deployment.metrics_port
                    ),
                    'FERRY_TEST_NAME': self.deployment.instance,
                    'FERRY_TEST_CUT_PORTS': ','.join(map(str, self.cut_ports)),
                },
                stdout=log,
                stderr=log,
            )

    def signal(self, number: signal.Signals) -> None:
        if self.process is None or not self.is_running:
            return
        if number in {signal.SIGSTOP, signal.SIGKILL}:
            self.disrupted.add(self.pid)
        self.process.send_signal(number)

    def end(self) -> None:
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()


class Cluster:
    """Run a store, servers and instances on one event loop."""

    def __init__(self) -> None:
        self.store = StoreStandIn()
        self.servers: list[ServerStandIn] = []
        self.instances: list[instance.Instance] = []
        self.processes: list[InstanceProcess] = []
        # The bound on evacuations in the instances' settings; None for none.
        self.evacuate_ms: int | None = None
        self._tasks: list[asyncio.Task[None]] = []

    async def start(
        self,
        servers: int,
        instances: int,
        kind: str = 'safe',
        *,
        is_keyed: bool = True,
        data_centres: typing.Sequence[str] = ('here',),
    ) -> None:
        await self.store.start()
        configured = configuration(1, kind, is_keyed=is_keyed)
        self.store.put('keyed.op', 'config', configured)
        for number in range(servers):
            server = ServerStandIn(f's{number}', self.store)
            server.is_keyed = is_keyed
            server.data_centre = data_centres[number % len(data_centres)]
            await server.start()
            server.register()
            self.servers.append(server)
        for number in range(instances):
            self.add_instance(f'i{number}')

    def restart(self, number: int) -> instance.Instance:
        """Restart a killed instance at the peer port that its peers know."""
        previous = self.instances[number]._deployment
        fresh = self._deployment(previous.instance)
        restarted = dataclasses.replace(
            fresh, peer_port=previous.peer_port, is_first_start=False
        )
        return self._run(restarted)

    def add_instance(self, name: str) -> instance.Instance:
        return self._run(self._deployment(name))

    def _run(
        self,
        chosen: deployment.Deployment,
        log_path: str = os.devnull,
    ) -> instance.Instance:
        log = event_log.EventLog(
            boot_clock.BootClock(),
            os.open(log_path, os.O_WRONLY | os.O_CREAT),
        )
        added = instance.Instance(chosen, log)
        self.instances.append(added)
        self._tasks.append(asyncio.create_task(added.run()))
        return added

    def start_process(
        self,
        name: str,
        folder: pathlib.Path,
        store_port: int,
        *,
        with_permits: bool = False,
        cut_ports: tuple[int, ...] = (),
        names_sender: bool = False,
        grace_s: int = 3,
    ) -> InstanceProcess:
        """Start an instance as a process whose output goes to a file."""
        chosen = self._deployment(name)
        settings = folder / f'{name}.conf'
        text = self.settings_text(chosen, store_port)
        settings.write_text(text.replace('Grace=3s', f'Grace={grace_s}s'))
        started = InstanceProcess(
            chosen, settings, with_permits, cut_ports, names_sender
        )
        started.start()
        self.processes.append(started)
        return started

    async def kill(self, number: int) -> None:
        self._tasks[number].cancel()
        self.instances[number]._coordinator._tasks.cancel_all()
        self.instances[number]._exchange.close()
        self.instances[number]._relay_server.stop_listening()
        await asyncio.gather(self._tasks[number], return_exceptions=True)

    async def stop(self) -> None:
        for process in self.processes:
            process.end()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for one in self.instances:
            one._exchange.close()
            one._relay_server.stop_listening()
        for server in self.servers:
            server.stop()
        self.store.stop()

    async def wait_until(
        self,
        condition: typing.Callable[[], bool],
        limit_s: float = 10,
    ) -> None:
        async with asyncio.timeout(limit_s):
            while not condition():  # noqa: ASYNC110
                await asyncio.sleep(0.02)

    def owners(self, key: int) -> list[str]:
        return [row.name for row in self.servers if row.holds(key)]

    def is_covered(self) -> bool:
        return all(
            len(self.owners(key)) == 1 for key in range(0, LAST_KEY + 1, 999)
        )

    def leader(self) -> instance.Instance:
        """Return the instance that acts as the coordinator."""
        return next(
            one for one in self.instances if one._coordinator.is_coordinating
        )

    def encode_request(
        self,
        request_id: str,
        key: int,
        *,
        path: str = '/k/a',
        deadline_ms: int = 2_000,
        method: str = 'GET',
    ) -> bytes:
        """Encode a caller's request to the route of the configuration."""
        return http_client.encode_request(
            method,
            path,
            (
                ('Host', 'h'),
                ('Request-Id', request_id),
                ('Deadline-Ms', str(deadline_ms)),
                ('Shard-Key', str(key)),
            ),
            b'',
        )

    def settings_text(
        self, chosen: deployment.Deployment, store_port: int
    ) -> str:
        """Return the settings text of an instance that runs as a process."""
        text = _SETTINGS.format(deployment=chosen, store_port=store_port)
        if self.evacuate_ms is not None:
            text += f'Terms.Bounds.Evacuate={self.evacuate_ms}ms\n'
        return text

    def _deployment(self, name: str) -> deployment.Deployment:
        ports = [web.free_port() for _ in range(4)]
        return deployment.Deployment(
            instance=ids.InstanceId(name),
            data_centre=ids.DataCentre('here'),
            host='127.0.0.1',
            request_address=deployment.Address('127.0.0.1', ports[0]),
            readiness_address=deployment.Address('127.0.0.1', ports[1]),
            peer_port=ports[2],
            metrics_port=ports[3],
            store_address=deployment.Address('127.0.0.1', self.store.port),
            heartbeat_ms=870,
            max_descriptors=1_000,
            cores=1,
            link_mbps=100,
            bounds=deployment.Bounds(
                drain_ms=2_000,
                grace_ms=6_000,
                retry_ratio=0.2,
                retry_window_ms=10_000,
                retry_extra=60,
                longest_hold_ms=10_000,
                evacuate_ms=self.evacuate_ms,
            ),
        )


class CheckedCalls:
    """Call instances that run as processes; record violated guarantees."""

    def __init__(self, cluster: Cluster) -> None:
        self.violations: list[str] = []
        self.answered_count = 0
        self.in_flight: dict[str, InstanceProcess] = {}
        self.sent_at: dict[str, float] = {}
        self._cluster = cluster
        self._request_number = 0
        self._not_run: list[str] = []
        # Requests behind an answer that closes their connection.
        self.unread: list[str] = []

    def next_name(self) -> str:
        """Return the name of a new request."""
        self._request_number += 1
        return f'r{self._request_number}'

    async def call(
        self,
        pool: http_client.ConnectionPool,
        instance: InstanceProcess,
        key: int,
        deadline_ms: int,
        *,
        path: str = '/k/a',
    ) -> http_client.ExchangeResult:
        name = self.next_name()
        payload = self._cluster.encode_request(
            name, key, path=path, deadline_ms=deadline_ms, method='POST'
        )
        address = instance.deployment.request_address
        pid = instance.pid
        loop = asyncio.get_running_loop()
        sent_at = loop.time()
        self.sent_at[name] = sent_at
        self.in_flight[name] = instance
        reply = await pool.exchange(address, payload, deadline_ms + LATE_MS)
        self.in_flight.pop(name)
        if not isinstance(reply, http_client.FailedExchange):
            self.check_reply(name, reply)
        elif pid not in instance.disrupted:
            self._check_failure(name, reply, loop.time() - sent_at)
        return reply

    def check_runs(self) -> None:
        """Check that no request ran twice, or in spite of a 503 answer."""
        runs = collections.Counter(
            name for server in self._cluster.servers for name, _ in server.ran
        )
        self.violations.extend(
            f'{name} ran {count} times'
            for name, count in runs.items()
            if count > 1
        )
        self.violations.extend(
            f'{name} ran although its caller was told that it did not'
            for name in self._not_run
            if name in runs
        )
        self.violations.extend(
            f'{name} ran although it was behind a close'
            for name in self.unread
            if name in runs
        )

    def check_reply(
        self,
        name: str,
        reply: http_messages.HttpResponse,
    ) -> None:
        """Check the answer of a request against what the servers ran."""
        if reply.status in NOT_RUN_STATUSES:
            self._not_run.append(name)
        if reply.status != 200:
            return
        self.answered_count += 1
        if [reply.body.decode()] != self._ran_at(name):
            self.violations.append(
                f'{name} was not answered by the server that ran it'
            )

    def _check_failure(
        self,
        name: str,
        failed: http_client.FailedExchange,
        elapsed_s: float,
    ) -> None:
        """Check that a connection didn't end without an owed answer.

        A request that crosses the close of its connection needs no answer.
        """
        has_timed_out = failed.failure is http_client.ExchangeFailure.TIMEOUT
        if has_timed_out or not failed.was_sent:
            return
        ran_at = self._ran_at(name)
        if ran_at or elapsed_s >= LOSS_SLACK_S:
            self.violations.append(
                f'{name} has no answer: {failed.failure.value} after '
                f'{elapsed_s:.3f} s, ran at {ran_at}'
            )

    def _ran_at(self, name: str) -> list[str]:
        return [
            server.name
            for server in self._cluster.servers
            if any(ran == name for ran, _ in server.ran)
        ]


@pytest.fixture
def sample_deployment() -> deployment.Deployment:
    """Return a deployment with free ports."""
    return Cluster()._deployment('one')


@pytest.fixture
def quiet_log() -> event_log.EventLog:
    """Return an event log that writes to the null device."""
    return event_log.EventLog(
        boot_clock.BootClock(),
        os.open(os.devnull, os.O_WRONLY),
    )


@pytest.fixture
async def cluster() -> typing.AsyncIterator[Cluster]:
    """Yield an environment to be started by the test, and stop it after."""
    made = Cluster()
    yield made
    await made.stop()


@pytest.fixture
def checked_calls(cluster: Cluster) -> CheckedCalls:
    """Return calls to the processes of the environment."""
    return CheckedCalls(cluster)


@pytest.fixture(scope='session')
def encode_configuration() -> typing.Callable[..., bytes]:
    """Return the function that encodes a configuration."""
    return configuration


@pytest.fixture
async def play(
    cluster: typing.Any, monkeypatch: pytest.MonkeyPatch
) -> typing.AsyncIterator[crash_play.CrashPlay]:
    """Yield a play whose silent servers answer no new connection."""
    made = crash_play.CrashPlay(cluster)
    opened = http_client.ConnectionPool._open

    async def open_connection(
        pool: http_client.ConnectionPool, address: typing.Any, timeout_ms: float
    ) -> typing.Any:
        if made.is_silent(address.port):
            limit_ms = min(timeout_ms, http_client.CONNECT_TIMEOUT_MS)
            await asyncio.sleep(limit_ms / 1_000)
            return http_client.FailedExchange(
                http_client.ExchangeFailure.CONNECT, was_sent=False
            )
        return await opened(pool, address, timeout_ms)

    monkeypatch.setattr(http_client.ConnectionPool, '_open', open_connection)
    yield made
    made.stop()

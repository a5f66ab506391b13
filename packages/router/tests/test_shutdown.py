"""Stop an instance while callers wait for their answers."""

import asyncio
import dataclasses
import functools
import pathlib
import signal
import typing

import multidict
import pytest

from sycamoreferry_core import clock, ids, outcomes, result_codes
from sycamoreferry_ports import boot_clock, headers, http_forward, wire
from sycamoreferry_router import (
    http_server,
    messages,
    metrics,
    pipeline,
    view,
)
from sycamoreferry_router.filters import admit
from sycamoreferry_standins import (
    backend_server,
    cluster,
    request_path,
    workloads,
)

SHUTDOWN_MS = 2_000
# Longer than the shutdown, also as the tenth that a request may queue.
DEADLINE_MS = '40000'
# The slots that an instance uses of a target.
SLOTS = 2
LONG_BYTES = 16_000_000
STOPPED = workloads.Workload(
    name='stopped',
    data_centres=(ids.DataCentre('north'),),
    link_ms=1,
    services=(
        workloads.ServiceSize(ids.ServiceName('plain'), 1, 8, 40),
        workloads.ServiceSize(
            ids.ServiceName('documents'), 1, 8, 40, answer_bytes=LONG_BYTES
        ),
    ),
)
OUTCOME_UNKNOWN = (502, '4001')
LEAVING = (503, '3007')


class _Cluster(cluster.Cluster):
    """Give the instances a short shutdown."""

    def settings_of(self, entry: cluster.Entry) -> dict[str, object]:
        return {**super().settings_of(entry), 'shutdown_ms': SHUTDOWN_MS}


@dataclasses.dataclass(frozen=True)
class _Reply:
    status: int
    code: str
    retry_after: str | None


@dataclasses.dataclass(frozen=True)
class _Caller:
    """Call the only instance of a cluster."""

    system: cluster.Cluster

    @property
    def entry(self) -> cluster.Entry:
        return self.system.entries[0]

    async def call(self, method: str, request_id: str) -> _Reply:
        async with self.system.session.request(
            method,
            f'{self.entry.url}/plain/a',
            headers={
                headers.DEADLINE_MS: DEADLINE_MS,
                headers.IDEMPOTENCY_KEY: request_id,
                headers.REQUEST_ID: request_id,
            },
        ) as answer:
            await answer.read()
            return _Reply(
                answer.status,
                answer.headers.get(headers.CODE, ''),
                answer.headers.get(headers.RETRY_AFTER),
            )

    async def runs(self) -> list[str]:
        server = await self._server()
        runs = await self.system.control.runs_of(server)
        return [run.request_id for run in runs]

    async def delay_answers(self, delay_ms: int) -> None:
        await self.system.control.set_server_faults(
            await self._server(),
            backend_server.ServerFaults(extra_delay_ms=delay_ms),
        )

    async def _server(self) -> typing.Any:
        listed = await self.system.control.listed_servers()
        return next(server for server in listed if server.service == 'plain')

    async def is_admitting(self) -> bool:
        reply = await self.call('POST', 'first')
        return reply.code in {'1000', '5002'}

    async def is_running(self, request_id: str) -> bool:
        return request_id in await self.runs()

    async def open_download(self) -> asyncio.StreamReader:
        """Request a long answer and read its head only."""
        reader, writer = await asyncio.open_connection(
            '127.0.0.1', self.entry.request_port, limit=1024
        )
        writer.write(
            b'GET /documents/a HTTP/1.1\r\nHost: a\r\n'
            b'Ferry-Deadline-Ms: 40000\r\n\r\n'
        )
        head = await reader.readuntil(b'\r\n\r\n')
        assert b'200 OK' in head
        return reader


async def _start_call(
    caller: _Caller, method: str, request_id: str
) -> asyncio.Task[_Reply]:
    call = asyncio.create_task(caller.call(method, request_id))
    is_running = functools.partial(caller.is_running, request_id)
    await cluster.wait_for(is_running, f'{request_id} at its server')
    return call


@pytest.mark.processes
async def test_requests_are_answered_before_the_shutdown_ends(
    tmp_path: pathlib.Path,
) -> None:
    async with _Cluster(STOPPED, tmp_path, entries=1) as system:
        caller = _Caller(system)
        await cluster.wait_for(caller.is_admitting, 'admissions')
        await caller.delay_answers(60_000)
        running = [
            await _start_call(caller, method, f'running-{method}')
            for method in ('POST', 'GET')
        ]
        assert len(running) == SLOTS
        queued = [
            asyncio.create_task(caller.call(method, f'queued-{method}'))
            for method in ('POST', 'GET')
        ]
        download = await caller.open_download()
        await asyncio.sleep(0.3)
        stopped = system.started[caller.entry.name]
        stopped.send(signal.SIGTERM)
        replies = await asyncio.gather(*running, *queued)
        answered = [(reply.status, reply.code) for reply in replies]
        assert answered == [OUTCOME_UNKNOWN] * 2 + [LEAVING] * 2
        assert all(reply.retry_after for reply in replies)
        assert await _read_rest(download) < LONG_BYTES
        runs = await caller.runs()
        assert runs.count('running-POST') == 1
        assert not any(run.startswith('queued') for run in runs)
        assert await stopped.process.wait() == 0


@pytest.mark.processes
async def test_hangup_signal_cuts_no_request(tmp_path: pathlib.Path) -> None:
    async with _Cluster(STOPPED, tmp_path, entries=1) as system:
        caller = _Caller(system)
        await caller.delay_answers(500)
        call = await _start_call(caller, 'GET', 'running')
        system.started[caller.entry.name].send(signal.SIGHUP)
        assert (await call).status == 200
        assert (await caller.call('GET', 'next')).status == 200


async def _read_rest(reader: asyncio.StreamReader) -> int:
    """Return the number of bytes left, or 0 if the connection is reset."""
    try:
        return len(await reader.read())
    except ConnectionResetError:
        return 0


class _HeldServers(http_forward.HttpForwarder):
    """Hold each request until the test gives the outcome of its attempt."""

    def __init__(self) -> None:
        self.sent: list[http_forward.ForwardedRequest] = []
        self.results: asyncio.Queue[http_forward.ForwardOutcome] = (
            asyncio.Queue()
        )

    async def forward(
        self,
        request: http_forward.ForwardedRequest,
        server: wire.ListedServer,
    ) -> http_forward.ForwardOutcome:
        self.sent.append(request)
        return await self.results.get()


class _SilentGate:
    """Never decide whether a request may run."""

    async def enter(
        self,
        identified: messages.Identified,
    ) -> messages.Identified | outcomes.Outcome:
        await asyncio.Event().wait()
        return identified

    async def leave(
        self,
        identified: messages.Identified,
        outcome: outcomes.Outcome,
    ) -> None:
        raise AssertionError('the request was not admitted')


_FINE = http_forward.Received(200, multidict.CIMultiDict(), b'')
_UNREACHABLE = http_forward.NotSent('refused')
_TIME_LEFT_MS = 300


def _pipeline(
    servers: http_forward.HttpForwarder,
    gates: typing.Sequence[admit.Gate] = (),
    targets: int = 1,
) -> pipeline.Pipeline:
    instance_view = view.InstanceView()
    instance_view.replace_servers(
        [
            wire.ListedServer(
                ids.ServerId(f'plain-{number}'),
                ids.ServiceName('plain'),
                ids.DataCentre('north'),
                '127.0.0.1',
                number + 1,
                'live',
            )
            for number in range(targets)
        ]
    )
    config = request_path.small_settings()
    return request_path.new_pipeline(config, servers, instance_view, gates)


async def _start(
    serving: pipeline.Pipeline, method: str = 'GET'
) -> asyncio.Task[outcomes.Outcome]:
    incoming = messages.Incoming(
        method,
        'plain',
        '/a',
        {headers.IDEMPOTENCY_KEY: 'k', headers.DEADLINE_MS: DEADLINE_MS},
        b'',
        boot_clock.BootClock().now(),
    )
    call = asyncio.create_task(serving.serve(incoming))
    await asyncio.sleep(0.01)
    return call


def _stop(serving: pipeline.Pipeline, left_ms: int) -> None:
    now = boot_clock.BootClock().now()
    serving.start_draining(clock.later(now, left_ms))


async def test_request_sent_in_a_shutdown_gets_no_more_time_than_is_left() -> (
    None
):
    servers = _HeldServers()
    serving = _pipeline(servers)
    calls = [await _start(serving) for _ in range(SLOTS + 1)]
    _stop(serving, 5_000)
    servers.results.put_nowait(_FINE)
    await asyncio.sleep(0.01)
    assert len(servers.sent) == SLOTS + 1
    assert int(servers.sent[-1].headers[headers.DEADLINE_MS]) <= 5_000
    assert servers.sent[-1].remaining_ms <= 5_000
    for _ in calls:
        servers.results.put_nowait(_FINE)
    ended = await asyncio.gather(*calls)
    assert {one.kind for one in ended} == {outcomes.Kind.ANSWERED}


async def test_queued_request_is_rejected_early_in_a_shutdown() -> None:
    servers = _HeldServers()
    serving = _pipeline(servers)
    calls = [await _start(serving) for _ in range(SLOTS + 1)]
    _stop(serving, 5_000)
    done, _ = await asyncio.wait(calls, timeout=1.5)
    assert [call.result().code for call in done] == [
        result_codes.ResultCode.LEAVING
    ]
    assert len(servers.sent) == SLOTS
    for _ in range(SLOTS):
        servers.results.put_nowait(_FINE)
    await asyncio.gather(*calls)


@pytest.mark.parametrize(
    ('method', 'first_attempt'),
    [
        ('POST', None),
        ('GET', None),
        ('POST', _UNREACHABLE),
        ('GET', http_forward.TimedOut()),
    ],
)
async def test_request_at_a_server_is_answered_as_unknown_in_a_shutdown(
    method: str,
    first_attempt: http_forward.ForwardOutcome | None,
) -> None:
    servers = _HeldServers()
    serving = _pipeline(servers, targets=2)
    call = await _start(serving, method)
    if first_attempt is not None:
        servers.results.put_nowait(first_attempt)
    _stop(serving, _TIME_LEFT_MS)
    ended = await asyncio.wait_for(call, 2)
    assert isinstance(ended, outcomes.Unknown)
    assert ended.code is result_codes.ResultCode.OUTCOME_UNKNOWN
    assert ended.retry_after_ms


async def test_kept_connection_is_closed_with_its_last_answer() -> None:
    config = request_path.small_settings()
    instance_view = view.InstanceView()
    servers = _HeldServers()
    serving = request_path.new_pipeline(config, servers, instance_view)
    served = http_server.HttpServer(
        config,
        serving,
        instance_view,
        metrics.Metrics(),
        ids.InstanceId('own'),
        boot_clock.BootClock(),
    )
    port = config.listen.request_port
    listening = await served.start('127.0.0.1', port)
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    _stop(serving, _TIME_LEFT_MS)
    writer.write(b'GET /plain/a HTTP/1.1\r\nHost: a\r\n\r\n')
    answer = await asyncio.wait_for(reader.read(), 2)
    assert b'503' in answer.splitlines()[0]
    assert b'connection: close' in answer.splitlines()
    writer.close()
    await listening.close()  # type: ignore[no-untyped-call]


async def test_request_in_a_silent_admission_is_rejected_in_a_shutdown() -> (
    None
):
    servers = _HeldServers()
    serving = _pipeline(servers, [_SilentGate()])
    call = await _start(serving, 'POST')
    _stop(serving, _TIME_LEFT_MS)
    ended = await asyncio.wait_for(call, 2)
    assert isinstance(ended, outcomes.NotRun)
    assert ended.code is result_codes.ResultCode.LEAVING
    assert ended.retry_after_ms
    assert not servers.sent

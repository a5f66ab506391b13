"""Stop an instance while callers wait for their answers."""

import asyncio
import dataclasses
import json
import os
import pathlib
import signal
import time
import typing

import pytest

from sycamoreferry_core.fleet import message_intervals
from sycamoreferry_gateway import http_client, instance
from sycamoreferry_ports import boot_clock

KEY = 7
# The server's two slots, and one request that may queue at it.
CAPACITY = 3
GRACE_MS = 2_000
# Longer than the grace period.
LONG_MS = 6_000
UNANSWERED = 'request is unanswered at the end of the shutdown'


@dataclasses.dataclass
class BusyInstance:
    """Call an instance whose only server is full, and read its log."""

    cluster: typing.Any
    instance: instance.Instance
    log: pathlib.Path

    async def call(self, request_id: str) -> http_client.ExchangeResult:
        payload = self.cluster.encode_request(
            request_id, KEY, deadline_ms=LONG_MS
        )
        pool = http_client.ConnectionPool(boot_clock.BootClock())
        address = self.instance._deployment.request_address
        return await pool.exchange(address, payload, LONG_MS)

    async def start_calls(
        self, count: int
    ) -> list[asyncio.Task[http_client.ExchangeResult]]:
        """Send requests and wait until the server runs all that it may."""
        calls = [
            asyncio.create_task(self.call(f'r{number}'))
            for number in range(count)
        ]
        await self.cluster.wait_until(
            lambda: (
                self.instance._request_handler.in_flight == count
                and self.cluster.servers[0].running == min(count, CAPACITY)
            )
        )
        return calls

    def stop(self) -> None:
        self.instance.request_stop(asyncio.get_running_loop())

    def lines(self, event: str) -> list[dict[str, typing.Any]]:
        rows = [json.loads(line) for line in self.log.read_text().splitlines()]
        return [row for row in rows if row['event'] == event]


def _status(reply: http_client.ExchangeResult) -> int:
    """Return the status of a reply, or 0 if the connection was closed."""
    if isinstance(reply, http_client.FailedExchange):
        return 0
    return reply.status


@pytest.fixture(params=[False, True], ids=['direct', 'permits'])
async def busy(
    cluster: typing.Any,
    tmp_path: pathlib.Path,
    encode_configuration: typing.Callable[..., bytes],
    monkeypatch: pytest.MonkeyPatch,
    request: pytest.FixtureRequest,
) -> BusyInstance:
    """Return an instance with a short grace period and one slow server."""
    if request.param:
        monkeypatch.setattr(message_intervals, '_MAX_MESH_PEERS', -1)
    await cluster.start(servers=1, instances=0)
    cluster.servers[0].processing_time_s = 30
    content = encode_configuration(2, timeout_ms=LONG_MS)
    cluster.store.put('keyed.op', 'config', content)
    chosen = cluster._deployment('busy')
    bounds = dataclasses.replace(chosen.bounds, grace_ms=GRACE_MS)
    log = tmp_path / 'instance.log'
    added = cluster._run(dataclasses.replace(chosen, bounds=bounds), str(log))
    await cluster.wait_until(
        lambda: added.is_ready and added._view.owner_of('keys', KEY) is not None
    )
    return BusyInstance(cluster, added, log)


async def test_log_tells_waiting_requests_from_those_at_a_server(
    busy: BusyInstance,
) -> None:
    calls = await busy.start_calls(CAPACITY + 1)
    busy.instance._request_handler.request_log.log_unanswered()
    sent_to = [row['sent_to'] for row in busy.lines(UNANSWERED)]
    assert sorted(sent_to, key=str) == [None, *(['s0'] * CAPACITY)]
    for call in calls:
        call.cancel()


async def test_log_has_the_wait_of_a_request_whose_caller_left(
    busy: BusyInstance,
) -> None:
    calls = await busy.start_calls(CAPACITY + 1)
    await asyncio.sleep(0.1)
    for call in calls:
        call.cancel()
    await busy.cluster.wait_until(
        lambda: len(busy.lines('request ended')) > CAPACITY
    )
    waits = [row['waited_ms'] for row in busy.lines('request ended')]
    assert max(waits) >= 100


async def test_waiting_request_is_answered_before_the_shutdown_ends(
    busy: BusyInstance,
) -> None:
    calls = await busy.start_calls(CAPACITY + 1)
    busy.stop()
    replies = await asyncio.gather(*calls)
    rejected = [
        reply
        for reply in replies
        if not isinstance(reply, http_client.FailedExchange)
        and reply.status == 503
    ]
    assert len(rejected) == 1
    assert rejected[0].header('retry-after') is not None


async def test_request_taken_during_the_shutdown_is_answered_before_it_ends(
    busy: BusyInstance,
) -> None:
    calls = await busy.start_calls(CAPACITY)
    busy.stop()
    reply = await busy.call('late')
    assert not isinstance(reply, http_client.FailedExchange)
    assert reply.status == 503
    assert busy.cluster.servers[0].peak_running == CAPACITY
    await asyncio.gather(*calls)


async def test_running_request_is_answered_before_the_shutdown_ends(
    busy: BusyInstance,
) -> None:
    calls = await busy.start_calls(CAPACITY)
    busy.stop()
    replies = await asyncio.gather(*calls)
    assert [_status(reply) for reply in replies] == [502] * CAPACITY


async def test_answers_are_in_time_if_the_loop_is_busy_at_the_signal(
    busy: BusyInstance,
) -> None:
    calls = await busy.start_calls(CAPACITY)
    os.kill(os.getpid(), signal.SIGTERM)
    signalled_at = time.monotonic()
    # Blocks the event loop.
    time.sleep(GRACE_MS / 4_000)  # noqa: ASYNC251
    replies = await asyncio.gather(*calls)
    assert not any(
        isinstance(reply, http_client.FailedExchange) for reply in replies
    )
    assert time.monotonic() < signalled_at + GRACE_MS / 1_000


async def test_due_answers_are_written_if_the_loop_is_busy_when_they_are_due(
    busy: BusyInstance,
) -> None:
    calls = await busy.start_calls(CAPACITY)
    busy.stop()
    loop = asyncio.get_running_loop()
    loop.call_later(GRACE_MS / 1_000 * 0.82, time.sleep, 0.3)
    replies = await asyncio.gather(*calls)
    assert [_status(reply) for reply in replies] == [502] * CAPACITY


async def test_repeated_signal_does_not_prolong_the_shutdown(
    busy: BusyInstance,
) -> None:
    calls = await busy.start_calls(CAPACITY)
    busy.stop()
    stopped_at = time.monotonic()
    await asyncio.sleep(GRACE_MS / 2_000)
    busy.stop()
    await busy.cluster.wait_until(lambda: bool(busy.lines('stopped')))
    assert time.monotonic() < stopped_at + GRACE_MS / 1_000
    await asyncio.gather(*calls)


async def test_request_is_not_sent_if_the_stop_leaves_no_time_for_an_answer(
    busy: BusyInstance,
) -> None:
    address = busy.instance._deployment.request_address
    reader, writer = await asyncio.open_connection(address.host, address.port)
    body = b'late body'
    head = busy.cluster.encode_request('late', KEY, deadline_ms=LONG_MS)
    length = f'Content-Length: {len(body)}\r\n\r\n'.encode()
    writer.write(head.removesuffix(b'\r\n') + length + body[:-1])
    await busy.cluster.wait_until(
        lambda: bool(busy.instance._server.busy_count)
    )
    busy.stop()
    # Just before the answers are due, 1.7 s after the signal.
    await asyncio.sleep(GRACE_MS / 1_000 * 0.82)
    writer.write(body[-1:])
    assert (await reader.readline()).split()[1] == b'503'
    assert not busy.cluster.servers[0].peak_running
    writer.close()

"""Check requests that reach an instance while it stops.

Requests were taken late in the grace time and cut without an answer when it
ended. How fast a server answers and a caller reads is not known in advance, so
only a request whose time is over by then may be sent to a server.
"""

import asyncio
import dataclasses
import typing

import pytest

from gateway_testing import slow_caller
from sycamoreferry_core.fleet import message_intervals
from sycamoreferry_gateway import instance

GRACE_MS = 4_000
# Longer than the grace period, and short enough for an answer in time.
LONG_MS = 6_000
SHORT_MS = 1_200
KEY = 7
# A refusal doesn't wait for anything.
AT_ONCE_S = 0.3


@dataclasses.dataclass
class StoppingInstance:
    """Call an instance that gets its signal during the test."""

    cluster: typing.Any
    instance: instance.Instance

    @property
    def server(self) -> typing.Any:
        return self.cluster.servers[0]

    def stop(self) -> None:
        self.instance.request_stop(asyncio.get_running_loop())

    async def connect(self) -> slow_caller.SlowCaller:
        address = self.instance._deployment.request_address
        return await slow_caller.SlowCaller(address.port).connect()

    def encode(self, name: str, deadline_ms: int) -> bytes:
        encoded: bytes = self.cluster.encode_request(
            name, KEY, deadline_ms=deadline_ms
        )
        return encoded

    def encode_with_body(
        self, name: str, deadline_ms: int, extra: bytes = b''
    ) -> tuple[bytes, bytes]:
        """Return the head and the body of a request."""
        head = self.encode(name, deadline_ms).replace(b'GET', b'POST', 1)
        body = b'some body'
        length = f'Content-Length: {len(body)}\r\n'.encode()
        return head.removesuffix(b'\r\n') + length + extra + b'\r\n', body


@pytest.fixture(params=[False, True], ids=['direct', 'permits'])
async def stopping(
    cluster: typing.Any,
    kind: str,
    encode_configuration: typing.Callable[..., bytes],
    monkeypatch: pytest.MonkeyPatch,
    request: pytest.FixtureRequest,
) -> StoppingInstance:
    if request.param:
        monkeypatch.setattr(message_intervals, '_MAX_MESH_PEERS', -1)
    await cluster.start(servers=1, instances=0)
    content = encode_configuration(2, kind, timeout_ms=LONG_MS)
    # Reading a request may take longer than the stop.
    content = content.replace(b'"3000ms"', b'"9000ms"')
    cluster.store.put('keyed.op', 'config', content)
    chosen = cluster._deployment('stopping')
    bounds = dataclasses.replace(chosen.bounds, grace_ms=GRACE_MS)
    added = cluster._run(dataclasses.replace(chosen, bounds=bounds))
    await cluster.wait_until(
        lambda: (
            added.is_ready
            and added._view.owner_of('keys', KEY) is not None
            and cluster.servers[0].holds(KEY)
        )
    )
    return StoppingInstance(cluster, added)


@pytest.fixture(params=['safe', 'unsafe', 'download'])
def kind(request: pytest.FixtureRequest) -> str:
    chosen: str = request.param
    return chosen


async def _check_refusal(caller: slow_caller.SlowCaller) -> None:
    async with asyncio.timeout(AT_ONCE_S):
        head = await caller.read_head()
    assert ' 503 ' in head
    assert 'retry-after' in head
    caller.close()


async def test_request_that_may_outlast_the_stop_is_refused_at_once(
    stopping: StoppingInstance,
) -> None:
    kept = await stopping.connect()
    await kept.send(stopping.encode('first', SHORT_MS))
    await kept.read_body(await kept.read_head())
    stopping.stop()
    await asyncio.sleep(0.1)
    for caller in (kept, await stopping.connect()):
        await caller.send(stopping.encode('late', LONG_MS))
        await _check_refusal(caller)
    assert [name for name, _ in stopping.server.ran] == ['first']


async def test_request_that_ends_before_the_stop_is_served(
    stopping: StoppingInstance,
) -> None:
    stopping.stop()
    caller = await stopping.connect()
    await caller.send(stopping.encode('short', SHORT_MS))
    assert ' 200 ' in await caller.read_head()
    caller.close()


async def test_request_is_refused_if_its_body_ends_late(
    stopping: StoppingInstance,
) -> None:
    caller = await stopping.connect()
    head, body = stopping.encode_with_body('late', SHORT_MS)
    await caller.send(head + body[:1])
    await asyncio.sleep(0.1)
    stopping.stop()
    # Its time begins when the caller has sent all of it.
    await asyncio.sleep(GRACE_MS * 0.7 / 1_000)
    await caller.send(body[1:])
    await _check_refusal(caller)
    assert not stopping.server.ran


async def test_request_that_never_ends_is_refused_before_the_stop_ends(
    stopping: StoppingInstance,
) -> None:
    partial, waiting = [await stopping.connect() for _ in range(2)]
    head, body = stopping.encode_with_body('partial', SHORT_MS)
    await partial.send(head + body[:1])
    head, _ = stopping.encode_with_body(
        'waiting', SHORT_MS, b'Expect: 100-continue\r\n'
    )
    await waiting.send(head)
    assert ' 100 ' in await waiting.read_head()
    stopping.stop()
    async with asyncio.timeout(GRACE_MS / 1_000):
        for caller in (partial, waiting):
            assert ' 503 ' in await caller.read_head()
            caller.close()


async def test_pipelined_request_is_refused_behind_one_that_runs(
    stopping: StoppingInstance,
) -> None:
    stopping.server.processing_time_s = 0.5
    caller = await stopping.connect()
    await caller.send(stopping.encode('first', SHORT_MS))
    await stopping.cluster.wait_until(lambda: stopping.server.running == 1)
    stopping.stop()
    await asyncio.sleep(0.1)
    await caller.send(stopping.encode('late', LONG_MS))
    head = await caller.read_head()
    await caller.read_body(head)
    assert ' 200 ' in head
    if 'connection: close' not in head:
        await _check_refusal(caller)
    assert [name for name, _ in stopping.server.ran] == ['first']


async def test_waiting_requests_are_refused_at_the_signal(
    stopping: StoppingInstance,
) -> None:
    stopping.server.processing_time_s = 2.5
    callers = [await stopping.connect() for _ in range(4)]
    for number, caller in enumerate(callers):
        await caller.send(stopping.encode(f'r{number}', LONG_MS))
    await stopping.cluster.wait_until(
        lambda: (
            stopping.server.running == 3
            and stopping.instance._request_handler.in_flight == 4
        )
    )
    stopping.stop()
    async with asyncio.timeout(AT_ONCE_S):
        heads, _ = await asyncio.wait(
            [asyncio.create_task(caller.read_head()) for caller in callers],
            return_when=asyncio.FIRST_COMPLETED,
        )
    assert [' 503 ' in head.result() for head in heads] == [True]
    await stopping.cluster.wait_until(lambda: not stopping.server.running)
    assert len(stopping.server.ran) == 3
    for caller in callers:
        caller.close()


async def test_request_that_waits_for_a_retry_is_refused_at_the_signal(
    stopping: StoppingInstance,
) -> None:
    rejection = (503, (('Not-Executed', '1'), ('Retry-After', '1')))
    stopping.server.rejections = [rejection]
    caller = await stopping.connect()
    await caller.send(stopping.encode('late', LONG_MS))
    await stopping.cluster.wait_until(lambda: not stopping.server.rejections)
    await asyncio.sleep(0.1)
    stopping.stop()
    await _check_refusal(caller)
    assert not stopping.server.ran

import asyncio
import collections
import random
import typing

import multidict

from sycamoreferry_core import clock, ids, outcomes, result_codes
from sycamoreferry_ports import boot_clock, headers, http_forward, wire
from sycamoreferry_router import (
    messages,
    pipeline,
    target_dispatcher,
    time_limits,
    view,
)
from sycamoreferry_router.filters import resolve, select
from sycamoreferry_standins import request_path

SETTLE_SECONDS = 0.05


def _listed(number: int, data_centre: str = 'north') -> wire.ListedServer:
    return wire.ListedServer(
        ids.ServerId(f'plain-{number}'),
        ids.ServiceName('plain'),
        ids.DataCentre(data_centre),
        '127.0.0.1',
        number,
        'live',
    )


class _HoldingForwarder(http_forward.HttpForwarder):
    """Hold each request in flight until the test answers it."""

    def __init__(self) -> None:
        self.held: collections.deque[
            tuple[http_forward.ForwardedRequest, asyncio.Event]
        ] = collections.deque()
        self.served: list[str] = []
        self.most = 0
        self.sent_to: collections.Counter[str] = collections.Counter()

    async def forward(
        self,
        request: http_forward.ForwardedRequest,
        server: wire.ListedServer,
    ) -> http_forward.ForwardOutcome:
        released = asyncio.Event()
        self.sent_to[server.server] += 1
        self.served.append(request.headers.get(headers.CALLER, ''))
        entry = (request, released)
        self.held.append(entry)
        self.most = max(self.most, len(self.held))
        try:
            await released.wait()
        finally:
            if entry in self.held:
                self.held.remove(entry)
        named = multidict.CIMultiDict({headers.REQUEST_ID: request.request_id})
        return http_forward.Received(200, named, b'')

    async def answer_all(self, calls: typing.Sequence['_Call']) -> None:
        while not all(call.done() for call in calls):
            if self.held:
                self.held.popleft()[1].set()
            await asyncio.sleep(0)


_Call = asyncio.Future[outcomes.Outcome]


def _pipeline(
    servers: _HoldingForwarder,
    listed: typing.Sequence[wire.ListedServer],
) -> pipeline.Pipeline:
    instance_view = view.InstanceView()
    instance_view.replace_servers(listed)
    config = request_path.small_settings()
    return request_path.new_pipeline(config, servers, instance_view)


def _call(
    serving: pipeline.Pipeline,
    caller: str = 'one',
    deadline_ms: int = 20_000,
) -> _Call:
    incoming = messages.Incoming(
        'GET',
        'plain',
        '/a',
        {headers.CALLER: caller, headers.DEADLINE_MS: str(deadline_ms)},
        b'',
        boot_clock.BootClock().now(),
    )
    return asyncio.ensure_future(serving.serve(incoming))


async def test_requests_above_the_limit_are_queued() -> None:
    servers = _HoldingForwarder()
    serving = _pipeline(servers, [_listed(1)])
    calls = [_call(serving) for _ in range(30)]
    await asyncio.sleep(SETTLE_SECONDS)
    assert len(servers.held) == 2
    await servers.answer_all(calls)
    assert all(call.result().kind is outcomes.Kind.ANSWERED for call in calls)


async def test_requests_beyond_the_queue_are_refused_at_once() -> None:
    servers = _HoldingForwarder()
    serving = _pipeline(servers, [_listed(1)])
    calls = [_call(serving) for _ in range(260)]
    await asyncio.sleep(SETTLE_SECONDS)
    refused = [call.result() for call in calls if call.done()]
    assert len(refused) == 260 - 200 - 2
    for outcome in refused:
        assert outcome.code is result_codes.ResultCode.OVERLOADED
        assert isinstance(outcome, outcomes.NotRun)
        assert outcome.retry_after_ms >= 1000
    await servers.answer_all(calls)


async def test_waiting_ends_well_before_the_deadline() -> None:
    servers = _HoldingForwarder()
    serving = _pipeline(servers, [_listed(1)])
    calls = [_call(serving, deadline_ms=2000) for _ in range(3)]
    done, _ = await asyncio.wait(
        calls,
        timeout=1,
        return_when=asyncio.FIRST_COMPLETED,
    )
    codes = [call.result().code for call in done]
    assert codes == [result_codes.ResultCode.OVERLOADED]
    await servers.answer_all(calls)


async def test_busy_caller_does_not_starve_another_caller() -> None:
    servers = _HoldingForwarder()
    serving = _pipeline(servers, [_listed(1)])
    calls = [_call(serving, 'loud') for _ in range(260)]
    await asyncio.sleep(0)
    calls.extend(_call(serving, 'quiet') for _ in range(3))
    await asyncio.sleep(SETTLE_SECONDS)
    await servers.answer_all(calls)
    assert 'quiet' in servers.served[:6]
    assert all(
        call.result().kind is outcomes.Kind.ANSWERED for call in calls[-3:]
    )


async def test_cancelled_requests_release_their_slots() -> None:
    servers = _HoldingForwarder()
    serving = _pipeline(servers, [_listed(1)])
    cancelled = [_call(serving) for _ in range(40)]
    await asyncio.sleep(SETTLE_SECONDS)
    for call in cancelled:
        call.cancel()
    await asyncio.gather(*cancelled, return_exceptions=True)
    calls = [_call(serving) for _ in range(5)]
    await asyncio.sleep(SETTLE_SECONDS)
    assert len(servers.held) == 2
    await servers.answer_all(calls)


async def test_own_data_centre_is_preferred_while_it_has_capacity() -> None:
    servers = _HoldingForwarder()
    listed = [_listed(1), _listed(2, 'south'), _listed(3, 'south')]
    serving = _pipeline(servers, listed)
    for _ in range(20):
        await servers.answer_all([_call(serving)])
    assert set(servers.sent_to) == {'plain-1'}
    calls = [_call(serving) for _ in range(6)]
    await asyncio.sleep(SETTLE_SECONDS)
    assert len(servers.sent_to) == 3
    await servers.answer_all(calls)


async def test_slot_granted_to_a_cancelled_request_is_released() -> None:
    instance_view = view.InstanceView()
    instance_view.replace_servers([_listed(1)])
    time_source = boot_clock.BootClock()
    rng = random.Random(1)
    selector = select.Selector(ids.DataCentre('north'), rng)
    dispatcher = target_dispatcher.TargetDispatcher(
        instance_view,
        time_source,
        selector,
        rng,
        time_limits.TimeLimits(time_source),
    )
    resolved = resolve.resolve(_identified(time_source), instance_view)
    assert isinstance(resolved, messages.Resolved)
    selections = [
        await dispatcher.acquire(resolved, frozenset()) for _ in range(2)
    ]
    waiting = asyncio.ensure_future(dispatcher.acquire(resolved, frozenset()))
    await asyncio.sleep(0)
    for selected in selections:
        assert isinstance(selected, messages.Selected)
        dispatcher.release(selected)
    waiting.cancel()
    await asyncio.gather(waiting, return_exceptions=True)
    again = [await dispatcher.acquire(resolved, frozenset()) for _ in range(2)]
    assert all(isinstance(one, messages.Selected) for one in again)


def _identified(time_source: boot_clock.BootClock) -> messages.Identified:
    now = time_source.now()
    return messages.Identified(
        messages.Incoming('GET', 'plain', '/a', {}, b'', now),
        ids.RequestId('r1'),
        request_path.small_settings().services[0],
        None,
        None,
        clock.later(now, 5000),
        None,
    )

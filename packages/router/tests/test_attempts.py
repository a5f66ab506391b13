import asyncio
import collections
import dataclasses

import hypothesis
import multidict
from hypothesis import strategies as st

from sycamoreferry_core import ids, outcomes, profiles, result_codes, state
from sycamoreferry_ports import boot_clock, headers, http_forward, wire
from sycamoreferry_router import messages, view
from sycamoreferry_standins import request_path

PLAIN = ids.ServiceName('plain')
KEYED = ids.ServiceName('keyed')
FAULTS = (
    'fine',
    'unreachable',
    'shed',
    'cut before it ran',
    'cut after it ran',
    'late',
    "another's answer",
    'ran and refused',
)
_ANSWERS = {
    'shed': (503, [(headers.NOT_RUN, 'shed')]),
    "another's answer": (200, [(headers.REQUEST_ID, 'other')]),
    'ran and refused': (200, [(headers.NOT_RUN, 'shed')]),
}
_FAULTS_BEFORE_RUN = {'unreachable', 'shed', 'cut before it ran'}


def _listed(number: int, service: ids.ServiceName) -> wire.ListedServer:
    return wire.ListedServer(
        ids.ServerId(f'{service}-{number}'),
        service,
        ids.DataCentre('north'),
        '127.0.0.1',
        number,
        'live',
    )


class _FastRetryView(view.InstanceView):
    """Use retry delays of 1 ms."""

    def profile(self, name: str) -> profiles.Profile:
        return profiles.Profile(
            retries=profiles.Retries(first_delay_ms=1, longest_delay_ms=1),
        )


class _Servers(http_forward.HttpForwarder):
    """Answer each attempt with the next fault, and count what ran."""

    def __init__(self, faults: list[str]) -> None:
        self.faults = faults
        self.ran: collections.Counter[str] = collections.Counter()
        self.sent_to: list[ids.ServerId] = []
        self.repeated: list[bool] = []
        self.down: set[ids.ServerId] = set()

    async def forward(
        self,
        request: http_forward.ForwardedRequest,
        server: wire.ListedServer,
    ) -> http_forward.ForwardOutcome:
        self.sent_to.append(server.server)
        self.repeated.append(request.is_repeated)
        fault = self.faults.pop(0) if self.faults else 'fine'
        if server.server in self.down:
            fault = 'unreachable'
        if fault not in _FAULTS_BEFORE_RUN:
            self.ran[request.request_id] += 1
        if fault == 'unreachable':
            return http_forward.NotSent('refused')
        if fault == 'late':
            return http_forward.TimedOut()
        if fault.startswith('cut'):
            return http_forward.IncompleteAnswer('cut')
        default = (200, [(headers.REQUEST_ID, request.request_id)])
        status, named = _ANSWERS.get(fault, default)
        body = b'other'
        if fault == 'fine':
            body = request.request_id.encode()
        return http_forward.Received(status, multidict.CIMultiDict(named), body)


def _incoming(
    method: str,
    number: int = 1,
    key: str | None = None,
    deadline_ms: int = 2000,
) -> messages.Incoming:
    named = {
        headers.IDEMPOTENCY_KEY: f'k{number}',
        headers.REQUEST_ID: f'r{number}',
        headers.DEADLINE_MS: str(deadline_ms),
    }
    if key:
        named[headers.KEY] = key
    return messages.Incoming(
        method,
        'keyed' if key else 'plain',
        '/a',
        named,
        b'',
        boot_clock.BootClock().now(),
    )


async def _serve_all(
    servers: _Servers,
    requests: list[messages.Incoming],
) -> list[outcomes.Outcome]:
    instance_view = _FastRetryView()
    instance_view.replace_servers(
        [_listed(number, PLAIN) for number in (1, 2, 3)]
    )
    serving = request_path.new_pipeline(
        request_path.small_settings(),
        servers,
        instance_view,
    )
    return [await serving.serve(request) for request in requests]


@hypothesis.settings(max_examples=150)
@hypothesis.example(
    faults=['cut after it ran', *(['unreachable'] * 30)],
    methods=['GET'],
)
@hypothesis.given(
    faults=st.lists(st.sampled_from(FAULTS), max_size=30),
    methods=st.lists(st.sampled_from(['GET', 'POST']), min_size=1, max_size=8),
)
def test_reported_outcome_matches_what_ran(
    faults: list[str], methods: list[str]
) -> None:
    servers = _Servers(faults)
    requests = [
        _incoming(method, number) for number, method in enumerate(methods)
    ]
    results = asyncio.run(_serve_all(servers, requests))
    for number, outcome in enumerate(results):
        runs = servers.ran[f'r{number}']
        if isinstance(outcome, outcomes.NotRun):
            assert runs == 0
        if methods[number] == 'POST':
            assert runs <= 1
        if isinstance(outcome, outcomes.Answered):
            assert outcome.body == f'r{number}'.encode()


@hypothesis.given(st.sampled_from(['unreachable', 'shed']))
def test_retry_goes_to_another_target(fault: str) -> None:
    servers = _Servers([fault, fault])
    results = asyncio.run(_serve_all(servers, [_incoming('POST')]))
    assert results[0].kind is outcomes.Kind.ANSWERED
    assert len(set(servers.sent_to)) == 3


def test_retries_in_a_full_outage_stay_within_the_budget() -> None:
    count = 300
    servers = _Servers([])
    servers.down = {_listed(number, PLAIN).server for number in (1, 2, 3)}
    requests = [_incoming('GET', number) for number in range(count)]
    results = asyncio.run(_serve_all(servers, requests))
    assert all(outcome.kind is outcomes.Kind.NOT_RUN for outcome in results)
    policy = profiles.Retries()
    earned = policy.budget_floor + policy.budget_share * count
    assert len(servers.sent_to) - count <= earned


class _RaisingServers(_Servers):
    """Raise an error that no filter handles."""

    async def forward(
        self,
        request: http_forward.ForwardedRequest,
        server: wire.ListedServer,
    ) -> http_forward.ForwardOutcome:
        raise ValueError('not expected')


def test_failure_inside_the_router_leaves_the_outcome_unknown() -> None:
    requests = [_incoming('POST', number) for number in range(5)]
    results = asyncio.run(_serve_all(_RaisingServers([]), requests))
    assert {outcome.kind for outcome in results} == {outcomes.Kind.UNKNOWN}


def _assigned(offset: int, owner: ids.ServerId) -> state.LogState:
    return state.LogState(
        next_offset=ids.Offset(offset),
        assignments={
            KEYED: state.Assignment((owner,) * 4, (ids.Fence(offset),) * 4),
        },
    )


@dataclasses.dataclass
class _OwnerOutage:
    """Take down the owner of every shard, then assign a new one."""

    servers: _Servers
    seen: _FastRetryView
    old: ids.ServerId = _listed(1, KEYED).server
    new: ids.ServerId = _listed(2, KEYED).server

    async def serve_through(
        self,
        callers: int,
        deadline_ms: int,
    ) -> list[outcomes.Outcome]:
        self.seen.replace_servers([_listed(1, KEYED), _listed(2, KEYED)])
        await self.seen.advance(_assigned(1, self.old))
        self.servers.down = {self.old}
        serving = request_path.new_pipeline(
            request_path.small_settings(),
            self.servers,
            self.seen,
        )
        calls = [
            asyncio.ensure_future(
                serving.serve(_incoming('POST', number, 'k', deadline_ms)),
            )
            for number in range(callers)
        ]
        done, _ = await asyncio.wait(calls, timeout=0.6)
        if len(done) < callers:
            await self.seen.advance(_assigned(2, self.new))
        return list(await asyncio.gather(*calls))


async def test_owner_that_the_list_leaves_out_still_gets_its_requests() -> None:
    servers = _Servers([])
    seen = _FastRetryView()
    owner = _listed(1, KEYED)
    seen.replace_servers([owner, _listed(2, KEYED)])
    await seen.advance(_assigned(1, owner.server))
    seen.replace_servers([_listed(2, KEYED)])
    config = request_path.small_settings()
    serving = request_path.new_pipeline(config, servers, seen)
    for number in range(2):
        outcome = await serving.serve(_incoming('POST', number, 'k'))
        assert outcome.kind is outcomes.Kind.ANSWERED
    assert servers.sent_to == [owner.server] * 2


async def test_second_send_to_a_server_counts_as_repeated() -> None:
    servers = _Servers(['shed'])
    seen = _FastRetryView()
    owner = _listed(1, KEYED)
    seen.replace_servers([owner])
    await seen.advance(_assigned(1, owner.server))
    serving = request_path.new_pipeline(
        request_path.small_settings(), servers, seen
    )
    outcome = await serving.serve(_incoming('POST', 1, 'k'))
    assert outcome.kind is outcomes.Kind.ANSWERED
    assert servers.sent_to == [owner.server] * 2
    assert servers.repeated == [False, True]


async def test_request_waits_for_a_new_owner_that_is_due_in_time() -> None:
    servers = _Servers([])
    results = await _OwnerOutage(servers, _FastRetryView()).serve_through(
        50, 5000
    )
    assert {outcome.kind for outcome in results} == {outcomes.Kind.ANSWERED}
    assert max(servers.ran.values()) == 1
    # 50 first attempts, 50 at the new owner, and retries from the budget.
    assert len(servers.sent_to) <= 50 + 50 + 20 + 10


async def test_request_whose_deadline_precedes_a_new_owner_is_refused() -> None:
    servers = _Servers([])
    results = await _OwnerOutage(servers, _FastRetryView()).serve_through(
        50, 1500
    )
    assert {outcome.kind for outcome in results} == {outcomes.Kind.NOT_RUN}
    assert all(
        outcome.retry_after_ms >= 1000
        for outcome in results
        if isinstance(outcome, outcomes.NotRun)
    )


async def test_no_more_requests_wait_than_the_queue_holds() -> None:
    servers = _Servers([])
    most = profiles.Limits().queue_length
    results = await _OwnerOutage(servers, _FastRetryView()).serve_through(
        most + 40, 5000
    )
    kinds = collections.Counter(outcome.kind for outcome in results)
    assert kinds[outcomes.Kind.ANSWERED] <= most
    assert kinds[outcomes.Kind.NOT_RUN] >= 40
    codes = {outcome.code for outcome in results}
    assert codes <= {
        result_codes.ResultCode.ANSWERED,
        result_codes.ResultCode.SERVER_UNREACHABLE,
    }

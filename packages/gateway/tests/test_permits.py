"""Check how instances without a full mesh share the servers' capacity."""

import asyncio
import typing

import pytest

from sycamoreferry_core.fleet import message_intervals
from sycamoreferry_core.traffic import permits, server_choice
from sycamoreferry_gateway import http_client, peer_messages
from sycamoreferry_ports import boot_clock

KEY = 4_000
SLOTS = 2
OBJECTIVE_MS = 500
ASSUMED_DURATION_MS = 100
INSTANCES = 4


@pytest.fixture(autouse=True)
def _no_mesh(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(message_intervals, '_MAX_MESH_PEERS', 0)


async def _call(cluster: typing.Any, number: int, request_id: str) -> int:
    target = cluster.instances[number % len(cluster.instances)]
    payload = cluster.encode_request(request_id, KEY, deadline_ms=3_000)
    pool = http_client.ConnectionPool(boot_clock.BootClock())
    address = target._deployment.request_address
    reply = await pool.exchange(address, payload, 4_000)
    assert not isinstance(reply, http_client.FailedExchange)
    return reply.status


async def _start(cluster: typing.Any) -> None:
    await cluster.start(servers=2, instances=INSTANCES)
    await cluster.wait_until(cluster.is_covered)
    await cluster.wait_until(
        lambda: all(
            one.is_ready
            and len(one._view.peer_addresses) == INSTANCES - 1
            and one._view.owner_of('keys', KEY) is not None
            for one in cluster.instances
        ),
    )


def _owner(cluster: typing.Any) -> typing.Any:
    (name,) = cluster.owners(KEY)
    return next(one for one in cluster.servers if one.name == name)


async def test_one_key_through_many_instances_does_not_overrun_its_server(
    cluster: typing.Any,
) -> None:
    await _start(cluster)
    server = _owner(cluster)
    server.processing_time_s = 0.05
    statuses = await asyncio.gather(
        *(_call(cluster, number, f'r{number}') for number in range(40)),
    )
    assert server.peak_running <= server_choice.capacity_of(SLOTS)
    # What two slots can run within the objective at 100 ms a request, the
    # duration that is assumed until the first answers arrive.
    possible = (
        SLOTS * (OBJECTIVE_MS - ASSUMED_DURATION_MS) // ASSUMED_DURATION_MS
    )
    assert statuses.count(200) >= possible
    assert set(statuses) <= {200, 503}


async def test_lost_permit_returns_are_sent_again(
    cluster: typing.Any,
) -> None:
    await _start(cluster)
    lost: list[int] = []
    for instance in cluster.instances:
        permit_returns = instance._dispatcher.permits.returns
        permit_returns.post = _LossyPost(permit_returns.post, lost)
    server = _owner(cluster)
    server.processing_time_s = 0.02
    for number in range(3 * server_choice.capacity_of(SLOTS)):
        assert await _call(cluster, number, f'r{number}') == 200
    assert lost
    await cluster.wait_until(
        lambda: (
            not any(
                instance._dispatcher.permits.returns.unconfirmed_count
                for instance in cluster.instances
            )
        ),
        limit_s=1,
    )


async def test_requests_succeed_after_the_counting_instance_is_killed(
    cluster: typing.Any,
) -> None:
    await _start(cluster)
    requester = cluster.instances[0]
    server_name = _owner(cluster).name
    home = requester._dispatcher.permits.counting.of_line(server_name)
    number = [one._deployment.instance for one in cluster.instances].index(home)
    others = [index for index in range(INSTANCES) if index != number]
    await cluster.kill(number)
    for index in others:
        assert await _call(cluster, index, f'r{index}') == 200


async def test_restarted_instance_knows_all_peers_within_a_second(
    cluster: typing.Any,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    await _start(cluster)
    # Heartbeats as rare as with some 150 peers.
    monkeypatch.setattr(message_intervals, '_HEARTBEAT_MS_PER_PEER', 1_000)
    await cluster.kill(1)
    again = cluster.restart(1)
    await cluster.wait_until(
        lambda: again._view.peers.count(again._clock.now()) == INSTANCES,
        limit_s=1,
    )


class _LossyPost:
    """Drop the first transmission of each permit return."""

    def __init__(self, post: typing.Any, lost: list[int]) -> None:
        self._post = post
        self._lost = lost
        self._seen: set[int] = set()

    def __call__(self, instance: typing.Any, message: typing.Any) -> None:
        is_return = isinstance(message, peer_messages.PermitReturn)
        if is_return and message.number not in self._seen:
            self._seen.add(message.number)
            self._lost.append(message.number)
            return
        self._post(instance, message)


async def test_request_is_rejected_in_time_if_permit_messages_are_lost(
    cluster: typing.Any,
) -> None:
    await _start(cluster)
    requester = cluster.instances[0]
    server_name = _owner(cluster).name
    if (
        requester._dispatcher.permits.counting.of_line(server_name)
        == requester._deployment.instance
    ):
        requester = cluster.instances[1]
    requester._dispatcher.permits.returns.post = _drop_message
    started = requester._clock.now()
    status = await _call(cluster, cluster.instances.index(requester), 'r1')
    assert status == 503
    # The route times out after 1.5 s, of which a request may wait 70 % before
    # it is sent; 200 ms of margin.
    assert requester._clock.now() - started <= 1_500 * 0.7 + 200


def _drop_message(_instance: typing.Any, _message: typing.Any) -> None:
    """Drop a message."""


async def test_owner_that_fails_is_sent_one_request_at_a_time(
    cluster: typing.Any,
) -> None:
    await _start(cluster)
    counter = cluster.instances[0]._permit_service
    verdicts: list[str] = []
    counter._post = _VerdictRecorder(verdicts)
    name = _owner(cluster).name
    for number in range(2):
        counter.handle_request(_ask(name, number))
        counter.handle_return(_return(name, number, failed=name))
    counter.handle_request(_ask(name, 2))
    counter.handle_return(_return(name, 2, answered=name))
    counter.handle_request(_ask(name, 3))
    counter.handle_return(_return(name, 3, failed=name))
    # Not limited yet: an answer came between the failures.
    verdicts.clear()
    for number in (4, 5):
        counter.handle_request(_ask(name, number))
    assert verdicts == ['granted', 'granted']
    for number in (4, 5):
        counter.handle_return(_return(name, number, failed=name))
    verdicts.clear()
    for number in (6, 7):
        counter.handle_request(_ask(name, number))
    assert verdicts == ['granted', 'queued']


async def test_links_lost_by_the_counting_instance_limit_no_other_instance(
    cluster: typing.Any,
) -> None:
    await _start(cluster)
    counting = cluster.instances[0]
    verdicts: list[str] = []
    counting._permit_service._post = _VerdictRecorder(verdicts)
    name = _owner(cluster).name
    now = counting._clock.now()
    counting._loads.reachability.record_probe(now, has_reached=False)
    for _ in range(3):
        counting._loads.record_failure(name, now)
    for number in (1, 2):
        counting._permit_service.handle_request(_ask(name, number))
    assert verdicts == ['granted', 'granted']


class _LateIssuer:
    """Record the messages to a counting instance that answers late."""

    def __init__(self) -> None:
        self.asked: list[peer_messages.PermitRequest] = []
        self.returned: list[peer_messages.PermitReturn] = []

    def __call__(self, _instance: typing.Any, message: typing.Any) -> None:
        is_return = isinstance(message, peer_messages.PermitReturn)
        (self.returned if is_return else self.asked).append(message)


async def test_permit_for_a_server_that_leaves_meanwhile_is_returned_unused(
    cluster: typing.Any, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(message_intervals, '_MAX_MESH_PEERS', -1)
    await cluster.start(servers=2, instances=1, is_keyed=False)
    instance = cluster.instances[0]
    await cluster.wait_until(lambda: instance.is_ready)
    client = instance._dispatcher.permits
    issuer = _LateIssuer()
    client.returns.post = issuer
    call = asyncio.create_task(_call(cluster, 0, 'r1'))
    await cluster.wait_until(lambda: bool(issuer.asked))
    leaving = cluster.servers[0]
    leaving.register('draining')
    await instance._sync._read_topic('keyed.servers', 0)
    first = issuer.asked[0].number
    client.handle_answer(_grant(first, leaving.name))
    await cluster.wait_until(lambda: issuer.asked[-1].number != first)
    assert [one.number for one in issuer.returned] == [first]
    assert not issuer.returned[0].answered
    assert not issuer.returned[0].failed
    assert issuer.asked[-1].excluded == [leaving.name]
    client.handle_answer(_grant(issuer.asked[-1].number, 's1'))
    assert await call == 200
    assert not leaving.ran


def _grant(number: int, server: str) -> peer_messages.PermitAnswer:
    verdict = permits.PermitVerdict.GRANTED.value
    return peer_messages.PermitAnswer(
        number, verdict, server, 0, SLOTS, ASSUMED_DURATION_MS
    )


def _ask(name: str, number: int) -> peer_messages.PermitRequest:
    return peer_messages.PermitRequest(
        instance='asking',
        number=number,
        line=name,
        server=name,
        service='keys',
        pool=0,
        slots=SLOTS,
        duration_ms=ASSUMED_DURATION_MS,
        priority=1,
        waited_ms=0,
        objective_in_ms=OBJECTIVE_MS,
        ends_in_ms=3_000,
        data_centre='here',
        excluded=[],
        has_large_answer=False,
    )


def _return(
    name: str,
    number: int,
    failed: str = '',
    answered: str = '',
) -> peer_messages.PermitReturn:
    return peer_messages.PermitReturn('asking', number, name, failed, answered)


class _VerdictRecorder:
    """Record the verdicts of the permit answers that are sent."""

    def __init__(self, verdicts: list[str]) -> None:
        self._verdicts = verdicts

    def __call__(self, instance: typing.Any, message: typing.Any) -> None:
        if isinstance(message, peer_messages.PermitAnswer):
            self._verdicts.append(message.verdict)

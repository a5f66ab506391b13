"""Check requests that an instance without links to servers relays to others."""

import asyncio
import typing

import pytest

from sycamoreferry_core.fleet import message_intervals
from sycamoreferry_core.traffic import reachability
from sycamoreferry_gateway import http_client, relay_messages
from sycamoreferry_ports import boot_clock

KEY = 4_000


class _CutOff(reachability.Reachability):
    """Report that no server can be reached, whatever probes find."""

    @property
    def is_cut_off(self) -> bool:
        return True


async def _start(cluster: typing.Any, kind: str, instances: int = 3) -> None:
    """Start instances of which the first takes itself for cut off."""
    await cluster.start(servers=2, instances=instances, kind=kind)
    await cluster.wait_until(cluster.is_covered)
    await cluster.wait_until(
        lambda: all(
            one.is_ready
            and len(one._view.peers.alive(one._clock.now())) == instances - 1
            for one in cluster.instances
        ),
    )
    cluster.instances[0]._loads.reachability = _CutOff()


async def _exchange(
    cluster: typing.Any, payload: bytes, port: int | None = None
) -> typing.Any:
    pool = http_client.ConnectionPool(boot_clock.BootClock())
    settings = cluster.instances[0]._deployment
    address = settings.request_address
    if port is not None:
        address = type(address)(settings.host, port)
    return await pool.exchange(address, payload, 3_000)


def _ran(cluster: typing.Any) -> list[str]:
    return [name for server in cluster.servers for name, _ in server.ran]


@pytest.mark.parametrize('mesh_peers', [16, 0], ids=['mesh', 'permits'])
async def test_relayed_request_is_answered_by_the_server_that_ran_it(
    cluster: typing.Any, monkeypatch: pytest.MonkeyPatch, mesh_peers: int
) -> None:
    monkeypatch.setattr(message_intervals, '_MAX_MESH_PEERS', mesh_peers)
    await _start(cluster, 'unsafe')
    payload = cluster.encode_request('r1', KEY, method='POST')
    reply = await _exchange(cluster, payload)
    assert reply.status == 200
    assert [reply.body.decode()] == cluster.owners(KEY)
    assert reply.header('response-seal') == 'seal'
    assert _ran(cluster) == ['r1']


async def test_relayed_request_is_answered_if_its_peer_stops_meanwhile(
    cluster: typing.Any,
) -> None:
    await _start(cluster, 'unsafe', instances=2)
    for server in cluster.servers:
        server.processing_time_s = 0.5
    payload = cluster.encode_request('r1', KEY, method='POST')
    call = asyncio.create_task(_exchange(cluster, payload))
    await cluster.wait_until(lambda: bool(_ran(cluster)))
    cluster.instances[1].request_stop(asyncio.get_running_loop())
    assert (await call).status == 200


async def test_relayed_request_is_ended_if_its_caller_leaves(
    cluster: typing.Any,
) -> None:
    await _start(cluster, 'safe')
    for server in cluster.servers:
        server.processing_time_s = 5
    payload = cluster.encode_request('r1', KEY)
    call = asyncio.create_task(_exchange(cluster, payload))
    await cluster.wait_until(lambda: bool(_ran(cluster)))
    call.cancel()
    # The platform allows a server half a second more.
    await cluster.wait_until(
        lambda: not any(server.running for server in cluster.servers),
        limit_s=0.5,
    )


class _LossyPool:
    """Lose relayed requests, before or after they were sent."""

    def __init__(self, pool: typing.Any, *, was_sent: bool, losses: int):
        self._exchange = pool.exchange
        self._was_sent = was_sent
        self.losses = losses

    async def exchange(self, *call: typing.Any) -> typing.Any:
        if not self.losses:
            return await self._exchange(*call)
        self.losses -= 1
        failure = http_client.ExchangeFailure.RESET
        return http_client.FailedExchange(failure, was_sent=self._was_sent)


@pytest.mark.parametrize(
    ('kind', 'was_sent', 'status', 'runs'),
    [
        ('unsafe', False, 200, 1),
        ('unsafe', True, 502, 0),
        ('safe', True, 200, 1),
    ],
)
async def test_lost_relay_is_repeated_only_if_the_request_may_run_again(
    cluster: typing.Any, kind: str, status: int, runs: int, *, was_sent: bool
) -> None:
    await _start(cluster, kind)
    relay = cluster.instances[0]._request_handler.relay
    relay.pool.exchange = _LossyPool(
        relay.pool, was_sent=was_sent, losses=1
    ).exchange
    payload = cluster.encode_request('r1', KEY, method='POST')
    reply = await _exchange(cluster, payload)
    assert reply.status == status
    assert len(_ran(cluster)) == runs


async def test_request_is_served_directly_if_no_peer_reaches_servers(
    cluster: typing.Any,
) -> None:
    await _start(cluster, 'unsafe', instances=1)
    payload = cluster.encode_request('r1', KEY, method='POST')
    reply = await _exchange(cluster, payload)
    assert reply.status == 200


async def test_relayed_request_with_a_newer_configuration_does_not_run(
    cluster: typing.Any,
) -> None:
    await _start(cluster, 'safe')
    relayed = relay_messages.RelayedRequest(
        method='GET',
        target='/k/a',
        headers=[('Host', 'h'), ('Request-Id', 'r1'), ('Shard-Key', '7')],
        body=b'',
        caller='127.0.0.1',
        elapsed_ms=0,
        service='keys',
        earlier_runs=0,
        config_version=2,
    )
    envelope = http_client.encode_request(
        'POST',
        relay_messages.RELAY_PATH,
        (('Host', 'i0'),),
        relay_messages.encode(relayed),
    )
    peer_port = cluster.instances[0]._deployment.peer_port
    reply = await _exchange(cluster, envelope, peer_port)
    assert relay_messages.decode_answer(reply.body).status == 503
    assert not _ran(cluster)


@pytest.mark.parametrize(('path', 'status'), [('/relay', 400), ('/other', 404)])
async def test_malformed_relayed_request_is_rejected(
    cluster: typing.Any, path: str, status: int
) -> None:
    await _start(cluster, 'safe')
    envelope = http_client.encode_request(
        'POST', path, (('Host', 'i0'),), b'\xc1'
    )
    peer_port = cluster.instances[0]._deployment.peer_port
    reply = await _exchange(cluster, envelope, peer_port)
    assert reply.status == status


async def test_links_lost_by_an_instance_count_as_no_crash_of_a_server(
    cluster: typing.Any,
) -> None:
    await _start(cluster, 'unsafe', instances=1)
    instance = cluster.instances[0]
    instance._pool.exchange = _LossyPool(
        instance._pool, was_sent=True, losses=1
    ).exchange
    payload = cluster.encode_request('r1', KEY, method='POST')
    assert (await _exchange(cluster, payload)).status == 502
    now = instance._clock.now()
    for life in instance._view.fleet.incarnations:
        assert not instance._view.crashes.confirm_crashes(life, now)

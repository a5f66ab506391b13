"""Check that no caller is told that a request did not run if it may have.

A server's answer with such a status, but without its word that the request did
not run, was passed on to the caller.
"""

import asyncio
import typing

import pytest

from sycamoreferry_core import http_messages
from sycamoreferry_gateway import http_client
from sycamoreferry_ports import boot_clock

KEY = 7
# These tell a caller that its request has not run and never will.
REFUSALS = frozenset((408, 421, 429, 503))
CALLS = 3


async def _start(
    cluster: typing.Any, kind: str, *, is_keyed: bool
) -> typing.Any:
    await cluster.start(servers=1, instances=1, kind=kind, is_keyed=is_keyed)
    only = cluster.instances[0]
    await cluster.wait_until(
        lambda: only.is_ready and (not is_keyed or cluster.is_covered())
    )
    return only


@pytest.mark.parametrize('status', sorted(REFUSALS))
@pytest.mark.parametrize('kind', ['unsafe', 'safe', 'download'])
@pytest.mark.parametrize('is_keyed', [True, False], ids=['keyed', 'any'])
async def test_request_that_ran_is_not_refused_with_the_status_of_its_server(
    cluster: typing.Any, status: int, kind: str, *, is_keyed: bool
) -> None:
    only = await _start(cluster, kind, is_keyed=is_keyed)
    server = cluster.servers[0]
    server.status = status
    pool = http_client.ConnectionPool(boot_clock.BootClock())
    for number in range(CALLS):
        name = f'r{number}'
        reply = await pool.exchange(
            only._deployment.request_address,
            cluster.encode_request(name, KEY, method='POST'),
            3_000,
        )
        assert isinstance(reply, http_messages.HttpResponse)
        runs = [ran for ran, _ in server.ran if ran == name]
        assert reply.status not in REFUSALS or not runs
        assert len(runs) < 2 or kind != 'unsafe'


CHUNKED = (
    b'POST /k/a HTTP/1.1\r\nHost: h\r\nRequest-Id: r\r\nDeadline-Ms: 2000\r\n'
    b'Shard-Key: 7\r\nTransfer-Encoding: chunked\r\n\r\n'
)


@pytest.mark.parametrize(
    ('parts', 'status'),
    [
        ([b'5\r\nabcde\r\n', b'0\r\n\r\n'], 200),
        ([b'5\r\nabcde\r\n'], 408),
        ([b'5\r\nabc'], 408),
        ([b'zz\r\n'], 400),
        ([b'5\r\nabcde\r\n', b'x'], 400),
        ([b'f4250\r\n', b'a' * 999_999, b'a\r\n'], 413),
    ],
    ids=['whole', 'no end', 'no chunk', 'no length', 'bad length', 'too long'],
)
async def test_upload_in_chunks_that_is_refused_does_not_run(
    cluster: typing.Any, parts: list[bytes], status: int
) -> None:
    only = await _start(cluster, 'unsafe', is_keyed=True)
    address = only._deployment.request_address
    reader, writer = await asyncio.open_connection(address.host, address.port)
    writer.write(CHUNKED)
    for part in parts:
        writer.write(part)
        await asyncio.sleep(0.02)
    answer = await asyncio.wait_for(reader.readline(), 6)
    assert int(answer.split()[1]) == status
    # What comes after a refusal is not run either.
    writer.write(b'\r\n0\r\n\r\n')
    await asyncio.sleep(0.1)
    assert len(cluster.servers[0].ran) == (status == 200)
    writer.close()


@pytest.mark.parametrize('is_stopping', [False, True], ids=['time', 'stop'])
async def test_request_at_a_server_is_not_refused_when_its_time_is_over(
    cluster: typing.Any, *, is_stopping: bool
) -> None:
    only = await _start(cluster, 'unsafe', is_keyed=True)
    server = cluster.servers[0]
    server.processing_time_s = 5
    pool = http_client.ConnectionPool(boot_clock.BootClock())
    call = asyncio.create_task(
        pool.exchange(
            only._deployment.request_address,
            cluster.encode_request('r', KEY, method='POST'),
            9_000,
        )
    )
    await cluster.wait_until(lambda: bool(server.running))
    if is_stopping:
        only.request_stop(asyncio.get_running_loop())
    reply = await call
    assert isinstance(reply, http_messages.HttpResponse)
    assert reply.status in {502, 504}

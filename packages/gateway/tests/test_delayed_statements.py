"""Check that statements of rate limits keep their age while messages wait."""

import asyncio
import typing

import pytest

from sycamoreferry_core import ids
from sycamoreferry_core.fleet import servers

SERVER = servers.ServerIncarnation(
    ids.ServerId('s0'), servers.IncarnationNumber(1)
)
SENDER = ('127.0.0.1', 1)


async def _start(cluster: typing.Any) -> list[typing.Any]:
    await cluster.start(servers=1, instances=2, is_keyed=False)
    await cluster.wait_until(
        lambda: all(
            one._view.peers.alive(one._clock.now()) for one in cluster.instances
        ),
    )
    return list(cluster.instances)


def _limits(instance: typing.Any) -> typing.Any:
    return instance._loads.rate_limits


def _lifted(instance: typing.Any) -> typing.Any:
    """Return a heartbeat which says that the limit was lifted just now."""
    now = instance._clock.now()
    _limits(instance).record_limit(SERVER, 4, now)
    _limits(instance).record_no_limit(SERVER, now)
    return instance._exchange._heartbeats.build(None, is_leaving=False)


@pytest.mark.parametrize('waits', [True, False])
async def test_statement_that_waited_lifts_a_newer_limit(
    cluster: typing.Any, *, waits: bool
) -> None:
    sender, receiver = await _start(cluster)
    # Limits are told by the messages of this test alone.
    handler = receiver._exchange._socket._handler
    receiver._exchange._socket._handler = lambda *_: None
    message = _lifted(sender)
    if waits:
        await asyncio.sleep(0.6)
    _limits(receiver).record_limit(SERVER, 4, receiver._clock.now())
    if not waits:
        await asyncio.sleep(0.05)
        message = _lifted(sender)
    await asyncio.sleep(0.2)
    handler(message, SENDER)
    assert (_limits(receiver).get(SERVER.server) is not None) == waits

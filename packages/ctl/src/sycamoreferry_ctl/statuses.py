"""Ask every routing instance for its status."""

import asyncio
import dataclasses
import typing

from sycamoreferry_core import clock, ids, state
from sycamoreferry_peer import client
from sycamoreferry_peer.generated import peer_pb2

PEER_TIMEOUT_MS = 1000
POLL_MS = 100


@dataclasses.dataclass(frozen=True)
class InstanceStatus:
    """Pair a joined instance with its reply, if it answered."""

    instance: state.InstanceState
    reply: peer_pb2.StatusReply | None


async def ask_all(log_state: state.LogState) -> tuple[InstanceStatus, ...]:
    """Return the status of every instance that joined and did not leave."""
    peers = client.PeerClient(PEER_TIMEOUT_MS)
    try:
        return await _ask(peers, tuple(log_state.instances.values()))
    finally:
        peers.close()


async def _ask(
    peers: client.PeerClient,
    instances: typing.Sequence[state.InstanceState],
) -> tuple[InstanceStatus, ...]:
    addresses = [
        client.PeerAddress(joined.peer_host, joined.peer_port)
        for joined in instances
    ]
    replies = await asyncio.gather(*map(peers.status, addresses))
    return tuple(map(InstanceStatus, instances, replies))


def number_in_force(
    reply: peer_pb2.StatusReply,
    name: ids.ProfileName,
) -> ids.ProfileNumber:
    """Return the number of a profile that an instance has in force."""
    for held in reply.profiles:
        if held.name == name:
            return ids.ProfileNumber(held.number)
    return ids.NO_PROFILE_NUMBER


async def wait_for_profile(
    log_state: state.LogState,
    name: ids.ProfileName,
    number: ids.ProfileNumber,
    limit_ms: int,
) -> tuple[ids.InstanceId, ...]:
    """Wait until every instance has a number; return those that have not."""
    missing = tuple(log_state.instances)
    try:
        async with asyncio.timeout(clock.seconds(limit_ms)):
            while missing:
                missing = _missing(await ask_all(log_state), name, number)
                await asyncio.sleep(clock.seconds(POLL_MS if missing else 0))
    except TimeoutError:
        return missing
    return ()


def _missing(
    asked: typing.Iterable[InstanceStatus],
    name: ids.ProfileName,
    number: ids.ProfileNumber,
) -> tuple[ids.InstanceId, ...]:
    return tuple(
        status.instance.instance
        for status in asked
        if status.reply is None or number_in_force(status.reply, name) < number
    )

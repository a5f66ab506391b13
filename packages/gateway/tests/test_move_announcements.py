"""Check that a plan of many moves costs the other instances few messages.

With a message for each range, 60 moves in one plan kept a coordinator of 195
instances from being heard, so plans were held to 12 moves and hot ranges of
keys stayed on overloaded servers.
"""

import asyncio

import msgspec

from sycamoreferry_core import clock, ids
from sycamoreferry_core.fleet import deployment
from sycamoreferry_core.keyspace import owners, placement
from sycamoreferry_gateway import (
    event_log,
    move_announcements,
    peer_messages,
    peer_socket,
    view,
)

SERVICE = ids.ServiceName('v')
RANGES = [
    owners.KeyRange(owners.Key(first), owners.Key(first + 9))
    for first in range(0, placement.DEFAULT_POLICY.max_moves * 10, 10)
]
WAIT_S = 0.1


class _EarlierKeysMoving(msgspec.Struct, array_like=True, tag='moving'):
    """Read an announcement as the versions with one range for each do."""

    service: str
    first: int
    last: int
    is_over: bool


async def _announced(
    settings: deployment.Deployment, log: event_log.EventLog
) -> list[peer_messages.PeerMessage]:
    sent: list[peer_messages.PeerMessage] = []
    own_view = view.View(settings, clock.ManualClock(), log)
    announcer = move_announcements.MoveAnnouncer(own_view, sent.append)
    for keys in RANGES:
        announcer.begin(SERVICE, keys)
    await asyncio.sleep(0)
    assert len(sent) == 1
    for keys in RANGES:
        announcer.end(SERVICE, keys)
    await asyncio.sleep(WAIT_S)
    return sent


async def test_moves_of_a_plan_share_their_messages(
    sample_deployment: deployment.Deployment, quiet_log: event_log.EventLog
) -> None:
    sent = await _announced(sample_deployment, quiet_log)
    rows: dict[bool, list[tuple[int, int]]] = {False: [], True: []}
    for message in sent:
        assert isinstance(message, peer_messages.KeysMoving)
        rows[message.is_over].append((message.first, message.last))
        rows[message.is_over].extend(
            (first, last) for _, first, last in message.others
        )
    moved = [(keys.first, keys.last) for keys in RANGES]
    assert rows == {False: moved, True: moved}
    # The end of the range that earlier versions read is sent by itself.
    assert len(sent) == 3


async def test_earlier_readers_see_the_end_of_each_move_that_they_see_begin(
    sample_deployment: deployment.Deployment, quiet_log: event_log.EventLog
) -> None:
    # A key that moves has no owner there until its end is read.
    seen: dict[bool, set[int]] = {False: set(), True: set()}
    for message in await _announced(sample_deployment, quiet_log):
        earlier = msgspec.msgpack.decode(
            peer_messages.encode(message), type=_EarlierKeysMoving
        )
        seen[earlier.is_over].add(earlier.first)
    assert seen[False] <= seen[True]


async def test_announcement_fits_a_datagram_and_earlier_readers(
    sample_deployment: deployment.Deployment, quiet_log: event_log.EventLog
) -> None:
    for message in await _announced(sample_deployment, quiet_log):
        encoded = peer_messages.encode(message)
        assert len(encoded) < peer_socket.MAX_DATAGRAM_BYTES
        earlier = msgspec.msgpack.decode(encoded, type=_EarlierKeysMoving)
        assert earlier.last == earlier.first + 9

"""Share a server's rate limit among the instances that count for it.

Load pattern: instances that don't hear each other ask different instances for
permits, each of which counts the requests that it knows of. So each instance
assigns its part of a limit to the one that it asks, and one that counts grants
only the parts that are assigned to it. All parts add up to the limit.
"""

from sycamoreferry_core import clock, ids
from sycamoreferry_core.fleet import instances


def share_of(
    server: ids.ServerId,
    own: ids.InstanceId,
    own_counter: ids.InstanceId,
    peers: instances.Peers,
    now: clock.Millis,
    registered: int = 0,
) -> float:
    """Return the share of a server's limit that this instance may grant.

    `registered` counts other instances that the store lists; those that were
    never heard, or not for long, may count for servers as well.
    """
    members = peers.members(now)
    assigned = int(own_counter == own)
    for peer in members:
        if not peers.is_silent(peer, now):
            assigned += _counter_of(peer, server, own_counter, peers) == own
    return assigned / (max(len(members), registered) + 1)


def _counter_of(
    peer: instances.PeerStatus,
    server: ids.ServerId,
    own_counter: ids.InstanceId,
    peers: instances.Peers,
) -> ids.InstanceId:
    """Return the instance that a peer asks, or will ask next."""
    stated = peer.counters.get(server)
    if stated is None:
        return own_counter
    counter = peers.status(stated)
    if counter is not None and counter.is_leaving:
        return own_counter
    return stated

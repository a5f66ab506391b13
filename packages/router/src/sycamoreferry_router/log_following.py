"""Put together the parts that follow the log."""

import random
import typing

import aiohttp

from sycamoreferry_core import clock, ids, snapshots
from sycamoreferry_peer import client as peer_client
from sycamoreferry_ports import http_log
from sycamoreferry_router import relay, settings, snapshot_loop, tail, view


class LogFollowing:
    """Follow the log or peers, and write snapshots."""

    def __init__(
        self,
        chosen: settings.Settings,
        session: aiohttp.ClientSession,
        me: ids.InstanceId,
        seen: view.InstanceView,
        peers: peer_client.PeerClients,
        timer: clock.Clock,
    ) -> None:
        platform = chosen.platform
        self.relay = relay.Relay(seen, peers, _seeds(chosen), random.Random())
        self.tail = tail.Tail(
            http_log.HttpLog(session, platform.log_url, platform.stream),
            seen,
            self.relay,
            platform.tail_wait_ms,
        )
        self._snapshots = snapshot_loop.SnapshotLoop(
            me,
            seen,
            self.tail,
            timer,
            snapshots.SnapshotPolicy(
                records=platform.snapshot_records,
                interval_ms=platform.snapshot_interval_ms,
                patience_ms=platform.snapshot_patience_ms,
            ),
        )

    def background(
        self,
    ) -> tuple[typing.Coroutine[typing.Any, typing.Any, None], ...]:
        """Return the work that goes on until it is cancelled."""
        return (
            self.tail.run(),
            self.tail.run_relay(),
            self._snapshots.run(),
        )


def _seeds(
    chosen: settings.Settings,
) -> tuple[peer_client.PeerAddress, ...]:
    return tuple(
        peer_client.PeerAddress(str(peer.host), peer.port)
        for peer in chosen.peers
    )

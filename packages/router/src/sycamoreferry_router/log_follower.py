"""Build the components that follow the log."""

import random

import aiohttp

from sycamoreferry_core import clock, ids, snapshots
from sycamoreferry_peer import client as peer_client
from sycamoreferry_ports import http_log
from sycamoreferry_router import (
    peer_sync,
    settings,
    snapshot_loop,
    supervision,
    tail,
    view,
)


class LogFollower:
    """Follow the log, or peers during an outage, and write snapshots."""

    def __init__(
        self,
        config: settings.Settings,
        session: aiohttp.ClientSession,
        instance_id: ids.InstanceId,
        instance_view: view.InstanceView,
        peers: peer_client.PeerClient,
        time_source: clock.Clock,
    ) -> None:
        platform = config.platform
        self.relay = peer_sync.PeerSync(
            instance_view, peers, _peer_addresses(config), random.Random()
        )
        self.tail = tail.Tail(
            http_log.HttpLog(session, platform.log_url, platform.stream),
            instance_view,
            self.relay,
            platform.tail_wait_ms,
        )
        self._snapshots = snapshot_loop.SnapshotLoop(
            instance_id,
            instance_view,
            self.tail,
            time_source,
            snapshots.SnapshotPolicy(
                records=platform.snapshot_records,
                interval_ms=platform.snapshot_interval_ms,
                patience_ms=platform.snapshot_patience_ms,
            ),
        )

    def parts(self) -> tuple[supervision.Work, ...]:
        """Return the parts that run until they are cancelled."""
        return (self.tail.run, self.tail.run_relay, self._snapshots.run)


def _peer_addresses(
    config: settings.Settings,
) -> tuple[peer_client.PeerAddress, ...]:
    return tuple(
        peer_client.PeerAddress(str(peer.host), peer.port)
        for peer in config.peers
    )

"""Decide how load reports and heartbeats reach all instances.

Load pattern: with a few instances, each reports to all others directly. With
many, the number of messages would grow with the square of their number, so each
reports its load to the coordinator alone, which sends the totals to all.
"""

import dataclasses

# Up to this many peers, every instance reports to every other.
_MAX_MESH_PEERS = 16
_MESH_INTERVAL_MS = 50
# Bounds the age of a load report when it reaches the coordinator.
_REPORT_INTERVAL_MS = 150
_SUMMARY_INTERVAL_MS = 300
# Above this many peers, the summaries are sent less often, so that those of
# all servers to all instances don't fill the link of the coordinator. Requests
# in flight count no longer if a report is older than 1.5 s.
_SUMMARY_PEERS = 30
_MAX_SUMMARY_INTERVAL_MS = 1_200
_HUB_INTERVAL_MS = 300
# Heartbeats go to every peer; an interval in proportion to the number of peers
# keeps the number of messages a second constant.
_HEARTBEAT_MS_PER_PEER = 20
# The coordinator receives heartbeats of all instances at a constant rate.
_LIVENESS_MS_PER_PEER = 2
_MISSED_HEARTBEATS = 4
_MESH_PEER_TIMEOUT_MS = 900
# A peer that missed more heartbeats may ask other instances for permits.
_SHARED_HEARTBEATS = 2.2
# Above this many peers, each instance calls the store less often.
_STORE_CALL_PEERS = 30


@dataclasses.dataclass(frozen=True, slots=True)
class MessageIntervals:
    """Set the intervals of messages and the peer timeout in milliseconds."""

    is_mesh: bool
    report_ms: int
    heartbeat_ms: int
    # Of heartbeats of the coordinator.
    hub_ms: int
    # Of heartbeats to the coordinator, and how long one that it does not hear
    # counts as alive.
    liveness_ms: int
    silent_ms: int
    summary_ms: int
    peer_timeout_ms: int
    share_timeout_ms: int

    def is_due(self, elapsed_ms: int, interval_ms: int) -> bool:
        """Tell whether an interval ends at this report or before the next.

        Reports are `report_ms` apart, give or take a millisecond, so the one
        nearest to the end of the interval counts.
        """
        return elapsed_ms + self.report_ms // 2 >= interval_ms


def choose_intervals(peers: int) -> MessageIntervals:
    """Return the message intervals for an instance with this many peers."""
    if peers <= _MAX_MESH_PEERS:
        return MessageIntervals(
            is_mesh=True,
            report_ms=_MESH_INTERVAL_MS,
            heartbeat_ms=_MESH_INTERVAL_MS,
            hub_ms=_MESH_INTERVAL_MS,
            liveness_ms=_MESH_INTERVAL_MS,
            silent_ms=_MESH_PEER_TIMEOUT_MS,
            summary_ms=_MESH_INTERVAL_MS,
            peer_timeout_ms=_MESH_PEER_TIMEOUT_MS,
            share_timeout_ms=_MESH_PEER_TIMEOUT_MS,
        )
    heartbeat_ms = _HEARTBEAT_MS_PER_PEER * peers
    liveness_ms = max(_HUB_INTERVAL_MS, _LIVENESS_MS_PER_PEER * peers)
    return MessageIntervals(
        is_mesh=False,
        report_ms=_REPORT_INTERVAL_MS,
        heartbeat_ms=heartbeat_ms,
        hub_ms=_HUB_INTERVAL_MS,
        liveness_ms=liveness_ms,
        silent_ms=_MISSED_HEARTBEATS * liveness_ms,
        summary_ms=int(
            min(
                _SUMMARY_INTERVAL_MS * max(1, peers / _SUMMARY_PEERS),
                _MAX_SUMMARY_INTERVAL_MS,
            )
        ),
        peer_timeout_ms=_MISSED_HEARTBEATS * heartbeat_ms,
        share_timeout_ms=int(_SHARED_HEARTBEATS * heartbeat_ms),
    )


def scale_store_interval_ms(base_ms: int, peers: int) -> int:
    """Return the interval of store calls, scaled by the number of peers."""
    return int(base_ms * max(1, peers / _STORE_CALL_PEERS))

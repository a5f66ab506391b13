"""Decide how load reports and signs of life reach all instances.

Load pattern: with a few instances each tells all others directly. With many,
the messages grow with the square of their number; then each reports its load to
the coordinator alone, which sends the sums to all.
"""

import dataclasses

# Up to this many peers everyone tells everyone.
_MESH_PEERS = 16
_MESH_MS = 50
# A load report is this old at most when it reaches the coordinator.
_REPORT_MS = 150
_SUMMARY_MS = 300
# Signs of life between all, once a second per so many peers.
_LIFE_MS_PER_PEER = 20
_SILENT_BEATS = 4
_MESH_SILENCE_MS = 900
# Calls of many instances to the store are spread out more.
_PACE_PEERS = 30


@dataclasses.dataclass(frozen=True, slots=True)
class SpreadPlan:
    """Hold how often an instance sends what; times are in milliseconds."""

    is_mesh: bool
    report_ms: int
    life_ms: int
    summary_ms: int
    silence_ms: int


def plan_spreading(peers: int) -> SpreadPlan:
    """Return how an instance with so many peers keeps in touch."""
    if peers <= _MESH_PEERS:
        return SpreadPlan(
            is_mesh=True,
            report_ms=_MESH_MS,
            life_ms=_MESH_MS,
            summary_ms=_MESH_MS,
            silence_ms=_MESH_SILENCE_MS,
        )
    life_ms = _LIFE_MS_PER_PEER * peers
    return SpreadPlan(
        is_mesh=False,
        report_ms=_REPORT_MS,
        life_ms=life_ms,
        summary_ms=_SUMMARY_MS,
        silence_ms=_SILENT_BEATS * life_ms,
    )


def pace_ms(base_ms: int, peers: int) -> int:
    """Return the pace of an instance's calls that all instances make."""
    return int(base_ms * max(1, peers / _PACE_PEERS))

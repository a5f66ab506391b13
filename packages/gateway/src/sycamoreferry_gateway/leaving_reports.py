"""Report the servers that are leaving to other instances."""

import typing

from sycamoreferry_core import ids
from sycamoreferry_core.fleet import servers
from sycamoreferry_gateway import peer_messages, view


def build_rows(cluster_view: view.View) -> list[peer_messages.LeavingRow]:
    """Return the rows that report the leaving servers that are listed."""
    return [
        peer_messages.LeavingRow(incarnation.server, incarnation.born)
        for incarnation in cluster_view.fleet.leaving
    ]


def merge_rows(
    cluster_view: view.View,
    rows: typing.Iterable[peer_messages.LeavingRow],
    source: ids.InstanceId,
) -> None:
    """Record the leaving servers that another instance reports."""
    for row in rows:
        if not 0 <= row.born <= servers.LATEST_INCARNATION:
            # An earlier version reports what another writer's entry says.
            continue
        incarnation = servers.ServerIncarnation(
            ids.ServerId(row.server),
            servers.IncarnationNumber(row.born),
        )
        cluster_view.record_leaving(incarnation, source)

"""Report servers that are assumed to be cold to other instances."""

import typing

from sycamoreferry_core import clock, ids
from sycamoreferry_core.fleet import servers
from sycamoreferry_core.traffic import warm_ups
from sycamoreferry_gateway import peer_messages


def build_rows(
    known: warm_ups.WarmUps,
    now: clock.Millis,
    among: typing.Container[ids.ServerId] | None = None,
) -> list[peer_messages.WarmUpRow]:
    """Return the rows that report assumptions; clocks differ, so by duration.

    What entries state is not reported, since all instances get the entries.
    With `among`, only those servers are reported.
    """
    if known.is_empty:
        return []
    return [
        peer_messages.WarmUpRow(server.server, server.born, until - now)
        for server, until in known.reports(now).items()
        if among is None or server.server in among
    ]


def merge_rows(
    known: warm_ups.WarmUps,
    rows: typing.Iterable[peer_messages.WarmUpRow],
    sent_at: clock.Millis,
) -> None:
    """Apply the assumptions of a peer, which count from a time."""
    for row in rows:
        server = servers.ServerIncarnation(
            ids.ServerId(row.server),
            servers.IncarnationNumber(row.born),
        )
        known.merge_report(server, clock.later(sent_at, row.remaining_ms))

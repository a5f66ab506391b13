"""Report the crashes that requests caused to other instances."""

import typing

from sycamoreferry_core import clock, ids
from sycamoreferry_core.fleet import servers
from sycamoreferry_core.traffic import crashes
from sycamoreferry_gateway import peer_messages


def build_rows(
    known: typing.Iterable[crashes.Crash], now: clock.Millis
) -> list[peer_messages.CrashRow]:
    """Return the rows that report crashes; clocks differ, so by age."""
    return [
        peer_messages.CrashRow(
            crash.signature,
            crash.incarnation.server,
            crash.incarnation.born,
            now - crash.at,
        )
        for crash in known
    ]


def merge_rows(
    history: crashes.CrashHistory,
    rows: typing.Iterable[peer_messages.CrashRow],
    now: clock.Millis,
) -> None:
    """Record the crashes that another instance reports."""
    for row in rows:
        history.record(
            crashes.Crash(
                crashes.Signature(row.signature),
                servers.ServerIncarnation(
                    ids.ServerId(row.server),
                    servers.IncarnationNumber(row.born),
                ),
                clock.later(now, -row.age_ms),
            ),
        )

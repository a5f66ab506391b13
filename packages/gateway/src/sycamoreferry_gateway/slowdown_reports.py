"""Report the slowdowns that servers stated to other instances."""

import typing

from sycamoreferry_core import clock, ids
from sycamoreferry_core.fleet import servers
from sycamoreferry_core.traffic import slowdowns
from sycamoreferry_gateway import peer_messages

_NO_REPORT: tuple[float, int] = (0, 0)
_Fleet = typing.Callable[[ids.ServerId], servers.BackendServer | None]


def fields_of(
    known: slowdowns.Slowdowns,
    server: ids.ServerId | None,
    now: clock.Millis,
) -> tuple[float, int]:
    """Return the fields of a message that report a server's slowdown.

    The second one is the time in ms by this instance's clock.
    """
    report = None if server is None else known.own_report(server, now)
    return _NO_REPORT if report is None else (report.slowdown, report.at)


def merge_return(
    known: slowdowns.Slowdowns,
    get_server: _Fleet,
    returned: peer_messages.PermitReturn,
    sent_at: clock.Millis,
) -> None:
    """Apply the report in a permit return that was sent at a time here."""
    server = get_server(ids.ServerId(returned.answered or returned.failed))
    if server is not None and returned.slowdown:
        age_ms = max(0, returned.sent_at - returned.slowdown_at)
        at = clock.later(sent_at, -age_ms)
        known.merge(server, returned.slowdown, at, counts=True)


def merge_rows(
    known: slowdowns.Slowdowns,
    get_server: _Fleet,
    heartbeat: peer_messages.Heartbeat,
    sent_at: clock.Millis,
) -> None:
    """Apply the reports in a heartbeat that was sent at a time here.

    They are repeated, so they don't count in the mean of a service.
    """
    for row in heartbeat.loads or ():
        server = get_server(ids.ServerId(row.server))
        if server is not None and row.slowdown:
            age_ms = max(0, heartbeat.sent_at - row.slowdown_at)
            at = clock.later(sent_at, -age_ms)
            known.merge(server, row.slowdown, at, counts=False)

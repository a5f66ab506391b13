"""Report the rate limits that servers named to other instances."""

import typing

from sycamoreferry_core import clock, ids
from sycamoreferry_core.fleet import servers
from sycamoreferry_core.traffic import rate_limits
from sycamoreferry_gateway import peer_messages


def build_rows(
    statements: typing.Mapping[
        servers.ServerIncarnation, rate_limits.RateStatement
    ],
    now: clock.Millis,
) -> list[peer_messages.RateLimitRow]:
    """Return the rows that report statements; clocks differ, so by age."""
    return [
        peer_messages.RateLimitRow(
            server.server,
            server.born,
            statement.requests_per_s,
            now - statement.stated_at,
        )
        for server, statement in statements.items()
    ]


def build_server_rows(
    limits: rate_limits.RateLimits,
    chosen: typing.Iterable[ids.ServerId],
    now: clock.Millis,
) -> list[peer_messages.RateLimitRow]:
    """Return the rows of some servers; those that said nothing have none."""
    return build_rows(limits.statements_of(chosen), now)


def merge_rows(
    limits: rate_limits.RateLimits,
    rows: typing.Iterable[peer_messages.RateLimitRow],
    sent_at: clock.Millis,
) -> None:
    """Apply the statements of a peer, whose ages count from a time."""
    for row in rows:
        server = servers.ServerIncarnation(
            ids.ServerId(row.server),
            servers.IncarnationNumber(row.born),
        )
        limits.merge(
            server,
            rate_limits.RateStatement(
                row.requests_per_s, clock.later(sent_at, -row.age_ms)
            ),
        )

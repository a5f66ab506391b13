"""Check how requests are matched to routes and services."""

import collections

import pytest

from sycamoreferry_core import ids
from sycamoreferry_core.traffic import routes

LIMITS = routes.CallerLimits(1, 1, 1, 1)


def _route(
    host: str,
    prefix: str,
    *shares: routes.ServiceShare,
) -> routes.Route:
    return routes.Route(
        routes.RouteName(f'{host}{prefix}'),
        routes.HostName(host),
        prefix,
        routes.RouteKind.SAFE,
        1_000,
        100,
        1,
        2,
        shares,
    )


TABLE = routes.RouteTable(
    routes.RoutingConfig(
        routes.ConfigVersion(1),
        (
            _route('h', '/'),
            _route('h', '/a/'),
            _route('h', '/a/b/'),
            _route('other', '/c/'),
        ),
        {},
        LIMITS,
    ),
)


@pytest.mark.parametrize(
    ('host', 'path', 'expected'),
    [
        ('h', '/a/b/c', 'h/a/b/'),
        ('h', '/a/b/', 'h/a/b/'),
        ('h', '/a/b', 'h/a/'),
        ('h', '/ab', 'h/'),
        ('H:80', '/a/x', 'h/a/'),
        ('other', '/c/x', 'other/c/'),
        ('other', '/d/x', None),
        ('', '/a/', None),
        ('h', 'no-slash', None),
    ],
)
def test_longest_matching_prefix_of_the_host_is_chosen(
    host: str,
    path: str,
    expected: str | None,
) -> None:
    found = TABLE.match(host, path)
    assert getattr(found, 'name', None) == expected


def test_shares_follow_the_weights() -> None:
    first, second = ids.ServiceName('a'), ids.ServiceName('b')
    route = _route(
        'h',
        '/',
        routes.ServiceShare(first, 90),
        routes.ServiceShare(second, 10),
    )
    turns = routes.WeightedRoundRobin()
    counts = collections.Counter(turns.choose(route) for _ in range(200))
    assert counts == {first: 180, second: 20}


def test_only_unsafe_kind_is_not_repeatable() -> None:
    repeatable = [kind for kind in routes.RouteKind if kind.is_retryable]
    assert repeatable == [routes.RouteKind.SAFE, routes.RouteKind.DOWNLOAD]

"""Check how the pools of a service's servers are chosen."""

from sycamoreferry_core import ids
from sycamoreferry_core.fleet import permit_issuers

POOLS = 3
SERVERS = [ids.ServerId(f's{number}') for number in range(130)]


def test_pool_is_drawn_from_those_that_have_a_server_left() -> None:
    left = [
        server
        for server in SERVERS
        if permit_issuers.pool_of(server, POOLS) != 1
    ]
    drawn = [
        permit_issuers.choose_pool(left, POOLS, pool) for pool in range(POOLS)
    ]
    assert drawn == [0, 2, 2]


def test_no_pool_is_chosen_without_servers() -> None:
    assert permit_issuers.choose_pool([], POOLS, 1) is None

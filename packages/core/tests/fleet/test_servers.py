"""Check which entries of servers are taken over."""

import pytest

from sycamoreferry_core import clock, ids
from sycamoreferry_core.fleet import servers

NAME = ids.ServerId('s')
NOW = clock.Millis(10_000)


def _entry(born: int, sequence: int) -> servers.BackendServer:
    return servers.BackendServer(
        incarnation=servers.ServerIncarnation(
            NAME, servers.IncarnationNumber(born)
        ),
        service=ids.ServiceName('keys'),
        host='127.0.0.1',
        port=1,
        data_centre=ids.DataCentre('here'),
        slots=1,
        state=servers.ServerState.READY,
        warmup_ms=0,
        sequence=sequence,
    )


@pytest.mark.parametrize(
    ('born', 'sequence', 'is_taken'),
    [(1, 4, False), (1, 5, False), (1, 6, True), (0, 9, False), (2, 1, True)],
)
def test_removed_server_is_taken_back_with_an_entry_already_known(
    born: int, sequence: int, *, is_taken: bool
) -> None:
    fleet = servers.ServerFleet()
    fleet.apply(_entry(born=1, sequence=5))
    fleet.schedule_removal(NAME, NOW, clock.LONG_AGO)
    assert fleet.remove_due(NOW)
    assert fleet.apply(_entry(born, sequence)) is is_taken

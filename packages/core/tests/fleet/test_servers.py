"""Check which servers accept requests, by their entries and their answers."""

import dataclasses

import pytest

from sycamoreferry_core import clock, ids
from sycamoreferry_core.fleet import servers

NOW = clock.Millis(1_000)
LATER = clock.Millis(9_000)
ENTRY = servers.BackendServer(
    incarnation=servers.ServerIncarnation(
        ids.ServerId('s'), servers.IncarnationNumber(7)
    ),
    service=ids.ServiceName('v'),
    host='127.0.0.1',
    port=80,
    data_centre=ids.DataCentre('here'),
    slots=2,
    state=servers.ServerState.READY,
    warmup_ms=0,
    sequence=1,
)


def _incarnation(born: int) -> servers.ServerIncarnation:
    return dataclasses.replace(
        ENTRY.incarnation, born=servers.IncarnationNumber(born)
    )


def _entry(born: int = 7, sequence: int = 1) -> servers.BackendServer:
    return dataclasses.replace(
        ENTRY, incarnation=_incarnation(born), sequence=sequence
    )


@pytest.fixture
def fleet() -> servers.ServerFleet:
    """Return a fleet of one server that is ready."""
    made = servers.ServerFleet()
    made.apply(ENTRY)
    return made


def test_leaving_server_is_not_ready(fleet: servers.ServerFleet) -> None:
    assert fleet.is_ready(ENTRY.incarnation)
    assert fleet.record_leaving(ENTRY.incarnation, NOW)
    assert not fleet.is_ready(ENTRY.incarnation)
    assert fleet.leaving == [ENTRY.incarnation]


def test_second_report_of_a_leaving_server_changes_nothing(
    fleet: servers.ServerFleet,
) -> None:
    fleet.record_leaving(ENTRY.incarnation, NOW)
    assert not fleet.record_leaving(ENTRY.incarnation, LATER)
    assert fleet.leaving_since(ENTRY.incarnation) == NOW


@pytest.mark.parametrize('sequence', [1, 2])
def test_entry_does_not_make_a_leaving_server_ready_again(
    fleet: servers.ServerFleet, sequence: int
) -> None:
    fleet.record_leaving(ENTRY.incarnation, NOW)
    fleet.apply(_entry(sequence=sequence))
    assert not fleet.is_ready(ENTRY.incarnation)


def test_leaving_server_that_is_listed_again_is_not_ready(
    fleet: servers.ServerFleet,
) -> None:
    fleet.record_leaving(ENTRY.incarnation, NOW)
    fleet.schedule_removal(ENTRY.incarnation.server, NOW, clock.LONG_AGO)
    assert fleet.remove_due(NOW)
    assert fleet.apply(_entry(sequence=2))
    assert not fleet.is_ready(ENTRY.incarnation)


def test_leaving_server_that_is_listed_later_is_not_ready() -> None:
    fleet = servers.ServerFleet()
    fleet.record_leaving(ENTRY.incarnation, NOW)
    assert not fleet.leaving
    fleet.apply(ENTRY)
    assert not fleet.is_ready(ENTRY.incarnation)


def test_new_incarnation_of_a_leaving_server_is_ready(
    fleet: servers.ServerFleet,
) -> None:
    fleet.record_leaving(ENTRY.incarnation, NOW)
    fleet.apply(_entry(born=8))
    assert fleet.is_ready(_incarnation(8))
    assert not fleet.leaving


def test_report_of_an_earlier_incarnation_leaves_the_current_one_ready(
    fleet: servers.ServerFleet,
) -> None:
    fleet.record_leaving(_incarnation(6), NOW)
    assert fleet.is_ready(ENTRY.incarnation)
    assert fleet.record_leaving(ENTRY.incarnation, LATER)
    # An incarnation that preceded a leaving one is gone.
    assert not fleet.record_leaving(_incarnation(6), LATER)


@pytest.mark.parametrize(
    ('born', 'sequence', 'is_taken'),
    [(7, 4, False), (7, 5, False), (7, 6, True), (6, 9, False), (8, 1, True)],
)
def test_removed_server_is_taken_back_with_an_entry_already_known(
    fleet: servers.ServerFleet, born: int, sequence: int, *, is_taken: bool
) -> None:
    fleet.apply(_entry(sequence=5))
    fleet.schedule_removal(ENTRY.incarnation.server, NOW, clock.LONG_AGO)
    assert fleet.remove_due(NOW)
    assert fleet.apply(_entry(born, sequence)) is is_taken


@pytest.mark.parametrize('is_leaving', [False, True])
def test_server_stays_unknown_behind_an_entry_of_another_writer(
    fleet: servers.ServerFleet, *, is_leaving: bool
) -> None:
    # The entry names a later incarnation than the server is.
    # The last millisecond of the year 9999.
    odd = _entry(born=253_402_300_799_999)
    fleet.apply(odd)
    if is_leaving:
        fleet.record_leaving(odd.incarnation, NOW)
    for sequence in (2, 3, 4):
        fleet.apply(_entry(sequence=sequence))
    assert fleet.is_ready(ENTRY.incarnation)


def test_entry_of_an_earlier_incarnation_replaces_no_later_one(
    fleet: servers.ServerFleet,
) -> None:
    assert fleet.apply(_entry(born=8))
    for sequence in (2, 3):
        assert not fleet.apply(_entry(sequence=sequence))
    assert fleet.is_ready(_incarnation(8))


def test_number_of_another_writer_stops_no_later_entries(
    fleet: servers.ServerFleet,
) -> None:
    fleet.apply(_entry(sequence=2**50))
    draining = dataclasses.replace(
        _entry(sequence=2), state=servers.ServerState.DRAINING
    )
    assert fleet.apply(draining)
    assert not fleet.is_ready(ENTRY.incarnation)


def test_incarnation_stays_with_its_service(fleet: servers.ServerFleet) -> None:
    moved = dataclasses.replace(
        _entry(sequence=2), service=ids.ServiceName('other')
    )
    assert not fleet.apply(moved)
    assert fleet.servers[ENTRY.incarnation.server].service == 'v'

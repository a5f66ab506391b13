"""Check what an instance makes of the records that it reads."""

import pytest

from sycamoreferry_adapter import store_calls
from sycamoreferry_core import clock, ids
from sycamoreferry_core.fleet import deployment, servers, store_records
from sycamoreferry_core.keyspace import owners
from sycamoreferry_gateway import assignment, event_log, view

SERVICE = ids.ServiceName('v')
KEYS = owners.KeyRange(owners.Key(0), owners.Key(99))
KEY = owners.Key(5)
LIFE = servers.ServerLife(ids.ServerId('s'), servers.Born(1))


@pytest.fixture
def folded(
    chosen: deployment.Deployment,
    quiet_log: event_log.EventLog,
) -> view.View:
    return view.View(chosen, clock.ManualClock(), quiet_log)


def _apply_term(folded: view.View, term: int, offset: int) -> None:
    row = owners.Ownership(KEYS, LIFE, ids.Fence(term))
    record = assignment.encode_assignment(
        assignment.Assignment(
            ids.Term(term),
            ids.InstanceId('one'),
            'w',
            {SERVICE: owners.OwnerTable([row])},
        ),
    )
    stored = store_records.StoredRecord(
        assignment.ASSIGNMENT_KEY,
        ids.Offset(offset),
        record,
    )
    folded.apply(
        store_calls.OWNERS_TOPIC,
        store_records.RecordPage((stored,), ids.Offset(offset + 1)),
    )


def test_key_that_moves_has_no_owner_until_the_move_is_over(
    folded: view.View,
) -> None:
    _apply_term(folded, 1, 0)
    folded.mark_moving(SERVICE, KEYS, is_over=False)
    assert folded.owner_of(SERVICE, KEY) is None
    folded.mark_moving(SERVICE, KEYS, is_over=True)
    assert folded.owner_of(SERVICE, KEY) is not None


def test_moves_of_an_earlier_term_are_over(folded: view.View) -> None:
    _apply_term(folded, 1, 0)
    folded.mark_moving(SERVICE, KEYS, is_over=False)
    _apply_term(folded, 2, 1)
    assert folded.owner_of(SERVICE, KEY) is not None


def test_older_record_changes_nothing(folded: view.View) -> None:
    _apply_term(folded, 2, 5)
    _apply_term(folded, 1, 4)
    assert folded.assignment.term == 2

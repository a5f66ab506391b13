"""Check how an instance updates its view from the records it reads."""

import pytest

from sycamoreferry_adapter import store_calls
from sycamoreferry_core import clock, ids
from sycamoreferry_core.fleet import deployment, servers, store_records
from sycamoreferry_core.keyspace import owners
from sycamoreferry_gateway import assignment, event_log, view

SERVICE = ids.ServiceName('v')
KEYS = owners.KeyRange(owners.Key(0), owners.Key(99))
KEY = owners.Key(5)
LIFE = servers.ServerIncarnation(
    ids.ServerId('s'), servers.IncarnationNumber(1)
)


@pytest.fixture
def instance_view(
    sample_deployment: deployment.Deployment,
    quiet_log: event_log.EventLog,
) -> view.View:
    return view.View(sample_deployment, clock.ManualClock(), quiet_log)


def _apply_term(instance_view: view.View, term: int, offset: int) -> None:
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
    instance_view.apply(
        store_calls.OWNERS_TOPIC,
        store_records.RecordPage((stored,), ids.Offset(offset + 1)),
    )


def test_moving_key_has_no_owner_until_the_move_ends(
    instance_view: view.View,
) -> None:
    _apply_term(instance_view, 1, 0)
    instance_view.mark_moving(SERVICE, KEYS, is_over=False)
    assert instance_view.owner_of(SERVICE, KEY) is None
    instance_view.mark_moving(SERVICE, KEYS, is_over=True)
    assert instance_view.owner_of(SERVICE, KEY) is not None


def test_new_term_ends_the_moves_of_the_earlier_one(
    instance_view: view.View,
) -> None:
    _apply_term(instance_view, 1, 0)
    instance_view.mark_moving(SERVICE, KEYS, is_over=False)
    _apply_term(instance_view, 2, 1)
    assert instance_view.owner_of(SERVICE, KEY) is not None


def test_assignment_of_an_earlier_term_is_ignored(
    instance_view: view.View,
) -> None:
    _apply_term(instance_view, 2, 5)
    _apply_term(instance_view, 1, 4)
    assert instance_view.assignment.term == 2

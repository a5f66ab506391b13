"""Check how an instance updates its view from the records it reads."""

import json
import os
import pathlib
import typing

import pytest

from sycamoreferry_adapter import store_calls
from sycamoreferry_core import clock, ids
from sycamoreferry_core.fleet import deployment, servers, store_records
from sycamoreferry_core.keyspace import owners
from sycamoreferry_core.traffic import crashes
from sycamoreferry_gateway import assignment, event_log, view

SERVICE = ids.ServiceName('v')
KEYS = owners.KeyRange(owners.Key(0), owners.Key(99))
KEY = owners.Key(5)
LIFE = servers.ServerIncarnation(
    ids.ServerId('s'), servers.IncarnationNumber(1)
)

SERVER_COUNT = 300
LISTING_END = ids.Offset(SERVER_COUNT)


class LoggedView:
    """Apply server entries to a view and read the lines that it writes."""

    def __init__(
        self, settings: deployment.Deployment, log: pathlib.Path
    ) -> None:
        descriptor = os.open(log, os.O_WRONLY | os.O_CREAT)
        self._log = log
        self.view = view.View(
            settings,
            clock.ManualClock(),
            event_log.EventLog(clock.ManualClock(), descriptor),
        )

    def forward(self, *rows: store_records.StoredRecord) -> None:
        """Apply changes as the coordinator forwards them."""
        self.view.apply(
            store_calls.SERVERS_TOPIC,
            store_records.RecordPage(rows, ids.FIRST_OFFSET),
        )

    def lines(self, event: str) -> list[dict[str, typing.Any]]:
        rows = [json.loads(line) for line in self._log.read_text().splitlines()]
        return [row for row in rows if row['event'] == event]


@pytest.fixture
def logged(
    sample_deployment: deployment.Deployment, tmp_path: pathlib.Path
) -> LoggedView:
    return LoggedView(sample_deployment, tmp_path / 'view.log')


def _server_record(number: int, **fields: object) -> store_records.StoredRecord:
    offset = fields.pop('offset', number)
    entry = {
        'Service': f'service{number % 3}',
        'Address': '127.0.0.1:80',
        'Zone': 'here',
        'Version': 'v1',
        'Slots': 2,
        'State': 'ready',
        'WarmupLeft': '0ms',
        'Seq': 1,
        'born': 1,
        **fields,
    }
    return store_records.StoredRecord(
        store_records.RecordKey(f's{number}'),
        ids.Offset(typing.cast(int, offset)),
        json.dumps(entry).encode(),
    )


def _listing(*leaving: int) -> store_records.RecordPage:
    rows = [
        _server_record(
            number, State='draining' if number in leaving else 'ready'
        )
        for number in range(SERVER_COUNT)
    ]
    return store_records.RecordPage(tuple(rows), LISTING_END)


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


@pytest.mark.parametrize('read', [view.View.replace, view.View.apply])
def test_first_listing_does_not_push_earlier_lines_out_of_the_log(
    logged: LoggedView,
    read: typing.Callable[..., None],
) -> None:
    """Read the listing from the store, and from a peer that answered first."""
    read(logged.view, store_calls.SERVERS_TOPIC, _listing(4, 6))
    assert not logged.lines('server changed')
    listed = logged.lines('servers listed')
    assert [row['count'] for row in listed] == [SERVER_COUNT]
    assert listed[0]['offset'] == LISTING_END
    assert listed[0]['services'] == {
        'service0': {'ready': 99, 'draining': 1},
        'service1': {'ready': 99, 'draining': 1},
        'service2': {'ready': 100},
    }


def test_changes_after_the_first_listing_have_a_line_each(
    logged: LoggedView,
) -> None:
    logged.view.apply(store_calls.SERVERS_TOPIC, _listing())
    changed = [
        _server_record(1, offset=SERVER_COUNT, Seq=2, State='draining'),
        _server_record(2, offset=SERVER_COUNT + 1, Seq=2),
        _server_record(3, offset=SERVER_COUNT + 2, born=2),
        _server_record(SERVER_COUNT, offset=SERVER_COUNT + 3),
    ]
    logged.forward(*changed)
    end = ids.Offset(SERVER_COUNT + 4)
    listed = (*_listing().records, *changed)
    logged.view.replace(
        store_calls.SERVERS_TOPIC, store_records.RecordPage(listed, end)
    )
    lines = logged.lines('server changed')
    assert [row['server'] for row in lines] == ['s1', 's3', 's300']
    assert len(logged.lines('servers listed')) == 1


def test_change_before_the_first_listing_has_a_line(logged: LoggedView) -> None:
    logged.forward(_server_record(1, offset=7))
    assert len(logged.lines('server changed')) == 1
    assert not logged.lines('servers listed')
    logged.view.replace(store_calls.SERVERS_TOPIC, _listing())
    assert len(logged.lines('server changed')) == 1
    assert logged.lines('servers listed')[0]['count'] == SERVER_COUNT


def test_empty_first_listing_has_a_line(logged: LoggedView) -> None:
    empty = store_records.RecordPage((), ids.FIRST_OFFSET)
    logged.view.replace(store_calls.SERVERS_TOPIC, empty)
    logged.view.apply(
        store_calls.SERVERS_TOPIC,
        store_records.RecordPage((_server_record(1),), ids.Offset(2)),
    )
    assert logged.lines('servers listed')[0]['count'] == 0
    assert len(logged.lines('server changed')) == 1


def test_entry_of_a_leaving_server_is_forwarded_once_it_says_so(
    logged: LoggedView,
) -> None:
    logged.forward(_server_record(1, offset=1))
    logged.view.take_changed_servers()
    leaving = servers.ServerIncarnation(
        ids.ServerId('s1'), servers.IncarnationNumber(1)
    )
    for _ in range(2):
        logged.view.record_leaving(leaving, 'answer')
    logged.forward(_server_record(1, offset=2, Seq=2))
    assert not logged.view.take_changed_servers()
    # Instances of an earlier version learn only from the entry.
    logged.forward(_server_record(1, offset=3, Seq=3, State='draining'))
    assert len(logged.view.take_changed_servers()) == 1
    logged.forward(_server_record(1, offset=4, Seq=4, State='draining'))
    assert not logged.view.take_changed_servers()
    known = logged.view.servers_of(ids.ServiceName('service1'))
    assert not any(server.is_ready for server in known)
    assert len(logged.lines('server is leaving')) == 1


@pytest.mark.parametrize('read_again', [False, True])
def test_entry_written_before_a_crash_and_read_late_voids_it(
    logged: LoggedView, *, read_again: bool
) -> None:
    clock_of_view = typing.cast(clock.ManualClock, logged.view.clock)
    request = crashes.Signature(7)
    logged.forward(_server_record(1))
    logged.view.crashes.entries_read_at = clock_of_view.now()
    history = logged.view.crashes.history
    for born in (1, 2, 3):
        incarnation = servers.ServerIncarnation(
            ids.ServerId(f's{born}'), servers.IncarnationNumber(1)
        )
        history.record(
            crashes.Crash(request, incarnation, clock_of_view.advance(10))
        )
    # A follower reads entries at intervals of seconds.
    clock_of_view.advance(2_500)
    if read_again:
        logged.view.crashes.entries_read_at = clock_of_view.now()
    logged.forward(_server_record(1, Seq=2, offset=SERVER_COUNT))
    is_blocked = history.is_blocked(request, clock_of_view.now())
    assert is_blocked != read_again

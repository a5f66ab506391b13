import pytest

from sycamoreferry_core import ids, state
from sycamoreferry_ports import wire
from sycamoreferry_router import view

SERVICE = ids.ServiceName('keyed')
OTHER = ids.ServiceName('other')


def _listed(name: str, listed_state: str = view.LIVE) -> wire.ListedServer:
    return wire.ListedServer(
        server=ids.ServerId(name),
        service=SERVICE,
        data_centre=ids.DataCentre('north'),
        host='127.0.0.1',
        port=1,
        state=listed_state,
    )


@pytest.fixture
def seen() -> view.InstanceView:
    seen = view.InstanceView()
    owners = (ids.ServerId('a'), ids.ServerId('b'))
    seen.log_state = state.LogState(
        assignments={SERVICE: state.Assignment(owners, (ids.Fence(0),) * 2)},
    )
    seen.replace_servers((_listed('a'), _listed('b'), _listed('c')))
    return seen


def test_owner_that_the_list_leaves_out_stays_a_member(
    seen: view.InstanceView,
) -> None:
    seen.replace_servers((_listed('b'),))
    members = {entry.server for entry in seen.members_of(SERVICE)}
    assert members == {'a', 'b'}
    assert ids.ServerId('a') in seen.servers
    assert [entry.server for entry in seen.servers_of(SERVICE)] == ['b']


def test_leaving_server_stays_leaving_when_it_is_left_out(
    seen: view.InstanceView,
) -> None:
    seen.replace_servers((_listed('a', view.LEAVING), _listed('b')))
    seen.replace_servers((_listed('b'),))
    states = {entry.server: entry.state for entry in seen.members_of(SERVICE)}
    assert states == {'a': view.LEAVING, 'b': view.LIVE}


def test_asked_drain_counts_as_leaving(seen: view.InstanceView) -> None:
    wishes = state.Wishes(drained=(ids.ServerId('b'),))
    seen.log_state = state.LogState(wishes={SERVICE: wishes})
    states = {entry.server: entry.state for entry in seen.servers_of(SERVICE)}
    assert states == {'a': view.LIVE, 'b': view.LEAVING, 'c': view.LIVE}
    assert not seen.servers_of(OTHER)


def test_remembered_addresses_are_bounded(
    seen: view.InstanceView,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(view, 'REMEMBERED_SERVERS', 1)
    seen.replace_servers((_listed('d'),))
    assert set(seen.servers) == {'c', 'd'}

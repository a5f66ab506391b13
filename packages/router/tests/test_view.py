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
def instance_view() -> view.InstanceView:
    instance_view = view.InstanceView()
    owners = (ids.ServerId('a'), ids.ServerId('b'))
    instance_view.log_state = state.LogState(
        assignments={SERVICE: state.Assignment(owners, (ids.Fence(0),) * 2)},
    )
    instance_view.replace_servers((_listed('a'), _listed('b'), _listed('c')))
    return instance_view


def test_owner_that_the_list_leaves_out_stays_a_member(
    instance_view: view.InstanceView,
) -> None:
    instance_view.replace_servers((_listed('b'),))
    members = {
        entry.server for entry in instance_view.listed_and_owners_of(SERVICE)
    }
    assert members == {'a', 'b'}
    assert ids.ServerId('a') in instance_view.servers
    assert [entry.server for entry in instance_view.servers_of(SERVICE)] == [
        'b'
    ]


def test_leaving_server_stays_leaving_when_it_is_left_out(
    instance_view: view.InstanceView,
) -> None:
    instance_view.replace_servers((_listed('a', view.LEAVING), _listed('b')))
    instance_view.replace_servers((_listed('b'),))
    states = {
        entry.server: entry.state
        for entry in instance_view.listed_and_owners_of(SERVICE)
    }
    assert states == {'a': view.LEAVING, 'b': view.LIVE}


def test_drained_server_is_returned_as_leaving(
    instance_view: view.InstanceView,
) -> None:
    wishes = state.PlacementConstraints(drained=(ids.ServerId('b'),))
    instance_view.log_state = state.LogState(wishes={SERVICE: wishes})
    states = {
        entry.server: entry.state for entry in instance_view.servers_of(SERVICE)
    }
    assert states == {'a': view.LIVE, 'b': view.LEAVING, 'c': view.LIVE}
    assert not instance_view.servers_of(OTHER)


def test_addresses_of_unlisted_servers_are_bounded(
    instance_view: view.InstanceView,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(view, 'MAX_UNLISTED_SERVERS', 1)
    instance_view.replace_servers((_listed('d'),))
    assert set(instance_view.servers) == {'c', 'd'}

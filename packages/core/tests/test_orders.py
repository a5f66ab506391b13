import pytest

from sycamoreferry_core import actions, clock, coordination, ids, orders, state

NOW = clock.Millis(10_000)
SERVER = ids.ServerId('server-1')
KEPT = ids.ShardId(0)
MOVED = ids.ShardId(1)


def _current(lease_left_ms: int) -> coordination.CoordinatorState:
    return coordination.CoordinatorState(
        instance=ids.InstanceId('one'),
        service=ids.ServiceName('manifest-svc'),
        shard_count=2,
        term=state.TermState(
            term=ids.Term(1),
            coordinator=ids.InstanceId('one'),
        ),
        assignment=state.Assignment(
            owners=(SERVER, ids.ServerId('server-2')),
            fences=(ids.Fence(1), ids.Fence(2)),
        ),
        links={
            SERVER: coordination.ServerLink(
                SERVER,
                greeted=True,
                stamp_received_at=NOW,
                lease_bound=clock.later(NOW, lease_left_ms),
                held_shards=frozenset((KEPT, MOVED)),
            ),
        },
    )


@pytest.mark.parametrize(
    ('lease_left_ms', 'kind'),
    [(1500, actions.Revoke), (800, actions.Revoke), (700, actions.Renew)],
)
def test_short_lease_is_renewed_before_a_shard_is_revoked(
    lease_left_ms: int,
    kind: type[actions.Order],
) -> None:
    decision = orders.give_orders(_current(lease_left_ms), NOW)
    (order,) = decision.actions
    assert isinstance(order, kind)


def test_revoke_allows_the_drain_time_for_requests() -> None:
    current = _current(1500)
    (order,) = orders.give_orders(current, NOW).actions
    assert isinstance(order, actions.Revoke)
    assert order.shards == (MOVED,)
    assert order.grace_ms == current.timing.drain_ms

import typing

import pytest

from sycamoreferry_core import clock, ids
from sycamoreferry_ports import wire
from sycamoreferry_standins import grant_book

SHARD = ids.ShardId(3)
FENCE = ids.Fence(7)
LEASE_MS = 1500
START = clock.Millis(1000)


class Order(typing.NamedTuple):
    term: int
    number: int
    stamp: int = START
    revoke: bool = False


def _body(order: Order) -> wire.AnyOrder:
    if order.revoke:
        return wire.RevokeOrder(
            service=ids.ServiceName('keyed'),
            sender=ids.InstanceId('one'),
            term=ids.Term(order.term),
            number=ids.OrderNumber(order.number),
            shards=(SHARD,),
        )
    return wire.GrantOrder(
        service=ids.ServiceName('keyed'),
        sender=ids.InstanceId('one'),
        term=ids.Term(order.term),
        number=ids.OrderNumber(order.number),
        stamp=order.stamp,
        lease_ms=LEASE_MS,
        groups=(wire.FencedShards(FENCE, (SHARD,)),),
    )


def _book(timer: clock.Clock, *, checks: bool = True) -> grant_book.GrantBook:
    return grant_book.GrantBook(timer, checks_fence=checks)


@pytest.mark.parametrize(
    ('orders', 'holds'),
    [
        ([Order(1, 1)], True),
        ([Order(1, 1), Order(1, 2, revoke=True)], False),
        ([Order(1, 2, revoke=True), Order(1, 1)], False),
        ([Order(1, 2, revoke=True), Order(1, 2)], False),
        ([Order(2, 1, revoke=True), Order(1, 9)], False),
        ([Order(1, 9, revoke=True), Order(2, 1)], True),
        ([Order(1, 1, stamp=START + 1)], False),
        ([Order(1, 1, stamp=START - 1)], False),
    ],
)
def test_only_newer_orders_are_obeyed(
    orders: list[Order],
    holds: bool,
) -> None:
    book = _book(clock.ManualClock(START))
    for order in orders:
        book.obey(_body(order))
    assert book.holds(SHARD, FENCE) is holds


def test_server_without_checks_obeys_old_orders() -> None:
    book = _book(clock.ManualClock(START), checks=False)
    book.obey(_body(Order(2, 2, revoke=True)))
    book.obey(_body(Order(1, 1)))
    assert book.holds(SHARD, ids.Fence(0))


def test_lease_runs_from_the_stamp() -> None:
    timer = clock.ManualClock(START)
    book = _book(timer)
    timer.advance(LEASE_MS - 1)
    book.obey(_body(Order(1, 1)))
    assert book.holds(SHARD, FENCE)
    timer.advance(1)
    assert not book.holds(SHARD, FENCE)


def test_check_at_the_begin_alone_lets_two_owners_commit() -> None:
    timer = clock.ManualClock(START)
    former, latter = _book(timer), _book(timer)
    former.obey(_body(Order(1, 1)))
    began = former.holds(SHARD, FENCE)
    timer.advance(LEASE_MS)
    latter.obey(_body(Order(1, 2, stamp=timer.now())))
    # Both would commit by what they saw at the begin of their requests.
    assert began
    assert latter.holds(SHARD, FENCE)
    assert not former.holds(SHARD, FENCE)


def test_lapsed_shards_are_told_until_revoked() -> None:
    timer = clock.ManualClock(START)
    book = _book(timer)
    book.obey(_body(Order(1, 1)))
    timer.advance(LEASE_MS)
    stale = book.obey(_body(Order(1, 2)))
    assert stale.groups == ()
    assert stale.lapsed == (wire.FencedShards(FENCE, (SHARD,)),)
    assert book.obey(_body(Order(1, 3, revoke=True))).lapsed == ()


def test_server_that_forgets_its_term_obeys_an_old_one() -> None:
    timer = clock.ManualClock(START)
    book = _book(timer)
    book.obey(_body(Order(2, 1, revoke=True)))
    book.forget()
    book.obey(_body(Order(1, 5)))
    assert book.holds(SHARD, FENCE)

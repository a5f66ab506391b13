"""Keep the grants of one backend server, by its own clock."""

import functools
import typing

from sycamoreferry_core import clock, digests, ids
from sycamoreferry_ports import wire
from sycamoreferry_standins import closing_shards

_NO_ORDER = ids.OrderNumber(0)


class GrantBook:
    """Hold term, lease and fences; obey orders that are not stale."""

    def __init__(self, timer: clock.Clock, *, checks_fence: bool) -> None:
        self._clock = timer
        self._checks_fence = checks_fence
        self._term = ids.NO_TERM
        self._number = _NO_ORDER
        self._started_at = timer.now()
        self._lease_end = clock.LONG_AGO
        self._fences: dict[ids.ShardId, ids.Fence] = {}
        self._lapsed: dict[ids.ShardId, ids.Fence] = {}
        self.closing = closing_shards.ClosingShards(timer)

    @property
    def term(self) -> ids.Term:
        """Return the newest term that the server follows."""
        return self._term

    @property
    def lease_end(self) -> clock.Millis:
        """Return the end of the lease by the server's clock."""
        return self._lease_end

    def forget(self) -> None:
        """Lose everything, as in a crash."""
        self._term = ids.NO_TERM
        self._number = _NO_ORDER
        self._started_at = self._clock.now()
        self._lease_end = clock.LONG_AGO
        self._fences = {}
        self._lapsed = {}
        self.closing.forget()

    def fence_of(self, shard: ids.ShardId) -> ids.Fence | None:
        """Return the fence of a shard that is granted now."""
        self._lapse()
        return self._fences.get(shard)

    def may_begin(self, shard: ids.ShardId, fence: ids.Fence) -> bool:
        """Tell whether a new request for a shard may run."""
        return self.holds(shard, fence) and not self.closing.is_closing(shard)

    def holds(self, shard: ids.ShardId, fence: ids.Fence) -> bool:
        """Tell whether a shard is granted now under a fence."""
        held = self.fence_of(shard)
        if held is None:
            return False
        return held == fence or not self._checks_fence

    def obey(self, order: wire.AnyOrder) -> wire.OrderAnswer:
        """Carry out an order and say what is held after it."""
        self._lapse()
        if self._checks_fence and self._is_stale(order):
            return self._answer(accepted=False)
        self._term = max(self._term, order.term)
        self._number = order.number
        return _obey(order, self)

    def grant(self, order: wire.GrantOrder) -> wire.OrderAnswer:
        """Take shards under their fences."""
        if not self._extend(order.stamp, order.lease_ms):
            return self._answer(accepted=False)
        for group in order.groups:
            for shard in group.shards:
                held = self._fences.get(shard, ids.NO_FENCE)
                self._fences[shard] = max(held, group.fence)
                self._lapsed.pop(shard, None)
                self.closing.reopen(shard)
        return self._answer(accepted=True)

    def renew(self, order: wire.RenewOrder) -> wire.OrderAnswer:
        """Lengthen the lease where both sides know the same shards."""
        if digests.digest_shards(frozenset(self._fences)) != order.digest:
            return self._answer(accepted=True)
        self._extend(order.stamp, order.lease_ms)
        return wire.OrderAnswer(
            accepted=True,
            term=self._term,
            stamp=self._clock.now(),
        )

    def revoke(self, order: wire.RevokeOrder) -> wire.OrderAnswer:
        """Give shards back, each when its requests in flight have ended."""
        for shard in order.shards:
            self.closing.close(shard, order.grace_ms)
        self._lapse()
        return self._answer(accepted=True)

    def greet(self) -> wire.OrderAnswer:
        """Say what is held."""
        return self._answer(accepted=True)

    def _lapse(self) -> None:
        if self._clock.now() >= self._lease_end:
            self._lapsed.update(self._fences)
            self._fences = {}
        for shard in self.closing.take_closed():
            self._fences.pop(shard, None)
            self._lapsed.pop(shard, None)

    def _is_stale(self, order: wire.AnyOrder) -> bool:
        last = (self._term, self._number)
        return (order.term, order.number) <= last

    def _extend(self, stamp: int, lease_ms: int) -> bool:
        now = self._clock.now()
        end = clock.Millis(stamp + lease_ms)
        # A stamp from before the start was given by an earlier process.
        if end <= now or not self._started_at <= stamp <= now:
            return False
        self._lease_end = max(self._lease_end, end)
        return True

    def _answer(self, *, accepted: bool) -> wire.OrderAnswer:
        return wire.OrderAnswer(
            accepted=accepted,
            term=self._term,
            stamp=self._clock.now(),
            groups=_by_fence(self._fences),
            lapsed=_by_fence(self._lapsed),
        )


def _by_fence(
    fences: typing.Mapping[ids.ShardId, ids.Fence],
) -> tuple[wire.FencedShards, ...]:
    groups: dict[ids.Fence, list[ids.ShardId]] = {}
    for shard, fence in fences.items():
        groups.setdefault(fence, []).append(shard)
    return tuple(
        wire.FencedShards(fence, tuple(sorted(shards)))
        for fence, shards in sorted(groups.items())
    )


@functools.singledispatch
def _obey(order: object, book: GrantBook) -> wire.OrderAnswer:
    raise TypeError(f'no rule for the order {order!r}')


@_obey.register
def _obey_greet(order: wire.GreetOrder, book: GrantBook) -> wire.OrderAnswer:
    return book.greet()


@_obey.register
def _obey_grant(order: wire.GrantOrder, book: GrantBook) -> wire.OrderAnswer:
    return book.grant(order)


@_obey.register
def _obey_renew(order: wire.RenewOrder, book: GrantBook) -> wire.OrderAnswer:
    return book.renew(order)


@_obey.register
def _obey_revoke(order: wire.RevokeOrder, book: GrantBook) -> wire.OrderAnswer:
    return book.revoke(order)

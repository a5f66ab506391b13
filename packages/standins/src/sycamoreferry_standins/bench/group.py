"""Run one coordination group in-process under an injected clock."""

import collections
import time

import msgspec

from sycamoreferry_core import (
    actions,
    clock,
    coordination,
    coordinator,
    events,
    fold,
    ids,
    profiles,
    records,
    state,
)
from sycamoreferry_ports import http_orders
from sycamoreferry_standins import grant_book

TICK_MS = 50
NANOS_PER_SECOND = 1_000_000_000

_SERVICE = ids.ServiceName('keyed')
_CANDIDATES = tuple(
    coordination.Candidate(
        ids.InstanceId(f'instance-{place}'),
        ids.DataCentre(f'centre-{place}'),
    )
    for place in range(3)
)
_SENDER = http_orders.SenderIdentity(
    _SERVICE,
    _CANDIDATES[0].instance,
    _CANDIDATES[0].data_centre,
)


class Group:
    """Drive a coordinator and the grants of its servers."""

    def __init__(self, servers: int, shards: int) -> None:
        self.timer = clock.ManualClock(clock.Millis(10**6))
        self.log_state = state.LogState()
        self.orders: collections.Counter[str] = collections.Counter()
        self.order_bytes = 0
        self.decision_seconds: float = 0
        self._books = {
            ids.ServerId(f'server-{place}'): grant_book.GrantBook(
                self.timer,
                checks_fence=True,
            )
            for place in range(servers)
        }
        self._state = coordination.CoordinatorState(
            instance=_CANDIDATES[0].instance,
            service=_SERVICE,
            shard_count=shards,
        )
        self._claim()

    def run(self, duration_ms: int) -> None:
        """Let the group live for a duration."""
        for _ in range(duration_ms // TICK_MS):
            self.timer.advance(TICK_MS)
            self._feed_view()
            self._feed(events.Ticked())

    def held(self) -> int:
        """Return how many shards the servers hold."""
        return sum(len(link.held_shards) for link in self._state.links.values())

    def _claim(self) -> None:
        self._append(
            records.TermClaimed(
                record_id=ids.RecordId('claim'),
                service=_SERVICE,
                term=ids.Term(1),
                follows=ids.NO_TERM,
                coordinator=_CANDIDATES[0].instance,
                deputy=_CANDIDATES[1].instance,
            ),
        )

    def _append(self, record: records.AnyRecord) -> None:
        entry = records.LoggedRecord(
            self.log_state.next_offset,
            records.encode_record(record),
        )
        self.log_state = fold.fold_one(self.log_state, entry)

    def _feed_view(self) -> None:
        pending = self._state.pending
        self._feed(
            events.StateFolded(
                term=self.log_state.term_of(_SERVICE),
                assignment=self.log_state.assignment_of(_SERVICE),
                candidates=_CANDIDATES,
                timing=profiles.Timing(),
                pending_folded=pending is not None,
            ),
        )
        self._feed(
            events.ServersListed(
                tuple(
                    (server, coordination.MemberState.LIVE)
                    for server in self._books
                ),
            ),
        )

    def _feed(self, event: events.Event) -> None:
        started = time.perf_counter_ns()
        decision = coordinator.decide(event, self._state, self.timer.now())
        spent = time.perf_counter_ns() - started
        self.decision_seconds += spent / NANOS_PER_SECOND
        self._state = decision.state
        for action in decision.actions:
            self._carry_out(action)

    def _carry_out(self, action: actions.Action) -> None:
        if isinstance(action, actions.ReadTail):
            term = self.log_state.term_of(_SERVICE).term
            self._feed(events.TailRead(self.timer.now(), term))
        if isinstance(action, actions.AppendRecord):
            self._append(action.record)
        if isinstance(action, actions.Order):
            self._order(action)

    def _order(self, order: actions.Order) -> None:
        body = http_orders.to_wire(order, _SENDER)
        answer = self._books[order.server].obey(body)
        self.orders[type(order).__name__] += 1
        self.order_bytes += len(msgspec.json.encode(body))
        self.order_bytes += len(msgspec.json.encode(answer))
        self._feed(http_orders.to_event(order, answer, self.timer.now()))

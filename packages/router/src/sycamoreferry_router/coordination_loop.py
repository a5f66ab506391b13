"""Run the coordination of one service: a thin loop around decisions."""

import asyncio
import dataclasses
import functools
import typing

from sycamoreferry_core import (
    actions,
    clock,
    coordination,
    coordinator,
    events,
    ids,
    result_codes,
    state,
)
from sycamoreferry_peer import client as peer_client
from sycamoreferry_peer.generated import peer_pb2
from sycamoreferry_platform import http_orders, unix_clock, wire
from sycamoreferry_router import (
    load_reports,
    logs,
    metrics,
    settings,
    tail,
    view,
)

TICK_MS = 50

Work = typing.Coroutine[typing.Any, typing.Any, None]

_log = logs.part_logger('coordinator')


@dataclasses.dataclass(frozen=True)
class Parts:
    """Hold what the loop works with."""

    seen: view.InstanceView
    tail: tail.Tail
    peers: peer_client.PeerClients
    clock: clock.Clock
    unix_clock: unix_clock.UnixClock
    loads: load_reports.LoadService
    metrics: metrics.Metrics


class CoordinationLoop:
    """Feed events to the decisions of one service and carry out actions."""

    def __init__(
        self,
        service: settings.Service,
        orders: http_orders.HttpOrders,
        me: ids.InstanceId,
        parts: Parts,
    ) -> None:
        self._service = service
        self._orders = orders
        self._parts = parts
        self._tasks: set[asyncio.Task[None]] = set()
        self._state = coordination.CoordinatorState(
            me=me,
            service=service.service_name,
            shard_count=service.shards,
            checks_fence=service.checks_fence,
        )

    @property
    def current(self) -> coordination.CoordinatorState:
        """Return the current state of the decisions."""
        return self._state

    @property
    def has_authority(self) -> bool:
        """Tell whether this instance may give orders now."""
        return self._state.has_authority(self._parts.clock.now())

    async def run(self) -> None:
        """Decide at every tick until cancelled."""
        while True:
            await asyncio.sleep(clock.seconds(TICK_MS))
            if self._parts.seen.caught_up:
                self._feed_view()
                self.feed(events.Ticked())
                self._consider_moves()
                self._parts.metrics.has_authority.set(
                    {'service': self._service.name},
                    int(self.has_authority),
                )

    def feed(self, event: events.Event) -> None:
        """Decide on an event and start its actions."""
        before = self._state
        decision = coordinator.decide(event, before, self._parts.clock.now())
        self._state = decision.state
        self._log_change(before, decision.state)
        for action in decision.actions:
            self._start(carry_out(action, self))

    async def carry_out_read(self) -> None:
        """Read the tail as proof that the term is current."""
        sent_at = self._parts.clock.now()
        reached = await self._parts.tail.read_now()
        self._feed_view()
        if reached:
            self.feed(events.TailRead(sent_at, self._log_term().term))
        else:
            self.feed(events.TailReadFailed())

    async def carry_out_ask(self, action: actions.AskDeputy) -> None:
        """Ask the deputy for its promise."""
        address = self._peer_address(action.deputy)
        if address is None:
            return
        sent_at = self._parts.clock.now()
        reply = await self._parts.peers.promise(
            address,
            peer_pb2.PromiseRequest(
                service=self._service.name,
                term=action.term,
                coordinator=self._state.me,
                deputy=action.deputy,
            ),
        )
        if reply is not None and reply.promised:
            self.feed(events.DeputyPromised(sent_at, action.term))

    async def carry_out_probe(self, action: actions.ProbeHolders) -> None:
        """Ask the holders of the term whether they are there."""
        for holder in action.holders:
            address = self._peer_address(holder)
            if address is None:
                continue
            reply = await self._parts.peers.probe(
                address,
                peer_pb2.ProbeRequest(instance=holder),
            )
            if reply is not None and reply.instance == holder:
                self.feed(events.HolderHeard())
                return

    async def carry_out_append(self, action: actions.AppendRecord) -> None:
        """Append a record and wait for its verdict."""
        record = action.record
        verdict = await self._parts.tail.publish(record)
        self._feed_view()
        if verdict is None:
            self.feed(events.AppendFailed(record.record_id))
            return
        if verdict is not result_codes.ResultCode.ANSWERED:
            _log.info('{} was refused with code {}', record, int(verdict))

    async def carry_out_order(self, order: actions.Order) -> None:
        """Give an order to a backend server, if it may still be given."""
        listed = self._parts.seen.servers.get(order.server)
        answer: wire.OrderAnswer | None = None
        if listed is not None and self.has_authority:
            self._parts.metrics.orders.inc(
                {'service': self._service.name, 'kind': type(order).__name__},
            )
            answer = await self._orders.give(
                order,
                listed,
                self._state.timing.detection_ms // 2,
            )
        if answer is None or not answer.accepted:
            self.feed(events.ServerFailed(order.server, order.term))
            return
        self.feed(
            events.ServerAnswered(
                server=order.server,
                term=order.term,
                stamp=answer.stamp,
                received_at=self._parts.clock.now(),
                holds=_held_shards(answer),
            ),
        )

    def _start(self, work: Work) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _log_term(self) -> state.TermState:
        return self._parts.seen.log_state.term_of(self._service.service_name)

    def _peer_address(
        self,
        instance: ids.InstanceId,
    ) -> peer_client.PeerAddress | None:
        found = self._parts.seen.log_state.instances.get(instance)
        if found is None:
            return None
        return peer_client.PeerAddress(found.peer_host, found.peer_port)

    def _feed_view(self) -> None:
        seen = self._parts.seen
        pending = self._state.pending
        folded = pending is not None and (
            seen.log_state.verdict_of(pending.record_id) is not None
        )
        self.feed(
            events.StateFolded(
                term=self._log_term(),
                assignment=seen.log_state.assignment_of(
                    self._service.service_name,
                ),
                candidates=tuple(
                    coordination.Candidate(known.instance, known.data_centre)
                    for known in seen.log_state.instances.values()
                ),
                timing=seen.profile(self._service.profile).timing,
                pending_folded=folded,
            ),
        )
        self.feed(
            events.ServersListed(
                tuple(
                    (listed.server, coordination.Member(listed.state))
                    for listed in seen.members_of(self._service.service_name)
                ),
            ),
        )

    def _consider_moves(self) -> None:
        if not self.has_authority:
            return
        seen = self._parts.seen
        service = self._service.service_name
        self.feed(
            events.MovesConsidered(
                at=self._parts.unix_clock.now(),
                policy=seen.profile(self._service.profile).moves,
                loads=self._parts.loads.loads_of(service, self._service.shards),
                wishes=seen.log_state.wishes_of(service),
                recent_moves=seen.log_state.recent_moves.get(service, ()),
            ),
        )

    def _log_change(
        self,
        before: coordination.CoordinatorState,
        after: coordination.CoordinatorState,
    ) -> None:
        if before.term.term != after.term.term:
            _log.info(
                '{}: term {} began; this instance is its {}',
                self._service.name,
                after.term.term,
                after.role.value,
            )


def _held_shards(
    answer: wire.OrderAnswer,
) -> frozenset[ids.ShardId] | None:
    if answer.groups is None:
        return None
    return frozenset(shard for group in answer.groups for shard in group.shards)


@functools.singledispatch
def carry_out(
    action: object,
    loop: CoordinationLoop,
) -> Work:
    """Return the work that an action asks for."""
    raise TypeError(f'no work for the action {action!r}')


@carry_out.register
def _carry_out_read(
    action: actions.ReadTail,
    loop: CoordinationLoop,
) -> Work:
    return loop.carry_out_read()


@carry_out.register
def _carry_out_ask(
    action: actions.AskDeputy,
    loop: CoordinationLoop,
) -> Work:
    return loop.carry_out_ask(action)


@carry_out.register
def _carry_out_probe(
    action: actions.ProbeHolders,
    loop: CoordinationLoop,
) -> Work:
    return loop.carry_out_probe(action)


@carry_out.register
def _carry_out_append(
    action: actions.AppendRecord,
    loop: CoordinationLoop,
) -> Work:
    return loop.carry_out_append(action)


@carry_out.register(actions.Greet)
@carry_out.register(actions.Grant)
@carry_out.register(actions.Renew)
@carry_out.register(actions.Revoke)
def _carry_out_order(
    action: actions.Order,
    loop: CoordinationLoop,
) -> Work:
    return loop.carry_out_order(action)

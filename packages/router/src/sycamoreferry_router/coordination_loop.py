"""Run the coordination of one service; the core package decides."""

import asyncio
import dataclasses
import functools
import typing

from sycamoreferry_core import (
    actions,
    authority,
    claims,
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
from sycamoreferry_ports import http_orders, wire
from sycamoreferry_router import (
    load_reports,
    logs,
    metrics,
    settings,
    tail,
    view,
)

TICK_MS = 50

ActionCoroutine = typing.Coroutine[typing.Any, typing.Any, None]

_log = logs.part_logger('coordinator')


# The field `clock` of the class below hides the module of that name.
AnyClock = clock.Clock


@dataclasses.dataclass(frozen=True)
class Dependencies:
    """Hold the dependencies of a coordination loop."""

    instance_view: view.InstanceView
    tail: tail.Tail
    peers: peer_client.PeerClient
    clock: AnyClock
    wall_clock: AnyClock
    loads: load_reports.LoadService
    metrics: metrics.Metrics


class CoordinationLoop:
    """Feed events to one service's coordinator and carry out its actions."""

    def __init__(
        self,
        service: settings.Service,
        orders: http_orders.HttpOrderClient,
        instance_id: ids.InstanceId,
        parts: Dependencies,
    ) -> None:
        self._service = service
        self._orders = orders
        self.parts = parts
        self._tasks: set[asyncio.Task[None]] = set()
        self._state = coordination.CoordinatorState(
            instance=instance_id,
            service=service.service_name,
            shard_count=service.shards,
            checks_fence=service.checks_fence,
        )

    @property
    def current(self) -> coordination.CoordinatorState:
        """Return the coordinator state after the latest event."""
        return self._state

    @property
    def has_authority(self) -> bool:
        """Tell whether this instance may give orders now."""
        return self._state.has_authority(self.parts.clock.now())

    @property
    def is_acting(self) -> bool:
        """Tell whether it has authority or was recently asked as the deputy."""
        return self._state.is_acting(self.parts.clock.now())

    async def run(self) -> None:
        """Feed the view and a tick every TICK_MS until cancelled."""
        while True:
            await asyncio.sleep(clock.seconds(TICK_MS))
            if self.parts.instance_view.caught_up:
                self._feed_view()
                self.feed(events.Ticked())
                if self.has_authority:
                    self.feed(_to_move_check(self._service, self.parts))
                self.parts.metrics.has_authority.set(
                    {'service': self._service.name},
                    int(self.has_authority),
                )

    def feed(self, event: events.Event) -> None:
        """Update the state for an event and start the resulting actions."""
        before = self._state
        decision = coordinator.decide(event, before, self.parts.clock.now())
        self._state = decision.state
        _log_change(self._service.name, before, decision.state)
        for action in decision.actions:
            self._start(carry_out(action, self))

    async def read_tail(self) -> None:
        """Read the log to its end to prove that the term is current."""
        sent_at = self.parts.clock.now()
        was_read = await self.parts.tail.read_now()
        self._feed_view()
        if was_read:
            self.feed(events.TailRead(sent_at, self._log_term().term))
        else:
            self.feed(events.TailReadFailed())

    async def request_promise(self, action: actions.AskDeputy) -> None:
        """Ask the deputy to promise that it claims no term for a while."""
        address = self._peer_address(action.deputy)
        if address is None:
            return
        sent_at = self.parts.clock.now()
        reply = await self.parts.peers.promise(
            address,
            peer_pb2.PromiseRequest(
                service=self._service.name,
                term=action.term,
                coordinator=self._state.instance,
                deputy=action.deputy,
            ),
        )
        if reply is not None and reply.promised:
            self.feed(events.DeputyPromised(sent_at, action.term))

    async def request_release(self, action: actions.AskRelease) -> None:
        """Ask a holder of earlier terms to stop acting under them."""
        address = self._peer_address(action.holder)
        if address is None:
            return
        reply = await self.parts.peers.release(
            address,
            peer_pb2.ReleaseRequest(
                service=self._service.name,
                term=action.term,
                holder=action.holder,
            ),
        )
        if reply is not None and reply.released:
            self.feed(events.HolderReleased(action.term, action.holder))

    def promise(self, term: ids.Term, coordinator: ids.InstanceId) -> bool:
        """Promise to claim no term for a while; return whether it did."""
        before = self._state.promised_until
        self.feed(events.DeputyAsked(term, coordinator))
        return self._state.promised_until > before

    def release(self, term: ids.Term) -> bool:
        """Stop acting under earlier terms; return whether none is in use."""
        self.feed(events.ReleaseAsked(term))
        now = self.parts.clock.now()
        return authority.has_released(self._state, term, now)

    async def probe_holders(self, action: actions.ProbeHolders) -> None:
        """Probe the term's holders until one replies that it is acting."""
        for holder in action.holders:
            address = self._peer_address(holder)
            if address is None:
                continue
            reply = await self.parts.peers.probe(
                address,
                peer_pb2.ProbeRequest(
                    instance=holder,
                    service=self._service.name,
                ),
            )
            if reply is not None and reply.acting:
                self.feed(events.HolderAnswered())
                return

    async def append_record(self, action: actions.AppendRecord) -> None:
        """Append a record, wait for its verdict and log a failure."""
        record = action.record
        verdict = await self.parts.tail.publish(record)
        self._feed_view()
        if verdict is None:
            _log.warning(
                'record {} is not confirmed by the log yet', record.record_id
            )
        elif verdict is not result_codes.ResultCode.ANSWERED:
            _log.info('{} was refused with code {}', record, int(verdict))

    async def send_order(self, order: actions.Order) -> None:
        """Send an order if its term is still current; feed the answer."""
        listed = self.parts.instance_view.servers.get(order.server)
        answer: wire.OrderAnswer | None = None
        is_current = order.term == self._state.term.term
        if listed is not None and is_current and self.has_authority:
            self.parts.metrics.orders.inc(
                {'service': self._service.name, 'kind': type(order).__name__},
            )
            answer = await self._orders.send(
                order,
                listed,
                self._state.timing.detection_ms // 2,
            )
        now = self.parts.clock.now()
        self.feed(http_orders.to_event(order, answer, now))

    def _start(self, work: ActionCoroutine) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _log_term(self) -> state.TermState:
        return self.parts.instance_view.log_state.term_of(
            self._service.service_name
        )

    def _peer_address(
        self,
        instance: ids.InstanceId,
    ) -> peer_client.PeerAddress | None:
        found = self.parts.instance_view.log_state.instances.get(instance)
        if found is None:
            return None
        return peer_client.PeerAddress(found.peer_host, found.peer_port)

    def _feed_view(self) -> None:
        instance_view = self.parts.instance_view
        profile = instance_view.profile(self._service.profile)
        pending = self._state.pending
        folded = pending is not None and (
            instance_view.log_state.verdict_of(pending.record_id) is not None
        )
        self.feed(
            events.StateFolded(
                term=self._log_term(),
                assignment=instance_view.log_state.assignment_of(
                    self._service.service_name,
                ),
                candidates=tuple(
                    coordination.Candidate(known.instance, known.data_centre)
                    for known in instance_view.log_state.instances.values()
                ),
                timing=profile.timing,
                longest_deadline_ms=profile.limits.longest_deadline_ms,
                pending_folded=folded,
            ),
        )
        self.feed(
            events.ServersListed(
                tuple(
                    (listed.server, coordination.MemberState(listed.state))
                    for listed in instance_view.listed_and_owners_of(
                        self._service.service_name
                    )
                ),
            ),
        )


async def hand_term_to_deputy(loop: CoordinationLoop) -> None:
    """Append a claim that passes the term of this coordinator to its deputy."""
    claim = claims.claim_for_deputy(loop.current, loop.parts.clock.now())
    if claim is not None:
        await loop.parts.tail.publish(claim)


def _to_move_check(
    service: settings.Service,
    parts: Dependencies,
) -> events.MoveCheckDue:
    name = service.service_name
    log_state = parts.instance_view.log_state
    return events.MoveCheckDue(
        at=clock.UnixMillis(parts.wall_clock.now()),
        policy=parts.instance_view.profile(service.profile).moves,
        loads=parts.loads.loads_of(name, service.shards),
        wishes=log_state.placement_constraints_of(name),
        recent_moves=log_state.recent_moves.get(name, ()),
    )


def _log_change(
    service: str,
    before: coordination.CoordinatorState,
    after: coordination.CoordinatorState,
) -> None:
    if before.term.term != after.term.term:
        _log.info(
            '{}: term {} began; this instance is its {}',
            service,
            after.term.term,
            after.role.value,
        )


@functools.singledispatch
def carry_out(
    action: object,
    loop: CoordinationLoop,
) -> ActionCoroutine:
    """Return the coroutine for an action; raise TypeError if unknown."""
    raise TypeError(f'no handler is registered for the action {action!r}')


@carry_out.register
def _carry_out_read(
    action: actions.ReadTail,
    loop: CoordinationLoop,
) -> ActionCoroutine:
    return loop.read_tail()


@carry_out.register
def _carry_out_ask(
    action: actions.AskDeputy,
    loop: CoordinationLoop,
) -> ActionCoroutine:
    return loop.request_promise(action)


@carry_out.register
def _carry_out_release(
    action: actions.AskRelease,
    loop: CoordinationLoop,
) -> ActionCoroutine:
    return loop.request_release(action)


@carry_out.register
def _carry_out_probe(
    action: actions.ProbeHolders,
    loop: CoordinationLoop,
) -> ActionCoroutine:
    return loop.probe_holders(action)


@carry_out.register
def _carry_out_append(
    action: actions.AppendRecord,
    loop: CoordinationLoop,
) -> ActionCoroutine:
    return loop.append_record(action)


@carry_out.register(actions.Greet)
@carry_out.register(actions.Grant)
@carry_out.register(actions.Renew)
@carry_out.register(actions.Revoke)
def _carry_out_order(
    action: actions.Order,
    loop: CoordinationLoop,
) -> ActionCoroutine:
    return loop.send_order(action)

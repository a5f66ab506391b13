"""Obtain permits from the instances that count requests at servers.

Used where too many instances run to report their load to each other in time.
"""

import asyncio
import dataclasses
import random
import typing

from sycamoreferry_core import clock, ids
from sycamoreferry_core.fleet import message_intervals, permit_issuers, servers
from sycamoreferry_core.traffic import (
    permits,
    queueing,
    request_rates,
    server_load,
)
from sycamoreferry_gateway import (
    backlogs,
    counting_instances,
    event_log,
    peer_messages,
    permit_returns,
    rate_limit_reports,
    slowdown_reports,
    view,
    warm_up_reports,
)

# An answer takes one round trip between data centres; an unanswered permit
# request is sent again, as datagrams can be lost.
_RESEND_INTERVAL_MS = 120
# An instance that leaves this many permit requests unanswered is skipped.
_MAX_UNANSWERED = 3
# Interval at which a request whose key has no owner looks for one.
_OWNER_CHECK_MS = 20
# Numbers begin below this power of two, so that they stay exact as they grow.
_NUMBER_BITS = 52

Placement = servers.BackendServer | backlogs.Rejection


@dataclasses.dataclass(frozen=True, slots=True)
class _Target:
    """Hold the counting instance (home) and its queue (line) for a request."""

    home: ids.InstanceId
    line: permits.QueueName
    # The owner of the request's key; None if any server of the pool will do.
    server: ids.ServerId | None
    pool: int


@dataclasses.dataclass(slots=True)
class _Wait:
    """Hold a request for a permit at the instance that counts."""

    permit: permits.PermitId
    target: _Target
    answer: asyncio.Future[permits.PermitDecision]
    last_answer_at: clock.Millis = clock.LONG_AGO
    unanswered_count: int = 0
    is_over: bool = False
    # The server that answered the request or failed, where one is known.
    answered_server: ids.ServerId | None = None
    failed_server: ids.ServerId | None = None
    rate_limits: list[peer_messages.RateLimitRow] = dataclasses.field(
        default_factory=list
    )


class PermitClient:
    """Wait for permits, and return them when their requests end."""

    def __init__(
        self,
        cluster_view: view.View,
        loads: server_load.ServerLoads,
        estimates: backlogs.BacklogEstimator,
        log: event_log.EventLog,
    ) -> None:
        self._view = cluster_view
        self._clock = cluster_view.clock
        self._loads = loads
        self._backlogs = estimates
        self._log = log
        self._own_instance = cluster_view.deployment.instance
        self.counting = counting_instances.CountingInstances(
            cluster_view, loads
        )
        self._random = random.Random()
        # An earlier process of this instance may still be answered.
        self._next_number = self._random.getrandbits(_NUMBER_BITS)
        self._waits: dict[permits.PermitNumber, _Wait] = {}
        self._granted: dict[queueing.QueuedRequest, _Wait] = {}
        self.returns = permit_returns.PermitReturns()

    @property
    def is_in_use(self) -> bool:
        """Tell whether too many instances run to exchange loads directly."""
        peers = len(self._view.peer_addresses)
        return not message_intervals.choose_intervals(peers).is_mesh

    @property
    def waiting_count(self) -> int:
        """Return how many requests of this instance wait for a permit."""
        return len(self._waits)

    def is_needed(self, request: queueing.QueuedRequest) -> bool:
        """Tell whether a request needs a permit.

        Only the instance that counts for a server can keep a rate that holds
        for all instances together.
        """
        if self.is_in_use:
            return True
        limited_count = self._loads.rate_limits.limited_count
        if self._loads.warm_ups.is_empty and not limited_count:
            return False
        now = self._clock.now()
        if request.key is None:
            possible = self._view.servers_of(request.service)
        else:
            owner = self._backlogs.owner_server(request)
            possible = () if owner is None else (owner,)
        return any(
            request_rates.rate_of(
                server.incarnation.server, server, self._loads, now
            )
            for server in possible
        )

    async def acquire(self, request: queueing.QueuedRequest) -> Placement:
        """Wait for a permit at the key's owner, or at any server of a pool."""
        wait: _Wait | None = None
        draw = self._random.random()
        try:
            while True:
                wait = self._current_wait(wait, self._target_of(request, draw))
                found = await self._acquire_once(request, wait)
                if found is not None:
                    break
        except asyncio.CancelledError:
            self._end_wait(wait)
            raise
        if wait is not None and isinstance(found, servers.BackendServer):
            self._granted[request] = wait
        return found

    def release(
        self,
        request: queueing.QueuedRequest,
        server: ids.ServerId,
        *,
        has_answered: bool | None,
    ) -> None:
        """Return a request's permit; has_answered is None if cancelled."""
        granted = self._granted.pop(request, None)
        if granted is None:
            return
        if has_answered is not None:
            granted.answered_server = server if has_answered else None
            granted.failed_server = None if has_answered else server
        granted.rate_limits = rate_limit_reports.build_server_rows(
            self._loads.rate_limits, (server,), self._clock.now()
        )
        self._end_wait(granted)

    def handle_answer(self, answer: peer_messages.PermitAnswer) -> None:
        """Resolve the wait that an answer names; ignore one that has ended."""
        wait = self._waits.get(permits.PermitNumber(answer.number))
        if wait is None:
            return
        wait.last_answer_at = self._clock.now()
        self.counting.record_answer(wait.target.home)
        verdict = permits.PermitVerdict(answer.verdict)
        if verdict is permits.PermitVerdict.QUEUED or wait.answer.done():
            return
        backlog = queueing.Backlog(
            answer.ahead + answer.ahead_rest,
            answer.slots,
            answer.duration_ms,
        )
        server = ids.ServerId(answer.server) if answer.server else None
        wait.answer.set_result(
            permits.PermitDecision(wait.permit, verdict, backlog, server),
        )

    async def _acquire_once(
        self,
        request: queueing.QueuedRequest,
        wait: _Wait | None,
    ) -> Placement | None:
        """Ask once, or wait for an owner; return None to try again."""
        if wait is None:
            is_late = self._backlogs.is_late(request)
            if is_late or not self._backlogs.can_be_served(request, 0):
                return self._backlogs.rejection(request, 0)
            await asyncio.sleep(clock.seconds(_OWNER_CHECK_MS))
            return None
        decision = await self._ask(request, wait)
        if decision is None:
            return self._reject_if_late(request, wait)
        self._waits.pop(wait.permit.number, None)
        if decision.server is None:
            return self._backlogs.rejection_for(request, decision.backlog)
        server = self._view.fleet.get(decision.server)
        now = self._clock.now()
        back_offs = self._loads.back_offs
        if (
            server is None
            or not self._backlogs.may_get(server, request)
            or back_offs.remaining_ms(server.incarnation, now)
        ):
            # The server is gone or leaving here, though not yet where it is
            # counted, or asked this instance for a back-off, so the permit goes
            # back and another one is asked for.
            self._end_wait(wait)
            await asyncio.sleep(clock.seconds(_OWNER_CHECK_MS))
            return None
        back_offs.record_start(server.incarnation, now)
        return server

    def _reject_if_late(
        self,
        request: queueing.QueuedRequest,
        wait: _Wait,
    ) -> backlogs.Rejection | None:
        """Reject a request that can no longer be sent in time."""
        if not self._backlogs.is_late(request):
            return None
        self._end_wait(wait)
        return self._backlogs.rejection(request, 0)

    def _current_wait(
        self,
        wait: _Wait | None,
        target: _Target | None,
    ) -> _Wait | None:
        """Keep the wait if its target is still right; else start another."""
        if wait is not None and wait.target == target and not wait.is_over:
            return wait
        self._end_wait(wait)
        if target is None:
            return None
        number = permits.PermitNumber(self._next_number)
        self._next_number += 1
        permit = permits.PermitId(self._own_instance, number)
        new_wait = _Wait(permit, target, _new_answer())
        self._waits[number] = new_wait
        return new_wait

    async def _ask(
        self,
        request: queueing.QueuedRequest,
        wait: _Wait,
    ) -> permits.PermitDecision | None:
        """Ask once; return None if no decision arrives in time."""
        asked_at = self._clock.now()
        self.returns.post(
            wait.target.home, self._ask_message(request, wait, asked_at)
        )
        await asyncio.wait(
            (wait.answer,),
            timeout=clock.seconds(_RESEND_INTERVAL_MS),
        )
        if wait.answer.done():
            return wait.answer.result()
        if wait.last_answer_at < asked_at:
            self._record_unanswered(wait)
        return None

    def _ask_message(
        self,
        request: queueing.QueuedRequest,
        wait: _Wait,
        now: clock.Millis,
    ) -> peer_messages.PermitRequest:
        owner = None
        excluded = request.excluded | self._loads.back_offs.closed_ids(now)
        if wait.target.server is None:
            excluded |= _leaving_servers(self._view.servers_of(request.service))
        else:
            owner = self._view.fleet.get(wait.target.server)
        duration = self._loads.service_duration_ms(request.service)
        if owner is not None:
            duration = self._loads.duration_ms(owner)
        answer_in_ms = None
        if request.answer_by is not None:
            answer_in_ms = request.answer_by - now
        return peer_messages.PermitRequest(
            instance=self._own_instance,
            number=wait.permit.number,
            line=wait.target.line,
            server=wait.target.server or '',
            service=request.service,
            pool=wait.target.pool,
            slots=1 if owner is None else owner.slots,
            duration_ms=duration,
            priority=request.priority,
            waited_ms=now - request.arrived,
            objective_in_ms=request.objective_at - now,
            ends_in_ms=request.ends_at - now,
            data_centre=request.data_centre,
            excluded=list(excluded),
            has_large_answer=request.has_large_answer,
            answer_in_ms=answer_in_ms,
            rate_limits=rate_limit_reports.build_server_rows(
                self._loads.rate_limits,
                self._limited_of(request.service, wait.target.server),
                now,
            ),
            sent_at=now,
            warm_ups=self._warm_up_rows(request.service, wait, now),
        )

    def _warm_up_rows(
        self, service: ids.ServiceName, wait: _Wait, now: clock.Millis
    ) -> list[peer_messages.WarmUpRow]:
        """Report the servers that a request may be sent to."""
        if self._loads.warm_ups.is_empty:
            return []
        among = {
            one.incarnation.server for one in self._view.servers_of(service)
        }
        if wait.target.server is not None:
            among = {wait.target.server}
        return warm_up_reports.build_rows(self._loads.warm_ups, now, among)

    def _limited_of(
        self, service: ids.ServiceName, owner: ids.ServerId | None
    ) -> list[ids.ServerId]:
        """Return the limited servers that a request may be sent to."""
        limited = self._loads.rate_limits.limited_servers()
        if owner is not None:
            return [server for server in limited if server == owner]
        known = {
            server.incarnation.server
            for server in self._view.servers_of(service)
        }
        return [server for server in limited if server in known]

    def _end_wait(self, wait: _Wait | None) -> None:
        if wait is None or wait.is_over:
            return
        wait.is_over = True
        self._waits.pop(wait.permit.number, None)
        now = self._clock.now()
        slowdown, slowdown_at = slowdown_reports.fields_of(
            self._loads.slowdowns,
            wait.answered_server or wait.failed_server,
            now,
        )
        message = peer_messages.PermitReturn(
            self._own_instance,
            wait.permit.number,
            wait.target.line,
            wait.failed_server or '',
            wait.answered_server or '',
            wait.rate_limits,
            now,
            warm_up_reports.build_rows(
                self._loads.warm_ups,
                now,
                [
                    server
                    for server in (wait.answered_server, wait.failed_server)
                    if server
                ],
            ),
            slowdown,
            slowdown_at,
        )
        self.returns.start(wait.target.home, message)

    def _record_unanswered(self, wait: _Wait) -> None:
        home = wait.target.home
        wait.unanswered_count += 1
        if (
            wait.unanswered_count < _MAX_UNANSWERED
            or home == self._own_instance
        ):
            return
        if not self.counting.skip(home):
            return
        self._log.write_rate_limited(
            'permits',
            'counting instance skipped after unanswered permit requests',
            instance=home,
            unanswered=wait.unanswered_count,
        )

    def _target_of(
        self,
        request: queueing.QueuedRequest,
        draw: float,
    ) -> _Target | None:
        """Return where to ask; None while no server may be sent to."""
        if request.key is None:
            pool = self._choose_pool(request, draw)
            if pool is None or self._backlogs.is_hopeless(request):
                return None
            line = counting_instances.pool_line(request.service, pool)
            return _Target(self.counting.of_line(line), line, None, pool)
        owner = self._backlogs.owner_server(request)
        if owner is None or self._loads.back_offs.remaining_ms(
            owner.incarnation, self._clock.now()
        ):
            return None
        server = owner.incarnation.server
        line = permits.QueueName(server)
        return _Target(self.counting.of_line(line), line, server, 0)

    def _choose_pool(
        self, request: queueing.QueuedRequest, draw: float
    ) -> int | None:
        """Return a pool by lot; None if this instance backs off from all."""
        known = self._view.servers_of(request.service)
        count = permit_issuers.pool_count(len(known))
        drawn = int(draw * count)
        back_offs = self._loads.back_offs
        if back_offs.is_empty:
            return drawn
        possible = self._backlogs.possible_servers(request)
        if not possible:
            return drawn
        usable = back_offs.open_servers(possible, self._clock.now())
        return permit_issuers.choose_pool(
            [server.incarnation.server for server in usable], count, drawn
        )


def _leaving_servers(
    known: typing.Iterable[servers.BackendServer],
) -> frozenset[ids.ServerId]:
    """Return servers that the counting instance may still take for ready."""
    return frozenset(
        server.incarnation.server for server in known if not server.is_ready
    )


def _new_answer() -> asyncio.Future[permits.PermitDecision]:
    return asyncio.get_running_loop().create_future()

"""Ask the instances that count for servers for room.

Used where there are too many instances to tell each other their load in time.
"""

import asyncio
import dataclasses
import random

from sycamoreferry_core import clock, ids
from sycamoreferry_core.fleet import homes, servers, spreading
from sycamoreferry_core.traffic import permits, server_load, waiting
from sycamoreferry_gateway import (
    backlogs,
    event_log,
    peer_messages,
    permit_returns,
    view,
)

# An answer takes two ways between data centres; lost datagrams are repeated.
_ASK_AGAIN_MS = 120
# An instance that leaves so many asks unanswered is passed over for a while.
_UNHEARD_TO_PASS_OVER = 3
_PASSED_OVER_MS = 2_000
# How often the list of instances alive is looked at.
_HOMES_MS = 200
# How often a request without an owner of its key looks for one.
_OWNER_CHECK_MS = 20

Found = servers.BackendServer | backlogs.Rejected


@dataclasses.dataclass(frozen=True, slots=True)
class _Place:
    home: ids.InstanceId
    line: permits.LineName
    # The owner of the request's key; None if any server of a pool will do.
    server: ids.ServerId | None
    pool: int


@dataclasses.dataclass(slots=True)
class _Wait:
    """Hold where a request waits for room."""

    permit: permits.PermitId
    place: _Place
    answer: asyncio.Future[permits.PermitDecision]
    heard_at: clock.Millis = clock.LONG_AGO
    unheard: int = 0
    is_over: bool = False
    # The server that answered or failed the request, if it is known.
    answered: ids.ServerId | None = None
    failed: ids.ServerId | None = None


class PermitRequests:
    """Wait for room that another instance counts."""

    def __init__(
        self,
        folded: view.View,
        loads: server_load.ServerLoads,
        waits: backlogs.Backlogs,
        log: event_log.EventLog,
    ) -> None:
        self._view = folded
        self._clock = folded.clock
        self._loads = loads
        self._backlogs = waits
        self._log = log
        self._own = folded.deployment.instance
        self._homes = homes.HomeTable()
        self._homes_at = clock.LONG_AGO
        self._random = random.Random()
        self._next_number = 0
        self._waits: dict[permits.PermitNumber, _Wait] = {}
        self._held: dict[waiting.WaitingRequest, _Wait] = {}
        self.returns = permit_returns.PermitReturns()
        self._heard_at: dict[ids.InstanceId, clock.Millis] = {}
        self._passed_over: dict[ids.InstanceId, clock.Millis] = {}

    @property
    def is_in_use(self) -> bool:
        """Tell whether instances are too many to know each other's load."""
        peers = len(self._view.peer_addresses)
        return not spreading.plan_spreading(peers).is_mesh

    @property
    def waiting_count(self) -> int:
        """Return how many requests of this instance wait."""
        return len(self._waits)

    async def acquire(self, request: waiting.WaitingRequest) -> Found:
        """Wait for room at the owner of a key, or at any equal server."""
        wait: _Wait | None = None
        draw = self._random.random()
        try:
            while True:
                wait = self._follow(wait, self._place(request, draw))
                found = await self._step(request, wait)
                if found is not None:
                    break
        except asyncio.CancelledError:
            self._leave(wait)
            raise
        if wait is not None and isinstance(found, servers.BackendServer):
            self._held[request] = wait
        return found

    def give_back(
        self,
        request: waiting.WaitingRequest,
        server: ids.ServerId,
        *,
        has_answered: bool | None,
    ) -> None:
        """Return the room of a request; tell whether its server answered."""
        held = self._held.pop(request, None)
        if held is None:
            return
        if has_answered is not None:
            held.answered = server if has_answered else None
            held.failed = None if has_answered else server
        self._leave(held)

    def take_answer(self, answer: peer_messages.PermitAnswer) -> None:
        """Take what the counting instance decided."""
        wait = self._waits.get(permits.PermitNumber(answer.number))
        if wait is None:
            return
        wait.heard_at = self._clock.now()
        self._heard_at[wait.place.home] = wait.heard_at
        verdict = permits.PermitVerdict(answer.verdict)
        if verdict is permits.PermitVerdict.QUEUED or wait.answer.done():
            return
        backlog = waiting.Backlog(
            answer.ahead,
            answer.slots,
            answer.duration_ms,
        )
        server = ids.ServerId(answer.server) if answer.server else None
        wait.answer.set_result(
            permits.PermitDecision(wait.permit, verdict, backlog, server),
        )

    async def _step(
        self,
        request: waiting.WaitingRequest,
        wait: _Wait | None,
    ) -> Found | None:
        """Ask once, or wait for an owner; return what came out, if anything."""
        if wait is None:
            if self._is_hopeless(request):
                return self._backlogs.rejection(request, 0)
            await asyncio.sleep(clock.seconds(_OWNER_CHECK_MS))
            return None
        decision = await self._ask(request, wait)
        if decision is None:
            return self._reject_late(request, wait)
        self._waits.pop(wait.permit.number, None)
        if decision.server is None:
            return self._backlogs.rejection_behind(request, decision.backlog)
        server = self._view.fleet.get(decision.server)
        if server is None:
            # Its entry is gone here already, so another one is asked for.
            self._leave(wait)
        return server

    def _reject_late(
        self,
        request: waiting.WaitingRequest,
        wait: _Wait,
    ) -> backlogs.Rejected | None:
        """Reject a request that can't be sent in time any more."""
        duration = self._loads.service_ms(request.service)
        if self._clock.now() < waiting.latest_start(request, duration):
            return None
        self._leave(wait)
        return self._backlogs.rejection(request, 0)

    def _follow(
        self,
        wait: _Wait | None,
        place: _Place | None,
    ) -> _Wait | None:
        """Return the wait at the place where the request belongs now."""
        if wait is not None and wait.place == place and not wait.is_over:
            return wait
        self._leave(wait)
        if place is None:
            return None
        number = permits.PermitNumber(self._next_number)
        self._next_number += 1
        permit = permits.PermitId(self._own, number)
        entered = _Wait(permit, place, _new_answer())
        self._waits[number] = entered
        return entered

    async def _ask(
        self,
        request: waiting.WaitingRequest,
        wait: _Wait,
    ) -> permits.PermitDecision | None:
        """Ask once; return None if no decision came in time."""
        asked_at = self._clock.now()
        self.returns.post(
            wait.place.home, self._message(request, wait, asked_at)
        )
        await asyncio.wait(
            (wait.answer,),
            timeout=clock.seconds(_ASK_AGAIN_MS),
        )
        if wait.answer.done():
            return wait.answer.result()
        if wait.heard_at < asked_at:
            self._count_unheard(wait)
        return None

    def _message(
        self,
        request: waiting.WaitingRequest,
        wait: _Wait,
        now: clock.Millis,
    ) -> peer_messages.PermitAsk:
        owner = None
        if wait.place.server is not None:
            owner = self._view.fleet.get(wait.place.server)
        duration = self._loads.service_ms(request.service)
        if owner is not None:
            duration = self._loads.duration_ms(owner)
        return peer_messages.PermitAsk(
            instance=self._own,
            number=wait.permit.number,
            line=wait.place.line,
            server=wait.place.server or '',
            service=request.service,
            pool=wait.place.pool,
            slots=1 if owner is None else owner.slots,
            duration_ms=duration,
            priority=request.priority,
            waited_ms=now - request.arrived,
            objective_in_ms=request.objective_at - now,
            ends_in_ms=request.ends_at - now,
            data_centre=request.data_centre,
            excluded=list(request.excluded),
            has_large_answer=request.has_large_answer,
        )

    def _leave(self, wait: _Wait | None) -> None:
        if wait is None or wait.is_over:
            return
        wait.is_over = True
        self._waits.pop(wait.permit.number, None)
        message = peer_messages.PermitReturn(
            self._own,
            wait.permit.number,
            wait.place.line,
            wait.failed or '',
            wait.answered or '',
        )
        self.returns.start(wait.place.home, message)

    def _is_hopeless(self, request: waiting.WaitingRequest) -> bool:
        backlog = self._backlogs.backlog(request, 0)
        return not waiting.can_be_served(request, backlog, self._clock.now())

    def _count_unheard(self, wait: _Wait) -> None:
        home = wait.place.home
        wait.unheard += 1
        if wait.unheard < _UNHEARD_TO_PASS_OVER or home == self._own:
            return
        now = self._clock.now()
        if not self._hears_others(home, now):
            # The link of this instance is full, so nobody is to blame.
            return
        self._passed_over[home] = clock.later(now, _PASSED_OVER_MS)
        self._homes_at = clock.LONG_AGO
        self._log.sample(
            'permits',
            'instance left asks for room unanswered',
            instance=home,
            unanswered=wait.unheard,
        )

    def _hears_others(self, home: ids.InstanceId, now: clock.Millis) -> bool:
        heard = [at for name, at in self._heard_at.items() if name != home]
        return max(heard, default=clock.LONG_AGO) > now - _ASK_AGAIN_MS

    def _place(
        self,
        request: waiting.WaitingRequest,
        draw: float,
    ) -> _Place | None:
        """Return where room is counted; None while a key has no owner."""
        self._refresh_homes()
        if request.key is None:
            count = len(self._view.servers_of(request.service))
            pool = int(draw * homes.pools_of(count))
            line = permits.LineName(f'{request.service} {pool}')
            return _Place(self._homes.get(line) or self._own, line, None, pool)
        owner = self._backlogs.owner_server(request)
        if owner is None:
            return None
        server = owner.life.server
        line = permits.LineName(server)
        return _Place(self._homes.get(line) or self._own, line, server, 0)

    def _refresh_homes(self) -> None:
        now = self._clock.now()
        if now - self._homes_at >= _HOMES_MS:
            self._homes_at = now
            self._homes.use(self._weights(now))

    def _weights(
        self,
        now: clock.Millis,
    ) -> dict[ids.InstanceId, float]:
        weights = {
            peer.instance: peer.counting_weight
            for peer in self._view.peers.alive(now)
            if not peer.is_leaving
            and self._passed_over.get(peer.instance, clock.LONG_AGO) <= now
        }
        weights[self._own] = self._view.deployment.counting_weight
        return weights


def _new_answer() -> asyncio.Future[permits.PermitDecision]:
    return asyncio.get_running_loop().create_future()

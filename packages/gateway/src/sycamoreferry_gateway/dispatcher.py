"""Find a backend server with room for each request, or reject it."""

import asyncio
import dataclasses
import random

from sycamoreferry_core import clock, ids
from sycamoreferry_core.fleet import servers
from sycamoreferry_core.traffic import choice, server_load, waiting
from sycamoreferry_gateway import backlogs, permit_requests, view

# How often waiting requests look for room that nobody told of.
_TICK_MS = 20
_MOST_WAITING = 600


@dataclasses.dataclass(slots=True, eq=False)
class _Ticket:
    request: waiting.WaitingRequest
    result: asyncio.Future[servers.BackendServer | backlogs.Rejected]


class Dispatcher:
    """Hold waiting requests and hand out room at servers."""

    def __init__(
        self,
        folded: view.View,
        loads: server_load.ServerLoads,
    ) -> None:
        self._view = folded
        self._loads = loads
        self._tickets: dict[ids.ServiceName, list[_Ticket]] = {}
        self._is_due = False
        self._random = random.Random()
        self._backlogs = backlogs.Backlogs(folded, loads, self._random)
        self.permits = permit_requests.PermitRequests(
            folded,
            loads,
            self._backlogs,
            folded.log,
        )

    @property
    def waiting_count(self) -> int:
        """Return how many requests wait."""
        held = sum(len(rows) for rows in self._tickets.values())
        return held + self.permits.waiting_count

    async def acquire(
        self,
        request: waiting.WaitingRequest,
    ) -> servers.BackendServer | backlogs.Rejected:
        """Wait for a server with room; its load counts the request."""
        if self.permits.is_in_use:
            return await self._acquire_permit(request)
        tickets = self._tickets.get(request.service)
        if not tickets:
            server = self._place(request)
            if server is not None:
                return server
        rejected = self._reject_hopeless(request)
        if rejected is not None:
            return rejected
        ticket = _Ticket(request, asyncio.get_running_loop().create_future())
        self._tickets.setdefault(request.service, []).append(ticket)
        if tickets:
            self.pump()
        try:
            return await ticket.result
        except asyncio.CancelledError:
            self._withdraw(ticket)
            raise

    def release(
        self,
        request: waiting.WaitingRequest,
        server: ids.ServerId,
        *,
        has_answered: bool | None = None,
    ) -> None:
        """Give back the room of a request that ended."""
        self._loads.finish(server)
        self.permits.give_back(request, server, has_answered=has_answered)
        self.wake()

    def wake(self) -> None:
        """Look for room soon, once for several changes."""
        if self._is_due or not self._tickets:
            return
        self._is_due = True
        asyncio.get_running_loop().call_soon(self.pump)

    async def tick_forever(self) -> None:
        """Look for room and end waits that are over."""
        while True:
            await asyncio.sleep(clock.seconds(_TICK_MS))
            if self._tickets:
                self.pump()

    def pump(self) -> None:
        """Send waiting requests in turn while there is room."""
        self._is_due = False
        now = self._view.clock.now()
        for service, tickets in list(self._tickets.items()):
            self._pump_service(service, tickets, now)
        self._report_waiting()

    async def _acquire_permit(
        self,
        request: waiting.WaitingRequest,
    ) -> permit_requests.Found:
        if self.waiting_count >= _MOST_WAITING:
            return self._backlogs.rejection(request, 0)
        found = await self.permits.acquire(request)
        if isinstance(found, servers.BackendServer):
            self._loads.start(found.life.server)
        return found

    def _pump_service(
        self,
        service: ids.ServiceName,
        tickets: list[_Ticket],
        now: clock.Millis,
    ) -> None:
        duration = self._loads.service_ms(service)
        in_turn = waiting.in_turn(
            tickets,
            lambda ticket: ticket.request,
            duration,
            now,
        )
        is_full = False
        for ticket in in_turn:
            if ticket.result.done():
                continue
            is_keyed = ticket.request.key is not None
            if is_keyed or not is_full:
                is_placed = self._settle(ticket, duration, now)
                is_full = is_full or not (is_keyed or is_placed)
            else:
                self._expire(ticket, duration, now)
        left = [ticket for ticket in in_turn if not ticket.result.done()]
        if left:
            self._tickets[service] = left
        else:
            self._tickets.pop(service, None)

    def _settle(
        self,
        ticket: _Ticket,
        duration: float,
        now: clock.Millis,
    ) -> bool:
        """Give a request its server; tell whether one had room."""
        server = self._place(ticket.request)
        if server is None:
            self._expire(ticket, duration, now)
            return False
        ticket.result.set_result(server)
        return True

    def _expire(
        self,
        ticket: _Ticket,
        duration: float,
        now: clock.Millis,
    ) -> None:
        """Reject a request that can't be answered in time any more."""
        if now >= waiting.latest_start(ticket.request, duration):
            ticket.result.set_result(
                self._backlogs.rejection(
                    ticket.request,
                    self._count(ticket.request),
                )
            )

    def _count(self, request: waiting.WaitingRequest) -> int:
        return len(self._tickets.get(request.service, ()))

    def _withdraw(self, ticket: _Ticket) -> None:
        tickets = self._tickets.get(ticket.request.service, [])
        if ticket in tickets:
            tickets.remove(ticket)
            if not tickets:
                self._tickets.pop(ticket.request.service, None)
        elif ticket.result.done() and not ticket.result.cancelled():
            granted = ticket.result.result()
            if isinstance(granted, servers.BackendServer):
                self.release(ticket.request, granted.life.server)

    def _place(
        self,
        request: waiting.WaitingRequest,
    ) -> servers.BackendServer | None:
        now = self._view.clock.now()
        if request.key is None:
            server = self._choose(request, now)
        else:
            server = self._owner(request, now)
        if server is not None:
            self._loads.start(server.life.server)
        return server

    def _choose(
        self,
        request: waiting.WaitingRequest,
        now: clock.Millis,
    ) -> servers.BackendServer | None:
        choosing = choice.Choosing(
            self._view.deployment.data_centre,
            request.excluded,
            now,
            request.has_large_answer,
        )
        candidates = self._view.servers_of(request.service)
        if len(candidates) > choice.MOST_CANDIDATES:
            candidates = self._random.sample(
                list(candidates),
                choice.MOST_CANDIDATES,
            )
        return choice.choose_server(
            candidates,
            self._loads,
            choosing,
            self._random.random,
        )

    def _owner(
        self,
        request: waiting.WaitingRequest,
        now: clock.Millis,
    ) -> servers.BackendServer | None:
        server = self._backlogs.owner_server(request)
        if server is None or not choice.has_room(server, self._loads, now):
            return None
        return server

    def _reject_hopeless(
        self,
        request: waiting.WaitingRequest,
    ) -> backlogs.Rejected | None:
        if self.waiting_count >= _MOST_WAITING:
            return self._backlogs.rejection(request, self._count(request))
        backlog = self._backlogs.backlog(request, self._count(request))
        now = self._view.clock.now()
        if waiting.can_be_served(request, backlog, now):
            return None
        return self._backlogs.rejection(request, self._count(request))

    def _report_waiting(self) -> None:
        counts: dict[ids.ServerId, int] = {}
        for tickets in self._tickets.values():
            for ticket in tickets:
                server = self._backlogs.owner_server(ticket.request)
                if server is not None:
                    server_id = server.life.server
                    counts[server_id] = counts.get(server_id, 0) + 1
        for server_id in self._view.fleet.servers:
            self._loads.set_waiting(server_id, counts.get(server_id, 0))

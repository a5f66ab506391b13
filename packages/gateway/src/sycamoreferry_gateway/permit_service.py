"""Issue permits to send requests to servers, counted for all instances."""

import functools
import math
import random
import typing

from sycamoreferry_core import clock, ids
from sycamoreferry_core.fleet import permit_issuers, servers
from sycamoreferry_core.traffic import (
    limit_shares,
    permits,
    queueing,
    request_pacer,
    request_rates,
    server_choice,
    server_load,
)
from sycamoreferry_gateway import (
    peer_messages,
    view,
)

# Interval at which expired permits are freed and late requests rejected.
_SWEEP_INTERVAL_MS = 50
# An instance that granted nothing for so long no longer counts for a server.
_COUNTING_MS = 4_000

Post = typing.Callable[[ids.InstanceId, peer_messages.PeerMessage], None]
CounterOf = typing.Callable[[ids.ServerId], ids.InstanceId]


class PermitService:
    """Issue permits for the servers that this instance counts for."""

    def __init__(
        self,
        cluster_view: view.View,
        loads: server_load.ServerLoads,
        post: Post,
        counter_of: CounterOf,
    ) -> None:
        self._view = cluster_view
        self._clock = cluster_view.clock
        self._loads = loads
        self._post = post
        self._counter_of = counter_of
        self._desk = permits.PermitIssuer()
        self._random = random.Random()
        self._pacer = request_pacer.RequestPacer()
        self._shares: dict[ids.ServerId, float] = {}
        # When this instance last granted a request to each limited server.
        self._granted_at: dict[ids.ServerId, clock.Millis] = {}

    @property
    def waiting_count(self) -> int:
        """Return how many requests of all instances wait for a permit here."""
        return self._desk.waiting_count

    async def sweep_forever(self) -> None:
        """Send the decisions that became due since the last sweep."""
        while True:
            await self._view.ticks.wait(_SWEEP_INTERVAL_MS)
            self._send_decisions(self._desk.decide_due(self._clock.now()))
            self._pacer.drop_unused(self._clock.now())
            self._drop_old_grants()
            self._drop_warm_servers()
            self._shares.clear()

    def handle_request(self, asked: peer_messages.PermitRequest) -> None:
        """Grant a permit, queue the request, or reject it."""
        now = self._clock.now()
        supply = (
            self._owner_supply(asked)
            if asked.server
            else self._pool_supply(asked)
        )
        decided = self._desk.request_permit(
            permits.QueueName(asked.line),
            _permit_id_of(asked),
            _request_of(asked, now),
            supply,
            now,
        )
        self._send_decisions(decided)

    def handle_return(self, returned: peer_messages.PermitReturn) -> None:
        """Take a permit back, confirm it, and grant the next in turn."""
        now = self._clock.now()
        if returned.failed:
            self._loads.record_failure(ids.ServerId(returned.failed), now)
        if returned.answered:
            self._loads.record_success(ids.ServerId(returned.answered))
        decided = self._desk.release(
            permits.QueueName(returned.line),
            _permit_id_of(returned),
            now,
        )
        self._post(
            ids.InstanceId(returned.instance),
            peer_messages.PermitReturned(returned.number),
        )
        self._send_decisions(decided)

    def _owner_supply(
        self, asked: peer_messages.PermitRequest
    ) -> permits.Supply:
        """Return the capacity of a key's owner."""
        now = self._clock.now()
        server_id = ids.ServerId(asked.server)
        server = self._view.fleet.get(server_id)
        duration = asked.duration_ms
        if server is not None:
            duration = self._loads.current_duration_ms(
                server, self._clock.now()
            )
        capacity = server_choice.capacity_of(asked.slots)
        if self._loads.is_suspended(server_id, now):
            # The server is probably down; one request at a time probes it.
            capacity = 1
        slots: float = min(asked.slots, capacity)
        if server is not None:
            usable = server_choice.usable_slots(server, self._loads, now)
            slots = min(slots, usable)
        return permits.Supply(
            slots=slots,
            capacity=capacity,
            duration_ms=duration,
            record_grant=self._record_grant,
            choose=functools.partial(
                self._owner_with_capacity, server_id, capacity
            ),
        )

    def _pool_supply(
        self, asked: peer_messages.PermitRequest
    ) -> permits.Supply:
        """Return the capacity of a pool of interchangeable servers."""
        now = self._clock.now()
        service = ids.ServiceName(asked.service)
        known = self._view.servers_of(service)
        pools = permit_issuers.pool_count(len(known))
        members = [
            server
            for server in known
            if permit_issuers.pool_of(server.incarnation.server, pools)
            == asked.pool % pools
        ]
        ready = [server for server in members if server.is_ready]
        return permits.Supply(
            slots=sum(
                server_choice.usable_slots(server, self._loads, now)
                for server in ready
            ),
            capacity=sum(
                server_choice.capacity_of(server.slots) for server in ready
            ),
            duration_ms=self._loads.service_duration_ms(service),
            record_grant=self._record_grant,
            choose=functools.partial(self._choose_server, members),
        )

    def _choose_server(
        self,
        members: typing.Sequence[servers.BackendServer],
        request: queueing.QueuedRequest,
        counted: typing.Mapping[ids.ServerId, int],
    ) -> ids.ServerId | None:
        now = self._clock.now()
        due = members
        if self._has_paced_servers():
            due = [
                server
                for server in members
                if self._may_send(server.incarnation.server, now)
            ]
        chosen = server_choice.choose_server(
            due,
            self._loads,
            server_choice.ChoiceInputs(
                request.data_centre,
                request.excluded,
                now,
                request.has_large_answer,
                counted,
            ),
            self._random.random,
        )
        return None if chosen is None else chosen.incarnation.server

    def _owner_with_capacity(
        self,
        owner: ids.ServerId,
        capacity: int,
        _request: queueing.QueuedRequest,
        counted: typing.Mapping[ids.ServerId, int],
    ) -> ids.ServerId | None:
        if counted.get(owner, 0) >= capacity:
            return None
        return owner if self._may_send(owner, self._clock.now()) else None

    def _has_paced_servers(self) -> bool:
        limited_count = self._loads.rate_limits.limited_count
        return bool(limited_count) or not self._loads.warm_ups.is_empty

    def _may_send(self, server: ids.ServerId, now: clock.Millis) -> bool:
        """Tell whether a server's limit or warm-up allows a request now."""
        rate = self._rate_of(server, now)
        if rate is None:
            return True
        share = self._share_of(server, now)
        self._pacer.set_rate(
            server, rate.requests_per_s, share, now, rate.burst
        )
        return self._pacer.is_due(server, now)

    def _rate_of(
        self, server: ids.ServerId, now: clock.Millis
    ) -> request_rates.RequestRate | None:
        return request_rates.rate_of(
            server, self._view.fleet.get(server), self._loads, now
        )

    def _share_of(self, server: ids.ServerId, now: clock.Millis) -> float:
        """Return the share of a limit that is counted here until a sweep."""
        share = self._shares.get(server)
        if share is None:
            share = limit_shares.share_of(
                server,
                self._view.deployment.instance,
                self._counter_of(server),
                self._view.peers,
                now,
                self._count_registered_peers(server, now),
            )
            self._shares[server] = share
        return share

    def _count_registered_peers(
        self, server: ids.ServerId, now: clock.Millis
    ) -> int:
        """Return how many others share the rate of a server if it is cold."""
        listed = self._view.fleet.get(server)
        if (
            listed is None
            or self._loads.warm_ups.requests_per_s(listed, now) is None
        ):
            return 0
        known = map(self._view.peers.status, self._view.peer_addresses)
        return sum(peer is None or not peer.is_leaving for peer in known)

    def _record_grant(self, server: ids.ServerId) -> None:
        now = self._clock.now()
        rate = self._rate_of(server, now)
        if rate is None:
            return
        self._pacer.record_request(server)
        before = self._granted_at.get(server, clock.LONG_AGO)
        self._granted_at[server] = now
        if now - before > _COUNTING_MS:
            self._view.log.write_rate_limited(
                'permits',
                'instance counts for a limited server',
                server=server,
                requests_per_s=rate.requests_per_s,
                share=self._share_of(server, now),
                instances_heard=self._view.peers.count(now),
            )

    def _drop_old_grants(self) -> None:
        now = self._clock.now()
        for server, granted_at in list(self._granted_at.items()):
            if now - granted_at > _COUNTING_MS:
                self._granted_at.pop(server)

    def _drop_warm_servers(self) -> None:
        if self._loads.warm_ups.is_active:
            now = self._clock.now()
            self._pacer.drop(lambda server: self._rate_of(server, now) is None)

    def _send_decisions(self, decided: list[permits.PermitDecision]) -> None:
        for decision in decided:
            self._post(decision.permit.instance, _answer_of(decision))


def _answer_of(decision: permits.PermitDecision) -> peer_messages.PermitAnswer:
    backlog = decision.backlog
    ahead = math.ceil(backlog.ahead)
    return peer_messages.PermitAnswer(
        decision.permit.number,
        decision.verdict.value,
        decision.server or '',
        ahead,
        backlog.slots,
        backlog.duration_ms,
        backlog.ahead - ahead,
    )


def _request_of(
    asked: peer_messages.PermitRequest,
    now: clock.Millis,
) -> queueing.QueuedRequest:
    answer_by = None
    if asked.answer_in_ms is not None:
        answer_by = clock.later(now, asked.answer_in_ms)
    return queueing.QueuedRequest(
        service=ids.ServiceName(asked.service),
        key=None,
        priority=asked.priority,
        arrived=clock.later(now, -asked.waited_ms),
        objective_at=clock.later(now, asked.objective_in_ms),
        ends_at=clock.later(now, asked.ends_in_ms),
        excluded=frozenset(ids.ServerId(one) for one in asked.excluded),
        has_large_answer=asked.has_large_answer,
        answer_by=answer_by,
        data_centre=ids.DataCentre(asked.data_centre),
    )


def _permit_id_of(
    message: peer_messages.PermitRequest | peer_messages.PermitReturn,
) -> permits.PermitId:
    return permits.PermitId(
        ids.InstanceId(message.instance),
        permits.PermitNumber(message.number),
    )

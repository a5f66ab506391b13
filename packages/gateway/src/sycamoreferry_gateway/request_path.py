"""Take a request from its caller to a backend server and back."""

import asyncio
import http
import typing

import xxhash

from sycamoreferry_adapter import request_headers
from sycamoreferry_core import clock, ids, result_codes
from sycamoreferry_core.fleet import deployment, servers
from sycamoreferry_core.keyspace import owners
from sycamoreferry_core.traffic import (
    crashes,
    repeats,
    routes,
    server_load,
    waiting,
)
from sycamoreferry_gateway import (
    answers,
    backlogs,
    dispatcher,
    event_log,
    http_client,
    http_server,
    journeys,
    judging,
    telemetry,
    view,
)

_Code = result_codes.ResultCode

# A request is sent at most this often, rejections by servers included.
_MOST_SENDS = 3
# A safe request leaves this share of its time for another server.
_FIRST_TRY_SHARE = 0.5
_LEAST_TRY_MS = 250
# A server that has just rejected a request is asked again after this.
_PAUSE_AFTER_REJECTION_MS = 40
_STARTING_RETRY_MS = 500
_LATER_RETRY_MS = 300


class RequestPath:
    """Serve requests."""

    def __init__(
        self,
        folded: view.View,
        loads: server_load.ServerLoads,
        queue: dispatcher.Dispatcher,
        pool: http_client.ConnectionPool,
        log: event_log.EventLog,
        measures: telemetry.Telemetry,
    ) -> None:
        self._view = folded
        self._loads = loads
        self._queue = queue
        self._pool = pool
        self._log = log
        self._measures = measures
        self._judge = judging.AnswerJudge(folded, loads, log)
        self._turns = routes.SplitTurns()
        self._demand: dict[tuple[ids.ServiceName, owners.Key], int] = {}
        bounds = folded.deployment.bounds
        self.budget = repeats.RepeatBudget(
            repeats.RepeatAllowance(
                bounds.repeat_ratio,
                bounds.repeat_window_ms,
                bounds.repeat_extra,
            ),
        )
        self.in_flight = 0

    def take_demand(self) -> dict[tuple[ids.ServiceName, owners.Key], int]:
        """Return the requests by key since the last call."""
        taken = self._demand
        self._demand = {}
        return taken

    async def serve(
        self,
        request: http_server.CallerRequest,
    ) -> http_server.CallerAnswer:
        """Return the answer to a request."""
        arrived = self._view.clock.now()
        self.in_flight += 1
        journey: journeys.Journey | None = None
        try:
            started = self._start(request, arrived)
            if isinstance(started, answers.Ending):
                ending = started
            else:
                journey = started
                ending = await self._travel(journey)
        except asyncio.CancelledError:
            self._log_end(request, journey, arrived, 'caller left', None)
            raise
        finally:
            self.in_flight -= 1
        self._log_end(request, journey, arrived, ending.reason, ending)
        return ending.answer

    def _start(
        self,
        request: http_server.CallerRequest,
        arrived: clock.Millis,
    ) -> journeys.Journey | answers.Ending:
        config = self._view.config
        table = self._view.route_table
        if config is None or table is None:
            return answers.refusal(
                _Code.STARTING,
                'no configuration known',
                _STARTING_RETRY_MS,
            )
        route = table.match(request.header('host') or '', request.path)
        if route is None:
            return answers.refusal(_Code.UNKNOWN_SERVICE, 'no route matches')
        request_id = request.header(request_headers.REQUEST_ID) or ''
        service = self._turns.choose(route)
        policy = config.services[service]
        key = request_headers.read_key(request.header(request_headers.KEY))
        if policy.is_keyed and key is None:
            return answers.refusal(
                _Code.KEY_REQUIRED, 'key is missing or malformed'
            )
        if not policy.is_keyed:
            key = None
        self.budget.count_request(service, arrived)
        if key is not None:
            counted = self._demand.get((service, key), 0)
            self._demand[service, key] = counted + 1
        wished = request_headers.read_deadline(
            request.header(request_headers.DEADLINE),
        )
        allowed_ms = route.timeout_ms
        if wished is not None:
            allowed_ms = min(allowed_ms, wished)
        return journeys.Journey(
            request=request,
            request_id=request_id,
            arrived=arrived,
            ends_at=clock.later(arrived, allowed_ms),
            route=route,
            service=service,
            key=key,
            signature=_signature(request),
        )

    async def _travel(self, journey: journeys.Journey) -> answers.Ending:
        if self._view.crashes.is_blocked(
            journey.signature,
            journey.arrived,
        ):
            return answers.refusal(
                _Code.QUARANTINED,
                'request ended the servers that ran it',
                _LATER_RETRY_MS,
            )
        wanted = waiting.WaitingRequest(
            service=journey.service,
            key=journey.key,
            priority=journey.route.priority,
            arrived=journey.arrived,
            objective_at=clock.later(
                journey.arrived,
                journey.route.objective_ms,
            ),
            ends_at=journey.ends_at,
            has_large_answer=(journey.route.kind is routes.RouteKind.DOWNLOAD),
            data_centre=self._view.deployment.data_centre,
        )
        while True:
            before = self._view.clock.now()
            found = await self._queue.acquire(wanted)
            journey.waited_ms += self._view.clock.now() - before
            if isinstance(found, backlogs.Rejected):
                journey.rejected = found.backlog
                return self._give_up(
                    journey,
                    found.reason,
                    found.retry_after_ms,
                )
            made = await self._try(journey, wanted, found)
            journey.tries.append(made)
            ending = self._conclude(journey, made)
            if ending is not None:
                return ending
            if journey.key is None:
                wanted.excluded |= {found.life.server}
            elif made.result is journeys.TryResult.NOT_RUN:
                await asyncio.sleep(clock.seconds(_PAUSE_AFTER_REJECTION_MS))

    async def _try(
        self,
        journey: journeys.Journey,
        wanted: waiting.WaitingRequest,
        server: servers.BackendServer,
    ) -> journeys.Try:
        started = self._view.clock.now()
        in_flight = self._loads.total_in_flight(server.life.server, started)
        begins_at_once = in_flight <= server.slots
        has_answered = None
        try:
            made = await self._send(journey, server, started)
            has_answered = made.result is journeys.TryResult.ANSWERED
        finally:
            self._queue.release(
                wanted,
                server.life.server,
                has_answered=has_answered,
            )
        # Time spent waiting at the server says nothing of its speed.
        if made.result is journeys.TryResult.ANSWERED and begins_at_once:
            elapsed = self._view.clock.now() - started
            self._loads.learn_duration(server, elapsed)
        return made

    async def _send(
        self,
        journey: journeys.Journey,
        server: servers.BackendServer,
        started: clock.Millis,
    ) -> journeys.Try:
        remaining = journey.ends_at - started
        if remaining <= 0:
            return journeys.Try(
                journeys.TryResult.NOT_SENT, server, 'no time left'
            )
        payload = http_client.encode_request(
            journey.request.method,
            journey.request.target,
            request_headers.with_hop(
                journey.request.end_to_end_headers(),
                remaining,
                server.life.server,
            ),
            journey.request.body,
        )
        outcome = await self._pool.exchange(
            deployment.Address(server.host, server.port),
            payload,
            self._try_timeout(journey, server, remaining),
            lambda reply: answers.is_own(reply, journey.request_id),
        )
        return self._judge.judge(journey, server, outcome)

    def _try_timeout(
        self,
        journey: journeys.Journey,
        server: servers.BackendServer,
        remaining: int,
    ) -> float:
        if journey.key is not None or not self._may_repeat(journey):
            return remaining
        patient = max(
            remaining * _FIRST_TRY_SHARE,
            _LEAST_TRY_MS,
            4 * self._loads.duration_ms(server),
        )
        return min(remaining, patient)

    def _may_repeat(self, journey: journeys.Journey) -> bool:
        if not journey.route.kind.is_repeatable:
            return False
        return len(journey.tries) + 1 < journey.route.max_attempts

    def _conclude(
        self, journey: journeys.Journey, made: journeys.Try
    ) -> answers.Ending | None:
        """Return the end of a request, or None to try again."""
        if (
            made.result is journeys.TryResult.ANSWERED
            and made.reply is not None
        ):
            return answers.passed_on(made.reply)
        if self._tries_again(journey, made):
            return None
        if (
            made.result is journeys.TryResult.SERVER_ERROR
            and made.reply is not None
        ):
            if made.reply.status not in request_headers.PROMISE_NOT_RUN:
                return answers.passed_on(made.reply)
        return self._give_up(journey, made.detail, _LATER_RETRY_MS)

    def _tries_again(
        self, journey: journeys.Journey, made: journeys.Try
    ) -> bool:
        now = self._view.clock.now()
        sends = sum(
            1
            for one in journey.tries
            if one.result is not journeys.TryResult.NOT_SENT
        )
        if len(journey.tries) > _MOST_SENDS or now >= journey.ends_at:
            return False
        if made.result is journeys.TryResult.NOT_SENT:
            return not journey.may_have_run or self._may_run_again(journey)
        if made.result is not journeys.TryResult.NOT_RUN:
            if not self._may_run_again(journey):
                return False
            if (
                made.result is journeys.TryResult.SERVER_ERROR
                and journey.key is not None
            ):
                return False
        if sends >= max(journey.route.max_attempts, _MOST_SENDS):
            return False
        return self.budget.spend(
            journey.service,
            self._view.peers.count(now),
            now,
        )

    def _may_run_again(self, journey: journeys.Journey) -> bool:
        runs = sum(
            1
            for one in journey.tries
            if one.result
            in {journeys.TryResult.UNKNOWN, journeys.TryResult.SERVER_ERROR}
        )
        kind = journey.route.kind
        return kind.is_repeatable and runs < journey.route.max_attempts

    def _give_up(
        self,
        journey: journeys.Journey,
        reason: str,
        retry_after_ms: int,
    ) -> answers.Ending:
        if not journey.may_have_run:
            code = _Code.OVERLOADED
            if journey.key is not None and reason == 'key has no owner':
                code = _Code.NO_OWNER
            return answers.refusal(code, reason, retry_after_ms)
        now = self._view.clock.now()
        code = _Code.OUTCOME_UNKNOWN
        status = http.HTTPStatus.BAD_GATEWAY
        if now >= journey.ends_at:
            code = _Code.ANSWER_TOO_LATE
            status = http.HTTPStatus.GATEWAY_TIMEOUT
        return answers.Ending(
            answers.own_answer(status, code, reason), code, reason
        )

    def _log_end(
        self,
        request: http_server.CallerRequest,
        journey: journeys.Journey | None,
        arrived: clock.Millis,
        reason: str,
        ending: answers.Ending | None,
    ) -> None:
        elapsed = self._view.clock.now() - arrived
        code = ending.code if ending else None
        self._measures.count(journey, code, elapsed)
        fields: dict[str, typing.Any] = {
            'request': request.header(request_headers.REQUEST_ID),
            'status': ending.answer.status if ending else None,
            'code': int(code) if code else None,
            'reason': reason,
            'ms': elapsed,
        }
        if self._view.config is not None:
            fields['config'] = self._view.config.version
        if journey is not None:
            fields.update(self._describe(journey))
        self._log.sample('request', 'request ended', **fields)

    def _describe(self, journey: journeys.Journey) -> dict[str, typing.Any]:
        described: dict[str, typing.Any] = {
            'route': journey.route.name,
            'service': journey.service,
            'waited_ms': journey.waited_ms,
            'owners_offset': self._view.owners_offset,
            'tries': [
                [one.server.life.server, one.result.value, one.detail]
                for one in journey.tries
            ],
        }
        if journey.rejected is not None:
            described['ahead'] = journey.rejected.ahead
            described['slots'] = journey.rejected.slots
            described['expected_wait_ms'] = round(journey.rejected.wait_ms)
        if journey.key is not None:
            described['key'] = journey.key
            described['term'] = self._view.assignment.term
            row = self._view.owner_of(journey.service, journey.key)
            if row is not None:
                described['owner'] = row.owner.server
                described['fence'] = row.fence
        return described


def _signature(request: http_server.CallerRequest) -> crashes.Signature:
    digest = xxhash.xxh3_64()
    for part in (request.method, request.target, request.caller):
        digest.update(part.encode('latin-1', 'replace'))
        digest.update(b'\0')
    digest.update(request.body)
    return crashes.Signature(digest.intdigest())

"""Take a request from its caller to a backend server and back."""

import asyncio
import dataclasses
import enum
import http
import typing

import msgspec
import xxhash

from sycamoreferry_adapter import request_headers
from sycamoreferry_core import clock, http_messages, ids, result_codes
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
    dispatcher,
    event_log,
    http_client,
    http_server,
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
_SERVER_ERROR = 500
_SUCCESSES = range(200, 300)


@enum.unique
class TryResult(enum.Enum):
    """Tell how sending a request to a server ended."""

    ANSWERED = 'answered'
    SERVER_ERROR = 'server error'
    NOT_RUN = 'not run'
    NOT_SENT = 'not sent'
    UNKNOWN = 'unknown'


@dataclasses.dataclass(frozen=True, slots=True)
class Try:
    """Hold one sending of a request."""

    result: TryResult
    server: servers.BackendServer
    detail: str
    reply: http_messages.HttpReply | None = None


@dataclasses.dataclass(slots=True)
class Journey:
    """Hold a request on its way."""

    request: http_server.CallerRequest
    request_id: str
    arrived: clock.Millis
    ends_at: clock.Millis
    route: routes.Route
    service: ids.ServiceName
    key: owners.Key | None
    signature: crashes.Signature
    tries: list[Try] = dataclasses.field(default_factory=list)
    waited_ms: int = 0

    @property
    def may_have_run(self) -> bool:
        """Tell whether a server may have run the request."""
        return any(
            one.result in {TryResult.UNKNOWN, TryResult.SERVER_ERROR}
            for one in self.tries
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Ending:
    """Hold the answer to a caller and why it is the answer."""

    answer: http_server.CallerAnswer
    code: result_codes.ResultCode
    reason: str


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
        taken, self._demand = self._demand, {}
        return taken

    async def serve(
        self,
        request: http_server.CallerRequest,
    ) -> http_server.CallerAnswer:
        """Return the answer to a request."""
        arrived = self._view.clock.now()
        self.in_flight += 1
        journey: Journey | None = None
        try:
            started = self._start(request, arrived)
            if isinstance(started, Ending):
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
    ) -> Journey | Ending:
        config, table = self._view.config, self._view.routes
        if config is None or table is None:
            return _refusal(
                _Code.STARTING,
                'no configuration known',
                _STARTING_RETRY_MS,
            )
        route = table.match(request.header('host') or '', request.path)
        if route is None:
            return _refusal(_Code.UNKNOWN_SERVICE, 'no route matches')
        request_id = request.header(request_headers.REQUEST_ID) or ''
        service = self._turns.choose(route)
        policy = config.services[service]
        key = request_headers.read_key(request.header(request_headers.KEY))
        if policy.is_keyed and key is None:
            return _refusal(_Code.KEY_REQUIRED, 'key is missing or malformed')
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
        return Journey(
            request=request,
            request_id=request_id,
            arrived=arrived,
            ends_at=clock.later(arrived, allowed_ms),
            route=route,
            service=service,
            key=key,
            signature=_signature(request),
        )

    async def _travel(self, journey: Journey) -> Ending:
        if self._view.crashes.is_blocked(
            journey.signature,
            journey.arrived,
        ):
            return _refusal(
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
        )
        while True:
            before = self._view.clock.now()
            found = await self._queue.acquire(wanted)
            journey.waited_ms += self._view.clock.now() - before
            if isinstance(found, dispatcher.Rejected):
                return self._give_up(
                    journey,
                    found.reason,
                    found.retry_after_ms,
                )
            made = await self._try(journey, found)
            journey.tries.append(made)
            ending = self._conclude(journey, made)
            if ending is not None:
                return ending
            if journey.key is None:
                wanted.excluded |= {found.life.server}
            elif made.result is TryResult.NOT_RUN:
                await asyncio.sleep(clock.seconds(_PAUSE_AFTER_REJECTION_MS))

    async def _try(
        self,
        journey: Journey,
        server: servers.BackendServer,
    ) -> Try:
        started = self._view.clock.now()
        in_flight = self._loads.total_in_flight(server.life.server, started)
        begins_at_once = in_flight <= server.slots
        try:
            made = await self._send(journey, server, started)
        finally:
            self._queue.release(server.life.server)
        # Time spent waiting at the server says nothing of its speed.
        if made.result is TryResult.ANSWERED and begins_at_once:
            elapsed = self._view.clock.now() - started
            self._loads.learn_duration(server, elapsed)
        return made

    async def _send(
        self,
        journey: Journey,
        server: servers.BackendServer,
        started: clock.Millis,
    ) -> Try:
        remaining = journey.ends_at - started
        if remaining <= 0:
            return Try(TryResult.NOT_SENT, server, 'no time left')
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
            lambda reply: _is_own(reply, journey.request_id),
        )
        return self._judge(journey, server, outcome)

    def _try_timeout(
        self,
        journey: Journey,
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

    def _may_repeat(self, journey: Journey) -> bool:
        if not journey.route.kind.is_repeatable:
            return False
        return len(journey.tries) + 1 < journey.route.max_attempts

    def _judge(
        self,
        journey: Journey,
        server: servers.BackendServer,
        outcome: http_client.Exchanged,
    ) -> Try:
        now = self._view.clock.now()
        if isinstance(outcome, http_client.Failed):
            return self._judge_failure(journey, server, outcome, now)
        load = request_headers.read_load(
            outcome.header(request_headers.LOAD),
        )
        server_id = server.life.server
        if load is not None:
            self._loads.learn_load(
                server_id,
                load.running,
                load.waiting,
                now,
            )
        if request_headers.says_not_run(outcome):
            if outcome.status != http.HTTPStatus.MISDIRECTED_REQUEST:
                self._learn_failure(server, now, 'rejected')
            detail = f'rejected with {outcome.status}'
            return Try(TryResult.NOT_RUN, server, detail, outcome)
        if not _is_whole(outcome):
            self._learn_failure(server, now, 'answer is not its own')
            return Try(TryResult.UNKNOWN, server, 'answer is not whole')
        if outcome.status >= _SERVER_ERROR:
            self._learn_failure(server, now, 'server error')
            detail = f'status {outcome.status}'
            return Try(TryResult.SERVER_ERROR, server, detail, outcome)
        self._loads.learn_success(server_id)
        return Try(TryResult.ANSWERED, server, 'answered', outcome)

    def _judge_failure(
        self,
        journey: Journey,
        server: servers.BackendServer,
        failed: http_client.Failed,
        now: clock.Millis,
    ) -> Try:
        self._learn_failure(server, now, failed.failure.value)
        detail = failed.failure.value
        if not failed.was_sent:
            return Try(TryResult.NOT_SENT, server, detail)
        if failed.failure in _BROKEN:
            self._view.crashes.suspect(journey.signature, server.life, now)
        return Try(TryResult.UNKNOWN, server, detail)

    def _learn_failure(
        self,
        server: servers.BackendServer,
        now: clock.Millis,
        reason: str,
    ) -> None:
        if self._loads.learn_failure(server.life.server, now):
            self._log.sample(
                'servers',
                'server suspended after failures',
                server=server.life.server,
                reason=reason,
            )

    def _conclude(self, journey: Journey, made: Try) -> Ending | None:
        """Return the end of a request, or None to try again."""
        if made.result is TryResult.ANSWERED and made.reply is not None:
            return _passed_on(made.reply)
        if self._tries_again(journey, made):
            return None
        if made.result is TryResult.SERVER_ERROR and made.reply is not None:
            if made.reply.status not in request_headers.PROMISE_NOT_RUN:
                return _passed_on(made.reply)
        return self._give_up(journey, made.detail, _LATER_RETRY_MS)

    def _tries_again(self, journey: Journey, made: Try) -> bool:
        now = self._view.clock.now()
        sends = sum(
            1 for one in journey.tries if one.result is not TryResult.NOT_SENT
        )
        if len(journey.tries) > _MOST_SENDS or now >= journey.ends_at:
            return False
        if made.result is TryResult.NOT_SENT:
            return not journey.may_have_run or self._may_run_again(journey)
        if made.result is not TryResult.NOT_RUN:
            if not self._may_run_again(journey):
                return False
            if (
                made.result is TryResult.SERVER_ERROR
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

    def _may_run_again(self, journey: Journey) -> bool:
        runs = sum(
            1
            for one in journey.tries
            if one.result in {TryResult.UNKNOWN, TryResult.SERVER_ERROR}
        )
        kind = journey.route.kind
        return kind.is_repeatable and runs < journey.route.max_attempts

    def _give_up(
        self,
        journey: Journey,
        reason: str,
        retry_after_ms: int,
    ) -> Ending:
        if not journey.may_have_run:
            code = _Code.OVERLOADED
            if journey.key is not None and reason == 'key has no owner':
                code = _Code.NO_OWNER
            return _refusal(code, reason, retry_after_ms)
        now = self._view.clock.now()
        code = _Code.OUTCOME_UNKNOWN
        status = http.HTTPStatus.BAD_GATEWAY
        if now >= journey.ends_at:
            code = _Code.ANSWER_TOO_LATE
            status = http.HTTPStatus.GATEWAY_TIMEOUT
        return Ending(_own_answer(status, code, reason), code, reason)

    def _log_end(
        self,
        request: http_server.CallerRequest,
        journey: Journey | None,
        arrived: clock.Millis,
        reason: str,
        ending: Ending | None,
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

    def _describe(self, journey: Journey) -> dict[str, typing.Any]:
        described: dict[str, typing.Any] = {
            'route': journey.route.name,
            'service': journey.service,
            'waited_ms': journey.waited_ms,
            'tries': [
                [one.server.life.server, one.result.value, one.detail]
                for one in journey.tries
            ],
        }
        if journey.key is not None:
            described['key'] = journey.key
            described['term'] = self._view.assignment.term
            row = self._view.owner_of(journey.service, journey.key)
            if row is not None:
                described['owner'] = row.owner.server
                described['fence'] = row.fence
        return described


_BROKEN = frozenset(
    (http_client.ExchangeFailure.RESET, http_client.ExchangeFailure.CLOSED),
)


def _signature(request: http_server.CallerRequest) -> crashes.Signature:
    digest = xxhash.xxh3_64()
    for part in (request.method, request.target, request.caller):
        digest.update(part.encode('latin-1', 'replace'))
        digest.update(b'\0')
    digest.update(request.body)
    return crashes.Signature(digest.intdigest())


def _is_own(reply: http_messages.HttpReply, request_id: str) -> bool:
    named = reply.header(request_headers.REQUEST_ID)
    return named is None or named == request_id


def _is_whole(reply: http_messages.HttpReply) -> bool:
    if reply.header('content-encoding') is not None:
        return False
    if reply.status not in _SUCCESSES:
        return True
    return (
        request_headers.is_sealed(reply)
        and reply.header(request_headers.REQUEST_ID) is not None
    )


def _passed_on(reply: http_messages.HttpReply) -> Ending:
    answer = http_server.answer_from_server(reply)
    return Ending(answer, _Code.ANSWERED, 'answered')


def _own_answer(
    status: int,
    code: result_codes.ResultCode,
    reason: str,
    retry_after_ms: int | None = None,
) -> http_server.CallerAnswer:
    headers = [('Content-Type', 'application/json')]
    if retry_after_ms is not None:
        seconds = f'{clock.seconds(retry_after_ms):.3f}'
        headers.append((request_headers.RETRY_AFTER, seconds))
    body = msgspec.json.encode({'code': int(code), 'message': reason})
    return http_server.CallerAnswer(int(status), tuple(headers), body)


def _refusal(
    code: result_codes.ResultCode,
    reason: str,
    retry_after_ms: int | None = None,
) -> Ending:
    status = result_codes.MEANINGS[code].status
    return Ending(
        _own_answer(status, code, reason, retry_after_ms),
        code,
        reason,
    )

"""Send the requests of a trace as its callers would."""

import asyncio
import http
import itertools
import typing

import aiohttp

from sycamoreferry_core import clock, ids, outcomes, result_codes
from sycamoreferry_ports import headers, send_once
from sycamoreferry_standins import (
    answers,
    trace,
    trace_observations,
    workloads,
)

RESEND_PAUSE_MS = 200
# What a caller waits past its deadline before it gives up on the answer.
ANSWER_SLACK_MS = 200
AVOIDED_MS = 2000

_ANSWERED = str(int(result_codes.ResultCode.ANSWERED))
_ALREADY_ANSWERED = str(int(result_codes.ResultCode.ALREADY_ANSWERED))


class Balancer:
    """Take instances in turn, but for those that did not answer lately."""

    def __init__(self, urls: typing.Sequence[str]) -> None:
        self._urls = itertools.cycle(urls)
        self._count = len(urls)
        self._avoided: dict[str, clock.Millis] = {}

    def choose(self, now: clock.Millis) -> str:
        """Return the instance that is next in turn."""
        chosen = next(self._urls)
        for _ in range(self._count):
            if self._avoided.get(chosen, now) <= now:
                break
            chosen = next(self._urls)
        return chosen

    def avoid(self, url: str, now: clock.Millis) -> None:
        """Take an instance out of turn for a while."""
        self._avoided[url] = clock.later(now, AVOIDED_MS)


class TraceCaller:
    """Send requests to the instances in turn, and note each attempt."""

    def __init__(
        self,
        session: aiohttp.ClientSession,
        urls: typing.Sequence[str],
        workload: workloads.Workload,
        timer: clock.Clock,
    ) -> None:
        self.attempts: list[trace_observations.Attempt] = []
        self._session = session
        self._balancer = Balancer(urls)
        self._clock = timer
        self._answer_bytes = {
            size.name: size.answer_bytes for size in workload.services
        }

    async def call(self, line: trace.RequestSent) -> None:
        """Send a request until it has an answer or its tries are spent."""
        for number in range(1, line.tries + 1):
            pause_ms = await self._try(line, number)
            if pause_ms is None:
                return
            await asyncio.sleep(clock.seconds(pause_ms))

    async def _try(self, line: trace.RequestSent, number: int) -> int | None:
        request_id = ids.RequestId(f'{line.request_id}.{number}')
        sent_at = self._clock.now()
        url = self._balancer.choose(sent_at)
        kind = outcomes.Kind.UNKNOWN
        answered: aiohttp.ClientResponse | None = None
        content = b''
        try:
            answered, content = await self._send(line, request_id, url)
        except aiohttp.ClientConnectorError:
            kind = outcomes.Kind.NOT_RUN
        except (aiohttp.ClientError, TimeoutError):
            kind = outcomes.Kind.UNKNOWN
        if answered is None:
            self._balancer.avoid(url, self._clock.now())
        else:
            kind = kind_of(answered.headers)
        named = {} if answered is None else answered.headers
        attempt = trace_observations.Attempt(
            line=line,
            request_id=request_id,
            sent_at=sent_at,
            ended_at=self._clock.now(),
            kind=kind,
            code=int(named.get(headers.CODE, '0')),
            server=ids.ServerId(named.get(headers.SERVER, '')),
            whole=self._is_whole(answered, content, line, request_id),
        )
        self.attempts.append(attempt)
        if kind is outcomes.Kind.ANSWERED:
            return None
        seconds = int(named.get(headers.RETRY_AFTER, '0'))
        return seconds * clock.MILLIS_PER_SECOND or RESEND_PAUSE_MS

    async def _send(
        self,
        line: trace.RequestSent,
        request_id: ids.RequestId,
        url: str,
    ) -> tuple[aiohttp.ClientResponse, bytes]:
        limit_ms = line.deadline_ms + ANSWER_SLACK_MS
        async with self._session.request(
            line.method,
            f'{url}/{line.service}{line.target}',
            data=line.body.encode() or None,
            headers=headers_of(line, request_id),
            timeout=aiohttp.ClientTimeout(total=clock.seconds(limit_ms)),
            middlewares=(send_once.send_once,),
        ) as answered:
            return answered, await answered.read()

    def _is_whole(
        self,
        answered: aiohttp.ClientResponse | None,
        content: bytes,
        line: trace.RequestSent,
        request_id: ids.RequestId,
    ) -> bool:
        if answered is None or answered.status != http.HTTPStatus.OK:
            return True
        expected = answers.Expected(
            request_id=request_id,
            body=line.body.encode(),
            answer_bytes=self._answer_bytes[line.service],
        )
        return answers.is_own(content, expected)


def headers_of(
    line: trace.RequestSent,
    request_id: ids.RequestId,
) -> dict[str, str]:
    """Return the headers of a request in a trace."""
    named = {
        headers.CALLER: line.caller,
        headers.REQUEST_ID: request_id,
        headers.DEADLINE_MS: str(line.deadline_ms),
    }
    if line.key:
        named[headers.KEY] = line.key
    if line.idempotency_key:
        named[headers.IDEMPOTENCY_KEY] = line.idempotency_key
    return named


def kind_of(named: typing.Mapping[str, str]) -> outcomes.Kind:
    """Return how a request ended, by the headers of its answer."""
    if named.get(headers.CODE) in {_ANSWERED, _ALREADY_ANSWERED}:
        return outcomes.Kind.ANSWERED
    if headers.NOT_RUN in named:
        return outcomes.Kind.NOT_RUN
    return outcomes.Kind.UNKNOWN

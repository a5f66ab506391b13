"""Render an outcome as the HTTP response to the caller."""

import dataclasses
import functools
import http

import msgspec
import multidict

from sycamoreferry_core import clock, ids, outcomes, result_codes
from sycamoreferry_ports import headers, hop_headers

DEFAULT_RETRY_AFTER_MS = 1000
_STATUSES_WITHOUT_BODY = frozenset(
    (int(http.HTTPStatus.NO_CONTENT), int(http.HTTPStatus.NOT_MODIFIED)),
)


@dataclasses.dataclass(frozen=True)
class HttpAnswer:
    """Hold the status, headers and body of an HTTP response."""

    status: int
    headers: multidict.CIMultiDict[str]
    body: bytes
    download: outcomes.Download | None = None


class FailureBody(msgspec.Struct, frozen=True):
    """Define the JSON body of a failure response."""

    code: int
    name: str
    outcome: str
    summary: str
    advice: str
    retry_after_ms: int


def answer(
    outcome: outcomes.Outcome,
    instance: ids.InstanceId,
) -> HttpAnswer:
    """Return the HTTP response that reports an outcome to the caller."""
    return _render(outcome, instance)


@functools.singledispatch
def _render(outcome: object, instance: ids.InstanceId) -> HttpAnswer:
    raise TypeError(f'cannot render the unsupported outcome {outcome!r}')


@_render.register
def _render_answered(
    outcome: outcomes.Answered,
    instance: ids.InstanceId,
) -> HttpAnswer:
    response_headers = hop_headers.filter_answer_headers(outcome.headers)
    if _may_declare_length(outcome):
        response_headers.extend(_length(outcome))
    response_headers.extend(_route_headers(outcome, instance))
    response_headers[headers.REQUEST_ID] = outcome.request_id
    return HttpAnswer(
        outcome.status,
        response_headers,
        outcome.body,
        outcome.download,
    )


def _length(outcome: outcomes.Answered) -> dict[str, str]:
    received = multidict.CIMultiDict(outcome.headers)
    length = received.get(headers.CONTENT_LENGTH)
    return {} if length is None else {headers.CONTENT_LENGTH: length}


def _may_declare_length(outcome: outcomes.Answered) -> bool:
    if outcome.status in _STATUSES_WITHOUT_BODY:
        return False
    # A response to HEAD declares the length of a body that is not sent.
    return outcome.download is not None or not outcome.body


@_render.register(outcomes.NotRun)
@_render.register(outcomes.Unknown)
def _render_failure(
    outcome: outcomes.Failure,
    instance: ids.InstanceId,
) -> HttpAnswer:
    code_meaning = result_codes.meaning(outcome.code)
    retry_after_ms = _retry_after_ms(outcome, code_meaning)
    response_headers = multidict.CIMultiDict(_route_headers(outcome, instance))
    response_headers['Content-Type'] = 'application/json'
    if outcome.kind is outcomes.Kind.NOT_RUN:
        response_headers[headers.NOT_RUN] = outcome.code.name.lower()
    if retry_after_ms:
        retry_after_seconds = -(-retry_after_ms // clock.MILLIS_PER_SECOND)
        response_headers[headers.RETRY_AFTER] = str(retry_after_seconds)
    body = FailureBody(
        code=int(outcome.code),
        name=outcome.code.name,
        outcome=outcome.kind.value,
        summary=code_meaning.summary,
        advice=code_meaning.advice,
        retry_after_ms=retry_after_ms,
    )
    return HttpAnswer(
        code_meaning.status, response_headers, msgspec.json.encode(body)
    )


def _retry_after_ms(
    outcome: outcomes.Failure,
    code_meaning: result_codes.CodeMeaning,
) -> int:
    if outcome.retry_after_ms:
        return outcome.retry_after_ms
    if code_meaning.status >= http.HTTPStatus.INTERNAL_SERVER_ERROR:
        return DEFAULT_RETRY_AFTER_MS
    return 0


def _route_headers(
    outcome: outcomes.Outcome,
    instance: ids.InstanceId,
) -> dict[str, str]:
    return {
        headers.CODE: str(int(outcome.code)),
        headers.INSTANCE: instance,
        headers.SERVER: outcome.destination.server,
        headers.SHARD: str(outcome.destination.shard),
        headers.FENCE: str(outcome.destination.fence),
    }

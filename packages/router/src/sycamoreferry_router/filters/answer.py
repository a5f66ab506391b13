"""Turn an outcome into the answer that the caller gets."""

import dataclasses
import functools
import http

import msgspec
import multidict

from sycamoreferry_core import clock, ids, outcomes, result_codes
from sycamoreferry_ports import headers, hop_headers

DEFAULT_RETRY_AFTER_MS = 1000
_BODILESS = frozenset(
    (int(http.HTTPStatus.NO_CONTENT), int(http.HTTPStatus.NOT_MODIFIED)),
)


@dataclasses.dataclass(frozen=True)
class HttpAnswer:
    """Hold an answer in the terms of HTTP."""

    status: int
    headers: multidict.CIMultiDict[str]
    body: bytes
    download: outcomes.Download | None = None


class FailureBody(msgspec.Struct, frozen=True):
    """Say what happened and what to do."""

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
    """Return the answer to the caller."""
    return _render(outcome, instance)


@functools.singledispatch
def _render(outcome: object, instance: ids.InstanceId) -> HttpAnswer:
    raise TypeError(f'no answer for the outcome {outcome!r}')


@_render.register
def _render_answered(
    outcome: outcomes.Answered,
    instance: ids.InstanceId,
) -> HttpAnswer:
    onward = hop_headers.of_answer(outcome.headers)
    if _may_name_length(outcome):
        onward.extend(_length(outcome))
    onward.extend(_way_headers(outcome, instance))
    onward[headers.REQUEST_ID] = outcome.request_id
    return HttpAnswer(
        outcome.status,
        onward,
        outcome.body,
        outcome.download,
    )


def _length(outcome: outcomes.Answered) -> dict[str, str]:
    received = multidict.CIMultiDict(outcome.headers)
    length = received.get(headers.CONTENT_LENGTH)
    return {} if length is None else {headers.CONTENT_LENGTH: length}


def _may_name_length(outcome: outcomes.Answered) -> bool:
    if outcome.status in _BODILESS:
        return False
    # An answer to HEAD names the length of a body that does not come.
    return outcome.download is not None or not outcome.body


@_render.register(outcomes.NotRun)
@_render.register(outcomes.Unknown)
def _render_failure(
    outcome: outcomes.Failure,
    instance: ids.InstanceId,
) -> HttpAnswer:
    means = result_codes.meaning(outcome.code)
    retry_after_ms = _retry_after_ms(outcome, means)
    onward = multidict.CIMultiDict(_way_headers(outcome, instance))
    onward['Content-Type'] = 'application/json'
    if outcome.kind is outcomes.Kind.NOT_RUN:
        onward[headers.NOT_RUN] = outcome.code.name.lower()
    if retry_after_ms:
        whole = -(-retry_after_ms // clock.MILLIS_PER_SECOND)
        onward[headers.RETRY_AFTER] = str(whole)
    body = FailureBody(
        code=int(outcome.code),
        name=outcome.code.name,
        outcome=outcome.kind.value,
        summary=means.summary,
        advice=means.advice,
        retry_after_ms=retry_after_ms,
    )
    return HttpAnswer(means.status, onward, msgspec.json.encode(body))


def _retry_after_ms(
    outcome: outcomes.Failure,
    means: result_codes.CodeMeaning,
) -> int:
    if outcome.retry_after_ms:
        return outcome.retry_after_ms
    if means.status >= http.HTTPStatus.INTERNAL_SERVER_ERROR:
        return DEFAULT_RETRY_AFTER_MS
    return 0


def _way_headers(
    outcome: outcomes.Outcome,
    instance: ids.InstanceId,
) -> dict[str, str]:
    return {
        headers.CODE: str(int(outcome.code)),
        headers.INSTANCE: instance,
        headers.SERVER: outcome.way.server,
        headers.SHARD: str(outcome.way.shard),
        headers.FENCE: str(outcome.way.fence),
    }

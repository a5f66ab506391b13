"""Turn an outcome into the answer that the caller gets."""

import dataclasses
import functools

import msgspec

from sycamoreferry_core import clock, ids, outcomes, result_codes
from sycamoreferry_platform import headers

_HOP_HEADERS = frozenset(
    ('connection', 'content-length', 'keep-alive', 'transfer-encoding'),
)


@dataclasses.dataclass(frozen=True)
class HttpAnswer:
    """Hold an answer in the terms of HTTP."""

    status: int
    headers: dict[str, str]
    body: bytes


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
    onward = {
        name: text
        for name, text in outcome.headers
        if name.lower() not in _HOP_HEADERS
    }
    onward.update(_way_headers(outcome, instance))
    return HttpAnswer(outcome.status, onward, outcome.body)


@_render.register(outcomes.NotRun)
@_render.register(outcomes.Unknown)
def _render_failure(
    outcome: outcomes.Failure,
    instance: ids.InstanceId,
) -> HttpAnswer:
    means = result_codes.meaning(outcome.code)
    onward = _way_headers(outcome, instance)
    onward['Content-Type'] = 'application/json'
    if outcome.kind is outcomes.Kind.NOT_RUN:
        onward[headers.NOT_RUN] = outcome.code.name.lower()
    if outcome.retry_after_ms:
        whole = -(-outcome.retry_after_ms // clock.MILLIS_PER_SECOND)
        onward[headers.RETRY_AFTER] = str(whole)
    body = FailureBody(
        code=int(outcome.code),
        name=outcome.code.name,
        outcome=outcome.kind.value,
        summary=means.summary,
        advice=means.advice,
        retry_after_ms=outcome.retry_after_ms,
    )
    return HttpAnswer(means.status, onward, msgspec.json.encode(body))


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

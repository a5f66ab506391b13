"""Build the instance's own answers and forward those of servers."""

import dataclasses
import http

import msgspec

from sycamoreferry_adapter import request_headers
from sycamoreferry_core import clock, http_messages, result_codes
from sycamoreferry_gateway import caller_messages

# Other instances can serve the caller at once.
_LEAVING_RETRY_AFTER_MS = 50
_SUCCESSES = range(http.HTTPStatus.OK, http.HTTPStatus.MULTIPLE_CHOICES)


@dataclasses.dataclass(frozen=True, slots=True)
class FinalAnswer:
    """Hold the answer to a caller with its result code and reason."""

    answer: caller_messages.CallerAnswer
    code: result_codes.ResultCode
    reason: str


def is_intact(reply: http_messages.HttpResponse) -> bool:
    """Tell whether a reply is complete and comes from the server itself."""
    if reply.header('content-encoding') is not None:
        return False
    if reply.status not in _SUCCESSES:
        return True
    return (
        request_headers.is_sealed(reply)
        and reply.header(request_headers.REQUEST_ID) is not None
    )


def forwarded(reply: http_messages.HttpResponse) -> FinalAnswer:
    """Return the result of a request that a server answered."""
    answer = caller_messages.answer_from_server(reply)
    return FinalAnswer(answer, result_codes.ResultCode.ANSWERED, 'answered')


def instance_answer(
    status: int,
    code: result_codes.ResultCode,
    reason: str,
    retry_after_ms: int | None = None,
) -> caller_messages.CallerAnswer:
    """Return an answer of this instance with the result code as JSON."""
    headers = [('Content-Type', 'application/json')]
    if retry_after_ms is not None:
        seconds = f'{clock.seconds(retry_after_ms):.3f}'
        headers.append((request_headers.RETRY_AFTER, seconds))
    body = msgspec.json.encode({'code': int(code), 'message': reason})
    return caller_messages.CallerAnswer(int(status), tuple(headers), body)


def refusal(
    code: result_codes.ResultCode,
    reason: str,
    retry_after_ms: int | None = None,
) -> FinalAnswer:
    """Return the result of a request that no server ran."""
    status = result_codes.MEANINGS[code].status
    return FinalAnswer(
        instance_answer(status, code, reason, retry_after_ms),
        code,
        reason,
    )


def leaving() -> FinalAnswer:
    """Return the result of a request that this instance leaves to others."""
    return refusal(
        result_codes.ResultCode.LEAVING,
        'instance is stopping',
        _LEAVING_RETRY_AFTER_MS,
    )


def internal_failure() -> FinalAnswer:
    """Return a result that leaves open whether the request has run."""
    code = result_codes.ResultCode.OUTCOME_UNKNOWN
    reason = 'internal failure'
    return FinalAnswer(
        instance_answer(http.HTTPStatus.BAD_GATEWAY, code, reason),
        code,
        reason,
    )

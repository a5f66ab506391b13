"""Check that a response is complete and belongs to its request."""

import functools
import http

from sycamoreferry_core import clock, ids, outcomes, result_codes
from sycamoreferry_ports import headers, http_forward
from sycamoreferry_router import messages

_Code = result_codes.ResultCode
RETRY_AFTER_MS = 1000
MAX_RETRY_AFTER_MS = 60_000
_MAX_RETRY_AFTER_DIGITS = 9

_CODES_BY_REFUSAL = {
    'not-owner': _Code.OWNER_NOT_READY,
    'shed': _Code.SERVER_SHED,
    'draining': _Code.SERVER_SHED,
    'deadline': _Code.DEADLINE_PASSED,
}


def verify(forwarded: messages.Forwarded) -> outcomes.Outcome:
    """Map the result of forwarding a request to its outcome."""
    return _classify(forwarded.outcome, forwarded.selected)


@functools.singledispatch
def _classify(
    outcome: object,
    selected: messages.Selected,
) -> outcomes.Outcome:
    raise TypeError(f'cannot classify the unsupported outcome {outcome!r}')


@_classify.register
def _classify_received(
    outcome: http_forward.Received,
    selected: messages.Selected,
) -> outcomes.Outcome:
    if not _matches_request(outcome, selected.identified.request_id):
        return _discard(outcome, selected)
    refusal = outcome.headers.get(headers.NOT_RUN)
    if refusal is not None:
        return _classify_refusal(refusal, outcome, selected)
    return outcomes.Answered(
        status=outcome.status,
        headers=tuple(outcome.headers.items()),
        body=outcome.body,
        destination=selected.way,
        request_id=selected.identified.request_id,
        download=outcome.download,
    )


def _matches_request(
    outcome: http_forward.Received,
    request_id: ids.RequestId,
) -> bool:
    echoed = outcome.headers.get(headers.REQUEST_ID)
    if echoed is None:
        return not outcome.needs_echo
    return echoed == request_id


def _classify_refusal(
    refusal: str,
    outcome: http_forward.Received,
    selected: messages.Selected,
) -> outcomes.Outcome:
    # A success status contradicts the not-run header: the server has
    # run the request.
    if outcome.status < http.HTTPStatus.BAD_REQUEST:
        return _discard(outcome, selected)
    if outcome.download is not None:
        outcome.download.close()
    return outcomes.NotRun(
        _CODES_BY_REFUSAL.get(refusal, _Code.SERVER_SHED),
        _retry_after(outcome.headers.get(headers.RETRY_AFTER, '')),
        selected.way,
    )


def _discard(
    outcome: http_forward.Received,
    selected: messages.Selected,
) -> outcomes.Outcome:
    if outcome.download is not None:
        outcome.download.close()
    return outcomes.Unknown(
        _Code.ANSWER_INCOMPLETE,
        RETRY_AFTER_MS,
        selected.way,
    )


def _retry_after(text: str) -> int:
    if not (text.isascii() and text.isdigit()):
        return RETRY_AFTER_MS
    asked = int(text[:_MAX_RETRY_AFTER_DIGITS]) * clock.MILLIS_PER_SECOND
    return min(max(asked, RETRY_AFTER_MS), MAX_RETRY_AFTER_MS)


@_classify.register
def _classify_not_sent(
    outcome: http_forward.NotSent,
    selected: messages.Selected,
) -> outcomes.Outcome:
    return outcomes.NotRun(
        _Code.SERVER_UNREACHABLE,
        RETRY_AFTER_MS,
        selected.way,
    )


@_classify.register
def _classify_cut_off(
    outcome: http_forward.IncompleteAnswer,
    selected: messages.Selected,
) -> outcomes.Outcome:
    return outcomes.Unknown(
        _Code.OUTCOME_UNKNOWN,
        RETRY_AFTER_MS,
        selected.way,
    )


@_classify.register
def _classify_timed_out(
    outcome: http_forward.TimedOut,
    selected: messages.Selected,
) -> outcomes.Outcome:
    code = _Code.ANSWER_TOO_LATE
    if selected.can_run_elsewhere:
        code = _Code.OUTCOME_UNKNOWN
    return outcomes.Unknown(
        code,
        RETRY_AFTER_MS,
        selected.way,
    )

"""Verify that an answer is whole and belongs to its request."""

import functools

from sycamoreferry_core import outcomes, result_codes
from sycamoreferry_platform import headers, http_forward
from sycamoreferry_router import messages

_Code = result_codes.ResultCode
RETRY_AFTER_MS = 1000

_REASONS = {
    'not-owner': _Code.OWNER_NOT_READY,
    'shed': _Code.SERVER_SHED,
    'draining': _Code.SERVER_SHED,
    'deadline': _Code.DEADLINE_PASSED,
}


def verify(forwarded: messages.Forwarded) -> outcomes.Outcome:
    """Return the outcome that the server's reaction amounts to."""
    return _judge(forwarded.outcome, forwarded.selected)


@functools.singledispatch
def _judge(
    outcome: object,
    selected: messages.Selected,
) -> outcomes.Outcome:
    raise TypeError(f'no rule for the outcome {outcome!r}')


@_judge.register
def _judge_received(
    outcome: http_forward.Received,
    selected: messages.Selected,
) -> outcomes.Outcome:
    echoed = outcome.headers.get(headers.REQUEST_ID)
    if echoed is not None and echoed != selected.identified.request_id:
        return outcomes.Unknown(
            _Code.ANSWER_INCOMPLETE,
            RETRY_AFTER_MS,
            selected.way,
        )
    refusal = outcome.headers.get(headers.NOT_RUN)
    if refusal is not None:
        code = _REASONS.get(refusal, _Code.SERVER_SHED)
        return outcomes.NotRun(code, RETRY_AFTER_MS, selected.way)
    return outcomes.Answered(
        status=outcome.status,
        headers=tuple(outcome.headers.items()),
        body=outcome.body,
        way=selected.way,
    )


@_judge.register
def _judge_not_sent(
    outcome: http_forward.NotSent,
    selected: messages.Selected,
) -> outcomes.Outcome:
    return outcomes.NotRun(
        _Code.SERVER_UNREACHABLE,
        RETRY_AFTER_MS,
        selected.way,
    )


@_judge.register
def _judge_cut_off(
    outcome: http_forward.CutOff,
    selected: messages.Selected,
) -> outcomes.Outcome:
    return outcomes.Unknown(
        _Code.OUTCOME_UNKNOWN,
        RETRY_AFTER_MS,
        selected.way,
    )


@_judge.register
def _judge_timed_out(
    outcome: http_forward.TimedOut,
    selected: messages.Selected,
) -> outcomes.Outcome:
    return outcomes.Unknown(
        _Code.ANSWER_TOO_LATE,
        RETRY_AFTER_MS,
        selected.way,
    )

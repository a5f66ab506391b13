"""Find the cause of a request's end in the lines of all instances."""

import enum
import typing

import msgspec

from sycamoreferry_core import result_codes
from sycamoreferry_ctl import log_lines

_Code = result_codes.ResultCode
_REQUEST_ENDED = 'request ended'
_REQUEST_UNANSWERED = 'request is unanswered at the end of the shutdown'
_END_EVENTS = frozenset((_REQUEST_ENDED, _REQUEST_UNANSWERED))
_STOPPING_REASON = 'instance is stopping'
_BLOCKED_REASON = 'request ended the servers that ran it'
# What is logged of the crashes of a request; several instances may log a crash.
_CRASH_EVENT = 'request ended its server'
_SUSPECT_EVENT = 'attempt ended without an answer'
_MOST_CRASH_LINES = 6
_BLOCK_EVENTS = frozenset(
    (
        'request is blocked',
        'blocked request is sent as a trial',
        'request is no longer blocked',
    ),
)
# Events that say why a key has no owner, the newest before the request counts.
_KEY_EVENTS = frozenset(('moving keys', 'keys are free'))
_SERVER_EVENTS = frozenset(
    (
        'server is gone',
        'server changed',
        'server is leaving',
        'server leaves grants unanswered',
        'server suspended after failures',
    ),
)
_TERM_EVENTS = frozenset(
    (
        'claimed the term',
        'gave up the term',
        'store returned to an older copy of its records',
    )
)


@enum.unique
class Cause(enum.Enum):
    """Name why a request ended as it did."""

    ANSWERED = 'answered by a server'
    OVERLOAD = 'rejected under load'
    NO_OWNER = 'key had no owner'
    UNKNOWN_OUTCOME = 'answer was lost after the request was sent'
    TOO_LATE = 'no answer before the deadline'
    LEAVING = 'instance stopped before a server ran the request'
    INTERRUPTED = 'instance stopped before the server answered'
    UNANSWERED = 'instance stopped without an answer to the request'
    QUARANTINED = 'request ended the servers that ran it'
    BAD_REQUEST = 'request does not fit the configuration'
    STARTING = 'instance had no configuration yet'
    CALLER_LEFT = 'caller left'
    NOT_LOGGED = 'no line about the request in these files'


_CAUSES: dict[int, Cause] = {
    _Code.ANSWERED: Cause.ANSWERED,
    _Code.OVERLOADED: Cause.OVERLOAD,
    _Code.NO_OWNER: Cause.NO_OWNER,
    _Code.LEAVING: Cause.LEAVING,
    _Code.OUTCOME_UNKNOWN: Cause.UNKNOWN_OUTCOME,
    _Code.ANSWER_TOO_LATE: Cause.TOO_LATE,
    _Code.QUARANTINED: Cause.QUARANTINED,
    _Code.UNKNOWN_SERVICE: Cause.BAD_REQUEST,
    _Code.KEY_REQUIRED: Cause.BAD_REQUEST,
    _Code.STARTING: Cause.STARTING,
}
_SERVER_CAUSES = frozenset(
    (
        Cause.UNKNOWN_OUTCOME,
        Cause.TOO_LATE,
        Cause.INTERRUPTED,
        Cause.UNANSWERED,
    ),
)


class Explanation(msgspec.Struct):
    """Hold the cause and the lines that show it."""

    request: str
    cause: str
    details: list[str]


def explain(
    request: str,
    lines: typing.Sequence[log_lines.LogLine],
) -> Explanation:
    """Return why a request ended as it did."""
    index = _find_end(request, lines)
    if index is None:
        return Explanation(request, Cause.NOT_LOGGED.value, _dropped(lines))
    end = lines[index]
    cause = _cause(end)
    details = [_describe_end(end), *_describe_tries(end)]
    if end.relayed_to:
        details.extend(_describe_relays(request, lines))
    if end.code == _Code.QUARANTINED or end.reason == _BLOCKED_REASON:
        details.extend(_crash_history(end, lines[:index]))
    if cause is Cause.NO_OWNER:
        details.extend(_key_history(end, lines[:index]))
    if cause in _SERVER_CAUSES:
        details.extend(_server_history(end, lines))
    return Explanation(request, cause.value, details)


def _find_end(
    request: str,
    lines: typing.Sequence[log_lines.LogLine],
) -> int | None:
    """Return the index of the last line that tells how a request ended."""
    ends = [
        index
        for index, line in enumerate(lines)
        if line.event in _END_EVENTS and line.request == request
    ]
    # The instance that the caller called says what the caller got.
    ends = [index for index in ends if not lines[index].relayed] or ends
    if not ends:
        return None
    # A shutdown that closes a connection is then logged as a caller that left.
    if len(ends) > 1 and lines[ends[-1]].code is None:
        if lines[ends[-2]].event == _REQUEST_UNANSWERED:
            return ends[-2]
    return ends[-1]


def _cause(end: log_lines.LogLine) -> Cause:
    if end.event == _REQUEST_UNANSWERED:
        return Cause.UNANSWERED
    if end.code is None:
        return Cause.CALLER_LEFT
    if end.code == _Code.OUTCOME_UNKNOWN and end.reason == _STOPPING_REASON:
        return Cause.INTERRUPTED
    return _CAUSES.get(end.code, Cause.OVERLOAD)


def _describe_end(end: log_lines.LogLine) -> str:
    parts = _describe_outcome(end)
    if end.stopping:
        parts.append('the instance was stopping')
    if end.relayed_to:
        parts.append(f'relayed to {", ".join(end.relayed_to)}')
    if end.waited_ms:
        parts.append(f'waited {end.waited_ms} ms for a server')
    if end.key is not None:
        parts.append(
            f'key {end.key} of {end.service}, owner {end.owner},'
            f' fence {end.fence}, term {end.term}',
        )
    if end.ahead is not None:
        parts.append(
            f'{end.ahead} ahead for {end.slots} slots,'
            f' {end.expected_wait_ms} ms to wait',
        )
    return '; '.join(parts)


def _describe_outcome(end: log_lines.LogLine) -> list[str]:
    if end.event == _REQUEST_UNANSWERED:
        place = f'at server {end.sent_to}'
        if end.sent_to is None:
            place = 'still waiting for a server'
        return [f'{end.at}: no answer after {end.ms} ms', place]
    return [
        f'{end.at}: status {end.status} after {end.ms} ms',
        f'reason "{end.reason}"',
        f'configuration {end.config}',
    ]


def _describe_tries(end: log_lines.LogLine) -> list[str]:
    return [
        f'sent to {server}: {result} ({detail})'
        for server, result, detail in end.tries
    ]


def _describe_relays(
    request: str, lines: typing.Sequence[log_lines.LogLine]
) -> list[str]:
    """Return what the instances logged to which a request was relayed."""
    details = []
    for line in lines:
        if line.relayed and line.request == request:
            details.append(f'relayed request at {_describe_end(line)}')
            details.extend(_describe_tries(line))
    return details


def _key_history(
    end: log_lines.LogLine,
    earlier: typing.Sequence[log_lines.LogLine],
) -> list[str]:
    """Return the last changes of the key's range and of the term."""
    of_key = [
        line
        for line in earlier
        if line.event in _KEY_EVENTS
        and line.service == end.service
        and _covers(line, end.key)
    ]
    of_term = [line for line in earlier if line.event in _TERM_EVENTS]
    return [_describe(line) for line in (*of_key[-2:], *of_term[-1:])]


def _server_history(
    end: log_lines.LogLine,
    lines: typing.Sequence[log_lines.LogLine],
) -> list[str]:
    """Return what was seen of the servers that were sent the request."""
    sent_to = {end.sent_to, *(row[0] for row in end.tries)} - {None}
    seen = [
        line
        for line in lines
        if line.event in _SERVER_EVENTS and line.server in sent_to
    ]
    return [_describe(line) for line in seen[-3:]]


def _crash_history(
    end: log_lines.LogLine,
    earlier: typing.Sequence[log_lines.LogLine],
) -> list[str]:
    """Return the crashes that block a request, with the attempts at them."""
    if end.signature is None:
        return []
    of_request = [line for line in earlier if line.signature == end.signature]
    crashed = _of_event(of_request, _CRASH_EVENT)
    servers = {line.server for line in crashed}
    suspected = _of_event(of_request, _SUSPECT_EVENT)
    attempts = [line for line in suspected if line.server in servers]
    blocks = [line for line in of_request if line.event in _BLOCK_EVENTS]
    if not crashed:
        return ['no crash of this request is in these files']
    newest = []
    for rows in (crashed, attempts, blocks):
        newest.extend(rows[-_MOST_CRASH_LINES:])
    newest.sort(key=lambda line: line.at)
    return [_describe(line) for line in newest]


def _of_event(
    lines: typing.Iterable[log_lines.LogLine], event: str
) -> list[log_lines.LogLine]:
    return [line for line in lines if line.event == event]


def _covers(line: log_lines.LogLine, key: int | None) -> bool:
    if line.first is None or line.last is None or key is None:
        return False
    return line.first <= key <= line.last


def _describe(line: log_lines.LogLine) -> str:
    named = {
        'keys': line.first is not None and f'{line.first}-{line.last}',
        'server': line.server,
        'from': line.source,
        'to': line.destination,
        'term': line.term,
        'reason': line.reason,
        'request': line.request,
    }
    told = [f'{name} {held}' for name, held in named.items() if held]
    return f'{line.at}: {line.event} ({", ".join(told)})'


def _dropped(lines: typing.Sequence[log_lines.LogLine]) -> list[str]:
    return [
        f'{line.at}: {line.count} lines were dropped under load'
        for line in lines
        if line.event == 'lines dropped'
    ]

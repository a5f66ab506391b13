"""Judge what was observed in a replay against the stated outcomes."""

import collections
import dataclasses
import functools
import itertools
import math
import typing

from sycamoreferry_core import clock, ids, outcomes
from sycamoreferry_standins import (
    backend_server,
    trace_observations,
    trace_statements,
)


@dataclasses.dataclass(frozen=True)
class Violation:
    """Say which stated outcome does not hold, and where it was seen."""

    kind: str
    detail: str


def judge_all(
    stated: typing.Iterable[trace_statements.AnyStated],
    observed: trace_observations.Observed,
) -> tuple[Violation, ...]:
    """Return a violation for each thing that breaks a stated outcome."""
    return tuple(
        Violation(outcome.kind, detail)
        for outcome in stated
        for detail in judge(outcome, observed)
    )


@functools.singledispatch
def judge(
    stated: object, observed: trace_observations.Observed
) -> typing.Iterator[str]:
    """Yield what breaks one stated outcome."""
    raise TypeError(f'no rule for the outcome {stated!r}')


@judge.register
def _judge_whole(
    stated: trace_statements.WholeAnswers,
    observed: trace_observations.Observed,
) -> typing.Iterator[str]:
    for attempt in observed.attempts:
        if attempt.kind is outcomes.Kind.ANSWERED and not attempt.whole:
            yield f'{attempt.request_id} got an answer not its own'


@judge.register
def _judge_share(
    stated: trace_statements.AnsweredShare,
    observed: trace_observations.Observed,
) -> typing.Iterator[str]:
    sent = sent_requests(observed.attempts)
    answered = answered_requests(observed.attempts)
    if not sent:
        yield 'no request was sent'
    elif len(answered) < stated.at_least * len(sent):
        yield f'{len(answered)} of {len(sent)} requests were answered'


def sent_requests(
    attempts: typing.Iterable[trace_observations.Attempt],
) -> set[ids.RequestId]:
    """Return the requests that were sent at least once."""
    return {attempt.line.request_id for attempt in attempts}


def answered_requests(
    attempts: typing.Iterable[trace_observations.Attempt],
) -> set[ids.RequestId]:
    """Return the requests that were answered in the end."""
    return sent_requests(
        attempt
        for attempt in attempts
        if attempt.kind is outcomes.Kind.ANSWERED
    )


@judge.register
def _judge_at_most_once(
    stated: trace_statements.AtMostOnce,
    observed: trace_observations.Observed,
) -> typing.Iterator[str]:
    counted = collections.Counter(
        run.idempotency_key
        for run in observed.runs
        if run.idempotency_key and not run.refused
    )
    for name, count in counted.items():
        if count > 1:
            yield f'{name} ran {count} times'


@judge.register
def _judge_not_run(
    stated: trace_statements.NotRunNeverRan,
    observed: trace_observations.Observed,
) -> typing.Iterator[str]:
    ran = {run.request_id for run in observed.runs if not run.refused}
    for attempt in observed.attempts:
        not_run = attempt.kind is outcomes.Kind.NOT_RUN
        if not_run and attempt.request_id in ran:
            yield f'{attempt.request_id} was answered not run, and ran'


@judge.register
def _judge_single_owner(
    stated: trace_statements.SingleOwner,
    observed: trace_observations.Observed,
) -> typing.Iterator[str]:
    shards: dict[tuple[str, int], list[backend_server.Run]] = {}
    for run in observed.runs:
        if run.shard >= 0:
            service, _, _ = run.server.rpartition('-')
            shards.setdefault((service, run.shard), []).append(run)
    for runs in shards.values():
        yield from _overlaps(sorted(runs, key=lambda run: run.started))


def _overlaps(
    runs: typing.Sequence[backend_server.Run],
) -> typing.Iterator[str]:
    """Yield each run that began before another server's run had ended.

    A run under an older fence must also be over before one under a newer.
    """
    for earlier, later in itertools.combinations(runs, 2):
        if earlier.server == later.server:
            continue
        if later.started < _end_of(earlier):
            problem = 'while'
        elif later.fence < earlier.fence:
            problem = 'under an older fence after'
        else:
            continue
        yield (
            f'shard {later.shard}: {later.server} ran {later.request_id}'
            f' {problem} {earlier.server} ran {earlier.request_id}'
        )


def _end_of(run: backend_server.Run) -> float:
    """Return until when a run shows that its server owned the shard.

    A run that was cancelled, or refused as it committed, shows it only at
    its start: the server may have been paused ever since.
    """
    if run.cancelled or run.refused:
        return run.started
    return run.ended or math.inf


@judge.register
def _judge_unavailable(
    stated: trace_statements.UnavailableTime,
    observed: trace_observations.Observed,
) -> typing.Iterator[str]:
    for key, duration in unavailable_times(observed.attempts).items():
        if duration > stated.at_most_ms:
            yield f'{key} had no answer for {duration} ms'


def unavailable_times(
    attempts: typing.Iterable[trace_observations.Attempt],
) -> dict[str, int]:
    """Return for each key the longest time that it had no answer.

    That is the time from the sending of a request to the first answer among
    the requests that were sent no earlier.
    """
    by_key: dict[str, list[trace_observations.Attempt]] = (
        collections.defaultdict(list)
    )
    for attempt in attempts:
        by_key[attempt.key].append(attempt)
    return {key: _longest_outage(sent) for key, sent in by_key.items()}


def _longest_outage(
    attempts: typing.Iterable[trace_observations.Attempt],
) -> int:
    longest = 0
    answered_at: clock.Millis | None = None
    latest_first = sorted(attempts, key=lambda each: -each.sent_at)
    for attempt in latest_first:
        if attempt.kind is outcomes.Kind.ANSWERED:
            answered_at = min(attempt.ended_at, answered_at or attempt.ended_at)
        over_at = attempt.ended_at if answered_at is None else answered_at
        longest = max(longest, over_at - attempt.sent_at)
    return longest


@judge.register
def _judge_leaving(
    stated: trace_statements.LeavingServers,
    observed: trace_observations.Observed,
) -> typing.Iterator[str]:
    for departure in observed.departures:
        limit = departure.at + stated.after_ms
        for run in observed.runs:
            if run.server == departure.server and run.started > limit:
                late = run.started - departure.at
                yield (
                    f'{run.server} ran {run.request_id} {late} ms after'
                    ' it was listed as leaving'
                )


@judge.register
def _judge_graceful(
    stated: trace_statements.GracefulStop,
    observed: trace_observations.Observed,
) -> typing.Iterator[str]:
    left = {departure.server: departure.at for departure in observed.departures}
    for attempt in observed.attempts:
        unknown = attempt.kind is outcomes.Kind.UNKNOWN
        leaving_at = left.get(attempt.server)
        if unknown and leaving_at is not None:
            if attempt.ended_at >= leaving_at:
                yield f'{attempt.request_id} was cut off'


@judge.register
def _judge_retry_load(
    stated: trace_statements.RetryLoad,
    observed: trace_observations.Observed,
) -> typing.Iterator[str]:
    allowed = stated.at_most_share * len(observed.attempts)
    if observed.retries > allowed:
        yield (
            f'{observed.retries} retries for {len(observed.attempts)} requests'
        )


@judge.register
def _judge_profile(
    stated: trace_statements.ProfileInForce,
    observed: trace_observations.Observed,
) -> typing.Iterator[str]:
    for published in observed.publications:
        named = f'{published.name} {published.number}'
        if published.missing:
            yield f'{named} is not in force at {", ".join(published.missing)}'
        elif published.took_ms > stated.within_ms:
            yield f'{named} was in force after {published.took_ms} ms'

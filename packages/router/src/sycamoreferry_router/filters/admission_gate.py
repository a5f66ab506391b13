"""Admit a non-idempotent request at most once across instances."""

import asyncio
import dataclasses
import itertools
import typing

from sycamoreferry_core import (
    admission_actions,
    admission_events,
    admission_records,
    admission_routing,
    clock,
    ids,
    outcomes,
    result_codes,
)
from sycamoreferry_ports import headers
from sycamoreferry_router import admission_partitions, messages

MAX_OWNER_HOPS = 4
MAX_CONCLUDE_ATTEMPTS = 4
CONCLUDE_RETRY_DELAY_MS = 500
RETRY_AFTER_MS = 1000
ASK_TIMEOUT_MS = 1500
DRAIN_TIMEOUT_MS = 500

_Code = result_codes.ResultCode
_Ending = admission_records.Ending
_Verdict = admission_actions.Verdict

_ENDINGS = {
    outcomes.Kind.ANSWERED: _Ending.ANSWERED,
    outcomes.Kind.NOT_RUN: _Ending.NOT_RUN,
    outcomes.Kind.UNKNOWN: _Ending.UNKNOWN,
}

_REFUSALS: dict[admission_actions.Verdict, outcomes.Outcome] = {
    _Verdict.RUNNING: outcomes.Unknown(_Code.ALREADY_RUNNING, RETRY_AFTER_MS),
    _Verdict.ANSWERED: outcomes.Unknown(_Code.ALREADY_ANSWERED),
    _Verdict.UNKNOWN: outcomes.Unknown(_Code.OUTCOME_UNKNOWN),
    _Verdict.REUSED: outcomes.NotRun(_Code.IDEMPOTENCY_KEY_REUSED),
}
_UNAVAILABLE = outcomes.NotRun(_Code.ADMISSION_UNAVAILABLE, RETRY_AFTER_MS)


@dataclasses.dataclass(frozen=True)
class _Admission:
    """Record which partition owner admitted an attempt, and until when."""

    attempt: ids.AttemptId
    owner: ids.InstanceId
    until: clock.Millis


class AdmissionGate:
    """Ask the owner of a request's partition before the request runs."""

    def __init__(
        self,
        ring: admission_partitions.AdmissionPartitions,
        time_source: clock.Clock,
    ) -> None:
        self._ring = ring
        self._clock = time_source
        self._numbers = itertools.count(1)
        self._admissions: dict[ids.AdmissionKey, _Admission] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    async def enter(
        self,
        identified: messages.Identified,
    ) -> messages.Identified | outcomes.Outcome:
        """Return the request if admitted, or else the outcome to report."""
        if identified.idempotent:
            return identified
        key = _key_of(identified)
        candidates = self._ring.rank_targets(key)
        tried: set[ids.InstanceId] = set()
        ask_deadline = min(
            identified.deadline,
            clock.later(self._clock.now(), ASK_TIMEOUT_MS),
        )
        while (
            candidates
            and len(tried) < MAX_OWNER_HOPS
            and self._clock.now() < ask_deadline
        ):
            target = candidates[0]
            tried.add(target)
            asked = self._new_request(identified, key)
            answered = await self._ask(target, asked, ask_deadline)
            if answered is None:
                self._conclude(key, asked.attempt, target, _Ending.NOT_RUN)
            elif answered.verdict is not _Verdict.NOT_OWNER:
                return self._handle_answer(identified, asked, target, answered)
            candidates = _next_candidates(candidates, answered, tried)
        return _UNAVAILABLE

    async def leave(
        self,
        identified: messages.Identified,
        outcome: outcomes.Outcome,
    ) -> None:
        """Report the outcome to the owner in a background task."""
        if identified.idempotent:
            return
        key = _key_of(identified)
        admission = self._admissions.pop(key, None)
        if admission is not None:
            ending = _ENDINGS[outcome.kind]
            self._conclude(key, admission.attempt, admission.owner, ending)

    async def drain(self) -> None:
        """Wait up to DRAIN_TIMEOUT_MS until endings have been reported."""
        if self._tasks:
            await asyncio.wait(
                self._tasks, timeout=clock.seconds(DRAIN_TIMEOUT_MS)
            )

    async def _ask(
        self,
        target: ids.InstanceId,
        asked: admission_events.AdmissionRequested,
        deadline: clock.Millis,
    ) -> admission_actions.Answer | None:
        """Ask an instance; return None if it does not answer in time."""
        remaining = clock.seconds(deadline - self._clock.now())
        try:
            async with asyncio.timeout(remaining):
                return await self._ring.request_admission(target, asked)
        except TimeoutError:
            return None
        except BaseException:
            # The owner may admit a request that is not there any more.
            self._conclude(asked.key, asked.attempt, target, _Ending.NOT_RUN)
            raise

    def _new_request(
        self,
        identified: messages.Identified,
        key: ids.AdmissionKey,
    ) -> admission_events.AdmissionRequested:
        attempt = f'{self._ring.instance_id}/{next(self._numbers)}'
        return admission_events.AdmissionRequested(
            key=key,
            fingerprint=_fingerprint_of(identified),
            attempt=ids.AttemptId(attempt),
            deadline_ms=max(0, identified.deadline - self._clock.now()),
        )

    def _handle_answer(
        self,
        identified: messages.Identified,
        asked: admission_events.AdmissionRequested,
        owner: ids.InstanceId,
        answered: admission_actions.Answer,
    ) -> messages.Identified | outcomes.Outcome:
        if answered.verdict is not _Verdict.ADMITTED:
            return _REFUSALS.get(answered.verdict, _UNAVAILABLE)
        self._drop_expired_admissions()
        self._admissions[asked.key] = _Admission(
            asked.attempt,
            owner,
            identified.deadline,
        )
        return identified

    def _drop_expired_admissions(self) -> None:
        """Drop the expired admissions of cancelled requests, oldest first."""
        now = self._clock.now()
        for key, admission in tuple(self._admissions.items())[:2]:
            if admission.until < now:
                self._admissions.pop(key)

    def _conclude(
        self,
        key: ids.AdmissionKey,
        attempt: ids.AttemptId,
        owner: ids.InstanceId,
        ending: admission_records.Ending,
    ) -> None:
        concluded = admission_records.Concluded(key, attempt, ending)
        task = asyncio.get_running_loop().create_task(
            self._report_ending(concluded, owner),
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _report_ending(
        self,
        concluded: admission_records.Concluded,
        owner: ids.InstanceId,
    ) -> None:
        for _ in range(MAX_CONCLUDE_ATTEMPTS):
            for target in (owner, *self._ring.rank_targets(concluded.key)):
                if await self._ring.conclude(target, concluded):
                    return
            await asyncio.sleep(clock.seconds(CONCLUDE_RETRY_DELAY_MS))


def _next_candidates(
    candidates: typing.Sequence[ids.InstanceId],
    answered: admission_actions.Answer | None,
    tried: set[ids.InstanceId],
) -> list[ids.InstanceId]:
    hint = answered.hint if answered else ''
    hinted = [ids.InstanceId(hint)] if hint else []
    return [name for name in (*hinted, *candidates) if name not in tried]


def _key_of(identified: messages.Identified) -> ids.AdmissionKey:
    caller = identified.incoming.headers.get(headers.CALLER, '')
    return ids.AdmissionKey(
        admission_routing.digest(
            identified.service.name,
            caller.encode(errors='surrogateescape'),
            identified.idempotency_key or '',
        ),
    )


def _fingerprint_of(identified: messages.Identified) -> ids.Fingerprint:
    incoming = identified.incoming
    return ids.Fingerprint(
        admission_routing.digest(
            incoming.method,
            incoming.target,
            identified.key or '',
            incoming.body,
        ),
    )

"""Record which servers survived the attempts that were sent to them."""

import contextlib
import dataclasses
import http
import typing

from sycamoreferry_core.fleet import servers
from sycamoreferry_core.traffic import server_load, server_runs
from sycamoreferry_gateway import event_log, proxied_requests, view

_Result = proxied_requests.AttemptResult
# These results show that the server did not run the request, or survived it.
_WITHOUT_RUN = frozenset((_Result.NOT_RUN, _Result.NOT_SENT))
_HARMLESS = _WITHOUT_RUN | {_Result.ANSWERED}
INTERRUPTED = 'interrupted'


@dataclasses.dataclass(slots=True)
class RecordedRun:
    """Hold the attempt of a run once it has ended by itself."""

    attempt: proxied_requests.Attempt | None = None


class RunRecorder:
    """Record the runs of attempts, however these end."""

    def __init__(
        self,
        cluster_view: view.View,
        loads: server_load.ServerLoads,
        log: event_log.EventLog,
    ) -> None:
        self._view = cluster_view
        self._loads = loads
        self._log = log

    @contextlib.contextmanager
    def record(
        self,
        proxied: proxied_requests.ProxiedRequest,
        server: servers.BackendServer,
    ) -> typing.Iterator[RecordedRun]:
        """Record a run; its attempt stays None if it is interrupted."""
        guard = self._view.crashes
        now = self._view.clock.now()
        is_trial = guard.begin_trial(proxied.signature, now)
        run = guard.runs.begin(proxied.signature, server.incarnation, now)
        recorded = RecordedRun()
        if is_trial:
            self._log.write(
                'crashes',
                'blocked request is sent as a trial',
                request=proxied.request_id,
                signature=proxied.signature,
                server=server.incarnation.server,
            )
        try:
            yield recorded
        finally:
            self._end(proxied, run, recorded.attempt)
            if is_trial:
                self._end_trial(run, recorded.attempt)

    def _end(
        self,
        proxied: proxied_requests.ProxiedRequest,
        run: server_runs.Run,
        attempt: proxied_requests.Attempt | None,
    ) -> None:
        now = self._view.clock.now()
        runs = self._view.crashes.runs
        is_harmless = attempt is not None and attempt.result in _HARMLESS
        is_cut_off = self._loads.reachability.is_cut_off
        if is_harmless or is_cut_off:
            runs.discard(run)
        else:
            runs.end(run, now)
            if runs.has_ended(run.incarnation):
                self._view.blocks.confirm_crashes(
                    run.incarnation, was_leaving=False
                )
        if attempt is not None and attempt.result is _Result.ANSWERED:
            self._view.crashes.record_answer(run.signature, now)
        if attempt is not None and _shows_life(attempt):
            runs.record_alive(run.incarnation, now)
        if not is_harmless:
            self._log.write_rate_limited(
                'crashes',
                'attempt ended without an answer',
                request=proxied.request_id,
                signature=run.signature,
                method=proxied.request.method,
                target=proxied.request.target,
                caller=proxied.request.caller,
                server=run.incarnation.server,
                reason=INTERRUPTED if attempt is None else attempt.detail,
                is_suspect=not is_cut_off,
            )

    def _end_trial(
        self,
        run: server_runs.Run,
        attempt: proxied_requests.Attempt | None,
    ) -> None:
        now = self._view.clock.now()
        if attempt is not None and attempt.result in _WITHOUT_RUN:
            self._view.crashes.cancel_trial(run.signature, now)


def _shows_life(attempt: proxied_requests.Attempt) -> bool:
    """Tell whether the server that was meant has answered."""
    reply = attempt.reply
    return (
        reply is not None
        and reply.status != http.HTTPStatus.MISDIRECTED_REQUEST
    )

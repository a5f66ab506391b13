"""Report to other instances which requests crash servers, and which do not."""

from sycamoreferry_core import clock, ids
from sycamoreferry_core.fleet import servers
from sycamoreferry_core.traffic import (
    block_trials,
    crash_guard,
    crash_selection,
    crashes,
    server_runs,
)
from sycamoreferry_gateway import peer_messages


def fill(
    heartbeat: peer_messages.Heartbeat,
    selection: crash_selection.CrashSelection,
    now: clock.Millis,
) -> None:
    """Add the rows that are due to a heartbeat; clocks differ, so by age."""
    heartbeat.crashes = [
        peer_messages.CrashRow(
            crash.signature,
            crash.incarnation.server,
            crash.incarnation.born,
            now - crash.at,
        )
        for crash in selection.choose(now)
    ]
    heartbeat.survivals = [
        peer_messages.SurvivalRow(signature, now - at)
        for signature, at in selection.survivals(now).items()
    ]
    heartbeat.trials = [
        peer_messages.TrialRow(
            signature,
            trials.count,
            now - trials.last_at,
            now - trials.first_at,
        )
        for signature, trials in selection.trials(now).items()
    ]
    heartbeat.suspects = [
        peer_messages.SuspectRow(
            run.signature,
            run.incarnation.server,
            run.incarnation.born,
            now - run.began_at,
            now - (run.ended_at or now),
        )
        for run in selection.suspects(now)
    ]


def merge(
    heartbeat: peer_messages.Heartbeat,
    guard: crash_guard.CrashGuard,
    now: clock.Millis,
) -> None:
    """Record what another instance reports in a heartbeat."""
    history = guard.history
    for suspect in heartbeat.suspects:
        guard.add_remote(
            server_runs.Run(
                crashes.Signature(suspect.signature),
                servers.ServerIncarnation(
                    ids.ServerId(suspect.server),
                    servers.IncarnationNumber(suspect.born),
                ),
                clock.later(now, -suspect.began_age_ms),
                clock.later(now, -suspect.ended_age_ms),
                is_remote=True,
            ),
            now,
        )
    for row in heartbeat.crashes:
        history.record(
            crashes.Crash(
                crashes.Signature(row.signature),
                servers.ServerIncarnation(
                    ids.ServerId(row.server),
                    servers.IncarnationNumber(row.born),
                ),
                clock.later(now, -row.age_ms),
            ),
        )
    for survival in heartbeat.survivals:
        history.record_survival(
            crashes.Signature(survival.signature),
            clock.later(now, -survival.age_ms),
        )
    for trial in heartbeat.trials:
        history.record_trial(
            crashes.Signature(trial.signature),
            block_trials.Trials(
                trial.count,
                clock.later(now, -trial.age_ms),
                clock.later(now, -trial.first_age_ms),
            ),
        )

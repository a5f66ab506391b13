"""Replay traces, each against a system of its own on loopback."""

import asyncio
import pathlib
import signal
import sys
import tempfile

from sycamoreferry_core import ids, profiles
from sycamoreferry_ctl import output, publishing, replaying
from sycamoreferry_ctl.commands import replay
from sycamoreferry_ports import http_log
from sycamoreferry_standins import cluster, trace, workloads

STREAM = 'ferry'
TRACES = pathlib.Path('traces')


class ClusterRunner:
    """Act on the processes of a cluster."""

    def __init__(self, system: cluster.Cluster) -> None:
        self._system = system

    async def act(self, line: trace.ProcessLine) -> None:
        """Pause, continue, kill or start a process."""
        if isinstance(line, trace.ProcessStarted):
            entry = next(
                entry
                for entry in self._system.entries
                if entry.name == line.process
            )
            await self._system.start_entry(entry)
            return
        started = self._system.started[line.process]
        if isinstance(line, trace.ProcessPaused):
            started.send(signal.SIGSTOP)
        elif isinstance(line, trace.ProcessContinued):
            started.send(signal.SIGCONT)
        else:
            await started.kill()


async def replay_one(path: pathlib.Path, directory: str) -> bool:
    """Replay one trace; tell whether every outcome holds."""
    recorded = replay.load_or_exit(path)
    workload = workloads.WORKLOADS[recorded.statement.workload]
    async with cluster.Cluster(
        workload,
        pathlib.Path(directory),
        entries=recorded.statement.entries,
    ) as system:
        await publishing.publish_profile(
            http_log.HttpLog(system.session, system.platform_url, STREAM),
            ids.ProfileName('default'),
            profiles.Profile.model_validate(recorded.statement.profile),
            ids.NO_PROFILE_NUMBER,
        )
        target = replaying.Target(
            platform_url=system.platform_url,
            stream=STREAM,
            workload=workload,
            runner=ClusterRunner(system),
        )
        report = await replay.judge_replay(system.session, target, recorded)
    replay.print_report(report, output.Output.TABLE)
    return not report.violations


def choose_traces(names: list[str]) -> list[pathlib.Path]:
    """Return the traces that are named, or all."""
    if names:
        return [TRACES / f'{name}.jsonl' for name in names]
    return sorted(TRACES.glob('*.jsonl'))


async def replay_all(paths: list[pathlib.Path]) -> int:
    """Replay traces one after the other; return the status."""
    good = True
    for path in paths:
        with tempfile.TemporaryDirectory() as directory:
            good = await replay_one(path, directory) and good
    return 0 if good else 1


if __name__ == '__main__':
    sys.exit(asyncio.run(replay_all(choose_traces(sys.argv[1:]))))

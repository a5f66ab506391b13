"""Measure how long keys are unavailable for each kind of loss."""

import asyncio
import dataclasses
import functools
import pathlib
import tempfile
import typing

from sycamoreferry_core import clock, ids, profiles
from sycamoreferry_standins import cluster, log_service, outages, workloads
from sycamoreferry_standins.bench import report
from sycamoreferry_standins.trial import faults, member, system

EXPERIMENT = 'unavailable time'
TARGET_MS = 3000
LOG_DOWN_MS = 10_000
TRIAL_WARM_UP_MS = 3000
TRIAL_MS = 20_000
TRIAL_SEEDS = 10
CONNECTIONS = 40
SHARDS = 16
WATCHED_KEYS = 12

_KEYED = workloads.ServiceSize(
    ids.ServiceName('keyed'),
    targets=2,
    slots=2,
    connections=CONNECTIONS,
    shards=SHARDS,
)
_WORKLOAD = workloads.Workload(
    name='unavailable',
    data_centres=(ids.DataCentre('north'), ids.DataCentre('south')),
    link_ms=1,
    services=(_KEYED,),
)
_LATER_SERVER = 3

Loss = typing.Callable[
    [cluster.Cluster, tuple[str, str]],
    typing.Awaitable[None],
]


@dataclasses.dataclass(frozen=True)
class Experiment:
    """Describe a loss among real processes."""

    quantity: str
    lose: Loss
    entries: int = 4
    variant: str = 'processes'


async def measure() -> tuple[report.Measurement, ...]:
    """Measure each loss in-process and with real processes."""
    measured = list(_measure_trials())
    for experiment in EXPERIMENTS:
        gap = await _measure_processes(experiment)
        measured.append(
            _row(experiment.variant, experiment.quantity, gap),
        )
    return tuple(measured)


def _row(variant: str, quantity: str, figure: float) -> report.Measurement:
    return report.Measurement(
        experiment=EXPERIMENT,
        variant=variant,
        quantity=quantity,
        figure=figure,
        unit='ms',
        target=TARGET_MS,
    )


async def _measure_processes(experiment: Experiment) -> int:
    with tempfile.TemporaryDirectory() as directory:
        async with cluster.Cluster(
            _WORKLOAD,
            pathlib.Path(directory),
            entries=experiment.entries,
        ) as running:
            return await _measure_loss(running, experiment)


async def _measure_loss(
    running: cluster.Cluster,
    experiment: Experiment,
) -> int:
    roles = await outages.holders(running, _KEYED.name)
    avoided = roles if experiment.entries > 1 else ()
    entry = outages.first_other(running, avoided)
    await running.start_backends(
        _KEYED,
        first_number=_LATER_SERVER,
        targets=1,
    )
    await outages.wait_for_owner(
        running,
        _KEYED.name,
        ids.ServerId(f'{_KEYED.name}-{_LATER_SERVER}'),
    )
    await running.wait_until_granted()
    async with outages.KeyWatch(
        running,
        f'{entry.url}/{_KEYED.name}/a',
        outages.keys_of(WATCHED_KEYS),
    ) as watch:
        await watch.wait_until_answered()
        await experiment.lose(running, roles)
        await watch.wait_until_answered()
    return watch.longest_gap_ms()


async def _lose_nothing(
    running: cluster.Cluster,
    roles: tuple[str, str],
) -> None:
    await asyncio.sleep(clock.seconds(TARGET_MS))


async def _lose_coordinator(
    running: cluster.Cluster,
    roles: tuple[str, str],
) -> None:
    await running.started[roles[0]].kill()
    await outages.wait_for_term(running, _KEYED.name, roles[:1])


async def _lose_both(
    running: cluster.Cluster,
    roles: tuple[str, str],
) -> None:
    await asyncio.gather(*(running.started[name].kill() for name in roles))
    await outages.wait_for_term(running, _KEYED.name, roles)


async def _lose_server(
    running: cluster.Cluster,
    roles: tuple[str, str],
) -> None:
    await running.started[f'{_KEYED.name}-from-{_LATER_SERVER}'].kill()


async def _lose_log(
    running: cluster.Cluster,
    roles: tuple[str, str],
) -> None:
    await running.control.set_log_faults(log_service.LogFaults(down=True))
    await asyncio.sleep(clock.seconds(LOG_DOWN_MS))
    await running.control.set_log_faults(log_service.LogFaults())


EXPERIMENTS = (
    Experiment('nothing lost', _lose_nothing),
    Experiment('coordinator killed', _lose_coordinator),
    Experiment('coordinator and deputy killed', _lose_both),
    Experiment('backend server killed', _lose_server),
    Experiment('log down for 10 s', _lose_log),
    Experiment(
        'log down for 10 s',
        _lose_log,
        entries=1,
        variant='processes, leases proved by the log alone',
    ),
)


def _step(fault: str, *parties: str) -> faults.Step:
    return faults.Step(fault, parties, TRIAL_WARM_UP_MS, LOG_DOWN_MS)


TRIALS = {
    'coordinator lost': (_step('lose', 'coordinator'),),
    'deputy lost': (_step('lose', 'deputy'),),
    'coordinator and deputy lost': (_step('lose', 'coordinator', 'deputy'),),
    'server lost': (_step('lose', 's1'),),
    'coordinator and a server lost': (_step('lose', 'coordinator', 's1'),),
    'coordinator paused for 10 s': (_step('pause', 'coordinator'),),
    'log down for 10 s': (_step('log down', member.LOG),),
}


def _measure_trials() -> typing.Iterator[report.Measurement]:
    for quantity, steps in TRIALS.items():
        unowned = functools.partial(_longest_unowned, steps)
        longest = max(unowned(seed) for seed in range(TRIAL_SEEDS))
        yield _row('in-process, injected clock', quantity, longest)


def _longest_unowned(steps: tuple[faults.Step, ...], seed: int) -> int:
    trial = system.System(system.Setup(timing=profiles.Timing()), seed)
    trial.run_for(TRIAL_WARM_UP_MS)
    trial.unowned_ms.clear()
    faults.replay(trial, steps)
    trial.world.run_until(TRIAL_MS)
    return max(trial.unowned_ms.values(), default=0)

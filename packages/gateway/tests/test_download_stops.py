"""Stop real processes as planned while their callers read long answers.

A stop must not cut an answer of a request that it let reach a server.
FERRY_SOAK_SEEDS=1,2,3 runs other seeds; FERRY_SOAK_PROCESSES sets their number.
"""

import os
import pathlib
import typing

import pytest

from gateway_testing import download_stops

SHORT_SEED = 0
CALLERS = 16
ROUNDS = 3


def _seeds() -> list[int]:
    chosen = os.environ.get('FERRY_SOAK_SEEDS')
    if chosen:
        return [int(seed) for seed in chosen.split(',')]
    return [SHORT_SEED]


@pytest.mark.processes
@pytest.mark.parametrize('seed', _seeds())
@pytest.mark.parametrize('kind', ['download', 'unsafe'])
@pytest.mark.parametrize('is_keyed', [True, False], ids=['keyed', 'any'])
async def test_planned_stops_cut_no_long_answer(
    cluster: typing.Any,
    tmp_path: pathlib.Path,
    encode_configuration: typing.Callable[..., bytes],
    kind: str,
    *,
    is_keyed: bool,
    seed: int,
) -> None:
    await cluster.start(3, 0, kind=kind, is_keyed=is_keyed)
    for number, server in enumerate(cluster.servers):
        server.slots = CALLERS
        server.answer_body = download_stops.BODY
        server.processing_time_s = 0.1 * number
        server.register()
    for number in range(int(os.environ.get('FERRY_SOAK_PROCESSES', '3'))):
        cluster.start_process(f'i{number}', tmp_path, cluster.store.port)
    if is_keyed:
        await cluster.wait_until(cluster.is_covered, limit_s=20)
    stops = download_stops.DownloadStops(
        cluster, seed, encode_configuration, kind=kind
    )
    await stops.run(ROUNDS, CALLERS)
    violations = '; '.join(stops.violations)
    assert not violations, f'seed {seed}; logs in {tmp_path}'
    assert stops.whole_count > CALLERS
    assert stops.refused_count

"""Inject faults into real processes and check what callers and servers see.

A seed determines the faults: connections that are reset, lose data or are
slow; instances that are paused, killed or restarted; servers that restart.
FERRY_SOAK_SEEDS=1,2,3 runs other seeds, FERRY_SOAK_S sets the seconds of each.
"""

import os
import pathlib
import typing

import pytest

from gateway_testing import (
    crash_soak,
    limit_soak,
    odd_entry_soak,
    rejection_soak,
    restore_soak,
    soak,
)

_ALIKE_REQUESTS = 'requests that are alike were taken for one that ends servers'
# Each seed that ever failed, with the cause of its failure.
REGRESSION_SEEDS: dict[int, str] = {
    1: 'a new incarnation kept a renewal that was meant for the earlier one',
    67: _ALIKE_REQUESTS,
    76: _ALIKE_REQUESTS,
    98: _ALIKE_REQUESTS,
}
SHORT_SEEDS = (2,)
# A limit was granted in several places.
LIMIT_SEEDS = (1,)
# A second rejection was taken for the answer to the next send.
REJECTION_SEEDS = (10,)
# An odd entry stopped heartbeats, and a stop cut requests.
ODD_ENTRY_SEEDS = (3,)


def _seeds() -> list[int]:
    chosen = os.environ.get('FERRY_SOAK_SEEDS')
    if chosen:
        return [int(seed) for seed in chosen.split(',')]
    return [*SHORT_SEEDS, *REGRESSION_SEEDS]


def _short_seeds(usual: tuple[int, ...] = SHORT_SEEDS) -> list[int]:
    if os.environ.get('FERRY_SOAK_SEEDS'):
        return _seeds()
    return list(usual)


async def _play(played: soak.Soak, folder: pathlib.Path) -> None:
    try:
        await played.start(folder)
        await played.run(float(os.environ.get('FERRY_SOAK_S', '8')))
    finally:
        played.stop()
    violations = dict.fromkeys(played.calls.violations)
    assert not violations, '\n'.join(
        (
            f'seed {played.seed}; logs in {folder}',
            *violations,
            *played.timeline,
        )
    )
    assert played.calls.answered_count > 50


@pytest.mark.processes
@pytest.mark.timeout(120)
@pytest.mark.parametrize('seed', _seeds())
async def test_promises_hold_under_faults(
    cluster: typing.Any,
    checked_calls: typing.Any,
    tmp_path: pathlib.Path,
    seed: int,
) -> None:
    await _play(soak.Soak(cluster, checked_calls, seed), tmp_path)


@pytest.mark.processes
@pytest.mark.timeout(120)
@pytest.mark.parametrize('seed', _short_seeds())
async def test_promises_hold_under_partitions_and_rate_limits(
    cluster: typing.Any,
    checked_calls: typing.Any,
    tmp_path: pathlib.Path,
    seed: int,
) -> None:
    played = soak.Soak(cluster, checked_calls, seed, has_partitions=True)
    await _play(played, tmp_path)


@pytest.mark.processes
@pytest.mark.timeout(120)
@pytest.mark.parametrize('seed', _short_seeds())
async def test_promises_hold_while_the_store_loses_records(
    cluster: typing.Any,
    checked_calls: typing.Any,
    tmp_path: pathlib.Path,
    seed: int,
) -> None:
    await _play(
        restore_soak.RestoreSoak(cluster, checked_calls, seed), tmp_path
    )


@pytest.mark.processes
@pytest.mark.timeout(120)
@pytest.mark.parametrize('seed', _short_seeds())
async def test_promises_hold_while_requests_crash_servers(
    cluster: typing.Any,
    checked_calls: typing.Any,
    tmp_path: pathlib.Path,
    seed: int,
) -> None:
    await _play(crash_soak.CrashSoak(cluster, checked_calls, seed), tmp_path)


@pytest.mark.processes
@pytest.mark.timeout(120)
@pytest.mark.parametrize('seed', _short_seeds(LIMIT_SEEDS))
async def test_promises_hold_while_servers_limit_their_rate(
    cluster: typing.Any,
    checked_calls: typing.Any,
    tmp_path: pathlib.Path,
    seed: int,
) -> None:
    await _play(limit_soak.LimitSoak(cluster, checked_calls, seed), tmp_path)


@pytest.mark.processes
@pytest.mark.timeout(120)
@pytest.mark.parametrize('seed', _short_seeds(REJECTION_SEEDS))
@pytest.mark.parametrize('is_keyed', [True, False], ids=['keyed', 'any'])
async def test_promises_hold_while_servers_reject_and_repeat_answers(
    cluster: typing.Any,
    checked_calls: typing.Any,
    tmp_path: pathlib.Path,
    seed: int,
    *,
    is_keyed: bool,
) -> None:
    """Check for requests that ran twice, or although they were refused."""
    played = rejection_soak.RejectionSoak(
        cluster, checked_calls, seed, is_keyed=is_keyed
    )
    await _play(played, tmp_path)


@pytest.mark.processes
@pytest.mark.timeout(120)
@pytest.mark.parametrize('seed', _short_seeds(ODD_ENTRY_SEEDS))
async def test_promises_hold_while_another_writer_leaves_odd_entries(
    cluster: typing.Any,
    checked_calls: typing.Any,
    tmp_path: pathlib.Path,
    seed: int,
) -> None:
    """Check for instances that end or lose track, beside other faults."""
    await _play(
        odd_entry_soak.OddEntrySoak(cluster, checked_calls, seed), tmp_path
    )

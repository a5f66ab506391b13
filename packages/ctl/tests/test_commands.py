import asyncio
import json
import pathlib
import typing

import pytest
from typer import testing

from sycamoreferry_core import ids
from sycamoreferry_ctl import cli
from sycamoreferry_ports import http_log, log_port
from sycamoreferry_standins import cluster, trace, workloads

KEYED = workloads.DYFED.services[0]
STATEMENT = """\
title: small
workload: dyfed
outcomes:
  - {kind: whole-answers}
  - {kind: answered-share, at_least: 1}
  - {kind: at-most-once}
"""


def _request(number: int, service: str) -> trace.RequestSent:
    return trace.RequestSent(
        at_ms=number,
        request_id=ids.RequestId(f'r{number}'),
        caller=ids.CallerId('team'),
        service=ids.ServiceName(service),
        method='POST',
        idempotency_key=ids.IdempotencyKey(f'slot-{number}'),
    )


GOOD_TRACE = [_request(number, 'booking-svc') for number in range(5)]
BAD_TRACE = [*GOOD_TRACE, _request(9, 'no-such-svc')]


class Operator:
    """Call ferryctl against a running system."""

    def __init__(self, system: cluster.Cluster) -> None:
        self._url = system.platform_url

    async def call(self, *arguments: str) -> typing.Any:
        """Run a command beside the test's own loop."""
        return await asyncio.to_thread(
            testing.CliRunner().invoke,
            cli.app,
            [*arguments, '--log-url', self._url],
        )

    async def rows(self, *arguments: str) -> list[dict[str, typing.Any]]:
        """Run a command that succeeds, and return its rows."""
        ended = await self.call(*arguments, '-o', 'json')
        assert ended.exit_code == 0, ended.output
        return list(json.loads(ended.stdout))


@pytest.mark.processes
async def test_operator_drives_a_system(tmp_path: pathlib.Path) -> None:
    async with cluster.Cluster(
        workloads.DYFED,
        tmp_path,
        entries=2,
    ) as system:
        operator = Operator(system)
        await _check_views(operator)
        await _check_profiles(operator, tmp_path)
        await _check_moves(operator)
        await _check_release(operator)
        await _check_quarantine(operator)
        await _check_replay(operator, tmp_path)
        await system.started['entry-2'].kill()
        silent = await operator.call('status')
        assert silent.exit_code == 4


ODD_RECORDS = (
    b'{"type": "InstanceJoined", "record_id": "1", "instance": "odd",'
    b' "data_centre": "d", "peer_host": "127.0.0.1", "peer_port": 70000,'
    b' "request_port": 1}',
    b'{"type": "InstanceJoined", "record_id": "2", "instance": "huge",'
    b' "data_centre": "d", "peer_host": "127.0.0.1", "peer_port": 1%s,'
    b' "request_port": 1}' % (b'0' * 30),
    b'{"type": "AssignmentRevised", "record_id": "3", "service": "x",'
    b' "term": 0, "shard_count": 1000000000000000, "changes": []}',
    b'{"type": "ShardPinned", "record_id": "4", "service": "%s",'
    b' "shard": -1, "server": "any"}' % KEYED.name.encode(),
    b'[' * 100_000,
)


@pytest.mark.processes
async def test_operator_drives_a_system_behind_odd_records(
    tmp_path: pathlib.Path,
) -> None:
    """Records of another writer ended the task that follows the log."""
    async with cluster.Cluster(
        workloads.DYFED,
        tmp_path,
        entries=2,
    ) as system:
        log = http_log.HttpLog(system.session, system.platform_url, 'ferry')
        for record in ODD_RECORDS:
            appended = await log.append(record)
            assert isinstance(appended, log_port.Appended)
        operator = Operator(system)
        await _check_views(operator)
        await _check_moves(operator)
        long_name = await operator.call('drain', KEYED.name, 'x' * 300)
        assert long_name.exit_code == 1
        assert 'refused with code 6004' in long_name.stderr


async def _check_views(operator: Operator) -> None:
    owners = await operator.rows('assignment', '--service', KEYED.name)
    assert sum(row['shards'] for row in owners) == KEYED.shards
    key = ('assignment', '--service', KEYED.name, '--key', 'manifest-1')
    owner = (await operator.rows(*key))[0]['server']
    assert owner in {row['server'] for row in owners}
    assert (await operator.rows('terms'))[0]['term'] >= 1
    assert len(await operator.rows('members')) == 2
    leases = await operator.rows('leases')
    assert {row['server'] for row in leases} >= {owner}
    assert max(row['lasts_ms'] for row in leases) > 0
    statuses = await operator.rows('status')
    assert all(row['ready'] for row in statuses)
    unknown = await operator.call('assignment', '--service', 'x', '--key', 'k')
    assert unknown.exit_code == 2


async def _check_profiles(operator: Operator, path: pathlib.Path) -> None:
    first, second = path / 'first.yaml', path / 'second.yaml'
    first.write_text('timing: {lease_ms: 1500}\n')
    second.write_text('timing: {lease_ms: 1600}\n')
    missing = await operator.call('profile', 'show', 'default')
    assert missing.exit_code == 1
    published = await operator.call('profile', 'publish', 'default', str(first))
    assert published.exit_code == 0, published.output
    assert 'number 1 is in force' in published.stdout
    stale = await operator.call('profile', 'publish', 'default', str(second))
    assert stale.exit_code == 1
    assert 'refused with code 6002' in stale.stderr
    differ = await operator.rows('profile', 'diff', 'default', str(second))
    assert [row['field'] for row in differ] == ['timing.lease_ms']
    revise = ('profile', 'publish', 'default', str(second), '--revises', '1')
    revised = await operator.call(*revise)
    assert revised.exit_code == 0
    assert 'timing.lease_ms' in revised.stdout
    assert (await operator.rows('profile', 'list'))[0]['number'] == 2
    shown = await operator.call('profile', 'show', 'default')
    assert 'lease_ms: 1600' in shown.stdout


async def _check_moves(operator: Operator) -> None:
    key = 'manifest-1'
    shown = ('assignment', '--service', KEYED.name)
    owned = (await operator.rows(*shown, '--key', key))[0]
    drained = await operator.call('drain', KEYED.name, owned['server'])
    assert drained.exit_code == 0, drained.output
    owners = {row['server'] for row in await operator.rows(*shown)}
    assert owned['server'] not in owners
    target = min(owners - {owned['server']})
    moved = await operator.call('move', KEYED.name, key, target)
    assert moved.exit_code == 0, moved.output
    owner = (await operator.rows(*shown, '--key', key))[0]['server']
    assert owner == target
    for undo in (
        ('drain', KEYED.name, owned['server'], '--undo'),
        ('move', KEYED.name, key, target, '--undo'),
    ):
        assert (await operator.call(*undo)).exit_code == 0
    unknown = await operator.call('move', 'x', key, target)
    assert unknown.exit_code == 2


async def _check_release(operator: Operator) -> None:
    refused = await operator.call('release', KEYED.name, '999', '--sure')
    assert refused.exit_code == 1
    assert 'refused with code 6001' in refused.stderr
    term = str((await operator.rows('terms'))[0]['term'])
    unsure = await operator.call('release', KEYED.name, term)
    assert unsure.exit_code == 2
    released = await operator.call('release', KEYED.name, term, '--sure')
    assert released.exit_code == 0
    assert (await operator.rows('terms'))[0]['unsettled'] == 0


async def _check_quarantine(operator: Operator) -> None:
    assert await operator.rows('quarantine', 'list') == []
    released = await operator.call('quarantine', 'release', 'none')
    assert released.exit_code == 0


async def _check_replay(operator: Operator, path: pathlib.Path) -> None:
    for name, lines, status in (
        ('good', GOOD_TRACE, 0),
        ('bad', BAD_TRACE, 1),
    ):
        recorded = path / f'{name}.jsonl'
        recorded.write_bytes(trace.format_trace(lines))
        recorded.with_suffix('.yaml').write_text(STATEMENT)
        replayed = await operator.call('replay', str(recorded))
        assert replayed.exit_code == status, replayed.output
    assert 'does not hold: answered-share: 5 of 6' in replayed.stdout

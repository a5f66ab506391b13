"""Check configurations that decode, but hold a value at the end of its bounds.

A number that a decoder accepted stopped the parts that calculated with it.
"""

import asyncio
import json
import pathlib
import typing

import pytest

from sycamoreferry_core import decoding, http_messages
from sycamoreferry_gateway import http_client
from sycamoreferry_ports import boot_clock

KEY = 7
YEAR = '31536000s'
# Events of parts that raised.
FAILURES = (
    'part failed; restarting it',
    'record could not be applied',
    'request failed',
    'step failed',
    'unhandled error',
)
CASES: list[tuple[str, object, set[int]]] = [
    ('MaxConns', decoding.MAX_NUMBER, {200}),
    ('MaxConns', -decoding.MAX_NUMBER, {200}),
    ('MaxConns', 0, {200}),
    ('MaxAttempts', decoding.MAX_NUMBER, {200}),
    ('MaxAttempts', -decoding.MAX_NUMBER, {200}),
    ('MaxAttempts', 0, {200}),
    ('Priority', decoding.MAX_NUMBER, {200}),
    ('Priority', -decoding.MAX_NUMBER, {200}),
    ('Timeout', YEAR, {200}),
    ('Timeout', '0ms', {503}),
    ('Slo', YEAR, {200}),
    ('Slo', '0ms', {200}),
    ('IdleTimeout', YEAR, {200}),
    ('IdleTimeout', '0ms', {200}),
    ('HeaderTimeout', YEAR, {200}),
    ('HeaderTimeout', '0ms', {200}),
    ('MaxHeaderBytes', decoding.MAX_NUMBER, {200}),
    ('MaxHeaderBytes', 0, {431}),
    ('MaxBodyBytes', decoding.MAX_NUMBER, {200}),
    ('MaxBodyBytes', 0, {200}),
    ('Weight', decoding.MAX_NUMBER, {200, 503}),
    ('Weight', 0, {200, 503}),
    ('PathPrefix', '', {404}),
    ('Host', 'x' * 100_000, {404}),
]


def _replace(node: typing.Any, name: str, odd: object) -> None:
    """Set a field wherever a configuration has it."""
    if isinstance(node, list):
        for row in node:
            _replace(row, name, odd)
    elif isinstance(node, dict):
        for field, content in node.items():
            if field == name:
                node[field] = odd
            else:
                _replace(content, name, odd)


@pytest.mark.parametrize(('name', 'odd', 'statuses'), CASES)
async def test_odd_field_of_a_configuration_stops_no_part(
    cluster: typing.Any,
    encode_configuration: typing.Any,
    tmp_path: pathlib.Path,
    name: str,
    odd: object,
    statuses: set[int],
) -> None:
    await cluster.start(servers=1, instances=0)
    decoded = json.loads(encode_configuration(2))
    if name == 'Weight':
        decoded['Services'].append({'Name': 'other', 'MaxConns': 1})
        decoded['VirtualHosts'][0]['Paths'][0]['TrafficSplit'] = [
            {'Service': 'keys', 'Weight': 1},
            {'Service': 'other', 'Weight': 1},
        ]
    _replace(decoded, name, odd)
    cluster.store.put('keyed.op', 'config', json.dumps(decoded).encode())
    log = tmp_path / 'log'
    only = cluster._run(cluster._deployment('i0'), str(log))
    await cluster.wait_until(lambda: only.is_ready and cluster.is_covered())
    assert only._view.config.version == 2
    pool = http_client.ConnectionPool(boot_clock.BootClock())
    for number in range(3):
        reply = await pool.exchange(
            only._deployment.request_address,
            cluster.encode_request(f'r{number}', KEY),
            3_000,
        )
        assert isinstance(reply, http_messages.HttpResponse)
        assert reply.status in statuses
    # All periodic steps have run once.
    await asyncio.sleep(0.6)
    events = [json.loads(line)['event'] for line in log.open()]
    assert 'configuration in force' in events
    assert not set(events) & set(FAILURES)

"""Check that rate limits hold while instances and links are disturbed.

FERRY_LIMIT_COMBINATIONS=all plays all cases; otherwise a few of them.
"""

import asyncio
import dataclasses
import itertools
import os
import typing

import pytest

from gateway_testing import limit_faults, limit_play, limit_watch

_INSTANCES = 10
_SERVERS = 6
_LOAD_PER_S = 80
# What two of the servers limit their requests a second to.
_LIMITS = ((1, 4), (0.5, 12), (6, 9))
_FAULTS = (
    'no_fault',
    'halves',
    'thirds',
    'alone',
    'each_alone',
    'one_way',
    'lossy',
    'uneven',
    'rolled',
    'killed',
    'lapsed',
    'restarted',
    'store_away',
    'joined',
    'stalled',
    'changing',
)


@dataclasses.dataclass(frozen=True)
class _Case:
    fault: str
    limits: tuple[float, float] = (1, 4)
    is_keyed: bool = False
    instances: int = _INSTANCES

    @property
    def name(self) -> str:
        """Return what tells this case from the others."""
        kind = 'keyed' if self.is_keyed else 'pool'
        limits = '-'.join(map(str, self.limits))
        return f'{self.fault}-{kind}-{limits}-{self.instances}'


_CASES = [
    *(
        _Case(fault, limits, is_keyed)
        for fault, limits, is_keyed in itertools.product(
            _FAULTS, _LIMITS, (False, True)
        )
    ),
    *(
        _Case(fault, (3, 8), instances=instances)
        for fault, instances in itertools.product(
            ('halves', 'rolled', 'uneven'), (9, 12)
        )
    ),
]
_SHORT = (
    'halves-pool-1-4-10',
    'thirds-pool-1-4-10',
    'one_way-pool-1-4-10',
    'each_alone-pool-1-4-10',
    'uneven-pool-1-4-10',
)


def _cases() -> list[_Case]:
    if os.environ.get('FERRY_LIMIT_COMBINATIONS') == 'all':
        return _CASES
    return [case for case in _CASES if case.name in _SHORT]


@pytest.mark.timeout(90)
@pytest.mark.parametrize('case', _cases(), ids=lambda case: case.name)
async def test_limited_server_gets_too_much_beside_faults(
    cluster: typing.Any,
    record_property: typing.Callable[[str, object], None],
    case: _Case,
) -> None:
    play = limit_play.LimitPlay(cluster)
    await play.start(_SERVERS, case.instances, is_keyed=case.is_keyed)
    play.load(_LOAD_PER_S)
    await asyncio.sleep(1.5)
    for server, limit in zip(cluster.servers, case.limits, strict=False):
        play.watch.limit(server, limit)
    await asyncio.sleep(2.5)
    await limit_faults.LimitFaults(play).play(case.fault)
    await asyncio.sleep(limit_watch.WINDOW_MS / 1_000)
    play.stop()
    for server in cluster.servers[: len(case.limits)]:
        record_property(server.name, play.watch.worst_window(server.name))
    record_property('statuses', dict(play.statuses))
    assert not play.watch.excess()

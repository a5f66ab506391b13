"""Check how rarely instances call the store, and what they still know."""

import asyncio
import collections
import time
import typing

import pytest

from sycamoreferry_core.fleet import message_intervals, store_records
from sycamoreferry_gateway import instance as gateway_instance
from sycamoreferry_gateway import peer_messages, store_client

INSTANCES = 5
# The coordinator and the instances that stand by follow the store.
READERS = 3
CALM_S = 6
# Configuration, servers, instances and owners.
TOPICS = 4
# The three topics that an instance reads while it hears of no poll.
CALLS_A_LAPSE = 3
# The coordinator's word is at most 0.95 s old while the loop runs in time, and
# counts for 1.1 s; poll and heartbeat take five steps of the loop.
LATE_LOOP_S = 0.03
# The users' bounds for a configuration and for a server that leaves.
CONFIG_APPLY_S = 2
DRAIN_S = 2


@pytest.fixture(params=['mesh', 'spread'])
def spreads(
    request: pytest.FixtureRequest, monkeypatch: pytest.MonkeyPatch
) -> bool:
    """Run with few instances as they are, and as if they were many."""
    is_spread = bool(request.param == 'spread')
    if is_spread:
        monkeypatch.setattr(message_intervals, '_MAX_MESH_PEERS', 0)
    return is_spread


async def _start(cluster: typing.Any, instances: int = INSTANCES) -> None:
    await cluster.start(2, instances)
    await cluster.wait_until(cluster.is_covered)
    await cluster.wait_until(
        lambda: all(_knows_all(one, instances) for one in cluster.instances)
    )
    await asyncio.sleep(2)


def _knows_all(instance: typing.Any, count: int) -> bool:
    view = instance._view
    return bool(
        instance.is_ready
        and len(view.peer_addresses) == count - 1
        and view.peers.count(view.clock.now()) == count
    )


def _count_calls(cluster: typing.Any) -> list[int]:
    return [one._store.calls for one in cluster.instances]


def _drop_records(instance: typing.Any) -> None:
    """Lose the messages with records that peers send to an instance."""
    handle = instance._exchange.message_handler.handle

    def lose(message: peer_messages.PeerMessage, sender: typing.Any) -> None:
        if not isinstance(message, peer_messages.Records):
            handle(message, sender)

    instance._exchange._socket._handler = lose


def _others(cluster: typing.Any) -> list[typing.Any]:
    leader = cluster.leader()
    return [one for one in cluster.instances if one is not leader]


class _LapseRecorder:
    """Count how often an instance begins to follow the store.

    It does if it hears of no coordinator that polls, or if it takes those that
    follow the store for lost.
    """

    def __init__(self, instance: typing.Any) -> None:
        self.count = 0
        exchange = instance._exchange
        exchange.is_coordinator_polling = self._recording(
            exchange.is_coordinator_polling, usual=True
        )
        exchange.is_store_reader = self._recording(
            exchange.is_store_reader, usual=exchange.is_store_reader()
        )

    def _recording(
        self, check: typing.Callable[[], bool], *, usual: bool
    ) -> typing.Callable[[], bool]:
        found = [usual]

        def recorded() -> bool:
            found.append(check())
            self.count += found[-1] != found[-2] and found[-1] != usual
            return found[-1]

        return recorded


async def _wait_calmly(stalls_s: typing.Iterable[float]) -> float:
    """Wait; return by how much the loop was late at most, in seconds."""
    stalls = list(stalls_s)
    worst_s = 0.0
    for _ in range(CALM_S * 20):
        due = time.monotonic() + 0.05
        await asyncio.sleep(0.05)
        worst_s = max(worst_s, time.monotonic() - due)
        if stalls:
            stall_s = stalls.pop()
            # Blocks the event loop.
            time.sleep(stall_s)  # noqa: ASYNC251
            worst_s = max(worst_s, stall_s)
    return worst_s


@pytest.mark.parametrize('stalls_s', [(), (0.7,) * 4])
async def test_few_instances_call_the_store_while_nothing_changes(
    cluster: typing.Any, spreads: bool, stalls_s: tuple[float, ...]
) -> None:
    """An instance may call only if it heard the others too late.

    A loop that is late delays the coordinator's poll and all heartbeats.
    """
    await _start(cluster)
    followers = [
        not one._exchange.is_store_reader() for one in cluster.instances
    ]
    assert sum(followers) == INSTANCES - READERS
    lapses = [_LapseRecorder(one) for one in cluster.instances]
    before = _count_calls(cluster)
    late_s = await _wait_calmly(stalls_s)
    made = [
        now - earlier
        for now, earlier in zip(_count_calls(cluster), before, strict=True)
    ]
    for is_follower, calls, lapse in zip(followers, made, lapses, strict=True):
        if is_follower:
            assert calls <= CALLS_A_LAPSE * lapse.count
            assert not lapse.count or late_s > LATE_LOOP_S
    # Those that stand by long-poll every few seconds.
    excused = CALLS_A_LAPSE * sum(lapse.count for lapse in lapses)
    assert sum(sorted(made)[:-1]) <= (READERS - 1) * CALM_S + excused


async def test_configuration_reaches_all_instances_in_time(
    cluster: typing.Any, spreads: bool, encode_configuration: typing.Any
) -> None:
    await _start(cluster)
    before = _count_calls(cluster)
    cluster.store.put('keyed.op', 'config', encode_configuration(5))
    await cluster.wait_until(
        lambda: all(one._view.config.version == 5 for one in cluster.instances),
        limit_s=CONFIG_APPLY_S,
    )
    silent = collections.Counter(
        now == earlier
        for now, earlier in zip(_count_calls(cluster), before, strict=True)
    )
    assert silent[True] >= INSTANCES - READERS


async def test_few_instances_follow_the_store_if_the_coordinator_ranks_last(
    cluster: typing.Any, spreads: bool
) -> None:
    """Followers call the store as often as the coordinator's deputies."""
    await cluster.start(2, 1)
    await cluster.wait_until(cluster.is_covered)
    for name in ('a1', 'a2', 'a3', 'a4'):
        cluster.add_instance(name)
    await cluster.wait_until(
        lambda: all(_knows_all(one, INSTANCES) for one in cluster.instances)
    )
    await asyncio.sleep(2)
    assert cluster.leader() is cluster.instances[0]
    readers = [one._exchange.is_store_reader() for one in cluster.instances]
    assert readers == [True, True, True, False, False]


async def test_configuration_reaches_an_instance_whose_records_are_lost(
    cluster: typing.Any, spreads: bool, encode_configuration: typing.Any
) -> None:
    await _start(cluster)
    for instance in _others(cluster):
        _drop_records(instance)
    cluster.store.put('keyed.op', 'config', encode_configuration(5))
    await cluster.wait_until(
        lambda: all(one._view.config.version == 5 for one in cluster.instances),
        limit_s=CONFIG_APPLY_S,
    )


async def test_configuration_arrives_while_the_coordinator_is_lost(
    cluster: typing.Any, spreads: bool, encode_configuration: typing.Any
) -> None:
    await _start(cluster)
    lost = cluster.leader()
    await cluster.kill(cluster.instances.index(lost))
    cluster.store.put('keyed.op', 'config', encode_configuration(5))
    left = [one for one in cluster.instances if one is not lost]
    await cluster.wait_until(
        lambda: all(one._view.config.version == 5 for one in left),
        limit_s=CONFIG_APPLY_S,
    )


@pytest.mark.parametrize('loses_records', [False, True])
async def test_leaving_server_is_known_to_all_instances_in_time(
    cluster: typing.Any, spreads: bool, loses_records: bool
) -> None:
    await _start(cluster)
    if loses_records:
        for instance in _others(cluster):
            _drop_records(instance)
    cluster.servers[0].register('draining')
    await cluster.wait_until(
        lambda: all(
            not one._view.fleet.servers['s0'].is_ready
            for one in cluster.instances
        ),
        limit_s=DRAIN_S,
    )


async def test_leaving_server_is_known_while_the_coordinator_is_lost(
    cluster: typing.Any, spreads: bool
) -> None:
    await _start(cluster)
    lost = cluster.leader()
    await cluster.kill(cluster.instances.index(lost))
    cluster.servers[0].register('draining')
    left = [one for one in cluster.instances if one is not lost]
    await cluster.wait_until(
        lambda: all(not one._view.fleet.servers['s0'].is_ready for one in left),
        limit_s=DRAIN_S,
    )


async def test_instance_that_calls_rarely_claims_a_vacant_term(
    cluster: typing.Any, spreads: bool
) -> None:
    """Calls long ago are no sign that an instance has lost the store."""
    await _start(cluster)
    await asyncio.sleep(CALM_S)
    lost = cluster.leader()
    appends = cluster.store.append_count
    await cluster.kill(cluster.instances.index(lost))
    left = [one for one in cluster.instances if one is not lost]
    await cluster.wait_until(
        lambda: any(one._coordinator.has_authority for one in left), limit_s=3
    )
    # All at once would claim if none of them took another for able to.
    assert cluster.store.append_count - appends <= 3


async def test_new_instance_is_known_to_all_instances_at_once(
    cluster: typing.Any, spreads: bool
) -> None:
    await _start(cluster, 4)
    cluster.add_instance('new')
    await cluster.wait_until(
        lambda: all(_knows_all(one, 5) for one in cluster.instances), limit_s=3
    )


class _CallRecorder:
    """Record the calls of an instance that ask for no long poll."""

    def __init__(self, instance: typing.Any) -> None:
        self.targets: list[str] = []
        self._client = instance._store
        self._call = self._client._call
        self._client._call = self._recorded_call

    def count(self, verb: str) -> int:
        """Return how many calls have a word in their target."""
        return sum(verb in target for target in self.targets)

    async def _recorded_call(
        self, call: typing.Any, timeout_ms: int = store_client.CALL_TIMEOUT_MS
    ) -> typing.Any:
        if timeout_ms == store_client.CALL_TIMEOUT_MS:
            self.targets.append(call.target)
        return await self._call(call, timeout_ms)


async def test_instance_that_starts_reads_each_topic_once(
    cluster: typing.Any, spreads: bool
) -> None:
    """After a loss of power all start at once, and the store is shared."""
    await _start(cluster, 4)
    recorder = _CallRecorder(cluster.add_instance('new'))
    await cluster.wait_until(
        lambda: all(_knows_all(one, 5) for one in cluster.instances), limit_s=3
    )
    await asyncio.sleep(1)
    assert recorder.count('log-newest') == TOPICS
    assert recorder.count('log-append') == 1
    # Tells of instances that registered meanwhile.
    assert recorder.count('log-read') <= 1


async def test_records_of_peers_are_read_again_in_a_new_era(
    sample_deployment: typing.Any, quiet_log: typing.Any
) -> None:
    """A store that rejects all calls names its era, too."""
    started = gateway_instance.Instance(sample_deployment, quiet_log)
    wakes = started._sync._wakes.values()
    started._store._note_era(store_records.StoreEra(3))
    assert not any(wake.is_set() for wake in wakes)
    rows = [peer_messages.RecordRow('one', 7, b'')]
    records = peer_messages.Records('keyed.ferry-instances', 8, rows, 3)
    started._exchange.message_handler.handle(records, ('127.0.0.1', 1))
    started._store._note_era(store_records.StoreEra(4))
    assert all(wake.is_set() for wake in wakes)

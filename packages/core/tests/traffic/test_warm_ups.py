"""Replay the load on servers that become cold while they are busy."""

import typing

import pytest

from sycamoreferry_core import clock, ids
from sycamoreferry_core.fleet import deployment, servers
from sycamoreferry_core.traffic import (
    request_pacer,
    request_rates,
    routes,
    server_choice,
    server_load,
    warm_ups,
)

SERVICE = ids.ServiceName('v')
WORK_MS = 50
COLD_WORK_MS = 100
WARMUP_MS = 4_000
# Up to 1.5 s until it starts again and two until its entry is read.
ASSUMED_MS = 3_600
COLD_AT = 1_000
COLD_ENDS = COLD_AT + WARMUP_MS
# When another instance, with a clock that is right, counts as well.
BOTH_COUNT = range(COLD_AT + 1_000, COLD_AT + 2_500)
BUNCH_MS = 100
STEP_MS = 50


def _server(number: int = 1, slots: int = 2) -> servers.BackendServer:
    incarnation = servers.ServerIncarnation(
        ids.ServerId(f's{number}'), servers.IncarnationNumber(1)
    )
    ready = servers.ServerState.READY
    zone = ids.DataCentre('here')
    return servers.BackendServer(
        incarnation, SERVICE, '', 80, zone, slots, ready, 0, 1
    )


def _warm_ups(
    per_s: float | None = 4.5, overage: float | None = 1.5
) -> warm_ups.WarmUps:
    known = warm_ups.WarmUps(
        deployment.Bounds(
            2_000, 6_000, 0.2, 10_000, 60, 10_000, None, overage, 8
        )
    )
    policy = routes.ServicePolicy(
        SERVICE,
        100,
        is_keyed=False,
        warmup_ms=WARMUP_MS,
        warmup_requests_per_s=per_s,
    )
    known.use_policies({SERVICE: policy})
    return known


def _arrivals(
    slots: int, make: typing.Callable[[], warm_ups.WarmUps], both: range
) -> list[list[int]]:
    """Keep the servers of a data centre busy; return when requests arrive."""
    listed = [_server(number, slots) for number in range(4)]
    arrived: list[list[int]] = [[] for _ in listed]
    for clock_rate, counts in ((1.02, range(COLD_ENDS)), (1.0, both)):
        loads = server_load.ServerLoads(make())
        pacer = request_pacer.RequestPacer()
        running: list[list[int]] = [[] for _ in listed]
        for now in range(0, COLD_ENDS, STEP_MS):
            at = clock.Millis(int(now * clock_rate))
            for server, times, ends in zip(
                listed, arrived, running, strict=True
            ):
                if now >= COLD_AT:
                    loads.warm_ups.record_entry(
                        server.incarnation, COLD_ENDS + 500 - now, at
                    )
                while ends and ends[0] <= now:
                    ends.pop(0)
                while (
                    now in counts
                    and len(ends) < server_choice.capacity_of(slots)
                    and _may_send(server, loads, pacer, at)
                ):
                    pacer.record_request(server.incarnation.server)
                    # Datagrams wait on the way and arrive together.
                    times.append(now + BUNCH_MS - now % BUNCH_MS)
                    work = WORK_MS if now < COLD_AT else COLD_WORK_MS
                    ends.append(times[-1] + work)
    return arrived


def _may_send(
    server: servers.BackendServer,
    loads: server_load.ServerLoads,
    pacer: request_pacer.RequestPacer,
    at: clock.Millis,
) -> bool:
    server_id = server.incarnation.server
    rate = request_rates.rate_of(server_id, server, loads, at)
    if rate is None:
        return True
    pacer.set_rate(server_id, rate.requests_per_s, 1, at, rate.burst)
    return pacer.is_due(server_id, at)


def _most_in_a_second(arrived: list[int]) -> int:
    counted = [at for at in arrived if at >= COLD_AT]
    return max(
        sum(start <= at < start + 1_000 for at in counted) for start in counted
    )


@pytest.mark.parametrize('slots', [2, 6])
@pytest.mark.parametrize('per_s', [4.5, 7.7])
def test_busy_servers_that_become_cold_get_what_they_tolerate(
    per_s: float, slots: int
) -> None:
    """Fails if a second instance or bunched grants exceed the bound."""
    bound = 1.5 * per_s + 8
    arrived = _arrivals(slots, lambda: _warm_ups(per_s), BOTH_COUNT)
    assert all(_most_in_a_second(times) <= bound for times in arrived)
    unbounded = _arrivals(slots, lambda: _warm_ups(per_s, None), BOTH_COUNT)
    assert all(_most_in_a_second(times) > bound for times in unbounded)


@pytest.mark.parametrize('per_s', [4.5, 7.7])
def test_cold_servers_get_as_much_as_they_tolerate(per_s: float) -> None:
    """Fails if the pace is slower than the rate in the mean."""
    arrived = _arrivals(6, lambda: _warm_ups(per_s), range(0))
    for times in arrived:
        late = [at for at in times if at > COLD_AT + 1_000]
        assert len(late) >= int(per_s * (WARMUP_MS - 1_000) / 1_000)


def test_warm_up_counts_down_and_may_come_again() -> None:
    """Fails if an entry slows a server for too long, or only the first."""
    known, server = _warm_ups(), _server()
    assert known.record_entry(server.incarnation, 300, clock.Millis(0))
    assert known.remaining_ms(server, clock.Millis(200)) == 100
    assert known.requests_per_s(server, clock.Millis(300)) is None
    assert known.record_entry(server.incarnation, 10**12, clock.Millis(500))
    # Without the store no later entry corrects the last one.
    assert known.remaining_ms(server, clock.Millis(500)) == WARMUP_MS


def test_assumption_ends_with_an_entry_that_was_certainly_written_later() -> (
    None
):
    """Fails if an entry of before a restart is taken for one after it."""
    known, server = _warm_ups(), _server()
    assert known.assume_failed(server, clock.Millis(0), was_refused=True)
    remaining = []
    for read_at in (100, 970, 1_840):
        now = clock.Millis(read_at)
        known.record_entry(server.incarnation, 0, now)
        remaining.append(known.remaining_ms(server, now))
    assert remaining == [ASSUMED_MS - 100, ASSUMED_MS - 970, 0]


def test_reports_of_an_assumption_do_not_prolong_it() -> None:
    """Fails if instances keep a server cold by telling each other."""
    one, other = _warm_ups(), _warm_ups()
    one.assume_failed(_server(), clock.Millis(0), was_refused=True)
    for moment in range(0, 2 * WARMUP_MS, 100):
        for source, target in ((one, other), (other, one)):
            for row, until in source.reports(clock.Millis(moment)).items():
                target.merge_report(row, clock.later(until, 90))
    assert one.remaining_ms(_server(), clock.Millis(0)) == ASSUMED_MS
    assert other.remaining_ms(_server(), clock.Millis(0)) == ASSUMED_MS + 90


def test_health_check_tells_of_a_warm_up_and_of_its_end() -> None:
    """Fails if an entry of before the check overrides its response."""
    known, server = _warm_ups(), _server()
    assert known.record_health(server.incarnation, 2_000, clock.Millis(0))
    known.record_entry(server.incarnation, 0, clock.Millis(100))
    assert known.remaining_ms(server, clock.Millis(100)) == 1_900
    known.record_health(server.incarnation, 0, clock.Millis(200))
    assert not known.remaining_ms(server, clock.Millis(200))

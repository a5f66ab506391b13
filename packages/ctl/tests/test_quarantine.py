import pytest

from sycamoreferry_core import clock, ids, profiles, quarantine, state
from sycamoreferry_ctl.commands import quarantine as quarantine_commands

SERVICE = ids.ServiceName('reserba')
POISON = ids.RequestDigest('poison')
OTHER = ids.RequestDigest('other')
POLICY = profiles.Quarantine(duration_ms=600_000, burst_ms=2000)


def _crash(
    server: str,
    at_ms: int,
    *digests: ids.RequestDigest,
) -> quarantine.Crash:
    return quarantine.Crash(SERVICE, ids.ServerId(server), at_ms, digests)


@pytest.mark.parametrize(
    ('crashes', 'expected'),
    [
        ((), {}),
        ((_crash('s1', 0, POISON),), {POISON: (1, False, 0)}),
        (
            (_crash('s1', 0, POISON, OTHER), _crash('s2', 50_000, POISON)),
            {POISON: (2, True, 550_000), OTHER: (1, False, 0)},
        ),
    ],
)
def test_rows_tell_suspects_from_quarantined(
    crashes: tuple[quarantine.Crash, ...],
    expected: dict[ids.RequestDigest, tuple[int, bool, int]],
) -> None:
    rows = quarantine_commands.list_rows(
        state.LogState(crash_book=quarantine.CrashHistory(crashes)),
        POLICY,
        clock.Millis(100_000),
    )
    assert {
        row.digest: (row.crashes, row.quarantined, row.remaining_ms)
        for row in rows
    } == expected

"""Check the phases of a graceful shutdown."""

import pytest

from sycamoreferry_core import clock
from sycamoreferry_core.fleet import leaving

GRACE_MS = 6_000
LONGEST_ROUTE_TIMEOUT_MS = 2_000


@pytest.mark.parametrize(
    ('elapsed', 'is_quiet', 'expected'),
    [
        (0, True, leaving.LeavePhase.ACCEPTING),
        # The load balancer checks once a second and needs two failed checks.
        (2_000, True, leaving.LeavePhase.ACCEPTING),
        (3_000, False, leaving.LeavePhase.FINISHING),
        (3_000, True, leaving.LeavePhase.DONE),
        (5_000, False, leaving.LeavePhase.FINISHING),
        (5_600, False, leaving.LeavePhase.DONE),
    ],
)
def test_phase_depends_on_elapsed_time_and_open_requests(
    elapsed: int,
    is_quiet: bool,
    expected: leaving.LeavePhase,
) -> None:
    phase = leaving.leave_phase(
        clock.Millis(0),
        clock.Millis(elapsed),
        grace_ms=GRACE_MS,
        is_quiet=is_quiet,
    )
    assert phase is expected


def test_last_accepted_request_ends_within_the_grace_period() -> None:
    last_accepted = max(
        moment
        for moment in range(GRACE_MS)
        if leaving.leave_phase(
            clock.Millis(0),
            clock.Millis(moment),
            grace_ms=GRACE_MS,
            is_quiet=False,
        )
        is leaving.LeavePhase.ACCEPTING
    )
    ended = clock.Millis(last_accepted + LONGEST_ROUTE_TIMEOUT_MS)
    phase = leaving.leave_phase(
        clock.Millis(0),
        ended,
        grace_ms=GRACE_MS,
        is_quiet=False,
    )
    assert phase is leaving.LeavePhase.FINISHING

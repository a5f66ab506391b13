import pytest

from sycamoreferry_core import actions, claims, clock, coordination, ids, state

NOW = clock.Millis(1_000)
ME = ids.InstanceId('one')
OTHER = ids.InstanceId('two')


def _leading(deputy: str, candidates: tuple[str, ...]) -> actions.Decision:
    return claims.keep_deputy(
        coordination.CoordinatorState(
            me=ME,
            service=ids.ServiceName('manifest-svc'),
            shard_count=16,
            term=state.TermState(
                term=ids.Term(1),
                coordinator=ME,
                deputy=ids.InstanceId(deputy),
            ),
            candidates=tuple(
                coordination.Candidate(
                    ids.InstanceId(name),
                    ids.DataCentre(name),
                )
                for name in candidates
            ),
            deputy_heard_at=NOW,
        ),
        NOW,
    )


@pytest.mark.parametrize(
    ('deputy', 'candidates', 'claims_again'),
    [
        ('', (ME, OTHER), True),
        ('', (ME,), False),
        (OTHER, (ME, OTHER), False),
    ],
)
def test_coordinator_without_deputy_takes_the_first_candidate(
    deputy: str,
    candidates: tuple[str, ...],
    claims_again: bool,
) -> None:
    decided = _leading(deputy, candidates)
    assert bool(decided.actions) is claims_again

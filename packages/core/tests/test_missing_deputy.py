import dataclasses

import pytest

from sycamoreferry_core import (
    actions,
    claims,
    clock,
    coordination,
    ids,
    records,
    state,
)

NOW = clock.Millis(1_000)
ME = ids.InstanceId('one')
OTHER = ids.InstanceId('two')


def _decide_as_coordinator(
    deputy: str, candidates: tuple[str, ...]
) -> actions.Decision:
    return claims.replace_deputy(
        coordination.CoordinatorState(
            instance=ME,
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
        ('left', (ME, OTHER), True),
        ('left', (ME,), False),
    ],
)
def test_coordinator_without_deputy_claims_if_a_candidate_exists(
    deputy: str,
    candidates: tuple[str, ...],
    claims_again: bool,
) -> None:
    decision = _decide_as_coordinator(deputy, candidates)
    assert bool(decision.actions) is claims_again


@pytest.mark.parametrize(
    ('authority_until', 'candidates', 'is_handed_over'),
    [
        (NOW + 1, (ME, OTHER, 'three'), True),
        (NOW, (ME, OTHER, 'three'), False),
        (NOW + 1, (ME, 'three'), False),
    ],
)
def test_leaving_coordinator_hands_over_to_its_deputy(
    authority_until: int,
    candidates: tuple[str, ...],
    is_handed_over: bool,
) -> None:
    current = _decide_as_coordinator(OTHER, candidates).state
    claim = claims.claim_for_deputy(
        dataclasses.replace(
            current,
            term=dataclasses.replace(
                current.term,
                unsettled=(_current_claim(),),
            ),
            authority_until=clock.Millis(authority_until),
        ),
        NOW,
    )
    assert (claim is not None) is is_handed_over
    if claim is not None:
        assert (claim.term, claim.follows) == (2, 1)
        assert (claim.coordinator, claim.deputy) == (OTHER, 'three')


def _current_claim() -> records.TermClaimed:
    return records.TermClaimed(
        record_id=ids.RecordId('claim'),
        service=ids.ServiceName('manifest-svc'),
        term=ids.Term(1),
        follows=ids.NO_TERM,
        coordinator=ME,
        deputy=OTHER,
    )

"""Build the claim of a term from what is known of the owners before it."""

import dataclasses
import enum
import uuid

from sycamoreferry_core import ids
from sycamoreferry_core.fleet import store_records
from sycamoreferry_core.keyspace import fences
from sycamoreferry_gateway import (
    assignment,
    assignment_tracker,
    claim_records,
)


@enum.unique
class OwnerKnowledge(enum.Enum):
    """Tell what a claiming instance knows of the owners at its claim."""

    # The store has the newest assignment.
    STORED = 'stored'
    # The store lost it, but this instance wrote it and has it still.
    REMEMBERED = 'remembered'
    LOST = 'lost'


@dataclasses.dataclass(frozen=True)
class TermClaim:
    """Hold an assignment with a new term, and the records before it."""

    proposed: assignment.Assignment
    era: store_records.StoreEra
    skipped: tuple[store_records.NewRecord, ...]


def build_claim(
    owners: assignment_tracker.AssignmentTracker,
    claimant: ids.InstanceId,
    era: store_records.StoreEra,
    next_offset: ids.Offset,
    knowledge: OwnerKnowledge,
) -> TermClaim:
    """Build a claim to be appended at an offset in an era of the store."""
    current = owners.current
    skipped = _build_skipped(owners, era, next_offset)
    fence = ids.Fence(next_offset + len(skipped) + 1)
    term = ids.Term(current.term + 1)
    if knowledge is not OwnerKnowledge.STORED:
        # Terms that the store lost lie below the offsets that it lost.
        term = ids.Term(fence)
    tables = {}
    # Keys whose owner is not known are unowned until all leases have expired.
    if knowledge is not OwnerKnowledge.LOST:
        # A server that accepts its keys under a new fence refuses delayed
        # grants of earlier terms.
        tables = {
            service: table.with_fence(fence)
            for service, table in current.tables.items()
        }
    proposed = assignment.Assignment(term, claimant, uuid.uuid4().hex, tables)
    return TermClaim(proposed, era, skipped)


def _build_skipped(
    owners: assignment_tracker.AssignmentTracker,
    era: store_records.StoreEra,
    next_offset: ids.Offset,
) -> tuple[store_records.NewRecord, ...]:
    """Build the records that precede the first claim in an era."""
    claimed_era = owners.claimed_era
    if claimed_era == era:
        return ()
    count = fences.offsets_to_skip(
        next_offset,
        owners.highest_end,
        era=era,
        claimed_era=claimed_era,
    )
    return tuple(claim_records.build_era_records(era, count))

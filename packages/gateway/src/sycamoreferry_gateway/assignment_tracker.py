"""Track the assignment and whether the store has lost a newer one."""

import msgspec

from sycamoreferry_core import clock, ids
from sycamoreferry_core.fleet import store_records
from sycamoreferry_gateway import assignment, claim_records, event_log


class AssignmentTracker:
    """Hold the newest assignment that this instance knows."""

    def __init__(
        self,
        mirror: store_records.TopicMirror,
        time_source: clock.Clock,
        log: event_log.EventLog,
        *,
        is_first_start: bool,
    ) -> None:
        self._mirror = mirror
        self._is_first_start = is_first_start
        self._clock = time_source
        self._log = log
        self._current = assignment.NO_ASSIGNMENT
        self._term_since = time_source.now()
        self._lost_since: clock.Millis | None = None
        self._is_unreadable = False
        # When the leases of terms that were given up have expired.
        self.given_up_lease_ends: dict[ids.Term, clock.Millis] = {}

    @property
    def current(self) -> assignment.Assignment:
        """Return the newest assignment."""
        return self._current

    @property
    def term_since(self) -> clock.Millis:
        """Return when a new term was last seen, or when tracking began."""
        return self._term_since

    @property
    def claimed_era(self) -> store_records.StoreEra:
        """Return the store's era of the last claim that its records have."""
        return claim_records.decode_era(
            self._mirror.records.get(claim_records.ERA_KEY)
        )

    @property
    def highest_end(self) -> ids.Offset:
        """Return the highest end of the topic that was read in any era."""
        return self._mirror.highest_end

    @property
    def lost_since(self) -> clock.Millis | None:
        """Return since when the store's assignment is an older copy.

        None if it is the newest. A claim in the store's present era makes it
        the newest again.
        """
        return self._lost_since

    @property
    def is_unreadable(self) -> bool:
        """Return whether the store's assignment could not be decoded.

        The owners that it names, or that it replaced, are not known then.
        """
        return self._is_unreadable

    def check_for_loss(self) -> None:
        """Find out from the mirror whether the store lost an assignment."""
        if not self._is_older_copy():
            self._lost_since = None
        elif self._lost_since is None:
            self._lost_since = self._clock.now()

    def apply(self, record: store_records.StoredRecord) -> bool:
        """Take an assignment over unless it is malformed or outdated."""
        if record.key != assignment.ASSIGNMENT_KEY or record.content is None:
            return False
        try:
            decoded = assignment.decode_assignment(record.content)
        except msgspec.MsgspecError as error:
            self._is_unreadable = True
            self._log.write(
                'owners',
                'assignment is malformed',
                offset=record.offset,
                reason=str(error),
            )
            return False
        self._is_unreadable = False
        if self._is_outdated(decoded):
            self._log.write(
                'owners',
                'older assignment ignored',
                term=decoded.term,
                in_force=self._current.term,
                offset=record.offset,
            )
            return False
        if decoded.term > self._current.term:
            self._term_since = self._clock.now()
            self._log.write(
                'owners',
                'coordinator changed',
                coordinator=decoded.coordinator,
                term=decoded.term,
                offset=record.offset,
            )
        self._current = decoded
        return True

    def _is_older_copy(self) -> bool:
        claimed = self.claimed_era
        if claimed == self._mirror.era or not self._mirror.is_listed:
            return False
        if claimed != store_records.NO_ERA or self._mirror.has_lost_records:
            return True
        # A system that was started before has an assignment.
        is_empty = assignment.ASSIGNMENT_KEY not in self._mirror.records
        return is_empty and not self._is_first_start

    def _is_outdated(self, decoded: assignment.Assignment) -> bool:
        """Tell whether the store's older copy has an older assignment."""
        if self._lost_since is None:
            return False
        known = self._current
        return (decoded.term, decoded.highest_fence) <= (
            known.term,
            known.highest_fence,
        )

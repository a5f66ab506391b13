"""Define the state that an instance keeps of an admission partition."""

import dataclasses
import typing

from sycamoreferry_core import (
    admission_actions,
    admission_events,
    admission_journal,
    admission_records,
    admission_window,
    clock,
    ids,
)


@dataclasses.dataclass(frozen=True)
class Timing:
    """Set the durations of a partition, and its limits in entries."""

    window_ms: int = 600_000
    limit_without_log_ms: int = 900_000
    detection_ms: int = 1000
    batch_ms: int = 50
    conclusion_batch_ms: int = 1000
    max_wait_ms: int = 800
    retry_ms: int = 300
    heartbeat_ms: int = 60_000
    clock_drift_share: float = 0.01
    batch_entries: int = 500
    max_entries: int = 200_000
    max_unjournaled: int = 20_000


@dataclasses.dataclass(frozen=True)
class PendingRequest:
    """Hold an unanswered admission request; copy 0 means none was sent."""

    request: admission_events.AdmissionRequested
    received_at: clock.Millis
    copy_number: int = 0


@dataclasses.dataclass(frozen=True)
class OwnerState:
    """Hold the state that only a current or former owner needs.

    The overlay holds entries that are newer than the journal; None marks
    a key whose request was released.
    """

    overlay: typing.Mapping[
        ids.AdmissionKey,
        admission_window.Entry | None,
    ] = dataclasses.field(default_factory=dict)
    queued: tuple[admission_records.Admitted, ...] = ()
    conclusions: tuple[admission_records.Concluded, ...] = ()
    in_flight: admission_records.AdmissionBatch | None = None
    appended_at: clock.Millis = clock.LONG_AGO
    waiting: typing.Mapping[ids.AttemptId, PendingRequest] = dataclasses.field(
        default_factory=dict,
    )
    awaiting_claim: tuple[PendingRequest, ...] = ()
    serial: int = 0
    copies_sent: int = 0
    copy_sent_at: clock.Millis = clock.LONG_AGO
    copy_pending: bool = False
    deputy_blocked_until: clock.Millis = clock.LONG_AGO


@dataclasses.dataclass(frozen=True)
class ClaimState:
    """Track the progress of this instance's own claim."""

    pending_until: clock.Millis = clock.LONG_AGO
    seen_at: clock.Millis = clock.LONG_AGO
    yield_requested_at: clock.Millis = clock.LONG_AGO
    older_claims_ended: bool = False


@dataclasses.dataclass(frozen=True)
class DeputyState:
    """Hold copies for an owner, and the offset before which claims ended."""

    claim: ids.Offset = ids.NO_OFFSET
    number: int = 0
    copies: typing.Mapping[
        ids.AdmissionKey,
        admission_records.Admitted,
    ] = dataclasses.field(default_factory=dict)
    ended_before: ids.Offset = ids.NO_OFFSET


@dataclasses.dataclass(frozen=True)
class PartitionState:
    """Hold the input state of a partition's admission decisions."""

    instance: ids.InstanceId
    timing: Timing
    journal: admission_journal.Journal
    started_at: clock.Millis
    ranking: tuple[admission_events.Member, ...] = ()
    departed: tuple[ids.InstanceId, ...] = ()
    heard_at: typing.Mapping[ids.InstanceId, clock.Millis] = dataclasses.field(
        default_factory=dict,
    )
    probed_at: clock.Millis = clock.LONG_AGO
    log_confirmed_at: clock.Millis = clock.LONG_AGO
    is_log_available: bool = False
    caught_up: bool = False
    claim: ClaimState = ClaimState()
    owner: OwnerState = OwnerState()
    deputy: DeputyState = DeputyState()

    @property
    def is_owner(self) -> bool:
        """Tell whether this instance made the newest known claim."""
        return self.journal.claim.owner == self.instance

    @property
    def is_serving(self) -> bool:
        """Tell whether this instance may admit requests."""
        current = self.journal.claim.offset
        is_over = current < self.deputy.ended_before
        return self.is_owner and self.journal.is_settled and not is_over

    @property
    def is_log_current(self) -> bool:
        """Tell whether the log answers and was read to its end."""
        return self.is_log_available and self.caught_up

    def silent_since(self, instance: ids.InstanceId) -> clock.Millis:
        """Return when an instance was last heard from, as far as is known.

        Start-up and a new claim count as contact; for an instance that
        left, the answer is clock.LONG_AGO.
        """
        if instance in self.departed:
            return clock.LONG_AGO
        return max(
            self.heard_at.get(instance, clock.LONG_AGO),
            self.started_at,
            self.claim.seen_at,
        )

    def stream_time(self, now: clock.Millis) -> int:
        """Return the current stream time; valid only at the owner."""
        stamp = self.journal.stamp
        elapsed = 0 if stamp is None else max(0, now - stamp)
        return self.journal.time_ms + elapsed

    def with_drift(self, duration: int) -> int:
        """Lengthen a duration in milliseconds by the bound on clock drift."""
        return int(duration * (1 + self.timing.clock_drift_share)) + 1


@dataclasses.dataclass(frozen=True)
class Decision:
    """Hold the next state and the actions to run."""

    state: PartitionState
    actions: tuple[admission_actions.Action, ...] = ()

    def then(
        self,
        step: typing.Callable[[PartitionState, clock.Millis], 'Decision'],
        now: clock.Millis,
    ) -> 'Decision':
        """Apply a further step and append its actions."""
        following = step(self.state, now)
        return Decision(
            following.state,
            (*self.actions, *following.actions),
        )


def start(
    instance: ids.InstanceId,
    timing: Timing,
    now: clock.Millis,
) -> PartitionState:
    """Return the initial state, before any record of the stream is read."""
    return PartitionState(
        instance=instance,
        timing=timing,
        journal=admission_journal.Journal(timing.window_ms),
        started_at=now,
    )

"""Remember admitted requests for a bounded time."""

import dataclasses
import enum
import typing

from sycamoreferry_core import admission_records, ids, keys

# A change copies one bucket, so that many entries stay cheap to change.
BUCKETS = 256


@enum.unique
class Status(enum.Enum):
    """Name what is known about an admitted request."""

    RUNNING = 'running'
    ANSWERED = 'answered'
    UNKNOWN = 'unknown'


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """Hold one admitted request; the time is that of the stream."""

    fingerprint: ids.Fingerprint
    attempt: ids.AttemptId
    status: Status
    deadline_ms: int
    order: admission_records.Order
    admitted_at: int = 0

    def as_admitted(self, key: ids.AdmissionKey) -> admission_records.Admitted:
        """Return the admission that made the entry."""
        return admission_records.Admitted(
            key,
            self.fingerprint,
            self.attempt,
            self.deadline_ms,
            self.order,
        )


def new_entry(
    admitted: admission_records.Admitted,
    admitted_at: int = 0,
) -> Entry:
    """Return the entry of an admission; the time is that of the stream."""
    return Entry(
        fingerprint=admitted.fingerprint,
        attempt=admitted.attempt,
        status=Status.RUNNING,
        deadline_ms=admitted.deadline_ms,
        order=admission_records.Order(*admitted.order),
        admitted_at=admitted_at,
    )


_Bucket = typing.Mapping[ids.AdmissionKey, Entry]


@dataclasses.dataclass(frozen=True)
class Window:
    """Hold entries by key."""

    buckets: tuple[_Bucket, ...] = tuple({} for _ in range(BUCKETS))
    size: int = 0

    def find(self, key: ids.AdmissionKey) -> Entry | None:
        """Return the entry of a key, if there is one."""
        return self.buckets[_place(key)].get(key)

    def with_entry(self, key: ids.AdmissionKey, entry: Entry) -> 'Window':
        """Return the window with an entry added or replaced."""
        place = _place(key)
        bucket = self.buckets[place]
        return self._replace(place, {**bucket, key: entry})

    def without(self, key: ids.AdmissionKey) -> 'Window':
        """Return the window without the entry of a key."""
        place = _place(key)
        bucket = dict(self.buckets[place])
        bucket.pop(key, None)
        return self._replace(place, bucket)

    def sweep(self, turn: int, oldest: int) -> 'Window':
        """Drop the entries of one bucket that are older than a time."""
        place = turn % BUCKETS
        kept = {
            key: entry
            for key, entry in self.buckets[place].items()
            if entry.admitted_at >= oldest
        }
        return self._replace(place, kept)

    def _replace(self, place: int, bucket: _Bucket) -> 'Window':
        size = self.size + len(bucket) - len(self.buckets[place])
        buckets = list(self.buckets)
        buckets[place] = bucket
        return Window(tuple(buckets), size)


def _place(key: ids.AdmissionKey) -> int:
    return keys.hash_text(key) % BUCKETS

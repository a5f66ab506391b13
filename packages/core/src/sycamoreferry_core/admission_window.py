"""Store the admitted requests of a time window by key."""

import dataclasses
import enum
import typing

from sycamoreferry_core import admission_records, ids, keys

# A change copies only one bucket, so updates stay cheap in a large window.
BUCKET_COUNT = 256


@enum.unique
class Status(enum.Enum):
    """List the known states of an admitted request."""

    RUNNING = 'running'
    ANSWERED = 'answered'
    UNKNOWN = 'unknown'


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """Hold one admitted request; admitted_at is in stream time."""

    fingerprint: ids.Fingerprint
    attempt: ids.AttemptId
    status: Status
    deadline_ms: int
    order: admission_records.Order
    admitted_at: int = 0

    def as_admitted(self, key: ids.AdmissionKey) -> admission_records.Admitted:
        """Return the admission record that created the entry."""
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
    """Return the running entry of an admission; admitted_at is stream time."""
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
    """Hold entries by key, in an immutable hash table."""

    buckets: tuple[_Bucket, ...] = tuple({} for _ in range(BUCKET_COUNT))
    size: int = 0

    def find(self, key: ids.AdmissionKey) -> Entry | None:
        """Return the entry of a key, or None; it may have expired."""
        return self.buckets[_bucket_index(key)].get(key)

    def with_entry(self, key: ids.AdmissionKey, entry: Entry) -> 'Window':
        """Return the window with an entry added or replaced."""
        index = _bucket_index(key)
        bucket = self.buckets[index]
        return self._replace(index, {**bucket, key: entry})

    def without_entry(self, key: ids.AdmissionKey) -> 'Window':
        """Return the window without the entry of a key."""
        index = _bucket_index(key)
        bucket = dict(self.buckets[index])
        bucket.pop(key, None)
        return self._replace(index, bucket)

    def sweep(self, turn: int, oldest: int) -> 'Window':
        """Return the window without one bucket's entries before oldest."""
        index = turn % BUCKET_COUNT
        kept = {
            key: entry
            for key, entry in self.buckets[index].items()
            if entry.admitted_at >= oldest
        }
        return self._replace(index, kept)

    def _replace(self, index: int, bucket: _Bucket) -> 'Window':
        size = self.size + len(bucket) - len(self.buckets[index])
        buckets = list(self.buckets)
        buckets[index] = bucket
        return Window(tuple(buckets), size)


def _bucket_index(key: ids.AdmissionKey) -> int:
    return keys.hash_text(key) % BUCKET_COUNT

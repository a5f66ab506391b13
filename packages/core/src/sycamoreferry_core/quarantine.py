"""Identify requests that crash the backend servers that run them."""

import dataclasses
import itertools
import typing

from sycamoreferry_core import decoding, ids, profiles, record_fields

# Bound the memory and the size of crash records.
MAX_CRASHES = 64
MAX_DIGESTS_PER_CRASH = 128
# Losses of the same server within this time, reported by several instances,
# count as one crash.
SAME_CRASH_MS = 3000


@dataclasses.dataclass(frozen=True)
class Crash:
    """Hold the loss of a server and the requests that it was running."""

    service: record_fields.ServiceName
    server: record_fields.ServerId
    at_ms: decoding.WholeNumber
    digests: tuple[record_fields.RequestDigest, ...]


@dataclasses.dataclass(frozen=True)
class CrashHistory:
    """Hold the newest crashes, oldest first."""

    crashes: tuple[Crash, ...] = ()

    def add_crash(self, crash: Crash) -> 'CrashHistory':
        """Return the crashes with one added; merge reports of one crash."""
        kept = []
        merged = crash
        for known in self.crashes:
            if _is_same(known, merged):
                merged = _merge(known, merged)
            else:
                kept.append(known)
        ordered = sorted((*kept, merged), key=_sort_key)
        return CrashHistory(tuple(ordered[-MAX_CRASHES:]))

    def without_digest(self, digest: ids.RequestDigest) -> 'CrashHistory':
        """Return the crashes with a request removed from each of them."""
        return CrashHistory(
            tuple(
                dataclasses.replace(
                    crash,
                    digests=tuple(
                        known for known in crash.digests if known != digest
                    ),
                )
                for crash in self.crashes
            ),
        )

    def suspects(self) -> frozenset[ids.RequestDigest]:
        """Return the requests that were running in any known crash."""
        return frozenset(
            digest for crash in self.crashes for digest in crash.digests
        )


def quarantine_ends(
    history: CrashHistory,
    service: ids.ServiceName,
    policy: profiles.Quarantine,
    now_ms: int,
) -> dict[ids.RequestDigest, int]:
    """Return the requests in quarantine, each with the time of its end.

    A request is quarantined when it is the only one that was running in both
    of two crashes. If another server that was not running the request is lost
    within burst_ms of a crash, that crash has another cause and is ignored.
    """
    recent = [
        crash
        for crash in history.crashes
        if now_ms < crash.at_ms + policy.duration_ms
    ]
    ends: dict[ids.RequestDigest, int] = {}
    of_service = [crash for crash in recent if crash.service == service]
    for earlier, crash in itertools.combinations(of_service, 2):
        common = set(earlier.digests) & set(crash.digests)
        if len(common) != 1:
            continue
        digest = common.pop()
        if _is_evidence(earlier, digest, recent, policy):
            if _is_evidence(crash, digest, recent, policy):
                ends[digest] = crash.at_ms + policy.duration_ms
    return ends


def _is_evidence(
    crash: Crash,
    digest: ids.RequestDigest,
    recent: typing.Iterable[Crash],
    policy: profiles.Quarantine,
) -> bool:
    return all(
        digest in other.digests
        for other in recent
        if abs(other.at_ms - crash.at_ms) <= policy.burst_ms
    )


def _is_same(known: Crash, crash: Crash) -> bool:
    near = abs(known.at_ms - crash.at_ms) <= SAME_CRASH_MS
    return known.server == crash.server and near


def _merge(known: Crash, crash: Crash) -> Crash:
    digests = dict.fromkeys((*known.digests, *crash.digests))
    return dataclasses.replace(
        known,
        at_ms=min(known.at_ms, crash.at_ms),
        digests=tuple(digests)[:MAX_DIGESTS_PER_CRASH],
    )


def _sort_key(crash: Crash) -> tuple[int, str]:
    return (crash.at_ms, crash.server)

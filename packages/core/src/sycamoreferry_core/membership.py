"""Decide which joined instances to remove as lost."""

import dataclasses
import typing

from sycamoreferry_core import clock, fold, ids

MISSES_UNTIL_LOST = 3
# Every instance is probed once in about this many rounds.
ROUNDS_PER_SWEEP = 30
# An instance that rejoined after its removal is unreachable from this one only,
# so it is not removed again for this long.
REMOVAL_COOLDOWN_MS = 600_000

Instances = typing.Collection[ids.InstanceId]


@dataclasses.dataclass(frozen=True)
class ProbeHistory:
    """Hold unanswered probes and recent removals per instance."""

    misses: typing.Mapping[ids.InstanceId, int] = dataclasses.field(
        default_factory=dict,
    )
    removed_at: typing.Mapping[ids.InstanceId, clock.Millis] = (
        dataclasses.field(default_factory=dict)
    )
    last_probed: ids.InstanceId = ids.InstanceId('')


def choose_probed(
    history: ProbeHistory,
    joined: Instances,
) -> tuple[ids.InstanceId, ...]:
    """Return the instances to probe now: suspects, then the next in turn."""
    ordered = sorted(joined)
    later = [name for name in ordered if name > history.last_probed]
    earlier = [name for name in ordered if name <= history.last_probed]
    count = 1 + len(ordered) // ROUNDS_PER_SWEEP
    suspects = [name for name in ordered if name in history.misses]
    return tuple(dict.fromkeys((*suspects, *(later + earlier)[:count])))


def note_probe(
    history: ProbeHistory,
    instance: ids.InstanceId,
    answered: bool,
) -> ProbeHistory:
    """Return the history with the result of a probe added."""
    misses = dict(history.misses)
    count = misses.pop(instance, 0)
    if not answered:
        misses[instance] = count + 1
    return dataclasses.replace(history, misses=misses, last_probed=instance)


def find_lost(
    history: ProbeHistory,
    joined: Instances,
    holders: Instances,
    now: clock.Millis,
) -> tuple[ids.InstanceId, ...]:
    """Return the instances to remove; term holders are left to deputies."""
    return tuple(
        instance
        for instance, count in sorted(history.misses.items())
        if count >= MISSES_UNTIL_LOST
        and instance in joined
        and instance not in holders
        and not _was_just_removed(history, instance, now)
    )


def note_removal(
    history: ProbeHistory,
    instance: ids.InstanceId,
    now: clock.Millis,
) -> ProbeHistory:
    """Return the history with a removal added and old ones dropped."""
    kept = {
        name: removed_at
        for name, removed_at in history.removed_at.items()
        if now < clock.later(removed_at, REMOVAL_COOLDOWN_MS)
    }
    misses = {
        name: count
        for name, count in history.misses.items()
        if name != instance
    }
    return dataclasses.replace(
        history,
        misses=misses,
        removed_at=fold.with_entry(kept, instance, now),
    )


def _was_just_removed(
    history: ProbeHistory,
    instance: ids.InstanceId,
    now: clock.Millis,
) -> bool:
    removed_at = history.removed_at.get(instance, clock.LONG_AGO)
    return now < clock.later(removed_at, REMOVAL_COOLDOWN_MS)

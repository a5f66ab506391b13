"""Bring about faults in a trial, by name."""

import itertools
import random
import typing

import msgspec

from sycamoreferry_core import coordination, ids, records
from sycamoreferry_standins.trial import member, system

LONGEST_FAULT_MS = 6000
SHORTEST_FAULT_MS = 50


class Step(msgspec.Struct, frozen=True):
    """Name a fault, the parties it befalls, when and for how long."""

    fault: str
    parties: tuple[str, ...] = ()
    at: int = 0
    duration: int = 0


Fault = typing.Callable[[system.System, tuple[str, ...], int], None]


def befall(trial: system.System, step: Step) -> None:
    """Bring about one fault; roles stand for the instances in them."""
    roles = {'coordinator': trial.coordinator, 'deputy': trial.deputy}
    parties = tuple(roles.get(party, party) for party in step.parties)
    FAULTS[step.fault](trial, parties, step.duration)


def replay(trial: system.System, steps: typing.Iterable[Step]) -> None:
    """Bring about faults, each at its time."""
    for step in steps:
        trial.world.run_until(max(step.at, trial.world.now))
        befall(trial, step)


def draw_step(trial: system.System, chance: random.Random) -> Step:
    """Draw a fault that befalls any of the parties."""
    fault = chance.choice(sorted(set(FAULTS) - SPECIAL))
    everyone = (*trial.shared.members, *trial.shared.books, member.LOG)
    parties = tuple(chance.sample(everyone, 2))
    if chance.random() < 1 / 2:
        parties = ('coordinator', chance.choice((*parties, 'deputy')))
    return Step(
        fault=fault,
        parties=parties,
        duration=chance.randint(SHORTEST_FAULT_MS, LONGEST_FAULT_MS),
    )


def _pause(
    trial: system.System,
    parties: tuple[str, ...],
    duration: int,
) -> None:
    if parties[0] != member.LOG:
        trial.net.pause(parties[0], duration)


def _cut(
    trial: system.System,
    parties: tuple[str, ...],
    duration: int,
) -> None:
    for one, other in itertools.combinations(parties, 2):
        trial.net.cut(one, other, duration)


def _isolate(
    trial: system.System,
    parties: tuple[str, ...],
    duration: int,
) -> None:
    for other in (*trial.shared.members, *trial.shared.books, member.LOG):
        if other != parties[0]:
            trial.net.cut(parties[0], other, duration)


def _strand(
    trial: system.System,
    parties: tuple[str, ...],
    duration: int,
) -> None:
    """Cut parties from the log and other instances, not from servers."""
    for other in (*trial.shared.members, member.LOG):
        if other not in parties:
            for party in parties:
                trial.net.cut(party, other, duration)


def _take_log_down(
    trial: system.System,
    parties: tuple[str, ...],
    duration: int,
) -> None:
    _isolate(trial, (member.LOG,), duration)


def _slow_log(
    trial: system.System,
    parties: tuple[str, ...],
    duration: int,
) -> None:
    trial.log.delay_ms = duration % member.LOG_TIMEOUT_MS


def _replace_instance(
    trial: system.System,
    parties: tuple[str, ...],
    duration: int,
) -> None:
    if parties[0] in trial.shared.members:
        trial.lose_instance(parties[0])
        trial.add_instance(f'i{trial.world.now}', f'dc{duration % 2}')


def _replace_server(
    trial: system.System,
    parties: tuple[str, ...],
    duration: int,
) -> None:
    if parties[0] in trial.shared.books:
        # It is lost to the others, and goes on by itself.
        _isolate(trial, parties, duration)
        trial.shared.listed.pop(ids.ServerId(parties[0]), None)
        trial.add_server(f's{trial.world.now}')


def _lose(
    trial: system.System,
    parties: tuple[str, ...],
    duration: int,
) -> None:
    for party in parties:
        trial.lose_instance(party)
        trial.lose_server(party)


def _unlist(
    trial: system.System,
    parties: tuple[str, ...],
    duration: int,
) -> None:
    server = ids.ServerId(parties[0])
    if trial.shared.listed.pop(server, None) is None:
        return

    def list_again() -> None:  # noqa: WPS430
        trial.list_server(server)

    trial.world.at(trial.world.now + duration, list_again)


def _suspend(
    trial: system.System,
    parties: tuple[str, ...],
    duration: int,
) -> None:
    """Pause a party whose clock stands still meanwhile."""
    trial.net.pause(parties[0], duration)
    trial.clocks[parties[0]].start -= duration


def _restart(
    trial: system.System,
    parties: tuple[str, ...],
    duration: int,
) -> None:
    """Start an instance anew under the identity it had."""
    trial.lose_instance(parties[0])
    trial.add_instance(parties[0], 'dc0')


def _show_old_log(
    trial: system.System,
    parties: tuple[str, ...],
    duration: int,
) -> None:
    trial.log.old_ends[parties[0]] = len(trial.log.payloads)


def _release_holders(
    trial: system.System,
    parties: tuple[str, ...],
    duration: int,
) -> None:
    """Write the operator's word that the holders up to now are gone."""
    trial.log.append(
        records.HoldersReleased(
            record_id=ids.RecordId(f'released/{trial.world.now}'),
            service=member.SERVICE,
            term=trial.released_term(),
        ),
    )


def _drain(
    trial: system.System,
    parties: tuple[str, ...],
    duration: int,
) -> None:
    server = ids.ServerId(parties[0])
    trial.list_server(server, coordination.MemberState.LEAVING)


FAULTS: dict[str, Fault] = {
    'pause': _pause,
    'cut': _cut,
    'isolate': _isolate,
    'strand': _strand,
    'log down': _take_log_down,
    'log slow': _slow_log,
    'replace instance': _replace_instance,
    'replace server': _replace_server,
    'lose': _lose,
    'unlist': _unlist,
    'drain': _drain,
    'suspend': _suspend,
    'restart': _restart,
    'show old log': _show_old_log,
    'release holders': _release_holders,
}
# Faults that leave fewer parties, or break what the design assumes.
SPECIAL = frozenset(
    (
        'lose',
        'drain',
        'suspend',
        'restart',
        'show old log',
        'release holders',
    ),
)

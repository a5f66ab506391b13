"""Carry messages late, twice or not at all, by seed and injected time."""

import dataclasses
import functools
import heapq
import itertools
import random
import typing

from sycamoreferry_core import clock

Work = typing.Callable[[], None]

USUAL_DELAY_MS = 8
LONGEST_DELAY_MS = 2500


@dataclasses.dataclass(frozen=True)
class Noise:
    """Set the shares of messages that meet a fault."""

    lost: float = 0
    late: float = 0
    repeated: float = 0


class World:
    """Tell true time and do work when it is due."""

    def __init__(self) -> None:
        self.now = 0
        self._numbers = itertools.count()
        self._due: list[tuple[int, int, Work]] = []

    def at(self, due: int, work: Work) -> None:
        """Do work at a time."""
        heapq.heappush(self._due, (due, next(self._numbers), work))

    def run_until(self, end: int) -> None:
        """Do all work that is due until a time."""
        while self._due and self._due[0][0] <= end:
            due = heapq.heappop(self._due)
            self.now = due[0]
            due[2]()
        self.now = end


@dataclasses.dataclass
class DriftClock:
    """Tell a time that runs fast or slow beside true time."""

    world: World
    rate: float = 1
    start: int = 0

    def now(self) -> clock.Millis:
        """Return the current reading in milliseconds."""
        return clock.Millis(self.start + int(self.world.now * self.rate))


class Network:
    """Carry messages between named parties."""

    def __init__(
        self,
        world: World,
        chance: random.Random,
        noise: Noise,
    ) -> None:
        self.world = world
        self.chance = chance
        self._noise = noise
        self._cut_until: dict[frozenset[str], int] = {}
        self._paused_until: dict[str, int] = {}

    def cut(self, one: str, other: str, duration: int) -> None:
        """Lose all messages between two parties for a while."""
        until = self.world.now + duration
        self._cut_until[frozenset((one, other))] = until

    def pause(self, party: str, duration: int) -> None:
        """Let a party do nothing for a while."""
        self._paused_until[party] = self.world.now + duration

    def send(
        self,
        sender: str,
        receiver: str,
        work: Work,
        extra_delay: int = 0,
    ) -> None:
        """Have a party do work when a message reaches it, if one does."""
        if self.is_cut(sender, receiver):
            return
        if self._meets(self._noise.lost):
            return
        copies = 2 if self._meets(self._noise.repeated) else 1
        for _ in range(copies):
            delay = extra_delay + self.chance.randint(1, USUAL_DELAY_MS)
            if self._meets(self._noise.late):
                delay += self.chance.randint(1, LONGEST_DELAY_MS)
            self.after(delay, receiver, work)

    def after(self, delay: int, party: str, work: Work) -> None:
        """Have a party do work after a delay, or when its pause ends."""
        self.world.at(
            self.world.now + delay,
            functools.partial(self._deliver, party, work),
        )

    def is_cut(self, one: str, other: str) -> bool:
        """Tell whether messages between two parties are lost now."""
        until = self._cut_until.get(frozenset((one, other)), 0)
        return self.world.now < until

    def _meets(self, share: float) -> bool:
        return self.chance.random() < share

    def _deliver(self, party: str, work: Work) -> None:
        paused_until = self._paused_until.get(party, 0)
        if self.world.now < paused_until:
            self.after(paused_until - self.world.now, party, work)
        else:
            work()

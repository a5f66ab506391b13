"""Check fences, leaving servers and back-offs by what was seen outside."""

import dataclasses

# The platform's Drain.
DRAIN_S = 2.0
# A back-off is binding this long after the answer that asks for it.
BACK_OFF_SLACK_S = 0.5
MAX_REQUESTS_IN_BACK_OFF = 2


@dataclasses.dataclass(frozen=True)
class ServerLife:
    """Identify a server from one start to the next."""

    server: str
    born: int


@dataclasses.dataclass(frozen=True)
class Grant:
    """Hold the keys and the fence of a grant that a server accepted."""

    server: str
    first: int
    last: int
    fence: int

    def has(self, key: int) -> bool:
        """Tell whether the grant includes a key."""
        return self.first <= key <= self.last


class FenceCheck:
    """Find keys that a server accepts without a higher fence."""

    def __init__(self) -> None:
        self._accepted: set[Grant] = set()

    def accept(self, grant: Grant) -> Grant | None:
        """Record a grant; return one of another server that it isn't above.

        Keys that the server has already had with this fence don't count.
        """
        repeated = [
            known
            for known in self._accepted
            if (known.server, known.fence) == (grant.server, grant.fence)
        ]
        not_below = [
            known
            for known in self._accepted
            if known.server != grant.server and known.fence >= grant.fence
        ]
        self._accepted.add(grant)
        # Each interval of conflicting keys begins at one of these.
        keys = {grant.first}
        keys.update(known.first for known in not_below)
        keys.update(known.last + 1 for known in repeated)
        new_keys = [
            key
            for key in sorted(keys)
            if grant.has(key) and not any(row.has(key) for row in repeated)
        ]
        return next(
            (row for key in new_keys for row in not_below if row.has(key)),
            None,
        )


class DrainCheck:
    """Find requests to servers of which their sender knows that they leave."""

    def __init__(self) -> None:
        self._told_at: dict[tuple[str, ServerLife], float] = {}

    def tell(self, sender: str, life: ServerLife, now: float) -> None:
        """Record that a sender passed on an answer of a leaving server."""
        self._told_at.setdefault((sender, life), now)

    def told_at(
        self, sender: str, life: ServerLife, sent_at: float
    ) -> float | None:
        """Return since when the sender knows, if a request is too late."""
        told_at = self._told_at.get((sender, life))
        if told_at is None or sent_at <= told_at + DRAIN_S:
            return None
        return told_at


@dataclasses.dataclass
class BackOff:
    """Hold a time for which a server asked a sender to back off."""

    sender: str
    life: ServerLife
    asked_at: float
    ends_at: float
    arrivals: list[float] = dataclasses.field(default_factory=list)

    @property
    def is_broken(self) -> bool:
        """Tell whether more requests arrived than are tolerated."""
        return len(self.arrivals) > MAX_REQUESTS_IN_BACK_OFF


class BackOffCheck:
    """Find senders that go on though a server asked them to back off."""

    def __init__(self) -> None:
        self._back_offs: list[BackOff] = []

    def ask(
        self, sender: str, life: ServerLife, now: float, back_off_s: float
    ) -> None:
        """Record that a server asked a sender to back off."""
        self._back_offs.append(BackOff(sender, life, now, now + back_off_s))

    def arrive(self, sender: str, life: ServerLife, now: float) -> None:
        """Record that a request reached a server."""
        for back_off in self._back_offs:
            is_binding = (
                back_off.asked_at + BACK_OFF_SLACK_S < now <= back_off.ends_at
            )
            if is_binding and (back_off.sender, back_off.life) == (
                sender,
                life,
            ):
                back_off.arrivals.append(now)

    def broken(self) -> list[BackOff]:
        """Return the back-offs that were broken."""
        return [back_off for back_off in self._back_offs if back_off.is_broken]

"""Hold what an instance sees: the log's state and the backend servers."""

import asyncio
import typing

from sycamoreferry_core import ids, profiles, state
from sycamoreferry_platform import wire

LIVE = 'live'

_DEFAULT_PROFILE = profiles.Profile()


class InstanceView:
    """Share the newest state among the parts of an instance."""

    def __init__(self) -> None:
        self.log_state = state.LogState()
        self.caught_up = False
        self.started_from_peer = False
        self.servers: dict[ids.ServerId, wire.ListedServer] = {}
        self.changed = asyncio.Condition()
        self._by_service: dict[
            ids.ServiceName,
            tuple[wire.ListedServer, ...],
        ] = {}

    @property
    def ready(self) -> bool:
        """Tell whether requests can be routed."""
        started = self.caught_up or self.started_from_peer
        return started and bool(self.servers)

    def replace_servers(
        self,
        listed: typing.Iterable[wire.ListedServer],
    ) -> None:
        """Take a newer instance list."""
        self.servers = {entry.server: entry for entry in listed}
        by_service: dict[ids.ServiceName, list[wire.ListedServer]] = {}
        for entry in self.servers.values():
            by_service.setdefault(entry.service, []).append(entry)
        self._by_service = {
            service: tuple(entries) for service, entries in by_service.items()
        }

    def servers_of(
        self,
        service: ids.ServiceName,
    ) -> tuple[wire.ListedServer, ...]:
        """Return the listed servers of a service."""
        return self._by_service.get(service, ())

    def profile(self, name: str) -> profiles.Profile:
        """Return the profile in force, or the default before any is."""
        published = self.log_state.profiles.get(ids.ProfileName(name))
        return published.profile if published else _DEFAULT_PROFILE

    async def advance(self, log_state: state.LogState) -> None:
        """Take a newer state; an older one changes nothing."""
        if log_state.next_offset < self.log_state.next_offset:
            return
        self.log_state = log_state
        async with self.changed:
            self.changed.notify_all()

"""Hold the log's state and the backend servers known to an instance."""

import asyncio
import typing

import msgspec

from sycamoreferry_core import ids, profiles, state
from sycamoreferry_ports import wire

LIVE = 'live'
LEAVING = 'leaving'
# Bounds the servers missing from the list whose addresses are kept.
MAX_UNLISTED_SERVERS = 256

_DEFAULT_PROFILE = profiles.Profile()


class InstanceView:
    """Share the newest known state among the components of an instance."""

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
        """Apply a newer instance list; keep servers that it leaves out."""
        newest = {entry.server: entry for entry in listed}
        self.servers = {**self.servers, **newest}
        unlisted = [name for name in self.servers if name not in newest]
        for forgotten in unlisted[:-MAX_UNLISTED_SERVERS]:
            self.servers.pop(forgotten)
        by_service: dict[ids.ServiceName, list[wire.ListedServer]] = {}
        for entry in newest.values():
            by_service.setdefault(entry.service, []).append(entry)
        self._by_service = {
            service: tuple(entries) for service, entries in by_service.items()
        }

    def servers_of(
        self,
        service: ids.ServiceName,
    ) -> tuple[wire.ListedServer, ...]:
        """Return the listed servers of a service, drained ones as leaving."""
        listed = self._by_service.get(service, ())
        drained = self.log_state.placement_constraints_of(service).drained
        if not drained:
            return listed
        return tuple(
            msgspec.structs.replace(entry, state=LEAVING)
            if entry.server in drained
            else entry
            for entry in listed
        )

    def listed_and_owners_of(
        self,
        service: ids.ServiceName,
    ) -> tuple[wire.ListedServer, ...]:
        """Return the listed servers and the shard owners not listed."""
        listed = self.servers_of(service)
        names = {entry.server for entry in listed}
        owners = self.log_state.assignment_of(service).shards_by_owner
        unlisted = (
            self.servers[owner]
            for owner in sorted(owners)
            if owner in self.servers and owner not in names
        )
        return (*listed, *unlisted)

    def profile(self, name: str) -> profiles.Profile:
        """Return the published profile, or the default if there is none."""
        published = self.log_state.profiles.get(ids.ProfileName(name))
        return published.profile if published else _DEFAULT_PROFILE

    async def advance(self, log_state: state.LogState) -> None:
        """Replace the state and notify waiters; ignore an older state."""
        if log_state.next_offset < self.log_state.next_offset:
            return
        self.log_state = log_state
        async with self.changed:
            self.changed.notify_all()

"""Log what changed about the backend servers."""

import collections
import typing

from sycamoreferry_core import ids
from sycamoreferry_core.fleet import servers, store_records
from sycamoreferry_gateway import event_log

_PART = 'servers'


class ServerLog:
    """Log each change of a server, and the first listing as counts."""

    def __init__(
        self,
        log: event_log.EventLog,
        mirror: store_records.TopicMirror,
    ) -> None:
        self._log = log
        self._mirror = mirror
        self._has_logged_listing = False

    def log_change(
        self,
        known: servers.BackendServer | None,
        entry: servers.BackendServer,
        offset: ids.Offset,
    ) -> None:
        """Log a new server, state or incarnation, except in the listing."""
        if self._is_first_listing or not _is_logged(known, entry):
            return
        self._log.write(
            _PART,
            'server changed',
            server=entry.incarnation.server,
            service=entry.service,
            state=entry.state.value,
            born=entry.incarnation.born,
            data_centre=entry.data_centre,
            offset=offset,
        )

    def log_listing(
        self, listed: typing.Collection[servers.BackendServer]
    ) -> None:
        """Log the servers by service and state after the first listing."""
        if not self._is_first_listing:
            return
        self._has_logged_listing = True
        counts: dict[ids.ServiceName, collections.Counter[str]] = {}
        for server in listed:
            states = counts.setdefault(server.service, collections.Counter())
            states[server.state.value] += 1
        self._log.write(
            _PART,
            'servers listed',
            count=len(listed),
            services=counts,
            offset=self._mirror.end,
        )

    def log_malformed(
        self, record: store_records.StoredRecord, reason: str
    ) -> None:
        """Log an entry that can't be used."""
        self._log.write_rate_limited(
            _PART,
            'server entry is malformed',
            server=record.key,
            offset=record.offset,
            reason=reason,
        )

    def log_leaving(
        self, incarnation: servers.ServerIncarnation, source: str
    ) -> None:
        """Log that a server leaves, and who said so."""
        self._log.write(
            _PART,
            'server is leaving',
            server=incarnation.server,
            born=incarnation.born,
            source=source,
        )

    def log_cold(
        self, incarnation: servers.ServerIncarnation, warmup_ms: int
    ) -> None:
        """Log that an entry states that a server is cold."""
        self._log.write_rate_limited(
            _PART,
            'server became cold',
            server=incarnation.server,
            born=incarnation.born,
            warmup_ms=warmup_ms,
        )

    def log_gone(self, gone: servers.BackendServer) -> None:
        """Log that the entry of a server has expired."""
        self._log.write(
            _PART,
            'server is gone',
            server=gone.incarnation.server,
            service=gone.service,
        )

    @property
    def _is_first_listing(self) -> bool:
        """Tell whether the first listing is being applied."""
        return self._mirror.is_listed and not self._has_logged_listing


def _is_logged(
    known: servers.BackendServer | None,
    entry: servers.BackendServer,
) -> bool:
    return (
        known is None
        or known.state is not entry.state
        or known.incarnation != entry.incarnation
    )

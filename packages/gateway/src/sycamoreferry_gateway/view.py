"""Hold an instance's view of the cluster, folded from store records."""

import typing

import msgspec

from sycamoreferry_adapter import operator_config, store_calls
from sycamoreferry_adapter import units as platform_units
from sycamoreferry_core import clock, ids
from sycamoreferry_core.fleet import (
    deployment,
    instances,
    servers,
    store_records,
)
from sycamoreferry_core.keyspace import owners, pending_moves
from sycamoreferry_core.traffic import crash_guard, routes, warm_ups
from sycamoreferry_gateway import (
    assignment,
    assignment_tracker,
    blocked_requests,
    evacuation_records,
    event_log,
    instance_records,
    read_offsets,
    server_log,
    server_records,
    tick_timer,
)


class View:
    """Fold records into the configuration, servers, owners and instances."""

    def __init__(
        self,
        settings: deployment.Deployment,
        time_source: clock.Clock,
        log: event_log.EventLog,
        known_warm_ups: warm_ups.WarmUps | None = None,
    ) -> None:
        self.deployment = settings
        self.clock = time_source
        self.log = log
        self.ticks = tick_timer.TickTimer()
        self.mirrors = {topic: store_records.TopicMirror() for topic in _TOPICS}
        self.offsets = read_offsets.ReadOffsets(self.mirrors)
        self.fleet = servers.ServerFleet()
        self.peers = instances.Peers(
            settings.instance, settings.counting_weight
        )
        self.crashes = crash_guard.CrashGuard()
        self.blocks = blocked_requests.BlockedRequests(
            settings.instance, self.crashes, self.peers, time_source, log
        )
        self._warm_ups = known_warm_ups or warm_ups.WarmUps(settings.bounds)
        self._server_records: server_records.ServerRecords
        self._server_records = server_records.ServerRecords(
            self.fleet,
            self.crashes,
            self.blocks,
            time_source,
            server_log.ServerLog(log, self.mirrors[store_calls.SERVERS_TOPIC]),
            self._warm_ups,
        )
        self._evacuations = evacuation_records.EvacuationRecords(
            settings.bounds.evacuate_ms,
            self._server_records,
            time_source,
            log,
        )
        self._evacuations.assume_cold = self._warm_ups.assume_cold
        self.config: routes.RoutingConfig | None = None
        self._routes: routes.RouteTable | None = None
        self.owners = assignment_tracker.AssignmentTracker(
            self.mirrors[store_calls.OWNERS_TOPIC],
            time_source,
            log,
            is_first_start=settings.is_first_start,
        )
        self.peer_addresses: dict[ids.InstanceId, tuple[str, int]] = {}
        self._servers_era = store_records.NO_ERA
        self._moving = pending_moves.PendingMoves()
        self._changed_servers: list[store_records.StoredRecord] = []
        self.on_change: typing.Callable[[], None] = _ignore_change

    def take_changed_servers(self) -> list[store_records.StoredRecord]:
        """Return and clear the server entries to be forwarded to peers."""
        taken = self._changed_servers
        self._changed_servers = []
        return taken

    @property
    def route_table(self) -> routes.RouteTable | None:
        """Return the routes of the configuration in force."""
        return self._routes

    @property
    def evacuations(self) -> evacuation_records.EvacuationRecords:
        """Return the evacuated data centres."""
        return self._evacuations

    @property
    def assignment(self) -> assignment.Assignment:
        """Return the newest assignment that this instance knows."""
        return self.owners.current

    def servers_of(
        self,
        service: ids.ServiceName,
    ) -> typing.Collection[servers.BackendServer]:
        """Return the known servers of a service."""
        return self._server_records.of_service(service)

    def is_keyed(self, service: ids.ServiceName) -> bool:
        """Tell whether the servers of a service hold keys."""
        policy = None
        if self.config is not None:
            policy = self.config.services.get(service)
        return policy is not None and policy.is_keyed

    def apply(
        self,
        topic: store_records.TopicName,
        page: store_records.RecordPage,
    ) -> None:
        """Apply records that were read; older ones change nothing."""
        self._fold(topic, self.mirrors[topic].apply(page))

    def replace(
        self,
        topic: store_records.TopicName,
        page: store_records.RecordPage,
    ) -> None:
        """Replace a topic's records by a complete listing."""
        self._fold(topic, self.mirrors[topic].replace(page))

    def remove_expired_servers(self) -> None:
        """Remove servers whose entries have expired, and log each."""
        if self._server_records.remove_expired():
            self.on_change()

    def record_leaving(
        self,
        incarnation: servers.ServerIncarnation,
        source: str,
    ) -> None:
        """Record that a server leaves, by an answer or by another instance."""
        if self._server_records.record_leaving(incarnation, source):
            self.on_change()

    def record_outage(self, moment: clock.Millis) -> None:
        """Set the time of the last outage, for the expiry of server entries."""
        self._server_records.record_outage(moment)

    def mark_moving(
        self,
        service: ids.ServiceName,
        keys: owners.KeyRange,
        *,
        is_over: bool,
    ) -> None:
        """Record that the owner of keys is about to change, or has changed."""
        now = self.clock.now()
        self._moving.record(service, keys, now, is_complete=is_over)
        self.on_change()

    def owner_of(
        self,
        service: ids.ServiceName,
        key: owners.Key,
    ) -> owners.Ownership | None:
        """Return the owner of a key; None while it has none or is moving."""
        if self._moving.is_moving(service, key, self.clock.now()):
            return None
        return self.assignment.table(service).owner_of(key)

    def _fold(
        self,
        topic: store_records.TopicName,
        changed: list[store_records.StoredRecord],
    ) -> None:
        servers_era = self.mirrors[store_calls.SERVERS_TOPIC].era
        if servers_era != self._servers_era:
            if self._servers_era != store_records.NO_ERA:
                # Servers write the entries that the store lost again.
                self.record_outage(self.clock.now())
            self._servers_era = servers_era
        if topic == store_calls.OWNERS_TOPIC:
            self.owners.check_for_loss()
        for record in changed:
            self._fold_record(topic, record)
        self._server_records.log_listing()
        if changed:
            self.on_change()

    def _fold_record(
        self,
        topic: store_records.TopicName,
        record: store_records.StoredRecord,
    ) -> None:
        """Apply a record; one that can't be applied doesn't stop later ones."""
        try:
            is_relevant = _FOLDS[topic](self, record)
        except Exception as error:
            self.log.write_rate_limited(
                'store',
                'record could not be applied',
                topic=topic,
                key=record.key,
                offset=record.offset,
                reason=repr(error),
            )
            return
        if is_relevant and topic == store_calls.SERVERS_TOPIC:
            self._changed_servers.append(record)
            self.offsets.note_server_change(record.offset)

    def _fold_config(self, record: store_records.StoredRecord) -> bool:
        evacuated = store_calls.parse_evacuation_key(record.key)
        if evacuated is not None:
            era = self.mirrors[store_calls.CONFIG_TOPIC].era
            self._evacuations.apply(evacuated, record, era)
            return False
        if record.key != store_calls.CONFIG_KEY or record.content is None:
            return False
        try:
            config = operator_config.decode_config(record.content)
        except platform_units.FormatError as error:
            self.log.write(
                'config',
                'configuration is malformed',
                offset=record.offset,
                reason=str(error),
            )
            return False
        if self.config is not None and config.version <= self.config.version:
            self.log.write(
                'config',
                'older configuration ignored',
                version=config.version,
                in_force=self.config.version,
            )
            return False
        self.config = config
        self._routes = routes.RouteTable(config)
        self._warm_ups.use_policies(config.services)
        self._evacuations.warmups_ms = {
            service: policy.warmup_ms
            for service, policy in config.services.items()
        }
        self.log.write(
            'config',
            'configuration in force',
            version=config.version,
            offset=record.offset,
            routes=len(config.routes),
        )
        known = self.mirrors[store_calls.SERVERS_TOPIC].records
        unnamed = self._server_records.name_services(config.services)
        for key in unnamed & known.keys():
            self._fold_record(store_calls.SERVERS_TOPIC, known[key])
        return True

    def _fold_owners(self, record: store_records.StoredRecord) -> bool:
        known_term = self.assignment.term
        is_applied = self.owners.apply(record)
        if self.assignment.term > known_term:
            # Moves that the earlier coordinator announced are void.
            self._moving.clear()
        return is_applied


def _ignore_change() -> None:
    """Ignore changes until the instance sets its own callback."""


def _fold_instance(view: View, record: store_records.StoredRecord) -> bool:
    instance = ids.InstanceId(record.key)
    if instance == view.deployment.instance:
        return False
    if record.content is None:
        # An instance that is heard registers again if the store lost it.
        alive = view.peers.alive(view.clock.now())
        if all(peer.instance != instance for peer in alive):
            view.peer_addresses.pop(instance, None)
        return False
    try:
        address = instance_records.decode_address(record.content)
    except msgspec.MsgspecError as error:
        view.log.write(
            'peers',
            'instance record is malformed',
            instance=instance,
            reason=str(error),
        )
        return False
    view.peer_addresses[instance] = address
    return True


_TOPICS = (
    store_calls.CONFIG_TOPIC,
    store_calls.SERVERS_TOPIC,
    store_calls.OWNERS_TOPIC,
    store_calls.INSTANCES_TOPIC,
)
_FOLDS: dict[
    store_records.TopicName,
    typing.Callable[[View, store_records.StoredRecord], bool],
] = {
    store_calls.CONFIG_TOPIC: View._fold_config,
    store_calls.SERVERS_TOPIC: lambda view, record: view._server_records.apply(
        record
    ),
    store_calls.OWNERS_TOPIC: View._fold_owners,
    store_calls.INSTANCES_TOPIC: _fold_instance,
}

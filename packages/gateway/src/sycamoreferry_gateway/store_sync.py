"""Follow the topics of the store, directly or through other instances.

Load pattern: calls to the store are few and shared by all instances. So the
coordinator and a few others follow the store, and the rest learn from their
heartbeats that there are new records and request them. An instance that hears
of no coordinator that reads the store follows it itself.
"""

import asyncio
import typing

from sycamoreferry_adapter import store_calls
from sycamoreferry_core import clock, ids
from sycamoreferry_core.fleet import message_intervals, store_records
from sycamoreferry_gateway import (
    evacuation_monitor,
    event_log,
    instance_records,
    store_client,
    topic_reader,
    view,
)

OWNERS_TOPIC = store_calls.OWNERS_TOPIC
SERVERS_TOPIC = store_calls.SERVERS_TOPIC

# Servers write heartbeats all the time, so a long poll would return at once;
# their entries are polled at this interval instead.
_SERVERS_POLL_INTERVAL_MS = 500
# The same for instances that learn of changes from others, while they wait for
# signs that a server did not crash.
_CRASH_POLL_INTERVAL_MS = 2_500
# Instances that learn of changes from others read this rarely themselves.
_IDLE_INTERVAL_MS = 30_000
_CHECK_MS = 100
# A stalled connection is detected after this and the timeout of the call.
_CONFIG_LONG_POLL_MS = 5_000
_INSTANCES_LONG_POLL_MS = 15_000
_INSTANCES_PAUSE_MS = 300
# Records that peers have read are usually received from them within this time.
_PEER_RECORDS_MS = 500
_RETRY_MS = 250
_RETRY_DOWN_MS = 500


# The topics that instances receive from each other.
_PEER_TOPICS = frozenset(
    (
        store_calls.CONFIG_TOPIC,
        store_calls.INSTANCES_TOPIC,
        store_calls.SERVERS_TOPIC,
    )
)

OnPeerOffset = typing.Callable[[store_records.TopicName, ids.Offset], None]


class RecordSharing(typing.Protocol):
    """Forward records to other instances and tell whether another polls."""

    @property
    def peer_count(self) -> int:
        """Return how many other instances are known."""

    def is_coordinator_polling(self) -> bool:
        """Tell whether the coordinator polls the server entries for all."""

    def is_store_reader(self) -> bool:
        """Tell whether this instance follows the store for others."""

    def forward_servers(
        self,
        records: list[store_records.StoredRecord],
    ) -> None:
        """Send changed server entries to other instances."""


class StoreSync:
    """Keep the view up to date with the topics of the store."""

    def __init__(
        self,
        client: store_client.StoreClient,
        cluster_view: view.View,
        log: event_log.EventLog,
        sharing: RecordSharing,
    ) -> None:
        self._sharing = sharing
        self._client = client
        self._view = cluster_view
        self._log = log
        self._reader = topic_reader.TopicReader(client, cluster_view)
        # The end of each topic when a peer was heard to have read more of it.
        self._behind: dict[
            store_records.TopicName, tuple[ids.Offset, clock.Millis]
        ] = {}
        # Set to read a topic now; each topic that is followed has one.
        self._wakes = {
            topic: asyncio.Event()
            for topic in (
                store_calls.CONFIG_TOPIC,
                store_calls.INSTANCES_TOPIC,
                store_calls.OWNERS_TOPIC,
                store_calls.SERVERS_TOPIC,
            )
        }
        self._registration_wake = asyncio.Event()
        self.evacuations = evacuation_monitor.EvacuationMonitor(
            cluster_view,
            self._reader,
            sharing.is_coordinator_polling,
            self._wakes[store_calls.CONFIG_TOPIC].set,
        )
        client.on_new_era = self._on_new_era

    async def register(self) -> None:
        """Write the peer address of this instance, again if it is lost."""
        while True:
            self._registration_wake.clear()
            await self._write_registration()
            await self._registration_wake.wait()

    async def follow_servers(self) -> None:
        """Poll the entries of backend servers and forward changes to peers."""
        while True:
            asked_at = self._view.clock.now()
            was_read = await self._read_topic(store_calls.SERVERS_TOPIC)
            if was_read:
                self._view.crashes.entries_read_at = asked_at
            else:
                # The connection of the configuration's long poll may have
                # stalled as well.
                self._wakes[store_calls.CONFIG_TOPIC].set()
            self._view.record_outage(self._client.last_outage)
            self._view.remove_expired_servers()
            self._client.close_expired()
            self._sharing.forward_servers(self._view.take_changed_servers())
            await self._wait_for_next_poll(
                self._servers_interval_ms()
                if was_read
                else self._scale_by_peers(_SERVERS_POLL_INTERVAL_MS)
            )

    async def follow_config(self) -> None:
        """Follow the configuration."""
        while True:
            await self._follow(store_calls.CONFIG_TOPIC, _CONFIG_LONG_POLL_MS)

    async def follow_instances(self) -> None:
        """Follow the instances.

        A pause between long polls collects instances that start together.
        """
        while True:
            await self._follow(
                store_calls.INSTANCES_TOPIC, _INSTANCES_LONG_POLL_MS
            )
            await asyncio.sleep(
                clock.seconds(self._scale_by_peers(_INSTANCES_PAUSE_MS))
            )

    async def load_owners(self) -> None:
        """Read the assignment once in each era; later ones come from peers."""
        wake = self._wakes[store_calls.OWNERS_TOPIC]
        while True:
            wake.clear()
            await self._read_topic(store_calls.OWNERS_TOPIC)
            if self._reader.is_current(store_calls.OWNERS_TOPIC):
                await wake.wait()

    def note_peer_offset(
        self,
        topic: store_records.TopicName,
        end: ids.Offset,
    ) -> None:
        """Note that a peer has read more of a topic, up to an offset.

        The records are requested from it. They are read from the store if they
        don't arrive in time, as when they are too large for a message.
        """
        own_end = self._view.offsets.ends()[topic]
        if topic not in _PEER_TOPICS or end <= own_end:
            return
        now = self._view.clock.now()
        known_end, since = self._behind.get(topic, (own_end, now))
        if known_end != own_end:
            since = now
        if now - since > _PEER_RECORDS_MS:
            since = now
            self._wakes[topic].set()
        self._behind[topic] = (own_end, since)

    def wake(self, topic: store_records.TopicName) -> None:
        """Read a topic now, if it is followed by long polls."""
        wake = self._wakes.get(topic)
        if wake is not None:
            wake.set()

    def wake_all(self) -> None:
        """Read all topics that are followed now, and check the registration."""
        self._registration_wake.set()
        for wake in self._wakes.values():
            wake.set()

    def _on_new_era(self) -> None:
        """Read all topics again, unless none has any records yet.

        The first reply of the store at a start names an era, too.
        """
        mirrors = self._view.mirrors.values()
        if any(mirror.is_complete or mirror.records for mirror in mirrors):
            self.wake_all()

    def _follows_store(self, topic: store_records.TopicName) -> bool:
        return (
            self._sharing.is_store_reader()
            or not self._sharing.is_coordinator_polling()
            or not self._reader.is_current(topic)
        )

    async def _follow(
        self, topic: store_records.TopicName, long_poll_ms: int
    ) -> None:
        """Wait for new records of the store, or for those that peers read."""
        if self._follows_store(topic):
            await self._poll(topic, long_poll_ms)
            return
        longest_ms = self._scale_by_peers(_IDLE_INTERVAL_MS)
        wake = self._wakes[topic]
        waited = 0
        while waited < longest_ms and not wake.is_set():
            await self._view.ticks.wait(_CHECK_MS)
            waited += _CHECK_MS
            if self._follows_store(topic):
                return
        wake.clear()
        await self._read_topic(topic)

    async def _poll(
        self,
        topic: store_records.TopicName,
        long_poll_ms: int,
    ) -> None:
        """Read a topic with a long poll, which a wake-up cuts short."""
        reading = asyncio.ensure_future(self._read_topic(topic, long_poll_ms))
        wake = self._wakes[topic]
        woken = asyncio.ensure_future(wake.wait())
        await asyncio.wait(
            (reading, woken),
            return_when=asyncio.FIRST_COMPLETED,
        )
        for pending in (reading, woken):
            pending.cancel()
        if wake.is_set():
            wake.clear()
            await self._read_topic(topic)

    async def _write_registration(self) -> None:
        """Retry until the store has the peer address of this instance."""
        settings = self._view.deployment
        key = store_records.RecordKey(settings.instance)
        content = instance_records.encode_address(
            settings.host,
            settings.peer_port,
        )
        while True:
            mirror = self._view.mirrors[store_calls.INSTANCES_TOPIC]
            known = mirror.records.get(key)
            if self._reader.is_current(store_calls.INSTANCES_TOPIC):
                if known is not None and known.content == content:
                    return
                appended = await self._client.append(
                    store_calls.INSTANCES_TOPIC,
                    (store_records.NewRecord(key, content),),
                )
                if isinstance(appended, store_records.Appended):
                    # Of two instances that start together, the one that reads
                    # after both have registered tells the other.
                    self._wakes[store_calls.INSTANCES_TOPIC].set()
                    return
            await asyncio.sleep(clock.seconds(_RETRY_MS))

    def _scale_by_peers(self, base_ms: int) -> int:
        return message_intervals.scale_store_interval_ms(
            base_ms, self._sharing.peer_count
        )

    def _servers_interval_ms(self) -> int:
        if self._view.crashes.history.has_repeated:
            return _CRASH_POLL_INTERVAL_MS
        return self._scale_by_peers(_IDLE_INTERVAL_MS)

    async def _wait_for_next_poll(self, longest_ms: int) -> None:
        """Wait for the next poll; it is earlier if no coordinator polls."""
        wake = self._wakes[store_calls.SERVERS_TOPIC]
        waited = 0
        while waited < longest_ms and not wake.is_set():
            await self._view.ticks.wait(_CHECK_MS)
            waited += _CHECK_MS
            self._view.remove_expired_servers()
            if (
                waited >= _SERVERS_POLL_INTERVAL_MS
                and not self._sharing.is_coordinator_polling()
            ):
                return
            longest_ms = min(longest_ms, self._servers_interval_ms())
        wake.clear()

    async def _read_topic(
        self, topic: store_records.TopicName, wait_ms: int = 0
    ) -> bool:
        """Read a topic; pause if it could not be read."""
        if await self._reader.read(topic, wait_ms):
            return True
        retry_ms = _RETRY_DOWN_MS if self._client.is_down else _RETRY_MS
        await asyncio.sleep(clock.seconds(self._scale_by_peers(retry_ms)))
        return False

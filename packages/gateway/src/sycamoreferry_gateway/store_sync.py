"""Follow the topics of the store."""

import asyncio
import typing

from sycamoreferry_adapter import store_calls
from sycamoreferry_core import clock, ids
from sycamoreferry_core.fleet import spreading, store_records
from sycamoreferry_gateway import (
    event_log,
    instance_records,
    store_client,
    view,
)

OWNERS_TOPIC = store_calls.OWNERS_TOPIC
SERVERS_TOPIC = store_calls.SERVERS_TOPIC

# Heartbeats come without pause, so they are read at a pace of their own.
_SERVERS_PACE_MS = 500
# While the coordinator reads them and hands on what changed, others look
# only to notice that the store is away or that they missed something.
_RELIEVED_PACE_MS = 2_500
_CHECK_MS = 100
# A connection that goes silent is noticed after this and the call's timeout.
_CONFIG_WAIT_MS = 5_000
_INSTANCES_WAIT_MS = 15_000
_INSTANCES_PACE_MS = 300
_RETRY_MS = 250
_RETRY_DOWN_MS = 500


ReadFurther = typing.Callable[[store_records.TopicName, ids.Offset], None]


class Sharing(typing.Protocol):
    """Share what was read with other instances."""

    @property
    def peer_count(self) -> int:
        """Return how many other instances are known."""

    def is_relieved(self) -> bool:
        """Tell whether another instance reads for all."""

    def hand_on_servers(
        self,
        records: list[store_records.StoredRecord],
    ) -> None:
        """Tell others of changed entries."""


class StoreSync:
    """Keep a view up to date from the store."""

    def __init__(
        self,
        client: store_client.StoreClient,
        folded: view.View,
        log: event_log.EventLog,
        sharing: Sharing,
    ) -> None:
        self._sharing = sharing
        self._client = client
        self._view = folded
        self._log = log
        self._config_wake = asyncio.Event()

    async def register(self) -> None:
        """Write where this instance is reached until it is acknowledged."""
        chosen = self._view.deployment
        key = store_records.RecordKey(chosen.instance)
        content = instance_records.encode_address(
            chosen.host,
            chosen.peer_port,
        )
        while True:
            mirror = self._view.mirrors[store_calls.INSTANCES_TOPIC]
            known = mirror.records.get(key)
            if known is not None and known.content == content:
                return
            if mirror.is_complete:
                appended = await self._client.append(
                    store_calls.INSTANCES_TOPIC,
                    key,
                    content,
                )
                if isinstance(appended, store_records.Appended):
                    return
            await asyncio.sleep(clock.seconds(_RETRY_MS))

    async def follow_servers(self) -> None:
        """Read the entries of backend servers at a steady pace."""
        while True:
            was_read = await self._step(store_calls.SERVERS_TOPIC, 0)
            if not was_read:
                # Other kept connections may have gone silent as well.
                self._config_wake.set()
            self._view.last_outage_was(self._client.last_outage)
            self._view.collect_servers()
            self._client.drop_idle()
            self._sharing.hand_on_servers(self._view.take_server_news())
            await self._pause_reading(
                longest_ms=(
                    _RELIEVED_PACE_MS
                    if was_read
                    else self._pace(_SERVERS_PACE_MS)
                )
            )

    async def follow_config(self) -> None:
        """Wait for configurations."""
        while True:
            step = asyncio.ensure_future(
                self._step(
                    store_calls.CONFIG_TOPIC,
                    self._pace(_CONFIG_WAIT_MS),
                ),
            )
            wake = asyncio.ensure_future(self._config_wake.wait())
            await asyncio.wait(
                (step, wake),
                return_when=asyncio.FIRST_COMPLETED,
            )
            for pending in (step, wake):
                pending.cancel()
            if self._config_wake.is_set():
                self._config_wake.clear()
                await self._step(store_calls.CONFIG_TOPIC, 0)

    async def follow_instances(self) -> None:
        """Wait for instances that start; many start together."""
        while True:
            await self._step(
                store_calls.INSTANCES_TOPIC,
                self._pace(_INSTANCES_WAIT_MS),
            )
            await asyncio.sleep(clock.seconds(self._pace(_INSTANCES_PACE_MS)))

    async def load_owners(self) -> None:
        """Read the assignment once; later ones come from peers."""
        mirror = self._view.mirrors[store_calls.OWNERS_TOPIC]
        while not mirror.is_complete:
            await self._step(store_calls.OWNERS_TOPIC, 0)

    def peer_read_further(
        self,
        topic: store_records.TopicName,
        end: ids.Offset,
    ) -> None:
        """Read the configuration now if a peer has a newer one."""
        if topic != store_calls.CONFIG_TOPIC:
            return
        if end > self._view.mirrors[topic].end:
            self._config_wake.set()

    def _pace(self, base_ms: int) -> int:
        return spreading.pace_ms(base_ms, self._sharing.peer_count)

    async def _pause_reading(self, longest_ms: int) -> None:
        """Wait for the next reading; it comes sooner if no peer reads."""
        waited = 0
        while waited < longest_ms:
            await asyncio.sleep(clock.seconds(_CHECK_MS))
            waited += _CHECK_MS
            self._view.collect_servers()
            if waited >= _SERVERS_PACE_MS and not self._sharing.is_relieved():
                return

    async def _step(
        self,
        topic: store_records.TopicName,
        wait_ms: int,
    ) -> bool:
        mirror = self._view.mirrors[topic]
        if mirror.is_complete:
            page = await self._client.read(topic, mirror.end, wait_ms)
            if isinstance(page, store_records.RecordPage):
                self._view.apply(topic, page)
                return True
        else:
            page = store_records.HistoryGone()
        if isinstance(page, store_records.HistoryGone):
            listing = await self._client.newest(topic)
            if isinstance(listing, store_records.RecordPage):
                self._view.replace(topic, listing)
                return True
        pause = _RETRY_DOWN_MS if self._client.is_down else _RETRY_MS
        await asyncio.sleep(clock.seconds(self._pace(pause)))
        return False

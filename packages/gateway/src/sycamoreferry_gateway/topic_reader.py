"""Read a topic of the store into the view."""

from sycamoreferry_adapter import store_calls
from sycamoreferry_core import clock
from sycamoreferry_core.fleet import store_records
from sycamoreferry_gateway import store_client, view

# Each server writes about once a second. After this long, its entries in the
# log take more bytes than a listing with the newest of each.
_LIST_SERVERS_AFTER_MS = 3_000


class TopicReader:
    """Read new records, or all if those that are missing are gone."""

    def __init__(
        self, client: store_client.StoreClient, cluster_view: view.View
    ) -> None:
        self._client = client
        self._view = cluster_view
        self._servers_read_at = clock.LONG_AGO

    @property
    def servers_read_at(self) -> clock.Millis:
        """Return when the last read of the server entries that worked began."""
        return self._servers_read_at

    def is_current(self, topic: store_records.TopicName) -> bool:
        """Tell whether the topic was read in the newest era of the store."""
        mirror = self._view.mirrors[topic]
        return mirror.is_complete and mirror.era == self._client.era

    async def read(
        self, topic: store_records.TopicName, wait_ms: int = 0
    ) -> bool:
        """Read once, waiting so long for a record; return whether it worked."""
        asked_at = self._view.clock.now()
        was_read = await self._read(topic, wait_ms, asked_at)
        if was_read and topic == store_calls.CONFIG_TOPIC:
            self._view.evacuations.contact.record_read(asked_at)
        return was_read

    async def _read(
        self,
        topic: store_records.TopicName,
        wait_ms: int,
        asked_at: clock.Millis,
    ) -> bool:
        mirror = self._view.mirrors[topic]
        page: (
            store_records.RecordPage
            | store_records.HistoryTruncated
            | store_records.StoreFailure
        ) = store_records.HistoryTruncated()
        if mirror.is_complete and not self._is_listing_smaller(topic, asked_at):
            page = await self._client.read(
                topic, mirror.end, mirror.era, wait_ms
            )
        if isinstance(page, store_records.RecordPage):
            self._view.apply(topic, page)
        elif isinstance(page, store_records.HistoryTruncated):
            listing = await self._client.newest(topic)
            if not isinstance(listing, store_records.RecordPage):
                return False
            self._view.replace(topic, listing)
        else:
            return False
        if topic == store_calls.SERVERS_TOPIC:
            self._servers_read_at = asked_at
        return True

    def _is_listing_smaller(
        self, topic: store_records.TopicName, now: clock.Millis
    ) -> bool:
        if topic != store_calls.SERVERS_TOPIC:
            return False
        return now - self._servers_read_at > _LIST_SERVERS_AFTER_MS

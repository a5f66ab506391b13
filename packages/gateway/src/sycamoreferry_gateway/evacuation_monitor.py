"""Check periodically whether this instance hears of evacuations in time."""

import typing

from sycamoreferry_gateway import topic_reader, view

_CHECK_INTERVAL_MS = 100
# An instance that polls the server entries itself does so every 500 ms, and a
# slow store takes some 250 ms.
_MAX_READ_AGE_MS = 1_500


class EvacuationMonitor:
    """Read the store after a suspension, and end evacuations when due."""

    def __init__(
        self,
        cluster_view: view.View,
        reader: topic_reader.TopicReader,
        is_coordinator_polling: typing.Callable[[], bool],
        read_config: typing.Callable[[], None],
    ) -> None:
        self._view = cluster_view
        self._reader = reader
        self._is_coordinator_polling = is_coordinator_polling
        self._read_config = read_config

    async def watch_forever(self) -> None:
        """Check at an interval, if the deployment has evacuations."""
        while self._view.evacuations.is_enabled:
            await self._view.ticks.wait(_CHECK_INTERVAL_MS)
            self._check()

    def _check(self) -> None:
        evacuations = self._view.evacuations
        evacuations.end_due()
        now = self._view.clock.now()
        reads_store = now - self._reader.servers_read_at < _MAX_READ_AGE_MS
        is_resumed = evacuations.contact.record_check(
            now, is_in_touch=reads_store or self._is_coordinator_polling()
        )
        if is_resumed:
            self._read_config()

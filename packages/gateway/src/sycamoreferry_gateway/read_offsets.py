"""Compare the offsets up to which instances have read the store."""

import typing

from sycamoreferry_adapter import store_calls
from sycamoreferry_core import ids
from sycamoreferry_core.fleet import store_records


class ReadOffsets:
    """Report the offsets of the mirrors in the store's newest era."""

    def __init__(
        self,
        mirrors: typing.Mapping[
            store_records.TopicName, store_records.TopicMirror
        ],
    ) -> None:
        self._mirrors = mirrors
        # Offset of the last server entry that changed more than its sequence
        # number, which every heartbeat changes.
        self._server_change = ids.NO_OFFSET
        self._server_change_era = store_records.NO_ERA

    @property
    def era(self) -> store_records.StoreEra:
        """Return the newest era of the store from which records were read."""
        return max(mirror.era for mirror in self._mirrors.values())

    def ends(self) -> dict[store_records.TopicName, ids.Offset]:
        """Return the end offset of each topic, as reported to peers.

        For servers it is the end of the changes that concern other instances;
        heartbeats don't count. A topic not yet read in the newest era counts
        as unread.
        """
        ends = {topic: mirror.end for topic, mirror in self._mirrors.items()}
        following = ids.Offset(self._server_change + 1)
        ends[store_calls.SERVERS_TOPIC] = following
        newest = self.era
        for topic, mirror in self._mirrors.items():
            if mirror.era < newest:
                ends[topic] = ids.FIRST_OFFSET
        return ends

    def accepts(self, era: store_records.StoreEra) -> bool:
        """Tell whether a peer's offsets can be compared with the own ones.

        A peer of an earlier version names no era, and may have read the store
        before it returned to a copy.
        """
        return era == self.era

    def note_server_change(self, offset: ids.Offset) -> None:
        """Record that a server entry changed in a way that concerns others."""
        era = self._mirrors[store_calls.SERVERS_TOPIC].era
        if era != self._server_change_era:
            self._server_change_era = era
            self._server_change = ids.NO_OFFSET
        self._server_change = max(self._server_change, offset)

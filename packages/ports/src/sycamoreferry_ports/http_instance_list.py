"""Read the platform's list of live and leaving servers over HTTP."""

import json

import aiohttp
import msgspec

from sycamoreferry_core import clock, decoding, ids
from sycamoreferry_ports import bounded_body, wire

TIMEOUT_MS = 1000


class _Listing(msgspec.Struct):
    servers: list[msgspec.Raw]


class _NamedEntry(msgspec.Struct):
    server: ids.ServerId


_listing_decoder = msgspec.json.Decoder(_Listing)
_entry_decoder = msgspec.json.Decoder(wire.ListedServer)
_name_decoder = msgspec.json.Decoder(_NamedEntry)


class HttpInstanceList:
    """Fetch the platform's instance list."""

    def __init__(self, session: aiohttp.ClientSession, base_url: str) -> None:
        self._session = session
        self._url = f'{base_url}/instances'
        self._known: dict[ids.ServerId, wire.ListedServer] = {}
        # Why entries of the last list can't be used.
        self.unusable: tuple[str, ...] = ()

    async def read(self) -> tuple[wire.ListedServer, ...] | None:
        """Return the listed servers, or None if the list is unavailable.

        An entry that can't be used names no server, and leaves one that is
        known by its id as it was; the others hold.
        """
        timeout = aiohttp.ClientTimeout(total=clock.seconds(TIMEOUT_MS))
        try:
            async with self._session.get(self._url, timeout=timeout) as answer:
                content = await bounded_body.read(answer)
            entries = _split_listing(content)
        except (aiohttp.ClientError, TimeoutError, msgspec.MsgspecError):
            return None
        self.unusable = ()
        listed = tuple(filter(None, map(self._decode_entry, entries)))
        self._known = {entry.server: entry for entry in listed}
        return listed

    def _decode_entry(self, content: bytes) -> wire.ListedServer | None:
        try:
            return decoding.decode(_entry_decoder, content)
        except msgspec.MsgspecError as error:
            name = _name_of(content)
            self.unusable += (f'{decoding.quote(name)}: {error}',)
            return self._known.get(name)


def _name_of(content: bytes) -> ids.ServerId:
    """Return the server that an entry names; empty if it names none."""
    pruned = decoding.prune_json(content)
    try:
        return decoding.decode(_name_decoder, pruned).server
    except msgspec.MsgspecError:
        return _name_in_loose_json(pruned)


def _name_in_loose_json(content: bytes) -> ids.ServerId:
    """Read the name in a text that a stricter decoder refuses."""
    try:
        entry = json.loads(content)
    except (ValueError, RecursionError):
        return ids.ServerId('')
    name = entry.get('server') if isinstance(entry, dict) else None
    return ids.ServerId(name if isinstance(name, str) else '')


def _split_listing(content: bytes) -> list[bytes]:
    """Return the entries of a list, each to be decoded alone."""
    try:
        listing = decoding.decode(_listing_decoder, content)
    except msgspec.MsgspecError:
        return decoding.split_json_rows(content)
    return [bytes(entry) for entry in listing.servers]

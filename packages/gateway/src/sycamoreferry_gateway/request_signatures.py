"""Sign requests so that the repeats of one request have one signature.

Callers reach an instance through balancers and relays, so the address of a
connection tells nothing of the caller. What a request asks for is the same each
time: its method, host, target and body. Its headers may differ.
"""

import re

import xxhash

from sycamoreferry_core.traffic import crashes, routes
from sycamoreferry_gateway import caller_messages

_ESCAPED = re.compile('%[0-9A-Fa-f]{2}')
_UNRESERVED = frozenset('-._~')
_HEXADECIMAL = 16


def sign(request: caller_messages.CallerRequest) -> crashes.Signature:
    """Return what a request and its repeats have in common."""
    digest = xxhash.xxh3_64()
    for part in (
        request.method,
        routes.host_name(request.header('host') or ''),
        _ESCAPED.sub(_normalize_escape, request.target),
    ):
        digest.update(part.encode('latin-1', 'replace'))
        digest.update(b'\0')
    digest.update(request.body)
    return crashes.Signature(digest.intdigest())


def _normalize_escape(escape: re.Match[str]) -> str:
    """Return the one spelling of an escaped character, as RFC 3986 says."""
    character = chr(int(escape.group()[1:], _HEXADECIMAL))
    if character in _UNRESERVED:
        return character
    if character.isascii() and character.isalnum():
        return character
    return escape.group().upper()

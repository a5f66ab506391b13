"""Drop hop-by-hop headers and those that only this system may set."""

import typing

import multidict

_HOP_BY_HOP = frozenset(
    (
        'connection',
        'content-length',
        'expect',
        'host',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    ),
)
# Only this system may set these, so values received from others are dropped.
_RESERVED_IN_REQUESTS = frozenset(
    (
        'ferry-data-centre',
        'ferry-deadline-ms',
        'ferry-fence',
        'ferry-instance',
        'ferry-request-id',
        'ferry-shard',
    ),
)
_RESERVED_IN_ANSWERS = frozenset(
    (
        'ferry-code',
        'ferry-fence',
        'ferry-instance',
        'ferry-not-run',
        'ferry-request-id',
        'ferry-server',
        'ferry-shard',
    ),
)
_DROPPED_FROM_REQUESTS = _HOP_BY_HOP | _RESERVED_IN_REQUESTS
_DROPPED_FROM_ANSWERS = _HOP_BY_HOP | _RESERVED_IN_ANSWERS

HeaderPairs = typing.Iterable[tuple[str, str]]


def filter_request_headers(received: HeaderPairs) -> multidict.CIMultiDict[str]:
    """Return the request headers to forward from a caller to a server."""
    return _filter_headers(received, _DROPPED_FROM_REQUESTS)


def filter_answer_headers(received: HeaderPairs) -> multidict.CIMultiDict[str]:
    """Return the answer headers to forward from a server to a caller."""
    return _filter_headers(received, _DROPPED_FROM_ANSWERS)


def _filter_headers(
    received: HeaderPairs,
    dropped: frozenset[str],
) -> multidict.CIMultiDict[str]:
    kept = []
    options = ''
    for pair in received:
        name = pair[0].lower()
        if name not in dropped:
            kept.append(pair)
        elif name == 'connection':
            options = f'{options},{pair[1]}'
    forwarded = multidict.CIMultiDict(kept)
    for option in options.split(','):
        forwarded.popall(option.strip(), None)
    return forwarded

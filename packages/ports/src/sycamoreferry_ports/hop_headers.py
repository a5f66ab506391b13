"""Pick the headers that may pass from one hop to the next."""

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
# Only this system may say these, whoever sent them.
_OWN_OF_REQUESTS = frozenset(
    (
        'ferry-data-centre',
        'ferry-deadline-ms',
        'ferry-fence',
        'ferry-instance',
        'ferry-request-id',
        'ferry-shard',
    ),
)
_OWN_OF_ANSWERS = frozenset(
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
_DROPPED_FROM_REQUESTS = _HOP_BY_HOP | _OWN_OF_REQUESTS
_DROPPED_FROM_ANSWERS = _HOP_BY_HOP | _OWN_OF_ANSWERS

Pairs = typing.Iterable[tuple[str, str]]


def of_request(received: Pairs) -> multidict.CIMultiDict[str]:
    """Return the headers of a caller that a server may see."""
    return _pass_on(received, _DROPPED_FROM_REQUESTS)


def of_answer(received: Pairs) -> multidict.CIMultiDict[str]:
    """Return the headers of a server that a caller may see."""
    return _pass_on(received, _DROPPED_FROM_ANSWERS)


def _pass_on(
    received: Pairs,
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
    onward = multidict.CIMultiDict(kept)
    for option in options.split(','):
        onward.popall(option.strip(), None)
    return onward

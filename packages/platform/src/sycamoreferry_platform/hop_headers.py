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

Headers = typing.Mapping[str, str]


def of_request(received: Headers) -> multidict.CIMultiDict[str]:
    """Return the headers of a caller that a server may see."""
    return _pass_on(received, _DROPPED_FROM_REQUESTS)


def of_answer(received: Headers) -> multidict.CIMultiDict[str]:
    """Return the headers of a server that a caller may see."""
    return _pass_on(received, _DROPPED_FROM_ANSWERS)


def _pass_on(
    received: Headers,
    dropped: frozenset[str],
) -> multidict.CIMultiDict[str]:
    named = received.get('Connection')
    if named is not None:
        dropped = dropped | _named_by(received)
    return multidict.CIMultiDict(
        pair for pair in received.items() if pair[0].lower() not in dropped
    )


def _named_by(received: Headers) -> set[str]:
    return {
        option.strip().lower()
        for name, text in received.items()
        if name.lower() == 'connection'
        for option in text.split(',')
    }

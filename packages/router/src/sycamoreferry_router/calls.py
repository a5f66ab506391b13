"""Read the messages of calls."""

import typing

MessageType = typing.TypeVar('MessageType')


class EmptyCallError(Exception):
    """Report a call that ended before its message came."""


def required(message: MessageType | None) -> MessageType:
    """Return the message of a call; raise EmptyCallError without one."""
    if message is None:
        raise EmptyCallError('the peer sent no message; it may have left')
    return message

"""Read request messages of incoming gRPC calls."""

import typing

MessageType = typing.TypeVar('MessageType')


class EmptyCallError(Exception):
    """Report a call that ended before its request message arrived."""


def require_message(message: MessageType | None) -> MessageType:
    """Return the message; raise EmptyCallError if it is None."""
    if message is None:
        raise EmptyCallError(
            'call ended without a message; the peer may have left'
        )
    return message

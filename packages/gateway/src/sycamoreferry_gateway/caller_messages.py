"""Define the requests of callers and the answers to them."""

import dataclasses
import http
import typing

from sycamoreferry_core import clock, http_messages

_HOP_BY_HOP_HEADERS = frozenset(
    (
        'connection',
        'keep-alive',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
        'content-length',
        'expect',
    ),
)
_BODYLESS_STATUSES = frozenset((204, 304))
# A crowd that has to give way is gone no sooner.
_RETRY_AFTER_S = '1.000'
_LARGE_BYTES = 65_536
_PHRASES = {int(status): status.phrase for status in http.HTTPStatus}


@dataclasses.dataclass(slots=True)
class CallerRequest:
    """Hold a complete request; header names keep the case of the caller."""

    method: str
    target: str
    headers: list[tuple[str, str]]
    body: bytes
    caller: str
    keep_alive: bool
    # When its last byte was received.
    received_at: clock.Millis
    # About how much memory its target and headers take.
    head_bytes: int = 0
    # Whether it was refused, so that it may not be sent on any more.
    is_refused: bool = False
    # Whether it was sent on, so that it may run and can't be refused.
    was_forwarded: bool = False
    # What copies of it take while it is sent on.
    copied_bytes: int = 0
    # Called when it is sent on.
    on_forward: typing.Callable[[], None] | None = None

    @property
    def held_bytes(self) -> int:
        """Return about how much memory it takes, without copies."""
        return self.head_bytes + len(self.body)

    @property
    def path(self) -> str:
        """Return the target without its query."""
        return self.target.partition('?')[0]

    def header(self, name: str) -> str | None:
        """Return the first value of a header; the name must be lower case."""
        for header_name, content in self.headers:
            if header_name.lower() == name:
                return content
        return None

    @property
    def is_large(self) -> bool:
        """Tell whether the body is worth to be freed as early as possible."""
        return len(self.body) > _LARGE_BYTES

    def record_forward(self, copied_bytes: int = 0) -> None:
        """Record that it is about to be sent on; call it before that."""
        self.was_forwarded = True
        self.copied_bytes = copied_bytes
        if self.on_forward is not None:
            self.on_forward()

    def refuse(self) -> None:
        """Refuse a request that was not sent on, and free its body."""
        self.is_refused = True
        self.body = b''

    def free_body(self, _task: object) -> None:
        """Free the body; called when nothing is done with it any more."""
        self.body = b''

    def record_decoded_forward(self) -> None:
        """Record that the request decoded from this one is sent on."""
        self.record_forward(self.copied_bytes)

    def end_to_end_headers(self) -> list[tuple[str, str]]:
        """Return the headers to forward, without hop-by-hop ones."""
        connection_options = {
            part.strip().lower()
            for name, content in self.headers
            if name.lower() == 'connection'
            for part in content.split(',')
        }
        return [
            row
            for row in self.headers
            if row[0].lower() not in _HOP_BY_HOP_HEADERS
            and row[0].lower() not in connection_options
        ]


@dataclasses.dataclass(frozen=True, slots=True)
class CallerAnswer:
    """Hold status, headers and body of an answer to a caller."""

    status: int
    headers: http_messages.Headers
    body: bytes


Handler = typing.Callable[
    [CallerRequest],
    typing.Coroutine[typing.Any, typing.Any, CallerAnswer],
]


def answer_from_server(reply: http_messages.HttpResponse) -> CallerAnswer:
    """Return a backend server's answer without hop-by-hop headers."""
    headers = tuple(
        row for row in reply.headers if row[0] not in _HOP_BY_HOP_HEADERS
    )
    return CallerAnswer(reply.status, headers, reply.body)


def encode_answer(
    answer: CallerAnswer, method: str, *, closes: bool
) -> tuple[bytes, ...]:
    """Encode an answer to a request with this method, in parts."""
    phrase = _PHRASES.get(answer.status, 'Unknown')
    lines = [f'HTTP/1.1 {answer.status} {phrase}']
    lines.extend(f'{name}: {content}' for name, content in answer.headers)
    if answer.status not in _BODYLESS_STATUSES:
        lines.append(f'Content-Length: {len(answer.body)}')
    if closes:
        lines.append('Connection: close')
    lines.append('\r\n')
    head = '\r\n'.join(lines).encode('latin-1')
    if method == 'HEAD':
        return (head,)
    return http_messages.join_small(head, answer.body)


def encode_rejection(status: http.HTTPStatus) -> bytes:
    """Encode the answer to a request that was rejected while it was read."""
    headers: http_messages.Headers = ()
    if status is http.HTTPStatus.SERVICE_UNAVAILABLE:
        headers = (('Retry-After', _RETRY_AFTER_S),)
    answer = CallerAnswer(int(status), headers, b'')
    return b''.join(encode_answer(answer, 'GET', closes=True))

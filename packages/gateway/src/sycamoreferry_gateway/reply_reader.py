"""Parse the answers of a connection to a server."""

import http
import typing

import httptools

from sycamoreferry_core import http_messages
from sycamoreferry_gateway import received_bytes

_NO_BODY_STATUSES = frozenset((204, 304))
_INTERIM_STATUSES = range(http.HTTPStatus.CONTINUE, http.HTTPStatus.OK)
_LAST_STATUS = 599
# A larger body is passed on as it is; a copy would take its memory again.
_COPIED_BYTES = 65_536
STATUSES = range(http.HTTPStatus.CONTINUE, _LAST_STATUS + 1)
FINAL_STATUSES = range(http.HTTPStatus.OK, _LAST_STATUS + 1)


class ReplyReader:
    """Parse the answers of a connection, one at a time."""

    def __init__(
        self, on_reply: typing.Callable[[], None], *, expects_body: bool = True
    ) -> None:
        self._on_reply = on_reply
        self._expects_body = expects_body
        self._parser = httptools.HttpResponseParser(self)
        self._received = received_bytes.ReceivedBytes()
        self.headers: list[tuple[str, str]] = []
        self.body = bytearray()
        self.has_begun = False
        self.is_headers_done = False
        self.is_framed = False
        self.closes = False

    @property
    def status(self) -> int:
        """Return the status of the answer being read."""
        return int(self._parser.get_status_code())

    @property
    def ends_with_connection(self) -> bool:
        """Tell whether the body being read ends when the connection closes."""
        return self.is_headers_done and not self.is_framed

    @property
    def kept_bytes(self) -> int:
        """Return about how much memory the answer being read takes."""
        return len(self.body) + self._received.header_bytes

    def feed(self, received: bytes) -> None:
        """Parse received bytes; raise HttpParserError if they are malformed."""
        part_bytes = received_bytes.MAX_FRAMING_BYTES
        for start in range(0, len(received), part_bytes):
            part = received[start : start + part_bytes]
            self._parser.feed_data(part)
            self._received.count_received(len(part))

    def take_reply(self) -> http_messages.HttpResponse:
        """Return the complete answer and reset for the next one."""
        is_small = len(self.body) <= _COPIED_BYTES
        reply = http_messages.HttpResponse(
            self.status,
            tuple(self.headers),
            # Nothing changes the buffer any more.
            bytes(self.body) if is_small else typing.cast(bytes, self.body),
        )
        self.reset()
        return reply

    def reset(self) -> None:
        """Discard what was read of an answer."""
        self.headers = []
        self.body = bytearray()
        self.has_begun = False
        self.is_headers_done = False
        self.is_framed = False

    def on_message_begin(self) -> None:
        """Record that an answer has begun."""
        self.has_begun = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header; drop trailers."""
        self._received.count_header(len(name) + len(value))
        if self.is_headers_done:
            return
        self.headers.append(
            (name.decode('latin-1').lower(), value.decode('latin-1')),
        )

    def on_headers_complete(self) -> None:
        """Check the status and find out how the body is delimited."""
        if self.status not in STATUSES:
            raise httptools.HttpParserError(f'status {self.status}')
        self.is_headers_done = True
        names = dict(self.headers)
        self.is_framed = (
            'content-length' in names
            or 'chunked' in names.get('transfer-encoding', '').lower()
            or self.status in _NO_BODY_STATUSES
        )
        if 'content-length' in names and self.status not in _NO_BODY_STATUSES:
            self._received.check_length(names['content-length'])
        if names.get('connection', '').lower() == 'close':
            self.closes = True
        if not self._expects_body and self.status not in _INTERIM_STATUSES:
            self._on_reply()

    def on_body(self, body: bytes) -> None:
        """Collect a part of the body."""
        self._received.count_body(len(body))
        self.body.extend(body)

    def on_message_complete(self) -> None:
        """Report a complete answer; skip interim (1xx) ones."""
        self._received.count_answer()
        if self.status in _INTERIM_STATUSES:
            self.reset()
        else:
            self._on_reply()

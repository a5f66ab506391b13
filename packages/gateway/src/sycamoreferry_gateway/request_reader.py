"""Read the requests of a connection."""

import http
import typing

import httptools

from sycamoreferry_core import clock
from sycamoreferry_core.traffic import routes
from sycamoreferry_gateway import caller_messages, received_bytes

_OnRequest = typing.Callable[[caller_messages.CallerRequest], None]
# A copy that is not larger is freed sooner than the memory of the buffer.
_COPIED_BYTES = 65_536
# Bytes are parsed in slices of this size at most, so a head may be that much
# above its limit before it is noticed.
_SLICE_BYTES = 4_096
# Applies until the operator's limits are known.
_DEFAULT_FRAMING_BYTES = 65_536

_GetLimits = typing.Callable[[], routes.CallerLimits | None]


class RequestReader:
    """Parse requests one after the other, until one is rejected."""

    def __init__(
        self,
        get_limits: _GetLimits,
        on_request: _OnRequest,
    ) -> None:
        # The address of the caller, which each request carries.
        self.caller = ''
        self._get_limits = get_limits
        self._on_request = on_request
        self._parser = httptools.HttpRequestParser(self)
        self._received_at = clock.LONG_AGO
        self._target = b''
        self._headers: list[tuple[str, str]] = []
        self._header_bytes = 0
        self._body = bytearray()
        # Bytes in a row that belong to no body, and are not parsed as headers:
        # the start of a long header or target, chunk extensions.
        self._framing_bytes = 0
        self._has_progress = False
        # When the first byte of an incomplete request was received.
        self.reading_since: clock.Millis | None = None
        # Whether the caller waits for 100 Continue before it sends the body.
        self.expects_continue = False
        # The status of a request that was rejected while it was read.
        self.rejected: http.HTTPStatus | None = None

    def feed(self, data: bytes, received_at: clock.Millis) -> None:
        """Parse bytes; each complete request is passed on."""
        if self.rejected is not None:
            return
        self._received_at = received_at
        self._has_progress = False
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self.reject(http.HTTPStatus.BAD_REQUEST)
        except httptools.HttpParserError:
            self.reject(http.HTTPStatus.BAD_REQUEST)
        self._count_framing(len(data))

    @property
    def held_bytes(self) -> int:
        """Return about how much memory the incomplete request takes."""
        return self._head_bytes + self._framing_bytes + len(self._body)

    def reject(self, status: http.HTTPStatus) -> None:
        """Reject the incomplete request; nothing more is read."""
        if self.rejected is None:
            self.rejected = status
            self.reading_since = None
            self.expects_continue = False
            self.discard()

    def discard(self) -> None:
        """Discard what was read of an incomplete request.

        The reader and its parser refer to each other and are freed late.
        """
        self._target = b''
        self._headers = []
        self._header_bytes = 0
        self._framing_bytes = 0
        self._body = bytearray()

    def on_message_begin(self) -> None:
        """Start a request."""
        self._has_progress = True
        self.reading_since = self._received_at

    def on_url(self, url: bytes) -> None:
        """Collect the target."""
        self._target += url
        self._add_header_bytes(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header."""
        self._headers.append((name.decode('latin-1'), value.decode('latin-1')))
        self._add_header_bytes(len(name) + len(value) + 4)

    def on_headers_complete(self) -> None:
        """Note whether the caller waits before it sends the body."""
        self._has_progress = True
        self.expects_continue = any(
            name.lower() == 'expect' and content == '100-continue'
            for name, content in self._headers
        )

    def on_body(self, body: bytes) -> None:
        """Collect a part of the body; reject one above the limit."""
        self.expects_continue = False
        self._has_progress = True
        if self.rejected is not None:
            return
        self._body.extend(body)
        limits = self._get_limits()
        if limits and len(self._body) > limits.body_bytes:
            self.reject(http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE)

    def on_message_complete(self) -> None:
        """Pass a complete request on."""
        self.reading_since = None
        self.expects_continue = False
        if self.rejected is not None:
            return
        is_small = len(self._body) <= _COPIED_BYTES
        request = caller_messages.CallerRequest(
            self._parser.get_method().decode('ascii'),
            self._target.decode('latin-1'),
            self._headers,
            # Nothing changes the buffer any more.
            bytes(self._body) if is_small else typing.cast(bytes, self._body),
            self.caller,
            self._parser.should_keep_alive(),
            self._received_at,
            self._head_bytes,
        )
        self.discard()
        self._on_request(request)

    @property
    def _head_bytes(self) -> int:
        line_bytes = len(self._headers) * received_bytes.HEADER_LINE_BYTES
        return self._header_bytes + line_bytes

    def _count_framing(self, size: int) -> None:
        if self.rejected is not None:
            return
        self._framing_bytes = (
            0 if self._has_progress else self._framing_bytes + size
        )
        limits = self._get_limits()
        limit = limits.header_bytes if limits else _DEFAULT_FRAMING_BYTES
        if self._framing_bytes > limit + _SLICE_BYTES:
            self.reject(http.HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)

    def _add_header_bytes(self, size: int) -> None:
        self._header_bytes += size
        limits = self._get_limits()
        if limits and self._header_bytes > limits.header_bytes:
            self.reject(http.HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)

"""Bound what is received for a request, so that it has an end."""

import httptools

# Bytes other than those of a body that may come in a row: heads of answers,
# blank lines, chunk headers and trailers. Servers send under 1 KB of them.
MAX_FRAMING_BYTES = 65_536
# An instance has 300 MB and holds an answer up to three times to forward it:
# as received, as encoded, and in the buffer of the caller's connection.
MAX_BODY_BYTES = 16_777_216

# Servers send few header lines; each takes far more memory than its bytes.
MAX_HEADER_LINES = 128
HEADER_LINE_BYTES = 192

# Interim answers and late ones to earlier requests come before the one waited
# for, few of them.
MAX_ANSWERS = 16


class ReceivedBytes:
    """Count the bytes of an exchange; raise HttpParserError above a limit."""

    def __init__(self) -> None:
        self._framing = 0
        self._new_body = 0
        self._body = 0
        self._answers = 0
        self._header_lines = 0
        self._header_bytes = 0

    @property
    def header_bytes(self) -> int:
        """Return about how much memory the headers of an answer take."""
        return self._header_bytes

    def count_header(self, size: int) -> None:
        """Count a header line of the answer being read."""
        self._header_lines += 1
        self._header_bytes += size + HEADER_LINE_BYTES
        if self._header_lines > MAX_HEADER_LINES:
            raise httptools.HttpParserError(
                f'over {MAX_HEADER_LINES} header lines'
            )

    def count_answer(self) -> None:
        """Count a complete answer."""
        self._header_lines = 0
        self._header_bytes = 0
        self._answers += 1
        if self._answers > MAX_ANSWERS:
            raise httptools.HttpParserError(f'over {MAX_ANSWERS} answers')

    def check_length(self, length: str) -> None:
        """Check the length of a body that is still to come."""
        if int(length) > MAX_BODY_BYTES:
            raise httptools.HttpParserError(f'body of {length} bytes')

    def count_body(self, size: int) -> None:
        """Count a part of a body; call it before count_received."""
        self._new_body += size
        self._body += size
        if self._body > MAX_BODY_BYTES:
            raise httptools.HttpParserError(
                f'body of over {MAX_BODY_BYTES} bytes'
            )

    def count_received(self, size: int) -> None:
        """Count received bytes, including those of a body."""
        framing = size - self._new_body
        if self._new_body:
            self._framing = framing
            self._new_body = 0
        else:
            self._framing += framing
        if self._framing > MAX_FRAMING_BYTES:
            raise httptools.HttpParserError(
                f'over {MAX_FRAMING_BYTES} bytes without a body'
            )

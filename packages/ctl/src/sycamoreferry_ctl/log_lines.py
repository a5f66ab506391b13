"""Read the structured lines that instances write."""

import pathlib
import typing

import msgspec


class LogLine(msgspec.Struct):
    """Hold the fields that lead from a request to its cause."""

    at: str
    part: str
    event: str
    request: str | None = None
    status: int | None = None
    code: int | None = None
    reason: str | None = None
    ms: int | None = None
    config: int | None = None
    route: str | None = None
    service: str | None = None
    # What a request and its repeats have in common.
    signature: int | None = None
    waited_ms: int = 0
    tries: list[list[str]] = []
    sent_to: str | None = None
    stopping: bool = False
    # Set at the instance to which another one relayed the request.
    relayed: bool = False
    relayed_to: list[str] = []
    key: int | None = None
    owner: str | None = None
    fence: int | None = None
    term: int | None = None
    ahead: int | None = None
    slots: float | None = None
    expected_wait_ms: int | None = None
    first: int | None = None
    last: int | None = None
    server: str | None = None
    source: str | None = None
    destination: str | None = None
    count: int | None = None


_decoder = msgspec.json.Decoder(LogLine)


def read_lines(
    paths: typing.Iterable[pathlib.Path],
) -> list[LogLine]:
    """Return the lines of all files by time; text around them is ignored."""
    found = []
    for path in paths:
        for text in path.read_text('utf-8', 'replace').splitlines():
            line = parse_line(text)
            if line is not None:
                found.append(line)
    return sorted(found, key=lambda line: line.at)


def parse_line(text: str) -> LogLine | None:
    """Return the structured line in a text, if there is one."""
    start = text.find('{"at"')
    if start < 0:
        return None
    try:
        return _decoder.decode(text[start:])
    except msgspec.MsgspecError:
        return None

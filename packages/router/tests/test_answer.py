import hypothesis
import msgspec
import multidict
import pytest
from hypothesis import strategies as st

from sycamoreferry_core import clock, ids, outcomes, result_codes
from sycamoreferry_ports import headers, hop_headers, http_forward, wire
from sycamoreferry_router import messages
from sycamoreferry_router.filters import answer, verify
from sycamoreferry_standins import request_path

ME = ids.InstanceId('entry-1')
SERVER = wire.ListedServer(
    ids.ServerId('plain-1'),
    ids.ServiceName('plain'),
    ids.DataCentre('north'),
    '127.0.0.1',
    1,
    'live',
)
SERVICE = request_path.small_settings().services[0]
ROUTER_HEADERS = (
    headers.CODE,
    headers.INSTANCE,
    headers.SERVER,
    headers.SHARD,
    headers.FENCE,
    headers.REQUEST_ID,
)
NAMES = (
    *ROUTER_HEADERS,
    headers.NOT_RUN,
    'Connection',
    'Keep-Alive',
    'Set-Cookie',
    'X-One',
    'X-Two',
    headers.RETRY_AFTER,
)


def _any_case(name: str) -> st.SearchStrategy[str]:
    return st.sampled_from([name, name.lower(), name.upper()])


_PAIRS = st.lists(
    st.tuples(
        st.sampled_from(NAMES).flatmap(_any_case),
        st.sampled_from(['r1', 'r2', 'x-one, Close', '7', 'shed', '', '99999']),
    ),
    max_size=8,
)


def _selected(idempotent: bool = True) -> messages.Selected:
    incoming = messages.Incoming(
        'GET' if idempotent else 'POST',
        'plain',
        '/a',
        {},
        b'',
        clock.Millis(0),
    )
    identified = messages.Identified(
        incoming,
        ids.RequestId('r1'),
        SERVICE,
        None,
        None,
        incoming.received_at,
        None,
    )
    return messages.Selected(
        identified,
        SERVER,
        outcomes.Destination(SERVER.server),
    )


def _received(
    pairs: list[tuple[str, str]],
    status: int = 200,
    *,
    needs_echo: bool = False,
) -> http_forward.Received:
    return http_forward.Received(
        status,
        multidict.CIMultiDict(pairs),
        b'body',
        needs_echo=needs_echo,
    )


@hypothesis.given(
    pairs=_PAIRS,
    status=st.sampled_from([200, 204, 404, 409, 503]),
    needs_echo=st.booleans(),
)
def test_server_cannot_forge_headers_of_the_instance(
    pairs: list[tuple[str, str]],
    status: int,
    needs_echo: bool,
) -> None:
    received = _received(pairs, status, needs_echo=needs_echo)
    outcome = verify.verify(messages.Forwarded(_selected(), received))
    rendered = answer.answer(outcome, ME)
    assert rendered.headers.getall(headers.INSTANCE) == [ME]
    assert rendered.headers.getall(headers.CODE) == [str(int(outcome.code))]
    not_run = rendered.headers.getall(headers.NOT_RUN, [])
    assert bool(not_run) == isinstance(outcome, outcomes.NotRun)
    if isinstance(outcome, outcomes.Answered):
        echoed = received.headers.get(headers.REQUEST_ID)
        assert echoed == 'r1' or (echoed is None and not needs_echo)
        assert headers.NOT_RUN not in received.headers
        assert rendered.headers.getall(headers.REQUEST_ID) == ['r1']
        assert rendered.body == b'body'
    if isinstance(outcome, outcomes.NotRun):
        assert status >= 400
        assert headers.NOT_RUN in received.headers


@hypothesis.given(pairs=_PAIRS)
def test_all_headers_but_hop_by_hop_ones_are_forwarded(
    pairs: list[tuple[str, str]],
) -> None:
    received = multidict.CIMultiDict(pairs)
    onward = hop_headers.filter_answer_headers(received.items())
    assert not {'connection', 'keep-alive'} & {name.lower() for name in onward}
    named = ','.join(received.getall('Connection', [])).lower()
    for name in ('X-One', 'X-Two', 'Set-Cookie'):
        expected = received.getall(name, [])
        if name.lower() in named:
            expected = []
        assert onward.getall(name, []) == expected


@pytest.mark.parametrize(
    'forged', ['ferry-shard', 'FERRY-FENCE', 'Ferry-Instance']
)
def test_caller_cannot_forge_headers_of_the_instance(forged: str) -> None:
    onward = hop_headers.filter_request_headers([(forged, '7')])
    assert not onward


@pytest.mark.parametrize(
    'code',
    [
        code
        for code in result_codes.ResultCode
        if result_codes.meaning(code).status >= 500
    ],
)
@pytest.mark.parametrize('kind', [outcomes.NotRun, outcomes.Unknown])
def test_server_error_response_has_a_retry_after_header(
    code: result_codes.ResultCode,
    kind: type[outcomes.NotRun] | type[outcomes.Unknown],
) -> None:
    rendered = answer.answer(kind(code), ME)
    assert int(rendered.headers[headers.RETRY_AFTER]) >= 1
    body = msgspec.json.decode(rendered.body, type=answer.FailureBody)
    assert body.code == code
    assert body.retry_after_ms >= 1000


@pytest.mark.parametrize(
    ('asked', 'expected'),
    [
        ('3', 3000),
        ('0', 1000),
        ('soon', 1000),
        ('999999999999', 60_000),
        ('-1', 1000),
        ('\u0663', 1000),
    ],
)
def test_retry_after_of_a_server_is_parsed_and_bounded(
    asked: str, expected: int
) -> None:
    received = _received(
        [(headers.NOT_RUN, 'shed'), (headers.RETRY_AFTER, asked)],
        503,
    )
    outcome = verify.verify(messages.Forwarded(_selected(), received))
    assert isinstance(outcome, outcomes.NotRun)
    assert outcome.retry_after_ms == expected


@pytest.mark.parametrize('status', [200, 204, 302])
def test_not_run_header_with_a_success_status_gives_unknown(
    status: int,
) -> None:
    received = _received([(headers.NOT_RUN, 'shed')], status)
    outcome = verify.verify(messages.Forwarded(_selected(), received))
    assert outcome.kind is outcomes.Kind.UNKNOWN

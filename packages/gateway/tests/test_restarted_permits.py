"""Check that answers about permits of an earlier process are not used.

Both processes have the name of the instance. A late answer to the earlier one
named a server for a request of the later one that had the same number, also if
that server runs another service.
"""

import typing

import pytest

from sycamoreferry_core import ids
from sycamoreferry_core.traffic import permits
from sycamoreferry_gateway import instance as gateway_instance
from sycamoreferry_gateway import peer_messages, permit_client

REQUESTS = 50
HOME = ids.InstanceId('counting')


@pytest.fixture
def start_process(
    sample_deployment: typing.Any, quiet_log: typing.Any
) -> typing.Callable[[], permit_client.PermitClient]:
    """Return a function that makes the permit client of a new process."""

    def start() -> permit_client.PermitClient:
        started = gateway_instance.Instance(sample_deployment, quiet_log)
        client = started._exchange.message_handler.permits
        assert client is not None
        return client

    return start


def _ask(
    client: permit_client.PermitClient, service: str
) -> permit_client._Wait:
    target = permit_client._Target(
        HOME, permits.QueueName(service), server=None, pool=0
    )
    wait = client._current_wait(None, target)
    assert wait is not None
    return wait


def _grant(wait: permit_client._Wait) -> peer_messages.PermitAnswer:
    verdict = permits.PermitVerdict.GRANTED.value
    return peer_messages.PermitAnswer(
        wait.permit.number, verdict, f'server of {wait.target.line}', 0, 1, 1
    )


async def test_answer_to_an_earlier_process_is_not_used(
    start_process: typing.Callable[[], permit_client.PermitClient],
) -> None:
    earlier, later = start_process(), start_process()
    late_answers = [_grant(_ask(earlier, 'plans')) for _ in range(REQUESTS)]
    waits = [_ask(later, 'bookings') for _ in range(REQUESTS)]
    for answer in late_answers:
        later.handle_answer(answer)
    assert not any(wait.answer.done() for wait in waits)
    for wait in waits:
        later.handle_answer(_grant(wait))
    assert all(wait.answer.done() for wait in waits)


async def test_number_of_a_permit_can_be_sent(
    start_process: typing.Callable[[], permit_client.PermitClient],
) -> None:
    number = _ask(start_process(), 'plans').permit.number
    sent = peer_messages.encode(peer_messages.PermitReturned(number))
    received = peer_messages.decode(sent)
    assert received == peer_messages.PermitReturned(number)

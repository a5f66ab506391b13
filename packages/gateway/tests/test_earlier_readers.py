"""Check that readers of earlier versions understand the messages sent today."""

import msgspec
import pytest

from sycamoreferry_core import ids
from sycamoreferry_core.traffic import permits, queueing
from sycamoreferry_gateway import peer_messages, permit_service


class _EarlierPermitAnswer(
    msgspec.Struct, array_like=True, tag='permit-answer'
):
    """Read an answer as the versions without rate limits do."""

    number: int
    verdict: str
    server: str
    ahead: int
    slots: float
    duration_ms: float


class _EarlierCrashRow(msgspec.Struct, array_like=True):
    """Read a crash as the versions without its age do."""

    signature: int
    server: str
    born: int


@pytest.mark.parametrize('ahead', [2, 2.0, 2.5, 0.1])
def test_earlier_instance_rejects_an_answer_with_a_fraction_ahead(
    ahead: float,
) -> None:
    permit = permits.PermitId(ids.InstanceId('i'), permits.PermitNumber(3))
    decision = permits.PermitDecision(
        permit,
        permits.PermitVerdict.REJECTED,
        queueing.Backlog(ahead, 1.5, 20.0),
    )
    sent = peer_messages.encode(permit_service._answer_of(decision))
    earlier = msgspec.msgpack.decode(sent, type=_EarlierPermitAnswer)
    assert earlier.ahead - 1 < ahead <= earlier.ahead
    read = peer_messages.decode(sent)
    assert isinstance(read, peer_messages.PermitAnswer)
    assert read.ahead + read.ahead_rest == pytest.approx(ahead)


def test_earlier_instance_reads_crashes_with_an_age() -> None:
    sent = msgspec.msgpack.encode(peer_messages.CrashRow(7, 's', 1, 40))
    earlier = msgspec.msgpack.decode(sent, type=_EarlierCrashRow)
    assert earlier == _EarlierCrashRow(7, 's', 1)


def test_crash_of_an_earlier_instance_has_no_age() -> None:
    sent = msgspec.msgpack.encode(_EarlierCrashRow(7, 's', 1))
    read = msgspec.msgpack.decode(sent, type=peer_messages.CrashRow)
    assert read.age_ms == 0

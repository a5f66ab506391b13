"""Check the messages and calls of deployments of several sizes."""

import pytest

from sycamoreferry_core.fleet import spreading

MS = 1_000
# A small part of a core at some 40 microseconds a message.
MOST_MESSAGES_PER_S = 500


@pytest.mark.parametrize('instances', [2, 9, 17, 71, 300])
def test_messages_of_an_instance_stay_bounded(instances: int) -> None:
    peers = instances - 1
    plan = spreading.plan_spreading(peers)
    if plan.is_mesh:
        per_s = peers * MS / plan.report_ms
    else:
        per_s = MS / plan.report_ms + MS / plan.summary_ms
        per_s += peers * MS / plan.life_ms
    assert per_s <= MOST_MESSAGES_PER_S


def test_few_instances_notice_a_silent_one_within_a_second() -> None:
    assert spreading.plan_spreading(9).silence_ms < MS


def test_many_instances_call_the_store_more_rarely_each() -> None:
    assert spreading.pace_ms(2_500, 9) == 2_500
    assert spreading.pace_ms(2_500, 60) == 5_000

"""Check the rate of messages and store calls at several deployment sizes."""

import pytest

from sycamoreferry_core.fleet import message_intervals

MS_PER_S = 1_000
# 2% of a core at about 40 microseconds a message.
MAX_MESSAGES_PER_S = 500


@pytest.mark.parametrize('instances', [2, 9, 17, 71, 300])
def test_message_rate_of_an_instance_stays_bounded(instances: int) -> None:
    peers = instances - 1
    plan = message_intervals.choose_intervals(peers)
    if plan.is_mesh:
        per_s = peers * MS_PER_S / plan.report_ms
    else:
        per_s = MS_PER_S / plan.report_ms + MS_PER_S / plan.summary_ms
        per_s += peers * MS_PER_S / plan.heartbeat_ms
    assert per_s <= MAX_MESSAGES_PER_S


def test_small_deployment_detects_a_silent_peer_within_a_second() -> None:
    assert message_intervals.choose_intervals(9).peer_timeout_ms < MS_PER_S


def test_each_instance_calls_the_store_less_often_in_a_large_deployment() -> (
    None
):
    assert message_intervals.scale_store_interval_ms(2_500, 9) == 2_500
    assert message_intervals.scale_store_interval_ms(2_500, 60) == 5_000

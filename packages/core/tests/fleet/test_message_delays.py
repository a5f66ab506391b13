"""Check the estimates of how long messages took to be read."""

from sycamoreferry_core import clock, ids
from sycamoreferry_core.fleet import message_delays

SENDER = ids.InstanceId('i')


def _at(moment: int) -> clock.Millis:
    return clock.Millis(moment)


def test_message_that_waited_counts_as_new() -> None:
    delays = message_delays.MessageDelays()
    assert delays.delay_ms(SENDER, 1, 500_000, _at(1_010)) == 0
    assert delays.delay_ms(SENDER, 1, 500_100, _at(1_105)) == 0
    assert delays.delay_ms(SENDER, 1, 500_200, _at(4_205)) == 3_000
    assert delays.delay_ms(SENDER, 1, 503_200, _at(4_209)) == 4


def test_clock_of_a_restarted_sender_is_compared_with_the_earlier_one() -> None:
    delays = message_delays.MessageDelays()
    delays.delay_ms(SENDER, 1, 500_000, _at(1_000))
    assert delays.delay_ms(SENDER, 2, 100, _at(2_000)) == 0
    assert delays.delay_ms(SENDER, 2, 200, _at(2_150)) == 50


def test_sender_without_a_clock_is_taken_for_late() -> None:
    delays = message_delays.MessageDelays()
    assert delays.delay_ms(SENDER, 1, 0, _at(1_000)) == 0


def test_drift_of_a_clock_adds_up_to_a_delay() -> None:
    delays = message_delays.MessageDelays()
    longest = 0
    for moment in range(0, 600_000, 1_000):
        sent_at = 1 + int(moment * 0.999)
        delay = delays.delay_ms(SENDER, 1, sent_at, _at(moment))
        longest = max(longest, delay)
    assert longest <= 100

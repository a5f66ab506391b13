import typing

import pytest

from sycamoreferry_core import profiles
from sycamoreferry_ctl import differences

WINDOW = {'zone': 'Asia/Manila', 'start': '18:00', 'end': '22:00'}


@pytest.mark.parametrize(
    ('before', 'after', 'expected'),
    [
        ({}, {}, ()),
        (
            {'timing': {'lease_ms': 1500}},
            {'timing': {'lease_ms': 1600}},
            (('timing.lease_ms', '1500', '1600'),),
        ),
        (
            {'moves': {'peak_windows': [WINDOW]}},
            {'moves': {'peak_windows': [{**WINDOW, 'start': '17:00'}]}},
            (('moves.peak_windows.0.start', '18:00', '17:00'),),
        ),
    ],
)
def test_differences_name_the_field(
    before: dict[str, typing.Any],
    after: dict[str, typing.Any],
    expected: tuple[tuple[str, str, str], ...],
) -> None:
    found = differences.compare(
        profiles.Profile.model_validate(before),
        profiles.Profile.model_validate(after),
    )
    assert tuple(
        (each.field, each.in_force, each.proposed) for each in found
    ) == (expected)


def test_first_number_differs_in_every_field() -> None:
    found = differences.compare(None, profiles.Profile())
    assert {each.in_force for each in found} == {'-'}

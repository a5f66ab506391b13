import typing

import pydantic
import pytest

from sycamoreferry_core import profiles

WINDOW = {'zone': 'Asia/Manila', 'start': '18:00', 'end': '22:00'}


def _numbers(part: str, model: type[pydantic.BaseModel]) -> list[str]:
    return [
        f'{part}.{name}'
        for name, field in model.model_fields.items()
        if field.annotation in {int, float}
    ]


NUMBERS = [
    path
    for part, field in profiles.Profile.model_fields.items()
    for path in _numbers(
        part,
        typing.cast(type[pydantic.BaseModel], field.annotation),
    )
]


def _problems(content: object) -> list[tuple[str, str]]:
    with pytest.raises(pydantic.ValidationError) as raised:
        profiles.Profile.model_validate(content)
    return [
        ('.'.join(map(str, problem['loc'])), problem['type'])
        for problem in raised.value.errors()
    ]


@pytest.mark.parametrize('path', NUMBERS)
@pytest.mark.parametrize('value', [-1, 'soon', None])
def test_invalid_numbers_are_rejected(path: str, value: object) -> None:
    part, name = path.split('.')
    problems = _problems({part: {name: value}})
    assert [where for where, _ in problems] == [path]


@pytest.mark.parametrize('part', list(profiles.Profile.model_fields))
def test_unknown_fields_are_rejected(part: str) -> None:
    problems = _problems({part: {'colour': 'red'}, 'other': 1})
    assert sorted(problems) == sorted(
        [(f'{part}.colour', 'extra_forbidden'), ('other', 'extra_forbidden')],
    )


@pytest.mark.parametrize(
    ('changes', 'path'),
    [
        ({'zone': 'Asia/Atlantis'}, 'zone'),
        ({'zone': ''}, 'zone'),
        ({'start': '24:00'}, 'start'),
        ({'end': '9:00'}, 'end'),
    ],
)
def test_invalid_peak_window_is_rejected(
    changes: dict[str, str], path: str
) -> None:
    problems = _problems({'moves': {'peak_windows': [WINDOW | changes]}})
    assert [where for where, _ in problems] == [f'moves.peak_windows.0.{path}']


@pytest.mark.parametrize(
    ('part', 'changes'),
    [
        # The minimum is a renewal interval of lease_ms / 6, a claim delay of
        # 900 * 1.01, and 300 to claim and greet.
        ('timing', {'lease_ms': 1449, 'authority_ms': 900}),
        ('timing', {'lease_ms': 1500, 'detection_ms': 951}),
        ('timing', {'clock_drift_share': 0.95}),
        ('retries', {'first_delay_ms': 501}),
        ('limits', {'default_deadline_ms': 60001}),
        ('moves.peak_windows.0', {'end': '18:00'}),
    ],
)
def test_fields_must_fit_together(
    part: str,
    changes: dict[str, object],
) -> None:
    content: dict[str, object] = {part: changes}
    if part.startswith('moves'):
        content = {'moves': {'peak_windows': [WINDOW | changes]}}
    where = '' if part == 'timing' else part
    assert _problems(content) == [(where, 'value_error')]


@pytest.mark.parametrize(
    'timing',
    [
        {'lease_ms': 1450, 'authority_ms': 900},
        {'lease_ms': 1500, 'detection_ms': 950},
    ],
)
def test_shortest_allowed_lease_is_accepted(timing: dict[str, int]) -> None:
    profile = profiles.Profile.model_validate({'timing': timing})
    assert profile.timing.lease_ms == timing['lease_ms']


def test_profile_round_trips_through_json() -> None:
    profile = profiles.Profile.model_validate(
        {'moves': {'peak_windows': [WINDOW]}},
    )
    text = profiles.format_profile(profile)
    assert profiles.parse_profile(text) == profile

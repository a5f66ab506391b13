import copy
import pathlib
import typing

import pytest

from sycamoreferry_router import settings

GOOD: dict[str, typing.Any] = {
    'instance': {'name': 'entry-1', 'data_centre': 'luzon-1'},
    'listen': {
        'host': '127.0.0.1',
        'request_port': 8001,
        'peer_port': 8002,
    },
    'platform': {
        'log_url': 'http://127.0.0.1:9000',
        'instance_list_url': 'http://127.0.0.1:9000',
    },
    'services': [{'name': 'imbentaryo', 'shards': 1024}],
}


def _settings_with(path: str, value: object) -> dict[str, typing.Any]:
    content = copy.deepcopy(GOOD)
    node: typing.Any = content
    *parents, last = path.split('.')
    for parent in parents:
        node = node[int(parent) if parent.isdigit() else parent]
    node[last] = value
    return content


def test_good_settings_are_accepted() -> None:
    config = settings.check_settings(GOOD)
    assert config.services[0].is_keyed
    assert config.shutdown_ms == 10_000


@pytest.mark.parametrize(
    ('path', 'value', 'expected'),
    [
        ('colour', 'red', 'colour: unknown field; remove it'),
        ('listen.request_port', 0, 'listen.request_port: Input should be'),
        ('listen.request_port', 'x', 'listen.request_port: Input should be'),
        ('listen.host', 'here', 'listen.host: '),
        ('instance.name', 'Entry One', 'instance.name: String should match'),
        ('platform.log_url', 'ftp://x', 'platform.log_url: String should'),
        ('services', [], 'services: Tuple should have at least 1 item'),
        ('services.0.shards', -1, 'services.0.shards: Input should be'),
        ('services.0.shards', 70_000, 'services.0.shards: Input should be'),
        ('services.0.slots', 2, 'services.0.slots: unknown field'),
        ('bounds', {'memory_mb': 84}, 'bounds: Value error, memory_mb is'),
        ('shutdown_ms', 0, 'shutdown_ms: Input should be greater than 0'),
        ('logging', {'level': 'loud'}, 'logging.level: Input should be'),
        (
            'services',
            [{'name': 'a'}, {'name': 'a'}],
            'services: Value error, two services have the same name',
        ),
    ],
)
def test_each_error_names_its_path(
    path: str,
    value: object,
    expected: str,
) -> None:
    with pytest.raises(settings.SettingsError) as raised:
        settings.check_settings(_settings_with(path, value))
    assert any(line.startswith(expected) for line in raised.value.problems)


def test_missing_field_is_named() -> None:
    content = copy.deepcopy(GOOD)
    content.pop('listen')
    with pytest.raises(settings.SettingsError, match='listen: missing; add'):
        settings.check_settings(content)


def test_every_error_is_reported_at_once() -> None:
    content = _settings_with('colour', 'red')
    content['shutdown_ms'] = -1
    with pytest.raises(settings.SettingsError) as raised:
        settings.check_settings(content)
    assert len(raised.value.problems) == 2


def test_unreadable_file_is_reported(tmp_path: pathlib.Path) -> None:
    path = tmp_path / 'settings.yaml'
    path.write_text('a: [')
    with pytest.raises(settings.SettingsError, match='is not YAML'):
        settings.load_settings(path)
    with pytest.raises(settings.SettingsError, match='cannot be read'):
        settings.load_settings(tmp_path / 'none.yaml')

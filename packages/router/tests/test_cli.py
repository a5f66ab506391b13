import pathlib
import subprocess
import sys

import pytest
import yaml
from typer import testing

from sycamoreferry_router import cli

GOOD = {
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
BAD = {**GOOD, 'colour': 'red', 'shutdown_ms': -1}
PROBLEMS = (
    'colour: unknown field; remove it or correct its name',
    'shutdown_ms: Input should be greater than 0',
)


def test_check_accepts_good_settings(tmp_path: pathlib.Path) -> None:
    path = tmp_path / 'good.yaml'
    path.write_text(yaml.safe_dump(GOOD))
    result = testing.CliRunner().invoke(cli.app, ['check', str(path)])
    assert result.exit_code == 0
    assert 'settings are good' in result.stdout


@pytest.mark.parametrize('command', ['check', 'run'])
def test_bad_settings_end_with_status_2(
    tmp_path: pathlib.Path,
    command: str,
) -> None:
    path = tmp_path / 'bad.yaml'
    path.write_text(yaml.safe_dump(BAD))
    result = testing.CliRunner().invoke(cli.app, [command, str(path)])
    assert result.exit_code == 2
    assert sorted(result.stderr.splitlines()) == sorted(PROBLEMS)


@pytest.mark.processes
def test_check_as_a_process_ends_with_status_2(tmp_path: pathlib.Path) -> None:
    path = tmp_path / 'bad.yaml'
    path.write_text(yaml.safe_dump(BAD))
    result = subprocess.run(
        (sys.executable, '-m', 'sycamoreferry_router', 'check', str(path)),
        check=False,
        capture_output=True,
        text=True,
    )
    assert result.returncode == 2
    assert sorted(result.stderr.splitlines()) == sorted(PROBLEMS)

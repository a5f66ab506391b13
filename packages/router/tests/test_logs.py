import logging

import logbook
import pytest

from sycamoreferry_router import logs, settings


@pytest.mark.parametrize('level', ['debug', 'info', 'warning'])
def test_libraries_write_no_debug_records(
    level: str,
    capsys: pytest.CaptureFixture[str],
) -> None:
    config = settings.Logging.model_validate({'level': level})
    handler = logs.set_up_logs(config)
    try:
        assert not logging.getLogger('hpack').isEnabledFor(logging.DEBUG)
        logging.getLogger('hpack').warning('a library warns')
    finally:
        handler.pop_application()
    assert 'a library warns' in capsys.readouterr().err


def test_log_line_is_prefixed_with_its_part(
    capsys: pytest.CaptureFixture[str],
) -> None:
    handler = logs.set_up_logs(settings.Logging())
    try:
        logs.part_logger('tail').info('the log answers again')
    finally:
        handler.pop_application()
    assert '[tail] the log answers again' in capsys.readouterr().err


def test_part_logger_is_a_logbook_logger() -> None:
    assert isinstance(logs.part_logger('tail'), logbook.Logger)

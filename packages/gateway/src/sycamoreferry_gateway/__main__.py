"""Start a gateway instance from the platform's settings file."""

import asyncio
import contextlib
import os
import pathlib
import sys
import typing

import uvloop

from sycamoreferry_adapter import settings_file
from sycamoreferry_gateway import event_log, instance
from sycamoreferry_ports import allocator, boot_clock

BAD_SETTINGS_STATUS = 2
_METRICS_PORT_VARIABLE = 'SYCAMOREFERRY_METRICS_PORT'
_DEFAULT_METRICS_PORT = '9464'


def main() -> int:
    """Run until SIGTERM; return 2 if the settings are missing or invalid."""
    path = os.environ.get(settings_file.PATH_VARIABLE)
    if path is None:
        sys.stderr.write(f'{settings_file.PATH_VARIABLE} is not set\n')
        return BAD_SETTINGS_STATUS
    port = os.environ.get(_METRICS_PORT_VARIABLE, _DEFAULT_METRICS_PORT)
    try:
        text = pathlib.Path(path).read_text('utf-8')
        settings = settings_file.parse_settings(text, int(port))
    except (OSError, ValueError) as error:
        sys.stderr.write(f'{path}: {error}\n')
        return BAD_SETTINGS_STATUS
    allocator.return_large_buffers()
    log = event_log.EventLog(boot_clock.BootClock())
    with (
        contextlib.closing(log),
        asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner,
    ):
        runner.run(instance.Instance(settings, log).run())
    return 0


def run() -> typing.NoReturn:
    """Run the program and end the process with its status."""
    status = main()
    sys.stderr.flush()
    # All is written. Finalizing the interpreter is slow on a busy machine, and
    # little is left of the grace time.
    os._exit(status)


if __name__ == '__main__':
    run()

import contextlib
import subprocess
import sys

from sycamoreferry_standins import web

DRAWS = 1000
PROCESSES = 4
# Keeps its ports until its input ends.
DRAW_AND_WAIT = f"""\
import sys
from sycamoreferry_standins import web
print(*(web.free_port() for _ in range({DRAWS // PROCESSES})), flush=True)
sys.stdin.read()
"""


def test_no_port_is_given_out_twice() -> None:
    ports = [web.free_port() for _ in range(DRAWS)]
    assert len(set(ports)) == DRAWS


def test_processes_that_run_together_get_different_ports() -> None:
    ports: list[int] = []
    with contextlib.ExitStack() as running:
        drawing = [
            running.enter_context(
                subprocess.Popen(
                    (sys.executable, '-c', DRAW_AND_WAIT),
                    stdin=subprocess.PIPE,
                    stdout=subprocess.PIPE,
                ),
            )
            for _ in range(PROCESSES)
        ]
        for process in drawing:
            assert process.stdout is not None
            ports.extend(map(int, process.stdout.readline().split()))
    assert len(ports) == DRAWS
    assert len(set(ports)) == DRAWS

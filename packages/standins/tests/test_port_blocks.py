import contextlib
import socket

import pytest

from sycamoreferry_standins import port_blocks, web

BLOCK_SIZE = 4


def _draw_adjacent_ports() -> range:
    ports = [web.free_port()]
    while len(ports) < BLOCK_SIZE:
        port = web.free_port()
        if port != ports[-1] + 1:
            ports.clear()
        ports.append(port)
    return range(ports[0], ports[-1] + 1)


@pytest.mark.parametrize('kind', [socket.SOCK_STREAM, socket.SOCK_DGRAM])
def test_port_in_use_is_not_given_out(kind: socket.SocketKind) -> None:
    ports = _draw_adjacent_ports()
    blocks = port_blocks.PortBlocks(web.LOOPBACK, ports, BLOCK_SIZE)
    with contextlib.ExitStack() as held:
        for port in ports[1:-1]:
            user = held.enter_context(socket.socket(socket.AF_INET, kind))
            user.bind((web.LOOPBACK, port))
        assert blocks.take() == ports[-1]


def test_block_of_another_holder_is_left_alone() -> None:
    ports = _draw_adjacent_ports()
    holder = port_blocks.PortBlocks(web.LOOPBACK, ports, BLOCK_SIZE)
    other = port_blocks.PortBlocks(web.LOOPBACK, ports, BLOCK_SIZE)
    assert holder.take() == ports[1]
    with pytest.raises(port_blocks.NoPortError, match='no port is free'):
        other.take()


def test_exhausted_range_is_reported() -> None:
    ports = _draw_adjacent_ports()
    blocks = port_blocks.PortBlocks(web.LOOPBACK, ports, BLOCK_SIZE)
    assert [blocks.take() for _ in ports[1:]] == list(ports[1:])
    with pytest.raises(port_blocks.NoPortError, match='no port is free'):
        blocks.take()

"""Check the addresses that other programs name."""

import ipaddress

MAX_PORT = 65_535


def is_ipv4(host: str) -> bool:
    """Return whether a host is an IPv4 address; names are not looked up."""
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        return False
    return True


def can_be_called(host: str, port: int) -> bool:
    """Return whether a connection to a host and port leads to one machine.

    An event loop may cut a larger port to 16 bits and connect to another one.
    """
    if not is_ipv4(host) or not 0 < port <= MAX_PORT:
        return False
    address = ipaddress.IPv4Address(host)
    return not (address.is_unspecified or address.is_multicast)

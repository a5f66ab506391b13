"""Share the descriptors of a process between the kinds of connections.

Load pattern: callers open more connections than the process may have
descriptors. Then it can connect to no server, and the load balancer finds no
answer on the health path.
"""

import dataclasses

# The platform keeps these for files, out of those that it names.
_PLATFORM_DESCRIPTORS = 200
# With few descriptors the platform is taken to keep no more than this share.
_MAX_PLATFORM_SHARE = 0.5
# The rest is for connections to servers, the store and other instances: 323 of
# the fewest, 1,638. An instance has a few requests in flight at each server.
_CALLER_SHARE = 5 / 8
_RELAY_SHARE = 1 / 8
# Health checks and scrapes come from a few machines.
_MAX_PAGES = 64
_PAGE_SHARE = 0.0625


@dataclasses.dataclass(frozen=True, slots=True)
class DescriptorShares:
    """Hold how many connections each port may have."""

    callers: int
    # From other instances.
    relays: int
    # For health checks and metrics.
    pages: int


def divide(max_descriptors: int) -> DescriptorShares:
    """Return the shares of a process with this many descriptors."""
    kept = min(_PLATFORM_DESCRIPTORS, max_descriptors * _MAX_PLATFORM_SHARE)
    usable = max_descriptors - kept
    return DescriptorShares(
        callers=max(1, int(usable * _CALLER_SHARE)),
        relays=max(1, int(usable * _RELAY_SHARE)),
        pages=max(1, int(min(_MAX_PAGES, usable * _PAGE_SHARE))),
    )

"""Check that callers leave descriptors to other connections."""

import pytest

from sycamoreferry_core.traffic import descriptor_shares


@pytest.mark.parametrize('descriptors', [100, 400, 1_638, 10_250])
def test_servers_and_files_have_descriptors_beside_full_ports(
    descriptors: int,
) -> None:
    shares = descriptor_shares.divide(descriptors)
    taken = shares.callers + shares.relays + shares.pages
    kept = min(200, descriptors // 2)
    assert taken <= (descriptors - kept) * 7 / 8
    assert min(shares.callers, shares.relays, shares.pages) >= 1


def test_fewest_descriptors_of_a_deployment_leave_room_for_callers() -> None:
    shares = descriptor_shares.divide(1_638)
    assert shares == descriptor_shares.DescriptorShares(898, 179, 64)

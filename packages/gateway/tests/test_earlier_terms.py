"""Check what a coordinator assumes of the leases before its term."""

from sycamoreferry_core import ids
from sycamoreferry_core.fleet import deployment, instances
from sycamoreferry_core.keyspace import leases
from sycamoreferry_core.traffic import reachability
from sycamoreferry_gateway import (
    assignment,
    earlier_terms,
    event_log,
    http_client,
    order_sender,
    term_claims,
    view,
)
from sycamoreferry_ports import boot_clock


def test_grant_sent_as_the_authority_ends_outlasts_the_assumed_leases(
    sample_deployment: deployment.Deployment,
    quiet_log: event_log.EventLog,
) -> None:
    time_source = boot_clock.BootClock()
    orders = order_sender.OrderSender(
        http_client.ConnectionPool(time_source),
        leases.LeaseBook(),
        reachability.Reachability(),
        time_source,
    )
    known = view.View(sample_deployment, time_source, quiet_log)
    earlier = assignment.Assignment(
        ids.FIRST_TERM, ids.InstanceId('other'), 'write', {}
    )
    claimed_at = time_source.now()
    earlier_terms.EarlierTerms(known, orders).assume_leases(
        earlier, term_claims.OwnerKnowledge.STORED, is_own=False
    )
    last_arrival_ms = instances.AUTHORITY_MS + order_sender.GRANT_TIMEOUT_MS
    hold_ms = leases.longest_hold_ms(sample_deployment.bounds.longest_hold_ms)
    assumed_ms = orders.book.earlier_grants_until - claimed_at
    assert assumed_ms >= last_arrival_ms + hold_ms

"""Watch the backend servers beside the requests that are sent to them."""

from sycamoreferry_core.traffic import server_load
from sycamoreferry_gateway import (
    crash_monitor,
    event_log,
    http_client,
    reachability_monitor,
    view,
)


def build(
    cluster_view: view.View,
    loads: server_load.ServerLoads,
    pool: http_client.ConnectionPool,
    log: event_log.EventLog,
) -> tuple[
    reachability_monitor.ReachabilityMonitor, crash_monitor.CrashMonitor
]:
    """Return what finds servers that can't be reached or have crashed."""
    return (
        reachability_monitor.ReachabilityMonitor(
            cluster_view, loads, pool, log
        ),
        crash_monitor.CrashMonitor(cluster_view, loads, pool),
    )

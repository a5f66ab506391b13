"""Run the routing instance's command line."""

from sycamoreferry_router import cli

cli.main()

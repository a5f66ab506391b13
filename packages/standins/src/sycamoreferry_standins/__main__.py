"""Run the stand-ins' command line."""

from sycamoreferry_standins import cli

cli.main()

"""Run the operators' command line."""

from sycamoreferry_ctl import cli

cli.main()

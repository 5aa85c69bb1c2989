"""Run the command line as ``python -m sardinegauge.cli``."""

from sardinegauge import cli

cli.main()

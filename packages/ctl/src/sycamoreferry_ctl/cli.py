"""Offer the operators' commands."""

import typer

from sycamoreferry_ctl import exit_status
from sycamoreferry_ctl.commands import (
    change,
    explain,
    profile,
    quarantine,
    replay,
    show,
)

_STATUSES = '; '.join(
    f'{int(status)} {meaning}'
    for status, meaning in exit_status.MEANINGS.items()
)

app = typer.Typer(
    help='Operate sycamoreferry.',
    epilog=f'Statuses: {_STATUSES}.',
    no_args_is_help=True,
    add_completion=False,
    pretty_exceptions_enable=False,
)
app.add_typer(profile.app, name='profile')
app.add_typer(quarantine.app, name='quarantine')
app.command(
    name='assignment',
    epilog='Example: ferryctl assignment --service imbentaryo --key depot-7',
)(show.assignment)
app.command(
    name='terms',
    epilog='Example: ferryctl terms -o json',
)(show.terms)
app.command(
    name='leases',
    epilog='Example: ferryctl leases --service imbentaryo',
)(show.leases)
app.command(
    name='members',
    epilog='Example: ferryctl members',
)(show.members)
app.command(
    name='status',
    epilog='Example: FERRY_LOG_URL=http://127.0.0.1:9000 ferryctl status',
)(show.show_status)
app.command(
    name='drain',
    epilog='Example: ferryctl drain imbentaryo imbentaryo-3',
)(change.drain)
app.command(
    name='move',
    epilog='Example: ferryctl move imbentaryo depot-7 imbentaryo-3',
)(change.move)
app.command(
    name='release',
    epilog='Example: ferryctl release imbentaryo 7 --sure',
)(change.release)
app.command(
    name='replay',
    epilog='Example: ferryctl replay traces/launch.jsonl',
)(replay.replay)
app.command(
    name='explain',
    epilog='Example: ferryctl explain 9c41d07be2a35f68 entry-*.log',
)(explain.explain)


def main() -> None:
    """Run the command line."""
    app()

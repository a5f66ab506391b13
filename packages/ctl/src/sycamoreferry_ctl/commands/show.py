"""Show what the log holds and what each instance has in force."""

import collections
import typing

import msgspec
import typer

from sycamoreferry_core import ids, keys, state
from sycamoreferry_ctl import connection, exit_status, output, statuses

_Service = typing.Annotated[
    str,
    typer.Option(help='Show this service alone.'),
]
_Key = typing.Annotated[
    str,
    typer.Option(help='Show the owner of this key; needs --service.'),
]


class OwnerRow(msgspec.Struct, frozen=True):
    """Hold how many shards a server is to own."""

    service: str
    server: str
    shards: int
    newest_fence: int


class KeyRow(msgspec.Struct, frozen=True):
    """Hold the owner of a key."""

    service: str
    key: str
    shard: int
    server: str
    fence: int


class TermRow(msgspec.Struct, frozen=True):
    """Hold the current term of a service."""

    service: str
    term: int
    coordinator: str
    deputy: str
    settled: int
    unsettled: int


class MemberRow(msgspec.Struct, frozen=True):
    """Hold a routing instance that joined and did not leave."""

    instance: str
    data_centre: str
    requests: str
    peers: str


class LeaseRow(msgspec.Struct, frozen=True):
    """Hold what a coordinator knows of a server's lease."""

    service: str
    server: str
    coordinator: str
    lasts_ms: int
    shards: int


class StatusRow(msgspec.Struct, frozen=True):
    """Hold what an instance has in force."""

    instance: str
    data_centre: str
    answered: bool
    ready: bool
    next_offset: int
    in_flight: int
    profiles: str
    coordinates: str


def assignment(
    log_url: connection.LogUrl,
    service: _Service = '',
    key: _Key = '',
    stream: connection.Stream = connection.DEFAULT_STREAM,
    form: output.Chosen = output.Output.TABLE,
) -> None:
    """Show which servers are to own how many shards, or the owner of a key."""
    log_state = connection.read_state(log_url, stream)
    if key:
        _show_key(log_state, ids.ServiceName(service), key, form)
        return
    rows = [
        row
        for name, assigned in sorted(log_state.assignments.items())
        if service in {'', name}
        for row in _owner_rows(name, assigned)
    ]
    output.print_rows(
        rows,
        ('service', 'server', 'shards', 'newest_fence'),
        form,
    )


def terms(
    log_url: connection.LogUrl,
    stream: connection.Stream = connection.DEFAULT_STREAM,
    form: output.Chosen = output.Output.TABLE,
) -> None:
    """Show the coordinator, deputy and term of each service."""
    log_state = connection.read_state(log_url, stream)
    rows = [
        TermRow(
            service=name,
            term=held.term,
            coordinator=held.coordinator,
            deputy=held.deputy,
            settled=held.settled,
            unsettled=len(held.unsettled),
        )
        for name, held in sorted(log_state.terms.items())
    ]
    output.print_rows(rows, TermRow.__struct_fields__, form)


def members(
    log_url: connection.LogUrl,
    stream: connection.Stream = connection.DEFAULT_STREAM,
    form: output.Chosen = output.Output.TABLE,
) -> None:
    """Show the routing instances that joined and did not leave."""
    log_state = connection.read_state(log_url, stream)
    rows = [
        MemberRow(
            instance=joined.instance,
            data_centre=joined.data_centre,
            requests=f'{joined.peer_host}:{joined.request_port}',
            peers=f'{joined.peer_host}:{joined.peer_port}',
        )
        for joined in log_state.instances.values()
    ]
    output.print_rows(rows, MemberRow.__struct_fields__, form)


def leases(
    log_url: connection.LogUrl,
    service: _Service = '',
    stream: connection.Stream = connection.DEFAULT_STREAM,
    form: output.Chosen = output.Output.TABLE,
) -> None:
    """Show how long each server's lease lasts, as its coordinator knows it."""
    asked = connection.run(_ask(log_url, stream))
    rows = [
        row
        for status in asked
        for row in _lease_rows(status)
        if service in {'', row.service}
    ]
    output.print_rows(rows, LeaseRow.__struct_fields__, form)


def show_status(
    log_url: connection.LogUrl,
    stream: connection.Stream = connection.DEFAULT_STREAM,
    form: output.Chosen = output.Output.TABLE,
) -> None:
    """Show what every instance has in force; status 4 where one is silent."""
    asked = connection.run(_ask(log_url, stream))
    output.print_rows(
        [_status_row(status) for status in asked],
        StatusRow.__struct_fields__,
        form,
    )
    if any(status.reply is None for status in asked):
        raise typer.Exit(exit_status.ExitStatus.NOT_EVERYWHERE)


async def _ask(
    log_url: str,
    stream: str,
) -> tuple[statuses.InstanceStatus, ...]:
    async with connection.connect(log_url, stream) as opened:
        log_state = await opened.read_state()
    return await statuses.ask_all(log_state)


def _show_key(
    log_state: state.LogState,
    service: ids.ServiceName,
    key: str,
    form: output.Output,
) -> None:
    assigned = log_state.assignment_of(service)
    if not assigned.owners:
        output.note(
            f'no shard of the service {service!r} is assigned;'
            ' name one that "ferryctl assignment" lists',
        )
        raise typer.Exit(exit_status.ExitStatus.BAD_INPUT)
    shard = keys.shard_of(key, len(assigned.owners))
    row = KeyRow(
        service=service,
        key=key,
        shard=shard,
        server=assigned.owners[shard],
        fence=assigned.fences[shard],
    )
    output.print_rows([row], KeyRow.__struct_fields__, form)


def _owner_rows(
    service: ids.ServiceName,
    assigned: state.Assignment,
) -> list[OwnerRow]:
    counts = collections.Counter(assigned.owners)
    newest: dict[ids.ServerId, ids.Fence] = {}
    for owner, fence in zip(assigned.owners, assigned.fences, strict=True):
        newest[owner] = max(fence, newest.get(owner, ids.NO_FENCE))
    return [
        OwnerRow(service, server, counts[server], newest[server])
        for server in sorted(counts)
    ]


def _lease_rows(status: statuses.InstanceStatus) -> list[LeaseRow]:
    if status.reply is None:
        return []
    return [
        LeaseRow(
            service=held.service,
            server=lease.server,
            coordinator=status.instance.instance,
            lasts_ms=lease.lasts_ms,
            shards=lease.shards,
        )
        for held in status.reply.services
        for lease in held.leases
    ]


def _status_row(status: statuses.InstanceStatus) -> StatusRow:
    joined = status.instance
    reply = status.reply
    if reply is None:
        return StatusRow(
            instance=joined.instance,
            data_centre=joined.data_centre,
            answered=False,
            ready=False,
            next_offset=0,
            in_flight=0,
            profiles='',
            coordinates='',
        )
    return StatusRow(
        instance=joined.instance,
        data_centre=joined.data_centre,
        answered=True,
        ready=reply.ready,
        next_offset=reply.next_offset,
        in_flight=reply.in_flight,
        profiles=' '.join(
            f'{held.name}={held.number}' for held in reply.profiles
        ),
        coordinates=' '.join(
            held.service for held in reply.services if held.has_authority
        ),
    )

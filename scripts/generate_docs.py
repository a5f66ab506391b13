"""Write the tables of the docs from the code that they describe."""

import functools
import operator
import pathlib
import re
import sys
import typing

import annotated_types
import pydantic
from typer import main as typer_main

from sycamoreferry_core import profiles, result_codes
from sycamoreferry_ctl import cli, exit_status
from sycamoreferry_router import metrics, settings

DOCS = pathlib.Path(__file__).parents[1] / 'docs'
ANY_BOUND = '-'

_SECTION = re.compile(
    r'(<!-- generated: ([a-z-]+) -->\n).*?(<!-- end -->)',
    re.DOTALL,
)
_UNITS = (
    ('_ms', 'milliseconds'),
    ('_mb', 'MB'),
    ('_bytes', 'bytes'),
    ('_share', 'share of 1'),
    ('_port', 'port'),
    ('_per_hour', 'count an hour'),
    ('_url', 'URL'),
)

Model = type[pydantic.BaseModel]


class Field(typing.NamedTuple):
    """Hold one field of a model."""

    path: str
    unit: str
    default: str
    bound: str


def format_table(
    heads: typing.Sequence[str],
    rows: typing.Iterable[typing.Sequence[object]],
) -> str:
    """Return a table in Markdown."""
    lines = [heads, ['---'] * len(heads), *rows]
    return ''.join(f'| {" | ".join(map(str, line))} |\n' for line in lines)


def list_result_codes() -> str:
    """Return the table of result codes."""
    return format_table(
        ('code', 'name', 'status', 'summary', 'what to do'),
        [
            (int(code), code.name, means.status, means.summary, means.advice)
            for code, means in sorted(result_codes.MEANINGS.items())
        ],
    )


def list_metrics() -> str:
    """Return the table of metrics."""
    return format_table(
        ('metric', 'kind', 'meaning'),
        [
            (f'`{each.name}`', each.kind.value, each.doc)
            for each in sorted(
                metrics.Metrics().registry.get_all(),
                key=operator.attrgetter('name'),
            )
        ],
    )


def list_statuses() -> str:
    """Return the table of the statuses of ferryctl."""
    return format_table(
        ('status', 'meaning'),
        [
            (int(status), meaning)
            for status, meaning in exit_status.MEANINGS.items()
        ],
    )


def list_commands() -> str:
    """Return the table of the commands of ferryctl."""
    return format_table(
        ('command', 'what it does', 'example'),
        _walk_commands(typer_main.get_command(cli.app), 'ferryctl'),
    )


def _walk_commands(
    command: typing.Any,
    path: str,
) -> typing.Iterator[tuple[str, str, str]]:
    commands = getattr(command, 'commands', None)
    if commands is None:
        summary, _, _ = command.help.partition('\n')
        example = command.epilog.removeprefix('Example: ')
        yield f'`{path}`', summary, f'`{example}`'
        return
    for name, nested in sorted(commands.items()):
        yield from _walk_commands(nested, f'{path} {name}')


def list_fields(model: Model) -> str:
    """Return the table of every field of a model."""
    return format_table(Field._fields, _walk_model(model, ''))


def _walk_model(model: Model, prefix: str) -> typing.Iterator[Field]:
    for name, info in model.model_fields.items():
        yield from _walk_field(f'{prefix}{name}', name, info)


def _walk_field(
    path: str,
    name: str,
    info: pydantic.fields.FieldInfo,
) -> typing.Iterator[Field]:
    nested = info.annotation
    if typing.get_origin(nested) is tuple:
        nested, _ = typing.get_args(nested)
        yield Field(f'`{path}`', 'list', _default_of(info), _bound_of(info))
        path = f'{path}[]'
    if isinstance(nested, type) and issubclass(nested, pydantic.BaseModel):
        yield from _walk_model(nested, f'{path}.')
    elif not path.endswith('[]'):
        yield Field(
            f'`{path}`',
            _unit_of(name, info),
            _default_of(info),
            _bound_of(info),
        )


def _unit_of(name: str, info: pydantic.fields.FieldInfo) -> str:
    for suffix, unit in _UNITS:
        if name.endswith(suffix):
            return unit
    return {int: 'count', float: 'ratio', bool: 'flag'}.get(
        typing.cast(type, info.annotation),
        'text',
    )


def _default_of(info: pydantic.fields.FieldInfo) -> str:
    if info.is_required():
        return 'required'
    if isinstance(info.default, tuple) and not info.default:
        return 'none'
    return f'`{str(info.default).lower()}`'


def _bound_of(info: pydantic.fields.FieldInfo) -> str:
    if typing.get_origin(info.annotation) is typing.Literal:
        return ', '.join(typing.get_args(info.annotation))
    bounds = [_describe_bound(each) for each in info.metadata]
    return ', '.join(filter(None, bounds)) or ANY_BOUND


@functools.singledispatch
def _describe_bound(constraint: object) -> str:
    pattern = getattr(constraint, 'pattern', None)
    escaped = str(pattern).replace('|', r'\|')
    return f'matches `{escaped}`' if pattern else ''


@_describe_bound.register
def _describe_gt(constraint: annotated_types.Gt) -> str:
    return f'> {constraint.gt}'


@_describe_bound.register
def _describe_ge(constraint: annotated_types.Ge) -> str:
    return f'>= {constraint.ge}'


@_describe_bound.register
def _describe_le(constraint: annotated_types.Le) -> str:
    return f'<= {constraint.le}'


@_describe_bound.register
def _describe_length(constraint: annotated_types.MinLen) -> str:
    return f'at least {constraint.min_length}'


_Lister = typing.Callable[[], str]

LISTERS: dict[str, _Lister] = {
    'result-codes': list_result_codes,
    'metrics': list_metrics,
    'statuses': list_statuses,
    'commands': list_commands,
    'settings': functools.partial(list_fields, settings.Settings),
    'profile': functools.partial(list_fields, profiles.Profile),
}


def fill(page: str) -> str:
    """Return a page with its generated sections written anew."""
    return _SECTION.sub(_fill_section, page)


def _fill_section(found: re.Match[str]) -> str:
    head, name, end = found.groups()
    return f'{head}{LISTERS[name]()}{end}'


def main(check_only: bool) -> int:
    """Write every page that is stale; return 1 where any was."""
    stale = []
    for path in sorted(DOCS.rglob('*.md')):
        before = path.read_text()
        after = fill(before)
        if before != after:
            stale.append(path.name)
            if not check_only:
                path.write_text(after)
    if check_only and stale:
        sys.stderr.write(f'run scripts/docs: {", ".join(stale)}\n')
    return int(check_only and bool(stale))


if __name__ == '__main__':
    sys.exit(main('--check' in sys.argv[1:]))

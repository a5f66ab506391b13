"""Tell two profiles apart, field by field."""

import typing

import msgspec

from sycamoreferry_core import profiles


class Difference(msgspec.Struct, frozen=True):
    """Hold a field whose value differs."""

    field: str
    in_force: str
    proposed: str


def compare(
    in_force: profiles.Profile | None,
    proposed: profiles.Profile,
) -> tuple[Difference, ...]:
    """Return the fields that differ, in the order of their names."""
    before = _flatten(in_force.model_dump(mode='json')) if in_force else {}
    after = _flatten(proposed.model_dump(mode='json'))
    return tuple(
        Difference(field, before.get(field, '-'), after.get(field, '-'))
        for field in sorted(before.keys() | after.keys())
        if before.get(field) != after.get(field)
    )


def _flatten(content: object, path: str = '') -> dict[str, str]:
    if isinstance(content, dict):
        return _flatten_all(content.items(), path)
    if isinstance(content, list) and content:
        return _flatten_all(enumerate(content), path)
    return {path: str(content)}


def _flatten_all(
    entries: typing.Iterable[tuple[object, object]],
    path: str,
) -> dict[str, str]:
    flat: dict[str, str] = {}
    for name, content in entries:
        flat.update(_flatten(content, f'{path}.{name}' if path else str(name)))
    return flat

import pathlib
import re
import subprocess
import sys

import pytest

ROOT = pathlib.Path(__file__).parents[3]
PAGES = (ROOT / 'README.md', *sorted((ROOT / 'docs').rglob('*.md')))
LINK = re.compile(r'\[[^]]*\]\(([^)#\s]+)(?:#[^)\s]*)?\)')
TEST_ID = re.compile(r'((?:[\w./-]*?)test_\w+\.py)(?:::(test_\w+))?')
BARE_ID = re.compile(r'`(test_\w+)(?:\[[^`]*\])?`')
TRACE_NAME = re.compile(r'traces/[\w/-]+\.\w+')


def missing_links(page: pathlib.Path, text: str) -> list[str]:
    return [
        link
        for link in LINK.findall(text)
        if '://' not in link and not (page.parent / link).exists()
    ]


def _defines(source: str, name: str) -> bool:
    if not name:
        return bool(source)
    state_machine = re.search(rf'^{name} = \w+\.TestCase$', source, re.M)
    return f'def {name}(' in source or state_machine is not None


def missing_tests(text: str, sources: dict[str, str]) -> list[str]:
    missing = []
    for path, function in TEST_ID.findall(text):
        held = [
            source
            for known, source in sources.items()
            if f'/{known}'.endswith(f'/{path}')
        ]
        if not any(_defines(source, function) for source in held):
            missing.append(f'{path}::{function}')
    everything = '\n'.join(sources.values())
    missing.extend(
        name for name in BARE_ID.findall(text) if not _defines(everything, name)
    )
    return missing


def _sources() -> dict[str, str]:
    return {
        str(path.relative_to(ROOT)): path.read_text()
        for path in ROOT.glob('packages/*/tests/**/test_*.py')
    }


@pytest.mark.parametrize('page', PAGES, ids=lambda page: page.name)
def test_links_resolve(page: pathlib.Path) -> None:
    assert not missing_links(page, page.read_text())


def _trace_exists(name: str) -> bool:
    return (ROOT / name).exists() or any(ROOT.glob(f'packages/*/tests/{name}'))


def test_proofs_name_tests_and_traces_that_exist() -> None:
    text = (ROOT / 'docs' / 'PROOFS.md').read_text()
    assert not missing_tests(text, _sources())
    for name in TRACE_NAME.findall(text):
        assert _trace_exists(name), name


def test_generated_tables_match_the_code() -> None:
    checked = subprocess.run(
        (sys.executable, ROOT / 'scripts' / 'generate_docs.py', '--check'),
        check=False,
        capture_output=True,
        text=True,
    )
    assert checked.returncode == 0, checked.stderr


@pytest.mark.parametrize(
    ('text', 'missing'),
    [
        ('`test_docs.py::test_links_resolve`', 0),
        ('packages/standins/tests/test_docs.py::test_links_resolve[a]', 0),
        ('`test_docs.py`', 0),
        ('`test_links_resolve`', 0),
        ('test_docs.py::test_nothing', 1),
        ('packages/core/tests/test_docs.py::test_links_resolve', 1),
        ('`test_nothing`', 1),
        ('test_nowhere.py', 1),
    ],
)
def test_missing_test_ids_are_seen(text: str, missing: int) -> None:
    assert len(missing_tests(text, _sources())) == missing


def test_missing_links_are_seen() -> None:
    page = ROOT / 'README.md'
    assert missing_links(page, '[a](docs/NONE.md) [b](docs/PROOFS.md#a)') == [
        'docs/NONE.md',
    ]

"""The introductory pages refer to modules and types that exist."""

import ast
import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[2]
PACKAGE = ROOT / "thistleusher"
PAGES = ("docs/architecture.md", "docs/glossary.md")
CODE_SPAN = re.compile(r"`([^`]+)`")
FENCED_BLOCK = re.compile(r"^```.*?^```$", re.M | re.S)
DOTTED_NAME = re.compile(r"[a-z_]+(\.[A-Za-z_]+)+")
OUTSIDE = {"python", "docs", "deploy", "tests", "benchmarks", "soak", "standins", "simnet"}


def current_text(page: str) -> str:
    """Return a page without fenced blocks and without the column of former names in tables of renames."""
    lines = FENCED_BLOCK.sub("", (ROOT / page).read_text()).splitlines()
    former = False
    kept = []
    for line in lines:
        if line.startswith("| was |"):
            former = True
        elif not line.startswith("|"):
            former = False
        kept.append("|".join(line.split("|")[2:]) if former else line)
    return "\n".join(kept)


def names_on(page: str) -> set[str]:
    """Return the dotted names of the product's modules and their members in a page's code spans."""
    spans = {span.removeprefix("thistleusher.") for span in CODE_SPAN.findall(current_text(page))}
    dotted = {span for span in spans if DOTTED_NAME.fullmatch(span) and not span.endswith((".md", ".py", ".toml"))}
    return {name for name in dotted if name.split(".")[0] not in OUTSIDE}


def members_of(file: Path) -> set[str]:
    """Return the names that a module defines or imports at top level, and its classes' members as `Class.member`."""
    members = set()
    for node in ast.parse(file.read_text()).body:
        if isinstance(node, ast.ClassDef | ast.FunctionDef | ast.AsyncFunctionDef):
            members.add(node.name)
        if isinstance(node, ast.ClassDef):
            members |= {f"{node.name}.{name}" for name in class_members(node)}
        if isinstance(node, ast.Assign):
            members |= {target.id for target in node.targets if isinstance(target, ast.Name)}
        if isinstance(node, ast.ImportFrom):
            members |= {alias.name for alias in node.names}
    return members


def class_members(node: ast.ClassDef) -> set[str]:
    """Return the names of a class's methods and declared fields."""
    methods = {each.name for each in node.body if isinstance(each, ast.FunctionDef | ast.AsyncFunctionDef)}
    fields = {
        each.target.id for each in node.body if isinstance(each, ast.AnnAssign) and isinstance(each.target, ast.Name)
    }
    return methods | fields


def exists(name: str) -> bool:
    """Return whether a dotted name denotes a module or a member of a module."""
    parts = name.split(".")
    for length in range(len(parts), 0, -1):
        path = PACKAGE.joinpath(*parts[:length])
        member = ".".join(parts[length:])
        if path.is_dir():
            return not member or member in members_of(path / "__init__.py")
        if path.with_suffix(".py").exists():
            return not member or member in members_of(path.with_suffix(".py"))
    return False


@pytest.mark.parametrize("page", PAGES)
def test_a_page_names_modules_and_types_that_exist(page):
    names = names_on(page)
    assert len(names) > 10
    assert sorted(name for name in names if not exists(name)) == []


@pytest.mark.parametrize("name", ["proxy.no_such_module", "core.driver.NoSuchType", "no_such_package.module"])
def test_a_name_that_does_not_exist_is_seen(name):
    assert not exists(name)

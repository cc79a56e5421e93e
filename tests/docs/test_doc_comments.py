"""Code spans in the product's doc comments refer to types, constants, modules and members that exist.

Only spans that look like the name of a type (`CamelCase`), a constant (`UPPER_CASE`), a member of a type
(`Type.member`) or a module (`package.module`, or `module` of the same package with a member) are checked. Other spans
hold names of parameters and fields, values or texts, and cannot be told apart by their form.
"""

import ast
import builtins
import functools
import re
from collections.abc import Iterator
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[2]
PACKAGE = ROOT / "thistleusher"
FILES = sorted(PACKAGE.rglob("*.py"))
CODE_SPAN = re.compile(r"`([^`]+)`")
ARGUMENTS = re.compile(r"\([^()]*\)$")
TYPE = re.compile(r"[A-Z][A-Za-z0-9]*[a-z][A-Za-z0-9]*")
CONSTANT = re.compile(r"[A-Z][A-Z0-9]+(_[A-Z0-9]+)*")
DOTTED_NAME = re.compile(r"[A-Za-z_]\w*(\.[A-Za-z_]\w*)+")
NOT_OURS = {"Connection", "PROXY_CONFIG"}  # an HTTP header and an environment variable
DOCUMENTED = ast.Module | ast.ClassDef | ast.FunctionDef | ast.AsyncFunctionDef


@functools.cache
def tree_of(file: Path) -> ast.Module:
    """Return a file's syntax tree."""
    return ast.parse(file.read_text())


def doc_comments(tree: ast.Module) -> Iterator[str]:
    """Return the doc comments of a module and of its types and functions."""
    return (ast.get_docstring(node) or "" for node in ast.walk(tree) if isinstance(node, DOCUMENTED))


def spans_of(tree: ast.Module) -> set[str]:
    """Return the code spans of a module's doc comments; a call is reduced to the name of the called function."""
    return {ARGUMENTS.sub("", span) for text in doc_comments(tree) for span in CODE_SPAN.findall(text)}


def assigned_names(body: list[ast.stmt]) -> set[str]:
    """Return the names that statements assign, including names in tuples of targets."""
    targets = [target for node in body if isinstance(node, ast.Assign) for target in node.targets]
    targets += [node.target for node in body if isinstance(node, ast.AnnAssign)]
    return {each.id for target in targets for each in ast.walk(target) if isinstance(each, ast.Name)}


def defined_names(body: list[ast.stmt]) -> set[str]:
    """Return the names that statements define, assign or import."""
    names = assigned_names(body)
    for node in body:
        if isinstance(node, ast.ClassDef | ast.FunctionDef | ast.AsyncFunctionDef):
            names.add(node.name)
        if isinstance(node, ast.Import | ast.ImportFrom):
            names |= {alias.asname or alias.name for alias in node.names}
        if isinstance(node, ast.If):  # imports used only for type checks
            names |= defined_names(node.body)
    return names


def own_members(node: ast.ClassDef) -> set[str]:
    """Return the names of a class's methods, fields, and attributes assigned in methods."""
    attributes = {
        each.attr
        for each in ast.walk(node)
        if isinstance(each, ast.Attribute) and isinstance(each.ctx, ast.Store) and ast.unparse(each.value) == "self"
    }
    return defined_names(node.body) | attributes


@functools.cache
def classes() -> dict[str, list[ast.ClassDef]]:
    """Return the product's classes by name."""
    found: dict[str, list[ast.ClassDef]] = {}
    for file in FILES:
        for node in ast.walk(tree_of(file)):
            if isinstance(node, ast.ClassDef):
                found.setdefault(node.name, []).append(node)
    return found


def members_of_class(name: str) -> set[str]:
    """Return the members of all classes with a given name, including members inherited from the product's classes."""
    members = set()
    for node in classes().get(name, []):
        members |= own_members(node)
        for base in node.bases:
            members |= members_of_class(ast.unparse(base).rpartition(".")[2])
    return members


@functools.cache
def known_names() -> set[str]:
    """Return all types, constants and imported names of the product."""
    names = set(dir(builtins))
    for file in FILES:
        names |= defined_names(tree_of(file).body)
    for nodes in classes().values():
        for node in nodes:
            names |= {node.name} | defined_names(node.body)
    return names


def is_module(parts: list[str]) -> bool:
    """Return whether a package or module exists at a path below the product's package."""
    path = PACKAGE.joinpath(*parts)
    return path.is_dir() or path.with_suffix(".py").is_file()


def resolves(parts: list[str]) -> bool:
    """Return whether a dotted path names a module, a member of a module, or a member of a class in a module."""
    for length in range(len(parts), 0, -1):
        if not is_module(parts[:length]):
            continue
        rest = parts[length:]
        path = PACKAGE.joinpath(*parts[:length])
        tree = tree_of(path / "__init__.py" if path.is_dir() else path.with_suffix(".py"))
        known = not rest or rest[0] in defined_names(tree.body)
        return known and (len(rest) < 2 or (len(rest) == 2 and rest[1] in members_of_class(rest[0])))
    return False


@functools.cache
def module_names() -> set[str]:
    """Return the last names of the product's packages and modules."""
    return {file.stem for file in FILES} | {file.parent.name for file in FILES}


def exists(span: str, file: Path) -> bool:
    """Return whether a dotted name in a file's doc comments exists.

    A module may be named relative to the product's package or to the file's own package. A name that starts with
    neither a module nor a type is accepted: it denotes an external object, such as `loop.time`, or a placeholder.
    """
    parts = span.removeprefix("thistleusher.").split(".")
    if TYPE.fullmatch(parts[0]):
        return len(parts) == 2 and parts[1] in members_of_class(parts[0])
    own_package = list(file.relative_to(PACKAGE).parent.parts)
    if resolves(parts) or (own_package and resolves(own_package + parts)):
        return True
    return parts[0] not in module_names() and not span.startswith("thistleusher.")


def wrong_spans(spans: set[str], file: Path) -> list[str]:
    """Return the spans that look like a name of the product but do not exist in it."""
    plain = {span for span in spans if TYPE.fullmatch(span) or CONSTANT.fullmatch(span)}
    dotted = {span for span in spans if DOTTED_NAME.fullmatch(span)}
    wrong = plain - known_names() - NOT_OURS
    return sorted(wrong | {span for span in dotted if not exists(span, file)})


@pytest.mark.parametrize("file", FILES, ids=lambda file: str(file.relative_to(PACKAGE)))
def test_doc_comments_name_what_exists(file):
    assert wrong_spans(spans_of(tree_of(file)), file) == []


def test_spans_are_found():
    """Guards against an extraction that finds no spans, with which the test above would always pass."""
    spans = set().union(*(spans_of(tree_of(file)) for file in FILES))
    assert sum(bool(TYPE.fullmatch(span)) for span in spans) > 30
    assert sum(bool(CONSTANT.fullmatch(span)) for span in spans) > 50
    assert sum(bool(DOTTED_NAME.fullmatch(span)) for span in spans) > 30


@pytest.mark.parametrize(
    "span",
    [
        "NoSuchType",
        "NO_SUCH_CONSTANT",
        "StateCopy.no_such_member",
        "StateCopy.apply.more",
        "state_copy.NoSuchType",
        "control.no_such_module",
        "control.state_copy.NoSuchType",
        "control.state_copy.StateCopy.no_such_member",
        "validation.InvalidConfigurationError",
        "thistleusher.no_such_package",
    ],
)
def test_a_name_that_does_not_exist_is_seen(span):
    assert wrong_spans({span}, PACKAGE / "control" / "node.py") == [span]


@pytest.mark.parametrize(
    "span",
    [
        "StateCopy",
        "MAX_HISTORY",
        "StateCopy.apply",
        "StateCopy.position",
        "state_copy.StateCopy",
        "control.state_copy",
        "control.state_copy.StateCopy.apply",
        "thistleusher.configuration.validation.InvalidConfigurationError",
        "loop.time",
        "section.key",
    ],
)
def test_a_name_that_exists_passes(span):
    assert wrong_spans({span}, PACKAGE / "control" / "node.py") == []

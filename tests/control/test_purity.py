"""Only the runtime of the control process uses sockets, clocks, threads and disks."""

import ast
from pathlib import Path

import pytest

CONTROL = Path(__file__).resolve().parents[2] / "thistleusher" / "control"
RUNTIME = {"program.py", "storage.py", "store_check.py", "store_file.py", "store_opener.py"}
IO_MODULES = {"asyncio", "lmdb", "os", "queue", "select", "socket", "subprocess", "threading", "time"}


def imported(path: Path) -> set[str]:
    """Return the top-level names of the modules that a file imports."""
    names = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            names |= {alias.name.partition(".")[0] for alias in node.names}
        elif isinstance(node, ast.ImportFrom) and node.module:
            names.add(node.module.partition(".")[0])
    return names


@pytest.mark.parametrize("path", sorted(CONTROL.glob("*.py")), ids=lambda path: path.name)
def test_only_the_runtime_imports_what_does_input_and_output(path):
    assert bool(imported(path) & IO_MODULES) == (path.name in RUNTIME)

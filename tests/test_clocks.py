"""No test result depends on the time of day: tests use scripted clocks, and `ALLOWED` justifies each exception."""

from __future__ import annotations

import ast
from pathlib import Path

WALL = {("time", "time"), ("time", "time_ns"), ("datetime", "now"), ("datetime", "utcnow"), ("date", "today")}
ALLOWED = {
    "tests/net/sockets.py": "records of real sockets are on the real clock",
    "tests/embed/program.py": "the clock is moved to the middle of a window by its caller",
    "tests/embed/test_crash.py": "moves the clock to the middle of a window",
    "tests/embed/test_both_forms.py": "asserts that the scripted clock is no real one",
}


def readers(path: Path) -> set[int]:
    """Return the line numbers in a file that refer to a wall clock."""
    return {
        node.lineno
        for node in ast.walk(ast.parse(path.read_text()))
        if isinstance(node, ast.Attribute) and isinstance(node.value, ast.Name) and (node.value.id, node.attr) in WALL
    }


def test_only_those_that_say_why_read_the_wall_clock():
    found = {str(p): readers(p) for p in sorted(Path("tests").rglob("*.py"))}
    assert {p for p, lines in found.items() if lines} == set(ALLOWED)


def test_a_reader_is_seen(tmp_path):
    path = tmp_path / "x.py"
    path.write_text(
        "import time\nfrom datetime import datetime\n" "a = time.monotonic()\nb = time.time()\nc = datetime.now()\n"
    )
    assert readers(path) == {4, 5}

"""Each source text that a fault of `benchmarks.control_faults` changes must occur in the sources exactly once.

These tests are not among the tests in `NAMED_TESTS`, as any inserted fault makes them fail.
"""

from pathlib import Path

import pytest

from benchmarks.control_faults import FAULTS
from benchmarks.simnet_faults import NAMED_TESTS

ROOT = Path(__file__).resolve().parents[2]


@pytest.mark.parametrize("fault", FAULTS, ids=lambda f: f.name)
def test_the_lines_that_deliberate_faults_change_are_there(fault):
    sources = [path.read_text() for path in (ROOT / "thistleusher" / "control").glob("*.py")]
    assert all(sum(source.count(correct) for source in sources) == 1 for correct, _ in fault.edits)


@pytest.mark.parametrize("name", NAMED_TESTS)
def test_the_named_tests_are_there(name):
    """A missing file would end pytest with an error, which `find_by_tests` would report as a detected fault."""
    assert (ROOT / "tests" / name).exists()


def test_the_check_of_the_lines_finds_no_fault():
    assert not any(Path(__file__).is_relative_to(ROOT / "tests" / name) for name in NAMED_TESTS)

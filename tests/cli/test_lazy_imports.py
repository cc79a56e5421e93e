"""Modules that must not be imported at a start, because every import delays a restart while clients wait."""

import subprocess
import sys

import pytest

LIBRARIES = {"cappa", "rich", "pydantic"}
ONE_PROGRAM = """
import sys
sys.argv = ["system", "{program}"]
import thistleusher.system
try:
    thistleusher.system.main()
except SystemExit as end:
    assert end.code == 2
"""


def run_and_check(code, unwanted):
    code += f"\nimport sys\nloaded = {sorted(unwanted)}\nassert not set(loaded) & set(sys.modules)\n"
    env = {"THISTLEUSHER_NODE_FILE": "/nonexistent"}
    subprocess.run([sys.executable, "-c", code], check=True, timeout=60, env=env)


@pytest.mark.parametrize("program", ["proxy", "control", "registry"])
def test_a_bare_programs_name_loads_no_command_line(program):
    run_and_check(ONE_PROGRAM.format(program=program), LIBRARIES | {"thistleusher.cli"})


def test_one_ingress_alone_loads_no_command_line_and_no_operators_file():
    unwanted = LIBRARIES | {"absl", "msgspec", "sqlite3", "thistleusher.cli", "thistleusher.operator_file.reader"}
    run_and_check("import thistleusher.__main__", unwanted)

"""The output of the bound command, and the inputs with which the bound grows."""

from __future__ import annotations

import json
import subprocess
import sys

import pytest

from standins.fleet_options import Options, settings
from thistleusher.core.settings_parser import nested_settings
from thistleusher.quota.bound import Assumptions, bound_of


def test_bound_command_prints_figures_by_plan_and_reports_errors(tmp_path):
    path = tmp_path / "config.json"
    path.write_text(json.dumps({"settings": settings(Options(), 0)}))

    def bound(*args):
        done = subprocess.run(
            [sys.executable, "-m", "thistleusher", "bound", *args], capture_output=True, text=True, timeout=60
        )
        return done.returncode, done.stdout, done.stderr

    code, out, error = bound(str(path), "--outage", "30")
    assert code == 0 and not error
    parsed, _ = nested_settings(settings(Options(), 0))
    b = bound_of(parsed, parsed.plans[1], Assumptions(0.05, 0.05, outage=30.0))
    assert f"ceiling by {b.ceiling_restart:.1f} at most" in out and "36.0 (a full quota: 36.0), 65.0" in out
    row = [line for line in out.splitlines() if line.startswith("plus") and " 3 " in line][0].split()
    assert row == ["plus", "3", *(f"{x:.1f}" for x in (b.quota_in_touch, b.quota_cut_off, b.quota_split, b.ceiling))]
    out = bound(str(path), "--folders")[1]
    persistent = bound_of(parsed, parsed.plans[1], Assumptions(0.05, 0.05, folders=True))
    assert (
        persistent.ceiling_restart < b.ceiling_restart and f"ceiling by {persistent.ceiling_restart:.1f} at most" in out
    )
    assert "counted twice" in out
    assert bound(str(path), "--loss", "1")[0] == 2
    code, out, error = bound(str(tmp_path / "none"))
    assert code == 2 and not out and error.count("\n") == 1 and "none" in error
    path.write_text("{}")
    assert "settings: missing" in bound(str(path))[2]
    assert bound("-h")[0] == 0


def test_an_unknown_command_is_answered_with_the_usage():
    done = subprocess.run([sys.executable, "-m", "thistleusher", "sevre"], capture_output=True, text=True, timeout=60)
    assert done.returncode == 2 and "Invalid command 'sevre'" in done.stderr and done.stderr.count("\n") == 1
    done = subprocess.run([sys.executable, "-m", "thistleusher", "--help"], capture_output=True, text=True, timeout=60)
    assert done.returncode == 0 and "bound" in done.stdout


@pytest.mark.parametrize("assumed", [dict(loss=1.0), dict(loss=-0.1), dict(delay=-1.0), dict(outage=float("nan"))])
def test_impossible_assumptions_are_rejected(assumed):
    with pytest.raises(ValueError, match="expected"):
        Assumptions(**assumed)


def test_bound_grows_with_its_inputs_and_is_zero_for_one_ingress():
    parsed, _ = nested_settings(settings(Options(), 0))
    plus = parsed.plans[1]
    base = bound_of(parsed, plus, Assumptions())
    assert bound_of(parsed, plus, Assumptions(loss=0.2)).quota_in_touch > base.quota_in_touch
    assert bound_of(parsed, plus, Assumptions(outage=120.0)).quota_cut_off > base.quota_cut_off
    assert bound_of(parsed, plus, Assumptions(outage=120.0)).ceiling == base.ceiling
    assert bound_of(parsed, plus, Assumptions(skew=1.0)).ceiling > base.ceiling
    assert bound_of(parsed, plus, Assumptions(), 2).ceiling < base.ceiling < 104
    assert (
        bound_of(parsed, plus, Assumptions(), 1).ceiling
        == 0.0
        == bound_of(parsed, plus, Assumptions(), 1).quota_in_touch
    )

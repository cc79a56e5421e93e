"""Builds what the programs of the system need, in `target/deps`: `python3 deploy/build.py`, from any folder.

A build is kept if its stamp names these requirements and this kind of machine and Python: a folder carried over
from another one holds libraries that cannot be loaded here. A new build is made beside the old one, has to load all
three programs, and only then takes its place, so that one that broke off is never taken for whole.

Exit codes: 0 built, 1 not.
"""

from __future__ import annotations

import hashlib
import os
import shutil
import subprocess
import sys
import sysconfig
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
REQUIREMENTS = ("requirements-system.txt", "requirements.txt")  # the first includes the second
PROGRAMS = ("control", "registry", "proxy")
STAMP_NAME = ".built-for"


def expected_stamp(root: Path) -> str:
    """Return the stamp of a build of these requirements for this machine and Python."""
    requirements = hashlib.sha256(b"\0".join((root / name).read_bytes() for name in REQUIREMENTS)).hexdigest()
    abi = sysconfig.get_config_var("SOABI") or sys.implementation.cache_tag
    return f"{requirements} {sysconfig.get_platform()} {abi}\n"


def is_built(root: Path) -> bool:
    """Return whether `target/deps` holds a complete build for this machine."""
    try:
        return (root / "target" / "deps" / STAMP_NAME).read_text() == expected_stamp(root)
    except (OSError, ValueError):
        return False


def install(root: Path, folder: Path) -> bool:
    """Install the requirements into a folder; return whether that succeeded."""
    options = ("-q", "--disable-pip-version-check", "--target", str(folder), "-r", str(root / REQUIREMENTS[0]))
    return subprocess.run([sys.executable, "-m", "pip", "install", *options]).returncode == 0


def loads(root: Path, folder: Path) -> bool:
    """Return whether the three programs can be loaded with the libraries in a folder."""
    source = "; ".join(f"import thistleusher.{program}.program" for program in PROGRAMS)
    environment = {**os.environ, "PYTHONPATH": str(folder)}
    return subprocess.run([sys.executable, "-S", "-c", source], cwd=root, env=environment).returncode == 0


def build(root: Path) -> bool:
    """Make the build unless it is there; return whether it is there now."""
    if is_built(root):
        return True
    built, new = root / "target" / "deps", root / "target" / "deps.new"
    shutil.rmtree(new, ignore_errors=True)
    new.mkdir(parents=True)
    if not install(root, new):
        print("deploy/build.py: the requirements cannot be installed", file=sys.stderr)
        return False
    if not loads(root, new):
        print("deploy/build.py: the programs cannot be loaded with what was installed", file=sys.stderr)
        return False
    (new / STAMP_NAME).write_text(expected_stamp(root))
    shutil.rmtree(built, ignore_errors=True)
    new.rename(built)
    return True


if __name__ == "__main__":
    sys.exit(0 if build(ROOT) else 1)

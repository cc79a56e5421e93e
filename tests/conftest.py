"""Fixtures that let tests of several packages run in parallel processes."""

from __future__ import annotations

import fcntl
import tempfile
from pathlib import Path

import pytest

SYSTEM_LOCK = Path(tempfile.gettempdir()) / "thistleusher-tests-system.lock"


@pytest.fixture
def system_addresses():
    """Reserve the fixed addresses of `standins.system` for one test; waits until no other test process uses them."""
    with SYSTEM_LOCK.open("w") as lock:
        fcntl.flock(lock, fcntl.LOCK_EX)
        yield

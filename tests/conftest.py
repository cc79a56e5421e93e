"""What tests of several packages share so that they can run in several processes at once."""

from __future__ import annotations

import fcntl
import tempfile
from pathlib import Path

import pytest

SYSTEM_LOCK = Path(tempfile.gettempdir()) / "thistleusher-tests-system.lock"


@pytest.fixture
def system_addresses():
    """Wait until no other test process uses the fixed addresses of `standins.system`; hold them for one test."""
    with SYSTEM_LOCK.open("w") as lock:
        fcntl.flock(lock, fcntl.LOCK_EX)
        yield

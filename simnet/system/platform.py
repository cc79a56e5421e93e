"""The simulated platform API, which serves the backend list over HTTP.

The list is split into pages. Rows may move from one page to another between two calls.
"""

from __future__ import annotations

import json
import random
import re
from typing import Any

from simnet.clock import Clock
from simnet.system.backends import Backend, Backends
from simnet.system.topology import SERVICE

LIST_LAG_S = 0.8  # delay from a change of a backend until the list shows it
PAGE_ROWS = 3
CAPACITY = 6
BAD_SHARE = 0.03  # fraction of calls that get one of `BAD_ANSWERS`
BAD_ANSWERS = ((429, b""), (200, b'{"instances": ['), (500, b""))
NO_ANSWER = (0, b"")  # result of a call while the platform is down


class Platform:
    """Answers calls for the backend list."""

    def __init__(self, clock: Clock, rng: random.Random, backends: Backends) -> None:
        self.down_until = 0.0
        self.calls_to_lose = 0  # number of next calls whose callers never get a result or an error
        self._clock = clock
        self._rng = rng
        self._backends = backends

    def is_up(self) -> bool:
        """Return whether the platform answers calls now."""
        return self._clock.now >= self.down_until

    def loses_call(self) -> bool:
        """Return whether the call that begins now gets no result, and count it."""
        if self.calls_to_lose == 0:
            return False
        self.calls_to_lose -= 1
        return True

    def respond(self, target: str) -> tuple[int, bytes]:
        """Return the HTTP status and body for a path with its query.

        The status is 0 while the platform is down. A random fraction of the calls, `BAD_SHARE`, is rate-limited, fails
        with status 500 or gets a truncated body.
        """
        if not self.is_up():
            return NO_ANSWER
        if self._rng.random() < BAD_SHARE:
            return self._rng.choice(BAD_ANSWERS)
        rows = [self._row(backend) for backend in self._backends.listed()]
        token = re.search(r"page_token=p-(\d+)", target)
        begin = int(token[1]) if token else 0
        end = begin + PAGE_ROWS
        next_token = f"p-{end}" if end < len(rows) else None
        return 200, json.dumps({"instances": rows[begin:end], "next_token": next_token}).encode()

    def _row(self, backend: Backend) -> dict[str, Any]:
        since = backend.draining_since
        return {
            "target": SERVICE,
            "id": backend.name,
            "address": f"10.9.0.{backend.number + 1}:80",
            "zone": backend.zone,
            "capacity": CAPACITY,
            "phase": "draining" if since is not None and self._clock.now >= since else "ready",
        }

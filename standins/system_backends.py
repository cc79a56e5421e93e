"""Stand-ins for the backends of the whole system and for the platform that lists them."""

from __future__ import annotations

import asyncio
import json
from typing import Any, NamedTuple

from standins.http import Connection, Message, Service, answer
from standins.system_topology import zone_of

PAGE_ROWS = 4
WORK_S = 0.01
CAPACITY = 6


class Run(NamedTuple):
    """A request that a backend has run."""

    attempt: str
    backend: str
    line: str  # request line


class Backend(Service):
    """A backend: names and seals its answers, and rejects requests that expect another instance."""

    def __init__(self, name: str, service: str, ip: str, runs: list[Run]) -> None:
        super().__init__()
        self.name = name
        self.service = service
        self.host = ip
        self.runs = runs
        self.phase = "ready"
        self.tenants: dict[str, int] = {}

    def entry(self) -> dict[str, Any]:
        """Return the backend's entry in the platform's list."""
        return {
            "target": self.service,
            "address": self.address,
            "zone": zone_of(self.host),
            "version": "v1",
            "capacity": CAPACITY,
            "phase": self.phase,
            "cold_left_ms": 0,
            "id": self.name,
        }

    async def handle(self, message: Message, connection: Connection) -> bytes | None:
        """Answer a health check or a request, and record the request."""
        headers = message.headers
        known = {"X-Attempt-Id": headers.get("x-attempt-id", ""), "X-Instance-Id": self.name}
        if headers.get("x-expect-instance", self.name) != self.name:
            return answer(421, b"", {**known, "X-Not-Run": "1"})
        self.runs.append(Run(headers.get("x-attempt-id", ""), self.name, message.line))
        tenant = headers.get("x-tenant", "")
        self.tenants[tenant] = self.tenants.get(tenant, 0) + 1
        await asyncio.sleep(WORK_S)
        return answer(200, b"from " + self.name.encode(), {**known, "X-Server-Seal": f"{self.name}.1"})


class Platform(Service):
    """The platform: serves the backend list in pages of `PAGE_ROWS` entries."""

    def __init__(self, backends: list[Backend]) -> None:
        super().__init__()
        self.backends = backends
        self.calls = 0

    async def handle(self, message: Message, connection: Connection) -> bytes | None:
        """Answer with a page of the list."""
        self.calls += 1
        start = int(message.target.partition("page_token=")[2] or 0)
        rows = [b.entry() for b in self.backends[start : start + PAGE_ROWS]]
        following = str(start + PAGE_ROWS) if start + PAGE_ROWS < len(self.backends) else None
        return answer(200, json.dumps({"instances": rows, "next_token": following}).encode())

"""A small deployment of real processes with lowered limits: one of each program, a platform and a backend."""

from __future__ import annotations

import asyncio
import contextlib
import json
from pathlib import Path
from typing import Any

from standins.caller import Caller
from standins.http import Connection, Message, Service, answer
from tests.system.programs import PORT, Program, addresses

MEMORY_MB = 96
DESCRIPTORS = 600
RESERVED_DESCRIPTORS = 200  # of `fd_limit`, for files: sockets and pipes share the rest
MAX_HEADER_BYTES = 64 * 1024
MAX_BODY_BYTES = 8 * 1024 * 1024
HEADER_TIMEOUT_MS = 4000
MAX_BACKEND_HEAD_BYTES = 1024 * 1024
START_TIMEOUT_S = 20.0
ANSWER_TIMEOUT_S = 20.0  # of the ordinary request after the crowd; no check depends on how long it takes

CONTROL, READY, FRONT, DIRECTORY = PORT, PORT + 1, PORT + 2, PORT + 3
LINKS = {"control": PORT + 4, "registry": PORT + 5, "proxy": PORT + 6}
HOST, KEY = "shop.example", "key-1"
SERVICE = "ledger"
NO_ANSWER = (OSError, EOFError, TimeoutError, ValueError)


class Platform(Service):
    """The platform's list with one backend."""

    def __init__(self, backend: Service) -> None:
        super().__init__()
        self.backend = backend

    async def handle(self, message: Message, connection: Connection) -> bytes | None:
        row = {
            "target": SERVICE,
            "address": self.backend.address,
            "zone": "z-1",
            "version": "v1",
            "capacity": 50,
            "phase": "ready",
            "cold_left_ms": 0,
            "id": "i-1",
        }
        return answer(200, json.dumps({"instances": [row], "next_token": None}).encode())


class Backend(Service):
    """A backend that answers every request, however large its head is."""

    async def start(self, port: int = 0) -> None:
        """Start to listen."""
        self.server = await asyncio.start_server(self._serve, self.host, port, limit=MAX_BACKEND_HEAD_BYTES)
        self.port = self.server.sockets[0].getsockname()[1]

    async def handle(self, message: Message, connection: Connection) -> bytes | None:
        attempt = message.headers.get("x-attempt-id", "")
        return answer(200, b"done", {"X-Attempt-Id": attempt, "X-Instance-Id": "i-1", "X-Server-Seal": "i-1.1"})


def configuration(max_header_bytes: int) -> dict[str, Any]:
    """Return the operator's configuration with the lowered limits."""
    route = {"hostname": HOST, "deadline_ms": 3000, "target_ms": 800, "target": SERVICE, "tries": 2, "public": True}
    return {
        "version": "00000001",
        "routes": {
            "read": {**route, "path_prefix": "/read/", "variant": "pure"},
            "pay": {**route, "path_prefix": "/pay/", "variant": "effectful"},
        },
        "services": {SERVICE: {"health_path": "/health", "max_conns": 100, "warmup_s": 0.0, "cold_per_s": 0.0}},
        "limits": {
            "max_header_bytes": max_header_bytes,
            "max_body_bytes": MAX_BODY_BYTES,
            "header_timeout_ms": HEADER_TIMEOUT_MS,
            "idle_timeout_ms": 15000,
        },
        "tenants": {"large": {"api_keys": [KEY], "rate_per_s": 0, "burst": 0}},
    }


class Deployment:
    """One control, registry and proxy process on one address."""

    def __init__(self, folder: Path, max_header_bytes: int = MAX_HEADER_BYTES) -> None:
        self.folder = folder
        self.max_header_bytes = max_header_bytes
        (self.ip,) = addresses(1)
        self.backend = Backend()
        self.platform = Platform(self.backend)
        self.caller = Caller()
        self.programs: dict[str, Program] = {}
        self.requests = 0

    async def __aenter__(self) -> Deployment:
        await self.backend.start()
        await self.platform.start()
        for name in ("control", "registry", "proxy"):
            self.programs[name] = Program(
                self.folder / name,
                name,
                self.ip,
                (self.ip,),
                (
                    f"limits.mem_mb={MEMORY_MB}",
                    f"limits.fd_limit={DESCRIPTORS}",
                    "tolerance.machines=0",
                    f"cloud_api.address={self.platform.address}",
                    *((f"binds.directory={self.ip}:{DIRECTORY}",) if name == "proxy" else ()),
                ),
            )
            self.programs[name].start()
        await self._until_configured()
        await self._until_served()
        return self

    async def __aexit__(self, *_: object) -> None:
        for program in self.programs.values():
            program.end()
        await self.platform.stop()
        await self.backend.stop()

    async def _until_configured(self) -> None:
        document = json.dumps(configuration(self.max_header_bytes)).encode()
        async with asyncio.timeout(START_TIMEOUT_S):
            while True:
                with contextlib.suppress(*NO_ANSWER):
                    got = await self.caller.call(f"{self.ip}:{CONTROL}", "POST", "/Config.Replace", {}, document)
                    assert got.status in (200, 503), got
                    if got.status == 200:
                        return
                await asyncio.sleep(0.05)

    async def _until_served(self) -> None:
        async with asyncio.timeout(START_TIMEOUT_S):
            while await self.ask() != 200:
                await asyncio.sleep(0.05)

    async def ask(self, path: str = "/read/1", body: bytes = b"") -> int:
        """Send one ordinary request to the proxy; return its status, or 0 if there is no answer."""
        self.requests += 1
        headers = {"Host": HOST, "X-Attempt-Id": f"a{self.requests}", "Authorization": f"Token {KEY}"}
        with contextlib.suppress(*NO_ANSWER):
            method = "POST" if body else "GET"
            return (await self.caller.call(f"{self.ip}:{FRONT}", method, path, headers, body)).status
        return 0

    async def read_configuration(self) -> int:
        """Send one ordinary call to control; return its status, or 0 if there is no answer."""
        with contextlib.suppress(*NO_ANSWER):
            return (await self.caller.call(f"{self.ip}:{CONTROL}", "GET", "/Config.Read")).status
        return 0

    def faults(self) -> list[str]:
        """Return what the processes do that their machine's limits do not allow; print what they took."""
        found = []
        for name, program in self.programs.items():
            assert program.process is not None
            if program.process.poll() is not None:
                found.append(f"{name} ended with {program.process.returncode}")
                continue
            peak_mb = peak_kb(program.process.pid) / 1024
            print(f"{name} took {peak_mb:.0f} MB")
            if peak_mb > MEMORY_MB:
                found.append(f"{name} took {peak_mb:.0f} MB of {MEMORY_MB}")
        return found


def peak_kb(pid: int) -> int:
    """Return the highest resident size of a process, in KiB."""
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    return next(int(line.split()[1]) for line in lines if line.startswith("VmHWM"))


def open_descriptors(pid: int) -> int:
    """Return the number of descriptors that a process holds open."""
    return len(list(Path(f"/proc/{pid}/fd").iterdir()))

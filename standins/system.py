"""The whole system on loopback: three core machines, three proxies, and stand-ins for what is around them.

The stand-ins are the platform, backends, an operator and clients.

Written from the users' pages. Each machine has an address of its own in 127.0.0.0/8. `run` plays a short story,
prints what happens, and ends with a verdict: requests served, a backend drained, a configuration changed, a quota
held, a core machine killed, and that no request ran twice, at the wrong backend or after its route was taken back.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import sys
import tempfile
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from standins.http import Connection, Message, Service, answer, read_message

CORES = ("127.0.41.1", "127.0.41.2", "127.0.42.1")
FRONTS = ("127.0.41.11", "127.0.42.11", "127.0.43.11")
ZONES = {"127.0.41": "z-1", "127.0.42": "z-2", "127.0.43": "z-3"}
REGIONS = {"z-1": "r-1", "z-2": "r-1", "z-3": "r-2"}
CONTROL, FRONT, READY, DIRECTORY = 18381, 18388, 18384, 18383
HOST = "shop.example"


def zone_of(ip: str) -> str:
    """Return the zone that an address is in."""
    return ZONES[ip.rpartition(".")[0]]


class Backend(Service):
    """One backend: says who it is, seals what it answers, turns away what expects another."""

    def __init__(self, name: str, service: str, ip: str, runs: list[tuple[str, str, str]]) -> None:
        super().__init__()
        self.name, self.service, self.host, self.runs = name, service, ip, runs
        self.phase = "ready"
        self.tenants: dict[str, int] = {}

    def entry(self) -> dict[str, Any]:
        """Its line in the platform's list."""
        return {
            "target": self.service,
            "address": self.address,
            "zone": zone_of(self.host),
            "version": "v1",
            "capacity": 6,
            "phase": self.phase,
            "cold_left_ms": 0,
            "id": self.name,
        }

    async def handle(self, message: Message, connection: Connection) -> bytes | None:
        """Answer a health check or a request, and record the request."""
        h = message.headers
        known = {"X-Attempt-Id": h.get("x-attempt-id", ""), "X-Instance-Id": self.name}
        if h.get("x-expect-instance", self.name) != self.name:
            return answer(421, b"", {**known, "X-Not-Run": "1"})
        self.runs.append((h.get("x-attempt-id", ""), self.name, message.line))
        tenant = h.get("x-tenant", "")
        self.tenants[tenant] = self.tenants.get(tenant, 0) + 1
        await asyncio.sleep(0.01)
        return answer(200, b"from " + self.name.encode(), {**known, "X-Server-Seal": f"{self.name}.1"})


class Platform(Service):
    """The platform's list, two backends a page."""

    def __init__(self, backends: list[Backend]) -> None:
        super().__init__()
        self.backends, self.calls = backends, 0

    async def handle(self, message: Message, connection: Connection) -> bytes | None:
        """Answer with a page of the list."""
        self.calls += 1
        start = int(message.target.partition("page_token=")[2] or 0)
        rows = [b.entry() for b in self.backends[start : start + 4]]
        following = str(start + 4) if start + 4 < len(self.backends) else None
        return answer(200, json.dumps({"instances": rows, "next_token": following}).encode())


def configuration(version: int, service: str = "ledger", rate: float = 40.0) -> dict[str, Any]:
    """Return a configuration as an operator sends it."""
    route = {
        "hostname": HOST,
        "variant": "pure",
        "deadline_ms": 3000,
        "target_ms": 800,
        "rank": 1,
        "tries": 2,
        "public": False,
        "regions_allowed": [],
    }
    return {
        "version": f"{version:08x}",
        "routes": {
            "read": {**route, "path_prefix": "/read/", "target": service},
            "pay": {**route, "path_prefix": "/pay/", "variant": "effectful", "target": "ledger"},
        },
        "services": {
            name: {
                "health_path": "/health",
                "max_conns": 100,
                "protocol": "h1",
                "tls": False,
                "warmup_s": 0.0,
                "cold_per_s": 0.0,
            }
            for name in ("ledger", "pages")
        },
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 1 << 20,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": {
            "large": {"api_keys": ["key-large"], "rate_per_s": 1000, "burst": 1000},
            "small": {"api_keys": ["key-small"], "rate_per_s": rate, "burst": rate},
        },
    }


@dataclass
class Process:
    """One program on one machine."""

    program: str
    ip: str
    folder: Path
    platform: str
    process: asyncio.subprocess.Process | None = None
    began: bool = field(default=False)

    async def start(self) -> None:
        """Write its settings and start it."""
        self.folder.mkdir(parents=True, exist_ok=True)
        zone = zone_of(self.ip)
        front = self.program == "proxy"
        binds = (
            {"front": FRONT, "ready": READY, "directory": DIRECTORY}
            if front
            else ({"control": CONTROL} if self.program == "control" else {})
        )
        lines = [
            f"node_name={'front' if front else 'core'}-{self.ip}",
            f"role={self.program}",
            f"ip={self.ip}",
            f"machine_class={'front' if front else 'core'}",
            f"zone={zone}",
            f"region={REGIONS[zone]}",
            *(f"zones.{z}={r}" for z, r in REGIONS.items()),
            *(f"binds.{name}={self.ip}:{port}" for name, port in binds.items()),
            "port_range=17560,17575",
            "seed_nodes=" + ",".join(f"{ip}:{CONTROL}" for ip in CORES),
            f"bootstrap={'false' if self.began else 'true'}",
            "limits.fd_limit=1024",
            "limits.disk_mb=64",
            f"data_dir={self.folder}",
            f"cloud_api.address={self.platform}",
            "cloud_api.rate_per_s=47",
            "bounds=grace_s=3,retry_slack=58",
        ]
        settings = self.folder / "boot.conf"
        settings.write_text("\n".join(lines) + "\n")
        self.began = True
        with (self.folder / f"{self.program}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "thistleusher.system",
                self.program,
                stdout=log,
                stderr=log,
                env={**os.environ, "THISTLEUSHER_NODE_FILE": str(settings)},
            )

    async def end(self, number: signal.Signals = signal.SIGTERM) -> int:
        """Send a signal and wait for the end; the exit code."""
        if self.process is None:
            return 0
        with contextlib.suppress(ProcessLookupError):
            self.process.send_signal(number)
        return await self.process.wait()


class Caller:
    """A client's side of HTTP: one request on one new connection."""

    def __init__(self) -> None:
        self.count = 0

    async def call(
        self, address: str, method: str, target: str, headers: dict[str, str] | None = None, body: bytes = b""
    ) -> Message:
        """Return the whole answer. Raises OSError, TimeoutError or EOFError where there is none."""
        async with asyncio.timeout(4.0):
            host, _, port = address.rpartition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            try:
                lines = "".join(f"{k}: {v}\r\n" for k, v in {"Host": HOST, **(headers or {})}.items())
                head = f"{method} {target} HTTP/1.1\r\n{lines}Content-Length: {len(body)}\r\n\r\n"
                writer.write(head.encode() + body)
                return await read_message(reader)
            finally:
                writer.close()

    async def ask(self, ip: str, target: str = "/read/1", key: str = "key-large", method: str = "GET") -> Message:
        """One client's try."""
        self.count += 1
        return await self.call(
            f"{ip}:{FRONT}",
            method,
            target,
            {"X-Attempt-Id": f"a{self.count:08x}", "X-Deadline-Ms": "2500", "Authorization": f"Token {key}"},
        )


class System:
    """All processes and stand-ins."""

    def __init__(self, folder: Path, say: Callable[[str], None] = print) -> None:
        self.folder, self.say = folder, say
        self.runs: list[tuple[str, str, str]] = []
        self.backends = [
            Backend(f"i-{service}-{n}", service, ip.rpartition(".")[0] + f".{50 + k}", self.runs)
            for k, service in enumerate(("ledger", "pages"))
            for n, ip in enumerate(FRONTS)
        ]
        self.platform = Platform(self.backends)
        self.caller = Caller()
        self.processes: dict[tuple[str, str], Process] = {}

    async def __aenter__(self) -> System:
        for service in (*self.backends, self.platform):
            await service.start()
        for program, ips in (("control", CORES), ("registry", CORES), ("proxy", FRONTS)):
            for ip in ips:
                process = Process(program, ip, self.folder / f"{program}-{ip}", self.platform.address)
                self.processes[program, ip] = process
                await process.start()
        return self

    async def __aexit__(self, *_: object) -> None:
        await asyncio.gather(*(p.end() for p in self.processes.values()))
        for service in (*self.backends, self.platform):
            await service.stop()

    async def until(self, what: str, holds: Callable[[], Awaitable[bool]], seconds: float = 15.0) -> None:
        """Wait until something holds; TimeoutError names what did not."""
        end = asyncio.get_running_loop().time() + seconds
        while True:
            with contextlib.suppress(OSError, EOFError, TimeoutError, ValueError):
                if await holds():
                    return
            if asyncio.get_running_loop().time() > end:
                raise TimeoutError(what)
            await asyncio.sleep(0.05)

    async def order(self, method: str, target: str, body: bytes = b"") -> Message:
        """Take an operator's call from machine to machine until one answers with 200 or says that it is wrong."""
        for n in range(60):
            ip = CORES[n % len(CORES)]
            try:
                got = await self.caller.call(f"{ip}:{CONTROL}", method, target, {}, body)
                if got.status == 307:
                    where = got.headers["location"].removeprefix("http://").partition("/")[0]
                    got = await self.caller.call(where, method, target, {}, body)
                if got.status in (200, 400, 404):
                    return got
            except (OSError, EOFError, TimeoutError, ValueError):
                pass
            await asyncio.sleep(0.1)
        raise TimeoutError(f"no core machine answers {method} {target}")

    async def put(self, config: dict[str, Any]) -> Message:
        """Send a configuration."""
        return await self.order("POST", "/Config.Replace", json.dumps(config).encode())

    async def served(
        self,
        n: int,
        target: str = "/read/1",
        key: str = "key-large",
        method: str = "GET",
    ) -> dict[int, int]:
        """Ask n times over all proxies; how often each status came."""
        got = await asyncio.gather(*(self.caller.ask(FRONTS[k % len(FRONTS)], target, key, method) for k in range(n)))
        tally: dict[int, int] = {}
        for message in got:
            tally[message.status] = tally.get(message.status, 0) + 1
        return tally


async def story(system: System) -> None:
    """Play what `make run` shows. Raises AssertionError where something does not hold."""
    say, runs = system.say, system.runs

    async def ready() -> bool:
        return all([(await system.caller.call(f"{ip}:{READY}", "GET", "/readiness")).status == 200 for ip in FRONTS])

    assert (await system.put(configuration(1))).status == 200
    say("configuration 00000001 is acknowledged: it is on two disks")
    await system.until("all proxies ready", ready)
    found: dict[str, Any] = {}

    async def listed() -> bool:
        found.update(
            json.loads(
                (
                    await system.caller.call(
                        f"{FRONTS[0]}:{DIRECTORY}", "GET", f"/resolve?name={HOST}&region=r-2&zone=z-3"
                    )
                ).body
            )
        )
        return bool(found["addresses"] == [f"{FRONTS[2]}:{FRONT}"])

    await system.until("the directory names the proxy of the client's region", listed)
    say(f"/resolve for a client in r-2: {found}")

    async def counted() -> bool:
        return (await system.served(6)).get(200) == 6

    await system.until("requests are counted and served", counted)
    tally = await system.served(120)
    say(f"120 requests over three proxies: {tally}")
    assert tally == {200: 120}, tally
    assert (await system.served(1, key="key-nobody"))[401] and (await system.served(1, "/nowhere/"))[404]
    say("an unknown key gets 401, a path without a route 404")

    tally = await system.served(200, key="key-small")
    say(f"200 at once of a tenant that may send 40: {tally}")
    assert tally[429] >= 100 and tally.get(200, 0) <= 60, tally

    drained = system.backends[0]
    drained.phase = "draining"

    async def empty() -> bool:
        before = sum(1 for r in runs if r[1] == drained.name)
        await system.served(30, "/pay/1", method="POST")
        return sum(1 for r in runs if r[1] == drained.name) == before

    await system.until("the draining backend gets nothing", empty)
    say(f"{drained.name} drains: nothing more reaches it")

    assert (await system.put(configuration(2, "pages"))).status == 200

    async def moved() -> bool:
        mark = len(runs)
        await system.served(30)
        return all("pages" in name for _, name, _ in runs[mark:])

    await system.until("the changed route is in force", moved)
    say("configuration 00000002 sends /read/ to another service, at all proxies")

    bad = configuration(3)
    bad["routes"]["read"]["target"] = "nobody"
    got = await system.put(bad)
    assert got.status == 400, got
    say(f"an invalid one is refused: {json.loads(got.body)['error']}")

    for (program, ip), process in system.processes.items():
        if ip == CORES[0]:
            await process.end(signal.SIGKILL)
            say(f"{program} on {ip} is killed")
    assert (await system.put(configuration(4, "ledger"))).status == 200
    say("configuration 00000004 is acknowledged all the same")
    held = json.loads((await system.order("GET", "/Config.Read")).body)
    assert held["version"] == "00000004", held

    async def again() -> bool:
        mark = len(runs)
        tally = await system.served(30)
        return tally == {200: 30} and all("ledger" in name for _, name, _ in runs[mark:])

    await system.until("served by the new configuration", again)
    for program in ("control", "registry"):
        await system.processes[program, CORES[0]].start()

    ids = [attempt for attempt, _, line in runs if line.startswith("POST")]
    assert len(ids) == len(set(ids)), "a payment ran twice"
    code = await system.processes["proxy", FRONTS[0]].end()
    assert code == 0, code
    say("a proxy that is told to end does so with exit code 0")


async def hold(system: System, seconds: float) -> None:
    """In service with one configuration, for a while."""

    async def ready() -> bool:
        return all([(await system.caller.call(f"{ip}:{READY}", "GET", "/readiness")).status == 200 for ip in FRONTS])

    await system.put(configuration(1))
    await system.until("all proxies ready", ready)
    system.say(f"in service for {seconds:g} s: directory {FRONTS[0]}:{DIRECTORY}, host {HOST}, key key-large")
    await asyncio.sleep(seconds)


async def run(hold_s: float = 0.0) -> int:
    """0: all held; 1: something did not."""
    with tempfile.TemporaryDirectory(prefix="system-") as folder:
        try:
            async with System(Path(folder)) as system:
                if hold_s > 0:
                    await hold(system, hold_s)
                    return 0
                await story(system)
        except (AssertionError, TimeoutError) as error:
            print(f"verdict: broken: {error!r}")
            return 1
    print("verdict: all held")
    return 0

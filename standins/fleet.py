"""A whole fleet on loopback: ingress processes among stand-ins, traffic, a fault script, an auditor."""

from __future__ import annotations

import asyncio
import json
import os
import resource
import signal
import socket
import sys
import tempfile
import time
from collections.abc import Callable, Coroutine, Mapping, Sequence
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from standins.auditor import PlanRule, Rules, Verdict, audit
from standins.counter import Counter
from standins.deployments import MATCHING, Deployment
from standins.discovery import Discovery
from standins.faults import Fault, ScriptError, play
from standins.front import Front, Traffic
from standins.match import Keys, MatchServer, Shape
from standins.ports import unused_port
from standins.records import Crashed, Records
from standins.relay import Relay

HOST = "127.0.0.1"
READY_S = 20.0
STOP_S = 10.0
SEMANTICS = {"safe": "retryable", "keyed": "dedup", "unsafe": "fragile"}
HALLS = 2  # servers and ingresses of odd numbers stand in another than those of even ones


@dataclass(frozen=True, slots=True)
class Options:
    """The size and the length of a run. `port` is the first ingress's; 0 takes free ones.

    What is left out is the deployment's own.
    """

    ingresses: int = 3
    servers: int = 10
    seconds: float = 10.0
    rate: float = 120.0
    seed: int = 1
    port: int = 0
    members: Mapping[str, int] = field(default_factory=dict)
    faults: tuple[Fault, ...] = ()
    shape: Shape = None  # type: ignore[assignment]  # set below
    loss: float = 0.01
    delay: float = 0.01
    move_s: float = 0.0
    plans: Mapping[str, PlanRule] = field(default_factory=dict)
    deployment: Deployment = MATCHING
    folders: bool = False  # a state folder for each ingress

    def __post_init__(self) -> None:
        for name in ("members", "shape", "plans"):
            if not getattr(self, name):
                object.__setattr__(self, name, getattr(self.deployment, name))


def settings(o: Options, me: int) -> dict[str, Any]:
    """Return an ingress's configuration."""
    d = o.deployment
    classes = [
        {
            "name": name,
            "semantics": SEMANTICS[c.effect],
            "objective": c.budget,
            "hardLimit": c.budget,
            "credit": d.worth.get(name, 1.0),
            "group": "all",
            "window": 15.0,
        }
        for name, c in d.classes.items()
    ]
    plans = [
        {
            "name": name,
            "rate": p.rate,
            "storeSize": p.burst,
            "capRate": p.ceiling_rate,
            "neverOverDepth": p.ceiling_burst,
            "pays": 1.0,
        }
        for name, p in o.plans.items()
    ]
    return {
        "balancers": o.ingresses,
        "me": me,
        "zone": "z0",
        "step": 0.004,
        "classes": classes,
        "plans": plans,
        "extra": {"counter": True, "counterTimeout": 0.08, "maxUnits": 4, "truedUp": False, "peerInPerS": 100.0},
        "limits": {
            "maxAttempts": d.max_attempts,
            "retryAfter": d.retry_after,
            "cancel": True,
            "peers": True,
            "connIdle": 15.0,
            "mayProbe": True,
            "connectTimeout": 0.5,
            "maxRetryAfter": 1.0,
        },
        "invariants": {
            "drainGrace": 1.0,
            "fallMultiple": d.cold_multiple,
            "tipAfter": d.cold_window,
            "startCapacity": o.shape.cold,
            "cold": o.shape.cold_s,
        },
    }


def hold_ports(count: int, first: int, kind: socket.SocketKind = socket.SOCK_STREAM) -> list[socket.socket]:
    """Ports of loopback, held until they are closed; from `first` on where that is not 0. OSError names a taken one."""
    held = []
    for n in range(count):
        s = socket.socket(socket.AF_INET, kind)
        held.append(s)
        if kind is socket.SOCK_STREAM:
            s.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            s.bind((HOST, first + n if first else 0))
        except OSError as error:
            raise OSError(f"{HOST}:{first + n}: {error.strerror}; choose others with --port") from error
    return held


def free_ports(count: int, first: int) -> list[int]:
    """Return unused ports, from `first` on where that is not 0. Raises OSError where one of those is taken."""
    if not first:
        return [unused_port() for _ in range(count)]
    held = hold_ports(count, first)
    ports = [s.getsockname()[1] for s in held]
    for s in held:
        s.close()
    return ports


class IngressProcess:
    """One `python -m thistleusher`."""

    def __init__(self, number: int, port: int, config: dict[str, Any], folder: Path, keeps: bool = False) -> None:
        """Prepare an ingress; with `keeps` it has a state folder of its own."""
        self.number, self.port, self.words = number, port, list[str]()
        if keeps:
            state = folder / f"state-{number}.toml"
            state.write_text(f'folder = "{folder}/state-{number}"\nsync = "off"\ncommit_ms = 10\n')
            self.words = ["--state", str(state)]
        self.path = folder / f"ingress-{number}.json"
        self.log = folder / f"ingress-{number}.log"
        self.path.write_text(json.dumps(config))
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Start the process and wait until it is ready. Raises TimeoutError."""
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "thistleusher",
                *self.words,
                env={**os.environ, "PROXY_CONFIG": str(self.path)},
                stdout=log,
                stderr=log,
            )

    def move_counter(self, address: str) -> None:
        """Have it follow its counter elsewhere, by SIGHUP."""
        config = json.loads(self.path.read_text())
        self.path.write_text(json.dumps({**config, "counter": address}))
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGHUP)

    async def ready(self) -> None:
        """Wait for `GET /healthz` to say 200; TimeoutError, with the end of its log, where it never does."""
        try:
            async with asyncio.timeout(READY_S):
                ready = await self._ready_before_its_end()
        except TimeoutError:
            ready = False
        if not ready:
            tail = self.log.read_text(errors="replace")[-500:]
            raise TimeoutError(f"ingress {self.number} does not come up: {tail}")

    async def _ready_before_its_end(self) -> bool:
        """Wait until the ingress is ready or its process has ended; return whether it is ready."""
        while not await self.healthy():
            if self.process is not None and self.process.returncode is not None:
                return False
            await asyncio.sleep(0.02)
        return True

    async def healthy(self) -> bool:
        """Return whether the ingress says that it is ready."""
        try:
            reader, writer = await asyncio.open_connection(HOST, self.port)
            writer.write(b"GET /healthz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            line = await reader.readline()
            writer.close()
        except OSError:
            return False
        return b" 200 " in line

    async def end(self, number: signal.Signals = signal.SIGTERM) -> None:
        """Signal it and wait; what does not leave in time is killed."""
        if self.process is None or self.process.returncode is not None:
            return
        with suppress(ProcessLookupError):
            self.process.send_signal(number)
        try:
            await asyncio.wait_for(self.process.wait(), STOP_S)
        except TimeoutError:
            self.process.kill()
            await self.process.wait()


class Fleet:
    """Everything that `make run` starts; use it as `async with`."""

    def __init__(self, options: Options, folder: Path, records: Records | None = None) -> None:
        self.o, self.records = options, records or Records()
        self.folder = folder
        self.counter = Counter(self.records, options.seed, parts=2, per_s=2000.0, delay=0.001)
        self.other = Counter(self.records, options.seed + 1, parts=2, per_s=2000.0, delay=0.001)  # the split's
        self.discovery = Discovery(self.records)
        self.keys = Keys()
        self.servers = [
            MatchServer(f"s-{n}", self.records, options.shape, self.keys, options.seed) for n in range(options.servers)
        ]
        self.ingresses: list[IngressProcess] = []
        self.relay: Relay | None = None
        self.front: Front | None = None
        self.tasks: set[asyncio.Task[Any]] = set()
        self.check(options.faults)

    def check(self, faults: Sequence[Fault]) -> None:
        """ScriptError where a fault's target is not there."""
        for f in faults:
            many = (
                self.o.servers if f.do.startswith("match.") else HALLS if f.do.startswith("hall.") else self.o.ingresses
            )
            if f.target >= many:
                raise ScriptError(f"{f.do}: target: expected a number below {many}, got {f.target}")

    async def __aenter__(self) -> Fleet:
        try:
            await self.start()
        except BaseException:
            await self.stop()
            raise
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.stop()

    async def start(self) -> None:
        """Start the stand-ins, then the ingresses."""
        o = self.o
        await self.counter.start()
        await self.other.start()
        await self.discovery.start()
        for n, server in enumerate(self.servers):
            await server.start()
            server.born -= 1000.0  # they have been up for long
            self.records.all.pop()
            self.list(n)
        ports = free_ports(o.ingresses, o.port)
        held = hold_ports(o.ingresses, 0, socket.SOCK_DGRAM)
        homes = [(HOST, s.getsockname()[1]) for s in held]
        self.relay = Relay(homes, o.seed, o.loss, o.delay)
        try:
            await self.relay.start()  # its own ports are drawn from the same range: it must not draw one of these
        finally:
            for s in held:
                s.close()
        for n in range(o.ingresses):
            self.ingresses.append(
                IngressProcess(
                    n,
                    ports[n],
                    {
                        "name": f"n{n}",
                        "listen": f"{HOST}:{ports[n]}",
                        "discovery": self.discovery.address,
                        "counter": self.counter.address,
                        "peer_listen": f"{HOST}:{homes[n][1]}",
                        "peers": self.relay.addresses,
                        "seed": f"{o.seed + n:x}",
                        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
                        "known": self.discovery.listing(),
                        "settings": settings(o, n),
                    },
                    self.folder,
                    o.folders,
                )
            )
            await self.ingresses[n].start()
        for ingress in self.ingresses:
            await ingress.ready()
        traffic = Traffic(
            o.seconds, o.rate, o.members, o.deployment.classes, seed=o.seed, spread=o.ingresses, move_s=o.move_s
        )
        self.front = Front([(HOST, p) for p in ports], traffic, self.records)

    async def run(self, watch: Callable[[], Coroutine[Any, Any, None]] | None = None) -> Verdict:
        """Play the traffic and the faults; return the auditor's verdict."""
        assert self.front is not None
        watching = asyncio.create_task(watch()) if watch else None
        playing = asyncio.create_task(play(list(self.o.faults), self.switch))
        try:
            await self.front.run()
        finally:
            for task in (playing, watching):
                if task is not None:
                    task.cancel()
                    with suppress(asyncio.CancelledError):
                        await task
        d = self.o.deployment
        effects = {name: c.effect for name, c in d.classes.items()}
        return audit(
            self.records.all,
            Rules(
                self.o.plans, effects, calm=not self.o.faults, cold_multiple=d.cold_multiple, cold_window=d.cold_window
            ),
        )

    async def stop(self) -> None:
        """End all that was started, the ingresses in order."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*(i.end() for i in self.ingresses))
        if self.relay is not None:
            self.relay.stop()
        await asyncio.gather(
            self.counter.stop(), self.other.stop(), self.discovery.stop(), *(s.stop() for s in self.servers)
        )

    def list(self, number: int, status: str = "SERVING") -> None:
        """Put a server on the list, as discovery tells it."""
        s = self.servers[number]
        self.discovery.put(s.name, s.address, status, f"z{number % HALLS}", number, s.born)

    # Faults.

    def switch(self, f: Fault, on: bool) -> Any:
        """Switch one fault on or off; what takes time is handed back."""
        where, _, what = f.do.partition(".")
        if where == "counter":
            self.counter_fault(what, f, on)
        elif where == "match":
            return self.match_fault(what, f, on)
        elif where == "discovery":
            self.discovery.silence(on)
        elif where == "relay" and self.relay is not None:
            if what == "isolate":
                self.relay.isolate(f.target, on)
            else:
                setattr(self.relay, what, f.value if on else getattr(self.o, what))
        elif where == "ingress":
            return self.ingress_fault(what, f.target)
        elif where == "hall":
            return self.lose_hall(f.target) if on else self.regain_hall(f.target)
        return None

    def counter_fault(self, what: str, f: Fault, on: bool) -> None:
        """Begin or end a fault of the counter."""
        c = self.counter
        if what == "silence":
            c.silence(on)
        elif what == "refuse":
            c.refusing = on
        elif what == "restart":
            c.restart_from_zero()
        elif what == "lose":
            c.lose_share = f.value if on else 0.0
        elif what == "spoil":
            c.spoil_share = f.value if on else 0.0
        elif what == "forget":
            c.life_cut = f.value if on else 1.0
        elif what == "old":
            c.repeat_old = on
        elif what == "late":  # the same counts, for one ingress only late
            self.other.counts, self.other.delay = c.counts, f.value if on else 0.001
            self.ingresses[f.target].move_counter(self.other.address if on else c.address)
        elif what == "split":
            self.ingresses[f.target].move_counter(self.other.address if on else c.address)
        else:
            c.delay = f.value if on else 0.001

    def match_fault(self, what: str, f: Fault, on: bool) -> Any:
        """Begin or end a fault of a match server."""
        s = self.servers[f.target]
        if what == "kill":
            return self.kill(f.target) if on else self.revive(f.target)
        if what == "drain":
            s.draining = False
            self.list(f.target, "DRAINING" if on else "SERVING")
        elif what == "silence":
            s.silence(on)
        elif what == "slow":
            s.slow = f.value if on else 1.0
        elif what == "errors":
            s.error_share = f.value if on else 0.0
        elif what == "resets":
            s.reset_share = f.value if on else 0.0
        elif what == "cuts":
            s.cut_share = f.value if on else 0.0
        else:
            s.close_idle()
        return None

    async def lose_hall(self, hall: int) -> None:
        """All that stands in a hall ends at once: servers, ingresses, and in the first one what the counter knew."""
        ingresses = self.ingresses[hall::HALLS]
        for ingress in ingresses:
            self.records.add(Crashed(time.time(), str(ingress.number)))
        await asyncio.gather(
            *(i.end(signal.SIGKILL) for i in ingresses), *(s.stop() for s in self.servers[hall::HALLS])
        )
        for ingress in ingresses:
            self.records.add(Crashed(time.time(), str(ingress.number)))
        if hall == 0:
            self.counter.restart_from_zero()

    async def regain_hall(self, hall: int) -> None:
        """Start the hall's servers again, cold and with nothing known."""
        for number in range(hall, len(self.servers), HALLS):
            await self.revive(number)
        for ingress in self.ingresses[hall::HALLS]:
            if ingress.process is None or ingress.process.returncode is not None:
                await ingress.start()

    async def kill(self, number: int) -> None:
        """Kill a server."""
        await self.servers[number].stop()

    async def revive(self, number: int) -> None:
        """Start the same server anew, cold; one that runs goes on."""
        if self.servers[number].server is not None:
            return
        await self.servers[number].start(self.servers[number].port)
        self.list(number)

    async def ingress_fault(self, what: str, number: int) -> None:
        """Bring about a fault of an ingress."""
        ingress = self.ingresses[number]
        if what == "kill":
            self.records.add(Crashed(time.time(), str(number)))
            await ingress.end(signal.SIGKILL)
            self.records.add(Crashed(time.time(), str(number)))
            await ingress.start()
        else:
            task = asyncio.create_task(self.restart(ingress))  # meanwhile the script goes on
            self.tasks.add(task)

    @staticmethod
    async def restart(ingress: IngressProcess) -> None:
        """Restart an ingress in order."""
        await ingress.end()
        await ingress.start()


def children_cpu() -> float:
    """CPU seconds of the processes that have ended and been waited for."""
    used = resource.getrusage(resource.RUSAGE_CHILDREN)
    return used.ru_utime + used.ru_stime


async def run_fleet(
    options: Options, watch: Callable[[Fleet], Coroutine[Any, Any, None]] | None = None, records: Records | None = None
) -> tuple[Verdict, float, int]:
    """Start, run and stop a fleet; gives the verdict, CPU seconds of the ingresses, and the tries sent."""
    before = children_cpu()
    with tempfile.TemporaryDirectory(prefix="fleet-") as folder:
        async with Fleet(options, Path(folder), records) as fleet:
            verdict = await fleet.run((lambda: watch(fleet)) if watch else None)
            sent = fleet.front.sent if fleet.front else 0
    return verdict, children_cpu() - before, sent

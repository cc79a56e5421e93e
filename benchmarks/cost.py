"""Measure CPU time per request and memory of the daemon and the library.

CPU time is also given as a ratio to a bare pass-through proxy in the same run. `python -m benchmarks.cost` takes about
a minute; `--quick` takes a few seconds. CPU time is that of the measured process alone, as the operating system reports
it; the load generator, the backend and the counter are other processes.
"""

from __future__ import annotations

import argparse
import json
import statistics
import sys
import tempfile
import time
from pathlib import Path
from typing import Any, NamedTuple

import uvloop

from benchmarks.load import CONNECTIONS, HOST, send_all, wait_for_port
from benchmarks.measured_process import MeasuredProcess
from standins.ports import free_ports
from thistleusher.state.store import SYNC_MODES

LOAD_CUSTOMERS = 500  # Number of customers that send requests while CPU time is measured.
MIN_SERVED_FRACTION = 0.99  # Minimum fraction of responses with status 200; below it, the figures are meaningless.
MEMORY_FIRST_REQUEST = 10_000_000  # First request number of the memory run; keeps its ids apart from the CPU run's.
PASS_THROUGH = "bare pass-through"


class Form(NamedTuple):
    """A measured variant of the ingress: its process and the port on which it listens."""

    process: MeasuredProcess
    port: int


def settings(rate: float = 1e6) -> dict[str, Any]:
    """Return settings whose quotas are never reached, so that only the cost of admission is measured."""
    return {
        "balancers": 1,
        "me": 0,
        "classes": [{"name": "read", "semantics": "retryable", "objective": 2.0, "hardLimit": 6.0}],
        "plans": [{"name": "basic", "rate": rate, "storeSize": 4 * rate}],
        "extra": {"counter": True, "counterTimeout": 1.0, "maxUnits": 4},
        "limits": {
            "maxAttempts": 3,
            "cancel": True,
            "connIdle": 15.0,
            "connectTimeout": 2.0,
            "maxRetryAfter": 1.0,
            "ownBackends": True,
        },
    }


def request(number: int, customer: int) -> bytes:
    """Return one request of a customer."""
    return (
        f"GET /api/{customer:016x} HTTP/1.1\r\nHost: backend.local\r\nX-Call-Id: r{number}\r\nX-Call-Class: read\r\n"
        f"X-Tier: basic\r\nX-Budget: 6000m\r\nX-Call-Terms: units=1,spread=1,first=0\r\n\r\n"
    ).encode()


async def load(port: int, count: int, customers: int, first: int = 0) -> dict[int, int]:
    """Send `count` requests, spread over all connections; return the number of responses by status."""
    per_connection = count // CONNECTIONS
    numbers = [range(first + c * per_connection, first + (c + 1) * per_connection) for c in range(CONNECTIONS)]
    return await send_all(HOST, port, [[request(n, n % customers) for n in part] for part in numbers])


class BenchmarkProcesses:
    """All processes of a run; those in `forms` are measured."""

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._counter = MeasuredProcess("standins", "counter")
        self._counter_address = self._counter.read_line()
        self._ports = free_ports(6, 0)
        self._backend = MeasuredProcess("benchmarks.serve", "app", json.dumps({"port": self._ports[0]}))
        self._backend.read_line()
        self.forms: dict[str, Form] = {}
        self._add_daemons()
        self._add_served_forms()

    def _configuration(self) -> dict[str, Any]:
        endpoint = {"name": "b0", "address": f"{HOST}:{self._ports[0]}", "status": "SERVING"}
        return {
            "name": "n0",
            "listen": f"{HOST}:{self._ports[1]}",
            "discovery": f"{HOST}:{self._ports[5]}",
            "seed": "1",
            "counter": self._counter_address,
            "limits": {"sockets": 1024},
            "settings": settings(),
            "known": {"index": 1, "snapshot": True, "endpoints": [endpoint]},
        }

    def _add_daemons(self) -> None:
        """Add the daemon without a state folder, and with one under each sync policy."""
        config = self._configuration()
        path = self._folder / "config.json"
        path.write_text(json.dumps(config))
        daemon = MeasuredProcess("thistleusher", environment={"PROXY_CONFIG": str(path)})
        self.forms["daemon"] = Form(daemon, self._ports[1])
        for sync, port in zip(SYNC_MODES, free_ports(len(SYNC_MODES), 0), strict=True):
            path = self._folder / f"config-{sync}.json"
            path.write_text(json.dumps({**config, "listen": f"{HOST}:{port}"}))
            state_file = self._folder / f"{sync}.toml"
            state_file.write_text(f'folder = "{self._folder}/{sync}"\nsync = "{sync}"\n')
            environment = {"PROXY_CONFIG": str(path)}
            daemon = MeasuredProcess("thistleusher", "--state", str(state_file), environment=environment)
            self.forms[f"daemon, folder with sync {sync}"] = Form(daemon, port)

    def _add_served_forms(self) -> None:
        """Add the forms that `benchmarks.serve` runs."""
        counter = {"counter": self._counter_address}
        forms: list[tuple[str, str, dict[str, str]]] = [
            ("passthrough", PASS_THROUGH, {"backend": f"{HOST}:{self._ports[0]}"}),
            ("app", "application alone", {}),
            ("middleware", "application with middleware, counter service", counter),
            ("middleware", "application with middleware, counter in memory", {}),
        ]
        ports = [*self._ports[2:5], free_ports(1, 0)[0]]
        for (form, name, more), port in zip(forms, ports, strict=True):
            config = {"port": port, "settings": settings(), **more}
            process = MeasuredProcess("benchmarks.serve", form, json.dumps(config))
            process.read_line()
            self.forms[name] = Form(process, port)

    def kill(self) -> None:
        """Kill all processes."""
        for process in (self._counter, self._backend, *(form.process for form in self.forms.values())):
            process.kill()


async def cost(bench: BenchmarkProcesses, count: int, rounds: int) -> dict[str, float]:
    """Return milliseconds of CPU time per request by form: the median of the rounds, in which the forms alternate.

    Raises ValueError if a form serves less than `MIN_SERVED_FRACTION` of the requests of a round.
    """
    figures: dict[str, list[float]] = {name: [] for name in bench.forms}
    unserved = dict.fromkeys(bench.forms, 0)
    for form in bench.forms.values():
        await wait_for_port(form.port)
        await load(form.port, count // 5, LOAD_CUSTOMERS)
    sent = 0
    for round_index in range(rounds):
        for name, form in bench.forms.items():
            sent += count
            before = form.process.cpu_seconds()
            statuses = await load(form.port, count, LOAD_CUSTOMERS, sent)
            figures[name].append((form.process.cpu_seconds() - before) / count * 1000)
            served = statuses.get(200, 0)
            unserved[name] += count - served
            if served < MIN_SERVED_FRACTION * count:
                raise ValueError(
                    f"{name}: expected status 200 for {MIN_SERVED_FRACTION:.0%} of the requests, got {statuses}"
                )
        print(f"round {round_index + 1} of {rounds}", file=sys.stderr, flush=True)
    print(f"requests not served, of {rounds * count} per form: " + ", ".join(f"{k}: {v}" for k, v in unserved.items()))
    return {name: statistics.median(values) for name, values in figures.items()}


async def memory(bench: BenchmarkProcesses, customers: int) -> dict[str, tuple[float, float]]:
    """Return resident memory in MB by form, before and after `customers` customers have sent one request each."""
    figures: dict[str, tuple[float, float]] = {}
    for name, form in bench.forms.items():
        if name == "daemon" or "memory" in name:
            before = form.process.memory_mb()
            await load(form.port, customers, customers, MEMORY_FIRST_REQUEST)
            figures[name] = (before, form.process.memory_mb())
    return figures


def print_costs(figures: dict[str, float]) -> None:
    """Print a line per form, with its ratio to the pass-through."""
    base = figures[PASS_THROUGH]
    print(f"{'form':52} {'ms CPU/request':>17} {'to pass-through':>16}")
    for name, value in figures.items():
        print(f"{name:52} {value:17.3f} {value / base:16.1f}")


def main() -> int:
    """Measure all forms and print the results."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks.cost", description=__doc__)
    parser.add_argument("--quick", action="store_true", help="fewer requests and customers")
    parser.add_argument("--members", type=int, default=200_000)
    options = parser.parse_args()
    count, rounds = (2000, 2) if options.quick else (8000, 5)
    customers = 5000 if options.quick else options.members
    began = time.monotonic()
    with tempfile.TemporaryDirectory(prefix="cost-") as folder:
        bench = BenchmarkProcesses(Path(folder))
        try:
            print_costs(uvloop.run(cost(bench, count, rounds)))
            for name, (before, after) in uvloop.run(memory(bench, customers)).items():
                print(f"{name}: {before:.0f} MB, {after:.0f} MB after {customers} customers")
        finally:
            bench.kill()
    print(f"{count} requests per round, {rounds} rounds, {CONNECTIONS} connections, {time.monotonic() - began:.0f} s")
    return 0


if __name__ == "__main__":
    sys.exit(main())

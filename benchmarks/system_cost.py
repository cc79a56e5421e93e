"""Compare the CPU time per request of the whole system's proxy, the stand-alone ingress and a bare pass-through.

`python -m benchmarks.system_cost [--requests 4000] [--rounds 3]`: all run at the same time and receive load in turn.
CPU time is that of the measured process alone, as the operating system reports it. The CPU time of the registries,
which count the proxy's charges, is printed as a line of its own.
"""

from __future__ import annotations

import argparse
import statistics
import sys
import tempfile
from collections.abc import Awaitable, Callable
from functools import partial
from pathlib import Path

import uvloop

from benchmarks import cost
from benchmarks.load import CONNECTIONS, send_all
from benchmarks.measured_process import cpu_seconds
from standins.system import System
from standins.system_topology import CORES, FRONT, FRONTS, HOST, configuration


def request(number: int) -> bytes:
    """Return a request to the system's proxy."""
    return (
        f"GET /read/1 HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: r{number}\r\nX-Deadline-Ms: 6000\r\n"
        f"Authorization: Token key-large\r\n\r\n"
    ).encode()


async def send_requests(count: int, first: int) -> None:
    """Send `count` requests to the first proxy over several connections.

    Raises ValueError if the share that is served is below `cost.MIN_SERVED_FRACTION`.
    """
    per_connection = count // CONNECTIONS
    numbers = [range(first + c * per_connection, first + (c + 1) * per_connection) for c in range(CONNECTIONS)]
    statuses = await send_all(FRONTS[0], FRONT, [[request(n) for n in part] for part in numbers])
    if statuses.get(200, 0) < cost.MIN_SERVED_FRACTION * count:
        raise ValueError(
            f"proxy: expected status 200 for {cost.MIN_SERVED_FRACTION:.0%} of the requests, got {statuses}"
        )


async def measure(folder: Path, bench: cost.BenchmarkProcesses, count: int, rounds: int) -> dict[str, list[float]]:
    """Return milliseconds of CPU time per request by form, one value per round."""
    figures: dict[str, list[float]] = {}

    async def record_cpu(name: str, read_cpu_s: Callable[[], float], work: Callable[[], Awaitable[object]]) -> None:
        before = read_cpu_s()
        await work()
        figures.setdefault(name, []).append((read_cpu_s() - before) / count * 1000)

    async with System(folder, lambda text: None) as system:
        await system.replace_configuration(configuration(1, rate=1e6))

        async def serves() -> bool:
            return (await system.caller.ask_proxy(FRONTS[0])).status == 200

        await system.wait_until("the system serves", serves)
        pids = {key: p.process.pid for key, p in system.processes.items() if p.process is not None}
        proxy = pids["proxy", FRONTS[0]]
        registries = [pids["registry", ip] for ip in CORES]
        await send_requests(count // 4, 10_000_000)
        for round_index in range(rounds):
            for name in (cost.PASS_THROUGH, "daemon"):
                process, port = bench.forms[name]
                work = partial(cost.load, port, count, cost.LOAD_CUSTOMERS, round_index * count)
                await record_cpu(name, process.cpu_seconds, work)
            before = sum(map(cpu_seconds, registries))
            await record_cpu("proxy", lambda: cpu_seconds(proxy), partial(send_requests, count, round_index * count))
            used = sum(map(cpu_seconds, registries)) - before
            figures.setdefault("registries", []).append(used / count * 1000)
    return figures


def main() -> int:
    """Measure all forms and print a line for each."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks.system_cost", description=__doc__)
    parser.add_argument("--requests", type=int, default=4000)
    parser.add_argument("--rounds", type=int, default=3)
    options = parser.parse_args()
    with tempfile.TemporaryDirectory(prefix="system-cost-") as folder:
        (Path(folder) / "bench").mkdir()
        bench = cost.BenchmarkProcesses(Path(folder) / "bench")
        try:
            figures = uvloop.run(measure(Path(folder), bench, options.requests, options.rounds))
        finally:
            bench.kill()
    base = statistics.median(figures[cost.PASS_THROUGH])
    print(f"{'form':20} {'ms CPU/request':>17} {'to pass-through':>16}")
    for name, values in figures.items():
        print(f"{name:20} {statistics.median(values):17.3f} {statistics.median(values) / base:16.1f}")
    return 0


if __name__ == "__main__":
    sys.exit(main())

"""CPU a request of the proxy of the whole system beside that of the program in service and a bare pass-through.

`python -m benchmarks.system_cost [--requests 4000] [--rounds 3]`: all run at once, and are asked in turn. CPU is the
measured process's own, from the operating system; the registry's, which counts, is told beside it.
"""

from __future__ import annotations

import argparse
import asyncio
import statistics
import sys
import tempfile
from collections.abc import Callable
from pathlib import Path

import uvloop

from benchmarks import cost
from standins.system import CORES, FRONT, FRONTS, HOST, System, configuration


def cpu_of(pid: int) -> float:
    """Seconds that a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / cost.TICK


def request(n: int) -> bytes:
    """One to the system's proxy."""
    return (
        f"GET /read/1 HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: r{n}\r\nX-Deadline-Ms: 6000\r\n"
        f"Authorization: Token key-large\r\n\r\n"
    ).encode()


async def ask(count: int, first: int) -> None:
    """Ask the first proxy `count` times over several connections. ValueError unless nearly all are served."""
    loop, statuses = asyncio.get_running_loop(), dict[int, int]()
    each, waits = count // cost.CONNECTIONS, []
    for c in range(cost.CONNECTIONS):
        done: asyncio.Future[None] = loop.create_future()
        waits.append(done)
        raws = [request(first + c * each + k) for k in range(each)]
        await loop.create_connection(
            lambda raws=raws, done=done: cost.Load(raws, done, statuses),  # type: ignore[misc]
            FRONTS[0],
            FRONT,
        )
    await asyncio.gather(*waits)
    if statuses.get(200, 0) < 0.99 * count:
        raise ValueError(f"the proxy: expected 200 nearly always, got {statuses}")


async def measure(folder: Path, bench: cost.Bench, count: int, rounds: int) -> dict[str, list[float]]:
    """Milliseconds a request, of each, a round."""
    figures: dict[str, list[float]] = {}

    async def take(name: str, used: Callable[[], float], work: Callable[[], object]) -> None:
        before = used()
        await work()  # type: ignore[misc]
        figures.setdefault(name, []).append((used() - before) / count * 1000)

    async with System(folder, lambda text: None) as system:
        await system.put(configuration(1, rate=1e6))

        async def serves() -> bool:
            return (await system.caller.ask(FRONTS[0])).status == 200

        await system.until("the system serves", serves)
        pids = {key: p.process.pid for key, p in system.processes.items() if p.process is not None}
        proxy = pids["proxy", FRONTS[0]]
        registries = [pids["registry", ip] for ip in CORES]
        await ask(count // 4, 10_000_000)
        for turn in range(rounds):
            for name in ("bare pass-through", "daemon"):
                process, port = bench.forms[name]
                await take(
                    name,
                    process.cpu,
                    lambda port=port, turn=turn: cost.load(  # type: ignore[misc]
                        port, count, 500, turn * count
                    ),
                )
            before = sum(map(cpu_of, registries))
            await take("proxy", lambda: cpu_of(proxy), lambda turn=turn: ask(count, turn * count))  # type: ignore[misc]
            figures.setdefault("registries", []).append((sum(map(cpu_of, registries)) - before) / count * 1000)
    return figures


def main() -> int:
    """Print a line a form."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks.system_cost", description=__doc__)
    parser.add_argument("--requests", type=int, default=4000)
    parser.add_argument("--rounds", type=int, default=3)
    options = parser.parse_args()
    with tempfile.TemporaryDirectory(prefix="system-cost-") as folder:
        (Path(folder) / "bench").mkdir()
        bench = cost.Bench(Path(folder) / "bench")
        try:
            figures = uvloop.run(measure(Path(folder), bench, options.requests, options.rounds))
        finally:
            bench.end()
    base = statistics.median(figures["bare pass-through"])
    print(f"{'form':20} {'ms CPU a request':>17} {'to pass-through':>16}")
    for name, values in figures.items():
        print(f"{name:20} {statistics.median(values):17.3f} {statistics.median(values) / base:16.1f}")
    return 0


if __name__ == "__main__":
    sys.exit(main())

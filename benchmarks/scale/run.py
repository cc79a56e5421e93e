"""Measure one size of the scale run.

The phases are: all proxies connect at once, normal operation, configuration changes, and the loss of two core machines.
"""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from typing import NamedTuple

from benchmarks.scale.fit import quantile
from benchmarks.scale.inputs import JsonObject, change_routes, random_backends, random_configuration
from benchmarks.scale.processes import PROGRAMS, Deployment, Usage, concatenate, sum_counts

CHARGES_PER_S = 1.0  # Charges per second of each proxy in the run over sizes.
SETTLE_S = 3.0  # Time for which the backend lists must be unchanged; also the delay after a new rate of charges.
STEADY_S = 10.0  # Duration of a measurement of normal operation.
CHANGES = 5  # Number of configuration changes that are measured.
CHANGE_INTERVAL_S = 2.0  # Interval between two configuration changes.
RESTART_DELAY_S = 8.0  # Delay after the restart of a killed machine.
POLL_INTERVAL_S = 0.4  # Interval at which reports are polled.
MAX_WAIT_S = 90.0  # Time limit of each wait.

Figures = dict[str, float]


class Content(NamedTuple):
    """The size of the configuration and of the platform's backend list."""

    routes: int = 60
    services: int = 12
    tenants: int = 300
    backends: int = 200

    def configuration(self) -> JsonObject:
        """Return the first configuration."""
        return random_configuration(self.routes, self.services, self.tenants)


SMALL_CONTENT = Content()


class Snapshot:
    """All counters at one point in time."""

    def __init__(self, usages: dict[tuple[str, str], Usage], reports: list[JsonObject]) -> None:
        self.at = time.monotonic()
        self.usages, self.reports = usages, reports
        self.traffic = sum_counts(reports, "traffic")
        self.hollow_cpu = sum(report["cpu_s"] for report in reports)


async def snapshot(deployment: Deployment) -> Snapshot:
    """Return the current counters."""
    reports = await deployment.reports()
    return Snapshot(deployment.usages(), reports)


def busiest_and_others(before: Snapshot, after: Snapshot, program: str) -> tuple[float, float]:
    """Return the CPU usage, in cores, of a program's busiest process between two snapshots, and the others' mean."""
    spans = sorted(
        (after.usages[key].cpu_s - usage.cpu_s) / (after.at - before.at)
        for key, usage in before.usages.items()
        if key[0] == program and key in after.usages
    )
    return spans[-1], sum(spans[:-1]) / max(1, len(spans) - 1)


def usage_between(before: Snapshot, after: Snapshot, proxies: int) -> Figures:
    """Return CPU usage and traffic between two snapshots.

    The totals count the ring's heartbeats twice, as only received ones are counted.
    """
    span = after.at - before.at
    figures: Figures = {}
    for program, role_name in (("control", "leader"), ("registry", "with the role")):
        highest, others = busiest_and_others(before, after, program)
        figures[f"{program} {role_name}: % of a core"] = 100 * highest
        figures[f"{program} others: % of a core"] = 100 * others
    figures["hollow proxy: % of a core"] = 100 * (after.hollow_cpu - before.hollow_cpu) / span / proxies
    bytes_all = messages_all = 0.0
    for name in sorted(after.traffic):
        rate = (after.traffic[name] - before.traffic.get(name, 0)) / span / proxies
        figures[f"a proxy, {name}/s"] = rate
        if "bytes" in name:
            bytes_all += rate * (2 if name.startswith("ring") else 1)
        elif "messages" in name:
            messages_all += rate * (2 if name.startswith("ring") else 1)
    figures["a proxy, all bytes/s"] = bytes_all
    figures["a proxy, all messages/s"] = messages_all
    return figures


def peak_memory(now: Snapshot, proxies: int) -> Figures:
    """Return the peak memory of the core programs and of all hollow proxies together."""
    highest = {program: max(u.peak_mb for key, u in now.usages.items() if key[0] == program) for program in PROGRAMS}
    return {
        "control: peak MB": highest["control"],
        "registry: peak MB": highest["registry"],
        "hollow proxies together: peak MB": sum(report["peak_mb"] for report in now.reports),
    }


async def poll_until(deployment: Deployment, condition: Callable[[list[JsonObject]], bool]) -> list[JsonObject]:
    """Poll the reports until a condition holds for them, for at most `MAX_WAIT_S`; return the last reports."""
    end = time.monotonic() + MAX_WAIT_S
    while True:
        reports = await deployment.reports()
        if condition(reports) or time.monotonic() > end:
            return reports
        await asyncio.sleep(POLL_INTERVAL_S)


def time_figures(at: float, times: list[float | None], name: str) -> Figures:
    """Return the median and the maximum of the times since `at`, and the number of missing times if there are any."""
    elapsed = [moment - at for moment in times if moment is not None]
    figures = {f"{name}: median s": quantile(elapsed, 0.5), f"{name}: last s": max(elapsed, default=float("nan"))}
    if len(elapsed) < len(times):
        figures[f"{name}: proxies missing"] = len(times) - len(elapsed)
    return figures


async def wait_in_force(deployment: Deployment, acknowledged_at: float, version: str, name: str) -> Figures:
    """Wait until a version is in force at all proxies; return the times since its acknowledgement."""
    reports = await poll_until(deployment, lambda rs: all(version in held for held in concatenate(rs, "in_force")))
    return time_figures(acknowledged_at, [held.get(version) for held in concatenate(reports, "in_force")], name)


async def connect_all_proxies(deployment: Deployment) -> Figures:
    """Connect all proxies at once; return the times until they are ready."""
    at = time.monotonic()
    deployment.command("go")
    reports = await poll_until(deployment, lambda rs: None not in concatenate(rs, "complete"))
    return time_figures(at, concatenate(reports, "complete"), "all come at once")


async def wait_for_stable_lists(deployment: Deployment) -> Figures:
    """Wait until all proxies have the same backend list and it no longer changes; return the time that this took."""
    began = time.monotonic()
    last: list[int] = []
    while time.monotonic() < began + MAX_WAIT_S:
        await asyncio.sleep(SETTLE_S)
        numbers = concatenate(await deployment.reports(), "list_numbers")
        if len(set(numbers)) == 1 and numbers == last:
            return {"lists at rest after all came: s": time.monotonic() - began - SETTLE_S}
        last = numbers
    return {"lists not at rest": 1.0}


async def measure_steady_state(deployment: Deployment) -> Figures:
    """Return CPU usage, traffic and response times of charges while there are no changes."""
    before = await snapshot(deployment)
    await asyncio.sleep(STEADY_S)
    after = await snapshot(deployment)
    verdicts = [1000 * seconds for seconds in concatenate(after.reports, "verdicts")]
    return {
        **usage_between(before, after, deployment.proxies),
        "verdict of a charge: median ms": quantile(verdicts, 0.5),
        "verdict of a charge: p99 ms": quantile(verdicts, 0.99),
    }


async def measure_changes(deployment: Deployment, config: JsonObject, steady: Figures) -> Figures:
    """Change the configuration `CHANGES` times.

    Returns the times until the changes are in force, and the cost of a change beyond normal operation (`steady`).
    """
    before = await snapshot(deployment)
    acknowledged_at: dict[str, float] = {}
    for version in range(2, 2 + CHANGES):
        acknowledged_at[f"{version:08x}"], _ = await deployment.put(change_routes(config, version))
        await asyncio.sleep(CHANGE_INTERVAL_S)
    after = await snapshot(deployment)
    elapsed: list[float] = []
    for held in concatenate(after.reports, "in_force"):
        elapsed += [held[version] - at for version, at in acknowledged_at.items() if version in held]
    figures: Figures = {
        "change in force: median s": quantile(elapsed, 0.5),
        "change in force: last s": max(elapsed, default=float("nan")),
    }
    if len(elapsed) < CHANGES * deployment.proxies:  # A proxy may receive a later version in place of an earlier one.
        figures["change in force: passed over"] = CHANGES * deployment.proxies - len(elapsed)
    busy, span = usage_between(before, after, deployment.proxies), after.at - before.at
    figures["change: bytes a proxy"] = (busy["a proxy, all bytes/s"] - steady["a proxy, all bytes/s"]) * span / CHANGES
    for name in ("control leader", "registry with the role", "hollow proxy"):
        extra = busy[f"{name}: % of a core"] - steady[f"{name}: % of a core"]
        figures[f"change: {name} ms of a core"] = 10 * extra * span / CHANGES
    figures["change: a process of hollow proxies at work s"] = (
        figures["change: hollow proxy ms of a core"] * deployment.proxies_per_process / 1000
    )
    return {**figures, **peak_memory(after, deployment.proxies)}


async def kill_counter(deployment: Deployment, config: JsonObject) -> Figures:
    """Kill the machine whose registry is the counter and restart it; return the times until another takes over."""
    counters = Counter(held[1] for held in concatenate(await deployment.reports(), "counters") if held)
    lost = counters.most_common(1)[0][0]
    at = await deployment.kill(lost)
    acknowledged_at, _ = await deployment.put(config)
    reports = await poll_until(
        deployment, lambda rs: all(held and held[1] != lost for held in concatenate(rs, "counters"))
    )
    times = [held[0] if held and held[1] != lost else None for held in concatenate(reports, "counters")]
    figures = {
        **time_figures(at, times, "counter killed, another echoes"),
        "counter killed: next acknowledgement s": acknowledged_at - at,
        **await wait_in_force(deployment, acknowledged_at, config["version"], "counter killed: in force"),
    }
    await deployment.restart(lost)
    await asyncio.sleep(RESTART_DELAY_S)
    return figures


async def kill_leader(deployment: Deployment, config: JsonObject, next_config: JsonObject) -> Figures:
    """Kill the machine that acknowledges configurations; return the times until the next configuration is in force."""
    _, leader = await deployment.put(config)
    at = await deployment.kill(leader)
    acknowledged_at, _ = await deployment.put(next_config)
    return {
        "leader killed: next acknowledgement s": acknowledged_at - at,
        **await wait_in_force(deployment, acknowledged_at, next_config["version"], "leader killed: in force"),
    }


async def measure(folder: Path, proxies: int, proxies_per_process: int, content: Content = SMALL_CONTENT) -> Figures:
    """Run all phases for one size and return their figures."""
    config = content.configuration()
    rows = random_backends(content.backends, list(config["services"]))
    versions = iter(range(2 + CHANGES, 99))
    async with Deployment(folder, proxies, proxies_per_process, rows) as deployment:
        began = time.monotonic()
        acknowledged_at, _ = await deployment.put(config)
        figures = {"first acknowledgement s": acknowledged_at - began, **await connect_all_proxies(deployment)}
        deployment.command(f"rate {CHARGES_PER_S}")
        figures |= await wait_for_stable_lists(deployment)
        steady = await measure_steady_state(deployment)
        figures |= steady
        figures |= await measure_changes(deployment, config, steady)
        figures |= await kill_counter(deployment, change_routes(config, next(versions)))
        figures |= await kill_leader(
            deployment, change_routes(config, next(versions)), change_routes(config, next(versions))
        )
    return figures


async def measure_charges(
    folder: Path, proxies: int, proxies_per_process: int, rates: list[int]
) -> list[tuple[int, Figures]]:
    """Return CPU usage and traffic for each rate of charges per second and proxy."""
    config = SMALL_CONTENT.configuration()
    results: list[tuple[int, Figures]] = []
    async with Deployment(
        folder, proxies, proxies_per_process, random_backends(SMALL_CONTENT.backends, list(config["services"]))
    ) as deployment:
        await deployment.put(config)
        await connect_all_proxies(deployment)
        for rate in rates:
            deployment.command(f"rate {rate}")
            await asyncio.sleep(SETTLE_S)
            figures = await measure_steady_state(deployment)
            results.append((rate, figures))
    return results

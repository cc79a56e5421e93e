"""A scenario of the whole system in steps, with a verdict, as run by `make run`.

Requests are served, a backend is drained, a configuration is changed, a quota is enforced and a core machine is killed.
No request may run twice, at the wrong backend or after its route has been removed.
"""

from __future__ import annotations

import asyncio
import json
import signal
import tempfile
from pathlib import Path
from typing import Any

from standins.system import System
from standins.system_topology import CORES, DIRECTORY, FRONT, FRONTS, HOST, READY, configuration


async def run_scenario(system: System) -> None:
    """Run all steps. Raises AssertionError or TimeoutError if an expectation fails."""
    assert (await system.replace_configuration(configuration(1))).status == 200
    system.log_step("configuration 00000001 is acknowledged, so it is on two disks")
    await wait_until_ready(system)
    await resolve(system)
    await serve(system)
    await hold_quota(system)
    await drain(system)
    await change_configuration(system)
    await reject_configuration(system)
    await lose_core_machine(system)
    check_payments(system)
    await end_proxy(system)


async def wait_until_ready(system: System) -> None:
    """Wait until all proxies are ready."""

    async def ready() -> bool:
        answers = [await system.caller.call(f"{ip}:{READY}", "GET", "/readiness") for ip in FRONTS]
        return all(answer.status == 200 for answer in answers)

    await system.wait_until("all proxies ready", ready)


async def resolve(system: System) -> None:
    """Query the directory for the proxies of a client."""
    found: dict[str, Any] = {}

    async def listed() -> bool:
        target = f"/resolve?name={HOST}&region=r-2&zone=z-3"
        answer = await system.caller.call(f"{FRONTS[0]}:{DIRECTORY}", "GET", target)
        found.update(json.loads(answer.body))
        return bool(found["addresses"] == [f"{FRONTS[2]}:{FRONT}"])

    await system.wait_until("the directory returns the proxy of the client's region", listed)
    system.log_step(f"/resolve for a client in r-2: {found}")


async def serve(system: System) -> None:
    """Check that requests are served, and that those without a tenant or a route are rejected."""

    async def served() -> bool:
        return (await system.send_requests(6)).get(200) == 6

    await system.wait_until("requests are counted and served", served)
    tally = await system.send_requests(120)
    system.log_step(f"120 requests over three proxies: {tally}")
    assert tally == {200: 120}, tally
    assert (await system.send_requests(1, key="key-nobody"))[401]
    assert (await system.send_requests(1, "/nowhere/"))[404]
    system.log_step("an unknown key gets 401, a path without a route 404")


async def hold_quota(system: System) -> None:
    """Send many more requests than a tenant's quota allows."""
    tally = await system.send_requests(200, key="key-small")
    system.log_step(f"200 concurrent requests of a tenant with a burst of 40: {tally}")
    assert tally[429] >= 100 and tally.get(200, 0) <= 60, tally


async def drain(system: System) -> None:
    """Drain a backend and wait until it gets no more requests."""
    drained = system.backends[0]
    drained.phase = "draining"

    def runs() -> int:
        return sum(1 for run in system.runs if run.backend == drained.name)

    async def idle() -> bool:
        before = runs()
        await system.send_requests(30, "/pay/1", method="POST")
        return runs() == before

    await system.wait_until("the draining backend gets no requests", idle)
    system.log_step(f"{drained.name} is draining: it gets no more requests")


async def change_configuration(system: System) -> None:
    """Change the target of a route to another service."""
    assert (await system.replace_configuration(configuration(2, "pages"))).status == 200

    async def moved() -> bool:
        mark = len(system.runs)
        await system.send_requests(30)
        return all("pages" in run.backend for run in system.runs[mark:])

    await system.wait_until("the changed route is in force", moved)
    system.log_step("configuration 00000002 routes /read/ to another service at all proxies")


async def reject_configuration(system: System) -> None:
    """Check that an invalid configuration is rejected."""
    invalid = configuration(3)
    invalid["routes"]["read"]["target"] = "nobody"
    answer = await system.replace_configuration(invalid)
    assert answer.status == 400, answer
    system.log_step(f"an invalid configuration is rejected: {json.loads(answer.body)['error']}")


async def lose_core_machine(system: System) -> None:
    """Kill all processes of a core machine, change the configuration, and start them again."""
    for (program, ip), process in system.processes.items():
        if ip == CORES[0]:
            await process.end(signal.SIGKILL)
            system.log_step(f"{program} on {ip} is killed")
    assert (await system.replace_configuration(configuration(4, "ledger"))).status == 200
    system.log_step("configuration 00000004 is acknowledged without that machine")
    stored = json.loads((await system.call_control("GET", "/Config.Read")).body)
    assert stored["version"] == "00000004", stored

    async def served_again() -> bool:
        mark = len(system.runs)
        tally = await system.send_requests(30)
        return tally == {200: 30} and all("ledger" in run.backend for run in system.runs[mark:])

    await system.wait_until("requests are routed by the new configuration", served_again)
    for program in ("control", "registry"):
        await system.processes[program, CORES[0]].start()


def check_payments(system: System) -> None:
    """Check that no payment ran twice."""
    attempts = [run.attempt for run in system.runs if run.line.startswith("POST")]
    assert len(attempts) == len(set(attempts)), "a payment ran twice"


async def end_proxy(system: System) -> None:
    """Stop a proxy gracefully."""
    code = await system.processes["proxy", FRONTS[0]].end()
    assert code == 0, code
    system.log_step("a proxy stopped by SIGTERM ends with exit code 0")


async def hold(system: System, seconds: float) -> None:
    """Serve one configuration for some seconds."""
    await system.replace_configuration(configuration(1))
    await wait_until_ready(system)
    system.log_step(f"in service for {seconds:g} s: directory {FRONTS[0]}:{DIRECTORY}, host {HOST}, key key-large")
    await asyncio.sleep(seconds)


async def run(hold_s: float = 0.0) -> int:
    """Run the scenario, or serve for `hold_s` seconds; return 0 on success, 1 on a failed expectation."""
    with tempfile.TemporaryDirectory(prefix="system-") as folder:
        try:
            async with System(Path(folder)) as system:
                if hold_s > 0:
                    await hold(system, hold_s)
                    return 0
                await run_scenario(system)
        except (AssertionError, TimeoutError) as error:
            print(f"verdict: broken: {error!r}")
            return 1
    print("verdict: all held")
    return 0

"""Random fault scripts on real fleets, checked by the auditor and by the logs and resource use of the processes.

Quotas and ceilings are checked against the bound of `thistleusher.quota.bound` for the loss, delay and restarts that
the script causes.
"""

from __future__ import annotations

import asyncio
import random
import re
import tempfile
from pathlib import Path
from typing import Any

from soak.case import Case, Outcome
from standins.deployments import DEPLOYMENTS
from standins.faults import ACTIONS, Fault
from standins.fleet import Fleet
from standins.fleet_options import HALL_COUNT, Options, settings
from standins.match import ServerCapacity
from standins.records import Answered, Records
from standins.verdict import PlanRule
from thistleusher.core.settings_parser import nested_settings
from thistleusher.quota.bound import Assumptions, bound_of

MACHINE_DELAY_S = 0.15  # delay that a busy machine may add to a datagram
JOINT_RESTART_S = 2.0  # all ingresses may be down at once if they restart within this time per ingress
VALUE_RANGES = {
    "counter.lose": (0.05, 0.4),
    "counter.spoil": (0.05, 0.4),
    "counter.delay": (0.005, 0.2),
    "counter.forget": (0.02, 0.5),
    "counter.late": (0.1, 0.3),
    "match.slow": (2.0, 8.0),
    "match.errors": (0.1, 1.0),
    "match.resets": (0.05, 0.5),
    "match.cuts": (0.05, 0.5),
    "relay.loss": (0.01, 0.3),
    "relay.delay": (0.0, 0.5),
}
FREQUENT_ACTIONS = (
    "match.errors",
    "match.resets",
    "match.cuts",
    "match.drain",
    "ingress.kill",
    "hall.lose",
    "counter.silence",
)  # actions that are drawn more often, since they are the most likely to break a rule
MAX_MEMORY_GROWTH_MB = 40.0  # growth of resident memory during a run that is judged as a leak
RESIDENT_MEMORY = re.compile(r"VmRSS:\s+(\d+) kB")


def draw(seed: int, seconds: float = 6.0) -> Case:
    """Draw a fleet, its traffic and a script whose faults may overlap."""
    rng = random.Random(seed)
    ingresses, servers = rng.randint(3, 7), rng.randint(4, 20)
    faults = []
    for _ in range(rng.randint(2, 12)):
        do = rng.choice(list(ACTIONS)) if rng.random() < 0.6 else rng.choice(FREQUENT_ACTIONS)
        action = ACTIONS[do]
        target_count = servers if do.startswith("match.") else HALL_COUNT if do.startswith("hall.") else ingresses
        low, high = VALUE_RANGES.get(do, (0.0, 0.0))
        faults.append(
            [
                round(rng.uniform(0.0, seconds * 0.8), 2),
                do,
                rng.randrange(target_count) if action.target else 0,
                round(rng.uniform(0.2, seconds * 0.6), 2) if action.ends else 0.0,
                round(rng.uniform(low, high), 3) if action.value else 0.0,
            ]
        )
    return Case(
        "fleet",
        seed,
        {
            "ingresses": ingresses,
            "servers": servers,
            "seconds": seconds,
            "rate": round(rng.uniform(60.0, 200.0), 1),
            "basic": rng.randint(2, 60),
            "plus": rng.randint(1, 10),
            "move": rng.choice([0.0, 0.7, 2.0]),
            "faults": sorted(faults),
            "deployment": rng.choice(list(DEPLOYMENTS)),
            "folders": rng.random() < 0.4,
        },
    )


def options_of(case: Case) -> Options:
    """Return the fleet options of a case, with the bounds that apply under its script."""
    s = case.size
    faults = tuple(
        Fault(float(at), str(do), int(target), float(duration_s), float(value))
        for at, do, target, duration_s, value in s["faults"]
    )
    deployment = DEPLOYMENTS[s.get("deployment", "matching")]
    last_plan, first_plan = list(deployment.plans)[-1], list(deployment.plans)[0]
    without_bounds = Options(
        ingresses=s["ingresses"],
        servers=s["servers"],
        seconds=s["seconds"],
        rate=s["rate"],
        seed=case.seed % 2**31,
        loss=0.0,
        members={first_plan: s["basic"], last_plan: s["plus"]},
        faults=faults,
        switch_interval_s=s["move"],
        capacity=ServerCapacity(cores=8, work=0.005),
        deployment=deployment,
        folders=bool(s.get("folders", False)),
    )
    return Options(
        **{name: getattr(without_bounds, name) for name in Options.__dataclass_fields__}
        | {"plans": plan_rules(without_bounds)}
    )


def plan_rules(o: Options) -> dict[str, PlanRule]:
    """Return the plans with the errors that the quota bound allows under the script."""
    ingress_settings, _ = nested_settings(settings(o, 0))
    loss = max((f.value for f in o.faults if f.do == "relay.loss"), default=0.0)
    delay = sum(f.value for f in o.faults if f.do == "relay.delay") + MACHINE_DELAY_S
    cut = any(f.do == "relay.isolate" for f in o.faults)
    restarted = restarts(o)
    assumed = Assumptions(min(0.9, loss), delay, outage=o.seconds + 2.0, folders=o.folders)
    out = {}
    for plan in ingress_settings.plans:
        b = bound_of(ingress_settings, plan, assumed)
        quota = b.quota_split if cut or loss > 0.1 else b.quota_cut_off
        rule = o.plans[plan.name]
        out[plan.name] = PlanRule(
            rule.rate,
            rule.burst,
            rule.ceiling_rate,
            rule.ceiling_burst,
            quota + len(restarted) * b.quota_restart,
            (b.ceiling or 0.0) + joint_restarts(restarted, o.ingresses) * (b.ceiling_restart or 0.0),
        )
    return out


def restarts(o: Options) -> list[Fault]:
    """Return the restarts of ingresses that the script causes, with the ingress number as the target."""
    restarted = [f for f in o.faults if f.do.startswith("ingress.")]
    for f in o.faults:
        if f.do == "hall.lose":
            restarted += [
                Fault(f.at + f.duration_s, "ingress.kill", n) for n in range(f.target, o.ingresses, HALL_COUNT)
            ]
    return sorted(restarted)


def joint_restarts(restarted: list[Fault], ingresses: int) -> int:
    """Return how often all ingresses may have been down at once, since each of them restarted within a short time."""
    count, recent = 0, dict[int, float]()
    for f in sorted(restarted):
        recent[f.target] = f.at
        if len(recent) == ingresses and f.at - min(recent.values()) < JOINT_RESTART_S * ingresses:
            count += 1
            recent.clear()
    return count


async def run_once(case: Case) -> Outcome:
    """Run a case and return its first failure.

    The checks, in order: processes that ended, logged errors, the auditor's rules, status 500, memory and descriptors.
    """
    records = Records()
    with tempfile.TemporaryDirectory(prefix="soak-") as folder:
        async with Fleet(options_of(case), Path(folder), records) as fleet:
            before = memory_and_descriptors(fleet)
            verdict = await fleet.run()
            after = memory_and_descriptors(fleet)
            ended = [i.number for i in fleet.ingresses if i.process is None or i.process.returncode not in (None, 0)]
            restarted_ingresses = {f.target for f in restarts(fleet.options)}
            sent = fleet.front.sent if fleet.front else 0
            logs = {i.number: i.log.read_text(errors="replace") for i in fleet.ingresses}
    for number in ended:
        if number not in restarted_ingresses:
            return Outcome(f"ingress {number} ended, but no fault restarted it: {logs[number][-300:]}", "process", sent)
    for number, text in logs.items():
        lines = [line for line in text.splitlines() if " ERROR " in line or "Traceback" in line]
        if lines:
            at = text.index(lines[0])
            return Outcome(f"ingress {number} logged: {text[at:at + 1500]}", "log", sent)
    if not verdict.kept:
        rules_broken = sorted({b.rule for b in verdict.breaches})
        return Outcome("; ".join(f"{b.rule}: {b.message}" for b in verdict.breaches[:4]), "+".join(rules_broken), sent)
    faults = [r for r in records.of_kind(Answered) if r.status == 500]
    if faults:
        return Outcome(f"{len(faults)} answers with status 500, first to {faults[0].id}", "status", sent)
    for number, (mb, descriptors) in after.items():
        if number in before and mb - before[number][0] > MAX_MEMORY_GROWTH_MB:
            return Outcome(f"ingress {number} grew from {before[number][0]:.0f} to {mb:.0f} MB", "memory", sent)
        if descriptors > 1024:
            return Outcome(f"ingress {number} has {descriptors} open descriptors", "descriptors", sent)
    return Outcome(count=sent)


def memory_and_descriptors(fleet: Fleet) -> dict[int, tuple[float, int]]:
    """Return the resident megabytes and open descriptors of each running ingress, if `/proc` provides them."""
    out = {}
    for i in fleet.ingresses:
        if i.process is None or i.process.returncode is not None:
            continue
        home = Path(f"/proc/{i.process.pid}")
        try:
            found = RESIDENT_MEMORY.search((home / "status").read_text())
            out[i.number] = (int(found[1]) / 1024 if found else 0.0, len(list((home / "fd").iterdir())))
        except OSError:
            continue
    return out


def run(case: Case) -> Outcome:
    """Run a case in a new event loop; a fleet that does not end in time is a failure."""
    limit = float(case.size["seconds"]) + 60.0

    async def main() -> Outcome:
        return await asyncio.wait_for(run_once(case), limit)

    why = ""
    for _ in range(4):
        try:
            return asyncio.run(main())
        except TimeoutError as error:
            why = str(error)
        if (
            "could not bind" not in why
        ):  # otherwise another fleet took a port between its selection and its use: try again
            break
    return Outcome(f"the fleet did not end within {limit:.0f} s, or an ingress did not become ready: {why}", "ends")


def smaller_cases(case: Case) -> list[Case]:
    """Return smaller cases, the largest reductions first: fewer faults, a shorter run, a smaller fleet."""
    s: dict[str, Any] = case.size
    faults: list[list[Any]] = s["faults"]
    out = []
    half = len(faults) // 2
    if half:
        out += [case.with_size(faults=faults[:half]), case.with_size(faults=faults[half:])]
    if len(faults) > 1:
        out += [case.with_size(faults=faults[:n] + faults[n + 1 :]) for n in range(len(faults))]
    last = max((f[0] + f[3] for f in faults), default=0.0)
    if s["seconds"] > last + 1.5:
        out.append(case.with_size(seconds=round(last + 1.0, 2)))
    targets = [f[2] for f in faults if f[1].startswith("match.")]
    if s["servers"] > max(targets, default=0) + 4:
        out.append(case.with_size(servers=max(4, max(targets, default=0) + 1)))
    targets = [f[2] for f in faults if not f[1].startswith(("match.", "hall."))]
    if s["ingresses"] > max(3, max(targets, default=0) + 1):
        out.append(case.with_size(ingresses=max(3, max(targets, default=0) + 1)))
    if s["basic"] + s["plus"] > 4:
        out.append(case.with_size(basic=min(2, s["basic"]), plus=min(2, s["plus"])))
    return out

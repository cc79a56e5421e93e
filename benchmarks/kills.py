"""Kill ingresses at random under load; count what they restore from their state folders and which rules are broken.

    python -m benchmarks.kills --kills 500 --at-once 4

Each deployment has three ingresses with a state folder each. Every ingress is killed repeatedly at random moments,
while the counter answers, is silent or recovers, and customers move between ingresses all the time. The auditor checks
each deployment against the documented bound for ingresses with state folders. Prints the number of kills, requests,
restored customers and reservations, corrupt records and broken rules.
"""

from __future__ import annotations

import argparse
import asyncio
import random
import re
import tempfile
from collections import Counter
from pathlib import Path

from soak.case import Case
from soak.fleets import options_of
from standins.fleet import Fleet
from standins.records import Records

RUN_DURATION_S = 20.0
KILL_INTERVAL_S = 0.7  # Base interval between two kills of one ingress, whose start takes 0.3 s.
PORT_ATTEMPTS = 4  # Maximum attempts to start a deployment whose ports another process has taken.
# The log line that each incarnation with a state folder writes at its start, and the names of its counts.
START_LINE = re.compile(r"state: life (\d+), (\d+) members put back, (\d+) rooms, (\d+) records spoilt")
RESTORED = ("customers restored", "reservations restored", "records corrupt")


def draw_case(seed: int) -> Case:
    """Generate the traffic and the kills of one deployment from a seed."""
    rng = random.Random(seed)
    faults: list[list[object]] = [[2.0, "counter.silence", 0, 6.0, 0.0], [12.0, "counter.silence", 0, 4.0, 0.0]]
    for n in range(3):
        at = 0.5 + rng.random()
        while at < RUN_DURATION_S - 2.0:
            faults.append([round(at, 3), "ingress.kill", n, 0.0, 0.0])
            at += KILL_INTERVAL_S * rng.uniform(0.8, 1.6)
    return Case(
        "fleet",
        seed,
        {
            "ingresses": 3,
            "servers": 6,
            "seconds": RUN_DURATION_S,
            "rate": 120.0,
            "basic": 20,
            "plus": 4,
            "move": 0.7,
            "faults": sorted(faults),
            "deployment": "matching",
            "folders": True,
        },
    )


async def run_case(seed: int, counts: Counter[str]) -> int:
    """Run one deployment, add its counts to `counts`, and return its number of kills."""
    drawn_case, records = draw_case(seed), Records()
    with tempfile.TemporaryDirectory(prefix="kills-") as folder:
        async with Fleet(options_of(drawn_case), Path(folder), records) as fleet:
            verdict = await fleet.run()
            counts["tries"] += fleet.front.sent if fleet.front else 0
        for ingress in fleet.ingresses:
            for start in START_LINE.finditer(ingress.log.read_text(errors="replace")):
                counts["incarnations"] += 1
                for name, count in zip(RESTORED, start.groups()[1:], strict=True):
                    counts[name] += int(count)
    for breach in verdict.breaches:
        counts[f"rule {breach.rule}"] += 1
        print(f"seed {seed}: {breach.rule}: {breach.message}", flush=True)
    return sum(f[1] == "ingress.kill" for f in drawn_case.size["faults"])


async def run_with_free_ports(seed: int, counts: Counter[str]) -> int:
    """Run one deployment; retry if another process takes a port between its selection and its use."""
    for _ in range(PORT_ATTEMPTS):
        try:
            return await run_case(seed, counts)
        except TimeoutError as error:
            if "could not bind" not in str(error):
                raise
    return 0


async def main() -> None:
    """Run deployments until `--kills` kills have been made, and print the counts."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--kills", type=int, default=500)
    parser.add_argument("--at-once", type=int, default=3, help="deployments that run at the same time")
    parser.add_argument("--seed", type=int, default=1)
    args = parser.parse_args()
    counts = Counter[str]()
    kills = 0
    seed = args.seed
    while kills < args.kills:
        kills += sum(await asyncio.gather(*(run_with_free_ports(seed + n, counts) for n in range(args.at_once))))
        seed += args.at_once
    print(f"{kills} kills; " + ", ".join(f"{n} {name}" for name, n in sorted(counts.items())))


if __name__ == "__main__":
    asyncio.run(main())

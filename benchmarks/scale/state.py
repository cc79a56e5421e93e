"""What the state of the target size costs one process: a configuration, a list of backends, a publisher's round."""

from __future__ import annotations

import json
import random
import subprocess
import sys
import time
import zlib
from collections.abc import Callable
from pathlib import Path
from typing import Any

from benchmarks.scale.inputs import PAGE, backends, changed, configuration, settings
from roadspur.common.boot import read_boot
from roadspur.common.configuration import Index, kept_configuration
from roadspur.proxy.decisions import Decisions
from roadspur.proxy.placement import Place
from roadspur.registry.instances import Survey
from roadspur.services.wire import read_address
from roadspur.transport.news import Publisher, State

ROUTES, SERVICES, TENANTS, BACKENDS = 16_000, 360, 160_000, 10_000
PARTS = (16, 4, 1)  # of the target
FOLLOWERS = (30, 100, 300, 1000)
TARGET_FOLLOWERS = 2800
MB = 1024 * 1024

Figures = dict[str, float]


def resident_mb() -> float:
    """Memory of this process now."""
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return pages * 4096 / MB


def timed(work: Callable[[], object]) -> float:
    """Processor seconds of this process."""
    began = time.process_time()
    work()
    return time.process_time() - began


def decisions() -> Decisions:
    """A proxy's."""
    boot = read_boot(settings("proxy-0", "proxy", "127.0.0.1", "z-0", Path("/")))
    return Decisions(boot.node_name, boot.zone, boot.region, boot.bounds, random.Random(1), 0.0)


def configuration_state(part: int) -> Figures:
    """A configuration of a part of the target: sizes, and what it costs the control machine and a proxy."""
    config = configuration(ROUTES // part, SERVICES, TENANTS // part)
    body = json.dumps(config, separators=(",", ":")).encode()
    size = {name: len(json.dumps(config[name], separators=(",", ":"))) / MB for name in ("routes", "tenants")}
    again = json.dumps(changed(config, 2), separators=(",", ":")).encode()
    del config
    packed = zlib.compress(body, 6)
    deciding = decisions()
    before = resident_mb()
    held: list[Index] = []
    read_s = timed(lambda: held.append(Index(kept_configuration(zlib.decompress(packed)))))
    taken_s = timed(lambda: deciding.configured(0.0, held[0].config))
    proxy_mb = resident_mb() - before
    second_s = timed(lambda: deciding.configured(1.0, Index(kept_configuration(again)).config))
    from roadspur.common.checks import read_configuration  # after the proxy's figures, as a proxy does not load it

    return {
        "whole MB": len(body) / MB,
        "of it routes MB": size["routes"],
        "of it tenants MB": size["tenants"],
        "compressed MB": len(packed) / MB,
        "control: check s": timed(lambda: read_configuration(body)),
        "control: compress s": timed(lambda: zlib.compress(body, 6)),
        "proxy: read s": read_s,
        "proxy: take in s": taken_s,
        "proxy: memory MB": proxy_mb,
        "proxy: the next whole one s": second_s,
    }


def list_state(part: int) -> Figures:
    """A list of backends of a part of the target: what a reading costs the registry, and the list a proxy."""
    count = BACKENDS // part
    rows = backends(count, [f"s-{n}" for n in range(SERVICES)])
    pages = [
        json.dumps(
            {"instances": rows[start : start + PAGE], "next_token": str(start + PAGE) if start + PAGE < count else None}
        ).encode()
        for start in range(0, count, PAGE)
    ]
    survey = Survey(0.0, 47.0)
    now = read_s = 0.0
    changes: dict[str, dict[str, Any] | None] = {}
    for page in pages:
        now = max(now, survey.next)
        survey.due(now)
        began = time.process_time()
        changes = survey.page(now, page) or changes
        read_s += time.process_time() - began
    deciding = decisions()
    before = resident_mb()
    places = {
        name: Place(name, entry["s"], read_address(entry["a"]), entry["z"], "r-0", entry["c"], False, 0.0)
        for name, entry in changes.items()
        if entry is not None
    }
    first_s = timed(lambda: deciding.listed(0.0, places))
    proxy_mb = resident_mb() - before
    places.pop(next(iter(places)))
    return {
        "registry: pages": len(pages),
        "registry: seconds of a reading": now,
        "registry: processor s": read_s,
        "registry: backends found": len(changes),
        "proxy: take in s": first_s,
        "proxy: memory MB": proxy_mb,
        "proxy: one backend less s": timed(lambda: deciding.listed(1.0, dict(places))),
    }


def publisher_state(followers: int) -> Figures:
    """One change of the registry's state told to followers; the state holds members and backends as at the target."""
    members = {
        f"m:proxy-{n}": {"front": "127.0.0.1:80", "ip": "127.0.0.1", "zone": "z-0", "region": "r-0", "up": True}
        for n in range(followers)
    }
    listed = {
        f"b:i-{n}": {"s": "s", "a": "127.0.0.1:80"} for n in range(round(followers * BACKENDS / TARGET_FOLLOWERS))
    }
    state = State()
    state.set(1, {**members, **listed})
    publisher = Publisher(state)
    for n in range(followers):
        publisher.follow(f"proxy-{n}", 1)
    state.set(2, {"m:proxy-0": {**members["m:proxy-0"], "up": False}})
    return {"one change to all: processor s": timed(publisher.tell)}


STATES: dict[str, tuple[Callable[[int], Figures], dict[int, int], int]] = {
    "configuration, by tenants": (configuration_state, {TENANTS // part: part for part in PARTS}, TENANTS),
    "list, by backends": (list_state, {BACKENDS // part: part for part in PARTS}, BACKENDS),
    "publisher, by followers": (publisher_state, {n: n for n in (*FOLLOWERS, TARGET_FOLLOWERS)}, TARGET_FOLLOWERS),
}


def measure_states() -> dict[str, tuple[list[tuple[int, Figures]], int]]:
    """Each state in a process of its own, as memory is measured."""
    found: dict[str, tuple[list[tuple[int, Figures]], int]] = {}
    for name, (_, sizes, target) in STATES.items():
        results = []
        for size, argument in sizes.items():
            done = subprocess.run(
                [sys.executable, "-m", "benchmarks.scale.state", name, str(argument)],
                check=True,
                capture_output=True,
                text=True,
            )
            results.append((size, json.loads(done.stdout)))
        found[name] = results, target
    return found


if __name__ == "__main__":
    print(json.dumps(STATES[sys.argv[1]][0](int(sys.argv[2]))))

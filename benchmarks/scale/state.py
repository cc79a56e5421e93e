"""Measure the cost of the target state in one process: configuration, backend list, updates and charges."""

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

from benchmarks.scale.inputs import PAGE_SIZE, change_routes, random_backends, random_configuration, settings
from thistleusher.common.settings_reader import read_node_settings
from thistleusher.configuration import items as config_items
from thistleusher.proxy.decisions import Decisions
from thistleusher.proxy.placement import ListedBackend
from thistleusher.registry.backend_poller import BackendPoller
from thistleusher.registry.charges import MAX_RECORDED_CHARGES, ChargeTable
from thistleusher.registry.quota_counter import QuotaCounter
from thistleusher.services.addresses import read_address
from thistleusher.transport.codec import decode, encode
from thistleusher.transport.messages import Charge, StateUpdate
from thistleusher.transport.state_updates import Publisher, State, Subscriber

ROUTES, SERVICES, TENANTS, BACKENDS = 16_000, 360, 160_000, 10_000
TARGET_DIVISORS = (16, 4, 1)  # Divisors of the target size.
SUBSCRIBERS = (30, 100, 300, 1000)
SENDERS = (30, 100, 300)
TARGET_SUBSCRIBERS = 2800
MB = 1024 * 1024

Figures = dict[str, float]


def resident_mb() -> float:
    """Return the resident memory of this process in MiB."""
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return pages * 4096 / MB


def timed(call: Callable[[], object]) -> float:
    """Return the CPU seconds that a function call takes."""
    began = time.process_time()
    call()
    return time.process_time() - began


def decisions() -> Decisions:
    """Return the decision component of a proxy."""
    boot = read_node_settings(settings("proxy-0", "proxy", "127.0.0.1", "z-0", Path("/")))
    return Decisions(boot.node_name, boot.zone, boot.region, boot.bounds, random.Random(1), 0.0)


class ConfiguredProxy:
    """The part of a proxy that processes updates of the control state, without connections."""

    def __init__(self) -> None:
        self.subscriber = Subscriber("proxy-0")
        self.configuration = config_items.ConfigurationFollower()
        self.decisions = decisions()

    def receive(self, data: bytes) -> None:
        """Process an encoded update."""
        update = decode(data)
        assert isinstance(update, StateUpdate)
        changed, _ = self.subscriber.apply(update)
        assert changed is not None
        self.configuration.update(self.subscriber.state, changed)
        assert self.configuration.index is not None
        self.decisions.apply_configuration(0.0, self.configuration.index.config)


def configuration_state(divisor: int) -> Figures:
    """Measure a configuration of the target size divided by `divisor`: its sizes, and its cost and that of a change.

    The cost is that of the control process and of a proxy.
    """
    config = random_configuration(ROUTES // divisor, SERVICES, TENANTS // divisor)
    body = json.dumps(config, separators=(",", ":")).encode()
    size = {name: len(json.dumps(config[name], separators=(",", ":"))) / MB for name in ("routes", "tenants")}
    second_body = json.dumps(change_routes(config, 2), separators=(",", ":")).encode()
    del config
    state = State()
    before = resident_mb()
    first_s = timed(lambda: state.apply(1, config_items.changed_items(state, 1, body)))
    control_mb = resident_mb() - before
    complete_state = encode(state.update_since(0))
    second_s = timed(lambda: state.apply(2, config_items.changed_items(state, 2, second_body)))
    change = encode(state.update_since(1))
    proxy = ConfiguredProxy()
    before = resident_mb()
    whole_s = timed(lambda: proxy.receive(complete_state))
    proxy_mb = resident_mb() - before
    change_s = timed(lambda: proxy.receive(change))
    # Imported after the proxy's figures are taken, as a proxy does not load this module.
    from thistleusher.configuration.validation import read_configuration

    return {
        "document MB": len(body) / MB,
        "of it routes MB": size["routes"],
        "of it tenants MB": size["tenants"],
        "whole state, message MB": len(complete_state) / MB,
        "whole state, compressed MB": len(zlib.compress(complete_state, 6)) / MB,
        "change, message bytes": len(change),
        "control: check s": timed(lambda: read_configuration(body)),
        "control: first document to items s": first_s,
        "control: next document to items s": second_s,
        "control: items MB of memory": control_mb,
        "control: encode whole state s": timed(lambda: encode(state.update_since(0))),
        "control: encode change us": 1e6 * timed(lambda: [encode(state.update_since(1)) for _ in range(3)]) / 3,
        "proxy: whole state s": whole_s,
        "proxy: memory MB": proxy_mb,
        "proxy: change s": change_s,
    }


def list_state(divisor: int) -> Figures:
    """Measure a backend list of the target size divided by `divisor`: the cost of reading it and of using it.

    The registry reads the list page by page, at the platform's permitted rate of calls.
    """
    count = BACKENDS // divisor
    rows = random_backends(count, [f"s-{n}" for n in range(SERVICES)])
    pages = [
        json.dumps(
            {
                "instances": rows[start : start + PAGE_SIZE],
                "next_token": str(start + PAGE_SIZE) if start + PAGE_SIZE < count else None,
            }
        ).encode()
        for start in range(0, count, PAGE_SIZE)
    ]
    poller = BackendPoller(0.0, 47.0)
    now = read_s = 0.0
    changes: dict[str, dict[str, Any] | None] = {}
    for page in pages:
        now = max(now, poller.next_call_at)
        poller.begin_call(now)
        began = time.process_time()
        changes = poller.receive_page(now, page) or changes
        read_s += time.process_time() - began
    state = State()
    state.apply(1, {f"b:{name}": entry for name, entry in changes.items()})
    state.apply(2, {f"b:{rows[0]['id']}": {**(changes[rows[0]["id"]] or {}), "p": "draining"}})
    proxy_decisions = decisions()
    before = resident_mb()
    listed_backends = {
        name: ListedBackend(name, entry["s"], read_address(entry["a"]), entry["z"], "r-0", entry["c"], False, 0.0)
        for name, entry in changes.items()
        if entry is not None
    }
    first_s = timed(lambda: proxy_decisions.apply_backends(0.0, listed_backends))
    proxy_mb = resident_mb() - before
    listed_backends.pop(next(iter(listed_backends)))
    return {
        "registry: pages": len(pages),
        "registry: seconds of a reading": now,
        "registry: processor s": read_s,
        "registry: backends found": len(changes),
        "whole list, message MB": len(encode(state.update_since(0))) / MB,
        "one backend, message bytes": len(encode(state.update_since(1))),
        "proxy: take in s": first_s,
        "proxy: memory MB": proxy_mb,
        "proxy: one backend less s": timed(lambda: proxy_decisions.apply_backends(1.0, dict(listed_backends))),
    }


def publisher_state(subscribers: int) -> Figures:
    """Measure the cost of publishing a change of the registry's state to all subscribers.

    The ratio of backends to proxies is that of the target.
    """
    members = {
        f"m:proxy-{n}": {"front": "127.0.0.1:80", "ip": "127.0.0.1", "zone": "z-0", "region": "r-0", "up": True}
        for n in range(subscribers)
    }
    listed = {
        f"b:i-{n}": {"s": "s", "a": "127.0.0.1:80"} for n in range(round(subscribers * BACKENDS / TARGET_SUBSCRIBERS))
    }
    state = State()
    state.apply(1, {**members, **listed})
    publisher = Publisher(state)
    for n in range(subscribers):
        publisher.subscribe(f"proxy-{n}", 1)
    state.apply(2, {"m:proxy-0": {**members["m:proxy-0"], "up": False}})
    return {"one change to all: processor s": timed(publisher.updates_due)}


def counter_state(senders: int) -> Figures:
    """Measure memory and CPU time of the counter after each sender has sent the maximum number of recorded charges."""
    counts = QuotaCounter(0.0)
    tenants = [f"t-{n}" for n in range(1000)]
    counts.configure(dict.fromkeys(tenants, (1e6, 1e6)), {})
    charges = ChargeTable(counts)
    names = [f"proxy-{n}" for n in range(senders)]
    for name in names:
        counts.shares.record_heartbeat(0.0, name, "life", None)
    before = resident_mb()

    def charge_all() -> None:
        for number in range(1, MAX_RECORDED_CHARGES + 1):
            for name in names:
                charges.receive(2.0, name, Charge("life", number, tenants[number % len(tenants)], 1, -1))

    spent_s = timed(charge_all)
    return {
        "memory of the charge table MB": resident_mb() - before,
        "processor of one charge, without its messages us": 1e6 * spent_s / (MAX_RECORDED_CHARGES * senders),
    }


STATES: dict[str, tuple[Callable[[int], Figures], dict[int, int], int]] = {
    "configuration, by tenants": (
        configuration_state,
        {TENANTS // divisor: divisor for divisor in TARGET_DIVISORS},
        TENANTS,
    ),
    "list, by backends": (list_state, {BACKENDS // divisor: divisor for divisor in TARGET_DIVISORS}, BACKENDS),
    "publisher, by followers": (
        publisher_state,
        {n: n for n in (*SUBSCRIBERS, TARGET_SUBSCRIBERS)},
        TARGET_SUBSCRIBERS,
    ),
    "counter, by proxies": (counter_state, {n: n for n in SENDERS}, TARGET_SUBSCRIBERS),
}


def measure_states() -> dict[str, tuple[list[tuple[int, Figures]], int]]:
    """Measure each state and size in a separate process, so that memory figures are independent of each other."""
    found: dict[str, tuple[list[tuple[int, Figures]], int]] = {}
    for name, (_, sizes, target) in STATES.items():
        results = []
        for size, argument in sizes.items():
            completed = subprocess.run(
                [sys.executable, "-m", "benchmarks.scale.state", name, str(argument)],
                check=True,
                capture_output=True,
                text=True,
            )
            results.append((size, json.loads(completed.stdout)))
        found[name] = results, target
    return found


if __name__ == "__main__":
    print(json.dumps(STATES[sys.argv[1]][0](int(sys.argv[2]))))

"""A fleet on loopback: ingress processes and stand-ins, with traffic, a fault script and an audit of the run."""

from __future__ import annotations

import asyncio
import resource
import socket
import tempfile
from collections.abc import Callable, Coroutine
from contextlib import suppress
from pathlib import Path
from typing import Any

from standins.auditor import audit
from standins.counter import Counter
from standins.discovery import Discovery
from standins.faults import play_script
from standins.fleet_faults import COUNTER_DELAY_S, FaultSwitch, check_targets
from standins.fleet_options import HALL_COUNT, Options, settings
from standins.front import Front, Traffic
from standins.ingress_process import HOST, IngressProcess
from standins.match import IdempotencyKeys, MatchServer
from standins.ports import bind_ports, free_ports
from standins.records import Records
from standins.relay import Relay
from standins.verdict import Rules, Verdict

COUNTER_CALLS_PER_S = 2000.0  # capacity of each part of the counter
INITIAL_SERVER_AGE_S = 1000.0  # age of the servers at the start of the fleet, so that they are warm


class Fleet:
    """Starts and stops all stand-ins and ingresses, as an async context manager."""

    def __init__(self, options: Options, folder: Path, records: Records | None = None) -> None:
        """Prepare a fleet. Raises ScriptError if the target of a fault does not exist."""
        check_targets(options, options.faults)
        self.options = options
        self.records = records or Records()
        self.folder = folder
        self.counter = self._new_counter(options.seed)
        self.second_counter = self._new_counter(options.seed + 1)  # serves the ingresses that a fault moves away
        self.discovery = Discovery(self.records)
        self.keys = IdempotencyKeys()
        self.servers = [
            MatchServer(f"s-{n}", self.records, options.capacity, self.keys, options.seed)
            for n in range(options.servers)
        ]
        self.ingresses: list[IngressProcess] = []
        self.relay: Relay | None = None
        self.front: Front | None = None
        self._faults = FaultSwitch(
            options,
            self.records,
            self.counter,
            self.second_counter,
            self.discovery,
            self.servers,
            self.ingresses,
            self.set_server_status,
        )

    def _new_counter(self, seed: int) -> Counter:
        return Counter(self.records, seed, parts=2, per_s=COUNTER_CALLS_PER_S, delay=COUNTER_DELAY_S)

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
        """Start the stand-ins, then the ingresses, and wait until the ingresses are ready."""
        await self._start_standins()
        ports = free_ports(self.options.ingresses, self.options.port)
        peers = await self._start_relay()
        for number, port in enumerate(ports):
            config = self._ingress_configuration(number, port, peers[number])
            ingress = IngressProcess(number, port, config, self.folder, self.options.folders)
            self.ingresses.append(ingress)
            await ingress.start()
        for ingress in self.ingresses:
            await ingress.wait_until_ready()
        self.front = Front([(HOST, port) for port in ports], self._traffic(), self.records)

    async def _start_standins(self) -> None:
        await self.counter.start()
        await self.second_counter.start()
        await self.discovery.start()
        for number, server in enumerate(self.servers):
            await server.start()
            server.started_at -= INITIAL_SERVER_AGE_S
            self.records.all.pop()  # the record of the start would make the auditor treat the server as cold
            self.set_server_status(number)

    async def _start_relay(self) -> list[tuple[str, int]]:
        """Start the relay; return the addresses on which the ingresses listen for datagrams of their peers."""
        options = self.options
        sockets = bind_ports(options.ingresses, 0, socket.SOCK_DGRAM)
        peers = [(HOST, s.getsockname()[1]) for s in sockets]
        self.relay = Relay(peers, options.seed, options.loss, options.delay)
        self._faults.relay = self.relay
        try:
            await (
                self.relay.start()
            )  # the relay draws its ports from the same range, so these stay bound until it has started
        finally:
            for s in sockets:
                s.close()
        return peers

    def _ingress_configuration(self, number: int, port: int, peer_listen: tuple[str, int]) -> dict[str, Any]:
        assert self.relay is not None
        return {
            "name": f"n{number}",
            "listen": f"{HOST}:{port}",
            "discovery": self.discovery.address,
            "counter": self.counter.address,
            "peer_listen": f"{peer_listen[0]}:{peer_listen[1]}",
            "peers": self.relay.addresses,
            "seed": f"{self.options.seed + number:x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": self.discovery.listing(),
            "settings": settings(self.options, number),
        }

    def _traffic(self) -> Traffic:
        options = self.options
        return Traffic(
            options.seconds,
            options.rate,
            options.members,
            options.deployment.classes,
            seed=options.seed,
            spread=options.ingresses,
            switch_interval_s=options.switch_interval_s,
        )

    async def run(self, watch: Callable[[], Coroutine[Any, Any, None]] | None = None) -> Verdict:
        """Run the traffic and the fault script; return the auditor's verdict."""
        assert self.front is not None
        watching = asyncio.create_task(watch()) if watch else None
        playing = asyncio.create_task(play_script(list(self.options.faults), self._faults.switch))
        try:
            await self.front.run()
        finally:
            for task in (playing, watching):
                if task is not None:
                    task.cancel()
                    with suppress(asyncio.CancelledError):
                        await task
        return audit(self.records.all, self._rules())

    def _rules(self) -> Rules:
        deployment = self.options.deployment
        return Rules(
            self.options.plans,
            {name: shape.effect for name, shape in deployment.classes.items()},
            fault_free=not self.options.faults,
            cold_multiple=deployment.cold_multiple,
            cold_window=deployment.cold_window,
        )

    async def stop(self) -> None:
        """Stop the ingresses gracefully, then the stand-ins."""
        for task in self._faults.tasks:
            task.cancel()
        await asyncio.gather(*(ingress.end() for ingress in self.ingresses))
        if self.relay is not None:
            self.relay.stop()
        services = (self.counter, self.second_counter, self.discovery, *self.servers)
        await asyncio.gather(*(service.stop() for service in services))

    def set_server_status(self, number: int, status: str = "SERVING") -> None:
        """Set the status of a server in discovery's list."""
        server = self.servers[number]
        self.discovery.put(server.name, server.address, status, f"z{number % HALL_COUNT}", number, server.started_at)


def child_cpu_seconds() -> float:
    """Return the CPU seconds of all child processes that have ended and been waited for."""
    used = resource.getrusage(resource.RUSAGE_CHILDREN)
    return used.ru_utime + used.ru_stime


async def run_fleet(
    options: Options, watch: Callable[[Fleet], Coroutine[Any, Any, None]] | None = None, records: Records | None = None
) -> tuple[Verdict, float, int]:
    """Start, run and stop a fleet; return the verdict, the ingresses' CPU seconds and the number of requests sent."""
    before = child_cpu_seconds()
    with tempfile.TemporaryDirectory(prefix="fleet-") as folder:
        async with Fleet(options, Path(folder), records) as fleet:
            verdict = await fleet.run((lambda: watch(fleet)) if watch else None)
            sent = fleet.front.sent if fleet.front else 0
    return verdict, child_cpu_seconds() - before, sent

"""Hollow proxies: several in one process, each the real proxy program without client listeners and HTTP.

`python -m benchmarks.scale.hollow FOLDER FIRST COUNT` runs the proxies FIRST to FIRST + COUNT - 1. Each has its own
loopback address, connections, `ClusterView`, quota and ring. In place of clients, charges are generated at random times
with a given rate. The process reads commands as lines from standard input (`go`, `rate PER_S`, `report`), writes
reports as lines of JSON to standard output, and exits at the end of its input.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import sys
import time
from pathlib import Path
from typing import Any

import uvloop
from absl import logging

from benchmarks.scale.inputs import proxy_address, proxy_zone, settings
from thistleusher.common.node_settings import CONTROL, PROXY, REGISTRY, RING
from thistleusher.common.process import TICK_S
from thistleusher.common.settings_file import SettingsFile
from thistleusher.proxy.commands import ApplyConfiguration, Command, DeliverChargeAnswer
from thistleusher.proxy.program import ProxyProgram
from thistleusher.proxy.requests import ChargeTenant
from thistleusher.proxy.ring_socket import RingSocket
from thistleusher.transport import links

MAX_VERDICT_TIMES = 200_000  # Maximum number of response times of charges that a proxy stores; bounds its memory.


class Traffic:
    """Counts of bytes and messages of all proxies in this process, by the program at the other end and direction."""

    def __init__(self) -> None:
        self.counts: dict[str, int] = {}

    def add(self, program: str, direction: str, size: int, messages: int) -> None:
        """Add bytes and messages that were exchanged with a program in a direction, "in" or "out"."""
        for name, value in ((f"{program} bytes {direction}", size), (f"{program} messages {direction}", messages)):
            self.counts[name] = self.counts.get(name, 0) + value


class CountedLink(links.Link):
    """A persistent connection whose bytes and messages are counted.

    Received keep-alive messages are counted as bytes but not as messages.
    """

    traffic = Traffic()
    ports: dict[int, str] = {}

    def __init__(
        self, loop: asyncio.AbstractEventLoop, on_open: Any, on_message: Any, on_end: Any, deframer: Any = None
    ) -> None:
        def count_message(link: links.Link, message: Any) -> None:
            self.traffic.add(self.program, "in", 0, 1)
            on_message(link, message)

        super().__init__(loop, on_open, count_message, on_end, deframer)
        self.program = "peer"

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Determine the program at the other end from its port."""
        self.program = self.ports.get(transport.get_extra_info("peername")[1], "peer")
        super().connection_made(transport)

    def data_received(self, data: bytes) -> None:
        """Count and process received bytes."""
        self.traffic.add(self.program, "in", len(data), 0)
        super().data_received(data)

    def write(self, data: bytes) -> None:
        """Count and send a message."""
        self.traffic.add(self.program, "out", len(data), 1)
        super().write(data)


class CountedRingSocket(RingSocket):
    """The socket of the ring's heartbeats, with its received datagrams counted."""

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Count and process a heartbeat."""
        CountedLink.traffic.add("ring", "in", len(data), 1)
        super().datagram_received(data, addr)


class HollowProxy(ProxyProgram):
    """The proxy program without client listeners; it records when configurations and counters take effect."""

    def __init__(self, settings: SettingsFile, seed: int) -> None:
        super().__init__(settings)
        self.ring_socket = CountedRingSocket(self._on_heartbeat)
        self.random = random.Random(seed)
        self.rate = 0.0
        self.pending_charges: dict[str, float] = {}
        self.charge_count = 0
        self.in_force: dict[str, float] = {}  # Time at which each configuration version took effect.
        self.counters: list[tuple[float, str]] = []  # Time of the first echo of each counter, and the counter.
        self.ready_at: float | None = None  # Time at which the proxy was first ready and had a counter.
        self.verdict_times: list[float] = []
        self.tenants: list[str] = []

    async def open(self) -> None:
        """Open the ports for other proxies: the ring's heartbeats and hand-overs."""
        await self.loop.create_datagram_endpoint(
            lambda: self.ring_socket, local_addr=(self.node_settings.ip, self.node_settings.port(RING))
        )
        await self.hand_over_listener.listen(self.node_settings.ip, self.node_settings.port(PROXY))

    def begin(self) -> None:
        """Connect to the core; ticks and charges start at random moments, so that the proxies are not in step."""
        self._connect_to_core(self.node_settings.core_ips)
        self.loop.call_later(TICK_S * self.random.random(), self._run_tick)
        self.loop.call_later(self.random.random(), self._send_charge)

    def close(self) -> None:
        """Close all connections; otherwise a task that opens one would outlive its event loop."""
        self.hand_over_listener.close()
        self.control.close()
        self.registries.close()

    def _run_tick(self) -> None:
        self.tick()
        self.loop.call_later(TICK_S, self._run_tick)

    def _send_charge(self) -> None:
        if self.rate <= 0 or not self.tenants:
            self.loop.call_later(0.5, self._send_charge)
            return
        self.charge_count += 1
        request = f"{self.node_settings.node_name}/{self.charge_count}"
        self.pending_charges[request] = time.monotonic()
        charge = ChargeTenant(request, self.random.choice(self.tenants), 1)
        self._execute(self.cluster_view.charge(time.monotonic(), charge))
        self.loop.call_later(self.random.expovariate(self.rate), self._send_charge)

    def _execute(self, outputs: list[Command]) -> None:
        now = time.monotonic()
        for command in outputs:
            if isinstance(command, DeliverChargeAnswer):
                sent_at = self.pending_charges.pop(command.answer.request, None)
                if sent_at is not None and len(self.verdict_times) < MAX_VERDICT_TIMES:
                    self.verdict_times.append(now - sent_at)
        super()._execute(outputs)
        for command in outputs:
            if isinstance(command, ApplyConfiguration):
                self.in_force[command.configuration.config.version] = time.monotonic()
                self.tenants = list(command.configuration.config.tenants)
        if self.cluster_view.counter and (not self.counters or self.counters[-1][1] != self.cluster_view.counter):
            self.counters.append((now, self.cluster_view.counter))
        if self.ready_at is None and self.cluster_view.counter and self.is_ready():
            self.ready_at = now


class HollowProcess:
    """The hollow proxies of one process, and its command loop."""

    def __init__(self, folder: Path, first: int, count: int) -> None:
        self.folder, self.first, self.count = folder, first, count
        self.proxies: list[HollowProxy] = []

    async def run(self) -> None:
        """Start the proxies, and execute commands until the end of standard input."""
        for number in range(self.first, self.first + self.count):
            path = self.folder / f"proxy-{number}.conf"
            path.write_text(
                settings(f"proxy-{number}", "proxy", proxy_address(number), proxy_zone(number), self.folder)
            )
            self.proxies.append(HollowProxy(SettingsFile(path), number))
        node_settings = self.proxies[0].node_settings
        CountedLink.ports = {node_settings.port(CONTROL): "control", node_settings.port(REGISTRY): "registry"}
        for proxy in self.proxies:
            await proxy.open()
        reader = asyncio.StreamReader()
        await asyncio.get_running_loop().connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
        print(json.dumps({"open": len(self.proxies)}), flush=True)
        while line := (await reader.readline()).decode().split():
            self._command(*line)
        for proxy in self.proxies:
            proxy.close()

    def _command(self, verb: str, value: str = "") -> None:
        if verb == "go":
            for proxy in self.proxies:
                proxy.begin()
        elif verb == "rate":
            for proxy in self.proxies:
                proxy.rate = float(value)
                proxy.verdict_times.clear()
        else:
            print(json.dumps(self.report()), flush=True)

    def report(self) -> dict[str, Any]:
        """Return all measurements so far."""
        times = os.times()
        status = dict(line.split(":", 1) for line in Path("/proc/self/status").read_text().splitlines())
        return {
            "proxies": len(self.proxies),
            "cpu_s": times.user + times.system,
            "peak_mb": int(status["VmHWM"].split()[0]) / 1024,
            "traffic": CountedLink.traffic.counts,
            "complete": [proxy.ready_at for proxy in self.proxies],
            "counters": [proxy.counters[-1] if proxy.counters else None for proxy in self.proxies],
            "list_numbers": [proxy.cluster_view.registry.state.number for proxy in self.proxies],
            "in_force": [proxy.in_force for proxy in self.proxies],
            "verdicts": [seconds for proxy in self.proxies for seconds in proxy.verdict_times[-400:]],
            "unanswered": sum(len(proxy.pending_charges) for proxy in self.proxies),
        }


def main() -> None:
    """Run the hollow proxies that the command line selects."""
    logging.use_absl_handler()
    logging.set_verbosity(logging.INFO)
    links.Link = CountedLink  # type: ignore[misc]
    folder, first, count = sys.argv[1:4]
    uvloop.run(HollowProcess(Path(folder), int(first), int(count)).run())


if __name__ == "__main__":
    main()

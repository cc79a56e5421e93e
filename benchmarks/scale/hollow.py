"""Hollow proxies: many in one process, each the real proxy program without its listeners, clients or HTTP.

`python -m benchmarks.scale.hollow FOLDER FIRST COUNT`: proxies FIRST to FIRST + COUNT - 1. Each has its own
connections, its own `ClusterView`, quota and ring, on a loopback address of its own; in place of clients there is a
drawn rate of charges. Commands come as lines on standard input (`go`, `rate PER_S`, `report`), reports leave as lines
of JSON; the process ends with its input.
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

from benchmarks.scale.inputs import address_of, settings, zone_of
from thistleusher.common.node_settings import CONTROL, PROXY, REGISTRY, RING
from thistleusher.common.process import TICK_S, SettingsFile
from thistleusher.proxy.commands import ApplyConfiguration, Command, DeliverChargeAnswer
from thistleusher.proxy.program import ProxyProgram
from thistleusher.proxy.requests import ChargeTenant
from thistleusher.proxy.ring_socket import RingSocket
from thistleusher.transport import links

MOST_TIMES = 200_000  # of verdicts that are remembered


class Traffic:
    """Bytes and messages of all proxies of this process, by the port of the other end."""

    def __init__(self) -> None:
        self.counts: dict[str, int] = {}

    def add(self, where: str, way: str, size: int, messages: int) -> None:
        """Count bytes and messages in a direction."""
        for name, value in ((f"{where} bytes {way}", size), (f"{where} messages {way}", messages)):
            self.counts[name] = self.counts.get(name, 0) + value


class Measured(links.Link):
    """A held connection whose bytes and messages are counted; messages in leave out those of idle connections."""

    traffic = Traffic()
    ports: dict[int, str] = {}

    def __init__(self, loop: asyncio.AbstractEventLoop, on_open: Any, on_message: Any, on_end: Any) -> None:
        def counted(link: links.Link, message: Any) -> None:
            self.traffic.add(self.where, "in", 0, 1)
            on_message(link, message)

        super().__init__(loop, on_open, counted, on_end)
        self.where = "peer"

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Note which program is at the other end."""
        self.where = self.ports.get(transport.get_extra_info("peername")[1], "peer")
        super().connection_made(transport)

    def data_received(self, data: bytes) -> None:
        """Count and take what has come."""
        self.traffic.add(self.where, "in", len(data), 0)
        super().data_received(data)

    def write(self, data: bytes) -> None:
        """Count and send a message."""
        self.traffic.add(self.where, "out", len(data), 1)
        super().write(data)


class MeasuredHeartbeats(RingSocket):
    """Heartbeats of the ring, counted."""

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Count and take a heartbeat."""
        Measured.traffic.add("ring", "in", len(data), 1)
        super().datagram_received(data, addr)


class HollowProxy(ProxyProgram):
    """The proxy program without its listeners; it notes when what it learns is in force."""

    def __init__(self, settings: SettingsFile, seed: int) -> None:
        super().__init__(settings)
        self.ring_socket = MeasuredHeartbeats(self._on_heartbeat)
        self.random = random.Random(seed)
        self.rate = 0.0
        self.asked: dict[str, float] = {}
        self.number = 0
        self.in_force: dict[str, float] = {}  # version -> when
        self.counters: list[tuple[float, str]] = []  # when which counter's first echo came
        self.complete: float | None = None  # when it first had all that a proxy needs
        self.verdict_times: list[float] = []
        self.tenants: list[str] = []

    async def open(self) -> None:
        """Open the ports by which other proxies reach it."""
        await self.loop.create_datagram_endpoint(
            lambda: self.ring_socket, local_addr=(self.node_settings.ip, self.node_settings.port(RING))
        )
        await self.hand_over_listener.listen(self.node_settings.ip, self.node_settings.port(PROXY))

    def begin(self) -> None:
        """Connect to the core; ticks begin at a drawn moment."""
        self._connect_to_core(self.node_settings.core_ips)
        self.loop.call_later(TICK_S * self.random.random(), self._turn)
        self.loop.call_later(self.random.random(), self._spend)

    def close(self) -> None:
        """End all connections: a task that opens one outlives its loop otherwise."""
        self.hand_over_listener.close()
        self.control.close()
        self.registries.close()

    def _turn(self) -> None:
        self.tick()
        self.loop.call_later(TICK_S, self._turn)

    def _spend(self) -> None:
        if self.rate <= 0 or not self.tenants:
            self.loop.call_later(0.5, self._spend)
            return
        self.number += 1
        request = f"{self.node_settings.node_name}/{self.number}"
        self.asked[request] = time.monotonic()
        charge = ChargeTenant(request, self.random.choice(self.tenants), 1)
        self._execute(self.cluster_view.charge(time.monotonic(), charge))
        self.loop.call_later(self.random.expovariate(self.rate), self._spend)

    def _execute(self, outputs: list[Command]) -> None:
        now = time.monotonic()
        for out in outputs:
            if isinstance(out, DeliverChargeAnswer):
                sent = self.asked.pop(out.answer.request, None)
                if sent is not None and len(self.verdict_times) < MOST_TIMES:
                    self.verdict_times.append(now - sent)
        super()._execute(outputs)
        for out in outputs:
            if isinstance(out, ApplyConfiguration):
                self.in_force[out.configuration.config.version] = time.monotonic()
                self.tenants = list(out.configuration.config.tenants)
        if self.cluster_view.counter and (not self.counters or self.counters[-1][1] != self.cluster_view.counter):
            self.counters.append((now, self.cluster_view.counter))
        if self.complete is None and self.cluster_view.counter and self.is_ready():
            self.complete = now


class HollowProcess:
    """All hollow proxies of one process, and the commands that it takes."""

    def __init__(self, folder: Path, first: int, count: int) -> None:
        self.folder, self.first, self.count = folder, first, count
        self.proxies: list[HollowProxy] = []

    async def run(self) -> None:
        """Run until its input ends."""
        for number in range(self.first, self.first + self.count):
            path = self.folder / f"proxy-{number}.conf"
            path.write_text(settings(f"proxy-{number}", "proxy", address_of(number), zone_of(number), self.folder))
            self.proxies.append(HollowProxy(SettingsFile(path), number))
        node_settings = self.proxies[0].node_settings
        Measured.ports = {node_settings.port(CONTROL): "control", node_settings.port(REGISTRY): "registry"}
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
        """Return all that was measured so far."""
        times = os.times()
        status = dict(line.split(":", 1) for line in Path("/proc/self/status").read_text().splitlines())
        return {
            "proxies": len(self.proxies),
            "cpu_s": times.user + times.system,
            "peak_mb": int(status["VmHWM"].split()[0]) / 1024,
            "traffic": Measured.traffic.counts,
            "complete": [proxy.complete for proxy in self.proxies],
            "counters": [proxy.counters[-1] if proxy.counters else None for proxy in self.proxies],
            "list_numbers": [proxy.cluster_view.registry.state.number for proxy in self.proxies],
            "in_force": [proxy.in_force for proxy in self.proxies],
            "verdicts": [seconds for proxy in self.proxies for seconds in proxy.verdict_times[-400:]],
            "unanswered": sum(len(proxy.asked) for proxy in self.proxies),
        }


def main() -> None:
    """Run the hollow proxies that the command line names."""
    logging.use_absl_handler()
    logging.set_verbosity(logging.INFO)
    links.Link = Measured  # type: ignore[misc]
    folder, first, count = sys.argv[1:4]
    uvloop.run(HollowProcess(Path(folder), int(first), int(count)).run())


if __name__ == "__main__":
    main()

"""The whole system on loopback: three core machines, three proxies, and stand-ins for their environment.

The stand-ins are the platform, backends, an operator and clients; they follow the users' documentation only. Each
machine has its own address in 127.0.0.0/8.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
from collections import Counter
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from standins.caller import Caller
from standins.http import Message
from standins.system_backends import Backend, Platform, Run
from standins.system_process import Process
from standins.system_topology import CONTROL, CORES, FRONTS

SERVICES = ("ledger", "pages")
CONTROL_CALL_ATTEMPTS = 60
CONTROL_CALL_PAUSE_S = 0.1
POLL_INTERVAL_S = 0.05
NO_ANSWER_ERRORS = (OSError, EOFError, TimeoutError, ValueError)


class System:
    """All processes and stand-ins; `log_step` is called with one line for each step of the scenario."""

    def __init__(self, folder: Path, log_step: Callable[[str], None] = print) -> None:
        self.folder = folder
        self.log_step = log_step
        self.runs: list[Run] = []
        self.backends = [
            Backend(f"i-{service}-{n}", service, f"{ip.rpartition('.')[0]}.{50 + k}", self.runs)
            for k, service in enumerate(SERVICES)
            for n, ip in enumerate(FRONTS)
        ]
        self.platform = Platform(self.backends)
        self.caller = Caller()
        self.processes: dict[tuple[str, str], Process] = {}  # (program, address)

    async def __aenter__(self) -> System:
        for service in (*self.backends, self.platform):
            await service.start()
        for program, ips in (("control", CORES), ("registry", CORES), ("proxy", FRONTS)):
            for ip in ips:
                process = Process(program, ip, self.folder / f"{program}-{ip}", self.platform.address)
                self.processes[program, ip] = process
                await process.start()
        return self

    async def __aexit__(self, *_: object) -> None:
        await asyncio.gather(*(process.end() for process in self.processes.values()))
        for service in (*self.backends, self.platform):
            await service.stop()

    async def wait_until(self, what: str, holds: Callable[[], Awaitable[bool]], seconds: float = 15.0) -> None:
        """Wait until a condition holds. Raises TimeoutError that names the condition."""
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        while True:
            with contextlib.suppress(*NO_ANSWER_ERRORS):
                if await holds():
                    return
            if loop.time() > end:
                raise TimeoutError(what)
            await asyncio.sleep(POLL_INTERVAL_S)

    async def call_control(self, method: str, target: str, body: bytes = b"") -> Message:
        """Send an operator's call to one core machine after another until one answers 200, 400 or 404."""
        for ip in itertools.islice(itertools.cycle(CORES), CONTROL_CALL_ATTEMPTS):
            with contextlib.suppress(*NO_ANSWER_ERRORS):
                answer = await self._call_machine(ip, method, target, body)
                if answer.status in (200, 400, 404):
                    return answer
            await asyncio.sleep(CONTROL_CALL_PAUSE_S)
        raise TimeoutError(f"no core machine answers {method} {target}")

    async def _call_machine(self, ip: str, method: str, target: str, body: bytes) -> Message:
        """Call a core machine, and follow a redirect."""
        answer = await self.caller.call(f"{ip}:{CONTROL}", method, target, {}, body)
        if answer.status == 307:
            where = answer.headers["location"].removeprefix("http://").partition("/")[0]
            answer = await self.caller.call(where, method, target, {}, body)
        return answer

    async def replace_configuration(self, config: dict[str, Any]) -> Message:
        """Send a configuration; return the answer."""
        return await self.call_control("POST", "/Config.Replace", json.dumps(config).encode())

    async def send_requests(
        self,
        count: int,
        target: str = "/read/1",
        key: str = "key-large",
        method: str = "GET",
    ) -> dict[int, int]:
        """Send requests to all proxies concurrently; return the number of answers by status."""
        ips = itertools.islice(itertools.cycle(FRONTS), count)
        answers = await asyncio.gather(*(self.caller.ask_proxy(ip, target, key, method) for ip in ips))
        return dict(Counter(answer.status for answer in answers))

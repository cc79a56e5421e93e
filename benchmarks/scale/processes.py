"""The processes of a scale run: two programs on each of the three core machines, and processes of hollow proxies."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import os
import signal
import sys
import time
from pathlib import Path
from typing import Any

from benchmarks.scale.inputs import CONTROL_PORT, CORE_IPS, CORE_ZONES, JsonObject, Platform, settings
from standins.caller import Caller

TICKS_PER_S = os.sysconf("SC_CLK_TCK")
ROOT = Path(__file__).resolve().parents[2]
MAX_REPORT_BYTES = 256 * 1024 * 1024  # Maximum size of one report in bytes.
PUT_TIMEOUT_S = 30.0  # Time limit for the acknowledgement of a configuration.
PUT_RETRY_DELAY_S = 0.02  # Delay between two attempts to send a configuration.
PROGRAMS = ("control", "registry")


class Usage:
    """CPU time and peak memory of a child process, as the operating system reports them."""

    def __init__(self, pid: int) -> None:
        fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
        self.cpu_s = (int(fields[11]) + int(fields[12])) / TICKS_PER_S
        status = dict(line.split(":", 1) for line in Path(f"/proc/{pid}/status").read_text().splitlines())
        self.peak_mb = int(status["VmHWM"].split()[0]) / 1024


class CoreProgram:
    """One program on one core machine."""

    def __init__(self, program: str, ip: str, folder: Path, platform: str) -> None:
        self.program, self.ip, self.folder, self.platform = program, ip, folder, platform
        self.process: asyncio.subprocess.Process | None = None
        self.is_first_start = True

    async def start(self) -> None:
        """Write the settings and start the program. Only the first start may bootstrap the core."""
        self.folder.mkdir(parents=True, exist_ok=True)
        zone = CORE_ZONES[CORE_IPS.index(self.ip)]
        text = settings(f"core-{self.ip}", self.program, self.ip, zone, self.folder, self.platform)
        path = self.folder / "boot.conf"
        path.write_text(text + f"bootstrap={'true' if self.is_first_start else 'false'}\n")
        self.is_first_start = False
        with (self.folder / "log").open("ab") as log:  # noqa: ASYNC230  (no other task runs yet)
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "thistleusher.system",
                self.program,
                stdout=log,
                stderr=log,
                cwd=ROOT,
                env={**os.environ, "THISTLEUSHER_NODE_FILE": str(path)},
            )

    async def end(self, signal_number: signal.Signals = signal.SIGTERM) -> None:
        """Send a signal and wait for the process to exit."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal_number)
            await self.process.wait()

    def usage(self) -> Usage:
        """Return the usage of the process since its start."""
        assert self.process is not None
        return Usage(self.process.pid)


class HollowProxyProcess:
    """A process that runs hollow proxies."""

    def __init__(self, folder: Path, first: int, count: int) -> None:
        self.folder, self.first, self.count = folder, first, count
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Start the process and wait until the ports of its proxies are open."""
        self.folder.mkdir(parents=True, exist_ok=True)
        with (self.folder / f"log-{self.first}").open("ab") as log:  # noqa: ASYNC230
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "benchmarks.scale.hollow",
                str(self.folder),
                str(self.first),
                str(self.count),
                stdin=asyncio.subprocess.PIPE,
                stdout=asyncio.subprocess.PIPE,
                stderr=log,
                cwd=ROOT,
                limit=MAX_REPORT_BYTES,
            )
        await self._read_line()

    async def _read_line(self) -> JsonObject:
        assert self.process is not None and self.process.stdout is not None
        line = await self.process.stdout.readline()
        if not line:
            raise EOFError(f"process of hollow proxies exited; see {self.folder}/log-{self.first}")
        report_data: JsonObject = json.loads(line)
        return report_data

    def command(self, line: str) -> None:
        """Send a command line to the process."""
        assert self.process is not None and self.process.stdin is not None
        self.process.stdin.write(line.encode() + b"\n")

    async def report(self) -> JsonObject:
        """Return the measurements of the process so far."""
        self.command("report")
        return await self._read_line()

    async def end(self) -> None:
        """Close the process's input and wait for its exit."""
        if self.process is not None and self.process.stdin is not None:
            self.process.stdin.close()
            await self.process.wait()


class Deployment:
    """The core, the platform's stand-in and the hollow proxies, with the calls of an operator."""

    def __init__(self, folder: Path, proxies: int, proxies_per_process: int, rows: list[JsonObject]) -> None:
        """Prepare a deployment of `proxies` hollow proxies. All proxies of one process share one CPU core."""
        self.folder, self.proxies, self.proxies_per_process = folder, proxies, proxies_per_process
        self.platform = Platform(rows)
        self.caller = Caller()
        self.hollow = [
            HollowProxyProcess(folder / "hollow", first, min(proxies_per_process, proxies - first))
            for first in range(0, proxies, proxies_per_process)
        ]
        self.core: dict[tuple[str, str], CoreProgram] = {}

    async def __aenter__(self) -> Deployment:
        await self.platform.start()
        for program in PROGRAMS:
            for ip in CORE_IPS:
                self.core[program, ip] = CoreProgram(
                    program, ip, self.folder / f"{program}-{ip}", self.platform.address if program == "registry" else ""
                )
        try:
            for core in self.core.values():
                await core.start()
            for hollow in self.hollow:
                await hollow.start()
        except BaseException:
            await self.__aexit__()
            raise
        return self

    async def __aexit__(self, *_: object) -> None:
        await asyncio.gather(*(hollow.end() for hollow in self.hollow))
        await asyncio.gather(*(core.end() for core in self.core.values()))
        await self.platform.stop()

    def command(self, line: str) -> None:
        """Send a command line to all processes of hollow proxies."""
        for hollow in self.hollow:
            hollow.command(line)

    async def reports(self) -> list[JsonObject]:
        """Return the reports of all processes of hollow proxies."""
        return await asyncio.gather(*(hollow.report() for hollow in self.hollow))

    async def put(self, config: JsonObject, first: str = "") -> tuple[float, str]:
        """Send a configuration until it is acknowledged; return the time and the machine that acknowledged it.

        `first` is the machine to try first. Raises TimeoutError if no machine acknowledges the configuration within
        `PUT_TIMEOUT_S`, and ValueError if it is rejected.
        """
        body = json.dumps(config).encode()
        others = [ip for ip in CORE_IPS if ip != first]
        ips = [first, *others] if first else others
        end = time.monotonic() + PUT_TIMEOUT_S
        for ip in itertools.cycle(ips):
            if time.monotonic() >= end:
                raise TimeoutError(f"configuration not acknowledged within {PUT_TIMEOUT_S:g} s")
            with contextlib.suppress(OSError, EOFError, TimeoutError):
                acknowledged_by = await self._try_put(ip, body)
                if acknowledged_by:
                    return time.monotonic(), acknowledged_by
            await asyncio.sleep(PUT_RETRY_DELAY_S)
        raise AssertionError("the list of core machines is empty")

    async def _try_put(self, ip: str, body: bytes) -> str:
        """Send a configuration to a machine, following one redirect.

        Returns the machine that acknowledged it, empty if none did. Raises ValueError if it is rejected.
        """
        answer = await self.caller.call(f"{ip}:{CONTROL_PORT}", "POST", "/Config.Replace", {}, body)
        if answer.status == 307:
            location = answer.headers["location"].removeprefix("http://").partition("/")[0]
            ip = location.rpartition(":")[0]
            answer = await self.caller.call(location, "POST", "/Config.Replace", {}, body)
        if answer.status == 400:
            raise ValueError(answer.body[:200])
        return ip if answer.status == 200 else ""

    async def kill(self, ip: str) -> float:
        """Kill both programs of a machine; return the time."""
        at = time.monotonic()
        await asyncio.gather(*(self.core[program, ip].end(signal.SIGKILL) for program in PROGRAMS))
        return at

    async def restart(self, ip: str) -> None:
        """Start both programs of a machine again, with the data that they have stored."""
        for program in PROGRAMS:
            await self.core[program, ip].start()

    def usages(self) -> dict[tuple[str, str], Usage]:
        """Return the usage of all running core programs."""
        return {
            key: core.usage()
            for key, core in self.core.items()
            if core.process is not None and core.process.returncode is None
        }


def sum_counts(reports: list[JsonObject], name: str) -> dict[str, int]:
    """Return the sums, over all reports, of the counts in the table `name`."""
    total: dict[str, int] = {}
    for report in reports:
        for key, value in report[name].items():
            total[key] = total.get(key, 0) + value
    return total


def concatenate(reports: list[JsonObject], name: str) -> list[Any]:
    """Return the values of the list `name` of all reports, as one list."""
    return [value for report in reports for value in report[name]]

"""One program of the whole system on one machine, with its settings file and log."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import sys
from dataclasses import dataclass
from pathlib import Path

from standins.system_topology import CONTROL, CORES, DIRECTORY, FRONT, READY, REGIONS, zone_of

BINDS = {  # by program: names and ports of the listeners for calls from outside
    "proxy": {"front": FRONT, "ready": READY, "directory": DIRECTORY},
    "control": {"control": CONTROL},
    "registry": {},
}


@dataclass
class Process:
    """One program on one machine; its folder persists across restarts."""

    program: str
    ip: str
    folder: Path
    platform: str
    process: asyncio.subprocess.Process | None = None
    started_before: bool = False

    async def start(self) -> None:
        """Write the settings and start the process; only its first start may bootstrap the core."""
        self.folder.mkdir(parents=True, exist_ok=True)
        path = self.folder / "boot.conf"
        path.write_text(self._settings())
        self.started_before = True
        with (self.folder / f"{self.program}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "thistleusher.system",
                self.program,
                stdout=log,
                stderr=log,
                env={**os.environ, "THISTLEUSHER_NODE_FILE": str(path)},
            )

    def _settings(self) -> str:
        zone = zone_of(self.ip)
        machine_class = "front" if self.program == "proxy" else "core"
        lines = [
            f"node_name={machine_class}-{self.ip}",
            f"role={self.program}",
            f"ip={self.ip}",
            f"machine_class={machine_class}",
            f"zone={zone}",
            f"region={REGIONS[zone]}",
            *(f"zones.{z}={region}" for z, region in REGIONS.items()),
            *(f"binds.{name}={self.ip}:{port}" for name, port in BINDS[self.program].items()),
            "port_range=17560,17575",
            "seed_nodes=" + ",".join(f"{ip}:{CONTROL}" for ip in CORES),
            f"bootstrap={'false' if self.started_before else 'true'}",
            "limits.fd_limit=1024",
            "limits.disk_mb=64",
            f"data_dir={self.folder}",
            f"cloud_api.address={self.platform}",
            "cloud_api.rate_per_s=47",
            "bounds=grace_s=3,retry_slack=58",
        ]
        return "\n".join(lines) + "\n"

    async def end(self, number: signal.Signals = signal.SIGTERM) -> int:
        """Send a signal and wait until the process ends; return its exit code, or 0 if it was never started."""
        if self.process is None:
            return 0
        with contextlib.suppress(ProcessLookupError):
            self.process.send_signal(number)
        return await self.process.wait()

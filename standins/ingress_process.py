"""An ingress process of a fleet, with its configuration file and log."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
from contextlib import suppress
from pathlib import Path
from typing import Any

HOST = "127.0.0.1"
READY_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 10.0
POLL_INTERVAL_S = 0.02


class IngressProcess:
    """One process of `python -m thistleusher`."""

    def __init__(
        self, number: int, port: int, config: dict[str, Any], folder: Path, with_state_folder: bool = False
    ) -> None:
        """Write the configuration file, and with `with_state_folder` the options of a state folder."""
        self.number = number
        self.port = port
        self._arguments: list[str] = []
        if with_state_folder:
            state = folder / f"state-{number}.toml"
            state.write_text(f'folder = "{folder}/state-{number}"\nsync = "off"\ncommit_ms = 10\n')
            self._arguments = ["--state", str(state)]
        self.path = folder / f"ingress-{number}.json"
        self.log = folder / f"ingress-{number}.log"
        self.path.write_text(json.dumps(config))
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Start the process without waiting until it is ready."""
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "thistleusher",
                *self._arguments,
                env={**os.environ, "PROXY_CONFIG": str(self.path)},
                stdout=log,
                stderr=log,
            )

    def set_counter_address(self, address: str) -> None:
        """Change the counter's address in the configuration file and make the process reload it by SIGHUP."""
        config = json.loads(self.path.read_text())
        self.path.write_text(json.dumps({**config, "counter": address}))
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGHUP)

    async def wait_until_ready(self) -> None:
        """Wait until `GET /healthz` answers 200. Raises TimeoutError with the end of the log otherwise."""
        try:
            async with asyncio.timeout(READY_TIMEOUT_S):
                ready = await self._wait_until_ready_or_ended()
        except TimeoutError:
            ready = False
        if not ready:
            tail = self.log.read_text(errors="replace")[-500:]
            raise TimeoutError(f"ingress {self.number} did not become ready: {tail}")

    async def _wait_until_ready_or_ended(self) -> bool:
        """Wait until the ingress is ready or its process has ended; return whether it is ready."""
        while not await self.is_ready():
            if self.process is not None and self.process.returncode is not None:
                return False
            await asyncio.sleep(POLL_INTERVAL_S)
        return True

    async def is_ready(self) -> bool:
        """Return whether `GET /healthz` answers 200."""
        try:
            reader, writer = await asyncio.open_connection(HOST, self.port)
            writer.write(b"GET /healthz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            line = await reader.readline()
            writer.close()
        except OSError:
            return False
        return b" 200 " in line

    async def end(self, number: signal.Signals = signal.SIGTERM) -> None:
        """Signal the process and wait for its end; kill it after a time-out."""
        if self.process is None or self.process.returncode is not None:
            return
        with suppress(ProcessLookupError):
            self.process.send_signal(number)
        try:
            await asyncio.wait_for(self.process.wait(), STOP_TIMEOUT_S)
        except TimeoutError:
            self.process.kill()
            await self.process.wait()

"""One program of the system as a process of its own, started with a settings file as the platform starts it."""

from __future__ import annotations

import itertools
import os
import signal
import subprocess
import sys
import time
from pathlib import Path

PORT = 23400  # on an address of its own, so that the same ports are free in every test
END_TIMEOUT_S = 10.0

_networks = itertools.count(1)


def addresses(count: int) -> tuple[str, ...]:
    """Return loopback addresses that no other test uses at this time."""
    network = f"127.{40 + os.getpid() % 200}.{next(_networks) % 250}"
    return tuple(f"{network}.{n + 1}" for n in range(count))


class Program:
    """A program on one machine; its folder lasts across starts."""

    def __init__(
        self, folder: Path, name: str, ip: str, seeds: tuple[str, ...], more_settings: tuple[str, ...] = ()
    ) -> None:
        """`more_settings`: lines that go after those of each program, whose values they replace."""
        self.folder, self.name, self.ip, self.seeds = folder, name, ip, seeds
        self.more_settings = more_settings
        self.process: subprocess.Popen[bytes] | None = None
        folder.mkdir(parents=True, exist_ok=True)

    @property
    def data(self) -> Path:
        return self.folder / "disk"

    def start(
        self, bootstrap: bool = True, log: int | None = None, wrapper: tuple[str, ...] = ()
    ) -> subprocess.Popen[bytes]:
        """Write the settings and start the process.

        `log`: the descriptor of its standard output and error, in place of a file. `wrapper`: a command that starts it.
        """
        path = self.folder / "boot.conf"
        path.write_text(self._settings(bootstrap))
        with (self.folder / "log").open("ab") as file:
            self.process = subprocess.Popen(
                [*wrapper, sys.executable, "-m", "thistleusher.system", self.name],
                stdin=subprocess.DEVNULL,
                stdout=file if log is None else log,
                stderr=file if log is None else log,
                env={**os.environ, "THISTLEUSHER_NODE_FILE": str(path)},
            )
        return self.process

    def _settings(self, bootstrap: bool) -> str:
        lines = [
            f"node_name=n-{self.ip}",
            f"role={self.name}",
            f"machine_class={'front' if self.name == 'proxy' else 'core'}",
            f"ip={self.ip}",
            "zone=z-1",
            "region=r-1",
            "zones.z-1=r-1",
            f"port_range={PORT + 4},{PORT + 19}",
            "seed_nodes=" + ",".join(f"{seed}:{PORT}" for seed in self.seeds),
            f"bootstrap={'true' if bootstrap else 'false'}",
            "limits.disk_mb=32",
            f"cloud_api.address={self.ip}:1",
            f"data_dir={self.data}",
        ]
        if self.name == "control":
            lines.append(f"binds.control={self.ip}:{PORT}")
        if self.name == "proxy":
            lines += [f"binds.ready={self.ip}:{PORT + 1}", f"binds.front={self.ip}:{PORT + 2}"]
        return "\n".join([*lines, *self.more_settings]) + "\n"

    def log(self) -> str:
        """Return what the process has logged."""
        return (self.folder / "log").read_text(errors="replace")

    def wait_for_log(self, text: str, timeout_s: float = 20.0) -> None:
        """Wait for a text in the log."""
        end = time.monotonic() + timeout_s
        while text not in self.log():
            assert time.monotonic() < end, f"no {text!r} in {self.log()!r}"
            assert self.process is not None and self.process.poll() is None, self.log()
            time.sleep(0.01)

    def wait(self) -> int:
        """Wait for the end of the process and return its exit code; a signal is a negative number."""
        assert self.process is not None
        return self.process.wait(END_TIMEOUT_S)

    def end(self) -> None:
        """Kill the process if it still runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()


def one(programs: list[Program], folder: Path, name: str) -> Program:
    """Add a program on an address of its own, which is its own only seed."""
    (ip,) = addresses(1)
    programs.append(Program(folder, name, ip, (ip,)))
    return programs[-1]

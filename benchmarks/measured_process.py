"""A process that a benchmark runs, with its CPU time and memory as the operating system reports them."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path

TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def cpu_seconds(pid: int) -> float:
    """Return the CPU time of a process, user and system, in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


class MeasuredProcess:
    """A Python module that runs as a separate process."""

    def __init__(self, *arguments: str, environment: dict[str, str] | None = None) -> None:
        self.process = subprocess.Popen(
            [sys.executable, "-m", *arguments],
            env={**os.environ, **(environment or {})},
            stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL,
        )

    def read_line(self) -> str:
        """Wait for the next line on the process's standard output and return it."""
        assert self.process.stdout is not None
        return self.process.stdout.readline().decode().strip()

    def cpu_seconds(self) -> float:
        """Return the CPU time of the process, user and system, in seconds."""
        return cpu_seconds(self.process.pid)

    def memory_mb(self) -> float:
        """Return the resident memory of the process in MiB, 0 if it is not known."""
        for line in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
            if line.startswith("VmRSS"):
                return int(line.split()[1]) / 1024
        return 0.0

    def kill(self) -> None:
        """Kill the process and wait for its exit."""
        self.process.kill()
        self.process.wait()

"""A program that a benchmark runs, and what it has used by the operating system's account."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path

TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def cpu_seconds(pid: int) -> float:
    """Return the processor time that a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


class MeasuredProcess:
    """A Python module that runs as a program of its own."""

    def __init__(self, *arguments: str, environment: dict[str, str] | None = None) -> None:
        self.process = subprocess.Popen(
            [sys.executable, "-m", *arguments],
            env={**os.environ, **(environment or {})},
            stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL,
        )

    def first_line(self) -> str:
        """Return the first line that it prints, once it does."""
        assert self.process.stdout is not None
        return self.process.stdout.readline().decode().strip()

    def cpu_seconds(self) -> float:
        """Return the processor time that it has used."""
        return cpu_seconds(self.process.pid)

    def memory_mb(self) -> float:
        """Return its resident memory."""
        for line in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
            if line.startswith("VmRSS"):
                return int(line.split()[1]) / 1024
        return 0.0

    def end(self) -> None:
        """Kill it."""
        self.process.kill()
        self.process.wait()

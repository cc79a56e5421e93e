"""Let one backend of six, the platform or strangers send bytes without end; watch the memory of the programs.

    PLACE=head_lines python3 benchmarks/endless_bytes.py

Real processes on loopback, with the rig of the second review, after the deploy file's build. Exit code: 1 if a program
ended, took more memory than it has or kept the clients of another service from their answers, 0 if not, 2 if it could
not run. TROUBLE=0: without the disruption.

PLACE is one of `PLACES`: the part of a message that does not end. SENDER is `backend`, `platform` or `strangers`;
FAULTY is the number of faulty backends, CLIENTS the number of clients that read from their service.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import os
import socket
import sys
import tempfile
import threading
import time
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "review"))

import rig_2 as rig_module  # type: ignore[import-not-found]  # noqa: E402

PLACE = os.environ.get("PLACE", "head_lines")
SENDER = os.environ.get("SENDER", "backend")
FAULTY = int(os.environ.get("FAULTY", "1"))
CLIENTS = int(os.environ.get("CLIENTS", "20"))
SECONDS = float(os.environ.get("SECONDS", "20"))
SMALL_READERS = 4
BACKENDS = 6  # of the service that has faulty ones
STRANGERS = 8  # connections to each port
BLOCK_BYTES = 64 * 1024
RATE = {"rate_per_s": 2000, "burst": 2000}
MEMORY_MB = 300.0

LINES = b""  # stands for the blocks of lines that are all different
LINES_A_BLOCK = 4096
HEAD = b"HTTP/1.1 200 OK\r\nX-Server-Seal: s.1\r\nX-Attempt-Id: %s\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
# How a message of each kind begins, and what is then repeated without end.
PLACES: dict[str, tuple[bytes, bytes]] = {
    "head_lines": (HEAD, LINES),
    "header_value": (HEAD + b"X-Long: ", b"v" * BLOCK_BYTES),
    "header_name": (HEAD, b"n" * BLOCK_BYTES),
    "reason": (b"HTTP/1.1 200 ", b"r" * BLOCK_BYTES),
    "interim": (b"", b"HTTP/1.1 103 Early Hints\r\n\r\n" * 2048),
    "trailer_lines": (CHUNKED + b"0\r\n", LINES),
    "trailer_value": (CHUNKED + b"0\r\nT: ", b"v" * BLOCK_BYTES),
    "trailer_name": (CHUNKED + b"0\r\n", b"n" * BLOCK_BYTES),
    "extension": (CHUNKED + b"1;e=", b"x" * BLOCK_BYTES),
    "chunks": (CHUNKED, (b"4000\r\n" + b"c" * 0x4000 + b"\r\n") * 4),
    "small_chunks": (CHUNKED, b"1\r\nc\r\n" * 8192),
    "surplus": (HEAD + b"Content-Length: 2\r\n\r\nok", b"s" * BLOCK_BYTES),
    "frame": (b"", b"f" * BLOCK_BYTES),
}
# Made once: making them while they are sent would take the time of the clients in this process.
LINE_BLOCKS = [
    b"".join(b"x%08d: b\r\n" % n for n in range(first, first + LINES_A_BLOCK))
    for first in range(0, 2**18, LINES_A_BLOCK)
]
REQUEST: bytes = b"POST /saldo/1 HTTP/1.1\r\nHost: " + rig_module.HOST.encode() + b"\r\n"
FRAME_LENGTH = (60 * 1024 * 1024).to_bytes(4, "big")


def as_request(begin: bytes) -> bytes:
    """Return the beginning of a request that has the same part without end."""
    if PLACE == "frame":
        return FRAME_LENGTH
    _, _, rest = begin.partition(b"\r\n")
    return REQUEST + b"X-Attempt-Id: stranger\r\n" + rest.replace(b"X-Attempt-Id: %s\r\n", b"")


def send_without_end(sock: socket.socket, begin: bytes, block: bytes, until: float) -> None:
    """Send as fast as the bytes are taken, until the connection ends or the time is over."""
    with contextlib.suppress(OSError), sock:
        sock.sendall(begin)
        for number in itertools.count():
            if time.monotonic() > until:
                break
            sock.sendall(block if block != LINES else LINE_BLOCKS[number % len(LINE_BLOCKS)])


def serve_in_threads(host: str, port: int, until: float) -> socket.socket:
    """Listen, and answer each request with a message without end, each connection in a thread of its own."""
    listener = socket.create_server((host, port), backlog=256)
    begin, block = PLACES[PLACE]

    def serve(sock: socket.socket) -> None:
        with contextlib.suppress(OSError):
            sock.settimeout(5.0)
            head = b""
            while b"\r\n\r\n" not in head:
                data = sock.recv(65536)
                if not data:
                    return
                head += data
            attempt = next((x for x in head.split(b"\r\n") if x.lower().startswith(b"x-attempt-id:")), b":")
            named = begin.replace(b"%s", attempt.partition(b":")[2].strip())
            send_without_end(sock, named, block, until)

    def accept() -> None:
        with contextlib.suppress(OSError):
            while True:
                sock, _ = listener.accept()
                threading.Thread(target=serve, args=(sock,), daemon=True).start()

    threading.Thread(target=accept, daemon=True).start()
    return listener


class Faulty(rig_module.Instance):  # type: ignore[misc]
    """A backend that sends without end."""

    listener: socket.socket | None = None

    async def start(self) -> None:
        """Listen."""
        self.listener = serve_in_threads(self.ip, self.port, time.monotonic() + 120.0)

    async def stop(self) -> None:
        """Stop listening."""
        if self.listener is not None:
            self.listener.close()


class Outcomes:
    """Counts the answers of a group of clients, and how long they took."""

    def __init__(self) -> None:
        self.statuses: dict[int, int] = {}
        self.times: list[float] = []

    def text(self) -> str:
        """Return the statuses, and the 50th and 99th percentile of the times."""
        times = sorted(self.times) or [0.0]
        p50, p99 = times[len(times) // 2], times[int(len(times) * 0.99)]
        return f"{dict(sorted(self.statuses.items()))}, p50 {p50:.3f} s, p99 {p99:.3f} s"


async def client(rig: rig_module.Rig, ip: str, name: str, path: str, outcomes: Outcomes) -> None:
    """Send one read after the other."""
    number = 0
    while True:
        number += 1
        began = time.monotonic()
        status = await rig.ask(ip, f"{name}-{number}", "GET", path, 3000)
        outcomes.statuses[status] = outcomes.statuses.get(status, 0) + 1
        outcomes.times.append(time.monotonic() - began)
        await asyncio.sleep(0.01)


def stranger(host: str, port: int, until: float) -> None:
    """Connect again and again, and send a request without end."""
    begin, block = PLACES[PLACE]
    while time.monotonic() < until:
        with contextlib.suppress(OSError):
            sock = socket.create_connection((host, port), timeout=2.0)
            send_without_end(sock, as_request(begin), block, until)
        time.sleep(0.01)


def start_strangers(rig: rig_module.Rig) -> None:
    """Start the strangers at the ports of all programs."""
    until = time.monotonic() + SECONDS * 0.6
    kept = range(rig_module.KEPT, rig_module.KEPT + 4)
    frames = [(ip, port) for ip in (*rig.core_ips, *rig.front_ips) for port in kept]
    calls = [(ip, rig_module.CONTROL) for ip in rig.core_ips] + [(ip, rig_module.FRONT) for ip in rig.front_ips]
    for host, port in frames if PLACE == "frame" else calls:
        for _ in range(STRANGERS):
            threading.Thread(target=stranger, args=(host, port, until), daemon=True).start()


def peak_mb(machine: rig_module.Machine) -> float:
    """Return the highest resident size of a program; 0 if it has ended."""
    with contextlib.suppress(OSError):
        assert machine.process is not None
        lines = Path(f"/proc/{machine.process.pid}/status").read_text().splitlines()
        return max((int(line.split()[1]) / 1024 for line in lines if line.startswith("VmHWM")), default=0.0)
    return 0.0


async def make_trouble(rig: rig_module.Rig, faulty: list[Faulty]) -> None:
    """Start what sends without end."""
    if SENDER == "backend":
        for instance in faulty:
            await rig_module.Instance.stop(instance)
            await Faulty.start(instance)
    elif SENDER == "platform":
        await rig.platform.stop()
        await asyncio.sleep(0.1)
        serve_in_threads(rig.platform.ip, rig_module.PLATFORM, time.monotonic() + SECONDS * 0.6)
    else:
        start_strangers(rig)


async def run_clients(rig: rig_module.Rig) -> tuple[Outcomes, Outcomes]:
    """Run the clients of the faulty service and those of the other one for `SECONDS`."""
    reads, small = Outcomes(), Outcomes()
    fronts = rig.front_ips
    tasks: list[asyncio.Task[Any]] = []
    for n in range(CLIENTS):
        tasks.append(asyncio.create_task(client(rig, fronts[n % len(fronts)], f"r{n}", "/saldo/1", reads)))
    for n in range(SMALL_READERS):
        tasks.append(asyncio.create_task(client(rig, fronts[n % len(fronts)], f"s{n}", "/mala/1", small)))
    await asyncio.sleep(SECONDS)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    return reads, small


def verdict(rig: rig_module.Rig, small: Outcomes) -> int:
    """Print the peaks and the answers; return 1 if a program ended, took its memory, or kept others from answers."""
    ended = [f"{m.role} {m.name}" for m in rig.machines if m.process is None or m.process.poll() is not None]
    peaks = {role: max(peak_mb(m) for m in rig.machines if m.role == role) for role in ("proxy", "control", "registry")}
    print("peaks in MB: " + ", ".join(f"{role} {peak:.0f}" for role, peak in peaks.items()) + f"; ended: {ended}")
    failed = sum(count for status, count in small.statuses.items() if status != 200)
    return 1 if ended or max(peaks.values()) > MEMORY_MB or failed else 0


async def case() -> int:
    """Return 1 if the rule was broken, else 0."""
    async with rig_module.deployment(Path(tempfile.mkdtemp(prefix="endless-")), 2) as rig:
        faulty = [rig.add_instance(Faulty, "blagajna", "rijeka-1") for _ in range(FAULTY)]
        for zone in ("rijeka-1", "rijeka-2") * 3:
            if len(rig.instances) < BACKENDS:
                rig.add_instance(rig_module.Instance, "blagajna", zone)
        for zone in ("rijeka-1", "rijeka-2"):
            rig.add_instance(rig_module.Instance, "vitrina", zone, work_s=0.005)
        for instance in faulty:  # healthy until the trouble begins
            instance.start = rig_module.Instance.start.__get__(instance)
        await rig.start()
        config = rig_module.configuration(1)
        mala = {**config["routes"]["saldo"], "path_prefix": "/mala/", "target": "vitrina"}
        tenant = config["tenants"]["huka270"] | RATE
        if not await rig.in_service(routes={**config["routes"], "mala": mala}, tenants={"huka270": tenant}):
            return 2
        if rig_module.has_trouble():
            await make_trouble(rig, faulty)
        reads, small = await run_clients(rig)
        print(f"{SENDER}, {PLACE}: reads {reads.text()}; small reads {small.text()}")
        return verdict(rig, small)


if __name__ == "__main__":
    rig_module.main(case)

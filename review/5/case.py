"""Send bodies that the limits allow, two at a time; see whether proxies go over their memory and are killed for it.

The platform's stand-in does what the pages say: a process that goes over `mem_mb` is killed, and started again. With
TROUBLE=0 the same requests have short bodies.
"""

from __future__ import annotations

import asyncio
import contextlib
import signal
import sys
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent))

import rig_2 as rig_module  # noqa: E402

MEM_MIB = 300  # limits.mem_mb of a front machine, taken as MiB
LONG_BYTES, SHORT_BYTES = 60 * 1024 * 1024, 1200  # max_body_bytes is 64 MiB; req_bytes of potvrda-isplate
UPLOADS = 2  # at a time, to one proxy
ROUNDS = 3
DOWN_S = 0.5
DEADLINE_MS = 4000
LOOK_EVERY_S = 0.01


class LongBodies(rig_module.Instance):
    """A backend that reads bodies of any length."""

    async def start(self) -> None:
        """Listen."""
        self.server = await asyncio.start_server(self._serve, self.ip, self.port, limit=1 << 20)


def peak_mib(machine: rig_module.Machine) -> float:
    """Return the most memory that a process has had at once, as the kernel counts it."""
    assert machine.process is not None
    for line in Path(f"/proc/{machine.process.pid}/status").read_text().splitlines():
        if line.startswith("VmHWM"):
            return int(line.split()[1]) / 1024
    return 0.0


async def watch(machine: rig_module.Machine, ends: list[float]) -> None:
    """Kill a process that goes over its memory, and start it again after a short delay."""
    while True:
        await asyncio.sleep(LOOK_EVERY_S)
        with contextlib.suppress(OSError):
            peak = peak_mib(machine)
            if peak > MEM_MIB:
                machine.rig.record.line(f"{machine.name} is over its memory: {peak:.0f} MiB of {MEM_MIB}")
                machine.send(signal.SIGKILL)
                await machine.wait()
                ends.append(peak)
                await asyncio.sleep(DOWN_S)
                machine.start()


async def case() -> int:
    """Return 1 if processes on two machines end three times each for their memory, else 0."""
    async with rig_module.deployment(CASE) as rig:
        for zone in ("rijeka-1", "rijeka-2"):
            rig.add_instance(LongBodies, "blagajna", zone)
        await rig.start()
        if not await rig.in_service():
            return 2
        ends: dict[str, list[float]] = {machine.name: [] for machine in rig.proxies}
        watches = [asyncio.create_task(watch(machine, ends[machine.name])) for machine in rig.proxies]
        body = b"x" * (LONG_BYTES if rig_module.has_trouble() else SHORT_BYTES)
        statuses: list[int] = []
        for number in range(ROUNDS):
            for ip in rig.front_ips:
                names = [f"up-{number}-{ip}-{k}" for k in range(UPLOADS)]
                uploads = [rig.ask(ip, name, "POST", "/isplata/1", DEADLINE_MS, body) for name in names]
                statuses += await asyncio.gather(*uploads)
                await asyncio.sleep(2 * DOWN_S)
                if not await rig.ready():
                    return 2
        for task in watches:
            task.cancel()
        text = f"answers to the uploads: {statuses}; ends for memory, MiB: " + "; ".join(
            f"{name} {[round(peak) for peak in peaks]}" for name, peaks in ends.items()
        )
        rig.record.line(text)
        print(text)
        return 1 if all(len(peaks) >= ROUNDS for peaks in ends.values()) else 0


if __name__ == "__main__":
    rig_module.main(case)

"""Cut a service's backends off for 5 s as traffic begins; see whether its requests are ever served after that."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent))

import rig_2 as rig_module  # noqa: E402

BACKENDS = 4  # all in one zone, in which nothing else is
CUT_S = 5.0  # zone_cut, for_s
CALM_S = 45.0  # contact_ms, recovery_s and apply_within_ms together are 24 s
PER_S = 20.0  # of the tenant's 126; 4 backends bear 4 * 6 / 0.21 = 114
WORK_S = 0.21  # potvrda-isplate
DEADLINE_MS = 4000


class Traffic:
    """Requests of an effectful route, to both proxies in turn."""

    def __init__(self, rig: rig_module.Rig) -> None:
        self.rig = rig
        self.number = 0
        self.served = 0

    async def one(self, number: int) -> None:
        """Send one request."""
        ip = self.rig.front_ips[number % len(self.rig.front_ips)]
        status = await self.rig.ask(ip, f"pay-{number}", "POST", "/isplata/1", DEADLINE_MS, b"x" * 1200)
        self.served += status == 200

    async def run(self, seconds: float) -> None:
        """Send requests for some seconds, and wait for their ends."""
        end = self.rig.record.now() + seconds
        tasks = []
        while self.rig.record.now() < end:
            tasks.append(asyncio.create_task(self.one(self.number)))
            self.number += 1
            await asyncio.sleep(1.0 / PER_S)
        await asyncio.gather(*tasks)


async def case() -> int:
    """Return 1 if no request is ever served, 0 if some are."""
    async with rig_module.deployment(CASE) as rig:
        instances = [
            rig.add_instance(rig_module.Instance, "blagajna", "krapina-1", work_s=WORK_S) for _ in range(BACKENDS)
        ]
        await rig.start()
        config = rig_module.configuration(1)
        del config["routes"]["saldo"]
        if await rig.configure(config) != 200 or not await rig.ready():
            return 2
        await asyncio.sleep(8.0)
        traffic = Traffic(rig)
        if rig_module.has_trouble():
            rig.record.line("krapina-1 is cut off: connections are reset and refused")
            for instance in instances:
                await instance.stop()
        await traffic.run(CUT_S)
        if rig_module.has_trouble():
            for instance in instances:
                await instance.start()  # the same life, the same id and address
            rig.record.line("the cut has healed")
        asked = traffic.number
        await traffic.run(CALM_S)
        rig.record.line(f"sent {traffic.number}, {traffic.number - asked} after the cut; served {traffic.served}")
        print(f"sent {traffic.number} requests, {traffic.number - asked} after the cut; served {traffic.served}")
        return 1 if traffic.served == 0 else 0


if __name__ == "__main__":
    rig_module.main(case)

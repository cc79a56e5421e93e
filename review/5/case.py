"""Send a configuration in which a flag is no boolean; see whether it is refused, or acknowledged and put in force."""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent))

import rig_2 as rig_module  # noqa: E402

APPLY_WITHIN_S = 4.0  # bound apply_within_ms
CONTACT_S = 5.0  # bound contact_ms
REQUESTS = 20


async def case() -> int:
    """Return 1 if the configuration is acknowledged and requests are still handled by the older one, else 0."""
    async with rig_module.deployment(CASE) as rig:
        for zone in ("rijeka-1", "rijeka-2"):
            rig.add_instance(rig_module.Instance, "blagajna", zone)
        await rig.start()
        if not await rig.in_service():
            return 2
        config = rig_module.configuration(2)
        del config["routes"]["isplata"]  # dropped by version 2
        config["routes"]["oglasi"] = {**config["routes"]["saldo"], "path_prefix": "/oglasi/"}  # added by version 2
        config["services"]["vitrina"]["tls"] = 0.0 if rig_module.has_trouble() else False
        status = await rig.configure(config)
        await asyncio.sleep(APPLY_WITHIN_S + CONTACT_S)
        stale = 0
        for n in range(REQUESTS):
            ip = rig.front_ips[n % len(rig.front_ips)]
            stale += await rig.ask(ip, f"dropped-{n}", "POST", "/isplata/1", 4000, b"x") == 200
            stale += await rig.ask(ip, f"added-{n}", "GET", "/oglasi/1", 3000) == 404
        rig.proxies[0].send(signal.SIGTERM)
        await rig.proxies[0].wait()
        rig.proxies[0].start()
        ready = await rig.ready(15.0)
        text = (
            f"version 2: {status}; handled as by version 1: {stale} of {2 * REQUESTS}; ready after a restart: {ready}"
        )
        rig.record.line(text)
        print(text)
        return 1 if status == 200 and stale > 0 else 0


if __name__ == "__main__":
    rig_module.main(case)

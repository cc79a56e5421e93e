"""Stop one of three proxies with SIGTERM while a backend is cold; count what the cold backend receives in a second."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import sys
from pathlib import Path
from typing import Any

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent))

import rig_2 as rig_module  # noqa: E402

COLD_PER_S, COLD_EXCESS, COLD_SLACK = 12.0, 1.5, 5.0  # of the configuration, and the bounds
BOUND = COLD_PER_S * COLD_EXCESS + COLD_SLACK
WARMUP_S = 3.0
WORK_S = 0.16  # pregled-salda
FRONTS, CLIENTS = 3, 10  # clients of each proxy; each rests for PAUSE_S after an answer
PAUSE_S = 0.1
SIGNAL_AFTER_S = 0.5  # from the start of the cold backend
KEPT_S = 3.0  # clients keep an answer of the directory (ttl_s 1) three times as long at most
QUOTA = {"rate_per_s": 300, "burst": 300}


class Fresh(rig_module.Instance):
    """A backend that has just started: cold for `WARMUP_S`, and listed so. Above the bound it falls over."""

    started_at = 0.0
    has_fallen = False

    def note_run(self, attempt: str) -> None:
        """Record a request; fall over if too many came within a second while this backend was cold."""
        super().note_run(attempt)
        now = self.record.now()
        recent = sum(1 for at, _ in self.runs if at > now - 1.0)
        if recent > BOUND and now < self.started_at + WARMUP_S and not self.has_fallen:
            self.has_fallen = True
            self.record.line(f"{self.name} falls over: {recent} requests in a second, bound {BOUND:g}")
            asyncio.get_running_loop().create_task(self.stop())

    def entry(self) -> dict[str, Any]:
        """Return the row of the platform's list."""
        left_s = max(0.0, self.started_at + WARMUP_S - self.record.now())
        return {**super().entry(), "cold_left_ms": int(1000 * left_s)}


async def client(rig: rig_module.Rig, ip: str, name: str, failed: set[str]) -> None:
    """Send one request after the other to a proxy, payouts in turn with reads; note the payouts that fail."""
    number, kept_until = 0, None
    while kept_until is None or rig.record.now() < kept_until:
        with contextlib.suppress(*rig_module.NO_ANSWER, asyncio.IncompleteReadError):
            reader, writer = await asyncio.open_connection(ip, rig_module.FRONT)
            while True:
                number += 1
                attempt = f"{name}-{number}"
                method, path = ("POST", "/isplata/1") if number % 2 else ("GET", "/saldo/1")
                rig.record.line(f"sent {attempt} {method} to {ip}")
                writer.write(rig_module.request(attempt, method, path, rig_module.KEY, 3000))
                got = await rig_module.read_message(reader)
                rig.record.line(f"got {got.status} to {attempt}")
                if method == "POST" and got.status >= 500:
                    failed.add(attempt)
                if got.headers.get("connection") == "close":
                    writer.close()
                    break
                await asyncio.sleep(PAUSE_S)
        if kept_until is None:
            kept_until = rig.record.now() + KEPT_S
        await asyncio.sleep(PAUSE_S)


def most_in_a_second(times: list[float]) -> int:
    """Return the most requests that arrived in any second."""
    return max((sum(1 for each in times if at <= each < at + 1.0) for at in times), default=0)


async def case() -> int:
    """Return 1 if the cold backend received more in one second than the rule allows, else 0."""
    async with rig_module.deployment(CASE, FRONTS) as rig:
        for zone in ("rijeka-1", "rijeka-2"):
            rig.add_instance(rig_module.Instance, "blagajna", zone, work_s=WORK_S)
        await rig.start()
        tenant = rig_module.configuration(1)["tenants"]["huka270"] | QUOTA
        if not await rig.in_service(tenants={"huka270": tenant}):
            return 2
        failed: set[str] = set()
        clients = [
            asyncio.create_task(client(rig, ip, f"c{n}-{k}", failed))
            for n, ip in enumerate(rig.front_ips)
            for k in range(CLIENTS)
        ]
        await asyncio.sleep(2.0)
        fresh = rig.add_instance(Fresh, "blagajna", "rijeka-1", work_s=WORK_S)
        fresh.started_at = rig.record.now()
        await fresh.start()
        rig.record.line(f"{fresh.name} starts, cold")
        await asyncio.sleep(SIGNAL_AFTER_S)
        if rig_module.has_trouble():
            rig.proxies[0].send(signal.SIGTERM)
        await asyncio.sleep(WARMUP_S - SIGNAL_AFTER_S)
        for task in clients:
            task.cancel()
        await asyncio.gather(*clients, return_exceptions=True)
        most = most_in_a_second([at for at, _ in fresh.runs if at < fresh.started_at + WARMUP_S])
        lost = sum(1 for _, attempt in fresh.runs if attempt in failed)
        text = f"the cold backend received {most} requests in a second, bound {BOUND:g}; payouts lost there: {lost}"
        rig.record.line(text)
        print(text)
        return 2 if not fresh.runs else 1 if most > BOUND else 0


if __name__ == "__main__":
    rig_module.main(case)

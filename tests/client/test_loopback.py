"""The client library against all processes of the system, while a proxy is killed and a backend drains."""

import asyncio
import os
import signal
import subprocess
import sys
from collections import Counter

import pytest

from standins.system import System
from standins.system_story import hold
from standins.system_topology import DIRECTORY, FRONTS, HOST
from thistleusher.client import Answered, Client, UnknownEnd
from thistleusher.client.client import served

SERVERS = [f"{ip}:{DIRECTORY}" for ip in FRONTS]


@pytest.mark.usefixtures("system_addresses")
def test_payments_run_once_at_most_and_every_unknown_end_is_named(tmp_path):
    ends = Counter()

    async def pay(client, number):
        try:
            ended = await client.call("POST", f"/pay/{number}", body=b"{}")
            ends["served" if served(ended) else "refused"] += 1
            return number, served(ended)
        except UnknownEnd:
            ends["unknown"] += 1
            return number, None

    async def play():
        async with System(tmp_path, lambda line: None) as system:
            await hold(system, 0.0)
            async with Client(SERVERS, HOST, region="r-1", zone="z-1", key="key-large") as client:

                async def counted() -> bool:
                    return (await system.send_requests(30)).get(200) == 30

                await system.wait_until("requests are counted and served at all proxies", counted)
                paid, read = [], []
                for wave in range(10):
                    calls = [asyncio.ensure_future(pay(client, 4 * wave + n)) for n in range(4)]
                    reads = [asyncio.ensure_future(client.get("/read/1")) for _ in range(6)]
                    if wave == 2:
                        await system.processes["proxy", FRONTS[0]].end(signal.SIGKILL)
                        system.backends[0].phase = "draining"
                    paid += await asyncio.gather(*calls)
                    read += await asyncio.gather(*reads)
                example = await asyncio.to_thread(
                    subprocess.run,
                    [
                        sys.executable,
                        "examples/client_script.py",
                        "--directory",
                        SERVERS[1],
                        "--host",
                        HOST,
                        "--key",
                        "key-large",
                        "--pay",
                        "/pay/example",
                    ],
                    capture_output=True,
                    text=True,
                    env={**os.environ, "PYTHONPATH": "."},
                )
        return system.runs, paid, read, example

    runs, paid, read, example = asyncio.run(play())
    ran = Counter(line.split()[1] for _, _, line in runs if line.startswith("POST"))
    for number, known in paid:
        assert ran[f"/pay/{number}"] <= 1
        if known is not None:
            assert ran[f"/pay/{number}"] == known  # a served call has run once, a refused one never
    assert sum(ends.values()) == 40 and ends["served"] > 0
    assert sum(isinstance(r, Answered) and r.status == 200 for r in read) >= 55
    assert example.returncode == 0, example.stdout + example.stderr

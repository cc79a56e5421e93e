"""Runs the daemon for tests, as a separate process or in this process."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import subprocess
import sys
import tempfile

from tests.net.sockets import HOST, Client, closed_port, entry
from thistleusher.net.config import read_config
from thistleusher.net.daemon import Daemon

SETTINGS = {
    "balancers": 1,
    "me": 0,
    "zone": "z0",
    "step": 0.004,
    "classes": [
        {"name": "read", "semantics": "retryable", "objective": 2.0, "hardLimit": 6.0},
        {"name": "pay", "semantics": "dedup", "objective": 2.0, "hardLimit": 6.0, "window": 15.0, "group": "all"},
    ],
    "plans": [{"name": "basic", "rate": 2.0, "storeSize": 8.0, "pays": 1.1}],
    "extra": {"counter": True, "counterTimeout": 1.0, "maxUnits": 4, "truedUp": True, "peerInPerS": 100.0},
    "limits": {
        "maxAttempts": 3,
        "cancel": True,
        "peers": False,
        "connIdle": 15.0,
        "connectTimeout": 2.0,
        "maxRetryAfter": 1.0,
    },
    "loadReport": {"how": "pull", "fields": ["latency_ms", "inflight"]},
    "areas": ["z0", "z1"],
    "unheard": {"of": 1},
}


TERMS = "units=4,spread=1,first=0"
FEW = "units=1,spread=1,first=0"


class Program:
    """A process running `python -m thistleusher`, with peers provided by the test."""

    def __init__(self, tmp_path, **config):
        self.port, self.args = closed_port(), ()
        self.path = tmp_path / "config.json"
        self.path.write_text(
            json.dumps(
                {
                    "name": "n0",
                    "listen": f"{HOST}:{self.port}",
                    "discovery": f"{HOST}:{closed_port()}",
                    "seed": "8c1f",
                    "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
                    "settings": SETTINGS,
                    **config,
                }
            )
        )

    async def start(self):
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "thistleusher",
            *self.args,
            env={**os.environ, "PROXY_CONFIG": str(self.path)},
            stderr=subprocess.PIPE,
        )
        while True:
            try:
                return await Client.connect(self.port)
            except OSError:
                assert self.process.returncode is None
                await asyncio.sleep(0.01)

    async def end(self):
        if self.process.returncode is None:
            self.process.kill()
        await self.process.wait()


def read_config_text(data):
    with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
        json.dump(data, file)
        file.flush()
        return read_config({"PROXY_CONFIG": file.name})


def known(port):
    return {"index": 3, "snapshot": True, "endpoints": [entry("b0", port)]}


@contextlib.asynccontextmanager
async def in_process(backend, counter, clock, snapshotter=None, **more):
    """Run the daemon in this process on the test's clock; yields the daemon and its port."""
    port = closed_port()
    config = read_config_text(
        {
            "name": "n0",
            "listen": f"{HOST}:{port}",
            "discovery": f"{HOST}:{closed_port()}",
            "seed": "8c1f",
            "counter": f"{HOST}:{counter.port}",
            "known": known(backend.port),
            "settings": SETTINGS,
            **more,
        }
    )
    daemon = Daemon(config, clock, snapshotter=snapshotter and snapshotter(config))
    await daemon.start()
    try:
        yield daemon, port
    finally:
        daemon.close()

"""Host program of the crash test: an application with the middleware that prints each request it runs."""

from __future__ import annotations

import asyncio
import json
import sys
import time

from tests.embed.host import Host, serve_lifespan
from tests.helpers import KEYED, SAFE, UNSAFE
from thistleusher.embed import EmbeddedIngress, PeerAddresses, QuotaMiddleware, Settings

HELD = b"hold"


def crash_settings(me: int) -> Settings:
    """Return settings with a refill rate so low that it does not matter within a test."""
    from thistleusher.core.settings import PlanSettings

    plan = PlanSettings("basic", rate=0.001, burst=8.0)
    return Settings(
        classes=(SAFE, KEYED, UNSAFE),
        plans=(plan,),
        instances=2,
        me=me,
        counter_timeout=1.0,
        max_units=4.0,
        max_retry_after=1.0,
        peers=True,
        peer_in_per_s=100.0,
    )


async def app(scope, receive, send):
    if scope["type"] == "lifespan":
        await serve_lifespan(receive, send)
        return
    name = dict(scope["headers"])[b"x-call-id"]
    print(f"ran {name.decode()}", flush=True)
    if name.startswith(HELD):
        await asyncio.Event().wait()
    await send({"type": "http.response.start", "status": 200, "headers": [(b"content-length", b"0")]})
    await send({"type": "http.response.body", "body": b""})


async def main(config) -> None:
    ingress = EmbeddedIngress(
        crash_settings(0),
        counter=config["counter"],
        peers=PeerAddresses(config["peers"][0], tuple(config["peers"])),
        clock=lambda: time.time() + config["ahead"],
    )
    await ingress.open()
    gateway = ingress.driver.gateway
    gateway.fleet.slots = 100.0  # above the number of requests: this test is not about the concurrency limit
    original_merge_usage = gateway.replication.merge_usage

    def merge_usage(now, peer, *fields):
        original_merge_usage(now, peer, *fields)
        print("heard", flush=True)

    gateway.replication.merge_usage = merge_usage
    host = Host(QuotaMiddleware(app, ingress))
    await host.start(config["port"])
    print("ready", flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(main(json.loads(sys.argv[1])))

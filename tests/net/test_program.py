"""Tests of the whole daemon: configuration, readiness, SIGTERM and SIGHUP."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import subprocess
import sys

import pytest

from standins.counter import Counter
from tests.net.program import FEW, SETTINGS, TERMS, Program, in_process, known
from tests.net.sockets import HOST, Client, Peer, call, ok, run, until


def test_a_customer_is_held_to_its_quota_by_the_counters_totals():
    async def main():
        backend, counter = await Peer.start(ok(b"fine")), Counter(clock=lambda: 1000.0)
        await counter.start()
        async with in_process(backend, counter, lambda: 1000.0) as (_, port):  # a fixed clock: no new window begins
            client = await Client.connect(port)
            answers = [await client.ask(call(f"r{i}", X_Call_Terms=TERMS)) for i in range(6)]
        assert [a[0] for a in answers] == [200, 200, 429, 429, 429, 429]  # 4 units each, a burst of 8
        assert all(0 < float(a[1]["retry-after"]) <= 1 for a in answers[2:])
        assert len(backend.seen) == 2 and list(counter.totals().values()) == [8.0]
        await counter.stop()

    run(main())


def test_connections_are_accepted_during_the_notice_and_pending_requests_finished():
    async def main():
        go, over = asyncio.Event(), asyncio.Event()

        async def act(seen):
            if seen.headers["x-call-id"] == "pending":
                await go.wait()
            return ok()

        backend, counter = await Peer(act).listen(), await Peer.start(ok(b"1"))
        async with in_process(backend, counter, lambda: 1000.0) as (daemon, port):
            health = b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n"
            client, pending = await Client.connect(port), await Client.connect(port)
            assert (await client.ask(health))[0] == 200
            pending.writer.write(call("pending", X_Call_Terms=FEW))
            await until(lambda: backend.seen)
            stopping = asyncio.create_task(daemon.stop(over.wait()))
            await until(lambda: daemon.server.shutting_down)
            assert (await client.ask(health))[0] == 503
            late = await Client.connect(port)  # the front has not learned of the shutdown yet
            assert (await late.ask(call("late", X_Call_Terms=FEW)))[0] == 200
            over.set()
            assert await client.reader.read() == b"" and await late.reader.read() == b""
            with pytest.raises(OSError):
                await Client.connect(port)
            assert not stopping.done()
            go.set()
            status, headers, _ = await pending.answer()
            assert status == 200 and headers["connection"] == "close"
            await stopping

    run(main())


def test_sigterm_shuts_down_after_pending_requests_are_answered(tmp_path):
    async def main():
        go = asyncio.Event()

        async def act(_):
            await go.wait()
            return ok()

        backend, counter = await Peer(act).listen(), await Peer.start(ok(b"1"))
        program = Program(tmp_path, known=known(backend.port), counter=f"{HOST}:{counter.port}")
        pending = await program.start()
        try:
            pending.writer.write(call("pending", X_Call_Terms=FEW))
            await until(lambda: backend.seen)
            program.process.send_signal(signal.SIGTERM)
            while b"is shutting down: 1 requests in flight" not in await program.process.stderr.readline():
                assert program.process.returncode is None
            go.set()
            status, _, _ = await pending.answer()
            assert status == 200
            assert await program.process.wait() == 0
        finally:
            await program.end()

    run(main())


def test_sighup_moves_discovery_and_the_counter_and_a_bad_file_changes_nothing(tmp_path):
    async def main():
        backend = await Peer.start(ok(b"fine"))
        lists = ok(json.dumps(known(backend.port)).encode())
        counters = [await Peer.start(ok(b"1")) for _ in range(2)]
        lists = [await Peer.start(lists) for _ in range(2)]
        program = Program(
            tmp_path,
            known=known(backend.port),
            counter=f"{HOST}:{counters[0].port}",
            discovery=f"{HOST}:{lists[0].port}",
        )
        sound = program.path.read_text()
        client = await program.start()
        try:
            assert (await client.ask(call("r1", X_Call_Terms=FEW)))[0] == 200
            program.path.write_text(sound[:-1])
            program.process.send_signal(signal.SIGHUP)
            while b"reload failed, configuration unchanged" not in await program.process.stderr.readline():
                pass
            assert (await client.ask(call("r2", X_Call_Terms=FEW)))[0] == 200
            program.path.write_text(
                json.dumps(
                    json.loads(sound)
                    | {"counter": f"{HOST}:{counters[1].port}", "discovery": f"{HOST}:{lists[1].port}"}
                )
            )
            program.process.send_signal(signal.SIGHUP)
            await until(lambda: lists[1].seen and counters[1].connections)
            assert lists[1].seen[0].line == "GET /v1/servers HTTP/1.1"
            n = 2
            while not counters[1].seen:
                n += 1
                assert (await client.ask(call(f"r{n}", X_Call_Terms=FEW)))[0] in (200, 429)
            assert program.process.returncode is None
        finally:
            await program.end()

    run(main())


SOUND = {"settings": SETTINGS, "listen": "127.0.0.1:1", "discovery": "127.0.0.1:1", "name": "n"}


@pytest.mark.parametrize(
    "config",
    [
        None,
        "no json",
        "[]",
        "{}",
        {"settings": {}},
        {"settings": SETTINGS},
        {"settings": SETTINGS, "listen": "x"},
        {**SOUND, "settings": {**SETTINGS, "plans": []}},
        {**SOUND, "listen": "203.0.113.9:1"},  # not an address of this machine
        {**SOUND, "known": {"x": 1}},
        {**SOUND, "seed": "no hex"},
    ],
)
def test_bad_configuration_is_one_plain_line(tmp_path, config):
    path = tmp_path / "config.json"
    path.write_text(config if isinstance(config, str) else json.dumps(config))
    env = {k: v for k, v in os.environ.items() if not k.startswith("PROXY_")}
    if config is not None:
        env["PROXY_CONFIG"] = str(path)
    done = subprocess.run([sys.executable, "-m", "thistleusher"], env=env, capture_output=True, text=True, timeout=60)
    lines = [line for line in done.stderr.splitlines() if " INFO " not in line]
    assert done.returncode == 2 and len(lines) == 1 and lines[0].startswith("thistleusher: ")

"""The program with a state folder: a member's used units survive SIGKILL."""

from __future__ import annotations

import asyncio
import json
import sqlite3
import subprocess
import sys

import pytest

from standins.counter import Counter
from tests.net.program import SETTINGS, TERMS, Program, known
from tests.net.sockets import Peer, call, ok, run, until
from thistleusher.state.records import decode_member
from thistleusher.state.store import ENDPOINT_LIST_KEY

SLOW = {
    **SETTINGS,
    "plans": [{"name": "basic", "rate": 0.001, "storeSize": 8.0, "pays": 1.0}],
    "extra": {**SETTINGS["extra"], "counterTimeout": 0.05},
}


def with_state(tmp_path, backend, counter):
    program = Program(tmp_path, counter=counter.address, known=known(backend.port), settings=SLOW)
    (tmp_path / "state.toml").write_text(f'folder = "{tmp_path}/state"\ncommit_ms = 5\n')
    program.args = ("--state", str(tmp_path / "state.toml"))
    return program


def committed(tmp_path):
    """Return the stored pending units of each member, which no count includes yet."""
    db = sqlite3.connect(f"file:{tmp_path}/state/state.db?mode=ro", uri=True)
    try:
        return [decode_member(body).pending for (body,) in db.execute("SELECT body FROM member")]
    finally:
        db.close()


def read_fact(tmp_path, slot):
    db = sqlite3.connect(f"file:{tmp_path}/state/state.db?mode=ro", uri=True)
    try:
        return next(iter(db.execute("SELECT body FROM fact WHERE key = ?", slot[1:])), None)
    finally:
        db.close()


@pytest.mark.parametrize("kept", [True, False])
def test_killed_ingress_restores_its_members_while_the_counter_is_silent(tmp_path, kept):
    async def main():
        backend, counter = await Peer.start(ok(b"fine")), Counter()
        await counter.start()
        counter.silence(True)
        program = with_state(tmp_path, backend, counter)
        if not kept:
            program.args = ()
        client = await program.start()
        try:
            statuses = [(await client.ask(call(f"a{n}", X_Call_Terms=TERMS)))[0] for n in range(3)]
            assert statuses == [200, 200, 429]  # two requests of four units each exhaust the burst of eight units
            if kept:
                await until(lambda: committed(tmp_path) == [8.0])  # the commit may follow the last answer
            await program.end()
            client = await program.start()
            status = (await client.ask(call("again", X_Call_Terms=TERMS)))[0]
            assert status == (429 if kept else 200)
        finally:
            await program.end()
            counter.silence(False)
            await counter.stop()

    run(main())


def test_last_endpoint_list_is_used_after_a_kill_while_discovery_is_unavailable(tmp_path):
    async def main():
        backend, counter = await Peer.start(ok(b"fine")), Counter()
        await counter.start()
        program = with_state(tmp_path, backend, counter)
        client = await program.start()
        try:
            assert (await client.ask(call("a", X_Call_Terms=TERMS)))[0] == 200
            await until(lambda: read_fact(tmp_path, ENDPOINT_LIST_KEY) is not None)
            await program.end()
            program.path.write_text(
                json.dumps({k: v for k, v in json.loads(program.path.read_text()).items() if k != "known"})
            )
            client = await program.start()
            assert (await client.ask(call("b", X_Call_Terms=TERMS)))[0] == 200
        finally:
            await program.end()
            await counter.stop()

    run(main())


def test_a_start_that_cannot_have_its_folder_is_one_line_and_exit_code_2(tmp_path):
    async def main():
        backend, counter = await Peer.start(ok(b"fine")), Counter()
        await counter.start()
        program = with_state(tmp_path, backend, counter)
        await program.start()
        try:
            second = await asyncio.to_thread(
                subprocess.run,
                [sys.executable, "-m", "thistleusher", *program.args],
                capture_output=True,
                text=True,
                env={"PROXY_CONFIG": str(program.path)},
                timeout=60,
            )
            assert second.returncode == 2 and second.stderr.count("\n") == 1
            assert "locked by another process" in second.stderr
        finally:
            await program.end()
            await counter.stop()

    run(main())


def test_state_package_is_not_imported_without_a_folder():
    code = (
        "import sys, thistleusher.__main__, thistleusher.net.daemon\n"
        "assert not {'sqlite3', 'msgspec', 'thistleusher.state'} & set(sys.modules)\n"
    )
    subprocess.run([sys.executable, "-c", code], check=True, timeout=60)

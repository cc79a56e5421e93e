"""`thistleusher serve`: one stand-alone ingress with an operator's file."""

from __future__ import annotations

import json
import signal

from standins.counter import Counter
from tests.net.program import TERMS, Program, known
from tests.net.sockets import Peer, call, ok, run
from tests.operator_file.files import written
from thistleusher.state.store import Store


def test_serve_with_an_operators_file_keeps_state_and_logs_json(tmp_path):
    async def scenario():
        backend, counter = await Peer.start(ok(b"fine")), Counter()
        await counter.start()
        program = Program(tmp_path, counter=counter.address, known=known(backend.port))
        path = written(tmp_path, f"[state]\nfolder = '{tmp_path}/state'\n[log]\nform = 'json'\n")
        program.args = ("serve", "--operator", path)
        client = await program.start()
        try:
            assert (await client.ask(call("a", X_Call_Terms=TERMS)))[0] == 200
            program.process.send_signal(signal.SIGTERM)
            lines = [json.loads(line) for line in (await program.process.stderr.read()).splitlines()]
            assert await program.process.wait() == 0
        finally:
            await program.end()
            await counter.stop()
        assert any("serves on" in x["event"] for x in lines) and all(x["level"] for x in lines)
        assert lines[-1]["event"].endswith("has stopped")
        store = Store.open_existing(tmp_path / "state")
        assert store.previous.ended_at > 0 and store.endpoint_list().endpoints[0].name == "b0"
        store.close()

    run(scenario())

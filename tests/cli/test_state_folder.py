"""`thistleusher state` inspects a folder without changing it."""

from __future__ import annotations

import json
import sqlite3

from thistleusher.cli.main import main
from thistleusher.state.records import MemberRecord, ReservationRecord, encode
from thistleusher.state.store import Store


def test_a_folder_is_looked_at_and_left_as_it_was(tmp_path, capsys):
    folder = str(tmp_path / "state")
    assert main(["state", "show", folder]) == 2 and "not a state folder" in capsys.readouterr().err
    store = Store(folder, "n0")
    store.start_incarnation("n0", 100.0)
    store.commit(
        [
            (("member", 7), encode(MemberRecord(7, "plus", 16.0, 36.0, 3.0, 100.0, 44, 5.0, 2.5, 40))),
            (("room", 1), encode(ReservationRecord("plus", 7, 0, 3, 29.0, 65.0, 2.5, 100.0))),
        ]
    )
    assert main(["state", "show", folder]) == 2 and "locked by another process" in capsys.readouterr().err
    store.record_shutdown(160.0)
    store.close()
    assert main(["state", "show", folder]) == 0
    out = capsys.readouterr().out
    assert "ingress n0, life 1" in out and "ended in order at 160.000" in out and "1 members, 2.50 units" in out
    assert main(["state", "verify", folder]) == 0 and "3 records read, 0 spoilt" in capsys.readouterr().out
    assert main(["state", "export", folder]) == 0
    rows = [json.loads(line) for line in capsys.readouterr().out.splitlines()]
    assert [r["kind"] for r in rows] == ["life", "member", "room"] and rows[1]["pending"] == 2.5
    db = sqlite3.connect(tmp_path / "state" / "state.db")
    db.execute("UPDATE member SET body = x'00'")
    db.commit()
    db.close()
    assert main(["state", "verify", folder]) == 1 and "1 spoilt" in capsys.readouterr().out

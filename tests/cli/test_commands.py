"""Offline commands: help, checks and the catalogue of log events."""

from pathlib import Path

from thistleusher.cli.main import main
from thistleusher.common.events import Event, render_table

ROOT = Path(__file__).resolve().parents[2]


def printed(capsys, *argv):
    code = main(list(argv))
    got = capsys.readouterr()
    return code, got.out, got.err


def test_checks_say_what_is_wrong_one_line_each(capsys, tmp_path, snapshot):
    config, settings = tmp_path / "config.json", tmp_path / "boot.conf"
    config.write_text(
        '{"version":"00000001","routes":{"r":{"hostname":"h","path_prefix":"/a/","deadline_ms":0,' '"target":"s"}}}'
    )
    settings.write_text("node_name=n\nip=10.0.0.1\nport_range=1,2\nseed_nodes=x\n")
    results = {}
    for kind, path in (("configuration", config), ("settings", settings), ("settings", tmp_path / "none")):
        code, out, err = printed(capsys, "check", kind, str(path))
        results[f"{kind} {path.name}"] = [code, out.replace(str(tmp_path), "."), err.replace(str(tmp_path), ".")]
    config.write_text('{"version":"00000001"}')
    code, out, err = printed(capsys, "check", "configuration", str(config))
    results["sound"] = [code, out.replace(str(tmp_path), "."), err]
    assert results == snapshot


def test_help_names_every_program(capsys):
    code, out, _ = printed(capsys, "--help")
    assert code == 0
    assert all(name in out for name in ("proxy", "control", "registry", "check", "events"))


def test_the_catalogue_of_events_is_the_page():
    assert render_table() in (ROOT / "docs" / "events.md").read_text()
    numbers = [e.value.number for e in Event]
    assert len(numbers) == len(set(numbers))

"""A build that was carried over from another machine, or that broke off, is made anew."""

import importlib.util
import subprocess
import sys
import tomllib
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parent.parent.parent
spec = importlib.util.spec_from_file_location("build", ROOT / "deploy" / "build.py")
builder = importlib.util.module_from_spec(spec)
spec.loader.exec_module(builder)


class Tree:
    """A checkout, and an installer that writes one file and counts its calls."""

    def __init__(self, root, monkeypatch):
        self.root, self.installed, self.succeeds, self.loadable = root, 0, True, True
        for name in builder.REQUIREMENTS:
            (root / name).write_text("lmdb==1\n")
        monkeypatch.setattr(builder, "install", self.install)
        monkeypatch.setattr(builder, "loads", lambda root, folder: self.loadable)

    def install(self, root, folder):
        self.installed += 1
        (folder / f"library{self.installed}").touch()
        return self.succeeds

    def files(self):
        deps = self.root / "target" / "deps"
        return sorted(path.name for path in deps.iterdir() if path.name != builder.STAMP_NAME) if deps.exists() else []


@pytest.fixture
def tree(tmp_path, monkeypatch):
    return Tree(tmp_path, monkeypatch)


def test_a_build_that_is_there_is_kept(tree):
    assert builder.build(tree.root) and builder.build(tree.root)
    assert tree.installed == 1 and tree.files() == ["library1"]


@pytest.mark.parametrize("function", ["get_platform", "get_config_var"])
def test_a_build_of_another_machine_or_python_is_replaced_whole(tree, monkeypatch, function):
    assert builder.build(tree.root)
    monkeypatch.setattr(builder.sysconfig, function, lambda *arguments: "another")
    assert builder.build(tree.root)
    assert tree.files() == ["library2"]


def test_a_folder_without_a_stamp_is_no_build(tree):
    """Such a folder is left by an installation that broke off, and by releases whose command looked at times."""
    deps = tree.root / "target" / "deps"
    deps.mkdir(parents=True)
    (deps / "half").touch()
    assert builder.build(tree.root) and tree.files() == ["library1"]


def test_other_requirements_are_built_anew(tree):
    assert builder.build(tree.root)
    (tree.root / builder.REQUIREMENTS[1]).write_text("lmdb==2\n")
    assert builder.build(tree.root) and tree.files() == ["library2"]


@pytest.mark.parametrize("what", ["succeeds", "loadable"])
def test_a_build_that_fails_says_so_and_is_tried_again(tree, what, capsys):
    setattr(tree, what, False)
    assert not builder.build(tree.root) and "deploy/build.py" in capsys.readouterr().err
    assert not builder.is_built(tree.root)
    setattr(tree, what, True)
    assert builder.build(tree.root) and tree.files() == ["library2"]


def test_the_programs_load_with_the_libraries_of_this_environment_and_not_without(tmp_path):
    assert not builder.loads(ROOT, tmp_path)
    (library,) = {path for path in sys.path if path.endswith("site-packages") and (Path(path) / "lmdb").exists()}
    assert builder.loads(ROOT, Path(library))


def test_the_deploy_file_calls_the_builder():
    assert tomllib.loads((ROOT / "deploy" / "system.toml").read_text())["build"] == "python3 deploy/build.py"


def test_a_program_that_cannot_load_its_libraries_says_what_to_do(tmp_path):
    path = tmp_path / "boot.conf"
    path.write_text("node_name=n\nip=127.0.0.1\nzone=z\nseed_nodes=127.0.0.1:1\nport_range=1,20\n")
    for program in builder.PROGRAMS:
        found = subprocess.run(
            [sys.executable, "-S", "-m", "thistleusher.system", program],
            cwd=ROOT,
            env={"THISTLEUSHER_NODE_FILE": str(path)},
            capture_output=True,
            text=True,
        )
        assert found.returncode == 1 and len(found.stderr.splitlines()) == 1
        assert "deploy/build.py" in found.stderr

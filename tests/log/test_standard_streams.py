"""Log lines to a reader that is slow, gone or was never there."""

import errno
import os
import subprocess
import sys

import pytest

from thistleusher.log import standard_streams
from thistleusher.log.standard_streams import MAX_WRITE_BYTES, NonBlockingStream

SMALLEST_PIPE_BYTES = 4096
F_SETPIPE_SZ = 1031


@pytest.fixture
def pipe():
    """A small pipe: its read end and its write end, both closed with the test."""
    import fcntl

    ends = os.pipe()
    fcntl.fcntl(ends[1], F_SETPIPE_SZ, SMALLEST_PIPE_BYTES)
    yield ends
    for end in ends:
        try:
            os.close(end)
        except OSError as error:
            assert error.errno == errno.EBADF  # noqa: PT017 - the test has closed it


@pytest.fixture(params=[False, True], ids=["opened again", "asked before each write"])
def stream(request, pipe, monkeypatch):
    """A stream to the pipe; without /proc it has to ask whether a write would wait."""
    if request.param:
        monkeypatch.setattr(standard_streams, "_without_waiting", lambda descriptor: (descriptor, True))
    return NonBlockingStream(pipe[1])


def test_lines_that_a_full_pipe_does_not_take_are_dropped_and_counted(pipe, stream):
    line = "x" * 99 + "\n"
    for _ in range(SMALLEST_PIPE_BYTES // 100 + 3):  # the last write would block
        stream.write(line)
    taken = os.read(pipe[0], SMALLEST_PIPE_BYTES).count(b"\n")
    stream.write("after\n")
    dropped = SMALLEST_PIPE_BYTES // 100 + 3 - taken
    assert dropped > 0
    assert os.read(pipe[0], 4096).decode().endswith(f"106 {standard_streams.DROPPED_TEXT % dropped}\nafter\n")
    stream.write("next\n")
    assert os.read(pipe[0], 4096) == b"next\n"


def test_a_reader_that_is_gone_costs_lines_only(pipe, stream):
    os.close(pipe[0])
    for _ in range(3):
        stream.write("line\n")


def test_a_line_longer_than_one_write_is_written_whole(tmp_path):
    with (tmp_path / "log").open("wb") as file:
        NonBlockingStream(file.fileno()).write("y" * (3 * MAX_WRITE_BYTES) + "\n")
    assert (tmp_path / "log").stat().st_size == 3 * MAX_WRITE_BYTES + 1


def test_a_line_in_parts_is_written_once(pipe, stream):
    stream.write("one ")
    stream.write("\udcff")  # cannot be encoded
    stream.write("\n")
    assert os.read(pipe[0], 100) == b"one \\udcff\n"


def test_a_crash_in_native_code_leaves_its_stacks():
    source = (
        "from thistleusher.log import standard_streams; standard_streams.install()\n"
        "import os, signal\n"
        "os.kill(os.getpid(), signal.SIGILL)\n"
    )
    found = subprocess.run([sys.executable, "-c", source], capture_output=True, text=True)
    assert found.returncode < 0
    assert "Illegal instruction" in found.stderr and "line 3" in found.stderr


def test_closed_standard_descriptors_are_not_given_to_other_files():
    source = (
        "import os\n"
        "for number in (0, 1, 2): os.close(number)\n"
        "from thistleusher.log import standard_streams; standard_streams.install()\n"
        "assert os.open('/dev/null', os.O_RDONLY) > 2\n"
        "import sys; print('lost', file=sys.stderr)\n"
    )
    assert subprocess.run([sys.executable, "-c", source]).returncode == 0

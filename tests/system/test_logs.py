"""Processes whose standard error is closed, has lost its reader, or is read by nobody."""

import contextlib
import os
import signal
import socket
import time

import pytest

from tests.system.programs import PORT, one

PROGRAMS = ("control", "registry", "proxy")
# An address that each program opens: its own of the settings file, or the registry's port for other processes.
LISTENS = {"control": PORT, "registry": PORT + 5, "proxy": PORT + 1}
RUNS_S = 1.2  # the processes without a log have ended by then before the fix


def wait_until_it_answers(program):
    """Wait until the process accepts a connection and reacts to its end, so that its loop runs."""
    end = time.monotonic() + 20
    while time.monotonic() < end:
        assert program.process.poll() is None, program.process.poll()
        with contextlib.suppress(OSError), socket.create_connection((program.ip, LISTENS[program.name]), 1) as client:
            client.shutdown(socket.SHUT_WR)
            client.settimeout(2)
            if client.recv(1) == b"":
                return
        time.sleep(0.02)
    raise AssertionError("it does not answer")


def terminate(program):
    program.process.send_signal(signal.SIGTERM)
    assert program.wait() == 0


def full_pipe():
    """Return both ends of a pipe that holds no further byte."""
    ends = os.pipe()
    os.set_blocking(ends[1], False)
    with contextlib.suppress(BlockingIOError):
        while True:
            os.write(ends[1], b"x" * 4096)
    os.set_blocking(ends[1], True)
    return ends


@pytest.mark.parametrize("name", PROGRAMS)
def test_a_process_whose_standard_streams_are_closed_serves(programs, tmp_path, name):
    program = one(programs, tmp_path, name)
    program.start(wrapper=("sh", "-c", 'exec "$@" <&- >&- 2>&-', "sh"))
    time.sleep(RUNS_S)
    wait_until_it_answers(program)
    terminate(program)


@pytest.mark.parametrize("name", PROGRAMS)
@pytest.mark.parametrize("when", ["before the start", "while it serves"])
def test_a_process_whose_log_loses_its_reader_serves_and_ends_in_order(programs, tmp_path, name, when):
    read_end, write_end = os.pipe()
    if when == "before the start":
        os.close(read_end)
    program = one(programs, tmp_path, name)
    program.start(log=write_end)
    os.close(write_end)
    wait_until_it_answers(program)
    if when == "while it serves":
        os.close(read_end)
    wait_until_it_answers(program)
    terminate(program)


@pytest.mark.parametrize("name", PROGRAMS)
def test_a_process_whose_log_is_full_serves_and_ends_in_order(programs, tmp_path, name):
    read_end, write_end = full_pipe()
    program = one(programs, tmp_path, name)
    program.start(log=write_end)
    os.close(write_end)
    wait_until_it_answers(program)
    terminate(program)
    os.close(read_end)


@pytest.mark.parametrize("name", PROGRAMS)
def test_a_process_whose_log_is_a_socket_that_nobody_reads_serves(programs, tmp_path, name):
    reader, writer = socket.socketpair()
    writer.setblocking(False)
    with contextlib.suppress(BlockingIOError):
        while True:
            writer.send(b"x" * 4096)
    writer.setblocking(True)
    program = one(programs, tmp_path, name)
    program.start(log=writer.fileno())
    writer.close()
    wait_until_it_answers(program)
    terminate(program)
    reader.close()


def test_lines_are_in_the_log_once_their_reader_takes_them_again(programs, tmp_path):
    read_end, write_end = full_pipe()
    program = one(programs, tmp_path, "registry")
    program.start(log=write_end)
    os.close(write_end)
    wait_until_it_answers(program)
    os.set_blocking(read_end, False)
    with contextlib.suppress(BlockingIOError):
        while os.read(read_end, 65536):
            pass
    terminate(program)
    assert b"106 " in os.read(read_end, 65536)
    os.close(read_end)


def test_sigterm_before_anything_serves_is_not_held_up_by_the_log(programs, tmp_path):
    read_end, write_end = full_pipe()
    program = one(programs, tmp_path, "proxy")
    program.start(log=write_end)
    os.close(write_end)
    status = f"/proc/{program.process.pid}/status"
    while not any(
        line.startswith("SigCgt") and int(line.split()[1], 16) & 1 << (signal.SIGTERM - 1)
        for line in open(status)  # noqa: PTH123, SIM115
    ):
        time.sleep(0.001)
    terminate(program)
    os.close(read_end)

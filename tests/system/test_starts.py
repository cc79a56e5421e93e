"""Processes that start or end while signals come, and the systems that they found."""

import asyncio
import contextlib
import json
import shutil
import signal
import socket
import subprocess
import sys
import threading
import time

import pytest

from standins.caller import Caller
from tests.system.programs import PORT, Program, addresses, one
from thistleusher.common import threads

PROGRAMS = ("control", "registry", "proxy")


def wait_until_handled(program):
    """Wait until the process has installed its handlers."""
    status = f"/proc/{program.process.pid}/status"
    caught, bit = 0, 1 << (signal.SIGTERM - 1)
    end = time.monotonic() + 20
    while not caught & bit:
        assert time.monotonic() < end and program.process.poll() is None
        with open(status) as file:  # noqa: PTH123
            caught = next(int(line.split()[1], 16) for line in file if line.startswith("SigCgt"))


@pytest.mark.parametrize("name", PROGRAMS)
def test_signals_are_handled_before_anything_slow_is_loaded(name):
    source = (
        f"import sys; sys.argv = ['thistleusher', '{name}']; import signal; import thistleusher.system\n"
        "handled = signal.getsignal(signal.SIGTERM) is not signal.SIG_DFL\n"
        "slow = {'asyncio', 'uvloop', 'absl', 'msgspec', 'lmdb', 'pathlib', 'typing'} & sys.modules.keys()\n"
        "assert handled and not slow, (handled, slow)\n"
    )
    found = subprocess.run([sys.executable, "-S", "-c", source], capture_output=True, text=True)
    assert found.returncode == 0, found.stderr


@pytest.mark.parametrize("name", PROGRAMS)
@pytest.mark.parametrize("delay_s", [0.0, 0.05, 0.1, 0.15, 0.2, 0.3])
def test_a_process_that_is_terminated_while_it_starts_ends_in_order(programs, tmp_path, name, delay_s):
    program = one(programs, tmp_path, name)
    program.start()
    wait_until_handled(program)
    time.sleep(delay_s)
    program.process.send_signal(signal.SIGTERM)
    assert program.wait() == 0
    assert "102 " in program.log()


@pytest.mark.parametrize("name", PROGRAMS)
def test_a_process_that_is_told_to_reload_while_it_starts_goes_on(programs, tmp_path, name):
    program = one(programs, tmp_path, name)
    program.start()
    wait_until_handled(program)
    for _ in range(60):
        program.process.send_signal(signal.SIGHUP)
        time.sleep(0.01)
    program.wait_for_log("100 ")
    program.process.send_signal(signal.SIGTERM)
    assert program.wait() == 0


@pytest.mark.parametrize("name", PROGRAMS)
@pytest.mark.parametrize("number", [signal.SIGHUP, signal.SIGTERM])
def test_signals_in_the_last_moments_of_a_shutdown_do_not_end_the_process(programs, tmp_path, name, number):
    program = one(programs, tmp_path, name)
    program.start()
    program.wait_for_log("100 ")
    program.process.send_signal(signal.SIGTERM)
    with contextlib.suppress(ProcessLookupError):
        while program.process.poll() is None:
            program.process.send_signal(number)
            time.sleep(0.0005)
    assert program.wait() == 0


@pytest.mark.parametrize("name", PROGRAMS)
def test_a_process_waits_for_a_port_that_is_still_held(programs, tmp_path, name):
    program = one(programs, tmp_path, name)
    offset = {"control": 0, "registry": 1, "proxy": 2}[name]
    with socket.socket() as holder:
        holder.bind((program.ip, PORT + 4 + offset))
        holder.listen()
        program.start()
        program.wait_for_log("105 ")
    program.wait_for_log("100 ")


def core(programs, folder):
    """Return three control programs that are each other's seeds."""
    ips = addresses(3)
    programs += [Program(folder / ip, "control", ip, ips) for ip in ips]
    return programs[-3:]


def acknowledged_within(controls, seconds):
    """Send a configuration to one machine after another; return whether it was acknowledged in time."""
    document = json.dumps({"version": 1, "services": [], "routes": [], "tenants": []}).encode()

    async def send():
        caller = Caller()
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            for control in controls:
                with contextlib.suppress(OSError, EOFError, TimeoutError, ValueError):
                    answer = await caller.call(f"{control.ip}:{PORT}", "POST", "/Config.Replace", {}, document)
                    if answer.status in (200, 400):  # only a leader rejects a document for good
                        return True
            await asyncio.sleep(0.1)
        return False

    return asyncio.run(send())


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("number", [signal.SIGKILL, signal.SIGTERM])
@pytest.mark.parametrize("after_s", [0.3, 1.0])
def test_a_control_process_that_is_started_again_while_the_system_is_founded_does_not_stop_it(
    programs, tmp_path, seed, number, after_s
):
    controls = core(programs, tmp_path)
    for control in controls:
        control.start()
    time.sleep(after_s)
    controls[seed].process.send_signal(number)
    controls[seed].wait()
    time.sleep(0.3)
    controls[seed].start(bootstrap=False)
    assert acknowledged_within(controls, 8.0), [control.log() for control in controls]


def test_a_core_whose_processes_are_all_killed_while_it_is_founded_starts(programs, tmp_path):
    controls = core(programs, tmp_path)
    for control in controls:
        control.start()
    time.sleep(0.6)
    for control in controls:
        control.end()
    for control in controls:
        control.start(bootstrap=False)
    assert acknowledged_within(controls, 8.0), [control.log() for control in controls]


THREADS_WHEN_LOADED = """
import importlib, os, sys, threading, time
sys.argv = ["thistleusher", "control"]
from thistleusher.common import launcher

real, sync = importlib.import_module, os.fsync


def slow_sync(descriptor):
    time.sleep(0.5)
    sync(descriptor)


os.fsync = slow_sync

def import_module(name):
    print("threads", threading.active_count(), len(os.listdir("/proc/self/task")), file=sys.__stdout__, flush=True)
    return real(name)

importlib.import_module = import_module
launcher.start("control")
"""


def test_a_control_process_has_no_second_thread_while_it_loads(programs, tmp_path):
    """A crash in native code (code 132) was seen with the store's opener beside the loading of modules."""
    program = one(programs, tmp_path, "control")
    program.start()
    program.wait_for_log("100 ")
    program.end()
    shutil.rmtree(program.data)  # a first start, which makes the store
    settings = {"THISTLEUSHER_NODE_FILE": str(tmp_path / "boot.conf")}
    child = subprocess.Popen(
        [sys.executable, "-c", THREADS_WHEN_LOADED], stdout=subprocess.PIPE, stderr=subprocess.DEVNULL, env=settings
    )
    try:
        assert child.stdout.readline() == b"threads 1 1\n"
    finally:
        child.kill()
        child.wait()


def test_a_control_process_whose_disk_refuses_at_the_start_goes_on_trying_and_ends_on_sigterm(programs, tmp_path):
    program = one(programs, tmp_path, "control")
    program.data.write_bytes(b"")  # a file where the folder is to be
    program.start()
    program.wait_for_log("220 ")
    program.data.unlink()
    program.wait_for_log("100 ")
    program.process.send_signal(signal.SIGTERM)
    assert program.wait() == 0
    program.data.rename(tmp_path / "away")
    program.data.write_bytes(b"")
    program.start(bootstrap=False)
    time.sleep(0.5)
    program.process.send_signal(signal.SIGTERM)
    assert program.wait() == 0


def test_a_thread_that_the_system_refuses_is_started_later(monkeypatch, caplog):
    refusals = [RuntimeError("can't start new thread")] * 2
    real = threading.Thread.start

    def start(thread):
        if refusals:
            raise refusals.pop()
        real(thread)

    monkeypatch.setattr(threading.Thread, "start", start)
    monkeypatch.setattr(threads, "RETRY_DELAY_S", 0.0)
    ran = threading.Event()
    threads.start_patiently(threading.Thread(target=ran.set, name="storage"))
    assert ran.wait(5) and not refusals

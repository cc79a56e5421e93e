"""FAULT: whatever a crowd of clients sends, each process lives, within its memory and descriptors, and serves others.

Crowds and bounds are fixed. The bounds are those of the machine: `mem_mb` and `fd_limit` of the settings. Each case
starts its own processes, and plays alone.
"""

import asyncio
import contextlib
from collections import Counter

import pytest

from tests.crowds.crowd import (
    START,
    Crowd,
    Member,
    body_short_of_its_end,
    chunks_short_of_their_end,
    play_beside,
    short_fields,
    tiny_fields,
)
from tests.crowds.deployment import (
    ANSWER_TIMEOUT_S,
    CONTROL,
    DESCRIPTORS,
    DIRECTORY,
    FRONT,
    LINKS,
    MAX_HEADER_BYTES,
    READY,
    RESERVED_DESCRIPTORS,
    Deployment,
    open_descriptors,
    peak_kb,
)
from tests.net.program import FEW
from tests.net.program import Program as ServiceProgram
from tests.net.sockets import HOST, Client, Peer, call, entry, ok

KIB = 1024
MIB = 1024 * KIB
SAMPLE_S = 0.02
LARGE_UPLOAD = bytes(MIB)

SHORT_FIELDS = START + short_fields(5_000)  # 50,000 bytes
TINY_FIELDS = START + tiny_fields(12_000)  # 48,000 bytes on the wire
LONG_VALUE = START + b"X-Long: " + b"v" * (MAX_HEADER_BYTES + KIB)
OVER_THE_LIMIT = START + short_fields(9_000)  # 90,000 bytes
SMALL_HEAD = START + tiny_fields(800)  # some 3,400 bytes
HEAD_END = b"Content-Length: 0\r\n\r\n"
CALL = b"POST /Config.Replace HTTP/1.1\r\nHost: control\r\n"
FRAME = (60 * MIB).to_bytes(4, "big") + bytes(4000)

REFUSED = [Member(OVER_THE_LIMIT)]
REFUSED_AND_SENDING = [Member(OVER_THE_LIMIT, sends_on=True)]
HELD = [Member(SHORT_FIELDS)]
BODY = [Member(body_short_of_its_end(4 * MIB))]

# What plays at the proxy's port for clients.
AT_THE_PROXY = {
    "heads over the limit, and wait after the refusal": REFUSED * 300,
    "heads over the limit, and send on after the refusal": REFUSED_AND_SENDING * 300,
    "heads whose value is over the limit, and wait": [Member(LONG_VALUE)] * 450,
    "heads of short lines, held": HELD * 130,
    "heads of the shortest lines, held": [Member(TINY_FIELDS)] * 130,
    "small heads of the shortest lines, held": [Member(SMALL_HEAD)] * 450,
    "whole requests of short lines": [Member(SHORT_FIELDS + HEAD_END)] * 130,
    "whole requests of short lines, many on a connection, not read": [
        Member(b"", repeat=(START + short_fields(100) + HEAD_END) * 20, reads=False)
    ]
    * 60,
    "bodies short of their end, and refused heads": BODY * 10 + REFUSED * 300,
    "bodies short of their end": BODY * 60,
    "bodies of 60 KiB short of their end, and refused heads": [Member(body_short_of_its_end(60 * KIB))] * 200
    + REFUSED * 200,
    "large bodies that come slowly": [Member(START + b"Content-Length: %d\r\n\r\n" % (4 * MIB) + b"b", sends_on=True)]
    * 60,
    "chunks short of their end": [Member(chunks_short_of_their_end(4 * MIB, KIB))] * 60,
    "bodies in chunks of one byte": [Member(chunks_short_of_their_end(0, 1), repeat=b"1\r\nc\r\n" * 4096)] * 60,
    "empty lines": [Member(b"", repeat=b"\r\n" * 4096)] * 60,
    "connections that send nothing": [Member(b"")] * 450,
    "requests that end in the first line": [Member(b"GET /read/1 HT")] * 450,
}

# What plays at the other ports: the program, its port, and the crowd.
ELSEWHERE = {
    "control: heads over the limit, and wait": ("control", CONTROL, [Member(CALL + short_fields(2_000))] * 450),
    "control: heads held": ("control", CONTROL, [Member(CALL + short_fields(1_500))] * 380),
    "control: bodies short of their end": (
        "control",
        CONTROL,
        [Member(CALL + b"Content-Length: %d\r\n\r\n" % (20 * MIB) + bytes(20 * MIB - 1))] * 30,
    ),
    "control: connections that send nothing": ("control", CONTROL, [Member(b"")] * 450),
    "readiness: heads held": ("proxy", READY, [Member(CALL + short_fields(1_500))] * 380),
    "readiness: connections that send nothing": ("proxy", READY, [Member(b"")] * 450),
    "directory: heads over the limit, and wait": ("proxy", DIRECTORY, [Member(CALL + short_fields(2_000))] * 450),
    "links of control: frames announced": ("control", LINKS["control"], [Member(FRAME)] * 450),
    "links of the registry: frames announced": ("registry", LINKS["registry"], [Member(FRAME)] * 450),
    "links of the proxy: frames announced": ("proxy", LINKS["proxy"], [Member(FRAME)] * 450),
}


def play(folder, program, port, members, ordinary):
    """Play a crowd; return what the processes did that they may not, and the answers to the ordinary caller."""

    async def main():
        async with Deployment(folder) as deployment:
            answers = Counter()

            async def call():
                answers[await ordinary(deployment)] += 1

            pid = deployment.programs[program].process.pid
            most = await most_descriptors(pid, Crowd(deployment.ip, port, members), call)
            faults = deployment.faults()
            print(f"{program} had {most} descriptors; answers to the ordinary caller: {dict(answers)}")
            if most > DESCRIPTORS - RESERVED_DESCRIPTORS:
                faults.append(f"{program} had {most} descriptors of {DESCRIPTORS - RESERVED_DESCRIPTORS}")
            afterwards = await deployment.ask(), await deployment.read_configuration()
            if afterwards != (200, 200):
                faults.append(f"ordinary calls afterwards: {afterwards}")
            return faults, answers

    return asyncio.run(main())


async def most_descriptors(pid, crowd, ordinary):
    """Play a crowd beside an ordinary caller; return the most descriptors that a process had meanwhile."""
    sampling = asyncio.create_task(sample(pid))
    await play_beside(crowd, ordinary)
    print(f"connections of the crowd: {crowd.connections}, answers: {crowd.answers}")
    sampling.cancel()
    return (await asyncio.gather(sampling))[0]


async def sample(pid):
    """Return the most descriptors that a process had, when cancelled."""
    most = 0
    try:
        while True:
            most = max(most, open_descriptors(pid))
            await asyncio.sleep(SAMPLE_S)
    except (asyncio.CancelledError, OSError):
        return most


@pytest.mark.parametrize("crowd", AT_THE_PROXY)
def test_a_crowd_at_the_proxy(tmp_path, crowd):
    faults, answers = play(tmp_path, "proxy", FRONT, AT_THE_PROXY[crowd], Deployment.ask)
    assert not faults
    assert answers[200]


@pytest.mark.parametrize("crowd", ELSEWHERE)
def test_a_crowd_at_another_port(tmp_path, crowd):
    program, port, members = ELSEWHERE[crowd]
    faults, answers = play(tmp_path, program, port, members, Deployment.ask)
    assert not faults
    assert answers[200]


@pytest.mark.parametrize(
    "crowd", ["bodies short of their end", "large bodies that come slowly", "chunks short of their end"]
)
def test_an_ordinary_upload_is_served_beside_large_bodies_that_do_not_end(tmp_path, crowd):
    def upload(deployment):
        return deployment.ask("/pay/1", LARGE_UPLOAD)

    faults, answers = play(tmp_path, "proxy", FRONT, AT_THE_PROXY[crowd], upload)
    assert not faults
    assert answers[200]


SERVICE_MEMORY_MB = 64
SERVICE_SOCKETS = 480
SERVICE_START = call(cls="pay", body=b"").replace(b"Content-Length: 0\r\n\r\n", b"")
SERVICE_BODY = SERVICE_START + b"Content-Length: 60000\r\n\r\n" + bytes(59_999)

# What plays at the program in service.
AT_THE_SERVICE = {
    "heads over the limit, and wait": [Member(SERVICE_START + short_fields(2_000))] * 450,
    "heads held": [Member(SERVICE_START + short_fields(1_500))] * 200,
    "bodies short of their end": [Member(SERVICE_BODY)] * 450,
    "large heads and bodies short of their end": [
        Member(SERVICE_BODY.replace(b"Content-Length", short_fields(1_000) + b"Content-Length"))
    ]
    * 200,
    "connections that send nothing": [Member(b"")] * 600,
}


def ordinary_call(number):
    """Return a request of a customer of its own, who is within the quota."""
    return call(f"ordinary-{number}", path=f"/api/{number:016x}", X_Call_Terms=FEW)


@pytest.mark.parametrize("crowd", AT_THE_SERVICE)
def test_a_crowd_at_the_program_in_service(tmp_path, crowd):
    async def main():
        backend = await Peer.start(ok())
        listed = {"index": 1, "snapshot": True, "endpoints": [entry("b0", backend.port)]}
        limits = {"cores": 1.0, "memory_mb": SERVICE_MEMORY_MB, "sockets": SERVICE_SOCKETS}
        service = ServiceProgram(tmp_path, known=listed, limits=limits)
        (await service.start()).writer.close()
        pid, statuses = service.process.pid, Counter()

        async def ordinary():
            with contextlib.suppress(OSError, EOFError, TimeoutError):
                async with asyncio.timeout(ANSWER_TIMEOUT_S):
                    client = await Client.connect(service.port)
                    try:
                        status = (await client.ask(ordinary_call(statuses.total())))[0]
                    finally:
                        client.writer.close()
                statuses[status] += 1
                return status

        try:
            most = await most_descriptors(pid, Crowd(HOST, service.port, AT_THE_SERVICE[crowd]), ordinary)
            print(f"took {peak_kb(pid) / 1024:.0f} MB, {most} descriptors; {statuses}")
            assert service.process.returncode is None
            assert peak_kb(pid) <= SERVICE_MEMORY_MB * KIB
            assert most <= SERVICE_SOCKETS
            assert statuses[200] and await ordinary() == 200
        finally:
            service.process.kill()
            await service.process.wait()

    asyncio.run(main())


LINES = {
    "the shortest lines": b"a:\r\n",
    "short lines": b"1f:\r\n",
    "lines with a value": b"03f:41\r\n",
    "names of all characters of a token": b"!#$%&'*+-.^_`|~09azAZ: v\r\n",
    "a long name": b"n" * 15_000 + b": v\r\n",
    "cookies": b"Cookie: a=b\r\n",
    "blanks around values": b"b:        v        \r\n",
}


@pytest.mark.parametrize("max_header_bytes", [16 * KIB, 64 * KIB])
def test_a_single_request_within_the_limits_is_served_in_calm(tmp_path, max_header_bytes):
    async def main():
        async with Deployment(tmp_path, max_header_bytes) as deployment:
            return {name: await ask_with(deployment, line) for name, line in LINES.items()}

    assert asyncio.run(main()) == dict.fromkeys(LINES, b"200")


async def ask_with(deployment, line):
    """Return the status of a request whose head has as many bytes as the limit, of such lines where they fit."""
    deployment.requests += 1
    start = START.replace(b"crowd", b"calm-%d" % deployment.requests) + HEAD_END[:-2]
    room = deployment.max_header_bytes - len(start) - len(b"X-Rest: \r\n\r\n")
    lines = line * (room // len(line))
    head = start + lines + b"X-Rest: " + b"r" * (room - len(lines)) + b"\r\n\r\n"
    assert len(head) == deployment.max_header_bytes
    reader, writer = await asyncio.open_connection(deployment.ip, FRONT)
    try:
        writer.write(head)
        async with asyncio.timeout(10):
            return (await reader.readline())[9:12]
    finally:
        writer.close()

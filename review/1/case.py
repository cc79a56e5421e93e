"""After one lost answer, a proxy hands a long payment that a backend has run and answered early to further backends.

The backends answer long requests before they have read them whole, with and without the disruption.
"""

from __future__ import annotations

import asyncio
import contextlib
import sys
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from harness import (
    HOST,
    NO_ANSWER,
    Backend,
    CannotRunError,
    Cluster,
    Operator,
    Platform,
    Record,
    answer,
    configuration,
    http_call,
    main,
    read_answer,
    request_head,
    wait_until_ready,
)

CALM_S = 6.0  # contact_ms is 5,000
LONG_BYTES = 1024 * 1024  # max_body_bytes is 67,108,864
PAYMENTS = 40
READS = 12
PAUSE_S = 0.25
PROMISES = (408, 421, 429, 503)


class EarlyBackend(Backend):
    """Begins a request as soon as its head is there, and answers before it has read the body.

    It runs the request `lost_attempt`, and resets the connection in place of the answer.
    """

    lost_attempt = ""

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                line, *rest = head[:-4].split("\r\n")
                headers = {k.lower(): v.strip() for k, _, v in (each.partition(":") for each in rest)}
                length = int(headers.get("content-length", "0"))
                reply = self.run(line, headers)
                if self.lost_attempt and headers.get("x-attempt-id") == self.lost_attempt:
                    self.record.write(f"{self.name} resets its connection instead of answering {self.lost_attempt}")
                    EarlyBackend.lost_attempt = ""
                    writer.transport.abort()
                    return
                writer.write(reply)
                await writer.drain()
                await self.read_body(reader, length)
        writer.close()

    @staticmethod
    async def read_body(reader: asyncio.StreamReader, length: int) -> None:
        """Read a body whole."""
        while length > 0:
            data = await reader.read(min(length, 1 << 20))
            if not data:
                raise ConnectionError
            length -= len(data)

    def run(self, line: str, headers: dict[str, str]) -> bytes:
        """Run a request and return its answer."""
        attempt = headers.get("x-attempt-id", "")
        if headers.get("x-expect-instance", self.name) != self.name:
            return answer(421, {"X-Attempt-Id": attempt, "X-Not-Run": "1"})
        self.began[attempt] = self.began.get(attempt, 0) + 1
        self.record.note(f"{self.name} runs {attempt}: {line}")
        return answer(200, {"X-Attempt-Id": attempt, "X-Server-Seal": f"{self.name}.{attempt}"}, b"done")


async def pay(address: str, attempt: str, size: int) -> int:
    """Send one payment on a new connection; return the status of the answer, 0 for none."""
    host, _, port = address.rpartition(":")
    with contextlib.suppress(*NO_ANSWER):
        async with asyncio.timeout(5.0):
            reader, writer = await asyncio.open_connection(host, int(port))
            try:
                writer.write(request_head("POST", "/pay/1", attempt, size) + b"p" * size)
                return (await read_answer(reader))[0]
            finally:
                writer.close()
    return 0


async def case(cluster: Cluster, record: Record, trouble: bool) -> bool:
    """Run the case; return whether the rule was broken."""
    backends = [EarlyBackend(f"i-{n}", f"z-{n % 3 + 1}", record, 0.0) for n in range(6)]
    for backend in backends:
        await backend.start()
    cluster.platform_address = await Platform(backends).start()
    for process in cluster.processes:
        process.start()
    if (await Operator(cluster, record).order("POST", "/Config.Replace", configuration(1), within_s=20.0))[0] != 200:
        raise CannotRunError("the configuration is not acknowledged")
    await wait_until_ready(cluster, cluster.fronts)
    await asyncio.sleep(CALM_S)
    address = f"{cluster.fronts[0].ip}:{cluster.port + 2}"
    if trouble:
        EarlyBackend.lost_attempt = "read-3"
    for number in range(READS):
        headers = {"Host": HOST, "X-Attempt-Id": f"read-{number}", "Authorization": "Token key-large"}
        status, _, _ = await http_call(address, "GET", "/read/1", headers, b"", 4.0)
        record.note(f"client sent read-{number}: {status}")
        if status != 200:
            raise CannotRunError(f"a read is answered {status}")
        await asyncio.sleep(PAUSE_S)
    answers: dict[str, int] = {}
    for number in range(PAYMENTS):
        attempt = f"pay-{number}"
        answers[attempt] = await pay(address, attempt, LONG_BYTES)
        record.note(f"client sent {attempt} ({LONG_BYTES} bytes): {answers[attempt]}")
        await asyncio.sleep(PAUSE_S)
    await asyncio.sleep(1.0)
    runs: Counter[str] = Counter()
    for backend in backends:
        runs.update(backend.began)
    twice = {attempt: runs[attempt] for attempt in answers if runs[attempt] > 1}
    refused = [attempt for attempt, status in answers.items() if status in PROMISES and runs[attempt]]
    record.write(f"payments: {len(answers)}, answers by status {dict(Counter(answers.values()))}")
    record.write(f"run more than once: {len(twice)}; runs of each: {twice}")
    record.write(f"answered with a promise that they have not run, and run: {len(refused)}: {refused[:10]}")
    return bool(twice)


if __name__ == "__main__":
    main(str(Path(__file__).resolve().parent), case)

"""Discovery: serves the list of match servers, complete or as a stream of changes."""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Callable
from typing import Any

from standins.http import Connection, Message, Service, answer
from standins.records import Records, Told

KEEP_ALIVE_INTERVAL_S = 2.0


def encode_chunk(text: bytes) -> bytes:
    """Encode one chunk of a streamed answer."""
    return b"%x\r\n%s\r\n" % (len(text), text)


class Discovery(Service):
    """The service. `put` changes the list and wakes the watches, unless the service is silenced."""

    def __init__(self, records: Records | None = None, clock: Callable[[], float] = time.time) -> None:
        super().__init__()
        self.records, self.clock = records or Records(), clock
        self.index = 0
        self.entries: dict[str, dict[str, Any]] = {}
        self.changes: list[tuple[int, dict[str, Any]]] = []
        self.watches: dict[Connection, int] = {}
        self.silent = False
        self.wake = asyncio.Event()

    def put(
        self, name: str, address: str, status: str = "SERVING", zone: str = "z0", cell: int = 0, started_at: float = 0.0
    ) -> None:
        """Set a server's entry; status DELETED removes it from the list."""
        entry = {
            "name": name,
            "address": address,
            "zone": zone,
            "type": "std",
            "group": cell,
            "status": status,
            "weight": 1.0,
            "since_ms": round(started_at * 1000),
        }
        self.index += 1
        self.changes.append((self.index, entry))
        if status == "DELETED":
            self.entries.pop(name, None)
        else:
            self.entries[name] = entry
        self.wake.set()
        self.wake = asyncio.Event()

    def listing(self) -> dict[str, Any]:
        """Return the complete list in the format of the protocol."""
        return {"index": self.index, "snapshot": True, "endpoints": list(self.entries.values())}

    def silence(self, on: bool) -> None:
        """Stop answering, or answer again."""
        self.silent = on
        if not on:
            self.wake.set()
            self.wake = asyncio.Event()

    async def handle(self, message: Message, connection: Connection) -> bytes | None:
        """Answer with the list, or stream its changes."""
        path, _, query = message.target.partition("?")
        if path != "/v1/servers":
            return answer(404)
        while self.silent:
            await self.wake.wait()
        if "stream=1" not in query:
            self.notify(self.listing()["endpoints"])
            return answer(200, json.dumps(self.listing()).encode())
        index = int(dict(p.partition("=")[::2] for p in query.split("&")).get("index", "0"))
        connection.writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        await self.watch(connection, index)
        return None

    async def watch(self, connection: Connection, index: int) -> None:
        """Send the changes after `index`, one JSON object per line, until the connection ends."""
        while not connection.has_ended():
            wake = self.wake
            if not self.silent and index < self.index:
                entries = [e for n, e in self.changes if n > index]
                index = self.index
                text = json.dumps({"index": index, "snapshot": False, "endpoints": entries}) + "\n"
                connection.writer.write(encode_chunk(text.encode()))
                self.notify(entries)
            try:
                await asyncio.wait_for(wake.wait(), KEEP_ALIVE_INTERVAL_S)
            except TimeoutError:
                if not self.silent:
                    connection.writer.write(encode_chunk(b"\n"))

    def notify(self, entries: list[dict[str, Any]]) -> None:
        """Record the entries that have been sent to an ingress."""
        for entry in entries:
            self.records.add(Told(self.clock(), entry["name"], entry["status"]))

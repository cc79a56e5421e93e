"""An HTTP client that opens a new connection for each request."""

from __future__ import annotations

import asyncio

from standins.http import Message, read_message
from standins.system_topology import FRONT, HOST

ANSWER_TIMEOUT_S = 4.0


class Caller:
    """Sends requests; `requests_sent` counts those to proxies and numbers their attempt ids."""

    def __init__(self) -> None:
        self.requests_sent = 0

    async def call(
        self, address: str, method: str, target: str, headers: dict[str, str] | None = None, body: bytes = b""
    ) -> Message:
        """Return the complete answer. Raises OSError, TimeoutError or EOFError if there is none."""
        async with asyncio.timeout(ANSWER_TIMEOUT_S):
            host, _, port = address.rpartition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            try:
                lines = "".join(f"{k}: {v}\r\n" for k, v in {"Host": HOST, **(headers or {})}.items())
                head = f"{method} {target} HTTP/1.1\r\n{lines}Content-Length: {len(body)}\r\n\r\n"
                writer.write(head.encode() + body)
                return await read_message(reader)
            finally:
                writer.close()

    async def ask_proxy(self, ip: str, target: str = "/read/1", key: str = "key-large", method: str = "GET") -> Message:
        """Send one request to a proxy; return the answer."""
        self.requests_sent += 1
        return await self.call(
            f"{ip}:{FRONT}",
            method,
            target,
            {"X-Attempt-Id": f"a{self.requests_sent:08x}", "X-Deadline-Ms": "2500", "Authorization": f"Token {key}"},
        )

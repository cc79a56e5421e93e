"""The two clients over httpx, for asyncio and for programs without an event loop: same steps, different waiting."""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections.abc import Iterator, Mapping, Sequence
from types import TracebackType
from typing import Any, Self, cast

import httpx

from thistleusher.client.calls import Answered, Ended
from thistleusher.client.steps import CallSteps, Send, Sleep

DEFAULT_DEADLINE_S = 3.0


class Client(CallSteps):
    """The client for asyncio: `async with Client(...) as client`."""

    def __init__(
        self, servers: Sequence[str], host: str, *, transport: httpx.AsyncBaseTransport | None = None, **more: Any
    ) -> None:
        """`more`: the further arguments of `CallSteps`."""
        super().__init__(servers, host, **more)
        self.http = httpx.AsyncClient(transport=transport, trust_env=False)

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        await self.http.aclose()

    async def call(
        self,
        method: str,
        path: str,
        *,
        body: bytes = b"",
        headers: Mapping[str, str] | None = None,
        deadline_s: float = DEFAULT_DEADLINE_S,
        repeatable: bool = False,
    ) -> Ended:
        """Make one call and return its end within `deadline_s`.

        Raises UnknownEnd where it may have run and may not be repeated, ValueError for a deadline not above 0.
        """
        steps = self._steps(method, path, body, headers or {}, deadline_s, repeatable)
        result: Any = None
        while True:
            try:
                step = steps.send(result)
            except StopIteration as end:
                ended: Ended = end.value
                return ended
            if isinstance(step, Sleep):
                result = None
                await asyncio.sleep(step.for_s)
                continue
            try:
                async with asyncio.timeout(step.answer_timeout_s):
                    result = await self.http.send(step.with_timeouts())
            except (httpx.TransportError, TimeoutError) as error:
                result = error

    async def get(self, path: str, **more: Any) -> Ended:
        """Make a read, which may be repeated; `more`: the further arguments of `call`."""
        return await self.call("GET", path, repeatable=True, **more)


class TimedStream(httpx.SyncByteStream):
    """The body of an answer, until a time of the steady clock."""

    def __init__(self, stream: httpx.SyncByteStream | httpx.AsyncByteStream, ends_at: float) -> None:
        self.stream = cast(httpx.SyncByteStream, stream)  # of a client that is not asynchronous
        self.ends_at = ends_at

    def __iter__(self) -> Iterator[bytes]:
        for piece in self.stream:
            if time.monotonic() > self.ends_at:
                raise httpx.ReadTimeout("the answer did not come whole in time")
            yield piece

    def close(self) -> None:
        """Close the connection, unless the body was read whole."""
        self.stream.close()


class PlainClient(CallSteps):
    """The client for programs without an event loop: `with PlainClient(...) as client`."""

    def __init__(
        self, servers: Sequence[str], host: str, *, transport: httpx.BaseTransport | None = None, **more: Any
    ) -> None:
        """`more`: the further arguments of `CallSteps`."""
        super().__init__(servers, host, **more)
        self.http = httpx.Client(transport=transport, trust_env=False)

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        self.http.close()

    def call(
        self,
        method: str,
        path: str,
        *,
        body: bytes = b"",
        headers: Mapping[str, str] | None = None,
        deadline_s: float = DEFAULT_DEADLINE_S,
        repeatable: bool = False,
    ) -> Ended:
        """Make one call as `Client.call`; one read of the answer may outlast its time, by as much as was left."""
        steps = self._steps(method, path, body, headers or {}, deadline_s, repeatable)
        result: Any = None
        while True:
            try:
                step = steps.send(result)
            except StopIteration as end:
                ended: Ended = end.value
                return ended
            if isinstance(step, Sleep):
                result = None
                time.sleep(step.for_s)
                continue
            try:
                result = self._send(step)
            except httpx.TransportError as error:
                result = error

    def _send(self, step: Send) -> httpx.Response:
        """Send a request and return its answer, read whole.

        httpx limits each read alone, so an answer that trickles in would be waited for without end. Raises ReadTimeout
        once its time is up; the connection is closed then, so that the service works no longer for a caller that has
        gone on.
        """
        ends_at = time.monotonic() + step.answer_timeout_s
        response = self.http.send(step.with_timeouts(), stream=True)
        with contextlib.closing(response):
            response.stream = TimedStream(response.stream, ends_at)
            response.read()
        return response

    def get(self, path: str, **more: Any) -> Ended:
        """Make a read, which may be repeated; `more`: the further arguments of `call`."""
        return self.call("GET", path, repeatable=True, **more)


def served(ended: Ended) -> bool:
    """Return whether a call ended with a success."""
    return isinstance(ended, Answered) and 200 <= ended.status < 300

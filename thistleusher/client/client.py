"""The two clients over httpx: for asyncio, and for programs without an event loop. Both run `CallSteps`."""

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
        """`more`: further keyword arguments of `CallSteps`."""
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
        """Make one call and return its result within `deadline_s`.

        Raises UnknownEnd if a call that is not repeatable may have run, ValueError if the deadline is not above 0.
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
        """Make a repeatable GET call; `more`: further keyword arguments of `call`."""
        return await self.call("GET", path, repeatable=True, **more)


class TimedStream(httpx.SyncByteStream):
    """The body of an answer, which must be read by `ends_at` on the monotonic clock."""

    def __init__(self, stream: httpx.SyncByteStream | httpx.AsyncByteStream, ends_at: float) -> None:
        self.stream = cast(httpx.SyncByteStream, stream)  # a synchronous client only has synchronous streams
        self.ends_at = ends_at

    def __iter__(self) -> Iterator[bytes]:
        for piece in self.stream:
            if time.monotonic() > self.ends_at:
                raise httpx.ReadTimeout("answer not complete within the time-out")
            yield piece

    def close(self) -> None:
        """Close the connection unless the body has been read completely."""
        self.stream.close()


class PlainClient(CallSteps):
    """The client for programs without an event loop: `with PlainClient(...) as client`."""

    def __init__(
        self, servers: Sequence[str], host: str, *, transport: httpx.BaseTransport | None = None, **more: Any
    ) -> None:
        """`more`: further keyword arguments of `CallSteps`."""
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
        """Make one call like `Client.call`; its last read may exceed the deadline by up to the attempt's time-out."""
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
        """Send a request and return its complete answer.

        httpx only limits the time of each single read, so an answer that arrives in small pieces could take forever.
        Raises ReadTimeout after the attempt's time-out and closes the connection, so that the service can stop working
        on a request whose caller no longer waits.
        """
        ends_at = time.monotonic() + step.answer_timeout_s
        response = self.http.send(step.with_timeouts(), stream=True)
        with contextlib.closing(response):
            response.stream = TimedStream(response.stream, ends_at)
            response.read()
        return response

    def get(self, path: str, **more: Any) -> Ended:
        """Make a repeatable GET call; `more`: further keyword arguments of `call`."""
        return self.call("GET", path, repeatable=True, **more)


def served(ended: Ended) -> bool:
    """Return whether a call was answered with a 2xx status."""
    return isinstance(ended, Answered) and 200 <= ended.status < 300

"""The two clients over httpx: for asyncio, and for programs without an event loop. Both run `CallSteps`."""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections.abc import AsyncIterator, Iterator, Mapping, Sequence
from types import TracebackType
from typing import Any, Self, cast

import httpx

from thistleusher.client.calls import Answered, Ended
from thistleusher.client.steps import CallSteps, Send, Sleep

DEFAULT_DEADLINE_S = 3.0
MAX_ANSWER_BYTES = 64 * 1024 * 1024  # of a body, decoded; the largest that a proxy passes on


class AnswerTooLargeError(httpx.TransportError):
    """An answer is longer than `MAX_ANSWER_BYTES`. Its request has been sent."""


class AnswerBody:
    """The body of an answer, collected piece by piece within the limit, which holds for its packed form too."""

    def __init__(self) -> None:
        self._pieces: list[bytes] = []
        self._size = 0
        self._received = 0

    def receive(self, data: bytes) -> bytes:
        """Count and return bytes as they were received. Raises AnswerTooLargeError if they exceed the limit."""
        self._received += len(data)
        _check_size(self._received)
        return data

    def add(self, piece: bytes) -> None:
        """Keep one more piece, decoded. Raises AnswerTooLargeError instead if the body exceeds the limit."""
        self._size += len(piece)
        _check_size(self._size)
        self._pieces.append(piece)

    def complete(self, response: httpx.Response) -> httpx.Response:
        """Return a response that has this body, as it is decoded, in place of its stream."""
        headers = [(name, value) for name, value in response.headers.raw if name.lower() != b"content-encoding"]
        return httpx.Response(response.status_code, headers=headers, content=b"".join(self._pieces))


def _check_size(size: int) -> None:
    if size > MAX_ANSWER_BYTES:
        raise AnswerTooLargeError(f"answer of more than {MAX_ANSWER_BYTES} bytes")


class CountedStream(httpx.AsyncByteStream):
    """The received bytes of an answer, which its body counts."""

    def __init__(self, stream: httpx.SyncByteStream | httpx.AsyncByteStream, body: AnswerBody) -> None:
        self.stream = cast(httpx.AsyncByteStream, stream)  # an asynchronous client only has asynchronous streams
        self.body = body

    async def __aiter__(self) -> AsyncIterator[bytes]:
        async for data in self.stream:
            yield self.body.receive(data)

    async def aclose(self) -> None:
        """Close the connection unless the answer has been read completely."""
        await self.stream.aclose()


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
                    result = await self._send(step)
            except (httpx.TransportError, TimeoutError) as error:
                result = error

    async def _send(self, step: Send) -> httpx.Response:
        """Send a request and return its complete answer. Raises AnswerTooLargeError, which closes the connection."""
        response = await self.http.send(step.with_timeouts(), stream=True)
        body = AnswerBody()
        response.stream = CountedStream(response.stream, body)
        async with contextlib.aclosing(response):
            async for piece in response.aiter_bytes():
                body.add(piece)
        return body.complete(response)

    async def get(self, path: str, **more: Any) -> Ended:
        """Make a repeatable GET call; `more`: further keyword arguments of `call`."""
        return await self.call("GET", path, repeatable=True, **more)


class TimedStream(httpx.SyncByteStream):
    """The received bytes of an answer, which its body counts, and which must be read by `ends_at` (monotonic clock)."""

    def __init__(self, stream: httpx.SyncByteStream | httpx.AsyncByteStream, ends_at: float, body: AnswerBody) -> None:
        self.body = body
        self.stream = cast(httpx.SyncByteStream, stream)  # a synchronous client only has synchronous streams
        self.ends_at = ends_at

    def __iter__(self) -> Iterator[bytes]:
        for piece in self.stream:
            if time.monotonic() > self.ends_at:
                raise httpx.ReadTimeout("answer not complete within the time-out")
            yield self.body.receive(piece)

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
        Raises ReadTimeout after the attempt's time-out, or AnswerTooLargeError, and closes the connection, so that the
        service can stop working on a request whose caller no longer waits.
        """
        ends_at = time.monotonic() + step.answer_timeout_s
        response = self.http.send(step.with_timeouts(), stream=True)
        body = AnswerBody()
        with contextlib.closing(response):
            response.stream = TimedStream(response.stream, ends_at, body)
            for piece in response.iter_bytes():
                body.add(piece)
        return body.complete(response)

    def get(self, path: str, **more: Any) -> Ended:
        """Make a repeatable GET call; `more`: further keyword arguments of `call`."""
        return self.call("GET", path, repeatable=True, **more)


def served(ended: Ended) -> bool:
    """Return whether a call was answered with a 2xx status."""
    return isinstance(ended, Answered) and 200 <= ended.status < 300

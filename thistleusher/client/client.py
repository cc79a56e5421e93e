"""The calls over httpx, for asyncio and for plain programs: one way of deciding, two of waiting.

What is decided is in `calls` and `directory`, as a generator that yields what is to be waited for; `Client` and
`PlainClient` wait. Connections are httpx's, kept by it for addresses that stay; a further try opens a new one.
"""

from __future__ import annotations

import asyncio
import random
import secrets
import time
from collections.abc import Callable, Generator, Mapping, Sequence
from types import TracebackType
from typing import Any, NamedTuple, Self

import httpx

from thistleusher.client.calls import Again, Answered, Budget, Call, Ended, How, Unknown, UnknownEnd
from thistleusher.client.directory import Directory

OPEN_S = 1.0  # for a connection to stand
RESOLVE_S = 1.0  # for a directory to answer
EDGE_S = 0.05  # beyond the call's time, in which the answer of the last moment may come


class Try(NamedTuple):
    """One try, as hooks are told of it: its id and address, how long it took, and its status or what went wrong."""

    id: str
    address: str
    took_s: float
    status: int
    error: str


class _Send(NamedTuple):
    """Wait for an answer: httpx's, or the error that came in its place."""

    request: httpx.Request
    open_s: float
    answer_s: float

    def timed(self) -> httpx.Request:
        """The request with its times, as httpx's clients take them."""
        self.request.extensions = {"timeout": httpx.Timeout(self.answer_s, connect=self.open_s).as_dict()}
        return self.request


class _Sleep(NamedTuple):
    for_s: float


Step = Generator[_Send | _Sleep, Any, Ended]
Hook = Callable[[Try], object]


class _Base:
    """What both forms share."""

    def __init__(
        self,
        servers: Sequence[str],
        host: str,
        *,
        region: str = "",
        zone: str = "",
        key: str = "",
        tries: int = 4,
        on_try: Hook | None = None,
        rng: random.Random | None = None,
    ) -> None:
        """`servers`: directories, `host:port`, near ones first; `host`: the service's; `key`: the tenant's, if any."""
        self.host, self.key, self.tries, self.on_try = host, key, tries, on_try
        self.rng = rng or random.Random()
        self.budget = Budget()
        self.directory = Directory(servers, host, region, zone, time.monotonic(), self.rng)

    def _resolve(self) -> Generator[_Send | _Sleep, Any, None]:
        """Ask the directory where its last answer has run out; who answers first is believed."""
        directory = self.directory
        if not directory.due(time.monotonic()):
            return
        for server in directory.order():
            got = yield _Send(
                httpx.Request("GET", f"http://{server}/resolve", params=directory.query), RESOLVE_S, RESOLVE_S
            )
            if (
                isinstance(got, httpx.Response)
                and got.status_code == 200
                and directory.answered(time.monotonic(), got.content)
            ):
                return
        directory.unanswered(time.monotonic())

    def _steps(
        self,
        method: str,
        path: str,
        body: bytes,
        headers: Mapping[str, str],
        deadline_s: float,
        repeatable: bool,
        ids: list[str],
    ) -> Step:
        """One call: what is waited for, and its end."""
        call = Call(time.monotonic(), deadline_s, repeatable, self.budget, self.tries)
        while True:
            yield from self._resolve()
            now = time.monotonic()
            address = self.directory.pick(now)
            call.begin()
            if call.left(now) <= 0 or address is None:
                step: Again | Ended = call.failed(now, How.UNSENT, "no address is known")
            else:
                ids.append(secrets.token_hex(8))
                sent = {
                    **headers,
                    "Host": self.host,
                    "X-Attempt-Id": ids[-1],
                    "X-Deadline-Ms": str(max(1, int(call.left(now) * 1000))),
                }
                if self.key:
                    sent["Authorization"] = f"Token {self.key}"
                if call.tries > 1:
                    sent["Connection"] = "close"
                request = httpx.Request(method, f"http://{address}{path}", headers=sent, content=body or None)
                got = yield _Send(request, min(OPEN_S, call.left(now)), call.left(now) + EDGE_S)
                step = self._judge(call, address, got, now, ids[-1])
            if not isinstance(step, Again):
                if isinstance(step, Unknown) and not repeatable:
                    raise UnknownEnd(step.why, tuple(ids))
                return step
            yield _Sleep(step.after_s)

    def _judge(self, call: Call, address: str, got: Any, began: float, name: str) -> Again | Ended:
        now = time.monotonic()
        told = got.status_code if isinstance(got, httpx.Response) else 0
        if self.on_try is not None:
            self.on_try(Try(name, address, now - began, told, "" if told else f"{type(got).__name__}: {got}"))
        if isinstance(got, httpx.Response):
            return call.answered(now, got.status_code, dict(got.headers), got.content)
        self.directory.shun(now, address)
        unsent = isinstance(got, httpx.ConnectError | httpx.ConnectTimeout | httpx.PoolTimeout)
        return call.failed(now, How.UNSENT if unsent else How.BROKEN, f"{type(got).__name__} at {address}")


class Client(_Base):
    """The client for asyncio; `async with Client(...) as client`."""

    def __init__(
        self, servers: Sequence[str], host: str, *, transport: httpx.AsyncBaseTransport | None = None, **more: Any
    ) -> None:
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
        deadline_s: float = 3.0,
        repeatable: bool = False,
    ) -> Ended:
        """One call, to its end within `deadline_s`. UnknownEnd where it may have run and may not be repeated."""
        steps = self._steps(method, path, body, headers or {}, deadline_s, repeatable, [])
        got: Any = None
        while True:
            try:
                wait = steps.send(got)
            except StopIteration as end:
                ended: Ended = end.value
                return ended
            if isinstance(wait, _Sleep):
                got = None
                await asyncio.sleep(wait.for_s)
                continue
            try:
                async with asyncio.timeout(wait.answer_s):
                    got = await self.http.send(wait.timed())
            except (httpx.TransportError, TimeoutError) as error:
                got = error

    async def get(self, path: str, **more: Any) -> Ended:
        """A read, which may be repeated."""
        return await self.call("GET", path, repeatable=True, **more)


class PlainClient(_Base):
    """The client for programs without an event loop; `with PlainClient(...) as client`."""

    def __init__(
        self, servers: Sequence[str], host: str, *, transport: httpx.BaseTransport | None = None, **more: Any
    ) -> None:
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
        deadline_s: float = 3.0,
        repeatable: bool = False,
    ) -> Ended:
        """As `Client.call`; each read of the answer has the time that was left at its start."""
        steps = self._steps(method, path, body, headers or {}, deadline_s, repeatable, [])
        got: Any = None
        while True:
            try:
                wait = steps.send(got)
            except StopIteration as end:
                ended: Ended = end.value
                return ended
            if isinstance(wait, _Sleep):
                got = None
                time.sleep(wait.for_s)
                continue
            try:
                got = self.http.send(wait.timed())
            except httpx.TransportError as error:
                got = error

    def get(self, path: str, **more: Any) -> Ended:
        """A read, which may be repeated."""
        return self.call("GET", path, repeatable=True, **more)


def served(ended: Ended) -> bool:
    """Whether a call ended with a success."""
    return isinstance(ended, Answered) and 200 <= ended.status < 300

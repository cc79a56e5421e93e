"""Pure ASGI middleware: every HTTP request is admitted, or answered 429, 503, 502 or 4xx, as the daemon does.

From the ASGI specification, version 3.0, HTTP and WebSocket message format 2.4. WebSocket and lifespan scopes
pass through untouched. Cost a request besides the decisions: two small wrappers, no task unless its time runs
out.
"""

from __future__ import annotations

import asyncio
import inspect
from collections.abc import Awaitable, Callable, MutableMapping
from typing import Any, Union

from thistleusher.core import events
from thistleusher.core.answers import STATUS, headers_of, problem_of, ratelimit_headers
from thistleusher.core.events import Outcome
from thistleusher.core.ports import Final, Verdict
from thistleusher.core.request import BadRequest, NoSuchPathError, RequestReader, customer_of
from thistleusher.embed.call import PASS, Call, Passed
from thistleusher.embed.ingress import Admission, EmbeddedIngress, NotServed

Scope = MutableMapping[str, Any]
Message = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[Message]]
Send = Callable[[Message], Awaitable[None]]
App = Callable[[Scope, Receive, Send], Awaitable[None]]
Mapped = Union[Call, events.Request, Passed]
Identify = Callable[[Scope], Union[Mapped, Awaitable[Mapped]]]

SCOPE_KEY = "thistleusher.admission"


def from_headers(ingress: EmbeddedIngress) -> Identify:
    """Read what the daemon reads: the member in the path, class, plan, units and budget in `X-` headers."""

    reader = RequestReader(ingress.settings)

    def identify(scope: Scope) -> Mapped:
        path = scope.get("raw_path") or scope["path"].encode("latin-1", "replace")
        customer = customer_of(path.partition(b"?")[0])
        return reader.read(customer, scope["method"].encode("ascii"), scope["headers"])

    return identify


class QuotaMiddleware:
    """Holds an ASGI application's callers to their quotas.

    `identify(scope)` gives a `Call`, or `PASS` for what no quota applies to; it may be a coroutine function, and
    raises BadRequest for what cannot be mapped. By default headers are read as the daemon reads them.
    `ratelimit_fields` adds `RateLimit` and `RateLimit-Policy` to answers, `problem_details` a body that tells the
    reason to refusals and failures (RFC 9457). `Retry-After` holds whole seconds, rounded up, and `Retry-After-Ms` the
    exact time; `decimal_retry_after` puts that into `Retry-After`, for clients known to read it. The application
    finds its `Admission` at `scope["thistleusher.admission"]`, to `settle`
    true units; the answer's `X-Cost-Units` header does the same.
    """

    def __init__(
        self,
        app: App,
        ingress: EmbeddedIngress,
        identify: Identify | None = None,
        ratelimit_fields: bool = False,
        problem_details: bool = False,
        decimal_retry_after: bool = False,
    ) -> None:
        self.app, self.ingress = app, ingress
        self.identify = identify or from_headers(ingress)
        self.ratelimit_fields, self.problem_details = ratelimit_fields, problem_details
        self.decimal_retry_after = decimal_retry_after

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        if scope["type"] != "http":
            await self.app(scope, receive, send)
            return
        if SCOPE_KEY in scope:
            raise RuntimeError("this request has passed a QuotaMiddleware already: it would be charged twice")
        try:
            request = await self.map(scope)
        except BadRequest as error:
            await respond(send, 404 if isinstance(error, NoSuchPathError) else 400, (), str(error).encode())
            return
        if request is None:
            await self.app(scope, receive, send)
        else:
            await _Passage(self, self.ingress.admission(request), scope, receive, send).run()

    async def map(self, scope: Scope) -> events.Request | None:
        """The request that the scope stands for, None for one to pass; BadRequest is counted by the ingress."""
        try:
            mapped = self.identify(scope)
            if inspect.isawaitable(mapped):
                mapped = await mapped
        except BadRequest:
            self.ingress.invalid += 1
            raise
        if mapped is PASS:
            return None
        return mapped if isinstance(mapped, events.Request) else self.ingress.request(mapped)

    def fields(self, request: events.Request) -> tuple[tuple[bytes, bytes], ...]:
        """The RateLimit fields for a member, where they are asked for."""
        if not self.ratelimit_fields:
            return ()
        room = self.ingress.room(request.customer, request.plan)
        return ratelimit_headers(self.ingress.plans[request.plan], room)


class _Passage:
    """One request through the middleware."""

    __slots__ = ("middleware", "admission", "scope", "receive", "send", "status", "complete", "dropped", "answer")

    def __init__(
        self, middleware: QuotaMiddleware, admission: Admission, scope: Scope, receive: Receive, send: Send
    ) -> None:
        self.middleware, self.admission = middleware, admission
        self.scope, self.receive, self.send = scope, receive, send
        self.status, self.complete, self.dropped = 0, False, False
        self.answer: asyncio.Task[None] | None = None

    async def run(self) -> None:
        """Admit, run the application, and see that there is one answer."""
        admission = self.admission
        try:
            await admission.acquire()
        except NotServed as refused:
            await self.say(refused.final)
            return
        admission.on_interrupt = self.interrupted
        self.scope[SCOPE_KEY] = admission
        error: BaseException | None = None
        try:
            await self.middleware.app(self.scope, self.on_receive, self.on_send)
        except BaseException as raised:
            error = raised
        try:
            await admission.release(
                type(error) if error is not None else None,
                error,
                error.__traceback__ if error is not None else None,
                None if error is not None else self.outcome(),
            )
        except NotServed:
            error = None
        finally:
            if self.answer is not None:
                await asyncio.shield(self.answer)
        if error is not None:
            raise error
        final = admission.final
        if self.answer is None and not admission.begun and not admission.left and final is not None:
            await self.say(final)  # the application gave no answer

    def outcome(self) -> Outcome:
        """What the application's answer says of the attempt; one that is cut short is a failure."""
        if not self.complete:
            return Outcome.ERROR
        if self.status >= 500:
            return Outcome.FULL if self.dropped and self.status in (503, 504) else Outcome.ERROR
        return Outcome.OK

    async def say(self, final: Final) -> None:
        lines, body = headers_of(final, not self.middleware.decimal_retry_after), b""
        if final.verdict is not Verdict.INVALID:
            lines += self.middleware.fields(self.admission.request)
        if self.middleware.problem_details:
            lines, body = (*lines, (b"Content-Type", b"application/problem+json")), problem_of(final)
        await respond(self.send, STATUS[final.verdict], lines, body)

    def interrupted(self, final: Final) -> None:
        """Time was up while the application ran: the answer goes out now, whatever the application does."""
        self.answer = asyncio.get_running_loop().create_task(self.say(final))

    async def on_receive(self) -> Message:
        message = await self.receive()
        if message["type"] == "http.disconnect" and not self.admission.begun:
            self.admission.leave()
        return message

    async def on_send(self, message: Message) -> None:
        kind = message["type"]
        if kind == "http.response.start":
            if self.status:
                raise RuntimeError("the application has answered twice")
            if not self.admission.begin():
                self.status = int(message["status"])
                return  # another answer is out, or its client has gone: this one goes nowhere
            self.status = int(message["status"])
            headers = [(bytes(n), bytes(v)) for n, v in message.get("headers", ())]
            for name, value in headers:
                key = name.lower()
                if key == b"x-cost-units":
                    self.settle(value)
                elif key == b"x-rejected" and value == b"1":
                    self.dropped = True
            message = {**message, "headers": [*headers, *self.middleware.fields(self.admission.request)]}
        elif kind == "http.response.body":
            if self.complete:
                raise RuntimeError("the application has answered twice")
            if not self.status:
                raise RuntimeError("the application sent a body before its response began")
            self.complete = not message.get("more_body", False)
            if not self.admission.begun:
                return
        elif self.admission.over or self.admission.left:
            return
        await self.send(message)

    def settle(self, value: bytes) -> None:
        try:
            self.admission.settle(float(value))
        except ValueError:  # as the daemon: what cannot be meant is left out
            return


async def respond(send: Send, status: int, lines: tuple[tuple[bytes, bytes], ...], body: bytes) -> None:
    """A whole answer."""
    headers = [(n.lower(), v) for n, v in lines]
    headers.append((b"content-length", b"%d" % len(body)))
    await send({"type": "http.response.start", "status": status, "headers": headers})
    await send({"type": "http.response.body", "body": body})

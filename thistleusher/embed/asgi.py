"""Pure ASGI middleware: admits every HTTP request, or answers it with 429, 503, 502 or 4xx as the daemon does.

Implements the ASGI specification 3.0, with the HTTP and WebSocket message format 2.4. WebSocket and lifespan scopes are
passed through unchanged. Besides the decisions, a request costs two small wrappers; a task is created only if its
deadline passes.
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
from thistleusher.embed.admission import Admission, NotServed
from thistleusher.embed.call import PASS, Call, Passed
from thistleusher.embed.ingress import EmbeddedIngress

Scope = MutableMapping[str, Any]
Message = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[Message]]
Send = Callable[[Message], Awaitable[None]]
App = Callable[[Scope, Receive, Send], Awaitable[None]]
Mapped = Union[Call, events.Request, Passed]
Identify = Callable[[Scope], Union[Mapped, Awaitable[Mapped]]]

SCOPE_KEY = "thistleusher.admission"
REJECTED_STATUSES = (503, 504)  # with the header X-Rejected: 1, the application states that it has not run the request


def from_headers(ingress: EmbeddedIngress) -> Identify:
    """Return an `identify` that reads requests as the daemon does: member from the path, the rest from `X-` headers."""
    reader = RequestReader(ingress.settings)

    def identify(scope: Scope) -> Mapped:
        path = scope.get("raw_path") or scope["path"].encode("latin-1", "replace")
        customer = customer_of(path.partition(b"?")[0])
        return reader.read(customer, scope["method"].encode("ascii"), scope["headers"])

    return identify


class QuotaMiddleware:
    """Enforces quotas on the callers of an ASGI application.

    `identify(scope)` returns a `Call`, or `PASS` for a request to which no quota applies. It may be a coroutine
    function, and raises BadRequest for an invalid request. By default, headers are read as the daemon reads them.

    `ratelimit_fields` adds `RateLimit` and `RateLimit-Policy` to responses. `problem_details` adds a body with the
    reason (RFC 9457) to refusals and failures. `Retry-After` holds whole seconds, rounded up, and `Retry-After-Ms` the
    exact time; `decimal_retry_after` writes the exact time to `Retry-After`, for clients known to accept decimals.

    The application can set true units by `settle` of the `Admission` at `scope["thistleusher.admission"]`, or by the
    response header `X-Cost-Units`.
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
        self.app = app
        self.ingress = ingress
        self.identify = identify or from_headers(ingress)
        self.ratelimit_fields = ratelimit_fields
        self.problem_details = problem_details
        self.decimal_retry_after = decimal_retry_after

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one ASGI scope. Raises RuntimeError if another QuotaMiddleware has already admitted the request."""
        if scope["type"] != "http":
            await self.app(scope, receive, send)
            return
        if SCOPE_KEY in scope:
            raise RuntimeError("request already admitted by another QuotaMiddleware: it would be charged twice")
        try:
            request = await self.map(scope)
        except BadRequest as error:
            await send_response(send, 404 if isinstance(error, NoSuchPathError) else 400, (), str(error).encode())
            return
        if request is None:
            await self.app(scope, receive, send)
        else:
            await _AdmittedRequest(self, self.ingress.admission(request), scope, receive, send).run()

    async def map(self, scope: Scope) -> events.Request | None:
        """Return the scope's request, or None if no quota applies. Counts a BadRequest in the ingress's `invalid`."""
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
        """Return the RateLimit header fields for a request's member; none unless `ratelimit_fields` is set."""
        if not self.ratelimit_fields:
            return ()
        headroom = self.ingress.room(request.customer, request.plan)
        return ratelimit_headers(self.ingress.plans[request.plan], headroom)


class _AdmittedRequest:
    """One admitted request on its way through the middleware."""

    __slots__ = (
        "middleware",
        "admission",
        "scope",
        "receive",
        "send",
        "status",
        "complete",
        "rejected",
        "response_task",
    )

    def __init__(
        self, middleware: QuotaMiddleware, admission: Admission, scope: Scope, receive: Receive, send: Send
    ) -> None:
        self.middleware = middleware
        self.admission = admission
        self.scope = scope
        self.receive = receive
        self.send = send
        self.status = 0  # status of the application's response; 0 until it begins
        self.complete = False  # whether the application's response has ended
        self.rejected = False  # whether the application has stated by X-Rejected that it has not run the request
        self.response_task: asyncio.Task[None] | None = None  # sends the response after the deadline has passed

    async def run(self) -> None:
        """Wait for the admission, run the application, and make sure that exactly one response is sent."""
        admission = self.admission
        try:
            await admission.acquire()
        except NotServed as refused:
            await self._respond(refused.final)
            return
        admission.on_interrupt = self._on_interrupt
        self.scope[SCOPE_KEY] = admission
        error: BaseException | None = None
        try:
            await self.middleware.app(self.scope, self._on_receive, self._on_send)
        except BaseException as raised:
            error = raised
        try:
            await admission.release(
                type(error) if error is not None else None,
                error,
                error.__traceback__ if error is not None else None,
                None if error is not None else self._outcome(),
            )
        except NotServed:
            error = None
        finally:
            if self.response_task is not None:
                await asyncio.shield(self.response_task)
        if error is not None:
            raise error
        final = admission.final
        if self.response_task is None and not admission.begun and not admission.left and final is not None:
            await self._respond(final)  # the application sent no response

    def _outcome(self) -> Outcome:
        """Return the outcome of the attempt from the application's response; an incomplete response is an error."""
        if not self.complete:
            return Outcome.ERROR
        if self.status >= 500:
            return Outcome.FULL if self.rejected and self.status in REJECTED_STATUSES else Outcome.ERROR
        return Outcome.OK

    async def _respond(self, final: Final) -> None:
        """Send the response to a request that was not served."""
        headers = headers_of(final, not self.middleware.decimal_retry_after)
        body = b""
        if final.verdict is not Verdict.INVALID:
            headers += self.middleware.fields(self.admission.request)
        if self.middleware.problem_details:
            headers = (*headers, (b"Content-Type", b"application/problem+json"))
            body = problem_of(final)
        await send_response(self.send, STATUS[final.verdict], headers, body)

    def _on_interrupt(self, final: Final) -> None:
        """Start sending the final answer: the deadline passed while the application ran, and it may run on."""
        self.response_task = asyncio.get_running_loop().create_task(self._respond(final))

    async def _on_receive(self) -> Message:
        """Pass a message to the application, and report a disconnect of the client."""
        message = await self.receive()
        if message["type"] == "http.disconnect" and not self.admission.begun:
            self.admission.leave()
        return message

    async def _on_send(self, message: Message) -> None:
        """Pass on a message of the application, unless another response was sent or the client has disconnected."""
        kind = message["type"]
        if kind == "http.response.start":
            if not self._begin_response(message):
                return
            headers = self._read_headers(message)
            message = {**message, "headers": [*headers, *self.middleware.fields(self.admission.request)]}
        elif kind == "http.response.body":
            self._record_body(message)
            if not self.admission.begun:
                return
        elif self.admission.over or self.admission.left:
            return
        await self.send(message)

    def _begin_response(self, message: Message) -> bool:
        """Record the status of the application's response; return whether it is the final response."""
        if self.status:
            raise RuntimeError("the application has answered twice")
        is_final = self.admission.begin()
        self.status = int(message["status"])
        return is_final

    def _read_headers(self, message: Message) -> list[tuple[bytes, bytes]]:
        """Return the response's headers, after evaluating X-Cost-Units and X-Rejected."""
        headers = [(bytes(name), bytes(value)) for name, value in message.get("headers", ())]
        for name, value in headers:
            key = name.lower()
            if key == b"x-cost-units":
                self._settle(value)
            elif key == b"x-rejected" and value == b"1":
                self.rejected = True
        return headers

    def _record_body(self, message: Message) -> None:
        """Record whether the response is complete."""
        if self.complete:
            raise RuntimeError("the application has answered twice")
        if not self.status:
            raise RuntimeError("the application sent a body before its response began")
        self.complete = not message.get("more_body", False)

    def _settle(self, value: bytes) -> None:
        """Settle true units. As in the daemon, an invalid value is ignored."""
        try:
            self.admission.settle(float(value))
        except ValueError:
            return


async def send_response(send: Send, status: int, headers: tuple[tuple[bytes, bytes], ...], body: bytes) -> None:
    """Send a complete response, with a Content-Length header added."""
    all_headers = [(name.lower(), value) for name, value in headers]
    all_headers.append((b"content-length", b"%d" % len(body)))
    await send({"type": "http.response.start", "status": status, "headers": all_headers})
    await send({"type": "http.response.body", "body": body})

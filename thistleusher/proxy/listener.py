"""The proxy's listener: finds the route and tenant of each client's request, or answers it at once with an error.

Input that is not a valid HTTP request is answered earlier, by `net.client_connection`.
"""

from __future__ import annotations

import asyncio
from typing import Any

from thistleusher.common.errors import ErrorKind, ServiceError
from thistleusher.configuration.index import Index
from thistleusher.core import events
from thistleusher.net.client_connection import ClientConnection
from thistleusher.net.connection_set import DEFAULT_MAX_SURPLUS
from thistleusher.net.memory_budget import Stage
from thistleusher.net.request_buffer import ClientLimits
from thistleusher.net.server import Server
from thistleusher.proxy.decisions import PLAN
from thistleusher.proxy.forwarding import ProxyIngress
from thistleusher.proxy.http_messages import ATTEMPT_HEADER, DEADLINE_HEADER, ClientRequest, read_headers
from thistleusher.proxy.requests import RequestContext
from thistleusher.transport.call_server import error_response

BODILESS_METHODS = (b"GET", b"HEAD", b"DELETE", b"OPTIONS")  # methods whose requests need not state a length
MAX_REQUEST_TIME_S = 120.0  # upper bound of the time allowed for a request
MIN_REMAINING_S = 0.05  # requests are rejected once a graceful shutdown has no more than this time left
MEMORY_WAIT_FRACTION = 0.3  # Upper bound of the wait for memory, as a fraction of the request's deadline.
MIN_TIMEOUT_S = 0.1  # lower bound of a connection's time-outs; smaller configured values are raised to it


class ProxyServer(Server):
    """Accepts the connections of the proxy's clients and reads their requests."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        ingress: ProxyIngress,
        max_connections: int,
        max_surplus: int = DEFAULT_MAX_SURPLUS,
    ) -> None:
        """`max_connections`, `max_surplus`: bounds of the concurrent connections (`Server`)."""
        super().__init__(loop, max_connections, max_surplus=max_surplus)
        self.budget = ingress.upstream.options.budget  # One budget for both directions.
        self.body_stage = Stage.REQUEST
        self.ingress = ingress
        self.index: Index | None = None
        self.has_backend_list = False  # whether a backend list has been applied
        # Bound directly, which saves one call per request.
        self.handle_request = ingress.handle_request  # type: ignore[method-assign, assignment]
        self.client_disconnected = ingress.client_disconnected  # type: ignore[method-assign, assignment]
        ingress.is_shutting_down = lambda: self.shutting_down

    def apply_configuration(self, index: Index) -> None:
        """Apply a configuration to new requests and connections."""
        limits = index.config.limits
        self.index = index
        self.limits = ClientLimits(
            limits.max_header_bytes,
            limits.max_body_bytes,
            max(MIN_TIMEOUT_S, limits.header_timeout_ms / 1000),
            max(MIN_TIMEOUT_S, limits.idle_timeout_ms / 1000),
        )

    def memory_wait_s(self, connection: ClientConnection) -> float:
        """Return the time for a request to wait for memory: clients give up after a third of the time that they have.

        Otherwise it is that for a whole request, since a client that sends no deadline has no other bound.
        """
        wait_s = self.limits.read_timeout_s
        for name, value in connection.headers:
            if name.lower() == DEADLINE_HEADER and value.isdigit():
                wait_s = min(wait_s, int(value) / 1000 * MEMORY_WAIT_FRACTION)
        return wait_s

    def has_pending_work(self) -> bool:
        """Return whether a non-idempotent request in flight may be running; each of them ends by its deadline."""
        return self.ingress.driver.has_non_idempotent_in_flight()

    def read_request(self, connection: ClientConnection) -> Any:
        """Return a completely received request as a `ClientRequest`, or the error response to send at once."""
        if connection.over_limit:
            return error_response(ServiceError(ErrorKind.TOO_MANY_CONNECTIONS))
        index = self.index
        if index is None or not self.has_backend_list:
            return error_response(ServiceError(ErrorKind.STARTING))
        headers = read_headers(connection.headers)
        if isinstance(headers, ServiceError):
            return error_response(headers)._replace(closes=True)
        request_id = headers.values.get(ATTEMPT_HEADER, b"").decode("latin-1")
        if not request_id:
            return error_response(ServiceError(ErrorKind.MALFORMED, "x-attempt-id: missing"))
        context = self._match(index, connection.url, headers.values)
        if isinstance(context, ServiceError):
            return error_response(context)
        now = self.loop.time()
        time_s = self._time_allowed(now, context, headers.values)
        if isinstance(time_s, ServiceError):
            return error_response(time_s)
        method = connection.parser.get_method()
        return ClientRequest(
            events.Request(request_id, context.match.name, PLAN, 0, time_s, 1.0),
            context,
            b"%s %s HTTP/1.1\r\n%s" % (method, connection.url, headers.forwarded),
            connection.body,
            now,
            connection.has_client_left,
            has_length=bool(connection.body) or method not in BODILESS_METHODS or b"content-length" in headers.values,
        )

    @staticmethod
    def _match(index: Index, url: bytes, headers: dict[bytes, bytes]) -> RequestContext | ServiceError:
        """Return the route by host and path, and the tenant by its key unless the route is public, or an error."""
        path = url.partition(b"?")[0].decode("latin-1")
        match = index.find(headers.get(b"host", b"").decode("latin-1"), path)
        if match is None:
            return ServiceError(ErrorKind.NO_ROUTE)
        if match.route.public or not index.config.tenants:
            return RequestContext(match, None)
        tenant = index.tenant_of(headers.get(b"authorization", b"").decode("latin-1"))
        return ServiceError(ErrorKind.UNKNOWN_KEY) if tenant is None else RequestContext(match, tenant)

    def _time_allowed(self, now: float, context: RequestContext, headers: dict[bytes, bytes]) -> float | ServiceError:
        """Return the seconds allowed for the request, or an error if there is no time left.

        This is the minimum of the route's deadline, the deadline that the request states, `MAX_REQUEST_TIME_S`, and
        the time that remains of a graceful shutdown. During a shutdown this method also records the arrival of the
        request, which keeps the listener open.
        """
        allowed_s = context.match.route.deadline_ms / 1000
        stated = headers.get(DEADLINE_HEADER, b"")
        if stated.isdigit():
            allowed_s = min(allowed_s, int(stated) / 1000)
        allowed_s = min(allowed_s, MAX_REQUEST_TIME_S)
        if self.shutdown is not None:
            self.shutdown.request_arrived(now)
            remaining_s = self.shutdown.time_left(now)
            if remaining_s <= MIN_REMAINING_S:
                return ServiceError(ErrorKind.SHUTTING_DOWN)
            allowed_s = min(allowed_s, remaining_s)
        return ServiceError(ErrorKind.NO_CAPACITY) if allowed_s <= 0 else allowed_s

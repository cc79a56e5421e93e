"""The daemon's HTTP server for clients: admission requests, and GET /healthz."""

from __future__ import annotations

import asyncio
from typing import Any

from thistleusher.core.request import BadRequest, NoSuchPathError, RequestReader, customer_of
from thistleusher.net.client_call import Call
from thistleusher.net.client_connection import ClientConnection
from thistleusher.net.ingress import Ingress
from thistleusher.net.request_handler import ImmediateResponse
from thistleusher.net.server import Server

RETRY_AFTER = b"Retry-After: 1\r\n"
HEALTH_PATH = b"/healthz"
HOP_BY_HOP_HEADERS = {
    b"connection",
    b"keep-alive",
    b"proxy-connection",
    b"te",
    b"trailer",
    b"transfer-encoding",
    b"upgrade",
    b"expect",
    b"content-length",
    b"x-budget",
}


class IngressServer(Server):
    """Reads client requests and passes them to an ingress."""

    def __init__(self, loop: asyncio.AbstractEventLoop, ingress: Ingress, max_connections: int) -> None:
        super().__init__(loop, max_connections)
        self.ingress = ingress
        self.reader = RequestReader(ingress.settings)
        # Bound on the instance to save one call per request.
        self.handle_request = ingress.handle_request  # type: ignore[method-assign, assignment]
        self.client_disconnected = ingress.client_disconnected  # type: ignore[method-assign, assignment]

    def is_ready(self) -> bool:
        """Return whether requests can be served: a backend accepts requests, and no shutdown has begun."""
        return bool(self.ingress.serving) and not self.shutting_down

    def has_pending_work(self) -> bool:
        """Return whether a non-idempotent request may be running at a backend; each ends at its deadline."""
        return self.ingress.driver.has_non_idempotent_in_flight()

    def read_request(self, connection: ClientConnection) -> Any:
        """Return the request as a call, or the response to one that is rejected without a decision."""
        if connection.url.partition(b"?")[0] == HEALTH_PATH:
            return ImmediateResponse(200, "") if self.is_ready() else ImmediateResponse(503, "", RETRY_AFTER)
        if connection.over_limit:
            return ImmediateResponse(503, "too many connections", RETRY_AFTER)
        method = connection.parser.get_method()
        try:
            request = self.reader.read(customer_of(connection.url), method, connection.headers)
        except NoSuchPathError as error:
            return ImmediateResponse(404, str(error), closes=True)
        except BadRequest as error:
            return ImmediateResponse(400, str(error), closes=True)
        if self.shutdown is not None:
            now = self.loop.time()
            self.shutdown.request_arrived(now)
            left = self.shutdown.time_left(now)
            if left <= 0:
                return ImmediateResponse(503, "this ingress ends", RETRY_AFTER)
            request = request._replace(expires_in=min(request.expires_in, left))
        head = [b"%s %s HTTP/1.1\r\n" % (method, connection.url)]
        head += [b"%s: %s\r\n" % (n, v) for n, v in connection.headers if n.lower() not in HOP_BY_HOP_HEADERS]
        received_at = self.ingress.driver.scheduler.time()
        return Call(request, b"".join(head), bytes(connection.body), received_at, connection.has_client_left)

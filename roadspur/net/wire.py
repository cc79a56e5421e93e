"""What several sides of the ingress share of HTTP: addresses, a client's call, whole answers."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import NamedTuple

import httptools

from roadspur import interface as io

MAX_BODY = 64 * 1024
MAX_HEAD = 16 * 1024

Address = tuple[str, int]


def read_address(text: str) -> Address:
    """`host:port` with a numeric host; ValueError for anything else."""
    host, sep, port = text.rpartition(":")
    if not sep or not host or not port.isascii() or not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError(f"expected host:port, got {text!r}")
    return host.strip("[]"), int(port)


@dataclass(slots=True)
class Call:
    """A client's request once it has come whole and has been found sound."""

    request: io.Request
    start: bytes  # request line and the headers that go on unchanged
    body: bytes
    came: float  # loop time of its last byte

    def message(self, patience: float) -> bytes:
        """The request as a backend gets it; `patience` is how long this ingress will wait, in seconds."""
        return b"%sX-Budget: %dm\r\nContent-Length: %d\r\n\r\n%s" % (
            self.start, max(1, int(patience * 1000)), len(self.body), self.body)


class Answer(NamedTuple):
    """A whole answer."""

    status: int
    headers: dict[bytes, bytes]
    body: bytes
    keep: bool  # the connection may carry another request


class BadAnswer(Exception):
    """What came is no HTTP answer, or a larger one than is taken."""


class AnswerReader:
    """Gathers whole answers; one that only the end of the connection would end never counts as whole."""

    def __init__(self, on_answer: Callable[[Answer], None]) -> None:
        self.on_answer = on_answer
        self.parser = httptools.HttpResponseParser(self)
        self.headers: dict[bytes, bytes] = {}
        self.body = bytearray()
        self.fed = 0

    def feed(self, data: bytes) -> None:
        """Take bytes in; BadAnswer when they are none of an answer's."""
        self.fed += len(data)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError as error:
            raise BadAnswer(str(error.__context__ or error)) from error
        if self.fed > 2 * MAX_BODY + MAX_HEAD:  # a head without end is held in the parser's memory
            raise BadAnswer("the answer is too long")

    def on_message_begin(self) -> None:
        self.headers, self.body = {}, bytearray()

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers[name.lower()] = value

    def on_body(self, data: bytes) -> None:
        if len(self.body) + len(data) > MAX_BODY:
            raise BadAnswer(f"a body of over {MAX_BODY} bytes")
        self.body += data

    def on_message_complete(self) -> None:
        status = self.parser.get_status_code()
        if status < 200:  # an interim answer
            return
        self.fed = 0
        self.on_answer(Answer(status, self.headers, bytes(self.body), self.parser.should_keep_alive()))

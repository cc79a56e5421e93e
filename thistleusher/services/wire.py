"""What several sides share of HTTP: addresses and whole answers."""

from __future__ import annotations

from typing import NamedTuple

import httptools

MAX_BODY = 64 * 1024
MAX_HEAD = 16 * 1024
FRAMING = (b"content-length", b"transfer-encoding")

Address = tuple[str, int]


def read_address(text: str) -> Address:
    """`host:port` with a numeric host; ValueError for anything else."""
    host, sep, port = text.rpartition(":")
    if not sep or not host or not port.isascii() or not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError(f"expected host:port, got {text!r}")
    return host.strip("[]"), int(port)


class Answer(NamedTuple):
    """A whole answer."""

    status: int
    headers: dict[bytes, bytes]
    body: bytes
    keep: bool  # the connection may carry another request


class BadAnswer(Exception):
    """What came is no HTTP answer, or a larger one than is taken."""


class AnswerReader:
    """Gathers whole answers. One that only the end of the connection would end never counts as whole.

    What a peer sends may be spoilt at any point, also right behind an answer that is good: whole answers are
    handed over first, and `broken` then says why nothing more can be read here.
    """

    def __init__(self, most: int = MAX_BODY) -> None:
        """`most`: bytes that a body may hold."""
        self.parser = httptools.HttpResponseParser(self)
        self.most = most
        self.headers: dict[bytes, bytes] = {}
        self.body = bytearray()
        self.answers: list[Answer] = []
        self.broken = ""
        self.partial = False  # an answer has begun and has not come whole
        self.fed = 0

    def feed(self, data: bytes) -> list[Answer]:
        """Take bytes in; returns the answers that are whole with them."""
        if not self.broken:
            self.fed += len(data)
            try:
                self.parser.feed_data(data)
            except httptools.HttpParserError as error:
                self.broken = str(error.__context__ or error)
            if self.fed > 2 * self.most + MAX_HEAD:  # a head without end is held in the parser's memory
                self.broken = self.broken or "the answer is too long"
        answers, self.answers = self.answers, []
        return answers

    def on_message_begin(self) -> None:
        self.headers, self.body, self.partial = {}, bytearray(), True

    def on_header(self, name: bytes, value: bytes) -> None:
        key = name.lower()
        if key in FRAMING and key in self.headers:
            raise BadAnswer(f"{key.decode()}: more than one")
        self.headers[key] = value

    def on_headers_complete(self) -> None:
        """How long the answer is must be clear from its head, else its end could be taken for another's."""
        if self.parser.get_status_code() < 200:
            return
        length, coding = (self.headers.get(key) for key in FRAMING)
        if (length is None) == (coding is None):
            raise BadAnswer("expected one of content-length and transfer-encoding")
        if coding is not None and coding.lower() != b"chunked":
            raise BadAnswer("transfer-encoding: expected chunked")
        if length is not None and int(length) > self.most:
            raise BadAnswer(f"a body of over {self.most} bytes")

    def on_body(self, data: bytes) -> None:
        if len(self.body) + len(data) > self.most:
            raise BadAnswer(f"a body of over {self.most} bytes")
        self.body += data

    def on_message_complete(self) -> None:
        self.partial = False
        status = self.parser.get_status_code()
        if status < 200:  # an interim answer
            return
        self.fed = 0
        self.answers.append(Answer(status, self.headers, bytes(self.body), self.parser.should_keep_alive()))

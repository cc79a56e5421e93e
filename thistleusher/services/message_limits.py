"""Limits of an HTTP/1.1 message apart from its body, for each parser that reads somebody else's bytes.

The parser joins the pieces of a name or a value by copying them, keeps all header fields until the message is complete,
and knows no limit. A `MessageMeter` feeds it in slices and ends the message before more is kept:

- `max_head_bytes` bounds the bytes since the last byte of a body, whatever they are: the first line, header fields,
  interim responses, the size or an extension of a chunk, or trailer fields; the line ends of fields do not count;
- `max_fields` bounds the header and trailer fields, of which each takes many times its bytes, unless whoever reads the
  message accounts for them (`kept_bytes`);
- `MAX_INTERIM_RESPONSES` bounds the responses before the final one;
- `CHUNK_OVERHEAD` bounds the bytes around a body in chunks, and so the time that they take.

RFC 9112 permits a recipient to limit each of these. Cost: a comparison per read of at most `SLICE_BYTES`, and one per
header field.
"""

from __future__ import annotations

import httptools

SLICE_BYTES = 16 * 1024  # A read may hold more; what is checked between two slices is not exceeded by more than one.
MAX_FIELDS = 1024  # header and trailer fields of one response
LINE_END_BYTES = 2
MAX_INTERIM_RESPONSES = 32
FIELD_BYTES = 160  # memory of a header field in addition to its bytes
CHUNK_OVERHEAD = 16  # bytes around a body in chunks per byte of the body; a chunk of one byte takes five or more


class MessageLimitError(Exception):
    """A message exceeds a limit; the argument names the limit."""


class MessageMeter:
    """Counts what a message holds apart from its body, and raises MessageLimitError once that exceeds a limit."""

    def __init__(self, max_head_bytes: int, max_fields: int | None = MAX_FIELDS) -> None:
        """`max_fields`: None if only their bytes are bounded."""
        self.max_head_bytes = max_head_bytes
        self.max_fields = max_fields
        self.fields = 0
        self.parts = 0  # header fields and pieces of bodies of all messages, a measure of the time that they took
        self.bytes_since_body = 0  # bytes that the parser may hold
        self._interim_responses = 0
        self._body_bytes = 0
        self._other_bytes = 0
        self._slice_body_bytes = 0
        self._slice_ends_message = False

    def feed(self, parser: httptools.HttpRequestParser | httptools.HttpResponseParser, data: bytes) -> None:
        """Feed a read to a parser. Raise MessageLimitError, or what the parser raises; both end the connection."""
        if len(data) <= SLICE_BYTES:
            self._feed_slice(parser, data)
            return
        view = memoryview(data)
        for begin in range(0, len(view), SLICE_BYTES):
            self._feed_slice(parser, view[begin : begin + SLICE_BYTES])

    def _feed_slice(
        self, parser: httptools.HttpRequestParser | httptools.HttpResponseParser, data: bytes | memoryview
    ) -> None:
        self._slice_body_bytes = 0
        self._slice_ends_message = False
        try:
            parser.feed_data(data)
        except httptools.HttpParserError as error:
            if isinstance(error.__context__, MessageLimitError):  # raised by a callback
                raise error.__context__ from None
            raise
        if self._slice_ends_message:
            return
        other_bytes = len(data) - self._slice_body_bytes
        self._other_bytes += other_bytes
        self.bytes_since_body = 0 if self._slice_body_bytes else self.bytes_since_body + other_bytes
        if self.bytes_since_body - LINE_END_BYTES * self.fields > self.max_head_bytes:
            raise MessageLimitError(f"more than {self.max_head_bytes} bytes apart from its body")
        line_end_bytes = LINE_END_BYTES * self.fields
        if self._other_bytes - line_end_bytes > self.max_head_bytes + SLICE_BYTES + CHUNK_OVERHEAD * self._body_bytes:
            raise MessageLimitError(f"more than {CHUNK_OVERHEAD} bytes around each byte of its body")

    @property
    def kept_bytes(self) -> int:
        """An estimate of the memory that the message takes apart from its body."""
        return self.bytes_since_body + FIELD_BYTES * self.fields

    def count_field(self) -> None:
        """Count a header or trailer field."""
        self.fields += 1
        self.parts += 1
        if self.max_fields is not None and self.fields > self.max_fields:
            raise MessageLimitError(f"more than {self.max_fields} header fields")

    def count_body(self, size: int) -> None:
        """Count a piece of the body."""
        self.parts += 1
        self._slice_body_bytes += size
        self._body_bytes += size

    def take_parts(self) -> int:
        """Return the number of parts since the last call."""
        parts, self.parts = self.parts, 0
        return parts

    def count_interim_response(self) -> None:
        """Count a complete interim response, which is a part of the final one."""
        self._interim_responses += 1
        if self._interim_responses > MAX_INTERIM_RESPONSES:
            raise MessageLimitError(f"more than {MAX_INTERIM_RESPONSES} interim responses")

    def end_message(self) -> None:
        """Start to count anew after a complete message. What follows it in the same slice is not counted."""
        self._slice_ends_message = True
        self.fields = 0
        self.bytes_since_body = 0
        self._interim_responses = 0
        self._body_bytes = 0
        self._other_bytes = 0

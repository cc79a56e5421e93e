"""Large documents are read in a thread beside the event loop, each once however often it comes.

A caller that has heard nothing for a second sends the same document again; without this, repeats would queue up behind
one another for longer than their callers wait. At most `MOST_DOCUMENTS` different ones are read or wait at a time.
"""

from __future__ import annotations

import asyncio
import hashlib
from collections.abc import Callable
from concurrent.futures import Executor
from functools import partial

from roadspur.common.events import Event, say
from roadspur.common.failures import Failure, Kind
from roadspur.control.orders import ReadDocument, read_document

MOST_DOCUMENTS = 4

WasRead = Callable[[ReadDocument | Failure], None]


class DocumentReader:
    """One process's."""

    def __init__(self, loop: asyncio.AbstractEventLoop, executor: Executor) -> None:
        self._loop, self._executor = loop, executor
        self._reading: dict[bytes, asyncio.Future[ReadDocument]] = {}

    def read(self, document: bytes, was_read: WasRead) -> None:
        """Have a document read; `was_read` is told in the loop what it is, or why it was not read."""
        digest = hashlib.sha256(document).digest()
        if digest not in self._reading and len(self._reading) >= MOST_DOCUMENTS:
            was_read(Failure(Kind.CROWDED))
            return
        if digest not in self._reading:
            reading = self._loop.run_in_executor(self._executor, read_document, document)
            self._reading[digest] = reading
            reading.add_done_callback(lambda _: self._reading.pop(digest, None))
        self._reading[digest].add_done_callback(partial(_tell, was_read))


def _tell(was_read: WasRead, reading: asyncio.Future[ReadDocument]) -> None:
    if reading.cancelled():
        was_read(Failure(Kind.ENDING))
        return
    error = reading.exception()
    if error is not None:
        say(Event.FAULT, "reading an order", repr(error))
        was_read(Failure(Kind.FAULT))
    else:
        was_read(reading.result())

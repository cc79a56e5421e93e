"""The standard streams of a process: each is there, and none is waited for.

Guarantees, whatever a process is started with:

- descriptors 0 to 2 are open, so that no socket or file gets one of these numbers;
- a log line neither blocks nor fails: one that cannot be written at once is dropped and counted, and the count is
  logged before the next line that is written;
- a crash in native code writes the stacks of all threads to the log.

Imports little, because it is loaded before everything else.
"""

from __future__ import annotations

import faulthandler
import os
import stat
import sys

STANDARD_DESCRIPTORS = (0, 1, 2)
STANDARD_OUTPUT = 1
STANDARD_ERROR = 2
MAX_WRITE_BYTES = 4096  # PIPE_BUF: a pipe takes as many bytes whole or not at all
MAX_PENDING_CHARACTERS = 64 * 1024  # Upper bound of an incomplete line; a longer one is written in parts.
DROPPED_NUMBER = 106  # `Event.LOG_LINES_DROPPED`
DROPPED_TEXT = "%d earlier log lines were dropped: standard error was full or had no reader"


def open_missing() -> None:
    """Open /dev/null in place of each standard descriptor that is closed."""
    for descriptor in STANDARD_DESCRIPTORS:
        try:
            os.fstat(descriptor)
        except OSError:
            os.open(os.devnull, os.O_RDWR)  # The lowest free number is `descriptor`.


class NonBlockingStream:
    """A text stream to a descriptor, as `sys.stderr`. A line is written once its end is there."""

    encoding = "utf-8"
    errors = "backslashreplace"

    def __init__(self, descriptor: int) -> None:
        self._descriptor, self._may_block = _without_waiting(descriptor)
        self._pending = ""
        self._dropped_lines = 0

    def write(self, text: str) -> int:
        """Write the complete lines; keep the rest. Never raise."""
        self._pending += text
        if text.endswith("\n") or len(self._pending) > MAX_PENDING_CHARACTERS:
            line, self._pending = self._pending, ""
            self._write_line(line)
        return len(text)

    def _write_line(self, line: str) -> None:
        if self._dropped_lines:
            line = f"{DROPPED_NUMBER} {DROPPED_TEXT % self._dropped_lines}\n{line}"
        data = line.encode(self.encoding, self.errors)
        for start in range(0, len(data), MAX_WRITE_BYTES):
            if not self._try_write(data[start : start + MAX_WRITE_BYTES]):
                self._dropped_lines += 1
                return
        self._dropped_lines = 0

    def _try_write(self, data: bytes) -> bool:
        try:
            if self._may_block and not _is_writable(self._descriptor):
                return False
            os.write(self._descriptor, data)
        except OSError:  # The pipe is full, its reader is gone, or the disk rejects writes.
            return False
        return True

    def flush(self) -> None:
        """Do nothing: complete lines are written at once."""

    def fileno(self) -> int:
        """Return the descriptor that lines are written to."""
        return self._descriptor

    def isatty(self) -> bool:
        """Return False: no caller is to write for a terminal."""
        return False


def _without_waiting(descriptor: int) -> tuple[int, bool]:
    """Return a descriptor of the same file, and whether a write to it may wait for a reader.

    A pipe is opened again, as `O_NONBLOCK` on the descriptor itself would also hold for others that write to it.
    """
    mode = os.fstat(descriptor).st_mode
    if stat.S_ISREG(mode):
        return descriptor, False
    if stat.S_ISFIFO(mode):
        try:
            return os.open(f"/proc/self/fd/{descriptor}", os.O_WRONLY | os.O_NONBLOCK | os.O_CLOEXEC), False
        except OSError:  # The pipe belongs to another user or has no reader, or there is no /proc.
            return descriptor, True
    return descriptor, True


def _is_writable(descriptor: int) -> bool:
    import select  # Files and pipes do not need it.

    poll = select.poll()
    poll.register(descriptor, select.POLLOUT)
    return any(events & select.POLLOUT for _, events in poll.poll(0))


def install() -> None:
    """Set up the standard streams of this process; a second call has no effect."""
    if isinstance(sys.stderr, NonBlockingStream):
        return
    open_missing()
    sys.stdout = NonBlockingStream(STANDARD_OUTPUT)
    sys.stderr = stream = NonBlockingStream(STANDARD_ERROR)
    faulthandler.enable(file=stream.fileno())


def write_error(line: str) -> None:
    """Write a line to standard error without waiting, before or after `install`."""
    open_missing()
    stream = sys.stderr if isinstance(sys.stderr, NonBlockingStream) else NonBlockingStream(STANDARD_ERROR)
    stream.write(line)

"""The system's entry: one of the three programs, or its command line.

A program that starts again while clients wait must not load a command line first: that is 0.2 s of its processor.
"""

from __future__ import annotations

import signal

signal.signal(signal.SIGHUP, signal.SIG_IGN)  # before the imports: they take a while, and it would end the process

import gc  # noqa: E402
import sys  # noqa: E402

from thistleusher.common import process_start  # noqa: E402, F401  (first: notes the start)

PROGRAMS = ("proxy", "control", "registry")


def main() -> None:
    """Start the program that a bare name stands for; leave anything else to the command line."""
    if len(sys.argv) == 2 and sys.argv[1] in PROGRAMS:
        gc.disable()  # imports make no cycles worth looking for; it is on again once all is loaded
        from thistleusher.common.launcher import start

        sys.exit(start(sys.argv[1]))
    from thistleusher.cli.main import main as run_command

    sys.exit(run_command())


if __name__ == "__main__":
    main()

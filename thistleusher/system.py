"""The entry point of the system: one of the three programs, or the command line.

A program that restarts while clients wait must not load the command line first: that takes 0.2 s of its processor.
"""

from __future__ import annotations

import signal

# Before the other imports: they take a while, and until the main loop handles it SIGHUP would end the process.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

import gc  # noqa: E402
import sys  # noqa: E402

from thistleusher.common import process_start  # noqa: E402, F401  (first: records the start)

PROGRAMS = ("proxy", "control", "registry")


def main() -> None:
    """Start the program that the only argument names; leave anything else to the command line."""
    if len(sys.argv) == 2 and sys.argv[1] in PROGRAMS:
        gc.disable()  # imports make no garbage worth collecting; `process.serve` enables it again
        from thistleusher.common.launcher import start

        sys.exit(start(sys.argv[1]))
    from thistleusher.cli.main import main as run_command

    sys.exit(run_command())


if __name__ == "__main__":
    main()

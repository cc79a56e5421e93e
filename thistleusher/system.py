"""The entry point of the system: runs one of the three programs, or the command line.

Importing the command line takes 0.2 s of CPU time, so a program that restarts while clients wait does not import it.
"""

from __future__ import annotations

import sys

PROGRAMS = ("proxy", "control", "registry")
STARTS_PROGRAM = len(sys.argv) == 2 and sys.argv[1] in PROGRAMS

if STARTS_PROGRAM:  # before the slow imports, because a signal ends a process that has no handler for it
    from thistleusher.common import signals
    from thistleusher.log import standard_streams

    signals.install()
    standard_streams.install()

import gc  # noqa: E402

from thistleusher.common import process_start  # noqa: E402, F401  (records the start)


def main() -> None:
    """Start the program named by the only argument, or else run the command line."""
    if STARTS_PROGRAM:
        gc.disable()  # imports create hardly any garbage; `process.serve` enables the collector again
        from thistleusher.common.launcher import start

        sys.exit(start(sys.argv[1]))
    from thistleusher.cli.main import main as run_command

    sys.exit(run_command())


if __name__ == "__main__":
    main()

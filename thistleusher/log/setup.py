"""Sets up logging for a process. Callers log through absl or the standard library; both reach the root logger."""

from __future__ import annotations

import logging

from thistleusher.log.standard_streams import STANDARD_ERROR, NonBlockingStream, open_missing

PLAIN_FORMAT = "%(asctime)s %(name)s %(levelname)s %(message)s"


def use_absl_handler(verbose: bool) -> None:
    """Send records of level info and above, or debug and above if `verbose`, to standard error by absl's handler."""
    from absl import logging as absl_logging

    absl_logging.use_absl_handler()
    absl_logging.set_verbosity(absl_logging.DEBUG if verbose else absl_logging.INFO)


def use_plain_handler() -> None:
    """Send records of level info and above to standard error, for an ingress whose environment may lack absl."""
    open_missing()
    stream = NonBlockingStream(STANDARD_ERROR)
    logging.basicConfig(level=logging.INFO, stream=stream, format=PLAIN_FORMAT)

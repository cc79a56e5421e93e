"""The start time of this process, in seconds on the steady clock. Must be imported before all other modules."""

import time

PROCESS_STARTED_AT = time.monotonic()

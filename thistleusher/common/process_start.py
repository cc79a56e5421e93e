"""When this process started, in seconds on the steady clock. Imported before anything else."""

import time

PROCESS_STARTED_AT = time.monotonic()

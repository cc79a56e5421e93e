"""When this process began, in seconds on the steady clock: imported before all else."""

import time

BORN = time.monotonic()

"""Shifts the wall clock of a Python process and its children; imported at start-up if the folder is on `PYTHONPATH`.

Only `time.time` and `time.time_ns` are shifted, by `MOVED_CLOCK_S` seconds. Monotonic clocks, and therefore all delays,
are unchanged.
"""

import os
import time

_by = float(os.environ.get("MOVED_CLOCK_S", "0"))
_time, _time_ns = time.time, time.time_ns
time.time = lambda: _time() + _by
time.time_ns = lambda: _time_ns() + int(_by * 1e9)

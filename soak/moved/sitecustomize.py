"""Python imports this by itself where the folder is on its path: the wall clock stands elsewhere, also in children.

Only `time.time` and `time.time_ns` move, by `MOVED_CLOCK_S` seconds; monotonic clocks, and so all delays, stay.
"""

import os
import time

_by = float(os.environ.get("MOVED_CLOCK_S", "0"))
_time, _time_ns = time.time, time.time_ns
time.time = lambda: _time() + _by
time.time_ns = lambda: _time_ns() + int(_by * 1e9)

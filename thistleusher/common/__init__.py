"""What the system's three programs share: settings, errors, log events, quota times, the main loop.

The readers and checkers are pure: texts and bytes in, checked values out; only `process` and `launcher` run anything.
"""

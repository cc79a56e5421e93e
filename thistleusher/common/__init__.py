"""What the system's three programs share: settings, the operator's configuration, errors, log events, the main loop.

The readers and checkers are pure: texts and bytes in, checked values out; only `process` and `launcher` run anything.
"""

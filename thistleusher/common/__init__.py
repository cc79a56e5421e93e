"""Code shared by the system's three programs: settings, errors, log events, quota timing, the main loop.

The readers and validators do no I/O: they take text or bytes and return validated values. Only `process` and `launcher`
run anything.
"""

"""The one set-up of logging: absl's handler for the three programs, lines from a thread where an operator's file asks.

Promised: with `[log]` the event loop never waits for the reader of standard error; lines that do not fit into the queue
are counted, and the next line that goes out says how many were dropped.
"""

"""Sets up logging: absl's handler for the three programs, or a dedicated thread if the operator's file has `[log]`.

Guarantee: with `[log]`, the event loop never waits for the reader of standard error. Lines that do not fit into the
queue are counted, and the next line that is written tells how many were dropped.
"""

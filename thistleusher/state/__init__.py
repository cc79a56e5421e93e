"""Persistence of one ingress's state in a folder that the operator configures.

The event loop never waits for the disk. If the process is killed, at most the changes of the last `commit_every`
seconds are lost. A folder is used by one process at a time and belongs to one ingress. A corrupt record does not affect
the other records.
"""
